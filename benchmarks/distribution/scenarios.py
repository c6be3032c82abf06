"""The scenarios of the measurements: each plays a fleet under one kind of fault, and returns what was measured.

The distributor and both baselines play the same scenarios; `Way` says which.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from enum import Enum
from itertools import product

import msgspec

from benchmarks.distribution.baselines import Asker, FileOnly, HandTerms, Operator
from benchmarks.distribution.bodies import Body
from benchmarks.distribution.deaths import RELAY_STEPS, VOTER_STEPS, Deaths, Step, mortal_fleet
from benchmarks.distribution.fleet import Fleet, Traffic, traffic_of_runs
from benchmarks.distribution.history import faults
from benchmarks.distribution.times import BOUND, InForceTimes, Quantiles, Sample
from thistleshore.distribution.machine import Distributor
from thistleshore.distribution.model import Peer
from thistleshore.distribution.tree import Tree

WARM_UP = 8.0  # s, in which the first version comes into force
CHANGES = 20  # in a scenario without a burst
CHANGE_EVERY = 5.0  # s
BURST = 60  # changes in
BURST_SECONDS = 60.0
LOSS = 0.1
IDLE_SECONDS = 120.0
DOWN_SECONDS = 40.0  # of a zone, within the scenario
CUT_SECONDS = 120.0  # of a region
AFTER_HEAL = 30.0  # s in which the return must be no herd
SETTLE = 30.0  # s that are waited at the end of a scenario
HAND_SETTLE = 3_600.0
DEATH_SECONDS = (1.0, 15.0)  # until an instance that died at a step starts again


class Way(Enum):
    """How configuration is spread."""

    TREE = "tree"
    ASKING = "all ask the voters each second"
    BY_HAND = "a file and SIGHUP by hand"


class Measured(msgspec.Struct, frozen=True):
    """What one scenario came to over all its seeds."""

    everywhere: Quantiles  # s from agreed to in force everywhere, a version each
    returned: Quantiles  # s from a start or the end of a cut to in force
    traffic: Traffic
    cpu_ms: float  # of process time an instance-second, the virtual network's own included
    faults: list[str]  # of the checker
    busiest_after_heal: int = 0  # datagrams in one second at any instance
    copied_bytes_an_instance: float = 0.0  # by hand, a second


class Run(msgspec.Struct, frozen=True):
    """What one play of a scenario came to."""

    everywhere: Sample
    returned: Sample
    traffic: Traffic
    cpu_ms: float
    faults: list[str]
    busiest_after_heal: int
    copied_bytes_an_instance: float


class DeathRow(msgspec.Struct, frozen=True):
    """Deaths at one step: who died, how often it came to that, and the time of the version on its way."""

    role: str
    step: str
    deaths: int
    everywhere: Quantiles
    returned: Quantiles


class Session:
    """A fleet with its configuration and whoever brings it; past the warm-up."""

    def __init__(self, size: int, seed: int, way: Way, loss: float = 0.0, fleet: Fleet | None = None) -> None:
        """`fleet` where it is made already."""
        kinds: dict[Way, type] = {Way.TREE: Distributor, Way.ASKING: Asker, Way.BY_HAND: FileOnly}
        recorded = way is Way.TREE
        self.way = way
        self.random = random.Random(seed)
        self.fleet = fleet or Fleet(size, seed, loss=loss, kind=kinds[way], recorded=recorded)
        self.body = Body(seed)
        self._operator = Operator(self.fleet, HandTerms()) if way is Way.BY_HAND else None
        self._cpu = 0.0
        self._warm_up()

    @property
    def settle_seconds(self) -> float:
        """How long is waited at the end."""
        return HAND_SETTLE if self.way is Way.BY_HAND else SETTLE

    def push(self, body: bytes | None = None) -> int:
        """Agree on a small change, or on this body."""
        wanted = self.body.change() if body is None else body
        return self._operator.push(wanted) if self._operator is not None else self.fleet.push(wanted)

    def push_every(self, seconds: float, count: int) -> None:
        """That many changes, so many seconds apart, from now on."""
        for number in range(count):
            self.fleet.at(self.fleet.now + number * seconds, self.push)

    def settle(self, most: float | None = None) -> None:
        """Play until all that counts is in force."""
        self.fleet.run_until(lambda: self.fleet.times.settled, most or self.settle_seconds, 0.25)

    def end(self, busiest_after_heal: int = 0) -> Run:
        """What came of it; the run is over."""
        fleet = self.fleet
        cpu = time.process_time() - self._cpu
        fleet.times.end()
        traffic = fleet.traffic()
        instance_seconds = traffic.seconds * len(fleet.nodes)
        copied = self._operator.copied_bytes / instance_seconds if self._operator is not None else 0.0
        return Run(
            everywhere=fleet.times.everywhere(),
            returned=fleet.times.returned(),
            traffic=traffic,
            cpu_ms=round(1000.0 * cpu / instance_seconds, 3),
            faults=faults(fleet.history),
            busiest_after_heal=busiest_after_heal,
            copied_bytes_an_instance=round(copied, 1),
        )

    def _warm_up(self) -> None:
        loss, self.fleet.loss = self.fleet.loss, 0.0
        self.fleet.run(1.0)
        self.push()
        self.fleet.run(self.fleet.now + WARM_UP)
        self.settle()
        self.fleet.loss = loss
        self.begin()

    def begin(self) -> None:
        """Measure from here on."""
        fleet, before = self.fleet, self.fleet.times
        fleet.times = InForceTimes(agreed=before.agreed)
        for node in fleet.living():
            fleet.times.on_return(node.name, node.in_force.number, fleet.now)
        fleet.times.returns.clear()
        fleet.count_anew()
        self._cpu = time.process_time()


Scenario = Callable[[int, int, Way], Run]


def idle(size: int, seed: int, way: Way) -> Run:
    """No change at all: what standing by costs."""
    session = Session(size, seed, way)
    session.fleet.run(session.fleet.now + IDLE_SECONDS)
    return session.end()


def without_faults(size: int, seed: int, way: Way) -> Run:
    """Single changes."""
    return _single_changes(Session(size, seed, way))


def with_loss(size: int, seed: int, way: Way) -> Run:
    """Single changes while a tenth of the datagrams is lost."""
    return _single_changes(Session(size, seed, way, LOSS))


def zone_down(size: int, seed: int, way: Way) -> Run:
    """Single changes; a zone ends at a moment near one of them, and comes back."""
    session = Session(size, seed, way)
    fleet = session.fleet
    zone = session.random.choice(sorted(fleet.by_zone))
    when = fleet.now + CHANGE_EVERY * session.random.randint(2, CHANGES // 3) + session.random.uniform(-0.2, 0.5)
    fleet.at(when, lambda: fleet.outage(fleet.by_zone[zone], DOWN_SECONDS))
    return _single_changes(session)


def burst(size: int, seed: int, way: Way) -> Run:
    """Sixty changes in a minute."""
    return _burst(Session(size, seed, way))


def burst_with_loss(size: int, seed: int, way: Way) -> Run:
    """Sixty changes in a minute while a tenth of the datagrams is lost."""
    return _burst(Session(size, seed, way, LOSS))


def region_returns(size: int, seed: int, way: Way) -> Run:
    """A region is cut off from all others for two minutes, in which the configuration changes."""
    session = Session(size, seed, way)
    fleet = session.fleet
    region = session.random.choice(sorted({node.region for node in fleet.nodes.values()}))
    heal = fleet.isolate(fleet.of_region(region))
    session.push_every(CHANGE_EVERY, CHANGES)
    fleet.run(fleet.now + CUT_SECONDS)
    fleet.clear_counts()
    heal()
    fleet.run(fleet.now + AFTER_HEAL)
    busiest = fleet.busiest()
    session.settle()
    return session.end(busiest)


SCENARIOS: dict[str, Scenario] = {
    "idle": idle,
    "without faults": without_faults,
    "10 % loss": with_loss,
    "a zone down": zone_down,
    "burst": burst,
    "burst, 10 % loss": burst_with_loss,
    "a region returns": region_returns,
}


def _single_changes(session: Session) -> Run:
    session.push_every(CHANGE_EVERY, CHANGES)
    session.fleet.run(session.fleet.now + CHANGES * CHANGE_EVERY)
    session.settle()
    return session.end()


def _burst(session: Session) -> Run:
    session.push_every(BURST_SECONDS / BURST, BURST)
    session.fleet.run(session.fleet.now + BURST_SECONDS)
    session.settle()
    return session.end()


# -- deaths between any two steps ---------------------------------------------------------------------


class _Play(msgspec.Struct):
    """The deaths at one step of one role, over seeds."""

    everywhere: Sample = msgspec.field(default_factory=Sample)
    returned: Sample = msgspec.field(default_factory=Sample)
    deaths: int = 0


def deaths_at_steps(size: int, seeds: int, loss: float = 0.0) -> tuple[list[DeathRow], list[str]]:
    """Voters and both relays of a region or a zone die at each step; a row for each, and what the checker found."""
    plays: dict[tuple[str, Step], _Play] = {}
    broken: list[str] = []
    for seed in range(seeds):
        fleet, deaths = mortal_fleet(size, seed, loss)
        session = Session(size, seed, Way.TREE, loss, fleet)
        for role, step in _roles_and_steps():
            session.begin()
            _die_at(session, deaths, role, step, plays.setdefault((role, step), _Play()))
        broken += [f"seed {seed}: {fault}" for fault in faults(fleet.history)]
    return [_death_row(role, step, play) for (role, step), play in plays.items()], broken


def _roles_and_steps() -> list[tuple[str, Step]]:
    rows = list(product(("voter",), VOTER_STEPS))
    return rows + list(product(("region relays", "zone relays"), RELAY_STEPS))


def _die_at(session: Session, deaths: Deaths, role: str, step: Step, play: _Play) -> None:
    fleet = session.fleet
    deaths.planned = dict.fromkeys(_chosen(session, role), step)
    deaths.happened = []
    # A body of another seed differs everywhere, so that it takes several parts.
    session.push(Body(session.random.getrandbits(32)).text())
    fleet.run(fleet.now + 1.0)
    for name in deaths.happened:
        delay = session.random.uniform(*DEATH_SECONDS)
        fleet.at(fleet.now + delay, lambda name=name: fleet.restart(name))  # type: ignore[misc]
    deaths.planned = {}
    fleet.run(fleet.now + BOUND)
    session.settle()
    fleet.times.end()
    play.deaths += len(deaths.happened)
    play.everywhere.add(fleet.times.everywhere())
    play.returned.add(fleet.times.returned())


def _chosen(session: Session, role: str) -> list[str]:
    """A voter, or both relays of a region or zone, by the tree that all share."""
    fleet = session.fleet
    if role == "voter":
        return [session.random.choice(sorted(fleet.voters))]
    first = fleet.living()[0]
    assert first.machine is not None
    tree = Tree(first.machine.local_peer, first.view, fleet.voters)
    relays: dict[str, tuple[Peer, ...]] = tree.region_relays if role == "region relays" else tree.zone_relays
    return [peer.name for peer in relays[session.random.choice(sorted(relays))]]


def _death_row(role: str, step: Step, play: _Play) -> DeathRow:
    return DeathRow(
        role=role,
        step=step.value,
        deaths=play.deaths,
        everywhere=play.everywhere.quantiles(),
        returned=play.returned.quantiles(),
    )


# -- several seeds ------------------------------------------------------------------------------------


def over_seeds(name: str, size: int, seeds: int, way: Way) -> Measured:
    """One scenario over seeds 0, 1, ...: times of all together, traffic as the mean and the worst of the seeds."""
    runs = [SCENARIOS[name](size, seed, way) for seed in range(seeds)]
    everywhere, returned = Sample(), Sample()
    for run in runs:
        everywhere.add(run.everywhere)
        returned.add(run.returned)
    return Measured(
        everywhere=everywhere.quantiles(),
        returned=returned.quantiles(),
        traffic=traffic_of_runs([run.traffic for run in runs]),
        cpu_ms=round(sum(run.cpu_ms for run in runs) / seeds, 3),
        faults=[fault for run in runs for fault in run.faults],
        busiest_after_heal=max(run.busiest_after_heal for run in runs),
        copied_bytes_an_instance=round(sum(run.copied_bytes_an_instance for run in runs) / seeds, 1),
    )
