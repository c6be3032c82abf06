"""Runs the distribution in one process: one task owns the state machine, another applies versions."""

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

MAX_QUEUED_DATAGRAMS = 512  # queued datagrams; further ones are dropped and counted
MIN_TIMER_INTERVAL = 0.002  # seconds, the minimum between two timer calls of the machine
BODY_RETRY_SECONDS = 0.5  # seconds between attempts to fetch a body that no voter returned
DISK_RETRY_SECONDS = 10.0  # seconds before a version that could not be written to disk is retried
MIN_VIEW_INTERVAL = 0.05  # seconds, the minimum between two updates of the view
SPREAD_POLL_SECONDS = 0.05  # seconds between two checks of the received reports


# -- events for the task that owns the machine


class Datagram(NamedTuple):
    """A distribution datagram was received."""

    data: bytes
    sender: Address


class ViewChanged(NamedTuple):
    """The members of the fleet or their states have changed."""


class Agreed(NamedTuple):
    """The register holds this version; `body` is None if this instance does not have it."""

    stamp: Stamp
    body: bytes | None


class Applied(NamedTuple):
    """The version is durable and in force."""

    stamp: Stamp


class Refused(NamedTuple):
    """The version could not be put in force."""

    stamp: Stamp
    reason: str


class SpreadRequested(NamedTuple):
    """An operator requests the spread of a version."""


Event = Datagram | ViewChanged | Agreed | Applied | Refused | SpreadRequested


class Distribution:
    """Feeds events to the state machine, and performs the actions that it returns."""

    def __init__(self, settings: ProtocolSettings, fleet: FleetCarrier, releases: Releases, applier: Applier) -> None:
        self.fleet, self.releases, self.applier = fleet, releases, applier
        stored = applier.in_force
        self.serving_from = "disk" if stored is not None else "file"
        self.machine = Distributor(
            fleet.plan.name,
            peer_of(fleet.machine.own_record),
            frozenset(releases.plan.voters),
            settings,
            trio.current_time(),
            int.from_bytes(os.urandom(8), "big"),
            None if stored is None else (stored.stamp, stored.body),
        )
        self.machine.counts["disk_unusable"] += applier.startup_problems
        self._events, self._inbox = trio.open_memory_channel[Event](inf)
        self._applies, self._to_apply = trio.open_memory_channel[Apply](inf)
        self._agreed, self._to_learn = trio.open_memory_channel[Stamp](inf)
        self._newest_agreed: Stamp | None = None
        self._unfinished: Apply | None = None  # being applied, or interrupted when this process stepped aside
        self._last_refused: Apply | None = None
        self._disk_failed = False  # the last refusal was a write error, which may be temporary
        self._aside = Aside()
        releases.on_agreed = self.on_register_value
        applier.on_file_reloaded = self.on_file_reloaded

    # -- notifications; none of these blocks

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """Queue a distribution datagram received on the fleet's socket."""
        if self._events.statistics().current_buffer_used >= MAX_QUEUED_DATAGRAMS:
            self.machine.counts["flood"] += 1
        else:
            self._events.send_nowait(Datagram(data, sender))

    def on_register_value(self, value: Value) -> None:
        """Handle a register value that a majority of the voters holds."""
        stamp = agreement.stamp(value, self.releases.register)
        if stamp == self.machine.applied:
            self.serving_from = "fleet"  # the version read from disk is the one agreed on
        if stamp.number and stamp != self._newest_agreed:
            self._newest_agreed = stamp
            self._agreed.send_nowait(stamp)

    def on_pushed(self, stamp: Stamp, body: bytes) -> None:
        """Handle an agreed push made through this instance: offer it at once."""
        self._events.send_nowait(Agreed(stamp, body))

    def on_file_reloaded(self) -> None:
        """Retry the last refused version after the own file was reloaded, as it may fit now."""
        if self._last_refused is not None:
            self._applies.send_nowait(self._last_refused)

    def step_aside(self, aside: bool) -> None:
        """Pause while the successor of a hot restart takes part instead; resume if it has gone."""
        self._aside.turn(aside)

    # -- status

    @property
    def newest(self) -> Stamp:
        """The newest version known on this instance."""
        agreed = self._newest_agreed
        return agreed if agreed is not None and agreed.number > self.machine.known.number else self.machine.known

    async def spread(self, number: int, within: float) -> Spread:
        """Return how far a version has spread, by the answers of the zone relays within `within` seconds."""
        self._events.send_nowait(SpreadRequested())
        until = trio.current_time() + within
        await trio.sleep(min(within, SPREAD_POLL_SECONDS))
        while True:
            result = self.machine.spread(number, trio.current_time())
            if result.everywhere or trio.current_time() >= until:
                return result
            await trio.sleep(SPREAD_POLL_SECONDS)

    # -- tasks

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled."""
        task_status.started()
        await self._aside.run(self._participate)

    async def _participate(self) -> None:
        await self._apply_from_disk()
        if self._unfinished is not None:
            self._applies.send_nowait(self._unfinished)
        if self._newest_agreed is not None:
            self._agreed.send_nowait(self._newest_agreed)
        self._events.send_nowait(ViewChanged())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_machine)
            nursery.start_soon(self._watch_view)
            nursery.start_soon(self._fetch_agreed_bodies)
            nursery.start_soon(self._apply_queued)

    async def _apply_from_disk(self) -> None:
        """Apply the version that a successor of a hot restart left on disk, before any report is sent."""
        stored = await self.applier.stored()
        if stored is not None:
            await self._apply(Apply(stored.stamp, stored.body))

    async def _run_machine(self) -> None:
        """Run the only task that calls the machine."""
        machine = self.machine
        while True:
            event = None
            with trio.move_on_at(max(machine.due, trio.current_time() + MIN_TIMER_INTERVAL)):
                event = await self._inbox.receive()
            now = trio.current_time()
            # Timers first: after a pause, the machine has to detect it before it handles queued datagrams.
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
            case SpreadRequested():
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
        """Notify the machine of view changes, coalescing bursts."""
        changes = self.fleet.subscribe()
        try:
            async for _ in changes:
                while changes.statistics().current_buffer_used:
                    changes.receive_nowait()
                self._events.send_nowait(ViewChanged())
                await trio.sleep(MIN_VIEW_INTERVAL)
        finally:
            self.fleet.unsubscribe(changes)

    async def _fetch_agreed_bodies(self) -> None:
        """On a voter, pass each agreed version with its body to the machine; others learn of it from their relays."""
        async for stamp in self._to_learn:
            if self.releases.voter is None:
                continue
            body = await self._body_of(stamp)
            if body is not None:
                self._events.send_nowait(Agreed(stamp, body))

    async def _body_of(self, stamp: Stamp) -> bytes | None:
        """Return the body of an agreed version from any voter's disk, or None once a newer one is agreed."""
        while stamp == self._newest_agreed:
            body = await self.releases.fetch_body(stamp.digest)
            if body is not None and digest_of(body) == stamp.digest:
                return body
            await trio.sleep(BODY_RETRY_SECONDS)
        return None

    # -- applying

    async def _apply_queued(self) -> None:
        """Apply queued versions one at a time; retry one that could not be written after DISK_RETRY_SECONDS."""
        while True:
            action = None
            with trio.move_on_after(DISK_RETRY_SECONDS):
                action = await self._to_apply.receive()
            if action is None and self._disk_failed:
                action = self._last_refused
            if action is not None:
                await self._apply(action)

    async def _apply(self, action: Apply) -> None:
        """Put a version in force, and report the result to the machine."""
        stamp, in_force = action.stamp, self.applier.in_force
        if in_force is not None and stamp.number <= in_force.stamp.number:
            return  # version numbers never decrease
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
    """Convert a member record of the view for the machine."""
    return Peer(record.name, record.address, record.zone, record.generation, record.state == State.ALIVE)


def peers_of(fleet: FleetCarrier) -> list[Peer]:
    """Return all other members of the view that have not left."""
    records = (member.record for member in fleet.machine.members.values())
    return [peer_of(record) for record in records if record.state != State.LEFT]
