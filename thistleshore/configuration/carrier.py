"""One process's part in the distribution: the task that owns the machine, and the one that applies versions."""

from __future__ import annotations

import logging
import os
from collections.abc import Iterable
from math import inf
from typing import TYPE_CHECKING, NamedTuple

import trio

from thistleshore.configuration import agreement
from thistleshore.configuration.applying import Applier, NotApplied, NotDurable
from thistleshore.distribution.machine import Distributor
from thistleshore.addresses import Address
from thistleshore.distribution.model import Action, Apply, Peer, Send, Spread, Stamp, ProtocolSettings, digest_of
from thistleshore.fleet.model import Record, State
from thistleshore.listening import Aside
from thistleshore.releases.model import Value

if TYPE_CHECKING:
    from thistleshore.fleet.carrier import Carrier as FleetCarrier
    from thistleshore.releases.carrier import Releases

log = logging.getLogger("thistleshore")

WAITING_MOST = 512  # datagrams that wait for the machine; beyond that they are dropped and counted
REST = 0.002  # s, the least between two calls of the machine's time
BODY_RETRY = 0.5  # s before another voter is asked for a body that none has given
DISK_RETRY = 10.0  # s before a version that the disk did not take is tried again
VIEW_REST = 0.05  # s between two looks at a view that changes
SPREAD_LOOK = 0.05  # s between two looks at the reports that have come


# -- events for the task that owns the machine


class Datagram(NamedTuple):
    data: bytes
    sender: Address


class ViewChanged(NamedTuple):
    """The members of the fleet are others, or in another state."""


class Agreed(NamedTuple):
    """The register holds this version; `body` where this instance has it."""

    stamp: Stamp
    body: bytes | None


class Applied(NamedTuple):
    stamp: Stamp


class Refused(NamedTuple):
    stamp: Stamp
    reason: str


class SpreadAsked(NamedTuple):
    """An operator wants to know how far the fleet is."""


Event = Datagram | ViewChanged | Agreed | Applied | Refused | SpreadAsked


class Distribution:
    """Feeds the machine, and carries out what it asks for."""

    def __init__(self, settings: ProtocolSettings, fleet: FleetCarrier, releases: Releases, applier: Applier) -> None:
        self.fleet, self.releases, self.applier = fleet, releases, applier
        held = applier.in_force
        self.serving_from = "disk" if held is not None else "file"
        self.machine = Distributor(
            fleet.plan.name,
            peer_of(fleet.machine.own_record),
            frozenset(releases.plan.voters),
            settings,
            trio.current_time(),
            int.from_bytes(os.urandom(8), "big"),
            None if held is None else (held.stamp, held.body),
        )
        self.machine.counts["disk_unusable"] += applier.startup_problems
        self._events, self._inbox = trio.open_memory_channel[Event](inf)
        self._applies, self._to_apply = trio.open_memory_channel[Apply](inf)
        self._agreed, self._to_learn = trio.open_memory_channel[Stamp](inf)
        self._newest_agreed: Stamp | None = None
        self._unfinished: Apply | None = None  # what is being applied, or was when this process stepped aside
        self._last_refused: Apply | None = None
        self._disk_failed = False  # what was refused may be taken once the disk has room
        self._aside = Aside()
        releases.on_agreed = self.on_register_value
        applier.on_file_reloaded = self.on_file_reloaded

    # -- what others tell it; none of these waits

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """A datagram of the distribution has come in on the fleet's socket."""
        if self._events.statistics().current_buffer_used >= WAITING_MOST:
            self.machine.counts["flood"] += 1
        else:
            self._events.send_nowait(Datagram(data, sender))

    def on_register_value(self, value: Value) -> None:
        """A majority of the voters holds this value of the register."""
        stamp = agreement.stamp(value, self.releases.register)
        if stamp == self.machine.applied:
            self.serving_from = "fleet"  # what the disk had is what the fleet agrees on
        if stamp.number and stamp != self._newest_agreed:
            self._newest_agreed = stamp
            self._agreed.send_nowait(stamp)

    def on_pushed(self, stamp: Stamp, body: bytes) -> None:
        """A push of this instance is agreed: it is offered at once."""
        self._events.send_nowait(Agreed(stamp, body))

    def on_file_reloaded(self) -> None:
        """The instance's own file was read again: what did not go with the former one may go with it."""
        if self._last_refused is not None:
            self._applies.send_nowait(self._last_refused)

    def step_aside(self, aside: bool) -> None:
        """The next process of a hot restart takes part in this one's place; or it has gone."""
        self._aside.turn(aside)

    # -- what operators are told

    @property
    def newest(self) -> Stamp:
        """The newest version that is known here."""
        agreed = self._newest_agreed
        return agreed if agreed is not None and agreed.number > self.machine.known.number else self.machine.known

    async def spread(self, number: int, within: float) -> Spread:
        """How far the fleet is with a version, by what the zone relays answer in that time."""
        self._events.send_nowait(SpreadAsked())
        until = trio.current_time() + within
        await trio.sleep(min(within, SPREAD_LOOK))
        while True:
            found = self.machine.spread(number, trio.current_time())
            if found.everywhere or trio.current_time() >= until:
                return found
            await trio.sleep(SPREAD_LOOK)

    # -- tasks

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled."""
        task_status.started()
        await self._aside.run(self._take_part)

    async def _take_part(self) -> None:
        await self._follow_disk()
        if self._unfinished is not None:
            self._applies.send_nowait(self._unfinished)
        if self._newest_agreed is not None:
            self._agreed.send_nowait(self._newest_agreed)
        self._events.send_nowait(ViewChanged())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._own)
            nursery.start_soon(self._watch_view)
            nursery.start_soon(self._learn)
            nursery.start_soon(self._apply_in_turn)

    async def _follow_disk(self) -> None:
        """Put in force what the next process of a hot restart has left on the disk, before anything is reported."""
        held = await self.applier.held()
        if held is not None:
            await self._apply(Apply(held.stamp, held.body))

    async def _own(self) -> None:
        """The one task that calls the machine."""
        machine = self.machine
        while True:
            event = None
            with trio.move_on_at(max(machine.due, trio.current_time() + REST)):
                event = await self._inbox.receive()
            now = trio.current_time()
            # Time first: whoever was stopped has to know it before it takes in what was said meanwhile.
            if now >= machine.due:
                await self._carry_out(machine.on_time(now))
            if event is not None:
                await self._carry_out(self._handle(event, now))

    def _handle(self, event: Event, now: float) -> list[Action]:
        machine = self.machine
        match event:
            case Datagram(data, sender):
                return machine.on_datagram(data, sender, now)
            case ViewChanged():
                machine.local_peer = peer_of(self.fleet.machine.own_record)
                return machine.on_view(peers_of(self.fleet), now)
            case Agreed(stamp, body):
                return machine.on_agreed(stamp, body, now)
            case Applied(stamp):
                return machine.on_applied(stamp, now)
            case Refused(stamp, reason):
                return machine.on_refused(stamp, reason, now)
            case SpreadAsked():
                return machine.request_reports(now)

    async def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                await self.fleet.send(action.address, action.data)
            elif isinstance(action, Apply):
                self._applies.send_nowait(action)
            else:
                log.info("configuration: %s %s", action.kind, action.detail)

    async def _watch_view(self) -> None:
        """Tell the machine of a changed view; of many changes at once, once."""
        changes = self.fleet.subscribe()
        try:
            async for _ in changes:
                while changes.statistics().current_buffer_used:
                    changes.receive_nowait()
                self._events.send_nowait(ViewChanged())
                await trio.sleep(VIEW_REST)
        finally:
            self.fleet.unsubscribe(changes)

    async def _learn(self) -> None:
        """A voter tells the machine of each agreed version, with its body; all others hear of it from their relays."""
        async for stamp in self._to_learn:
            if self.releases.voter is None:
                continue
            body = await self._body_of(stamp)
            if body is not None:
                self._events.send_nowait(Agreed(stamp, body))

    async def _body_of(self, stamp: Stamp) -> bytes | None:
        """The body of an agreed version from this voter's disk or another's; None once a newer one is agreed."""
        while stamp == self._newest_agreed:
            body = await self.releases.fetch_body(stamp.digest)
            if body is not None and digest_of(body) == stamp.digest:
                return body
            await trio.sleep(BODY_RETRY)
        return None

    # -- applying

    async def _apply_in_turn(self) -> None:
        """Apply what waits, one version at a time; a version that met a full disk again after a while."""
        while True:
            action = None
            with trio.move_on_after(DISK_RETRY):
                action = await self._to_apply.receive()
            if action is None and self._disk_failed:
                action = self._last_refused
            if action is not None:
                await self._apply(action)

    async def _apply(self, action: Apply) -> None:
        """Put a version in force, and tell the machine what came of it."""
        stamp, in_force = action.stamp, self.applier.in_force
        if in_force is not None and stamp.number <= in_force.stamp.number:
            return  # numbers never go down
        self._unfinished = action
        try:
            await self.applier.apply(stamp, action.body)
        except NotApplied as problem:
            self._last_refused, self._disk_failed = action, isinstance(problem, NotDurable)
            log.error("configuration: version %d is not in force here: %s", stamp.number, problem)
            self._events.send_nowait(Refused(stamp, problem.reason))
        else:
            self._last_refused, self._disk_failed = None, False
            self.serving_from = "fleet"
            log.info("configuration: version %d is in force", stamp.number)
            self._events.send_nowait(Applied(stamp))
        self._unfinished = None


def peer_of(record: Record) -> Peer:
    """A member of the view as the machine knows it."""
    return Peer(record.name, record.address, record.zone, record.generation, record.state == State.ALIVE)


def peers_of(fleet: FleetCarrier) -> list[Peer]:
    """All other members that the view knows and that have not left."""
    records = (member.record for member in fleet.machine.members.values())
    return [peer_of(record) for record in records if record.state != State.LEFT]
