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


class Decayed:
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


class RateTable(OrderedDict[Hashable, Decayed]):
    """Decayed counts by name; the least recently used are forgotten beyond `most`."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most = most

    def add(self, name: Hashable, decay: float, now: float, amount: float = 1.0) -> float:
        """Count one, or another amount; returns the count as read before."""
        entry = self[name] = self.pop(name) if name in self else Decayed(now)
        if len(self) > self.most:
            self.popitem(last=False)
        return entry.add(amount, decay, now)

    def halve(self, name: Hashable) -> None:
        if name in self:
            self[name].count /= 2

    def read(self, name: Hashable, decay: float, now: float) -> float:
        entry = self.get(name)
        return entry.read(decay, now) if entry else 0.0


class Smoothed:
    """A mean of sightings in which older ones fade; starts from one sighting of 0."""

    __slots__ = ("seen", "total", "fade")

    def __init__(self, now: float, fade: float) -> None:
        self.seen, self.total, self.fade = Decayed(now), Decayed(now), fade

    def see(self, value: float, now: float) -> None:
        self.seen.add(1.0, self.fade, now)
        self.total.add(value, self.fade, now)

    def mean(self) -> float:
        return self.total.count / (1.0 + self.seen.count)


class MeanTable(dict[int, Smoothed]):
    """A smoothed mean for each number that is asked for."""

    def __init__(self, now: float, fade: float) -> None:
        super().__init__()
        self.now, self.fade = now, fade

    def __missing__(self, number: int) -> Smoothed:
        self[number] = Smoothed(self.now, self.fade)
        return self[number]


class Worker:
    """What this dispatcher knows of one worker."""

    __slots__ = ("id", "entry", "room", "size", "report_until", "no_room_until", "waiting", "turned", "lag_out",
                 "lag_at", "out", "running", "pace", "paces", "strikes", "rejections",
                 "shunned_until", "slow_start", "others", "told_at", "back_at", "sent", "since",
                 "started_at")  # fmt: skip

    def __init__(self, entry: Entry, tokens: float, now: float) -> None:
        self.id = entry.worker
        self.entry = entry
        self.started_at = entry.started_at  # the latest that a list has told of; 0: long ago
        self.back_at = 0.0  # when an operator called it back; 0: never taken out
        self.sent: deque[float] = deque(maxlen=SENDS_KEPT)  # times of own attempts
        self.running: list[Attempt] = []  # own attempts that have started, where workers tell that
        self.since = -inf  # start of the process that the counts below are about, where it is known
        self.others: dict[int, tuple[int, float]] = {}  # attempts out of others, and until when that counts
        self.forget(tokens, now)

    def restart(self, tokens: float, attempts: Iterable[Attempt], now: float) -> None:
        """A list tells that the process started at the entry's time: what was sent since then is in the new one.

        `attempts`: own ones that are out at this worker.  What others have out was told lately, and stands.
        """
        started_at = min(self.started_at, now)
        others = self.others
        here = [attempt for attempt in attempts if attempt.at >= started_at]
        self.forget(tokens, now, len(here))
        self.since, self.others = started_at, others
        self.running = [attempt for attempt in here if attempt.started]
        self.waiting = sum(attempt.waits for attempt in here)
        self.slow_start = SlowStartBudget(tokens - sum(at >= started_at for at in self.sent), started_at)

    def forget(self, tokens: float, now: float, out: int = 0) -> None:
        """A new process: nothing learned of the old one holds, but for own attempts that may still be out there."""
        self.room = 0.0  # free slots by the latest report, counted before own sends that are out
        self.size = 0.0  # slots, as far as seen
        self.report_until = -inf  # until then the report is good
        self.out = out  # own attempts out
        self.running = []
        self.pace, self.paces = Decayed(now), Decayed(now)  # sum and number of its logged run times over the usual
        self.waiting = 0  # own attempts there that have not started, where workers tell that
        self.no_room_until = -inf  # until then a report of no room shuts it out
        self.turned = RateTable(DOORS_KEPT)  # N and T of 'full', for each class and tenant
        self.lag_out, self.lag_at = 0.0, now  # own attempts out as a late report shows them
        self.strikes = 0  # failures since the last success
        self.rejections = 0  # calls that it turned away since the last that it served
        self.shunned_until = -inf
        self.slow_start = SlowStartBudget(tokens, now)
        self.told_at = -inf  # when the others were last told of it
        self.others = {}

    def count_out(self, change: int, fade: float, now: float) -> float:
        """Change the number of own attempts out; returns how many were out a moment ago."""
        self.lag_out += (self.out - self.lag_out) * (1.0 - exp(fade * (self.lag_at - now)))
        self.lag_at = now
        self.out = max(0, self.out + change)
        return self.lag_out

    def hear(self, peer: int, out: int, now: float, until: float) -> None:
        """What another dispatcher has out here; who has nothing is not kept, as all that is kept is added up often."""
        self.others.pop(peer, None)
        while self.others and next(iter(self.others.values()))[1] <= now:
            del self.others[next(iter(self.others))]  # who has died says no more: of a thousand that would add up
        if out:
            self.others[peer] = out, until

    def in_work(self, now: float) -> int:
        """Attempts out there, of this dispatcher and of all others as far as they tell."""
        return self.out + sum(out for out, until in self.others.values() if now < until)

    def see_pace(self, pace: float, fade: float, now: float) -> None:
        """One job ended here; `pace` is its logged run time over the usual."""
        self.pace.add(pace, fade, now)
        self.paces.add(1.0, fade, now)


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

    __slots__ = ("worker", "job_class", "entry", "at", "out", "may_have_run", "started", "waits")

    def __init__(self, worker: Worker, job_class: int, now: float, tells_start: bool) -> None:
        self.worker = worker
        self.job_class = job_class
        self.entry = worker.entry  # where it was sent, whatever the list says of that worker later
        self.at = now
        self.out = self.may_have_run = True
        self.started = 0.0  # when it began to run, as far as workers tell; 0: not known
        self.waits = tells_start  # counted as waiting at its worker
        worker.waiting += tells_start

    @property
    def counts(self) -> bool:
        """Did it go to the process that its worker's counts are about?"""
        return self.at >= self.worker.since

    def _no_longer_waits(self) -> None:
        if self.waits:
            self.waits = False
            self.worker.waiting = max(0, self.worker.waiting - self.counts)

    def start(self, now: float) -> None:
        if self.out and not self.started and self.counts:
            self.worker.running.append(self)
        self.started = self.started or now
        self._no_longer_waits()

    def end(self, may_have_run: bool) -> None:
        self.out, self.may_have_run = False, may_have_run
        if self in self.worker.running:  # not after a restart of the worker
            self.worker.running.remove(self)
        self._no_longer_waits()


class Job:
    """A request that this dispatcher owes an answer."""

    __slots__ = ("id", "ask", "rule", "since", "deadline", "attempts", "out", "timed", "doors", "ended",
                 "most")  # fmt: skip

    def __init__(self, ask: Request, settings: Settings, now: float) -> None:
        self.id = ask.id
        self.ask = ask
        # Its rule and bound for good: settings that change while it is open are for others.
        self.rule = settings.classes[ask.job_class]
        self.most = min(settings.max_attempts, self.rule.max_attempts)
        self.since = now
        self.deadline = now + ask.budget
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts that are out
        self.timed = False  # its answering timer is set
        self.doors = ("class", ask.job_class), ("tenant", ask.tenant)  # whom a worker may turn away
        self.ended = False  # answered; kept only until the last attempt has come back

    def ran_first(self) -> Attempt | None:
        """The first attempt that may have run, if any."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Jobs(dict[int, Job]):
    """The jobs that a dispatcher owes an answer, by their ids."""

    def queue(self, part: float) -> bool:
        """Do more attempts wait at workers than one, and this part of those that run?"""
        out = [attempt for job in self.values() for attempt in job.attempts if attempt.out]
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
