"""The records that the fronts and the broker share.  No wire is known here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

import trio

from oxbowarch.interface import Entry, ListKind, Report, Settings, State, Status
from thistleshore.core.figures import ClassFigures


class Served(NamedTuple):
    result: bytes  # what an upstream host made for this stream


class LocalReply(NamedTuple):
    """A refusal: trying again is harmless."""

    retry_after: float  # seconds; 0: no advice


class Failed(NamedTuple):
    reason: str


FinalAnswer = Served | LocalReply | Failed


def _never() -> bool:
    return False


@dataclass(slots=True, eq=False)
class Stream:
    """One request of a downstream, from its last byte to its one final answer."""

    name: str  # what the downstream calls it
    job_class: int
    deadline: float  # trio's clock; the downstream waits until then
    payload: object = None  # for the front that carries it, opaque to the core
    tenant: int = 0
    key: int = 0
    repeat: bool = False
    member: str = ""  # whose it is, as the operator's rules tell
    size: int = 0  # bytes of its body
    spare: float = 1.0  # how far its front's means to be answered by go, 1 to 0
    id: int = -1  # the broker's number for it
    answer: FinalAnswer | None = None
    # Set once it is over: `answer` is there, or the downstream has withdrawn it.
    answered: trio.Event = field(default_factory=trio.Event)
    withdrawn: bool = False
    left: bool = False  # its downstream has gone or taken it back, and the broker may not have heard so yet
    gone: Callable[[], bool] = _never  # its front's look at that: what came a moment ago, nobody has read
    counts: ClassFigures = field(default_factory=ClassFigures)  # its class's, once the broker has it
    forwards: int = 0  # its own upstream requests that were written whole

    @property
    def over(self) -> bool:
        return self.withdrawn or self.answer is not None

    @property
    def wanted(self) -> bool:
        """Is somebody there for its answer?  Asked in the step in which an upstream request would begin."""
        return not (self.over or self.left or self.gone())


@dataclass(slots=True, eq=False)
class UpstreamHost:
    """A ticket worker as the list has it; kept by the broker, read by the fronts."""

    id: bytes
    address: object  # how a front reaches it: an address, or a name
    entry: Entry
    generation: int = 0  # counts its restarts and moves: connections of an earlier life are stale
    banned: bool = False  # taken out by hand, as the module has it

    @property
    def ready(self) -> bool:
        return self.entry.state is State.READY and not self.banned


class HostLine(NamedTuple):
    """One line of a list of upstream hosts."""

    entry: Entry
    address: object


@dataclass(slots=True, eq=False)
class UpstreamRequest:
    """One attempt to have a stream served by an upstream host."""

    stream: Stream
    number: int
    host: UpstreamHost
    deadline: float
    started: float = 0.0  # when it began to run, as far as its host tells; 0: not known
    sent: bool = False  # set by the front once the last byte of the request is written
    cancelled: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def mark_written(self) -> None:
        """The front has written its last byte: from now on it may run."""
        self.sent = True
        self.stream.counts.forwards += 1
        self.stream.forwards += 1


class UpstreamOutcome(NamedTuple):
    status: Status
    result: bytes | None = None
    report: Report | None = None


class StreamOpened(NamedTuple):
    stream: Stream


class StreamWithdrawn(NamedTuple):
    stream: Stream


class UpstreamStarted(NamedTuple):
    request: UpstreamRequest


class UpstreamEnded(NamedTuple):
    request: UpstreamRequest
    outcome: UpstreamOutcome
    took: float


class HostListReceived(NamedTuple):
    kind: ListKind
    lines: tuple[HostLine, ...]
    version: int | None = None  # of discovery's list, where it has one


class HostReported(NamedTuple):
    """A host tells of its room outside any upstream request."""

    host: bytes
    report: Report


@dataclass(slots=True, eq=False)
class BanRequested:
    """An operator takes a host out, or calls it back."""

    host: bytes
    banned: bool
    known: bool = False  # whether anybody has that name, once `done` is set; or told by one who knows it
    done: trio.Event = field(default_factory=trio.Event)


class SettingsChanged(NamedTuple):
    """New settings, and what their classes are called."""

    settings: Settings
    names: tuple[str, ...]


class UrgentEventPosted(NamedTuple):
    """Wakes the broker: something was posted."""


class NotesReceived(NamedTuple):
    """A datagram of notes, of another dispatcher of the tier."""

    peer: int
    data: bytes


class PeerDatagramReceived(NamedTuple):
    """A datagram of another instance."""

    data: bytes


Event = (
    UrgentEventPosted
    | NotesReceived
    | PeerDatagramReceived
    | StreamOpened
    | StreamWithdrawn
    | UpstreamStarted
    | UpstreamEnded
    | HostListReceived
    | HostReported
    | BanRequested
    | SettingsChanged
)


class UpstreamFront(Protocol):
    """Carries upstream requests over one wire."""

    async def carry(self, request: UpstreamRequest, started: trio.MemorySendChannel[Event]) -> UpstreamOutcome:
        """Run one upstream request to its end; cancelled when it is called off or out of time."""
        ...

    def close_idle(self, host: UpstreamHost) -> None: ...
