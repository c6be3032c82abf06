"""What follows from a result: figures at the design's size with how they came about, and the number of dispatchers."""

from __future__ import annotations

from typing import NamedTuple

from benchmarks.capacity.model import Fit, Result, Series, fit

MEASURED, SLOPE, ASSUMED, NOT_RUN = "measured", "from a slope", "assumed", "not run"
BUSY_MOST = 0.6  # of a core that jobs may take at the peak: what is above it is queues
EACH_LEAST = 2  # dispatchers of a machine, so that an upgrade leaves one there
UPGRADING = 1  # dispatchers that are out for an upgrade at the same time, as [fleet.out] allows by default
MACHINES_LOST = 1  # with a zone, as no two of the machines are in the same zone
HOSTS_A_MESSAGE = 20  # hosts whose attempts one message of the leases tells of, beside 64 leaves
MESSAGES_FRESH = 5  # messages within the time for which what a peer has out counts


class Figure(NamedTuple):
    """A value with how it came about."""

    value: float
    mark: str


class SlopeOf(NamedTuple):
    """A slope of the page."""

    title: str
    series: str
    value: str
    unit: str
    budget: float | None = None
    degree: int = 1


class Dispatchers(NamedTuple):
    """How many there are, and why."""

    request_us: Figure
    a_core: float  # requests a second that one core serves at `BUSY_MOST`
    needed: float  # cores at the peak
    each: int  # dispatchers of a machine
    count: int
    serving: int  # with a zone lost and an upgrade under way

    def us_a_start(self, starts: float) -> float:
        """Processor time that each start may take at the peak, in microseconds."""
        return BUSY_MOST * 1e6 * self.serving / starts


def series_fit(series: Series | None, value: str, degree: int = 1) -> Fit | None:
    return None if series is None else fit(series.used(value), degree)


def at(result: Result, name: str, value: str, size: int, degree: int = 1) -> Figure | None:
    """As measured at that size, else by the slope; None where neither is there."""
    series = result.find(name)
    if series is None:
        return None
    measured = series.at(size, value)
    if measured is not None:
        return Figure(measured, MEASURED)
    found = series_fit(series, value, degree)
    return None if found is None else Figure(found.at(size), SLOPE)


def total(*figures: Figure | None) -> Figure | None:
    """The sum; a slope where any part is one, and nothing where a part is missing."""
    known = [figure for figure in figures if figure is not None]
    if len(known) < len(figures) or not known:
        return None
    mark = MEASURED if all(figure.mark == MEASURED for figure in known) else SLOPE
    return Figure(sum(figure.value for figure in known), mark)


def dispatchers(result: Result) -> Dispatchers | None:
    """The fewest of each machine that serve the peak with a zone lost and an upgrade under way."""
    size = result.size
    cost = at(result, "requests", "request_us", size.workers)
    if cost is None:
        return None
    a_core = BUSY_MOST * 1e6 / cost.value
    needed = size.starts_a_second / a_core
    each = EACH_LEAST
    while (size.machines - MACHINES_LOST) * each - UPGRADING < needed:
        each += 1
    serving = (size.machines - MACHINES_LOST) * each - UPGRADING
    return Dispatchers(cost, a_core, needed, each, size.machines * each, serving)


class Control(NamedTuple):
    """What a dispatcher spends on control; a voter beside it on its votes."""

    cpu_percent: Figure | None
    memory_mb: Figure | None
    bytes: Figure | None


# Of each part: series, and the names of its processor time, memory and bytes.
PARTS = {
    "leases": ("leases", "cpu_percent", "memory_mb", "bytes"),
    "view": ("view", "cpu_percent", "memory_mb", "bytes"),
    "follower": ("register", "follower_cpu_percent", "", "follower_bytes"),
    "voter": ("register", "voter_cpu_percent", "", "voter_bytes"),
    "configuration": ("configuration", "cpu_percent", "memory_mb", "bytes"),
}
QUADRATIC = {"voter_bytes"}  # as many requests as instances, each answered with the reports of all


def part_at(result: Result, part: str, count: int) -> Control:
    """What one part costs an instance among so many."""
    series, cpu, memory, sent = PARTS[part]

    def found(value: str) -> Figure | None:
        return at(result, series, value, count, 2 if value in QUADRATIC else 1) if value else None

    return Control(found(cpu), found(memory), found(sent))


def control(result: Result, count: int, votes: bool) -> Control:
    """All parts together; the memory of the register is that of the whole instance less the view's."""
    names = ["leases", "view", "voter" if votes else "follower"]
    if "configuration" in result.series:
        names.append("configuration")
    parts = [part_at(result, name, count) for name in names]
    instance = at(result, "register", "voter_memory_mb" if votes else "follower_memory_mb", count)
    leases = part_at(result, "leases", count).memory_mb
    return Control(
        total(*(part.cpu_percent for part in parts)),
        total(instance, leases),
        total(*(part.bytes for part in parts)),
    )


def told_hosts() -> int:
    """Of how many hosts an instance can know what its peers have out there."""
    return HOSTS_A_MESSAGE * MESSAGES_FRESH


SLOPES = (
    SlopeOf("control of whole dispatchers: bytes sent a second", "control", "bytes", "B/s", 5000.0),
    SlopeOf("control of whole dispatchers: processor time", "control", "cpu_percent", "% of a core", 1.6),
    SlopeOf("control of whole dispatchers: memory", "control", "memory_mb", "MB", 64.0),
    SlopeOf("leases: bytes sent a second", "leases", "bytes", "B/s", 5000.0),
    SlopeOf("leases: processor time", "leases", "cpu_percent", "% of a core", 1.6),
    SlopeOf("leases: memory", "leases", "memory_mb", "MB", 64.0),
    SlopeOf("leases by the list: processor time", "leases_workers", "cpu_percent", "% of a core", 1.6),
    SlopeOf("view: bytes sent a second", "view", "bytes", "B/s", 5000.0),
    SlopeOf("view: processor time", "view", "cpu_percent", "% of a core", 1.6),
    SlopeOf("view: memory", "view", "memory_mb", "MB", 64.0),
    SlopeOf("view: crash seen by all, worst", "crashes", "crash_worst_s", "s"),
    SlopeOf("view: crash seen by all, stated bound", "crashes", "crash_bound_s", "s"),
    SlopeOf("register, follower: bytes sent a second", "register", "follower_bytes", "B/s", 5000.0),
    SlopeOf("register, follower: processor time", "register", "follower_cpu_percent", "% of a core", 1.6),
    SlopeOf("register, voter: requests a second", "register", "voter_requests", "/s"),
    SlopeOf("register, voter: bytes sent a second", "register", "voter_bytes", "B/s", 5000.0, 2),
    SlopeOf("register, voter: processor time", "register", "voter_cpu_percent", "% of a core", 1.6),
    SlopeOf("configuration: bytes sent a second, quiet", "configuration", "bytes", "B/s", 5000.0),
    SlopeOf("configuration: processor time, quiet", "configuration", "cpu_percent", "% of a core", 1.6),
    SlopeOf("decision: processor time a job", "decisions", "job_us", "us"),
    SlopeOf("decision: memory of the program by its list", "requests", "idle_memory_mb", "MB"),
    SlopeOf("request over HTTP: processor time", "requests", "request_us", "us"),
    SlopeOf("running tasks: memory of the program", "running", "memory_mb", "MB"),
    SlopeOf("running tasks: processor time at rest", "running", "cpu_percent", "% of a core"),
    SlopeOf("teams: processor time a request in the ledger", "teams", "request_us", "us"),
)
