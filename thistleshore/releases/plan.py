"""Settings of the register and of this dispatcher's keeper, from the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from thistleshore.addresses import Address
from thistleshore.releases.model import Limits


@dataclass(frozen=True, slots=True)
class ReleasesPlan:
    """Settings of the register: voters and limits; `listen` and `folder` only if this instance votes."""

    voters: Mapping[str, Address]
    limits: Limits
    listen: Address | None = None
    folder: str = ""


@dataclass(frozen=True, slots=True)
class KeepPlan:
    """Settings of `thistleshore keep`.  Times are in seconds."""

    folder: str  # of the keeper's state, which is written before each action
    command: tuple[str, ...] = ()  # before `serve --config FILE`; empty: this program
    allow: tuple[tuple[str, ...], ...] = ()  # commands of versions that may be started: a pattern for each word
    files: tuple[str, ...] = ()  # patterns of their configuration files
    ready: float = 15.0  # time-out for a new process to answer PING
    trial: float = 10.0  # time for which the new process serves while the old one can still take over
    end: float = 15.0  # time-out of a drain, before SIGKILL
    crashes: int = 5  # within `span`, after which it is not started again
    span: float = 60.0
