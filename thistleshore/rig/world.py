"""A world of the rig, TOML: processes, workers, load and faults, or ranges to draw faults from by a seed.  Pure."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from thistleshore.config import typed

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Zero = Annotated[float, msgspec.Meta(ge=0.0)]
Part = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Kind = Literal[
    "kill", "stop", "term", "restart", "hog",  # of processes
    "cut", "loss", "delay", "repeat", "reorder", "silence", "reset",  # of links
    "slow", "failing", "silent", "gone", "cold",  # of workers
    "detach",  # an operator's act at every process
]  # fmt: skip
PROCESS: tuple[Kind, ...] = ("kill", "stop", "term", "restart", "hog")
LINK: tuple[Kind, ...] = ("cut", "loss", "delay", "repeat", "reorder", "silence", "reset")
WORKER: tuple[Kind, ...] = ("slow", "failing", "silent", "gone", "cold")
PROCESSES_MOST, WORKERS_MOST, SECONDS_MOST = 40, 16, 600.0


class WorldError(ValueError):
    """A world that cannot be played; the text names the faulty key."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, from `at` (s from the start of the timeline) for `seconds`; what was killed is started again then.

    Links are those from each of `who` to each of `to` (to all others where none is named), and back where `both`.
    """

    kind: Kind
    at: Zero
    who: list[str]
    seconds: Zero = 0.0
    to: list[str] = []  # noqa: RUF012 - msgspec copies it
    both: bool = True
    amount: Zero = 1.0  # loss, repeat and reorder: a share; delay: s; slow: times; hog: processes beside it
    name: str = ""  # restart: under this name from then on

    @property
    def ends(self) -> float:
        return self.at + self.seconds


class Workers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    count: Annotated[int, msgspec.Meta(ge=1, le=WORKERS_MOST)] = 3
    seconds: Positive = 0.02  # of a job
    slots: Count = 8


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    rate: Zero = 0.0  # first tries a second at each process
    keyed: Part = 0.3  # of them


class Draw(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults drawn by a seed: so many, of these kinds, each for a time within the range."""

    least: Count = 1
    most: Count = 4
    kinds: tuple[Kind, ...] = ("kill", "stop", "cut", "loss", "repeat")
    seconds: tuple[Positive, Positive] = (0.5, 3.0)
    within: Positive = 4.0  # s in which they begin


class World(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole of a run.  Times in seconds."""

    name: str
    told: str = ""
    processes: Annotated[int, msgspec.Meta(ge=1, le=PROCESSES_MOST)] = 3
    zones: tuple[str, ...] = ("a",)  # dealt out in turn
    period: Positive = 0.2  # of the view's probes
    seeds: Count = 2  # processes that all others call first
    workers: Workers = Workers()
    load: Load = Load()
    hot: bool = False  # each may be replaced by a hot restart
    trial: Zero = 0.0  # s of a newcomer's trial; above 0 each process has a keeper, and may be released to
    voters: Annotated[int, msgspec.Meta(ge=0)] = 0  # processes that vote on who may be out; 0: nothing is agreed
    out: dict[str, int | str] = {}  # noqa: RUF012 - the limits, as [fleet.out] has them
    configuration: bool = False  # the voters agree on a configuration, which all follow
    fault: list[Fault] = []  # noqa: RUF012
    draw: Draw | None = None

    @property
    def names(self) -> list[str]:
        return [f"p{n}" for n in range(self.processes)]

    @property
    def worker_names(self) -> list[str]:
        return [f"w{n}" for n in range(self.workers.count)]


def read(path: Path) -> World:
    """The world of a file, or WorldError with the key."""
    return convert(typed.read(path, WorldError))


def convert(found: object) -> World:
    """The world of tables that were read."""
    world = typed.convert(found, World, WorldError)
    if world.configuration and not world.voters:
        raise WorldError("configuration: voters have to agree on it")
    known = {*world.names, *world.worker_names, "load"}
    for n, fault in enumerate(world.fault):
        if strange := sorted({*fault.who, *fault.to} - known):
            raise WorldError(f"fault[{n}]: there is no {', '.join(strange)}")
        workers = fault.kind in (*WORKER, "detach")
        wanted = world.worker_names if workers else [*world.names, *world.worker_names, "load"]
        if not fault.who or set(fault.who) - set(wanted) or fault.kind in PROCESS and set(fault.who) - set(world.names):
            raise WorldError(f"fault[{n}].who: {fault.kind!r} is no fault of {', '.join(fault.who) or 'nobody'}")
        if fault.name and (fault.kind != "restart" or len(fault.who) != 1):
            raise WorldError(f"fault[{n}].name: only one process that restarts takes another")
        if fault.ends > SECONDS_MOST:
            raise WorldError(f"fault[{n}]: a world ends within {SECONDS_MOST:g} s")
    if world.draw is not None and world.draw.least > world.draw.most:
        raise WorldError("draw.least: more than draw.most")
    return world


def timeline(world: World, seed: int) -> list[Fault]:
    """The faults of a seed, in order of their beginning; the same seed, the same faults."""
    if world.draw is None:
        return sorted(world.fault, key=lambda fault: fault.at)
    at, draw, names = random.Random(f"{world.name} {seed}"), world.draw, world.names
    found = list(world.fault)
    for _ in range(at.randint(draw.least, draw.most)):
        kind = at.choice(draw.kinds)
        begins, lasts = round(at.uniform(0, draw.within), 2), round(at.uniform(*draw.seconds), 2)
        if kind in WORKER or kind == "detach":
            found.append(Fault(kind, begins, [at.choice(world.worker_names)], lasts, amount=at.choice([2.0, 9.0])))
        elif kind in PROCESS:
            # Half of the fleet at the most: whoever is left has to go on.
            some = at.sample(names, at.randint(1, max(1, len(names) // 2)))
            found.append(Fault(kind, begins, some, lasts, amount=2.0))
        else:
            some = at.sample(names, at.randint(1, max(1, len(names) - 1)))
            others = [name for name in names if name not in some]
            amount = {"delay": at.uniform(0.01, 0.1)}.get(kind, at.uniform(0.1, 0.5))
            found.append(Fault(kind, begins, some, lasts, others, at.random() < 0.6, round(amount, 3)))
    return sorted(found, key=lambda fault: fault.at)
