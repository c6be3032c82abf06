"""Upstream requests to beanstalkd-speaking hosts: they reserve, and the module says who gets what.

A host names itself by watching `worker.NAME`; its waiting reserves are its free slots.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

import trio

from oxbowarch.interface import Entry, ListKind, Report, State, Status
from thistleshore.beanstalkd.codec import with_body
from thistleshore.beanstalkd.model import HostSeat
from thistleshore.core.model import Event, HostLine, HostReported, HostListReceived, UpstreamHost, UpstreamOutcome
from thistleshore.core.model import UpstreamRequest, UpstreamStarted
from thistleshore.gate import BROKEN

log = logging.getLogger("thistleshore")


@dataclass(frozen=True, slots=True)
class TubeJob:
    """A stream's payload.  Its number is the repeat key: a repeat is reserved under the same one."""

    id: int
    tube: str
    body: bytes
    ttr: float


class Session(Protocol):
    """One connection of a host."""

    reservations: dict[int, Reservation]

    async def send(self, data: bytes) -> None: ...

    def abort(self) -> None: ...


@dataclass(slots=True, eq=False)
class Reservation:
    """A job in a host's hands."""

    job: TubeJob
    request: UpstreamRequest
    events: trio.MemorySendChannel[Event]
    result: bytes = b""
    started: bool = False
    outcome: Status | None = None
    ended: trio.Event = field(default_factory=trio.Event)
    lapse: trio.CancelScope = field(default_factory=trio.CancelScope)

    def end(self, outcome: Status) -> None:
        self.outcome = outcome
        self.ended.set()

    async def touch(self) -> None:
        """The host works on it: its time to run begins anew."""
        self.lapse.deadline = trio.current_time() + self.job.ttr
        if not self.started:
            self.started = True
            await self.events.send(UpstreamStarted(self.request))


@dataclass(slots=True, eq=False)
class Slot:
    """A reserve that waits."""

    session: Session
    taken: bool = False  # a job is being written to it
    woken: trio.Event = field(default_factory=trio.Event)
    written: trio.Event = field(default_factory=trio.Event)


class Crew:
    """One host: its connections, and the slots that wait on them."""

    def __init__(self, name: str, seat: HostSeat) -> None:
        self.name, self.seat = name, seat
        self.sessions: set[Session] = set()
        self.slots: deque[Slot] = deque()
        self.arrived = trio.Event()
        self.came_up = 0.0

    def report(self) -> Report:
        held = sum(len(session.reservations) for session in self.sessions)
        return Report(float(len(self.slots)), 0.0, float(held))


class Hosts:
    """All beanstalkd-speaking hosts: what they tell goes to the broker, what it sends comes here."""

    def __init__(self, seats: Mapping[str, HostSeat], inbox: trio.MemorySendChannel[Event], wait_most: float) -> None:
        self.inbox, self.wait_most = inbox, wait_most
        self.crews = {name: Crew(name, seat) for name, seat in seats.items()}

    async def join(self, name: str, session: Session) -> None:
        crew = self.crews[name]
        if not crew.sessions:
            crew.came_up = trio.current_time()
        crew.sessions.add(session)
        await self._tell(crew, State.READY)

    async def leave(self, name: str, session: Session, lost: bool) -> None:
        """A connection no longer takes jobs for the host: the last to leave drains it, or takes it away."""
        crew = self.crews[name]
        crew.sessions.discard(session)
        if not crew.sessions:
            await self._tell(crew, State.GONE if lost else State.DRAINING)

    async def _tell(self, crew: Crew, state: State) -> None:
        name = crew.name.encode()
        entry = Entry(name, state, kind=crew.seat.kind, cell=crew.seat.bay, started_at=crew.came_up)
        await self.inbox.send(HostListReceived(ListKind.CHANGES, (HostLine(entry, crew.name),)))

    async def offer(self, name: str, slot: Slot) -> None:
        crew = self.crews[name]
        crew.slots.append(slot)
        crew.arrived.set()
        await self.inbox.send(HostReported(name.encode(), crew.report()))

    def withdraw(self, name: str, slot: Slot) -> None:
        if slot in self.crews[name].slots:
            self.crews[name].slots.remove(slot)

    def close_idle(self, host: UpstreamHost) -> None:
        """Connections are the hosts' own here; nothing of ours is idle."""

    async def _take(self, crew: Crew) -> Slot | None:
        """A waiting slot.  The module may know of one that has just gone: then another may come in a moment."""
        with trio.move_on_after(self.wait_most):
            while True:
                while crew.slots:
                    slot = crew.slots.popleft()
                    if not slot.woken.is_set():  # else it has just been given something
                        slot.taken = True
                        return slot
                crew.arrived = trio.Event()
                await crew.arrived.wait()
        return None

    async def carry(self, request: UpstreamRequest, events: trio.MemorySendChannel[Event]) -> UpstreamOutcome:
        job, crew = request.stream.payload, self.crews.get(request.host.id.decode())
        if not isinstance(job, TubeJob) or crew is None:
            raise TypeError("the stream did not come by beanstalkd")
        slot = await self._take(crew)
        if slot is None:
            return UpstreamOutcome(Status.FULL, report=crew.report())  # it was offered to nobody
        session, reservation = slot.session, Reservation(job, request, events)
        session.reservations[job.id] = reservation
        try:
            # The wait for a slot took time: a host that drains by now gets nothing new, and a job that its client has
            # deleted goes to nobody.
            if not request.begin():
                slot.taken = False
                crew.slots.appendleft(slot)
                return UpstreamOutcome(Status.NOT_SENT)
            try:
                with trio.CancelScope(deadline=request.send_by) as writing:
                    await _write(session, with_body(job.body, b"RESERVED", job.id))
            except BROKEN:
                return UpstreamOutcome(Status.CONNECT_FAILED)  # broken before its last byte was written
            if writing.cancelled_caught:
                return UpstreamOutcome(Status.CONNECT_FAILED)  # given up before its last byte was written
            request.mark_written()
            slot.woken.set()
            slot.written.set()
            reservation.lapse.deadline = trio.current_time() + job.ttr
            with reservation.lapse:
                await reservation.ended.wait()
            # A lapsed reservation may have run, and may yet.
            outcome = reservation.outcome or Status.TIMEOUT
            result = reservation.result if outcome is Status.OK else None
            return UpstreamOutcome(outcome, result, crew.report())
        finally:
            if slot.taken:
                slot.woken.set()
                slot.written.set()
            if session.reservations.get(job.id) is reservation:
                del session.reservations[job.id]


async def _write(session: Session, data: bytes) -> None:
    """Write a whole reply to a host; one that is cut short ends the connection."""
    try:
        await session.send(data)
    except trio.Cancelled:
        session.abort()  # half a reply is on the wire: nothing sound can follow it
        raise
