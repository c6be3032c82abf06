"""Many instances that distribute configuration, in one process and in virtual time: from one seed, the same run.

The network loses, repeats and reorders datagrams and can be cut; instances are killed and started again, each with a
disk on which a version takes a moment to become durable.  The register and the view are oracles: the register tells
the voters after a short time, the view sees a death and a join after a settable delay.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from itertools import count
from math import inf

from benchmarks.distribution.history import Agreed, Counted, History, InForce, Reported
from thistleshore.distribution import wire
from thistleshore.distribution.machine import Distributor
from thistleshore.distribution.model import (
    NO_VERSION,
    Action,
    Apply,
    LogEvent,
    Peer,
    Send,
    Spread,
    Stamp,
    ProtocolSettings,
    digest_of,
    region_of,
)

REGISTER = 77
FLEET = "f"
SAME_ZONE = (0.0002, 0.001)  # s of a datagram
SAME_REGION = (0.0005, 0.003)
ACROSS = (0.010, 0.060)
REORDERED = 0.1  # s that a datagram may be late by, where the network reorders
WRITING = (0.005, 0.040)  # s until a version is durable
PUTTING = (0.001, 0.010)  # s from durable to in force
LEARNING = (0.005, 0.200)  # s until a voter learns of what was agreed

Cut = Callable[[str, str], bool]  # whether datagrams from one to the other are lost


def zones_of(regions: int, each: int) -> list[str]:
    """Names of so many regions with so many zones each."""
    return [f"r{region}/z{zone}" for region in range(regions) for zone in range(each)]


class Node:
    """One instance: its machine while it lives, its disk, and what it sent and heard."""

    def __init__(self, name: str, number: int, zone: str) -> None:
        self.name, self.zone, self.region = name, zone, region_of(zone)
        self.address = ("127.0.0.1", 10_000 + number)
        self.generation = 0  # grows with each start
        self.machine: Distributor | None = None
        self.disk: tuple[Stamp, bytes] | None = None
        self.in_force: Stamp = NO_VERSION
        self.deposits: dict[int, bytes] = {}  # at a voter: durable bodies, by version
        self.view: dict[str, Peer] = {}
        self.refuses: Callable[[Stamp], str] = lambda stamp: ""  # why it cannot apply a version
        self.noted: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.heard = self.heard_bytes = 0
        self.busiest = 0  # datagrams heard in one second, at most
        self.armed = inf  # when its timer is set to
        self._second, self._in_second = -1, 0

    @property
    def alive(self) -> bool:
        return self.machine is not None

    def count_heard(self, size: int, now: float) -> None:
        self.heard += 1
        self.heard_bytes += size
        second = int(now)
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        self.busiest = max(self.busiest, self._in_second)

    def clear_counts(self) -> None:
        """Begin to count anew, the busiest second too."""
        self.sent = self.sent_bytes = self.heard = self.heard_bytes = self.busiest = 0
        self._second, self._in_second = -1, 0


class World:
    """A fleet of so many instances, dealt out to the zones in turn; the first ones of different zones are voters."""

    def __init__(
        self,
        size: int,
        zones: Sequence[str],
        seed: int,
        loss: float = 0.0,
        repeat: float = 0.0,
        reorder: float = 0.0,
        voters: int = 3,
        terms: ProtocolSettings | None = None,
        kind: Callable[..., Distributor] = Distributor,
        death_seen: float = 8.0,
        join_seen: float = 1.0,
        recorded: bool = True,
    ) -> None:
        """`recorded`: reports are read off the wire into the history."""
        self.random, self.now = random.Random(seed), 0.0
        self.loss, self.repeat, self.reorder = loss, repeat, reorder
        self.settings, self.kind = terms or ProtocolSettings(), kind
        self.death_seen, self.join_seen, self.recorded = death_seen, join_seen, recorded
        self.history = History()
        self.register: Stamp = NO_VERSION
        self.agreed_at: dict[int, float] = {}
        self.spread_at: dict[int, float] = {}  # when a version was first in force at all that lived
        self._not_spread: deque[int] = deque()
        self.nodes = {f"n{number}": Node(f"n{number}", number, zones[number % len(zones)]) for number in range(size)}
        self.voters = frozenset(_spread_over_zones(self.nodes.values(), voters))
        self._by_address = {node.address: node for node in self.nodes.values()}
        self._cuts: list[Cut] = []
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._order = count()
        self._lives = count(1)
        self._reachable: dict[tuple[str, str], bool] = {}
        for node in self.nodes.values():
            node.generation = next(self._lives)
        for node in self.nodes.values():
            others = (other for other in self.nodes.values() if other is not node)
            node.view = {other.name: _peer(other, alive=True) for other in others}
            self._start(node)

    # -- what a test or an experiment does -------------------------------------------------------

    def push(self, body: bytes, format: int = 1) -> int:
        """Have the register agree on a new version; its number, or 0 where no majority of the voters is together."""
        together = self._majority()
        if not together:
            return 0
        stamp = Stamp(REGISTER, self.register.number + 1, digest_of(body), len(body), format)
        self.register = stamp
        self.agreed_at[stamp.number] = self.now
        self._not_spread.append(stamp.number)
        self.history.add(Agreed(self.now, stamp.number, stamp.digest))
        for voter in together:
            voter.deposits = {number: kept for number, kept in voter.deposits.items() if number > stamp.number - 8}
            voter.deposits[stamp.number] = body
            self._schedule(self.random.uniform(*LEARNING), self._agreed, voter, voter.generation, stamp, body)
        return stamp.number

    def run(self, until: float) -> None:
        """Play to that time."""
        events = self._events
        while events and events[0][0] <= until:
            self.now, _, act, arguments = heapq.heappop(events)
            act(*arguments)
        self.now = until

    def run_until(self, holds: Callable[[], bool], most: float, step: float = 0.05) -> float | None:
        """Play until it holds; the time it took, or None where it does not within `most` seconds."""
        begun = self.now
        while not holds():
            if self.now >= begun + most:
                return None
            self.run(self.now + step)
        return self.now - begun

    def at(self, when: float, act: Callable[[], object]) -> None:
        """Do something at that time."""
        self._schedule(when - self.now, lambda: (act(), None)[1])

    def kill(self, name: str) -> None:
        """An instance ends at once; what was not durable is lost."""
        node = self.nodes[name]
        node.machine = None
        self._note_spread()
        self._links_changed(node)

    def restart(self, name: str) -> None:
        """An instance starts on what its disk has; a life that still runs ends before."""
        node = self.nodes[name]
        if node.alive:
            self.kill(name)
        node.generation = next(self._lives)
        for other in self.nodes.values():
            if other is not node:
                node.view[other.name] = _peer(other, alive=self._linked(node, other, starting=True))
        self._start(node)
        self._links_changed(node)

    def cut(self, lost: Cut) -> Cut:
        """Lose all datagrams of which `lost(sender, receiver)` is true, until `heal`."""
        self._cuts.append(lost)
        self._links_changed()
        return lost

    def heal(self, lost: Cut | None = None) -> None:
        """End one cut, or all."""
        self._cuts = [cut for cut in self._cuts if lost is not None and cut is not lost]
        self._links_changed()

    def living(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.alive]

    def in_force(self, number: int) -> bool:
        """Whether all living instances have this version, or a newer one, in force."""
        return all(node.in_force.number >= number for node in self.nodes.values() if node.alive)

    def request_reports(self, name: str) -> None:
        """Have an instance ask for the reports of all zones."""
        node = self.nodes[name]
        assert node.machine is not None
        self._carry(node, node.machine.request_reports(self.now))

    def spread(self, name: str, number: int) -> Spread:
        """What an instance knows of a version; recorded where it says `everywhere`."""
        node = self.nodes[name]
        assert node.machine is not None
        spread = node.machine.spread(number, self.now)
        excepted = {row.name for zone in spread.zones for row in zone.behind}
        excepted.update(unknown for zone in spread.zones for unknown in zone.unknown)
        counted = tuple(known for known in (name, *node.view) if known not in excepted)
        self.history.add(Counted(self.now, number, counted))
        return spread

    def clear_counts(self) -> None:
        """Begin to count datagrams anew, at all instances."""
        for node in self.nodes.values():
            node.clear_counts()

    # -- the register ----------------------------------------------------------------------------

    def _majority(self) -> list[Node]:
        """Living voters that reach one of them, if they are a majority."""
        living = [self.nodes[name] for name in sorted(self.voters) if self.nodes[name].alive]
        for first in living:
            together = [voter for voter in living if voter is first or self._linked(first, voter)]
            if 2 * len(together) > len(self.voters):
                return together
        return []

    def _agreed(self, node: Node, generation: int, stamp: Stamp, body: bytes) -> None:
        if node.machine is not None and node.generation == generation:
            self._carry(node, node.machine.on_agreed(stamp, body, self.now))

    # -- lives and disks ---------------------------------------------------------------------------

    def _start(self, node: Node) -> None:
        held = node.disk
        node.in_force = held[0] if held is not None else NO_VERSION
        self.history.add(InForce(self.now, node.name, node.in_force.number, node.in_force.digest, started=True))
        seed = self.random.getrandbits(32)
        me = _peer(node, alive=True)
        node.machine = self.kind(FLEET, me, self.voters, self.settings, self.now, seed, held)
        node.armed = inf
        self._carry(node, node.machine.on_view(node.view.values(), self.now))
        if node.deposits and (latest := max(node.deposits)) == self.register.number:
            body = node.deposits[latest]
            self._schedule(self.random.uniform(*LEARNING), self._agreed, node, node.generation, self.register, body)

    def _apply(self, node: Node, action: Apply) -> None:
        reason = node.refuses(action.stamp)
        seconds = self.random.uniform(*WRITING)
        if reason:
            self._schedule(seconds, self._refused, node, node.generation, action.stamp, reason)
        else:
            self._schedule(seconds, self._durable, node, node.generation, action)

    def _durable(self, node: Node, generation: int, action: Apply) -> None:
        if node.machine is not None and node.generation == generation:
            node.disk = (action.stamp, action.body)
            self._schedule(self.random.uniform(*PUTTING), self._put, node, generation, action)

    def _put(self, node: Node, generation: int, action: Apply) -> None:
        if node.machine is not None and node.generation == generation:
            node.in_force = action.stamp
            digest = digest_of(action.body)
            self.history.add(InForce(self.now, node.name, action.stamp.number, digest, started=False))
            self._note_spread()
            self._carry(node, node.machine.on_applied(action.stamp, self.now))

    def _refused(self, node: Node, generation: int, stamp: Stamp, reason: str) -> None:
        if node.machine is not None and node.generation == generation:
            self._carry(node, node.machine.on_refused(stamp, reason, self.now))

    def _note_spread(self) -> None:
        while self._not_spread and self.in_force(self._not_spread[0]):
            self.spread_at[self._not_spread.popleft()] = self.now

    # -- the view ----------------------------------------------------------------------------------

    def _linked(self, a: Node, b: Node, starting: bool = False) -> bool:
        """Whether two instances live and reach one another."""
        if not (a.alive or starting) or not b.alive:
            return False
        return not any(cut(a.name, b.name) or cut(b.name, a.name) for cut in self._cuts)

    def _links_changed(self, only: Node | None = None) -> None:
        """Tell the views after their delays, as far as it is still so then."""
        seen: list[tuple[Node, Node, int]] = []
        lost: list[tuple[Node, Node, int]] = []
        for a in self.nodes.values():
            if not a.alive:
                continue
            others = [only] if only is not None and a is not only else self.nodes.values()
            for b in others:
                if a is not b:
                    (seen if self._linked(a, b) else lost).append((a, b, b.generation))
        self._schedule(self.join_seen, self._see, seen, True)
        self._schedule(self.death_seen, self._see, lost, False)

    def _see(self, pairs: Sequence[tuple[Node, Node, int]], alive: bool) -> None:
        changed: set[str] = set()
        for a, b, generation in pairs:
            if b.generation == generation and a.alive and self._linked(a, b) == alive:
                peer = _peer(b, alive)
                if a.view.get(b.name) != peer:
                    a.view[b.name] = peer
                    changed.add(a.name)
        for node in self.nodes.values():  # in this order: a set has none
            if node.name in changed and node.machine is not None:
                self._carry(node, node.machine.on_view(node.view.values(), self.now))

    # -- the network -------------------------------------------------------------------------------

    def _carry(self, node: Node, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(node, action)
            elif isinstance(action, Apply):
                self._apply(node, action)
            elif isinstance(action, LogEvent):
                node.noted[action.kind] += 1
        self._arm(node)

    def _send(self, node: Node, action: Send) -> None:
        node.sent += 1
        node.sent_bytes += len(action.data)
        if self.recorded:
            self._record(node, action.data)
        other = self._by_address.get(action.address)
        if other is None or (self.loss and self.random.random() < self.loss):
            return
        if self._cuts and any(cut(node.name, other.name) for cut in self._cuts):
            return
        again = bool(self.repeat) and self.random.random() < self.repeat
        for _ in range(2 if again else 1):
            self._schedule(self._delay(node, other), self._arrive, other, action.data, node.address)

    def _delay(self, a: Node, b: Node) -> float:
        least, most = SAME_ZONE if a.zone == b.zone else SAME_REGION if a.region == b.region else ACROSS
        delay = least + (most - least) * self.random.random()
        if self.reorder and self.random.random() < self.reorder:
            delay += REORDERED * self.random.random()
        return delay

    def _arrive(self, node: Node, data: bytes, sender: tuple[str, int]) -> None:
        if node.machine is not None:
            node.count_heard(len(data), self.now)
            self._carry(node, node.machine.on_datagram(data, sender, self.now))

    def _record(self, node: Node, data: bytes) -> None:
        message = wire.read(data, FLEET, self.settings.max_datagram_bytes).message
        if isinstance(message, wire.Report) and message.applied:
            self.history.add(Reported(self.now, node.name, message.applied))

    # -- time --------------------------------------------------------------------------------------

    def _arm(self, node: Node) -> None:
        """Set the timer; one that is set for earlier stays, and is set again when it fires."""
        assert node.machine is not None
        if node.machine.due < node.armed:
            node.armed = max(self.now, node.machine.due)
            self._schedule(node.armed - self.now, self._fire, node, node.generation, node.armed)

    def _fire(self, node: Node, generation: int, armed: float) -> None:
        if node.machine is None or node.generation != generation or node.armed != armed:
            return
        node.armed = inf
        if node.machine.due <= self.now:
            self._carry(node, node.machine.on_time(self.now))
        else:
            self._arm(node)

    def _schedule(self, seconds: float, act: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._order), act, arguments))


def _peer(node: Node, alive: bool) -> Peer:
    return Peer(node.name, node.address, node.zone, node.generation, alive)


def _spread_over_zones(nodes: Iterable[Node], most: int) -> list[str]:
    """So many names, of different regions first, then of different zones."""
    remaining = list(nodes)
    chosen: list[Node] = []
    while remaining and len(chosen) < most:
        regions = Counter(node.region for node in chosen)
        zones = Counter(node.zone for node in chosen)
        best = min(remaining, key=lambda node: (regions[node.region], zones[node.zone]))
        chosen.append(best)
        remaining.remove(best)
    return [node.name for node in chosen]
