"""Names and records of the beanstalkd front that the operator's file refers to."""

from __future__ import annotations

from typing import NamedTuple

HOST_PREFIX = "worker."  # of the tube by which a host names itself
REPLY_PREFIX = "reply."  # of the tube in which a client finds a job's final answer


class HostSeat(NamedTuple):
    """A host that the operator's file names: its service, and its bay."""

    kind: int
    bay: int
