"""What one instance remembers: plain records.  Nothing is decided here."""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, deque
from collections.abc import Hashable, Iterable
from math import ceil, exp, inf
from zlib import crc32

from oxbowarch.interface import Entry, Request, Settings
from oxbowarch.slow_start import SlowStartBudget


SENDS_KEPT = 64  # times of attempts at one worker
DOORS_KEPT = 256  # classes and tenants remembered for one worker


class DecayedCount:
    """A count N that decays since its last change at T: the state that EARRRL keeps."""

    __slots__ = ("count", "at", "served_by")

    def __init__(self, now: float) -> None:
        self.count = 0.0
        self.at = now
        self.served_by: list[Worker] = []  # for a key: workers that served it lately, the latest first

    def note(self, worker: Worker, most: int) -> None:
        self.served_by = [worker, *(w for w in self.served_by if w is not worker)][:most]

    def read(self, decay: float, now: float) -> float:
        """The count decayed to `now`; nothing changes."""
        return self.count * exp(decay * (self.at - now)) if self.count else 0.0

    def add(self, amount: float, decay: float, now: float) -> float:
        """Decay to `now`, then add; returns the count as read before adding."""
        count = self.read(decay, now)
        self.count, self.at = count + amount, now
        return count


class RateTable(OrderedDict[Hashable, DecayedCount]):
    """Decayed counts by name; the least recently used are forgotten beyond `most`."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most = most

    def add(self, name: Hashable, decay: float, now: float, amount: float = 1.0) -> float:
        """Count one, or another amount; returns the count as read before."""
        entry = self[name] = self.pop(name) if name in self else DecayedCount(now)
        if len(self) > self.most:
            self.popitem(last=False)
        return entry.add(amount, decay, now)

    def halve(self, name: Hashable) -> None:
        if name in self:
            self[name].count /= 2

    def read(self, name: Hashable, decay: float, now: float) -> float:
        entry = self.get(name)
        return entry.read(decay, now) if entry else 0.0


class MovingAverage:
    """A mean of sightings in which older ones decay; starts from one sighting of 0."""

    __slots__ = ("observations", "total", "decay")

    def __init__(self, now: float, decay: float) -> None:
        self.observations, self.total, self.decay = DecayedCount(now), DecayedCount(now), decay

    def observe(self, value: float, now: float) -> None:
        self.observations.add(1.0, self.decay, now)
        self.total.add(value, self.decay, now)

    def mean(self) -> float:
        return self.total.count / (1.0 + self.observations.count)


class MovingAverages(dict[int, MovingAverage]):
    """A smoothed mean for each number that is asked for."""

    def __init__(self, now: float, decay: float) -> None:
        super().__init__()
        self.now, self.decay = now, decay

    def __missing__(self, number: int) -> MovingAverage:
        self[number] = MovingAverage(self.now, self.decay)
        return self[number]


class Worker:
    """What this dispatcher knows of one worker."""

    __slots__ = (
        "id", "entry", "reported_free", "slots", "report_until", "no_room_until", "waiting", "rejected",
        "lagged_outstanding", "lagged_at", "outstanding", "running", "slowdown_total", "slowdown_count", "failures",
        "rejections", "shunned_until", "slow_start", "peer_outstanding", "published_at", "restored_at", "send_times",
        "process_since", "started_at",
    )  # fmt: skip

    def __init__(self, entry: Entry, tokens: float, now: float) -> None:
        self.id = entry.worker
        self.entry = entry
        self.started_at = entry.started_at  # the latest that a list has told of; 0: long ago
        self.restored_at = 0.0  # when an operator called it back; 0: never taken out
        self.send_times: deque[float] = deque(maxlen=SENDS_KEPT)  # times of own attempts
        self.running: list[Attempt] = []  # own attempts that have started, where workers tell that
        self.process_since = -inf  # start of the process that the counts below are about, where it is known
        self.peer_outstanding: dict[int, tuple[int, float]] = {}  # attempts out of others, and until when that counts
        self.reset(tokens, now)

    def restart(self, tokens: float, attempts: Iterable[Attempt], now: float) -> None:
        """A list tells that the process started at the entry's time: what was sent since then is in the new one.

        `attempts`: own ones that are out at this worker.  What others have out was told lately, and stands.
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
        """A new process: nothing learned of the old one holds, but for own attempts that may still be out there."""
        self.reported_free = 0.0  # free slots by the latest report, counted before own sends that are out
        self.slots = 0.0  # slots, as far as seen
        self.report_until = -inf  # until then the report is good
        self.outstanding = out  # own attempts out
        self.running = []
        self.slowdown_total = DecayedCount(now)  # sum of its logged run times over the usual
        self.slowdown_count = DecayedCount(now)  # number of them
        self.waiting = 0  # own attempts there that have not started, where workers tell that
        self.no_room_until = -inf  # until then a report of no room shuts it out
        self.rejected = RateTable(DOORS_KEPT)  # N and T of 'full', for each class and tenant
        self.lagged_outstanding, self.lagged_at = 0.0, now  # own attempts out as a late report shows them
        self.failures = 0  # failures since the last success
        self.rejections = 0  # calls that it turned away since the last that it served
        self.shunned_until = -inf
        self.slow_start = SlowStartBudget(tokens, now)
        self.published_at = -inf  # when the others were last told of it
        self.peer_outstanding = {}

    def change_outstanding(self, change: int, decay: float, now: float) -> float:
        """Change the number of own attempts out; returns how many were out a moment ago."""
        self.lagged_outstanding += (self.outstanding - self.lagged_outstanding) * (
            1.0 - exp(decay * (self.lagged_at - now))
        )
        self.lagged_at = now
        self.outstanding = max(0, self.outstanding + change)
        return self.lagged_outstanding

    def record_peer(self, peer: int, out: int, now: float, until: float) -> None:
        """What another dispatcher has out here; who has nothing is not kept, as all that is kept is added up often."""
        self.peer_outstanding.pop(peer, None)
        while self.peer_outstanding and next(iter(self.peer_outstanding.values()))[1] <= now:
            # A peer that has died sends no more notes: of a thousand that would add up.
            del self.peer_outstanding[next(iter(self.peer_outstanding))]
        if out:
            self.peer_outstanding[peer] = out, until

    def total_outstanding(self, now: float) -> int:
        """Attempts out there, of this dispatcher and of all others as far as they tell."""
        return self.outstanding + sum(out for out, until in self.peer_outstanding.values() if now < until)

    def record_slowdown(self, slowdown: float, decay: float, now: float) -> None:
        """One job ended here; `slowdown` is its logged run time over the usual."""
        self.slowdown_total.add(slowdown, decay, now)
        self.slowdown_count.add(1.0, decay, now)


class Window:
    """Times within the last `span` seconds, its very edge included."""

    __slots__ = ("span", "times")

    def __init__(self, span: float = 0.0) -> None:
        self.span = span
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        self.count(now)
        self.times.append(now)

    def count(self, now: float) -> int:
        while self.times and self.times[0] < now - self.span:
            self.times.popleft()
        return len(self.times)


class Attempt:
    """One send of a job to a worker."""

    __slots__ = ("worker", "job_class", "entry", "sent_at", "outstanding", "may_have_run", "started", "waits")

    def __init__(self, worker: Worker, job_class: int, now: float, tells_start: bool) -> None:
        self.worker = worker
        self.job_class = job_class
        self.entry = worker.entry  # where it was sent, whatever the list says of that worker later
        self.sent_at = now
        self.outstanding = self.may_have_run = True
        self.started = 0.0  # when it began to run, as far as workers tell; 0: not known
        self.waits = tells_start  # counted as waiting at its worker
        worker.waiting += tells_start

    @property
    def counts(self) -> bool:
        """Did it go to the process that its worker's counts are about?"""
        return self.sent_at >= self.worker.process_since

    def _no_longer_waits(self) -> None:
        if self.waits:
            self.waits = False
            self.worker.waiting = max(0, self.worker.waiting - self.counts)

    def start(self, now: float) -> None:
        if self.outstanding and not self.started and self.counts:
            self.worker.running.append(self)
        self.started = self.started or now
        self._no_longer_waits()

    def end(self, may_have_run: bool) -> None:
        self.outstanding, self.may_have_run = False, may_have_run
        if self in self.worker.running:  # not after a restart of the worker
            self.worker.running.remove(self)
        self._no_longer_waits()


class Job:
    """A request that this dispatcher owes an answer."""

    __slots__ = (
        "id", "request", "policy", "since", "deadline", "attempts", "outstanding", "has_timer",
        "rejection_keys", "ended", "max_attempts",
    )  # fmt: skip

    def __init__(self, request: Request, settings: Settings, now: float) -> None:
        self.id = request.id
        self.request = request
        # Its rule and bound for good: settings that change while it is open are for others.
        self.policy = settings.classes[request.job_class]
        self.max_attempts = min(settings.max_attempts, self.policy.max_attempts)
        self.since = now
        self.deadline = now + request.budget
        self.attempts: list[Attempt] = []
        self.outstanding = 0  # attempts that are out
        self.has_timer = False  # its answering timer is set
        self.rejection_keys = ("class", request.job_class), ("tenant", request.tenant)  # whom a worker may turn away
        self.ended = False  # answered; kept only until the last attempt has come back

    def ran_first(self) -> Attempt | None:
        """The first attempt that may have run, if any."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Jobs(dict[int, Job]):
    """The jobs that a dispatcher owes an answer, by their ids."""

    def queue(self, part: float) -> bool:
        """Do more attempts wait at workers than one, and this part of those that run?"""
        out = [attempt for job in self.values() for attempt in job.attempts if attempt.outstanding]
        waiting = sum(attempt.waits for attempt in out)
        return waiting > 1 + part * (len(out) - waiting)


class KeyRing:
    """Consistent hashing: each worker owns points on a ring, so a change of the list moves few keys."""

    POINTS = 32  # of each worker; more spread the keys more evenly

    def __init__(self, workers: list[Worker]) -> None:
        order = sorted((crc32(w.id + bytes((n,))), i) for i, w in enumerate(workers) for n in range(self.POINTS))
        self.size = len(workers)
        self.points = [point for point, _ in order]
        self.owners = [workers[i] for _, i in order]

    def owner(self, key: int, step: int) -> Worker:
        """Who owns the point that many steps after the key's own place."""
        start = bisect_left(self.points, crc32(key.to_bytes(8, "little")))
        return self.owners[(start + step) % len(self.owners)]


class Homes:
    """Which dispatchers go to which workers first: equal stripes of the workers, in the order of their hashes.  A
    change of the list moves each stripe by little."""

    FEWEST = 2  # workers of one dispatcher

    def __init__(self, workers: list[Worker], dispatchers: int, of: float) -> None:
        """Each worker is home to about `of` dispatchers."""
        order, size = sorted(workers, key=lambda worker: crc32(worker.id)), len(workers)
        many = min(size, max(self.FEWEST, ceil(of * size / dispatchers)))
        self._of = [[order[(n * size // dispatchers + k) % size] for k in range(many)] for n in range(dispatchers)]
        self._at: dict[bytes, list[int]] = {}
        for n, homes in enumerate(self._of):
            for worker in homes:
                self._at.setdefault(worker.id, []).append(n)

    def of(self, dispatcher: int) -> list[Worker]:
        return self._of[dispatcher] if dispatcher < len(self._of) else []

    def has(self, worker: Worker, dispatcher: int) -> bool:
        return dispatcher in self._at.get(worker.id, ())

    def others(self, worker: Worker, dispatcher: int) -> tuple[int, ...]:
        """The other dispatchers at home there."""
        return tuple(n for n in self._at.get(worker.id, ()) if n != dispatcher)
