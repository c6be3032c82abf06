"""What a run's record must show: the operators' terms, judged from the outside."""

from __future__ import annotations

from collections import defaultdict
from math import inf
from typing import NamedTuple

from benchmarks.soak.record import Arrival, Record, Request, Start
from benchmarks.soak.terms import ANSWER_SLACK, CLOSED_SLACK, DEADLINE_SLACK, DRAIN_SLACK, MEAN_WORK, Terms

TOLD_SHARE = 2 / 3  # of what made a server fall: beyond it, those that were told of its start are at fault
RETUNED = 0.5  # s after SIGHUP from when new settings are in force
JUDGED_LEAST = 12  # requests of a class under some settings, one of which at least must be served
SERVING_SHARE = 0.5  # of all requests there: below it a dispatcher refuses most of every class, as in an overload
TAKEN_AFTER = 0.7  # s after SIGTERM from when a request must have been answered before SIGKILL


class Violation(NamedTuple):
    """One term that was not kept."""

    term: str
    at: float
    text: str


class SlowStart(NamedTuple):
    """What one server got after one start."""

    start: Start
    excess: float  # requests beyond the budget in the worst window; negative: within it
    work_excess: float  # the same in requests of mean work
    age: float  # s, of the server at the end of that window
    fell: float  # s, its age at the first request over the budget; inf: none
    counted: int  # requests in that window
    told: float  # share of them that came from dispatchers that had been told of the start
    got: int  # requests in the whole warm-up


def slow_starts(record: Record, terms: Terms) -> list[SlowStart]:
    """The worst window of each start.  Each request that reached the server counts, whatever became of it."""
    found = []
    for start in record.starts:
        until = min((s.at for s in record.starts if s.server == start.server and s.at > start.at), default=inf)
        got = [a for a in record.arrivals if a.server == start.server and start.at <= a.at < until]
        worst: SlowStart | None = None
        fell = inf
        for n, last in enumerate(got):
            window = [a for a in got[: n + 1] if a.at > last.at - terms.span]
            excess, work = _excess(window, last.at - start.at, terms)
            told = sum(start.told.get(a.node, inf) <= last.at for a in window) / len(window)
            fell = min(fell, last.at - start.at) if excess > 0.0 else fell
            if worst is None or excess > worst.excess:
                worst = SlowStart(start, excess, work, last.at - start.at, fell, len(window), told, len(got))
        if worst is not None:
            found.append(worst._replace(fell=fell))
    return found


def _slow_start_text(found: SlowStart) -> str:
    fell = f"{found.start.server} fell at age {found.fell:.3f} s"
    worst = f"worst span: {found.counted} requests at {found.age:.3f} s, {found.excess:+.1f} over the budget"
    return f"{fell}; {worst}, {found.told:.2f} of them from told dispatchers"


def _excess(window: list[Arrival], age: float, terms: Terms) -> tuple[float, float]:
    budget = terms.budget(age - terms.span)
    mean = sum(a.work for a in window) / MEAN_WORK
    return len(window) - budget, mean - budget


def check(record: Record, terms: Terms) -> list[Violation]:
    """All terms that were not kept, by time."""
    found = [Violation("slow start", s.start.at + s.age, _slow_start_text(s)) for s in slow_starts(record, terms)
             if s.excess > 0.0]  # fmt: skip
    requests = {request.txn: request for request in record.requests}
    attempts: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        attempts[arrival.txn].append(arrival)
        if (request := requests.get(arrival.txn)) is not None:
            found += _check_attempt(record, arrival, request)
    for txn, request in requests.items():
        found += _check_answer(record, request, bool(attempts[txn]))
        if request.job_class == "pay":
            found += _check_unsafe(request, attempts[txn])
    found += _check_drains(record, terms)
    found += _check_settings(record)
    for life in record.lives:
        if life.status not in (None, 0, -9) or life.status == 0 and life.terminated == inf:
            found.append(Violation("crash", life.killed, f"n{life.node} ended with status {life.status}"))
    return sorted(found, key=lambda violation: violation.at)


def _check_attempt(record: Record, arrival: Arrival, request: Request) -> list[Violation]:
    found = []
    late = arrival.at - request.closed - record.lag(request.closed, arrival.at)
    if late > CLOSED_SLACK:
        found.append(
            Violation("attempt after close", arrival.at, f"{arrival.txn}: {late:.3f} s after its client closed")
        )
    left = request.deadline - arrival.at
    more = arrival.remaining - left - record.lag(request.sent, arrival.at)
    if more > DEADLINE_SLACK:
        found.append(
            Violation("deadline", arrival.at, f"{arrival.txn}: told {more:.3f} s more than its client has left")
        )
    return found


def _check_answer(record: Record, request: Request, attempted: bool) -> list[Violation]:
    lives = [life for life in record.lives if life.node == request.node]
    life = lives[request.life - 1]
    if request.status == -1:
        return [Violation("wrong answer", request.ended, f"{request.txn} was answered with another's result")]
    if request.status:
        return []
    if request.closed < inf:
        waited = request.closed - request.deadline - record.lag(request.deadline, request.closed)
        if waited < ANSWER_SLACK:
            return []
        return [Violation("lost", request.closed, f"{request.txn}: no answer {waited:.3f} s after its deadline")]
    if request.ended >= life.killed - 0.005 and life.status in (-9, None):  # cut off by SIGKILL
        lost = request.sent > life.terminated + TAKEN_AFTER
        return [Violation("lost", request.ended, f"{request.txn}: unanswered at SIGKILL")] if lost else []
    if not request.fresh and not attempted:
        return []  # a close that crossed it: the client sends it once more
    return [Violation("lost", request.ended, f"{request.txn}: its connection ended without an answer")]


def _check_unsafe(request: Request, attempts: list[Arrival]) -> list[Violation]:
    ran = [a for a in attempts if a.ran]
    return [Violation("duplicate", b.at, f"{request.txn} went to {a.server} and then to {b.server}")
            for a, b in zip(ran, ran[1:], strict=False)]  # fmt: skip


def _check_drains(record: Record, terms: Terms) -> list[Violation]:
    found = []
    for drain in record.drains:
        for arrival in record.arrivals:
            told = drain.told.get(arrival.node, inf)
            late = arrival.at - told - terms.drain_within - DRAIN_SLACK
            if arrival.server == drain.server and late - record.lag(told, arrival.at) > 0.0:
                found.append(Violation("drain", arrival.at, f"{arrival.txn} went to {drain.server} {late:.3f} s late"))
    return found


def _check_settings(record: Record) -> list[Violation]:
    """New settings must not take a class out of service that both they and those before them have."""
    found = []
    for retune in record.retunes:
        later = [other.at for other in record.retunes if other.node == retune.node and other.at > retune.at]
        ends = defaultdict[str, list[int]](list)
        for request in record.requests:
            if request.node == retune.node and retune.at + RETUNED <= request.sent < min(later, default=inf):
                ends[request.job_class].append(request.status)
        told = [status for statuses in ends.values() for status in statuses]
        if told.count(200) < SERVING_SHARE * len(told):
            continue
        found += [
            Violation("settings", retune.at, f"n{retune.node}: none of {len(statuses)} requests of {name} served")
            for name, statuses in ends.items()
            if len(statuses) >= JUDGED_LEAST and 200 not in statuses
        ]
    return found
