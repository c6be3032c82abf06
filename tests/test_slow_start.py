"""What all dispatchers together send to a server since its start, whatever becomes of it there, in virtual time.

The operators' terms: in every span at most N calls, plus 3 x root of N + 3 (from N = 30 on 2 x root of N + 2).
"""

from __future__ import annotations

from collections import Counter
from math import inf, log, sqrt
from random import Random
from typing import Any, NamedTuple

import pytest

from benchmarks.soak.terms import Terms
from oxbowarch.shunning import MAX_FAILURES
from oxbowarch.brain import Brain
from oxbowarch.interface import Entry, ListKind, Outcome, Report, Request, Settings, State, Status
from tests.test_fleet import SEARCH, SLOTS, Fleet, worker_name

SPAN, MEAN, COLD_FROM, WARM_UP, FACTOR = 2.0, 0.65, 0.12, 24.0, 4.0
BACK_AT, LOOK, SERVERS = 5.0, 5.0, 12
FAST = 0.003  # s after which a call is reset or turned away
TERMS = Terms(1, COLD_FROM, WARM_UP, FACTOR, SPAN)
UNDER_TEST = worker_name(3)


class Case(NamedTuple):
    """What befalls the fleet while one server comes back in place."""

    dispatchers: int
    load: float  # of all capacity
    late: float  # s by which the list tells the start, and half as much more for each further dispatcher
    ending: Status | None  # how most calls at that server end at once
    share: float  # of its calls
    down: int  # other servers that refuse connections
    lost: float  # share of the datagrams between dispatchers
    skew: float  # share of the traffic that comes to the first dispatcher besides its part
    flaps: bool  # the server leaves the list and returns, with the same start


class Ledger(Fleet):
    """A fleet whose servers can be down, come back, and end calls at once; it notes each call that reaches the one."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.down = case, set[bytes]()
        self.calls: list[float] = []
        super().__init__(case.dispatchers, SERVERS, case.dispatchers > 1, lost=case.lost, seed=seed)
        self.chance = Random(seed + 1)

    def ask(self, n: int) -> None:
        super().ask(0 if self.random.random() < self.case.skew else n)

    def arrive(self, worker: bytes, job: tuple[int, int, int]) -> None:
        n, number, attempt = job
        if worker in self.down:
            return self.at(self.now + 0.0005, self.end, n, number, attempt, Status.CONNECT_FAILED, None, worker)
        if worker == UNDER_TEST:
            self.calls.append(self.now)
            if self.now >= BACK_AT and self.case.ending and self.chance.random() < self.case.share:
                return self.at(self.now + FAST, self.end, n, number, attempt, self.case.ending, None, worker)
        return super().arrive(worker, job)

    def done(self, worker: bytes, one: tuple[int, int, int]) -> None:
        if one in self.running[worker]:
            super().done(worker, one)

    def stop(self, worker: bytes) -> None:
        self.down.add(worker)
        for n, number, attempt in (*self.running[worker], *self.queue[worker]):
            self.at(self.now + 0.001, self.end, n, number, attempt, Status.RESET, None, worker)
        self.running[worker], self.queue[worker] = set(), []

    def come_back(self) -> None:
        self.down.discard(UNDER_TEST)
        self.started[UNDER_TEST] = self.now

    def tell(self, n: int, entry: Entry) -> None:
        self.act(n, self.brains[n].on_list(ListKind.CHANGES, (entry,), self.now))

    def played(self) -> Ledger:
        case = self.case
        self.offer(SERVERS * SLOTS / MEAN * case.load, 0.0, BACK_AT + LOOK)
        for k in range(case.down):
            self.at(BACK_AT - 2.5 + 0.1 * k, self.stop, worker_name(4 + k))
        self.at(BACK_AT - 1.5, self.stop, UNDER_TEST)
        self.at(BACK_AT, self.come_back)
        news = Entry(UNDER_TEST, State.READY, started_at=BACK_AT)
        for n in range(case.dispatchers):
            told = BACK_AT + case.late * (1 + 0.5 * n / case.dispatchers)
            self.at(told, self.tell, n, news)
            for k in range(3 if case.flaps else 0):
                self.at(told + 0.3 + 0.5 * k, self.tell, n, Entry(UNDER_TEST, State.GONE))
                self.at(told + 0.5 + 0.5 * k, self.tell, n, news)
        self.play(BACK_AT + LOOK)
        return self

    def excess(self, since: float = BACK_AT) -> float:
        """The most calls in any span beyond its budget, among those sent from `since` on."""
        times = [at for at in self.calls if at >= since]
        worst = -inf
        for n, at in enumerate(times):
            worst = max(worst, sum(other > at - SPAN for other in times[: n + 1]) - TERMS.budget(at - SPAN - BACK_AT))
        return worst


QUIET = Case(2, 1.1, 0.6, None, 0.0, 0, 0.0, 0.0, False)
FAST_ENDINGS = [(Status.FULL, 0.9), (Status.RESET, 0.9), (Status.RESET, 0.5)]


@pytest.mark.parametrize(("ending", "share"), FAST_ENDINGS)
@pytest.mark.parametrize("dispatchers", [1, 2, 3])
def test_calls_that_end_at_once_count_against_the_slow_start_budget(
    dispatchers: int, ending: Status, share: float
) -> None:
    case = QUIET._replace(dispatchers=dispatchers, late=0.0, ending=ending, share=share, down=4)
    found = [Ledger(case, seed).played().excess() for seed in (1, 2)]
    assert max(found) <= 0.0, found


@pytest.mark.parametrize("dispatchers", [1, 2, 8])
def test_servers_that_refuse_connections_are_not_tried_for_every_job_where_many_do(dispatchers: int) -> None:
    """Each strike doubles the wait before the next try, so that a few seconds hold one try a strike."""
    fleet = Ledger(QUIET._replace(dispatchers=dispatchers, down=4), 1)
    refused = Counter[bytes]()
    end = fleet.end

    def count_end(n: int, job: int, attempt: int, status: Status, report: Report | None = None,
                  worker: bytes = b"") -> None:  # fmt: skip
        refused[worker] += status is Status.CONNECT_FAILED
        end(n, job, attempt, status, report, worker)

    fleet.end = count_end  # type: ignore[method-assign]
    fleet.played()
    assert max(refused.values()) <= dispatchers * (MAX_FAILURES + 1), refused


@pytest.mark.parametrize("late", [0.6, 1.6])
@pytest.mark.parametrize("dispatchers", [1, 2, 3, 8])
@pytest.mark.parametrize(("ending", "share"), FAST_ENDINGS)
def test_a_server_that_ends_calls_at_once_is_not_flooded_before_the_news_of_its_start(
    dispatchers: int, ending: Status, share: float, late: float
) -> None:
    case = QUIET._replace(dispatchers=dispatchers, late=late, ending=ending, share=share, down=4)
    found = [Ledger(case, seed).played().excess() for seed in (1, 2)]
    assert max(found) <= 0.0, found


def test_what_was_sent_between_a_start_and_its_news_still_counts_after_the_news() -> None:
    settings = Settings(1, 0, (SEARCH,), can_cancel=True, tells_start=True, cold_from=0.12, warm_up=24.0)
    brain = Brain(settings, 1, 0.0)
    brain.on_list(ListKind.FULL, (Entry(b"a", State.READY),), 0.0)
    brain.on_request(Request(1, 0, 10.0), 1.0)
    brain.on_started(1, 0, 1.1)
    for number in (2, 3):  # these go to the process that starts at 2.0
        brain.on_request(Request(number, 0, 10.0), 2.0 + number / 10)
        brain.on_started(number, 0, 2.05 + number / 10)
    worker = brain.workers[b"a"]
    brain.on_list(ListKind.CHANGES, (Entry(b"a", State.READY, started_at=2.0),), 2.4)
    assert worker.outstanding == 2 and len(worker.running) == 2 and worker.slow_start.tokens <= -1.0
    brain.on_outcome(Outcome(1, 0, b"a", Status.RESET, 1.0, False), 2.4)
    assert worker.outstanding == 2  # the first one was lost with the process before
    brain.on_outcome(Outcome(2, 0, b"a", Status.OK, 1.0, True), 2.5)
    assert worker.outstanding == 1 and len(worker.running) == 1


@pytest.mark.parametrize("between", [State.GONE, State.DRAINING])
def test_a_line_without_a_start_does_not_make_the_same_start_new_again(between: State) -> None:
    """Lines of hosts that have left, and lines that cannot be read, tell no start."""
    brain = Brain(Settings(1, 0, (SEARCH,), cold_from=0.12, warm_up=24.0), 1, 0.0)
    brain.on_list(ListKind.FULL, (Entry(b"a", State.READY, started_at=1.0),), 1.5)
    brain.workers[b"a"].slow_start.tokens, brain.workers[b"a"].outstanding = -3.0, 2
    brain.on_list(ListKind.CHANGES, (Entry(b"a", between),), 2.0)
    brain.on_list(ListKind.CHANGES, (Entry(b"a", State.READY, started_at=1.0),), 2.1)
    assert brain.workers[b"a"].slow_start.tokens < 0.0 and brain.workers[b"a"].outstanding == 2


def test_a_ready_line_without_a_start_does_not_make_a_cold_server_warm() -> None:
    brain = Brain(Settings(1, 0, (SEARCH,), cold_from=0.12, warm_up=24.0), 1, 0.0)
    brain.on_list(ListKind.FULL, (Entry(b"a", State.READY, started_at=1.0),), 1.5)
    brain.on_list(ListKind.CHANGES, (Entry(b"a", State.READY),), 2.0)
    assert brain._warmth(brain.workers[b"a"], 2.0) < 0.2


def test_jobs_that_are_admitted_and_then_refused_do_not_raise_the_rate_of_a_cold_server() -> None:
    """Held for room and refused later they were counted as if each worker had taken its part of them."""
    settings = Settings(2, 0, (SEARCH,), shares_notes=True, tells_start=True, cold_from=0.12, warm_up=24.0)
    brain = Brain(settings, 1, 0.0)
    brain.on_list(ListKind.FULL, (Entry(b"a", State.READY), Entry(b"cold", State.READY, started_at=9.0)), 9.0)
    for _ in range(200):
        brain.run_times[0].observe(log(MEAN), 9.0)
    brain.workers[b"cold"].slots = float(SLOTS)
    brain.admitted.add(10_000.0, 0.07, 9.0)
    allowed = FACTOR * COLD_FROM * SLOTS / MEAN * SPAN
    both = 2 * brain._slow_start_rate(brain.workers[b"cold"], COLD_FROM, 9.0) * SPAN
    assert both == pytest.approx(allowed + sqrt(allowed), rel=0.02)


@pytest.mark.parametrize("trouble", [{"skew": 0.7}, {"lost": 1.0}, {"flaps": True}], ids=["uneven", "unheard", "flaps"])
@pytest.mark.parametrize("ending", [Status.RESET, Status.FULL])
@pytest.mark.parametrize("dispatchers", [2, 30])
def test_uneven_traffic_peers_unheard_and_lists_that_flap_keep_the_slow_start_budget(
    dispatchers: int, ending: Status, trouble: dict[str, Any]
) -> None:
    case = QUIET._replace(dispatchers=dispatchers, ending=ending, share=0.9, down=4, **trouble)
    assert Ledger(case, 1).played().excess() <= 0.0
