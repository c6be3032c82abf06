"""One row for each requirement: what carries it today, its figure, its budget, and the verdict."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from pathlib import Path

import msgspec

from benchmarks.capacity import figures
from benchmarks.capacity.figures import ASSUMED, MEASURED, NOT_RUN, Control, Dispatchers, Figure
from benchmarks.capacity.model import CONTROL, DISTRIBUTION, Mixed, Result
from thistleshore.fleet import Terms

NONE = "none"
CONTROL_NAMES = {"cpu_percent": "processor time", "memory_mb": "memory", "bytes": "bytes sent"}
NO_MECHANISM = "no mechanism"
SECONDS_A_DAY = 86_400.0
DESCRIPTORS_A_TASK = 2  # its client's connection and its worker's
DESCRIPTORS = 20_000  # that the system of these runs grants a process
VIRTUAL, PROCESSES, HOLLOW = "virtual", "processes", "hollow and whole over sockets"  # runs of changes
WHOLE_PROCESSES = 9  # that `benchmarks.distribution.real --latency` starts


class Row(msgspec.Struct, frozen=True):
    """One requirement."""

    requirement: str
    carried_by: str
    figure: str
    mark: str
    budget: str
    ratio: float | None
    verdict: str


class Spread(msgspec.Struct, frozen=True):
    """How long changes took to be in force everywhere, in one kind of run; times in seconds."""

    instances: int
    changes: int
    worst: float
    never: int  # changes that were not everywhere within the run


class _Everywhere(msgspec.Struct, frozen=True):
    """Seconds from agreed to in force everywhere, as `benchmarks.distribution.virtual` keeps them."""

    n: int
    worst: float | None
    never: int


class _Day(msgspec.Struct, frozen=True):
    """What a day with its failures came to."""

    instances: int
    everywhere: _Everywhere

    def spread(self) -> Spread | None:
        found = self.everywhere
        return None if found.worst is None else Spread(self.instances, found.n, found.worst, found.never)


class _Virtual(msgspec.Struct, frozen=True):
    days: dict[str, _Day] = {}  # noqa: RUF012 - msgspec copies it


class Times(msgspec.Struct, frozen=True):
    """Of so many changes, or returns; in seconds."""

    failed: int
    p50: float = inf  # of those that did not fail, as the others
    p99: float = inf
    worst: float = inf


class Scenario(msgspec.Struct, frozen=True):
    """One kind of fault, as `benchmarks.distribution.real --latency` and `distribution_hollow` keep it."""

    scenario: str
    changes: int
    spreading: Times
    returned: Times | None = None
    load: float = 0.0


def _worst_of(instances: int, scenarios: Sequence[Scenario]) -> Spread | None:
    """All scenarios together."""
    if not scenarios:
        return None
    changes = sum(found.changes for found in scenarios)
    failed = sum(found.spreading.failed for found in scenarios)
    return Spread(instances, changes, max(found.spreading.worst for found in scenarios), failed)


class _Processes(msgspec.Struct, frozen=True):
    latency: tuple[Scenario, ...] = ()


class _Hollow(msgspec.Struct, frozen=True):
    """Hollow dispatchers over sockets, with whole ones among them."""

    hollow: int = 0
    whole: int = 0
    scenarios: tuple[Scenario, ...] = ()


class _Distribution(msgspec.Struct, frozen=True):
    """The file `benchmarks/results/distribution.json`; keys beside these are its own."""

    virtual: _Virtual = _Virtual()
    processes: _Processes = _Processes()
    hollow: dict[str, _Hollow] = {}  # noqa: RUF012 - msgspec copies it


def _kept(file: Path) -> _Distribution:
    return msgspec.json.decode(file.read_bytes(), type=_Distribution) if file.exists() else _Distribution()


def scenarios(file: Path = DISTRIBUTION) -> list[tuple[int, Scenario]]:
    """Instances, and each kind of fault that was played between them over sockets."""
    found = _kept(file)
    return [
        *((WHOLE_PROCESSES, scenario) for scenario in found.processes.latency),
        *((fleet.hollow + fleet.whole, scenario) for fleet in found.hollow.values() for scenario in fleet.scenarios),
    ]


def distribution(file: Path = DISTRIBUTION) -> dict[str, Spread]:
    """The kept results of how configuration spreads, by kind of run; of days in virtual time that of most instances."""
    found = _kept(file)
    days = [spread for day in found.virtual.days.values() if (spread := day.spread()) is not None]
    spreads = {}
    if days:
        spreads[VIRTUAL] = max(days, key=lambda spread: (spread.instances, spread.changes))
    if (processes := _worst_of(WHOLE_PROCESSES, found.processes.latency)) is not None:
        spreads[PROCESSES] = processes
    fleets = [_worst_of(fleet.hollow + fleet.whole, fleet.scenarios) for fleet in found.hollow.values()]
    if hollow := [spread for spread in fleets if spread is not None]:
        spreads[HOLLOW] = max(hollow, key=lambda spread: spread.instances)
    return spreads


def number(value: float) -> str:
    """Three digits that matter."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def verdict_of(ratio: float) -> str:
    return "fits" if ratio <= 1.0 else f"over by {ratio:.1f}"


def judged(
    requirement: str, carried_by: str, figure: Figure | None, unit: str, budget: Figure | float | None, told: str = ""
) -> Row:
    """A row with a budget of the same unit."""
    if isinstance(budget, Figure):
        budget = budget.value
    if budget is None:
        return Row(requirement, carried_by, NOT_RUN, NOT_RUN, NOT_RUN, None, NOT_RUN)
    if figure is None:
        return Row(requirement, carried_by, NOT_RUN, NOT_RUN, f"{number(budget)} {unit}", None, NOT_RUN)
    ratio = figure.value / budget
    text = f"{number(figure.value)} {unit}{told}"
    return Row(
        requirement, carried_by, text, figure.mark, f"{number(budget)} {unit}", round(ratio, 6), verdict_of(ratio)
    )


def missing(requirement: str, why: str, budget: str) -> Row:
    return Row(requirement, NONE, f"none: {why}", "-", budget, None, NO_MECHANISM)


def requirements(result: Result, spreads: dict[str, Spread] | None) -> list[Row]:
    """All rows, in the order of the requirements; `spreads` of the configuration, where they were run."""
    count = figures.dispatchers(result)
    if count is None:
        return []
    return [
        *_work(result, count),
        *_teams(result, count),
        *_places(result, count),
        *_configuration(spreads or {}),
        *_control(result, count),
        *_faults(result, count),
        *_tests(result),
    ]


def _work(result: Result, count: Dispatchers) -> list[Row]:
    size = result.size
    lost = Figure(count.needed, count.request_us.mark)
    running = size.running / count.serving
    memory = figures.at(result, "running", "memory_mb", round(running))
    descriptors = Figure(DESCRIPTORS_A_TASK * running, ASSUMED)
    jobs = Figure(size.jobs_a_day / SECONDS_A_DAY, ASSUMED)
    decision = figures.at(result, "decisions", "job_us", size.workers)
    allowed = count.us_a_start(size.starts_a_second)
    return [
        judged(
            f"{size.workers:,} workers: a decision, of the time that a start may take",
            "draw over the whole list (oxbowarch/brain.py), linear in it",
            decision,
            "us",
            allowed,
        ),
        missing(
            f"{size.accelerators:,} accelerators",
            "a worker tells free slots as one number; no task is bound to an accelerator or to a kind of them",
            "each task on its own",
        ),
        judged(
            f"{size.jobs_a_day:,} jobs a day",
            "one request a task; a job as a whole is not known here",
            jobs,
            "jobs/s",
            count.a_core * count.serving,
        ),
        judged(
            f"{size.starts_a_second:,} task starts a second, a zone lost and an upgrade under way",
            "a request each, over HTTP",
            lost,
            "dispatchers needed",
            float(count.serving),
        ),
        judged(
            f"{size.running:,} tasks running: descriptors of a dispatcher",
            "two connections a task, held open",
            descriptors,
            "descriptors",
            DESCRIPTORS,
            "" if memory is None else f" ({number(running)} tasks, {number(memory.value)} MB {memory.mark})",
        ),
        missing(
            f"gangs of up to {size.gang} tasks that start together", "each request is placed by itself", "all or none"
        ),
        missing(
            "urgent work starts",
            "no class may pass running work; a running job is never ended for another",
            f"{size.urgent} s",
        ),
    ]


def _teams(result: Result, count: Dispatchers) -> list[Row]:
    size = result.size
    ledger = figures.at(result, "teams", "request_us", size.teams)
    leases = figures.part_at(result, "leases", count.count)
    listed = figures.at(result, "leases_workers", "cpu_percent", size.workers)
    hosts = Figure(size.workers / figures.told_hosts(), ASSUMED)
    return [
        judged(
            f"{size.teams} teams with quotas: ledger, of the time that a start may take",
            "contracts/ledger.py, in each dispatcher",
            ledger,
            "us",
            count.us_a_start(size.starts_a_second),
        ),
        judged(
            f"{size.teams} teams with quotas: leases among {count.count} dispatchers, bytes",
            "contracts/exchange.py, a message to each peer every 0.1 s",
            leases.bytes,
            "B/s",
            size.control_bytes_a_second,
        ),
        judged(
            f"the same, with {size.workers:,} workers in the list, 3 dispatchers: processor time",
            "what is out at each worker is told and summed with each message",
            listed,
            "% of a core",
            size.control_cpu_percent,
        ),
        judged(
            "the same: workers of which a dispatcher can know what its peers have out",
            f"{figures.HOSTS_A_MESSAGE} a message, counted for 0.5 s: {figures.told_hosts()} workers at most",
            hosts,
            f"times {figures.told_hosts()} workers",
            1.0,
        ),
    ]


def _places(result: Result, count: Dispatchers) -> list[Row]:
    size = result.size
    heal = figures.at(result, "region_cut", "heal_s", count.count)
    bound = figures.at(result, "crashes", "heal_bound_s", count.count)
    return [
        missing(
            f"{size.regions} regions, {size.zones} zones: work stays near, quotas a region",
            "a zone is a label of the view and of hosts; nothing sums or decides by region",
            "-",
        ),
        judged(
            "a region cut off for an hour: one view again after it",
            "fleet/machine.py calls the dead",
            heal,
            "s",
            bound,
        ),
    ]


def _configuration(spreads: dict[str, Spread]) -> list[Row]:
    requirement, carried = "2,900 configuration changes a day: time to in force", "register and tree (distribution/)"
    rows = []
    for kind in (VIRTUAL, PROCESSES, HOLLOW):
        found = spreads.get(kind)
        told = "" if found is None else f" worst of {found.changes:,} changes at {found.instances} instances"
        if found is not None and found.never:
            told += f"; {found.never} not in force"
        figure = None if found is None else Figure(found.worst, MEASURED)
        rows.append(judged(f"{requirement}, {kind}", carried, figure, "s", 18.0, told))
    return rows


def _control(result: Result, count: Dispatchers) -> list[Row]:
    rows = []
    for name, votes in (("a dispatcher", False), ("a dispatcher that votes", True)):
        found: Control = figures.control(result, count.count, votes)
        size, parts = (
            result.size,
            "leases, view, register"
            + (", configuration" if "configuration" in result.series else " (configuration not among them)"),
        )
        rows += [
            judged(
                f"control of {name}: processor time", parts, found.cpu_percent, "% of a core", size.control_cpu_percent
            ),
            judged(f"control of {name}: memory", parts, found.memory_mb, "MB", size.control_memory_mb),
            judged(f"control of {name}: bytes sent", parts, found.bytes, "B/s", size.control_bytes_a_second),
        ]
    for value, unit, budget in (
        ("cpu_percent", "% of a core", result.size.control_cpu_percent),
        ("memory_mb", "MB", result.size.control_memory_mb),
        ("bytes", "B/s", result.size.control_bytes_a_second),
    ):
        whole = figures.at(result, CONTROL, value, count.count)
        rows.append(
            judged(
                f"control by whole dispatchers: {CONTROL_NAMES[value]}",
                "the same, whole processes, mean of all with their voters",
                whole,
                unit,
                budget,
            )
        )
    program = figures.at(result, "requests", "idle_memory_mb", result.size.workers)
    rows.append(
        judged(
            "memory of the whole program, full list, no tasks",
            "python -O -m thistleshore serve; its own control is not in it",
            program,
            "MB",
            result.size.control_memory_mb,
        )
    )
    machines = Figure(count.count / count.each, ASSUMED)
    rows.append(
        judged(
            "machines set aside",
            f"{count.each} dispatchers on each, one zone each",
            machines,
            "machines",
            float(result.size.machines),
        )
    )
    return rows


def _faults(result: Result, count: Dispatchers) -> list[Row]:
    size = result.size
    gap = SECONDS_A_DAY / (size.failures_a_day + size.restarts_a_day)
    crash = figures.at(result, "crashes", "crash_worst_s", count.count)
    zone = figures.at(result, "zone_lost", "lost_worst_s", count.count)
    bound = figures.at(result, "crashes", "crash_bound_s", count.count)
    return [
        judged(
            f"{size.failures_a_day} machine failures and {size.restarts_a_day} restarts a day: seen by all before "
            "the next",
            "fleet/machine.py, suspicion and gossip, virtual time",
            crash,
            "s",
            gap,
        ),
        judged(
            "a rack or a zone lost: seen by all, beside the stated bound",
            "the same, for all of a zone at once",
            zone,
            "s",
            bound,
        ),
    ]


def _tests(result: Result) -> list[Row]:
    size = result.size
    rows = []
    for found in result.mixed:
        if (found.hollow, found.whole) != (size.hollow, size.whole_beside):
            continue
        parts = " and ".join(found.parts)
        view = None if found.one_view_s is None else Figure(found.one_view_s, MEASURED)
        name = f"{found.hollow} hollow dispatchers with {found.whole} whole ones ({parts})"
        rows.append(
            judged(
                f"{name}: memory of all", "rig/hollow.py", Figure(found.memory_mb, MEASURED), "MB", size.test_memory_mb
            )
        )
        rows.append(_one_view(f"{name}: one view", view, found))
    return rows


def _one_view(requirement: str, view: Figure | None, found: Mixed) -> Row:
    if view is None:
        figure = f"none within {found.most_s:.0f} s"
        return Row(
            requirement, "fleet/carrier.py", figure, MEASURED, f"{found.most_s:.0f} s", None, "over: not reached"
        )
    bound = Terms().healing_bound(found.hollow + found.whole)
    return judged(requirement, "fleet/carrier.py", view, "s", bound)
