"""What the decision module (brain.py) is told and what it answers.

Units: seconds on the caller's clock, slots, requests a second.  Ownership: a request handed to
`on_request` is the module's until it returns Refuse or Fail, or an outcome arrives with `closed`
set, or `on_withdrawn` names it.  Order: events go in as they arrive; the actions returned are to be
carried out in the order given, before the next event.  Restart: make a new Brain and hand it the
last list first; it remembers nothing.  Where workers tell that a job starts, hand it to `on_started`; a load
report that comes outside any outcome goes to `on_report`, and what another dispatcher tells to `on_told`.  Where
contracts are kept, `Request` tells each job's standing and rank; a job for which no room to wait is left is handed in
with no `spare`, and refused.  Late, repeated or unknown ids are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf, isfinite
from typing import NamedTuple, Protocol

WorkerId = bytes
MAX_BALANCERS = 65_535  # the simulator's wire numbers them by two bytes; a list is kept of as many
Places = tuple[tuple[int, ...] | None, tuple[int, ...] | None]  # machine kinds and zones; None: any


class Effect(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"  # may be repeated and refused freely
    KEYED = "keyed"  # a group of workers drops repeats within a window
    UNSAFE = "unsafe"  # only when no earlier attempt can have run


class RefusalReason(Enum):
    """Why a request was refused or failed without a result."""

    BEYOND_LIMIT = "beyond_limit"  # beyond its tenant's limit, or within it where all is overloaded
    DRAINING = "draining"  # few means to answer clients are left
    OUT_OF_TIME = "out_of_time"  # held for a free worker, up to its aim or its deadline
    ATTEMPTS_SPENT = "attempts_spent"  # no further attempt may go out
    NO_WORKER = "no_worker"  # an operator has taken out all there is


class Group(Enum):
    """Which workers drop each other's repeats of a keyed request."""

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
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CACHED = "cached"  # the whole list as last held before a restart, perhaps stale
    FULL = "full"  # the whole list
    CHANGES = "changes"  # only the entries that changed
    FAILED = "failed"  # a call failed or the subscription broke; no entries


class Reports(Enum):
    WITH_ANSWERS = "answers"
    BY_PROBE = "probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class JobClass:
    """Required: effect.  Times in seconds.

    `kinds` and `zones` are the only machine kinds and zones that jobs of the class may be sent to; None: any.
    """

    effect: Effect
    group: Group = Group.ALL
    repeat_window: float = 0.0
    aim: float = 1.0  # answered within this earns the full worth
    stretch: float = 0.0  # the aim grows by this many times the job's own run time
    give_up: float = 5.0
    late_share: float = 0.0
    worth: float = 1.0
    stream: bool = False
    max_attempts: int = 1_000_000  # of one request; the settings' own limit holds besides
    kinds: tuple[int, ...] | None = None
    zones: tuple[int, ...] | None = None

    @property
    def places(self) -> Places:
        return self.kinds, self.zones


class AttemptBudget(NamedTuple):
    """In any `span` seconds: at most `free` further attempts plus `share` of the requests taken."""

    free: float
    share: float
    span: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Required: balancers, zone and classes; the rest is optional.

    `limits` holds each tenant's requests a second over all balancers, by the number of the tenant.
    """

    balancers: int
    zone: int
    classes: tuple[JobClass, ...]
    limits: tuple[float, ...] = ()
    reports: Reports = Reports.NONE
    me: int = 0  # which of the balancers this is
    shares_notes: bool = False  # dispatchers may send one another notes
    list_on_request: bool = False  # the list comes only when asked for
    max_list_retry: float = 10.0
    drain_within: float = 3.0  # s after it is told that a worker drains or is gone, when nothing more may go there
    can_cancel: bool = False
    hedging: bool = False
    max_attempts: int = 3
    max_retry_after: float = 0.0  # 0: clients take no such advice
    tells_start: bool = False
    tick: float = 0.005  # shortest gap between two rounds of events
    cold_from: float = 1.0  # a started worker has at least this share of its capacity
    warm_up: float = 0.0
    cold_factor: float = 4.0  # times its present capacity that a cold worker may be sent, of all balancers together
    cold_span: float = 2.0  # s for which it bears that
    budget: AttemptBudget | None = None  # None: further attempts are not rationed
    full_never_ran: bool = True  # an attempt answered 'full' never ran

    def __post_init__(self) -> None:
        for name, low in (("balancers", 1), ("zone", 0), ("max_attempts", 1), ("tick", 0), ("warm_up", 0)):
            if not getattr(self, name) >= low:
                raise ValueError(f"settings: {name} must be a number of at least {low}")
        if self.balancers > MAX_BALANCERS:
            raise ValueError(f"settings: balancers must be a number of at most {MAX_BALANCERS}")
        if not (isfinite(self.drain_within) and self.drain_within > 0):
            raise ValueError("settings: drain_within must be a finite number above 0")
        if not self.classes:
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
    """A worker's load report; None: not among the site's values, or not a sane number."""

    free: float | None = None
    queue: float | None = None
    in_flight: float | None = None


class RetryBudget(Protocol):
    """A budget that pays for attempts beyond the first.  It only counts: whether one goes out is the module's say."""

    def left(self, now: float) -> float: ...

    def pay(self, now: float) -> None: ...

    def give_back(self, now: float) -> None: ...


class UnlimitedRetries:
    """The purse of a request for which no contract pays."""

    def left(self, now: float) -> float:
        return inf

    def pay(self, now: float) -> None:
        """Nothing is counted."""

    def give_back(self, now: float) -> None:
        """Nothing was counted."""


UNLIMITED_RETRIES = UnlimitedRetries()


class Request(NamedTuple):
    id: int
    job_class: int
    budget: float  # seconds until the client gives up on this try
    tenant: int = 0
    key: int = 0  # 0: none
    slots: float = 1.0
    repeat: bool = False  # a client's marked repeat
    reply_capacity: float = 1.0  # how far the means to answer clients by go, as in a drain: 1 enough, 0 nothing left
    beyond: bool | None = None  # beyond its contract's share, or within; None: no contracts are kept
    rank: float = 0.0  # of what waits, within before beyond, the lowest first; within it is when it is wanted
    retry_budget: RetryBudget = UNLIMITED_RETRIES  # pays for its further attempts, besides the settings' budget


class Outcome(NamedTuple):
    id: int
    attempt: int
    worker: WorkerId
    status: Status
    took: float
    closed: bool
    report: Report | None = None


class Send(NamedTuple):
    """Start an attempt; a time-out of 0 lasts until the client gives up."""

    id: int
    worker: WorkerId
    timeout: float = 0.0


class Refuse(NamedTuple):
    id: int
    retry_after: float = 0.0


class Fail(NamedTuple):
    id: int


class Cancel(NamedTuple):
    id: int
    attempt: int


class Timer(NamedTuple):
    at: float  # clock time
    token: int


class Watch(NamedTuple):
    """Subscribe to changes of the list."""


class Note(NamedTuple):
    """What one dispatcher tells the others of a worker; it stands until the next one, or until it is old."""

    worker: WorkerId
    outstanding: int  # attempts that the teller has out there now
    slowdown: float | None = None  # of one that has just ended there: its logged run time over the usual of its class
    failed: bool = False  # one has just failed there


class SendNotes(NamedTuple):
    """Tell some other dispatchers, or all; it may come late, out of order, twice or not at all."""

    notes: tuple[Note, ...]
    to: tuple[int, ...] | None = None  # their numbers; None: all


class Log(NamedTuple):
    text: str


Action = Send | Refuse | Fail | Cancel | Timer | Watch | SendNotes | Log
