"""A day of the operators' fleet in virtual time: changes with bursts, crashes, restarts, a rack, a zone, a cut.

The plan is drawn from a seed by `distribution_plan`.  What is judged: each change in force everywhere within the bound,
and the history by the checker.
"""

from __future__ import annotations

import time

import msgspec

from benchmarks.distribution.fleet import Fleet, Traffic
from benchmarks.distribution.history import faults
from benchmarks.distribution.plan import Apart, Day, Outage, draw
from benchmarks.distribution.scenarios import AFTER_HEAL, Session, Way
from benchmarks.distribution.times import BOUND, Miss, Quantiles

PUSH_AGAIN = 1.0  # s after which an operator who found no majority pushes again
SETTLE = 60.0  # s after the end of the day
MISSES_TOLD = 20
NEAR = 10.0  # s around a miss in which a fault may be its cause


class Missed(msgspec.Struct, frozen=True):
    """A version that was late at an instance, and the faults that were near."""

    number: int
    instance: str
    seconds: float | None  # None: never
    near: list[str]


class DayReport(msgspec.Struct, frozen=True):
    """What the day came to."""

    seed: int
    instances: int
    share: float  # of a whole day
    agreed: int
    pushes_without_majority: int
    within_bound: int  # changes in force everywhere by then
    everywhere: Quantiles
    returned: Quantiles
    missed: list[Missed]
    faults: list[str]  # of the checker
    behind: list[str]  # living instances that did not end on the last version
    outages: dict[str, int]
    busiest: int  # datagrams that one instance heard in one second, over the day
    busiest_after_heal: int  # in the first seconds after the regions meet again
    traffic: Traffic
    cpu_ms: float  # of process time an instance-second, the virtual network's own included
    real_seconds: float
    events: int


class _Play:
    """One day while it is played."""

    def __init__(self, session: Session, day: Day) -> None:
        self.session, self.fleet, self.day = session, session.fleet, day
        self.begun = self.fleet.now
        self.busiest_after_heal = 0

    def schedule(self) -> None:
        """Put the whole plan on the clock."""
        for when in self.day.changes:
            self.fleet.at(self.begun + when, self._push)
        for outage in self.day.outages:
            self.fleet.at(self.begun + outage.when, lambda outage=outage: self._outage(outage))  # type: ignore[misc]
        for apart in self.day.apart:
            self.fleet.at(self.begun + apart.when, lambda apart=apart: self._apart(apart))  # type: ignore[misc]

    def run(self) -> None:
        """Play to the end of the day, and until all have the last version in force."""
        self.fleet.run(self.begun + self.day.seconds)
        self.session.settle(SETTLE)

    def near(self, miss: Miss) -> list[str]:
        """The faults at the time of a miss."""
        begin = self.fleet.agreed_at[miss.number] - self.begun
        end = begin + (miss.seconds if miss.seconds is not None else self.day.seconds)
        told = []
        for outage in self.day.outages:
            if outage.when < end and outage.when + outage.seconds > begin - NEAR:
                told.append(f"{outage.kind} of {' '.join(outage.instances)} at {outage.when - begin:+.1f} s")
        for apart in self.day.apart:
            if apart.when < end and apart.when + apart.seconds > begin - NEAR:
                told.append(f"{' and '.join(apart.regions)} apart at {apart.when - begin:+.1f} s")
        return told

    def _push(self) -> None:
        if not self.session.push():
            self.fleet.at(self.fleet.now + PUSH_AGAIN, self._push)

    def _outage(self, outage: Outage) -> None:
        self.fleet.outage(outage.instances, outage.seconds)

    def _apart(self, apart: Apart) -> None:
        heal = self.fleet.part(*apart.regions)

        def healed() -> None:
            self.fleet.clear_counts()
            heal()
            self.fleet.at(self.fleet.now + AFTER_HEAL, self._look_after_heal)

        self.fleet.at(self.fleet.now + apart.seconds, healed)

    def _look_after_heal(self) -> None:
        self.busiest_after_heal = max(self.busiest_after_heal, self.fleet.busiest())


def play_day(size: int, seed: int, share: float = 1.0) -> DayReport:
    """Play a day, or a share of one, and judge it."""
    real = time.perf_counter()
    session = Session(size, seed, Way.TREE, fleet=Fleet(size, seed))
    day = draw(seed, session.fleet.by_zone, share)
    play = _Play(session, day)
    play.schedule()
    play.run()
    run = session.end(play.busiest_after_heal)
    fleet = session.fleet
    everywhere = run.everywhere.quantiles()
    kinds = [outage.kind for outage in day.outages]
    return DayReport(
        seed=seed,
        instances=size,
        share=share,
        agreed=everywhere.n,
        pushes_without_majority=fleet.no_majority,
        within_bound=sum(seconds <= BOUND for seconds in run.everywhere.times),
        everywhere=everywhere,
        returned=run.returned.quantiles(),
        missed=[Missed(*miss, near=play.near(miss)) for miss in fleet.times.misses[:MISSES_TOLD]],
        faults=faults(fleet.history),
        behind=behind(fleet),
        outages={kind: kinds.count(kind) for kind in sorted(set(kinds))},
        busiest=run.traffic.busiest,
        busiest_after_heal=play.busiest_after_heal,
        traffic=run.traffic,
        cpu_ms=run.cpu_ms,
        real_seconds=round(time.perf_counter() - real, 1),
        events=fleet.scheduled,
    )


def behind(fleet: Fleet) -> list[str]:
    """Living instances that have another version in force than the last that was agreed on, or another content."""
    wanted = (fleet.register.number, fleet.register.digest)
    return [
        f"{node.name} has {node.in_force.number} of {wanted[0]} in force"
        for node in fleet.living()
        if (node.in_force.number, node.in_force.digest) != wanted
    ]
