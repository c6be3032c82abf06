"""Records and events that the fronts and the broker share, independent of any wire protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple, Protocol

import trio

from oxbowarch.interface import Entry, ListKind, Report, Settings, State, Status
from thistleshore.core.figures import ClassFigures


class Served(NamedTuple):
    """A result from an upstream host."""

    result: bytes


class LocalReply(NamedTuple):
    """A refusal: nothing ran, so the client may retry safely."""

    retry_after: float  # seconds; 0: no advice


class Failed(NamedTuple):
    """No result; the job may have run."""

    reason: str


FinalAnswer = Served | LocalReply | Failed


def _never() -> bool:
    return False


@dataclass(slots=True, eq=False)
class Stream:
    """One downstream request, from the arrival of its last byte to its single final answer."""

    name: str  # the downstream's name for it
    job_class: int
    deadline: float  # trio clock, seconds; the downstream waits no longer
    payload: object = None  # used by the front that carries it, opaque to the core
    tenant: int = 0
    key: int = 0
    repeat: bool = False
    member: str = ""  # the member it belongs to, by the operator's rules
    size: int = 0  # body size, bytes
    spare: float = 1.0  # the part of its front's answering capacity that is free, 1 to 0
    id: int = -1  # assigned by the broker
    answer: FinalAnswer | None = None
    # Set when the stream is over: it has an `answer`, or the downstream withdrew it.
    answered: trio.Event = field(default_factory=trio.Event)
    withdrawn: bool = False
    left: bool = False  # the downstream disconnected or withdrew it; the broker may not know yet
    gone: Callable[[], bool] = _never  # asks the front whether the connection has just closed, with nothing read yet
    counts: ClassFigures = field(default_factory=ClassFigures)  # counters of its class, set by the broker
    attempted: bool = False  # an upstream request has begun to be written, so that it may have run
    forwards: int = 0  # its upstream requests that were written completely

    @property
    def over(self) -> bool:
        """Whether it is answered or withdrawn."""
        return self.withdrawn or self.answer is not None

    @property
    def never_ran(self) -> bool:
        """Whether it is over, and certainly never ran: once it is over no upstream request begins."""
        return self.over and not self.attempted and not isinstance(self.answer, Served)

    @property
    def wanted(self) -> bool:
        """Whether a downstream still waits for its answer; checked in the step that would start an upstream request."""
        return not (self.over or self.left or self.gone())


@dataclass(slots=True, eq=False)
class UpstreamHost:
    """A ticket worker as listed by discovery; owned by the broker, read by the fronts."""

    id: bytes
    address: object  # how a front reaches it: a socket address or a name; None: unknown
    entry: Entry
    generation: int = 0  # incremented at each restart or move; connections of earlier generations are stale
    banned: bool = False  # banned by an operator, as in the decision module

    @property
    def ready(self) -> bool:
        """Whether it is listed as ready and not banned."""
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
    send_by: float = inf  # trio clock; its last byte is written by then or never
    started: float = 0.0  # when it began to run, if its host reports that; 0: unknown
    sent: bool = False  # set by the front once the last byte of the request is written
    cancelled: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def begin(self) -> bool:
        """Begin to write it, if it still may be; to be called in the step that writes the first byte.

        Since it was decided on, its host may have begun to drain, its downstream may have gone and its time may have
        ended: connecting takes time, and so does a hold-up of the whole process.
        """
        in_time = trio.current_time() < min(self.deadline, self.send_by)
        begins = in_time and self.host.ready and self.stream.wanted
        self.stream.attempted = self.stream.attempted or begins
        return begins

    def mark_written(self) -> None:
        """Record that the last byte is written: from now on the job may run."""
        self.sent = True
        self.stream.counts.forwards += 1
        self.stream.forwards += 1


class UpstreamOutcome(NamedTuple):
    """How an attempt ended, with the host's report where it sent one."""

    status: Status
    result: bytes | None = None
    report: Report | None = None


class StreamOpened(NamedTuple):
    """A downstream request has arrived."""

    stream: Stream


class StreamWithdrawn(NamedTuple):
    """The downstream disconnected or withdrew its request."""

    stream: Stream


class UpstreamStarted(NamedTuple):
    """A host reports that an attempt has begun to run."""

    request: UpstreamRequest


class UpstreamEnded(NamedTuple):
    """An attempt has ended after `took` seconds."""

    request: UpstreamRequest
    outcome: UpstreamOutcome
    took: float


class HostListReceived(NamedTuple):
    """A list of upstream hosts, or changes to it."""

    kind: ListKind
    lines: tuple[HostLine, ...]
    version: int | None = None  # of the discovery list, if it has one


class HostReported(NamedTuple):
    """A host reports its free capacity outside any upstream request."""

    host: bytes
    report: Report


@dataclass(slots=True, eq=False)
class BanRequested:
    """An operator bans a host or readmits it."""

    host: bytes
    banned: bool
    known: bool = False  # whether the host is known, valid once `done` is set; a sender that knows it sets this
    done: trio.Event = field(default_factory=trio.Event)


class SettingsChanged(NamedTuple):
    """New settings, and the names of their classes."""

    settings: Settings
    names: tuple[str, ...]


class UrgentEventPosted(NamedTuple):
    """Wakes the broker to read an event from `Broker.post`."""


class NotesReceived(NamedTuple):
    """A datagram of notes from another dispatcher of the tier."""

    peer: int
    data: bytes


class PeerDatagramReceived(NamedTuple):
    """A datagram of the lease exchange from another instance."""

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
    """Carries upstream requests over one wire protocol."""

    async def carry(self, request: UpstreamRequest, started: trio.MemorySendChannel[Event]) -> UpstreamOutcome:
        """Run one upstream request to its end; cancelled when the broker cancels it or its deadline passes."""
        ...

    def close_idle(self, host: UpstreamHost) -> None:
        """Close idle connections to a host."""
        ...
