"""State of one instance of the decision module: plain records, no decisions."""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, deque
from collections.abc import Hashable, Iterable
from math import ceil, exp, inf
from zlib import crc32

from oxbowarch.interface import Entry, Request, Settings, State, WorkerId
from oxbowarch.slow_start import SlowStartBudget


SENDS_KEPT = 64  # times of the latest attempts at one worker
REJECTION_KEYS_KEPT = 256  # classes and tenants with a rejection count at one worker
FREE_MOST = 1000.0  # slots; what a report says beyond it is not believed


class DecayedCount:
    """A count that decays exponentially since its last change: EARRRL's count N and time T."""

    __slots__ = ("count", "at", "served_by")

    def __init__(self, now: float) -> None:
        self.count = 0.0
        self.at = now
        self.served_by: list[Worker] = []  # for a key: workers that served it, the latest first

    def note(self, worker: Worker, most: int) -> None:
        """Record that the worker served the key; at most `most` workers are stored."""
        self.served_by = [worker, *(w for w in self.served_by if w is not worker)][:most]

    def read(self, decay: float, now: float) -> float:
        """Return the count decayed to `now`, without changing it."""
        return self.count * exp(decay * (self.at - now)) if self.count else 0.0

    def add(self, amount: float, decay: float, now: float) -> float:
        """Decay the count to `now` and add; return the count before adding."""
        count = self.read(decay, now)
        self.count, self.at = count + amount, now
        return count


class RateTable(OrderedDict[Hashable, DecayedCount]):
    """Decayed counts by name; beyond `most`, the least recently used is dropped."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most = most

    def add(self, name: Hashable, decay: float, now: float, amount: float = 1.0) -> float:
        """Add to the count of a name; return the count before adding."""
        entry = self[name] = self.pop(name) if name in self else DecayedCount(now)
        if len(self) > self.most:
            self.popitem(last=False)
        return entry.add(amount, decay, now)

    def halve(self, name: Hashable) -> None:
        """Halve the count of a name, if there is one."""
        if name in self:
            self[name].count /= 2

    def read(self, name: Hashable, decay: float, now: float) -> float:
        """Return the count of a name decayed to `now`; 0 where there is none."""
        entry = self.get(name)
        return entry.read(decay, now) if entry else 0.0


class MovingAverage:
    """An exponential moving average of observations; starts from one observation of 0."""

    __slots__ = ("observations", "total", "decay")

    def __init__(self, now: float, decay: float) -> None:
        self.observations, self.total, self.decay = DecayedCount(now), DecayedCount(now), decay

    def observe(self, value: float, now: float) -> None:
        """Add an observation."""
        self.observations.add(1.0, self.decay, now)
        self.total.add(value, self.decay, now)

    def mean(self) -> float:
        """Return the average as of the latest observation."""
        return self.total.count / (1.0 + self.observations.count)


class MovingAverages(dict[int, MovingAverage]):
    """A moving average by number, created on first access."""

    def __init__(self, now: float, decay: float) -> None:
        super().__init__()
        self.now, self.decay = now, decay

    def __missing__(self, number: int) -> MovingAverage:
        self[number] = MovingAverage(self.now, self.decay)
        return self[number]


class LargestFree:
    """The most free slots that a listed worker has reported, for workers of which nothing is known."""

    __slots__ = ("least", "value", "by_worker")

    def __init__(self, least: float) -> None:
        self.least = self.value = least
        self.by_worker: dict[WorkerId, float] = {}  # of the listed workers that have reported

    def report(self, worker: WorkerId, free: float) -> None:
        """Record the free slots that a worker reports."""
        free = min(free, FREE_MOST)
        before = self.by_worker.get(worker)
        self.by_worker[worker] = free if before is None else max(before, free)
        if before is None:
            self._derive()
        else:
            self.value = max(self.value, free)

    def keep(self, workers: Iterable[Worker]) -> None:
        """Forget workers that are no longer listed; where none is left, the value stays until a report."""
        listed = {worker.id for worker in workers if worker.entry.state is not State.GONE}
        if not self.by_worker.keys() <= listed:
            self.by_worker = {worker: free for worker, free in self.by_worker.items() if worker in listed}
            if self.by_worker:
                self._derive()

    def _derive(self) -> None:
        self.value = max(self.least, *self.by_worker.values())


class Worker:
    """The state that this dispatcher has of one worker."""

    __slots__ = (
        "id", "entry", "reported_free", "slots", "report_until", "no_room_until", "waiting", "rejected",
        "lagged_outstanding", "lagged_at", "outstanding", "running", "slowdown_total", "slowdown_count", "failures",
        "rejections", "shunned_until", "slow_start", "peer_outstanding", "published_at", "restored_at", "send_times",
        "process_since", "started_at",
    )  # fmt: skip

    def __init__(self, entry: Entry, tokens: float, now: float) -> None:
        self.id = entry.worker
        self.entry = entry
        self.started_at = entry.started_at  # latest start time in a list; 0: long ago
        self.restored_at = 0.0  # when an operator lifted its ban; 0: never banned
        self.send_times: deque[float] = deque(maxlen=SENDS_KEPT)  # times of own attempts
        self.running: list[Attempt] = []  # own attempts that have started, where workers report starts
        self.process_since = -inf  # start of the process that the counts are of, if known
        self.peer_outstanding: dict[int, tuple[int, float]] = {}  # by peer: its attempts here, valid until
        self.reset(tokens, now)

    def restart(self, tokens: float, attempts: Iterable[Attempt], now: float) -> None:
        """Reset to a process that a list says started at the entry's time; attempts sent since then are in it.

        `attempts`: own outstanding ones at this worker.  Counts of peers are recent, and stay.
        """
        started_at = min(self.started_at, now)
        others = self.peer_outstanding
        here = [attempt for attempt in attempts if attempt.sent_at >= started_at]
        self.reset(tokens, now, len(here))
        self.process_since, self.peer_outstanding = started_at, others
        self.running = [attempt for attempt in here if attempt.started]
        self.waiting = sum(attempt.waits for attempt in here)
        self.slow_start = SlowStartBudget(tokens - sum(at >= started_at for at in self.send_times), started_at)

    def reset(self, tokens: float, now: float, out: int = 0) -> None:
        """Reset to a new process: keep nothing but `out`, own attempts that may still be outstanding."""
        self.reported_free = 0.0  # free slots by the latest report, plus own attempts it included
        self.slots = 0.0  # number of slots, as far as known
        self.report_until = -inf  # the report is valid until then
        self.outstanding = out  # own outstanding attempts
        self.running = []
        self.slowdown_total = DecayedCount(now)  # sum of log(run time / usual run time of the class)
        self.slowdown_count = DecayedCount(now)  # number of those run times
        self.waiting = 0  # own attempts that have not started, where workers report starts
        self.no_room_until = -inf  # a report without free slots excludes the worker until then
        self.rejected = RateTable(REJECTION_KEYS_KEPT)  # decayed counts of FULL by class and tenant
        self.lagged_outstanding, self.lagged_at = 0.0, now  # own attempts as a late report shows them
        self.failures = 0  # failures since the last success
        self.rejections = 0  # rejections since the last success
        self.shunned_until = -inf
        self.slow_start = SlowStartBudget(tokens, now)
        self.published_at = -inf  # when a note on it was last broadcast
        self.peer_outstanding = {}

    def change_outstanding(self, change: int, decay: float, now: float) -> float:
        """Change the number of own outstanding attempts; return a lagged average of that number."""
        self.lagged_outstanding += (self.outstanding - self.lagged_outstanding) * (
            1.0 - exp(decay * (self.lagged_at - now))
        )
        self.lagged_at = now
        self.outstanding = max(0, self.outstanding + change)
        return self.lagged_outstanding

    def record_peer(self, peer: int, out: int, now: float, until: float) -> None:
        """Set a peer's outstanding attempts here, valid until `until`; 0 is not stored, as the sum is taken often."""
        self.peer_outstanding.pop(peer, None)
        while self.peer_outstanding and next(iter(self.peer_outstanding.values()))[1] <= now:
            # Entries of dead peers would add up: they are never updated.
            del self.peer_outstanding[next(iter(self.peer_outstanding))]
        if out:
            self.peer_outstanding[peer] = out, until

    def total_outstanding(self, now: float) -> int:
        """Return the outstanding attempts of this dispatcher and of all peers by their notes."""
        return self.outstanding + sum(out for out, until in self.peer_outstanding.values() if now < until)

    def record_slowdown(self, slowdown: float, decay: float, now: float) -> None:
        """Record an ended job; `slowdown` is the log of its run time over the usual."""
        self.slowdown_total.add(slowdown, decay, now)
        self.slowdown_count.add(1.0, decay, now)


class Window:
    """Times within the last `span` seconds, the edge included."""

    __slots__ = ("span", "times")

    def __init__(self, span: float = 0.0) -> None:
        self.span = span
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Add the time `now`."""
        self.count(now)
        self.times.append(now)

    def count(self, now: float) -> int:
        """Drop the times before the window; return the number of those within."""
        while self.times and self.times[0] < now - self.span:
            self.times.popleft()
        return len(self.times)


class Attempt:
    """One sending of a job to a worker."""

    __slots__ = ("worker", "job_class", "entry", "sent_at", "outstanding", "may_have_run", "started", "waits")

    def __init__(self, worker: Worker, job_class: int, now: float, tells_start: bool) -> None:
        self.worker = worker
        self.job_class = job_class
        self.entry = worker.entry  # the listing at the time of sending
        self.sent_at = now
        self.outstanding = self.may_have_run = True
        self.started = 0.0  # when it began to run, if reported; 0: unknown
        self.waits = tells_start  # counted as waiting at its worker
        worker.waiting += tells_start

    @property
    def counts(self) -> bool:
        """Whether it went to the process that its worker's counts are of."""
        return self.sent_at >= self.worker.process_since

    def _no_longer_waits(self) -> None:
        if self.waits:
            self.waits = False
            self.worker.waiting = max(0, self.worker.waiting - self.counts)

    def start(self, now: float) -> None:
        """Record that the worker has begun to run it."""
        if self.outstanding and not self.started and self.counts:
            self.worker.running.append(self)
        self.started = self.started or now
        self._no_longer_waits()

    def end(self, may_have_run: bool) -> None:
        """Record that it has ended."""
        self.outstanding, self.may_have_run = False, may_have_run
        if self in self.worker.running:  # false after a restart of the worker
            self.worker.running.remove(self)
        self._no_longer_waits()


class Job:
    """A request that this dispatcher has admitted, until it is answered and no attempt is outstanding."""

    __slots__ = (
        "id", "request", "policy", "since", "deadline", "attempts", "outstanding", "has_timer",
        "rejection_keys", "ended", "max_attempts", "full_never_ran",
    )  # fmt: skip

    def __init__(self, request: Request, settings: Settings, now: float) -> None:
        self.id = request.id
        self.request = request
        # Fixed for the life of the job: new settings apply to later jobs.
        self.policy = settings.classes[request.job_class]
        self.max_attempts = min(settings.max_attempts, self.policy.max_attempts)
        self.full_never_ran = settings.full_never_ran
        self.since = now
        self.deadline = now + request.budget
        self.attempts: list[Attempt] = []
        self.outstanding = 0  # number of outstanding attempts
        self.has_timer = False  # the timer that answers it before its deadline is set
        self.rejection_keys = ("class", request.job_class), ("tenant", request.tenant)  # by which workers may reject
        self.ended = False  # answered; stored until its last attempt has ended

    def ran_first(self) -> Attempt | None:
        """Return the first attempt that may have run, if any."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Jobs(dict[int, Job]):
    """The open jobs of a dispatcher, by id."""

    def queue(self, part: float) -> bool:
        """Return whether more attempts wait at workers than one plus `part` times those that run."""
        out = [attempt for job in self.values() for attempt in job.attempts if attempt.outstanding]
        waiting = sum(attempt.waits for attempt in out)
        return waiting > 1 + part * (len(out) - waiting)


class KeyRing:
    """A consistent hash ring: each worker owns points on it, so a change of the list moves few keys."""

    POINTS = 32  # per worker; more points spread the keys more evenly

    def __init__(self, workers: list[Worker]) -> None:
        order = sorted((crc32(w.id + bytes((n,))), i) for i, w in enumerate(workers) for n in range(self.POINTS))
        self.size = len(workers)
        self.points = [point for point, _ in order]
        self.owners = [workers[i] for _, i in order]

    def owner(self, key: int, step: int) -> Worker:
        """Return the owner of the point `step` points after the key's position."""
        start = bisect_left(self.points, crc32(key.to_bytes(8, "little")))
        return self.owners[(start + step) % len(self.owners)]


class Homes:
    """The home workers that each dispatcher prefers: equal ranges of the workers ordered by hash.

    A change of the list moves each range by little.
    """

    MIN_WORKERS = 2  # home workers of one dispatcher

    def __init__(self, workers: list[Worker], dispatchers: int, of: float) -> None:
        """Make each worker home to about `of` dispatchers."""
        order, size = sorted(workers, key=lambda worker: crc32(worker.id)), len(workers)
        many = min(size, max(self.MIN_WORKERS, ceil(of * size / dispatchers)))
        self._of = [[order[(n * size // dispatchers + k) % size] for k in range(many)] for n in range(dispatchers)]
        self._at: dict[bytes, list[int]] = {}
        for n, homes in enumerate(self._of):
            for worker in homes:
                self._at.setdefault(worker.id, []).append(n)

    def of(self, dispatcher: int) -> list[Worker]:
        """Return the home workers of a dispatcher."""
        return self._of[dispatcher] if dispatcher < len(self._of) else []

    def has(self, worker: Worker, dispatcher: int) -> bool:
        """Return whether the worker is home to the dispatcher."""
        return dispatcher in self._at.get(worker.id, ())

    def others(self, worker: Worker, dispatcher: int) -> tuple[int, ...]:
        """Return the other dispatchers that the worker is home to."""
        return tuple(n for n in self._at.get(worker.id, ()) if n != dispatcher)
