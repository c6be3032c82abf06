"""Inputs and outputs of the decision module (brain.py).

Units: seconds on the caller's clock, slots, requests a second.  Ownership: the module owns a request passed to
`on_request` until it returns Refuse or Fail, an outcome arrives with `closed` set, or `on_withdrawn` names it.
Order: pass events in as they arrive; carry out the returned actions in the order given, before the next event.
Restart: make a new Brain, which starts without state, and pass it the last list first.  Pass reported starts of jobs
to `on_started`, load reports outside any outcome to `on_report`, and notes of other dispatchers to `on_notes`.  Where
contracts apply, `Request` states each job's standing and rank; pass a job that there is no capacity to queue with a
`reply_capacity` of 0, and it is refused.  Late, repeated or unknown ids are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf, isfinite
from typing import NamedTuple, Protocol

WorkerId = bytes
UNNAMED_TENANT = -1  # a tenant that the settings do not name; it has no limit
MAX_BALANCERS = 65_535  # the simulator's wire numbers dispatchers with two bytes
Places = tuple[tuple[int, ...] | None, tuple[int, ...] | None]  # machine kinds and zones; None means any


class Effect(Enum):
    """The effect of repeating a request of a class."""

    SAFE = "safe"  # may be repeated and refused freely
    KEYED = "keyed"  # repeats within a window are dropped by a group of workers
    UNSAFE = "unsafe"  # may be repeated only when no earlier attempt can have run


class RefusalReason(Enum):
    """Why a request was refused or failed without a result."""

    BEYOND_LIMIT = "beyond_limit"  # beyond its tenant's limit, or within it under overload
    DRAINING = "draining"  # little reply capacity is left
    OUT_OF_TIME = "out_of_time"  # queued for a free worker until its aim or its deadline
    ATTEMPTS_SPENT = "attempts_spent"  # no further attempt may go out
    NO_WORKER = "no_worker"  # an operator has banned all workers


class Group(Enum):
    """The workers among which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


NEVER_RAN = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT))


class State(Enum):
    """The state of a listed worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event contains."""

    CACHED = "cached"  # the whole list as stored before a restart, perhaps stale
    FULL = "full"  # the whole list
    CHANGES = "changes"  # only the entries that changed
    FAILED = "failed"  # a call failed or the subscription broke; no entries


class Reports(Enum):
    """How load reports arrive."""

    WITH_ANSWERS = "answers"
    BY_PROBE = "probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class JobClass:
    """The settings of a class of jobs.  Required: effect.  Times in seconds.

    `kinds` and `zones` are the only machine kinds and zones that jobs of the class may be sent to; None: any.
    """

    effect: Effect
    group: Group = Group.ALL
    repeat_window: float = 0.0
    aim: float = 1.0  # an answer within this time earns the full worth
    stretch: float = 0.0  # the aim grows by this many times the job's own run time
    give_up: float = 5.0
    late_share: float = 0.0
    worth: float = 1.0
    stream: bool = False
    max_attempts: int = 1_000_000  # of one request; Settings.max_attempts applies too
    kinds: tuple[int, ...] | None = None
    zones: tuple[int, ...] | None = None

    @property
    def places(self) -> Places:
        """The kinds and zones that jobs of the class are bound to."""
        return self.kinds, self.zones


class AttemptBudget(NamedTuple):
    """The retry budget: in any `span` seconds at most `free` retries plus `share` times the requests received."""

    free: float
    share: float
    span: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of the module.  Required: balancers, zone and classes.

    `limits` has each tenant's requests a second over all balancers, by tenant number.
    """

    balancers: int
    zone: int
    classes: tuple[JobClass, ...]
    limits: tuple[float, ...] = ()
    reports: Reports = Reports.NONE
    me: int = 0  # number of this balancer
    shares_notes: bool = False  # dispatchers send one another notes
    list_on_request: bool = False  # the list is sent only on request
    max_list_retry: float = 10.0  # seconds, longest wait between requests for the list
    drain_within: float = (
        3.0  # seconds from the news that a worker drains or is gone, until which attempts may still go there
    )
    can_cancel: bool = False
    hedging: bool = False
    max_attempts: int = 3
    max_retry_after: float = 0.0  # seconds; 0: clients ignore such advice
    tells_start: bool = False
    tick: float = 0.005  # seconds, shortest time between two rounds of events
    cold_from: float = 1.0  # least share of its capacity that a started worker has
    warm_up: float = 0.0  # seconds
    cold_factor: float = 4.0  # multiple of its present capacity that all balancers may send a cold worker
    cold_span: float = 2.0  # seconds for which it bears that
    budget: AttemptBudget | None = None  # None: retries are not limited
    full_never_ran: bool = True  # a FULL response proves that the attempt never ran
    # Numbers of classes and tenants that only earlier settings named: their jobs end by them, and nothing else does.
    retired_classes: frozenset[int] = frozenset()
    retired_tenants: frozenset[int] = frozenset()

    @property
    def current_classes(self) -> tuple[JobClass, ...]:
        """The classes that new requests may have."""
        return tuple(rule for number, rule in enumerate(self.classes) if number not in self.retired_classes)

    def __post_init__(self) -> None:
        for name, low in (("balancers", 1), ("zone", 0), ("max_attempts", 1), ("tick", 0), ("warm_up", 0)):
            if not getattr(self, name) >= low:
                raise ValueError(f"settings: {name} must be a number of at least {low}")
        if self.balancers > MAX_BALANCERS:
            raise ValueError(f"settings: balancers must be a number of at most {MAX_BALANCERS}")
        if not (isfinite(self.drain_within) and self.drain_within > 0):
            raise ValueError("settings: drain_within must be a finite number above 0")
        if not self.current_classes:
            raise ValueError("settings: classes must name at least one request class")
        if not 0 < self.cold_from <= 1:
            raise ValueError("settings: cold_from must be above 0 and at most 1")
        if not (isfinite(self.cold_factor) and self.cold_factor > 0):
            raise ValueError("settings: cold_factor must be a finite number above 0")
        if not (isfinite(self.cold_span) and self.cold_span > 0):
            raise ValueError("settings: cold_span must be a finite number above 0")
        if self.budget is not None:
            for name, value in self.budget._asdict().items():
                if not (isfinite(value) and (value > 0 if name == "span" else value >= 0)):
                    raise ValueError(f"settings: budget.{name} must be a finite number of at least 0 (span: above 0)")


class Entry(NamedTuple):
    """One worker on the list."""

    worker: WorkerId
    state: State
    zone: int = 0
    kind: int = 0
    cell: int = 0
    started_at: float = 0.0  # 0: long ago
    weight: float = 1.0


class Report(NamedTuple):
    """A worker's load report; None: not reported, or not a plausible number."""

    free: float | None = None
    queue: float | None = None
    in_flight: float | None = None


class RetryBudget(Protocol):
    """A budget for attempts beyond the first.  It only counts; the module decides whether one goes out."""

    def left(self, now: float) -> float:
        """Return the attempts left."""

    def pay(self, now: float) -> None:
        """Count an attempt."""

    def give_back(self, now: float) -> None:
        """Return a counted attempt that was never sent."""


class UnlimitedRetries:
    """The retry budget of a request without a contract."""

    def left(self, now: float) -> float:
        return inf

    def pay(self, now: float) -> None:
        """Nothing is counted."""

    def give_back(self, now: float) -> None:
        """Nothing was counted."""


UNLIMITED_RETRIES = UnlimitedRetries()


class Request(NamedTuple):
    """A client's request."""

    id: int
    job_class: int
    budget: float  # seconds until the client gives up on this try
    tenant: int = 0  # or UNNAMED_TENANT
    key: int = 0  # 0: none
    slots: float = 1.0
    repeat: bool = False  # the client marked it as a repeat
    reply_capacity: float = 1.0  # capacity left to answer clients, as in a drain: 1 enough, 0 none
    beyond: bool | None = None  # beyond its contract's share; None: no contracts apply
    rank: float = 0.0  # queue order, after `beyond`: lowest first; within the share, the time when it is due
    retry_budget: RetryBudget = UNLIMITED_RETRIES  # for its retries, besides Settings.budget


class Outcome(NamedTuple):
    """The end of an attempt; `closed`: the request is answered; `took` in seconds."""

    id: int
    attempt: int
    worker: WorkerId
    status: Status
    took: float
    closed: bool
    report: Report | None = None


class Send(NamedTuple):
    """Start an attempt; a timeout of 0 means until the client gives up.

    The clock has to be read once more right before the write: after `not_after` nothing may be written, and the
    attempt ends as NOT_SENT.  It allows for a hold-up between that look and the write.
    """

    id: int
    worker: WorkerId
    timeout: float = 0.0
    not_after: float = inf  # clock time; finite where the window of a keyed request bounds its repeats


class Refuse(NamedTuple):
    """Refuse a request; `retry_after` in seconds."""

    id: int
    retry_after: float = 0.0


class Fail(NamedTuple):
    """Answer a request as failed."""

    id: int


class Cancel(NamedTuple):
    """Cancel an attempt."""

    id: int
    attempt: int


class Timer(NamedTuple):
    """Call `on_timer` with the token at that time."""

    at: float  # clock time
    token: int


class Watch(NamedTuple):
    """Subscribe to changes of the list."""


class Note(NamedTuple):
    """One dispatcher's state of a worker, for the others; valid until the next note or until it expires."""

    worker: WorkerId
    outstanding: int  # the sender's outstanding attempts there
    slowdown: float | None = None  # of an attempt that has just ended: log of run time over the usual
    failed: bool = False  # an attempt has just failed there


class SendNotes(NamedTuple):
    """Send notes to some other dispatchers, or all; they may arrive late, out of order, twice or never."""

    notes: tuple[Note, ...]
    to: tuple[int, ...] | None = None  # numbers of dispatchers; None: all


class Log(NamedTuple):
    """Write a log line."""

    text: str


Action = Send | Refuse | Fail | Cancel | Timer | Watch | SendNotes | Log
