"""Drawn stories of compound faults over a small fleet, judged by the checker of its history.

A story draws from its seed: changes, deaths and starts, cuts of every shape, loss, repeats and reordering.  Then all
faults end, and within a bound every instance must have the last version in force.  Flawed forms of the machine must be
found out by some of the stories; the sound form by none.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from benchmarks.distribution.bodies import Body
from benchmarks.distribution.day import behind
from benchmarks.distribution.fleet import Fleet, Kind
from benchmarks.distribution.history import faults
from benchmarks.distribution.net import PUTTING, WRITING, Node
from benchmarks.distribution.times import BOUND
from tests.test_distribution import BelievesOld, ReportsEarly
from thistleshore.distribution.machine import Distributor
from thistleshore.distribution.model import Apply

SIZES = (5, 18)  # instances
CHANGES = (2, 12)
FAULTS = (2, 9)
SECONDS = 40.0  # in which changes and faults fall
FAULT_SECONDS = (0.05, 15.0)
LOSS_MOST = 0.4
REPEAT_MOST = 0.3
REORDER_MOST = 0.5
WARM_UP = 3.0
CHECK_EVERY = 1.0  # s

AFTER_PUSH = (0.0, 0.5)  # s from a change to a death that is aimed at its writing
FAULTS_TOLD = 3  # of one story


class EarlyFleet(Fleet):
    """Instances that put a version in force, and say so, before it is durable: a death in between loses it."""

    def _apply(self, node: Node, action: Apply) -> None:
        self._schedule(self.random.uniform(*PUTTING), self._put, node, node.generation, action)
        self._schedule(PUTTING[1] + self.random.uniform(*WRITING), self._write, node, node.generation, action)

    def _write(self, node: Node, generation: int, action: Apply) -> None:
        if node.alive and node.generation == generation:
            node.disk = (action.stamp, action.body)


class Form(NamedTuple):
    """A form of the machine, and of the fleet that it is in."""

    kind: Kind
    fleet: type[Fleet] = Fleet


SOUND = "sound"
FORMS = {
    SOUND: Form(Distributor),
    "an old relay is believed": Form(BelievesOld),
    "reported before it is durable": Form(ReportsEarly),
    "in force before it is durable": Form(Distributor, EarlyFleet),
}


class Told(msgspec.Struct, frozen=True):
    """How a story ended; `seconds` is None, too, where a fault ended it early."""

    seed: int
    faults: list[str]  # of the checker, and who did not end on the last version
    seconds: float | None  # from the end of the faults until all had the last version in force
    drawn: list[str]


class FormReport(msgspec.Struct, frozen=True):
    """One form of the machine over many stories."""

    form: str
    stories: int
    found: int  # stories in which the checker found a fault
    invariants: dict[str, int]  # the first that broke, by how many stories
    first: list[Told]


class _Story:
    """One story while it is drawn and played."""

    def __init__(self, seed: int, form: Form) -> None:
        self.random = at = random.Random(seed)
        self.fleet = form.fleet(at.randint(*SIZES), seed, kind=form.kind, recorded=True)
        self.body = Body(seed, members=6, rules=3, hosts=8)
        self.changes: list[float] = []
        self.drawn: list[str] = []
        self.names = list(self.fleet.nodes)

    def draw(self) -> None:
        """Put changes and faults on the clock."""
        at, fleet = self.random, self.fleet
        begin = fleet.now + WARM_UP
        self.changes = [begin + at.uniform(0.0, SECONDS) for _ in range(at.randint(*CHANGES))]
        for when in self.changes:
            fleet.at(when, self._push)
        kinds = (self._kill, self._kill_after_push, self._cut, self._cut_one_way, self._cut_region, self._spoil)
        for _ in range(at.randint(*FAULTS)):
            at.choice(kinds)(begin + at.uniform(0.0, SECONDS), at.uniform(*FAULT_SECONDS))

    def play(self) -> bool:
        """Play what was drawn; False where the checker found a fault, after which the story is over.

        A flawed form may send without end from there on.
        """
        fleet = self.fleet
        until = fleet.now + WARM_UP + SECONDS + FAULT_SECONDS[1]
        while fleet.now < until:
            fleet.run(min(until, fleet.now + CHECK_EVERY))
            if faults(fleet.history):
                return False
        return True

    def end(self) -> float | None:
        """End all faults; the time until all have the last version in force."""
        fleet = self.fleet
        fleet.loss = fleet.repeat = fleet.reorder = 0.0
        fleet.heal()
        for name in self.names:
            if not fleet.nodes[name].alive:
                fleet.restart(name)
        return fleet.run_until(lambda: not behind(fleet), BOUND, 0.1)

    def _push(self) -> None:
        # Half of the bodies have nothing in common with the one before.
        other = Body(self.random.getrandbits(32), members=6, rules=3, hosts=60)
        self.fleet.push(self.body.change() if self.random.random() < 0.5 else other.change())

    def _kill(self, when: float, lasts: float) -> None:
        names = self.random.sample(self.names, self.random.randint(1, max(1, len(self.names) // 3)))
        self._tell("end", names, when, lasts)
        for name in names:
            self.fleet.at(when, lambda name=name: self.fleet.outage([name], lasts))  # type: ignore[misc]

    def _kill_after_push(self, when: float, lasts: float) -> None:
        self._kill(self.random.choice(self.changes) + self.random.uniform(*AFTER_PUSH), lasts)

    def _cut(self, when: float, lasts: float) -> None:
        some = set(self.random.sample(self.names, self.random.randint(1, len(self.names) // 2)))
        self._tell("cut", sorted(some), when, lasts)
        self._cut_while(when, lasts, lambda a, b: (a in some) != (b in some))

    def _cut_one_way(self, when: float, lasts: float) -> None:
        some = set(self.random.sample(self.names, self.random.randint(1, len(self.names) // 2)))
        self._tell("cut one way", sorted(some), when, lasts)
        self._cut_while(when, lasts, lambda a, b: a in some and b not in some)

    def _cut_region(self, when: float, lasts: float) -> None:
        region = self.random.choice(sorted({node.region for node in self.fleet.nodes.values()}))
        away = set(self.fleet.of_region(region))
        self._tell("cut", [region], when, lasts)
        self._cut_while(when, lasts, lambda a, b: (a in away) != (b in away))

    def _cut_while(self, when: float, lasts: float, lost: Callable[[str, str], bool]) -> None:
        self.fleet.at(when, lambda: self.fleet.cut(lost))
        self.fleet.at(when + lasts, lambda: self.fleet.heal(lost))

    def _spoil(self, when: float, lasts: float) -> None:
        loss, repeat = self.random.uniform(0.0, LOSS_MOST), self.random.uniform(0.0, REPEAT_MOST)
        reorder = self.random.uniform(0.0, REORDER_MOST)
        self._tell(f"loss {loss:.2f}, repeat {repeat:.2f}, reorder {reorder:.2f}", [], when, lasts)

        def set_to(loss: float, repeat: float, reorder: float) -> None:
            self.fleet.loss, self.fleet.repeat, self.fleet.reorder = loss, repeat, reorder

        self.fleet.at(when, lambda: set_to(loss, repeat, reorder))
        self.fleet.at(when + lasts, lambda: set_to(0.0, 0.0, 0.0))

    def _tell(self, what: str, names: list[str], when: float, lasts: float) -> None:
        self.drawn.append(" ".join([f"{when:.2f} s:", what, *names, f"for {lasts:.2f} s"]))


def story(seed: int, form: str = SOUND) -> Told:
    """Play one story."""
    played = _Story(seed, FORMS[form])
    played.draw()
    if not played.play():
        return Told(seed, faults(played.fleet.history), None, played.drawn)
    seconds = played.end()
    found = faults(played.fleet.history)
    found += [f"behind: {told}, {BOUND} s after the faults" for told in behind(played.fleet)]
    return Told(seed, found, None if seconds is None else round(seconds, 2), played.drawn)


def stories(form: str, seeds: range) -> FormReport:
    """Play many stories of one form."""
    told = [story(seed, form) for seed in seeds]
    found = [row for row in told if row.faults]
    invariants = Counter(row.faults[0].partition(":")[0] for row in found)
    first = [msgspec.structs.replace(row, faults=row.faults[:FAULTS_TOLD]) for row in found[:FAULTS_TOLD]]
    return FormReport(form, len(told), len(found), dict(invariants), first)
