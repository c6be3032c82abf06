"""Decides admission, placement, retries and hedging for one dispatcher that pushes jobs to workers.

Types and rules of use: oxbowarch/interface.py; state: oxbowarch/records.py.  The method is EARRRL, an
estimated average recent request rate, kept as a count N that decays since a time T: under pressure a tenant's
excess requests are refused; an admitted job goes to a worker drawn by weight, mostly by free slots.
"""

from collections import Counter, OrderedDict
from math import exp, inf, log, sqrt
from random import Random

from oxbowarch.hedging import COPY_FADE, COPY_ROOM, overdue
from oxbowarch.in_force import in_force
from oxbowarch.interface import NEVER_RAN, Action, Cancel, Effect, Entry, Fail, Group, ListKind
from oxbowarch.interface import Log, Note, Outcome, Places, RefusalReason, Refuse, Report, Request, Send
from oxbowarch.interface import Settings, State, Status, SendNotes, Timer, Watch, WorkerId
from oxbowarch.pace import SLOW_FADE, SLOW_STEEP, slowness
from oxbowarch.places import ANYWHERE, allows
from oxbowarch.records import Attempt, DecayedCount, Homes, Job, Jobs, KeyRing, MovingAverage, MovingAverages
from oxbowarch.records import LargestFree, RateTable, Window, Worker
from oxbowarch.refusal import reason_of
from oxbowarch.repeats import is_late_repeat, repeat_allowed_at, repeat_until
from oxbowarch.shunning import MAX_FAILURES, after_failure, after_rejections
from oxbowarch.slow_start import capacity, sender_rate, warmth

HALF_LIFE = 10.0  # seconds; EARRRL's value: counts outlast a burst, and a past excess is soon forgiven
DECAY = log(2) / HALF_LIFE
NAMES_KEPT = 4096  # tenants or keys with a count; the least recently used are dropped, as they need no limit
NOISE_MARGIN = 1.0  # standard errors subtracted from a tenant's count before it may cause a refusal
PRESSURE = (0.65, 0.85)  # share of busy slots at which refusal beyond the limits begins, and is full
LATE_SHARE, DOMINANT = 0.1, 1.5  # late share that is full pressure; multiple of its part that makes a flood
OVERLOAD = (0.9, 1.1)  # as PRESSURE, within the limits; never full, as a queued job may still find room
SHED_EARLY, SHED_LATE = 0.1, 0.35  # how much earlier worthless jobs are shed, and late repeats (busy share)
SPARE_LEFT = 0.5  # share of the reply capacity that is reserved for the class that earns most
PRESSURE_FADE, REPORT_FADE = 1 / 2.0, 1 / 0.5  # decay of busy shares, of the attempts that reports lag (1/s)
REPORT_AGE, FULL_AGE = 1.5, 0.2  # seconds for which a load report is valid, and a FULL response
NO_ROOM_PART, FULL_PART = 0.5, 5.0  # part of REPORT_AGE that "no room" holds; more by the share of FULL
DRAWS = 12  # tries of the rejection draw before the best worker seen is taken
KEY_PATIENCE, KEY_QUEUE, KEY_PLACES = 0.5, 0.25, 8  # parts of the aim, of the slots; recent workers of a key
FAILURE_STATUSES = (Status.ERROR, Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED)
WATCH_BACKOFF = 0.5  # seconds, first wait after a failed list call; doubled up to max_list_retry
ZONE_SLACK, LOAD_MOST = 0.1, 3.0  # excess load at which the own zone loses its preference; cap on a load
HOLD_STEP, HOLD_MORE = 0.05, 0.7  # seconds between tries of a queued job; part of its class's grace it waits
COPY_STEP = 0.2  # seconds between checks whether a job needs a hedged request
COPY_SHARE, COPY_MOST, COPY_WON = 0.02, 6.0, 2.0  # hedge tokens: per job, at most, per faster copy
NOTE_AGE, NOTE_AGAIN, NOTE_EVERY = 3.0, 1.0, 1.0  # seconds: notes expire, are repeated, are sent to all
DEAF, FEW, WAITING = (1.5, 12.0), 7, 0.5  # seconds without notes: cut off, alone; dispatchers; waiting ratio
HOME_OF, AWAY_LEFT = 4.0, 2.0  # home dispatchers of each worker; busy worker's slots reserved for them
COLD_MORE, COUNT_EVERY, COUNT_EACH = 1.5, 0.1, 0.0005  # margin of a cold worker's slots; seconds; per worker
DEADLINE, HOLD, NOTES, LIST = range(4)  # purpose of a timer, in the two low bits of its token


class Brain:
    """The decisions of one dispatcher; interface.py states the rules of use."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.started_at, self.random = now, Random(seed)
        self.shares_notes = settings.shares_notes and settings.balancers > 1
        # Busy share of the slots open to each class; load of the own zone (near) and of the others (away).
        self.busy_share: dict[Places, MovingAverage] = {}
        self.near, self.away = MovingAverage(now, PRESSURE_FADE), MovingAverage(now, PRESSURE_FADE)
        self.workers: dict[WorkerId, Worker] = {}
        self.banned: set[WorkerId] = set()  # banned by an operator, listed or not
        self.jobs, self.queued = Jobs(), OrderedDict[int, Job]()
        self.rates, self.keys = RateTable(NAMES_KEPT), RateTable(NAMES_KEPT)  # requests by tenant, by key
        self.offered, self.admitted = DecayedCount(now), DecayedCount(now)  # all jobs, admitted jobs
        self.requests, self.retries, self.own_outstanding = Window(), Window(), MovingAverage(now, DECAY)
        self.late, self.full, self.failing = (MovingAverage(now, PRESSURE_FADE) for _ in range(3))
        self.usual_free = MovingAverages(now, PRESSURE_FADE)  # reported free slots by machine kind
        self.run_times = MovingAverages(now, DECAY)  # log of the run time by class, where starts are reported
        self.largest_free, self.counted_at = LargestFree(1.0 + self.shares_notes), now
        self.under_pressure, self.watching, self.watch_delay = False, False, WATCH_BACKOFF
        self.actions: list[Action] = []
        self.last_note_at = -inf
        self.pending_notes: dict[WorkerId, Note] = {}  # notes for the next broadcast
        self.refusals: Counter[RefusalReason] = Counter()  # requests refused or failed, by reason
        self.hedge_tokens, self.won = COPY_MOST, MovingAverage(now, COPY_FADE)  # share of faster copies
        self.on_settings(settings, now)

    def on_settings(self, settings: Settings, now: float) -> list[Action]:
        """Apply settings to later requests; open jobs keep their policy, classes, tenants their numbers."""
        self.settings = settings
        self.reply_margin = 3 * settings.tick  # seconds before a deadline to answer in time
        self.cold_factor = COLD_MORE * (settings.cold_factor if self.shares_notes else 1.0)
        averages = {rule.places: MovingAverage(now, PRESSURE_FADE) for rule in settings.classes}
        self.busy_share = averages | self.busy_share
        self.in_force = in_force(settings)
        # Both windows err by a tick towards fewer retries, so that rounding never exceeds the retry budget.
        span = settings.budget.span if settings.budget else 0.0
        self.requests.span, self.retries.span = span - settings.tick, span + settings.tick
        return self._rebuild_pools()

    def _rebuild_pools(self) -> list[Action]:
        self.pools: dict[tuple[Places, int], list[Worker]] = {}
        self.rings: dict[Places, KeyRing] = {}
        self.largest_free.keep(self.workers.values())
        workers = self._pool(ANYWHERE, -1) if self.shares_notes else []
        self.homes = Homes(workers, self.settings.balancers, HOME_OF)
        return []

    def on_ban(self, name: WorkerId, out: bool, now: float) -> list[Action]:
        """Ban a worker whatever its listed state (`out`), or restore it as if it were a new process."""
        worker = self.workers.get(name)
        if not out and name in self.banned and worker is not None:
            worker.reset(self.random.random(), now, worker.outstanding)
            worker.restored_at = now  # it may have restarted, and the list may report that late
        (self.banned.add if out else self.banned.discard)(name)
        return self._rebuild_pools()

    def _ready(self, worker: Worker) -> bool:
        # A draining, removed or banned worker gets no new attempts from the moment that is known.
        return worker.entry.state is State.READY and worker.id not in self.banned

    def on_list(self, kind: ListKind, entries: tuple[Entry, ...], now: float) -> list[Action]:
        self.actions = []
        if kind is ListKind.FAILED:
            # Jittered back-off: retries of all dispatchers at once would keep the list service down.
            self.actions.append(Timer(now + self.watch_delay * (0.5 + self.random.random()), LIST))
            self.watching, self.watch_delay = False, min(2 * self.watch_delay, self.settings.max_list_retry)
            return self.actions
        if moved := kind is not ListKind.CHANGES:
            for known in self.workers.values():
                known.entry = known.entry._replace(state=State.GONE)
        for entry in entries:
            worker = self.workers.get(entry.worker)  # weights change often and need no new pools
            moved = moved or worker is None or worker.entry[1:5] != entry[1:5]
            if worker is None:
                worker = self.workers[entry.worker] = Worker(entry, self.random.random(), now)
            elif entry.started_at > max(worker.started_at, worker.restored_at):
                worker.entry, worker.started_at = entry, entry.started_at
                out = (a for job in self.jobs.values() for a in job.attempts if a.outstanding)
                worker.restart(self.random.random(), (a for a in out if a.worker is worker), now)
            worker.entry = entry
        if moved:
            self._rebuild_pools()
        self.watching, self.watch_delay = kind is not ListKind.CACHED, WATCH_BACKOFF
        if not self.watching and self.settings.list_on_request:
            self.actions.append(Timer(now + self.settings.max_list_retry / 2 * self.random.random(), LIST))
        if not self.watching and self.shares_notes:
            self._notify_all(now)
        return self.actions

    def _pool(self, places: Places, zone: int) -> list[Worker]:
        """Return the ready workers that a class may use in a zone; -1 means any zone."""
        pool = self.pools.get((places, zone))
        if pool is None:
            near = (w for w in self.workers.values() if self._ready(w) and zone in (-1, w.entry.zone))
            pool = self.pools[places, zone] = [w for w in near if allows(places, w.entry)]
        return pool

    def _all_banned(self, places: Places) -> bool:
        """Return whether bans leave no ready worker in these places."""
        return bool(self.banned) and not self._pool(places, -1)

    def _excess(self, tenant: int, repeat: bool, now: float) -> tuple[float, bool]:
        """Return the share of the tenant's requests beyond its limit, before this one, and if it floods:
        whether it sends far more than its part of all requests here, however many clients use this one."""
        if not 0 <= tenant < len(limits := self.settings.limits):
            return 0.0, False
        # A client's repeat is not counted again, or refusals would cause repeats and so more refusals.
        count = self.rates.add(tenant, DECAY, now, 0.0 if repeat else 1.0)
        # The count of a tenant with few requests here is noisy: without a margin it is refused by chance.
        count = max(0.0, count - NOISE_MARGIN * sqrt(count / 2))
        # The count as a rate, corrected for the time after a start, when it is still filling.
        estimate = count * DECAY / max(1e-3, 1.0 - exp(DECAY * (self.started_at - now)))
        limit = limits[tenant] / self.settings.balancers
        flood = count * self.in_force.total_limit > DOMINANT * self.offered.count * limits[tenant]
        return 1.0 - limit / estimate if estimate > limit else 0.0, flood

    def _ramp(self, places: Places, low: float, high: float) -> float:
        """Return where the busy share lies between `low` (0) and `high` (1)."""
        return min(1.0, max(0.0, (self.busy_share[places].mean() - low) / (high - low)))

    def _shed(self, request: Request, now: float) -> bool:
        """Refuse the request at random, by the pressure and its tenant's excess; return if it was refused."""
        rule = self.settings.classes[request.job_class]
        excess, flood = self._excess(request.tenant, request.repeat, now)
        pressure = self._ramp(rule.places, *PRESSURE)
        if flood:
            # Busy slots show a flood late where workers queue.  Lateness has other causes: only floods pay.
            pressure = min(1.0, pressure + self.late.mean() / LATE_SHARE)
        if self.under_pressure != (pressure > (0.0 if self.under_pressure else 0.5)):
            self.under_pressure = not self.under_pressure
            self.actions.append(
                Log("pressure on: refusing beyond the limits" if self.under_pressure else "pressure off"))
        # Overload within limits: a queue delays everyone, so all tenants shed, least worth per slot first.
        late = self.shares_notes and is_late_repeat(rule, request)
        best = max(map(self._worth_rate, self.in_force.classes))
        part = max(0.0, 1.0 - self._worth_rate(request.job_class, late) / best) if best else 0.0
        early = part * (SHED_LATE if late else SHED_EARLY)
        if request.reply_capacity < (SPARE_LEFT if not early else 1.0):
            # Queued, it would use the last capacity for replies to any client.
            return self._refuse(request, RefusalReason.DRAINING)
        overload = self._ramp(rule.places, OVERLOAD[0] - early, OVERLOAD[1] - early)
        passed = (1.0 - pressure * excess) * (1.0 - overload)
        if request.beyond is None and self.random.random() >= passed:
            return self._refuse(request, RefusalReason.BEYOND_LIMIT, excess)
        return False

    def _worth_rate(self, job_class: int, late: bool = False) -> float:
        """Return the worth earned by a second of a slot, as far as workers report when jobs start."""
        rule = self.settings.classes[job_class]
        return rule.worth * (rule.late_share if late else 1.0) / exp(self.run_times[job_class].mean())

    def _refuse(self, request: Request, reason: RefusalReason, excess: float = 0.0) -> bool:
        """Refuse, with advice to retry once the overload and the tenant's estimate can have decayed."""
        self.refusals[reason] += 1
        places = self.settings.classes[request.job_class].places
        fades = log(max(1.0, self.busy_share[places].mean() / OVERLOAD[0])) / PRESSURE_FADE
        wait = inf if self._all_banned(places) else max(HOLD_STEP, fades, -log(1.0 + 1e-9 - excess) / DECAY)
        self.actions.append(Refuse(request.id, min(self.settings.max_retry_after, wait)))
        return True

    def on_request(self, request: Request, now: float) -> list[Action]:
        self.actions = []
        if request.id in self.jobs or not 0 <= request.job_class < len(self.settings.classes):
            return self.actions
        self.offered.add(1.0, DECAY, now)
        self.requests.add(now)
        if self.shares_notes and now - self.counted_at >= max(COUNT_EVERY, COUNT_EACH * len(self.workers)):
            self._measure_load(now)
        if self._shed(request, now):
            return self.actions
        self.admitted.add(1.0, DECAY, now)
        self.hedge_tokens = min(COPY_MOST, self.hedge_tokens + COPY_SHARE)
        job = self.jobs[request.id] = Job(request, self.settings, now)
        self._place_or_queue(job, now)
        return self.actions

    def _place_or_queue(self, job: Job, now: float) -> None:
        if not self._place(job, now):
            self._queue(job, now)

    def _place(self, job: Job, now: float) -> bool:
        deaf, busy = DEAF[0] < self._silence(now) < DEAF[1], self.busy_share[job.policy.places]
        queue = not self.shares_notes and self.settings.balancers > FEW and self.jobs.queue(WAITING)
        part = max(1.0, self.own_outstanding.mean() / max(0.05, busy.mean()))
        if queue or deaf and len(self.jobs) - len(self.queued) > part:
            return False  # unseen attempts of other dispatchers may be there
        worker = self._draw_by_key(job, now) if job.request.key else None
        # Fetching the key's data at another worker costs more than a short wait for its home.
        if worker is None and not (job.request.key and now - job.since < KEY_PATIENCE * job.policy.aim):
            worker = self._draw(job, now)
        if worker is not None:
            self._send(job, worker, now)
        return worker is not None

    def _send(self, job: Job, worker: Worker, now: float) -> None:
        self.queued.pop(job.id, None)
        not_after = repeat_until(job, self.reply_margin)
        if job.attempts:
            self.retries.add(now)
            job.request.retry_budget.pay(now)
        job.attempts.append(Attempt(worker, job.request.job_class, now, self.settings.tells_start))
        job.outstanding += 1
        worker.change_outstanding(1, REPORT_FADE, now)
        worker.slow_start.pay()
        worker.send_times.append(now)
        self.actions.append(Send(job.id, worker.id, not_after=not_after))
        self._notify(worker, now)
        if self.settings.hedging and self.settings.tells_start and len(job.attempts) == 1:
            self.actions.append(Timer(now + COPY_STEP, job.id * 4 + DEADLINE))

    def _check_hedge(self, job: Job, now: float) -> None:
        """Send a hedged request for a job whose attempt may be lost or hung, while there is room."""
        if job.ended or job.outstanding > 1 or not self._may_attempt(job, now):
            return
        room = self.hedge_tokens >= 1.0 and self.busy_share[job.policy.places].mean() < COPY_ROOM
        if job.outstanding and room and self._overdue(job, now) and self._place(job, now):
            self.hedge_tokens -= 1.0
        else:
            self.actions.append(Timer(now + COPY_STEP, job.id * 4 + DEADLINE))

    def _overdue(self, job: Job, now: float) -> bool:
        attempt = next(attempt for attempt in job.attempts if attempt.outstanding)
        return overdue(job, attempt, self.run_times[job.request.job_class].mean(), self.won.mean() > 0.5, now)

    def _queue(self, job: Job, now: float) -> None:
        """Queue a job that no worker has room for: a short wait beats a worker's queue and a refusal."""
        usual = exp(self.run_times[job.request.job_class].mean())
        grace = max(0.0, job.policy.stretch - 1.0) * usual * HOLD_MORE if self.shares_notes else 0.0
        until = job.since + job.policy.aim + grace
        if job.request.beyond is False:  # within its share: it may wait while it can be in time
            until = max(until, job.request.rank - usual)
        shut = self._all_banned(job.policy.places) or not self._may_attempt(job, now)
        if shut or now >= min(until, job.deadline - self.reply_margin):
            # No attempt can follow, so answer now; or waiting longer would make other jobs late.
            return self._give_up(job)
        self.actions.append(Timer(now + HOLD_STEP, job.id * 4 + HOLD))
        self.queued[job.id] = job
        if not job.has_timer:
            # Every queued job has a timer that answers it before its deadline.
            job.has_timer = True
            self.actions.append(Timer(job.deadline - self.reply_margin, job.id * 4 + DEADLINE))

    def _may_attempt(self, job: Job, now: float) -> bool:
        """Return whether one more attempt may go out; it never lets an effect happen twice."""
        over = now >= job.deadline - self.reply_margin or len(job.attempts) >= job.max_attempts
        unpaid = bool(job.attempts) and job.request.retry_budget.left(now) < 1.0
        if over or unpaid or job.outstanding and not self.settings.hedging:
            return False
        return now <= repeat_until(job, self.reply_margin)

    def _within_budget(self, now: float) -> bool:
        """Return whether the retry budget allows one more retry; retries must not multiply an overload."""
        free, share, _ = self.settings.budget or (inf, 0.0, 0.0)
        return self.retries.count(now) + 1 <= free + share * self.requests.count(now)

    def _may_send(self, job: Job, worker: Worker, now: float) -> bool:
        """Return whether the job may be sent to this worker."""
        if not allows(job.policy.places, worker.entry) or not self._may_attempt(job, now):
            return False
        if not job.attempts:
            return True
        last = job.attempts[-1]
        if last.worker is worker and now - last.sent_at < FULL_AGE or not self._within_budget(now):
            return False  # the worker has just rejected the job: it would use up the attempts
        if any(attempt.outstanding and attempt.worker is worker for attempt in job.attempts):
            return False
        return repeat_allowed_at(job, worker.entry)

    def _give_up(self, job: Job) -> None:
        """End the job: refused if a repeat by the client is certain to be harmless, else failed."""
        dropped = job.policy.effect is Effect.KEYED and job.policy.group is Group.ALL
        harmless = dropped or job.policy.effect is Effect.SAFE or job.ran_first() is None
        reason = reason_of(job, self._all_banned(job.policy.places))
        self.refusals[reason] += not harmless
        self._refuse(job.request, reason) if harmless else self.actions.append(Fail(job.id))
        self._close(job)

    def _close(self, job: Job) -> None:
        """End the job: no further attempts, and those outstanding are cancelled."""
        job.ended = True
        self.queued.pop(job.id, None)
        if job.outstanding == 0:
            del self.jobs[job.id]
        elif self.settings.can_cancel:
            self.actions += [Cancel(job.id, n) for n, a in enumerate(job.attempts) if a.outstanding]

    def _warmth(self, worker: Worker, now: float) -> float:
        """Return the share of its capacity that a worker has now, estimated low during slow start."""
        return warmth(self.settings, max(worker.started_at, worker.restored_at), now)

    def _weight(self, job: Job, worker: Worker, now: float, queue: float = 0.0) -> float:
        """Return the draw weight by free slots, reduced by failures and rejections; 0 is never drawn."""
        # An own attempt that has not started shows a queue or a hang earlier than reports do.
        if now < worker.shunned_until or not self._ready(worker) or worker.waiting > queue:
            return 0.0
        free = worker.reported_free - worker.outstanding if now < worker.report_until else None
        home = self.homes.has(worker, self.settings.me)
        if self.shares_notes:
            free = self._usable_slots(worker, now) - worker.total_outstanding(now)
            # The last slots are for home dispatchers: others would all pick them before notes arrive.
            free -= 0.0 if home else AWAY_LEFT * self.busy_share[job.policy.places].mean()
        if free is not None and job.request.beyond is not None:
            free = min(free, worker.slots - worker.outstanding)  # a late report may promise too much
        if free is not None and free < 0.5 - queue:
            if job.request.beyond is not None or now < worker.no_room_until or self.shares_notes:
                return 0.0  # queued here, the order of jobs can still be chosen
        if (share := self._warmth(worker, now)) < 1.0 and self.shares_notes and not home:
            return 0.0  # or all would pick it at its start and as it warms
        if share < 1.0 and worker.slow_start.earn(self._slow_start_rate(worker, share, now), now) < 1.0:
            return 0.0
        # A worker with room may reject one class or tenant: that lowers the weight for those alone.
        shut = worker.failures + sum(worker.rejected.read(key, DECAY, now) for key in job.rejection_keys)
        shut += SLOW_STEEP / log(2) * slowness(worker, self.run_times, now)
        # Without a valid report, assume what its machine kind usually reports.
        free = self.usual_free[worker.entry.kind].mean() if free is None else max(0.0, free)
        # Reports lag, own attempts are known: dividing by them avoids two jobs on one stale free slot.
        return float((1.0 + free) / (1.0 + worker.outstanding) * 0.5**shut)

    def _slow_start_rate(self, worker: Worker, share: float, now: float) -> float:
        """Return the calls a second that a worker at `share` of its capacity may get from this dispatcher."""
        asked = self.admitted.count * DECAY / max(1, len(self._pool(ANYWHERE, -1))) * self.settings.balancers
        # Under overload more is admitted than served, so the rate is capped by what its slots can run.
        runs = [run for n, run in self.run_times.items() if n not in self.settings.retired_classes]
        warm_rate = min(asked, capacity(worker.slots or self.largest_free.value, runs))
        senders = 1 + len(self.homes.others(worker, self.settings.me)) if self.shares_notes else None
        return sender_rate(self.settings, warm_rate, share, senders, self._silence(now) < DEAF[0] / 3)

    def _draw(self, job: Job, now: float) -> Worker | None:
        """Draw a worker by weight with rejection sampling: home workers, the own zone, then all zones."""
        for worker in self.homes.of(self.settings.me):
            if self.random.random() < self._weight(job, worker, now) and self._may_send(job, worker, now):
                return worker
        # Crossing zones has a cost, but keeping to a crowded zone would queue jobs.
        crowded = self.near.mean() > self.away.mean() + ZONE_SLACK
        for zone in (-1,) if crowded else (self.settings.zone, -1):
            pool = self._pool(job.policy.places, zone)
            best, most = None, 0.0
            for _ in range(DRAWS if pool and (not job.attempts or self._within_budget(now)) else 0):
                worker = pool[int(self.random.random() * len(pool))]
                weight = self._weight(job, worker, now)
                if weight > 0.0 and self._may_send(job, worker, now):
                    if self.random.random() * (1.0 + self.largest_free.value) < weight:
                        return worker
                    best, most = (worker, weight) if weight > most else (best, most)
            if best is not None:
                return best
        return None

    def _key_ring(self, places: Places) -> KeyRing:
        """Return the hash ring for keys of a class, without the workers that bound classes need."""
        ring = self.rings.get(places)
        if ring is None:
            pool, bound = self._pool(places, -1), self.in_force.bound_places if places == ANYWHERE else ()
            free = [w for w in pool if not any(allows(other, w.entry) for other in bound)]
            ring = self.rings[places] = KeyRing(free or pool)
        return ring

    def _draw_by_key(self, job: Job, now: float) -> Worker | None:
        """Draw among the key's homes on the ring and workers that served it lately, which have its data."""
        ring, key = self._key_ring(job.policy.places), (job.request.key, job.policy.places)
        if not ring.size:
            return None  # an empty ring has no place for the key
        count = self.keys.add(key, DECAY, now, not (job.has_timer or job.attempts))
        # A hot key would overload a single home: the number of homes grows with its share of traffic.
        homes = 1 + int(2 * count / max(1.0, self.admitted.count) * ring.size)
        tries = [ring.owner(job.request.key, int(self.random.random() * homes)) for _ in range(homes)]
        tries += self.keys[key].served_by  # they have its data too
        for n, worker in enumerate(tries):
            wanted = self.random.random() * (1.0 + self.largest_free.value) if n < homes > 1 else 0.0
            weight = self._weight(job, worker, now, KEY_QUEUE * worker.slots)
            if weight > wanted and self._may_send(job, worker, now):
                return worker
        return None

    def _notify(self, at: Worker, now: float, slowdown: float | None = None, failed: bool = False) -> None:
        """Send a note on a worker to its home dispatchers: each alone has too little traffic to learn."""
        if self.shares_notes:
            note = self.pending_notes[at.id] = Note(at.id, at.outstanding, slowdown, failed)
            self.actions.append(SendNotes((note,), self.homes.others(at, self.settings.me)))

    def _notify_all(self, now: float) -> None:
        """Broadcast pending notes; repeat those on long attempts, as notes expire and may be lost."""
        old = (w for w in self.workers.values() if w.outstanding and now - w.published_at > NOTE_AGAIN)
        self.pending_notes = {w.id: Note(w.id, w.outstanding) for w in old} | self.pending_notes
        for worker_id in self.pending_notes:
            self.workers[worker_id].published_at = now
        self.actions.append(SendNotes(tuple(self.pending_notes.values())))
        self.actions.append(Timer(now + NOTE_EVERY * (0.5 + self.random.random()), NOTES))
        self.pending_notes = {}

    def on_notes(self, peer: int, notes: tuple[Note, ...], now: float) -> list[Action]:
        """Apply notes of another dispatcher: its outstanding attempts, and how ended ones did."""
        self.actions, self.last_note_at = [], now if self.settings.balancers > FEW else self.last_note_at
        for note in notes:
            if (worker := self.workers.get(note.worker)) is not None:  # else the lists differ
                worker.record_peer(peer, note.outstanding, now, now + NOTE_AGE)
                if note.failed:
                    self._record_failure(worker, now)
                if note.slowdown is not None:
                    worker.failures = 0
                    worker.record_slowdown(note.slowdown, SLOW_FADE, now)
        return self.actions

    def _silence(self, now: float) -> float:
        """Return the seconds without notes; a few dispatchers that share them always count as heard."""
        return -inf if self.shares_notes and self.settings.balancers <= FEW else now - self.last_note_at

    def _measure_load(self, now: float) -> None:
        """Update the busy shares from the outstanding attempts of all dispatchers."""
        self.counted_at = now
        if DEAF[0] < self._silence(now) < DEAF[1]:
            return  # own attempts alone would make the fleet look idle
        self.own_outstanding.observe(len(self.jobs) - len(self.queued), now)
        for places, busy in self.busy_share.items():
            pool = self._pool(places, -1)
            size = max(1.0, sum(self._usable_slots(worker, now) for worker in pool))
            busy.observe(min(1.0, sum(worker.total_outstanding(now) for worker in pool) / size), now)

    def _usable_slots(self, worker: Worker, now: float) -> float:  # fewer while cold
        share = min(1.0, self.cold_factor * self._warmth(worker, now))
        return max(1.0, (worker.slots or self.largest_free.value) * share)

    def _record_report(self, worker: Worker, report: Report | None, now: float) -> None:
        if report is None or report.free is None:
            return
        # Reports lag: they are corrected by the attempts that were outstanding a moment ago.
        in_flight = report.in_flight or 0.0
        queued = report.queue if report.queue is not None else max(0.0, in_flight - worker.slots)
        worker.reported_free = report.free - queued + worker.change_outstanding(0, REPORT_FADE, now)
        worker.report_until = now + REPORT_AGE
        # A long exclusion crowds other workers, unless FULL is common; reported starts show queues sooner.
        part = FULL_PART * self.full.mean() + (0.0 if self.settings.tells_start else NO_ROOM_PART)
        worker.no_room_until = now + REPORT_AGE * min(1.0, part)
        running = in_flight - queued if report.free >= 1.0 else 0.0
        worker.slots = max(worker.slots, report.free + running, 1.0)
        self.largest_free.report(worker.id, report.free)
        self.usual_free[worker.entry.kind].observe(report.free, now)
        for places, busy in self.busy_share.items():
            if not self.shares_notes and allows(places, worker.entry):
                busy.observe(1.0 - min(1.0, report.free / worker.slots), now)
        load = min(LOAD_MOST, 1.0 + (queued - report.free) / worker.slots)
        (self.near if worker.entry.zone == self.settings.zone else self.away).observe(load, now)

    def on_report(self, at: WorkerId, report: Report, now: float) -> list[Action]:
        """Apply an unsolicited load report: it may place a queued job, but is no proof of health."""
        self.actions = []
        if at in self.workers:
            self.workers[at].lagged_outstanding = self.workers[at].outstanding  # current, not lagged
            self._record_report(self.workers[at], report, now)
            self._place_queued(now)
        return self.actions

    def _place_queued(self, now: float) -> None:
        """Try the queued job that is first by contract, then by the worth of its class, then by age."""
        if self.queued:
            self._place(max(self.queued.values(), key=self._priority), now)

    def _priority(self, job: Job) -> tuple[bool, float, float]:
        late = self.shares_notes and is_late_repeat(job.policy, job.request)
        worth = self._worth_rate(job.request.job_class, late)
        return not job.request.beyond, -job.request.rank, worth

    def _record_failure(self, worker: Worker, now: float) -> None:
        """Count a failure and exclude the worker for a time, so that a fast failer attracts no jobs."""
        worker.failures = min(MAX_FAILURES, worker.failures + 1)
        worker.shunned_until = now + after_failure(worker.failures, self.failing.mean(), self.random.random())

    def on_outcome(self, event: Outcome, now: float) -> list[Action]:
        self.actions = []
        job = self.jobs.get(event.id)
        if job is None or not (event.attempt < len(job.attempts) and job.attempts[event.attempt].outstanding):
            return self.actions
        attempt = job.attempts[event.attempt]
        # Unless FULL proves that nothing ran, a retry of an unsafe job after it could run the job twice.
        proof = event.status is not Status.FULL or job.full_never_ran and self.settings.full_never_ran
        attempt.end(not (proof and event.status in NEVER_RAN))
        if event.status is Status.NOT_SENT and event.attempt and attempt.sent_at in self.retries.times:
            self.retries.times.remove(attempt.sent_at)  # a retry that was not sent is not counted
            job.request.retry_budget.give_back(now)
        job.outstanding -= 1
        self._record_outcome(job, attempt, event, now)
        if event.closed or job.ended:
            self._close(job)
        elif job.outstanding == 0:
            self._place_or_queue(job, now) if self._may_attempt(job, now) else self._give_up(job)
        self._place_queued(now)
        return self.actions

    def _record_outcome(self, job: Job, attempt: Attempt, event: Outcome, now: float) -> None:
        """Update what is known of the worker from the end of an attempt."""
        worker, full, slowdown = attempt.worker, event.status is Status.FULL, None
        worker.change_outstanding(-attempt.counts, REPORT_FADE, now)
        self.full.observe(float(full), now)
        if event.status is not Status.CANCELLED:
            self.failing.observe(float(event.status in FAILURE_STATUSES), now)
        report = event.report or (Report(0.0) if full else None)
        if event.status is Status.OK or report and event.status is not Status.ERROR:
            worker.failures, worker.shunned_until = 0, min(worker.shunned_until, now)  # it responds
            self._record_report(worker, report, now)
        if event.status is Status.OK and job.outstanding:
            faster = attempt is not next(a for a in job.attempts if a.outstanding or a is attempt)
            self.won.observe(float(faster), now)
            self.hedge_tokens = min(COPY_MOST, self.hedge_tokens + COPY_WON * faster)
        if event.status is Status.OK:
            worker.rejections = 0
            for key in job.rejection_keys:
                worker.rejected.halve(key)
            if attempt.started:
                usual, run = self.run_times[job.request.job_class], log(max(1e-3, now - attempt.started))
                slowdown = run - usual.mean()
                worker.record_slowdown(slowdown, SLOW_FADE, now)
                usual.observe(run, now)
                aim = job.policy.aim + job.policy.stretch * (now - attempt.started)
                self.late.observe(float(now - job.since > aim), now)
            if (job.request.key, job.policy.places) in self.keys:
                self.keys[job.request.key, job.policy.places].note(worker, KEY_PLACES)
        if full:
            for key in job.rejection_keys:
                worker.rejected.add(key, DECAY, now)
            worker.reported_free, worker.no_room_until = worker.outstanding, now + FULL_AGE
            worker.rejections += 1
            worker.shunned_until = now + after_rejections(worker.rejections)
        elif event.status in FAILURE_STATUSES:
            self._record_failure(worker, now)
        self._notify(worker, now, slowdown, event.status in FAILURE_STATUSES)

    def on_started(self, job_id: int, attempt: int, now: float) -> list[Action]:
        """Record that the worker has begun to run an attempt; the time before was spent in its queue."""
        if (job := self.jobs.get(job_id)) is not None and attempt < len(job.attempts):
            job.attempts[attempt].start(now)
        return []

    def on_timer(self, token: int, now: float) -> list[Action]:
        self.actions = []
        purpose, job = token & 3, self.queued.get(token >> 2)
        if purpose == LIST and not self.watching:
            self.actions.append(Watch())
        elif purpose == DEADLINE and job is not None and now >= job.deadline - self.reply_margin:
            self._give_up(job)
        elif purpose == DEADLINE and token >> 2 in self.jobs:
            self._check_hedge(self.jobs[token >> 2], now)
        elif job is not None and purpose == HOLD:
            self._place_or_queue(job, now)
        elif purpose == NOTES:
            self._notify_all(now)
        return self.actions

    def on_accepted(self, job_id: int, attempt: int, now: float) -> list[Action]:
        """End a job whose response has begun: no further attempts, and all others are cancelled."""
        return [action for action in self.on_withdrawn(job_id, now) if action != Cancel(job_id, attempt)]

    def on_withdrawn(self, job_id: int, now: float) -> list[Action]:
        self.actions = []
        if (job := self.jobs.get(job_id)) is not None and not job.ended:
            self._close(job)
        return self.actions
