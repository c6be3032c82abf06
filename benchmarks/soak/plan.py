"""What a seed draws: the size of the run, its load, and the faults with their times."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from benchmarks.soak.terms import Terms

SETTINGS_STREAM = 1_000_000  # beyond all seeds: a stream of its own for what new settings draw
WARM = 3.0  # s before the first fault


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: `target` numbers a server or a dispatcher, `seconds` says how long it lasts."""

    at: float
    kind: str
    target: int
    seconds: float = 0.0
    share: float = 0.0  # of the requests, or of the servers


@dataclass(frozen=True, slots=True)
class Plan:
    """One run."""

    seed: int
    terms: Terms
    servers: int
    load: float  # of all capacity
    skew: float  # share of the traffic of the first dispatcher beyond the others'
    period: float  # s between two lists
    lateness: tuple[float, float]  # s by which lists come late, of one dispatcher or another
    seconds: float
    leave: float
    faults: tuple[Fault, ...] = field(default=())


def draw(seed: int, nodes: int | None = None) -> Plan:
    """The plan of a seed; `nodes`: so many dispatchers in place of a drawn number."""
    random = Random(seed)
    drawn = random.choice((1, 2, 2, 2, 3, 3, 8, 12))
    count = nodes or drawn
    deadlines = random.choice(((10.0, 5.0, 5.0), (10.0, 5.0, 5.0), (3.0, 2.0, 2.0), (1.2, 1.0, 1.0)))
    terms = Terms(count, deadlines=deadlines)
    servers = random.randint(10, 15)
    seconds = 14.0
    faults: list[Fault] = []
    for _ in range(random.randint(2, 3)):
        faults += _come_back(random, servers, seconds)
    for _ in range(random.randint(2, 5)):
        faults.append(_any(random, servers, count, seconds))
    if random.random() < 0.3:
        faults.append(Fault(random.uniform(WARM, seconds - 4), "crowd", random.randrange(count), 3.0, 60.0))
    faults += _new_settings(Random(seed + SETTINGS_STREAM), count, seconds)
    return Plan(seed, terms, servers, random.uniform(0.5, 1.3), random.choice((0.0, 0.0, 0.4, 0.7)),
                random.uniform(0.4, 1.1), (0.0, random.choice((0.1, 0.8, 1.6))), seconds,
                random.choice((0.0, 0.05, 0.15)), tuple(sorted(faults, key=lambda fault: fault.at)))  # fmt: skip


def _new_settings(random: Random, nodes: int, seconds: float) -> list[Fault]:
    """At one run in three a dispatcher gets new settings, and others again; drawn apart from all else."""
    if random.random() >= 1 / 3:
        return []
    return [Fault(random.uniform(WARM, seconds - 4), "retune", random.randrange(nodes), random.uniform(0.02, 3.0))]


def _come_back(random: Random, servers: int, seconds: float) -> list[Fault]:
    """A server that comes back, in place or as another, and what befalls it just then."""
    at, target = random.uniform(WARM + 1, seconds - 4), random.randrange(servers)
    faults = [Fault(at, random.choice(("restart", "restart", "replace")), target, random.choice((0.05, 0.5, 1.5)))]
    trouble = random.choice(("", "resets", "rejects", "late"))
    if trouble:
        faults.append(Fault(at, trouble, target, 4.0, random.choice((0.5, 0.9))))
    return faults


def _any(random: Random, servers: int, nodes: int, seconds: float) -> Fault:
    kind = random.choice(("down", "terminate", "kill", "stall", "stall", "reread", "silent", "cut", "drain"))
    at = random.uniform(WARM, seconds - 4)
    if kind == "down":
        return Fault(at, kind, random.randrange(servers), random.uniform(1.0, 5.0), random.uniform(0.1, 0.4))
    if kind == "drain":
        return Fault(at, kind, random.randrange(servers), 4.0)
    if kind == "stall":
        return Fault(at, kind, random.randrange(nodes), random.uniform(0.02, 0.14))
    return Fault(at, kind, random.randrange(nodes), random.uniform(0.5, 4.0))
