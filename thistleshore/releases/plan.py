"""What the operator's file says of the register and of this dispatcher's keeper."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from thistleshore.addresses import Address
from thistleshore.releases.model import Limits


@dataclass(frozen=True, slots=True)
class ReleasesPlan:
    """Who votes on who may be out, where; `listen` and `folder` where this instance is one of them."""

    voters: Mapping[str, Address]
    limits: Limits
    listen: Address | None = None
    folder: str = ""


@dataclass(frozen=True, slots=True)
class KeepPlan:
    """How `thistleshore keep` keeps this dispatcher.  Times in seconds."""

    folder: str  # what it does, written before it does it
    command: tuple[str, ...] = ()  # in front of `serve --config FILE`; this program where there is none
    allow: tuple[tuple[str, ...], ...] = ()  # commands of versions that it starts: a pattern for each word
    files: tuple[str, ...] = ()  # patterns of the files that those may have
    ready: float = 15.0  # for a process to answer PING
    trial: float = 10.0  # that a newcomer serves while the one before could still take its place
    end: float = 15.0  # for a drain, before SIGKILL
    crashes: int = 5  # within `span`: then it is not started again
    span: float = 60.0
