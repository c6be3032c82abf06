"""The module's behaviour, without the bench."""

from __future__ import annotations

import math
from collections import Counter
from pathlib import Path

import pytest

from oxbowarch import brain as module
from oxbowarch.brain import Brain
from oxbowarch.hedging import COPY_AFTER
from oxbowarch.interface import (
    Cancel, Effect, Entry, Fail, Group, JobClass, ListKind, Outcome, Refuse, Report, Reports,
    Request, Send, Settings, State, Status, Timer, Watch,
)  # fmt: skip
from oxbowarch.pace import slowness
from oxbowarch.records import Worker
from oxbowarch.shunning import COMMON_FAILURE

FULL_PRESSURE = (module.PRESSURE[1] + module.OVERLOAD[0]) / 2 + 0.005
SAFE = JobClass(Effect.SAFE, aim=1.0, give_up=5.0)
UNSAFE = JobClass(Effect.UNSAFE, aim=1.0, give_up=5.0)


def name(n: int) -> bytes:
    return b"\x0a\x00\x00" + bytes((n,)) + b"\x1b\x58"


def fleet(count: int, **more: object) -> tuple[Entry, ...]:
    return tuple(Entry(name(n), State.READY, **more) for n in range(count))  # type: ignore[arg-type]


def make(count: int = 4, seed: int = 1, **more: object) -> Brain:
    base: dict = {"balancers": 1, "zone": 0, "classes": (SAFE, UNSAFE), "reports": Reports.WITH_ANSWERS}
    brain = Brain(Settings(**{**base, **more}), seed, 0.0)
    brain.on_list(ListKind.CACHED, fleet(count), 0.0)
    return brain


def sent(actions: list) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def ended(send: Send, status: Status, free: float | None = None, attempt: int = 0) -> Outcome:
    report = None if free is None else Report(free)
    return Outcome(send.id, attempt, send.worker, status, 0.1, status is Status.OK, report)


def press(brain: Brain, now: float, busy: float = 1.0) -> None:
    """Full pressure, without the even refusal that overload brings."""
    for _ in range(200):
        brain.busy_share[module.ANYWHERE].observe(busy, now)


def shut_out(worker: Worker) -> None:
    """It reports no room, for good."""
    worker.reported_free, worker.report_until, worker.no_room_until = -50.0, math.inf, math.inf


def offer(brain: Brain, tenant: int, rate: float, seconds: float, start: float, first_id: int) -> Counter:
    """Jobs of one tenant at an even rate, each served at once; counts what became of them."""
    seen: Counter = Counter()
    for n in range(int(rate * seconds)):
        now = start + n / rate
        press(brain, now, FULL_PRESSURE)
        actions = brain.on_request(Request(first_id + n, 0, 5.0, tenant), now)
        seen["refused"] += any(isinstance(a, Refuse) for a in actions)
        for send in sent(actions):
            seen["sent"] += 1
            brain.on_outcome(ended(send, Status.OK), now)
    return seen


# -- EARRRL


def test_estimate_converges_to_the_rate_and_halves_in_a_half_life() -> None:
    brain = make(limits=(1e9,))
    for n in range(2000):
        brain._excess(0, False, n / 20)
    kept = brain.rates[0]
    assert kept.count * module.DECAY == pytest.approx(20, rel=0.05)
    before = kept.count
    assert kept.add(0.0, module.DECAY, kept.at + module.HALF_LIFE) == pytest.approx(before / 2)


def test_under_pressure_about_the_share_passes_and_refused_jobs_count() -> None:
    brain = make(limits=(10.0,))
    offer(brain, 0, 30.0, 30.0, 0.0, 0)
    seen = offer(brain, 0, 30.0, 60.0, 30.0, 10_000)
    assert 0.28 < seen["sent"] / (seen["sent"] + seen["refused"]) < 0.42
    assert brain.rates[0].count * module.DECAY == pytest.approx(30, rel=0.1)


def test_within_the_limit_nothing_is_refused() -> None:
    assert offer(make(limits=(10.0,)), 0, 8.0, 60.0, 0.0, 0)["refused"] == 0


def test_without_pressure_nothing_is_refused() -> None:
    brain = make(limits=(1.0,))
    for n in range(500):
        for send in sent(brain.on_request(Request(n, 0, 5.0), n / 50)):
            brain.on_outcome(ended(send, Status.OK, free=8.0), n / 50)
    assert not brain.under_pressure and brain.busy_share[module.ANYWHERE].mean() == 0.0


def test_one_tenant_does_not_use_up_anothers_limit() -> None:
    brain = make(limits=(1.0, 10.0))
    offer(brain, 0, 50.0, 20.0, 0.0, 0)
    assert offer(brain, 1, 5.0, 20.0, 20.0, 10_000)["refused"] == 0


def test_the_limit_is_divided_by_the_balancers() -> None:
    alone, among_ten = make(limits=(10.0,)), make(limits=(10.0,), balancers=10)
    assert offer(alone, 0, 8.0, 40.0, 0.0, 0)["refused"] == 0
    assert offer(among_ten, 0, 8.0, 40.0, 0.0, 0)["refused"] > 150


def test_a_thin_tenant_at_its_limit_is_mostly_let_through() -> None:
    import random

    clock, refused, rng = 0.0, 0, random.Random(5)
    brain = make(limits=(0.5,))
    for n in range(400):
        clock += rng.expovariate(0.5)
        press(brain, clock, FULL_PRESSURE)
        refused += any(isinstance(a, Refuse) for a in brain.on_request(Request(n, 0, 5.0), clock))
    assert refused / 400 < 0.08


def test_a_restarted_balancer_does_not_forgive_an_offender() -> None:
    seen = offer(make(limits=(10.0,)), 0, 60.0, 3.0, 0.0, 0)
    assert seen["refused"] > 0.6 * 180


def test_retry_after_is_the_decay_to_the_limit_capped() -> None:
    brain = make(limits=(10.0,), max_retry_after=2.0)
    offer(brain, 0, 100.0, 20.0, 0.0, 0)
    press(brain, 20.0, FULL_PRESSURE)
    actions = [a for n in range(50) for a in brain.on_request(Request(90_000 + n, 0, 5.0), 20.0)]
    refusals = [a for a in actions if isinstance(a, Refuse)]
    assert refusals and all(a.retry_after == 2.0 for a in refusals)


def test_least_recently_used_tenant_is_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "NAMES_KEPT", 2)
    brain = make(limits=(5.0, 5.0, 5.0))
    for n, tenant in enumerate((0, 1, 0, 2)):
        brain.on_request(Request(n, 0, 5.0, tenant), float(n))
    assert list(brain.rates) == [0, 2]


def test_overload_refuses_alike_even_without_tenants() -> None:
    brain = make()
    refused = 0
    for n in range(300):
        press(brain, n / 100)
        refused += any(isinstance(a, Refuse) for a in brain.on_request(Request(n, 0, 5.0), n / 100))
    assert 100 < refused < 200  # never all: what is held may yet find room


# -- the draw


def test_draw_follows_reported_free_slots_plus_one() -> None:
    brain, seen = make(count=3), Counter()
    brain.largest_free.value = 7.0
    for n in range(6000):
        for worker, free in zip(brain.workers.values(), (7.0, 3.0, 1.0), strict=True):
            worker.reported_free, worker.report_until, worker.outstanding = free, math.inf, 0
        for send in sent(brain.on_request(Request(n, 0, 5.0), 0.0)):
            seen[send.worker] += 1
            brain.on_outcome(ended(send, Status.OK), 0.0)
    total = sum(seen.values())
    for n, weight in enumerate((8, 4, 2)):
        assert seen[name(n)] / total == pytest.approx(weight / 14, abs=0.03)


def test_a_late_report_is_corrected_by_own_sends() -> None:
    brain = make(count=1)
    (send,) = sent(brain.on_request(Request(1, 0, 5.0), 0.0))
    brain.on_outcome(ended(send, Status.OK, free=2.0), 10.0)
    assert len(sent(brain.on_request(Request(2, 0, 5.0), 20.0))) == 1
    worker = brain.workers[name(0)]
    brain._record_report(worker, Report(2.0), 20.0)
    sends = [len(sent(brain.on_request(Request(3 + n, 0, 5.0), 20.0))) for n in range(4)]
    assert sum(sends) <= 2


def test_own_zone_first_and_other_zones_when_it_has_no_room() -> None:
    brain = make(count=0)
    entries = (Entry(name(0), State.READY, zone=0), Entry(name(1), State.READY, zone=1))
    brain.on_list(ListKind.FULL, entries, 0.0)
    (first,) = sent(brain.on_request(Request(1, 0, 5.0), 0.0))
    assert first.worker == name(0)
    (second,) = sent(brain.on_outcome(ended(first, Status.FULL), 0.1))
    assert second.worker == name(1)


def test_class_bound_to_a_machine_kind() -> None:
    brain = make(count=0, classes=(JobClass(Effect.SAFE, kinds=(1,)),))
    brain.on_list(ListKind.FULL, fleet(3, kind=0), 0.0)
    assert not sent(brain.on_request(Request(1, 0, 5.0), 0.0))
    brain.on_list(ListKind.CHANGES, (Entry(name(9), State.READY, kind=1),), 0.01)
    assert [s.worker for s in sent(brain.on_timer(1 * 4 + module.HOLD, 0.05))] == [name(9)]


def test_a_key_stays_with_its_worker_while_that_has_room() -> None:
    brain, used = make(count=8), Counter()
    for n in range(2000):
        for worker in brain.workers.values():
            worker.reported_free, worker.report_until = 5.0 + worker.outstanding, math.inf
        for send in sent(brain.on_request(Request(n, 0, 5.0, 0, 1 + n % 40), n / 100)):
            used[n % 40, send.worker] += 1
            brain.on_outcome(ended(send, Status.OK), n / 100)
    assert len(used) <= 48


def test_a_hot_key_gets_more_than_one_home() -> None:
    brain, used = make(count=8), Counter()
    for n in range(400):
        for worker in brain.workers.values():
            worker.reported_free, worker.report_until = 5.0 + worker.outstanding, math.inf
        for send in sent(brain.on_request(Request(n, 0, 5.0, 0, 77), n / 100)):
            used[send.worker] += 1
            brain.on_outcome(ended(send, Status.OK), n / 100)
    assert len(used) >= 6


# -- health


def test_a_failing_worker_is_shunned_and_comes_back() -> None:
    brain = make(count=2)
    now = 0.0
    bad = name(0)
    sends_to_bad = 0
    for n in range(400):
        now += 0.01
        queue = sent(brain.on_request(Request(n, 0, 5.0), now))
        while queue:
            send = queue.pop()
            sends_to_bad += send.worker == bad
            status = Status.ERROR if send.worker == bad else Status.OK
            attempt = len(brain.jobs[send.id].attempts) - 1
            queue += sent(brain.on_outcome(ended(send, status, attempt=attempt), now))
    assert 1 <= sends_to_bad < 20
    later = [s.worker for n in range(60) for s in sent(brain.on_request(Request(9000 + n, 0, 5.0), now + 60))]
    assert bad in later


def test_a_cold_worker_gets_its_part_only() -> None:
    brain = make(count=9, warm_up=20.0, cold_from=0.2)
    now, ids = 0.0, 0

    def run(seconds: float) -> Counter:
        nonlocal now, ids
        seen: Counter = Counter()
        for _ in range(int(seconds * 100)):
            now, ids = now + 0.01, ids + 1
            for send in sent(brain.on_request(Request(ids, 0, 5.0), now)):
                seen[send.worker] += 1
                brain.on_outcome(ended(send, Status.OK, free=1.0), now)
        return seen

    run(20.0)
    brain.on_list(ListKind.CHANGES, (Entry(name(99), State.READY, started_at=now),), now)
    brain._record_report(brain.workers[name(99)], Report(50.0), now)
    seen = run(2.0)
    assert seen[name(99)] <= 0.35 * sum(seen.values()) / 10 + 2
    later = run(40.0)
    assert later[name(99)] > 0.5 * sum(later.values()) / 10


def test_thin_dispatchers_share_a_cold_workers_part() -> None:
    """A hundred dispatchers hear of one start: together they send no burst."""
    total = 0
    for seed in range(100):
        brain = make(count=20, seed=seed, warm_up=8.0, cold_from=0.35, balancers=100)
        for n in range(40):
            for send in sent(brain.on_request(Request(n, 0, 5.0), n / 2)):
                brain.on_outcome(ended(send, Status.OK), n / 2)
        brain.on_list(ListKind.CHANGES, (Entry(name(99), State.READY, started_at=20.0),), 20.0)
        brain._record_report(brain.workers[name(99)], Report(50.0), 20.0)
        for n in range(6):
            total += sum(s.worker == name(99) for s in sent(brain.on_request(Request(900 + n, 0, 5.0), 20 + n / 2)))
    assert total <= 2 * 100 * 2 * 3 / 21


# -- the list


def test_the_list_is_asked_for_and_asked_again_with_backoff() -> None:
    brain = Brain(Settings(balancers=9, zone=0, classes=(SAFE,), list_on_request=True), 1, 0.0)
    (timer,) = brain.on_list(ListKind.CACHED, fleet(3), 0.0)
    assert isinstance(timer, Timer) and 0 <= timer.at <= 5.0
    assert brain.on_timer(timer.token, timer.at) == [Watch()]
    waits = []
    for _ in range(4):
        (again,) = [a for a in brain.on_list(ListKind.FAILED, (), 10.0) if isinstance(a, Timer)]
        waits.append(again.at - 10.0)
        assert brain.on_timer(again.token, again.at) == [Watch()]
    assert waits[3] > waits[0] and len(brain.workers) == 3
    brain.on_list(ListKind.CHANGES, (), 20.0)
    assert brain.on_timer(again.token, 20.0) == []


def test_a_worker_missing_from_a_whole_list_is_gone() -> None:
    brain = make(count=3)
    brain.on_list(ListKind.FULL, fleet(1), 1.0)
    assert {s.worker for n in range(30) for s in sent(brain.on_request(Request(n, 0, 5.0), 1.0))} == {name(0)}


# -- contract


def test_same_events_same_actions() -> None:
    def run() -> list:
        brain, out = make(count=6, seed=9), []
        for n in range(300):
            actions = brain.on_request(Request(n, n % 2, 5.0, 0, n % 5), n / 50)
            out += actions
            for send in sent(actions):
                out += brain.on_outcome(ended(send, Status.OK, free=float(n % 4)), n / 50)
        return out

    assert run() == run()


def test_late_repeated_and_unknown_names_are_ignored() -> None:
    brain = make()
    (send,) = sent(brain.on_request(Request(1, 0, 5.0), 0.0))
    assert brain.on_request(Request(1, 0, 5.0), 0.0) == []
    assert brain.on_outcome(Outcome(77, 0, name(0), Status.OK, 0.1, True), 0.1) == []
    assert brain.on_outcome(ended(send, Status.OK, attempt=4), 0.1) == []
    brain.on_outcome(ended(send, Status.OK), 0.2)
    assert brain.on_outcome(ended(send, Status.OK), 0.2) == []
    assert brain.on_withdrawn(1, 0.3) == [] and brain.on_timer(4, 0.3) == []
    assert not brain.jobs and all(worker.outstanding == 0 for worker in brain.workers.values())


@pytest.mark.parametrize(
    ("change", "key"),
    [({"balancers": 0}, "balancers"), ({"classes": ()}, "classes"), ({"cold_from": 0.0}, "cold_from"),
     ({"max_attempts": 0}, "max_attempts"), ({"tick": float("nan")}, "tick")],
)  # fmt: skip
def test_bad_settings_are_named(change: dict, key: str) -> None:
    base: dict = {"balancers": 1, "zone": 0, "classes": (SAFE,)}
    with pytest.raises(ValueError, match=key):
        Settings(**{**base, **change})


def test_held_job_is_answered_before_the_client_gives_up() -> None:
    brain = make(count=0, classes=(JobClass(Effect.SAFE, aim=60.0),))
    timers = [a for a in brain.on_request(Request(1, 0, 2.0), 0.0) if isinstance(a, Timer)]
    last = max(timer.at for timer in timers)
    assert last < 2.0
    assert brain.on_timer(4 + module.DEADLINE, last) == [Refuse(1)]


def test_an_unsafe_job_that_may_have_run_fails() -> None:
    brain = make(count=3)
    (send,) = sent(brain.on_request(Request(1, 1, 5.0), 0.0))
    actions = brain.on_outcome(ended(send, Status.RESET), 0.1)
    assert Fail(1) in actions and not sent(actions)


def asked(brain: Brain, count: int, first: int = 1) -> list[Send]:
    return [send for n in range(count) for send in sent(brain.on_request(Request(first + n, 0, 5.0), 0.0))]


def test_where_nobody_tells_what_is_out_few_of_ones_own_wait_for_each_that_runs() -> None:
    """Two hundred that each leave one waiting at every worker make queues that none of them sees."""
    brain = make(count=30, balancers=200, tells_start=True)
    waiting = asked(brain, 20)
    assert len(waiting) == 2 and len(brain.queued) == 18  # one, and one more before it is seen that it waits
    for send in waiting:
        brain.on_started(send.id, 0, 0.0)
    assert len(asked(brain, 20, 100)) == 3  # two run, for which one may wait beside the one
    held = len(brain.queued)
    assert len(brain.jobs) == held + 5
    brain.on_outcome(ended(waiting[0], Status.OK), 0.1)
    assert len(brain.jobs) == held + 4


@pytest.mark.parametrize("more", [{"balancers": 200, "shares_notes": True}, {"balancers": 7}, {"tells_start": False}])
def test_elsewhere_as_many_wait_as_there_are_workers(more: dict[str, object]) -> None:
    brain = make(count=30, **{"balancers": 200, "tells_start": True, **more})
    assert len(asked(brain, 20)) > 10


def test_size_of_the_module() -> None:
    lines = Path(module.__file__).read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 560
    assert max(map(len, lines)) <= 110
    assert "oxbowarch/interface.py" in "\n".join(lines[:8])


def test_keys_of_jobs_that_run_anywhere_keep_off_a_bound_kind() -> None:
    brain = make(count=0, classes=(SAFE, JobClass(Effect.SAFE, kinds=(1,))))
    brain.on_list(ListKind.FULL, fleet(3) + (Entry(name(9), State.READY, kind=1),), 0.0)
    keyed = {s.worker for n in range(60) for s in sent(brain.on_request(Request(n, 0, 5.0, 0, 1 + n), 0.0))}
    plain = {s.worker for n in range(60) for s in sent(brain.on_request(Request(900 + n, 0, 5.0), 0.0))}
    assert keyed == {name(0), name(1), name(2)} and name(9) in plain


def serve_late(brain: Brain, wait: float, now: float) -> None:
    """One job of the first class that runs a tenth of a second after waiting in a worker's queue."""
    (send,) = sent(brain.on_request(Request(int(now * 1e6), 0, 50.0, 99), now))
    brain.on_started(send.id, 0, now + wait)
    brain.on_outcome(ended(send, Status.OK, free=8.0), now + wait + 0.1)


@pytest.mark.parametrize(("wait", "flood", "refuses"), [(2.0, True, True), (0.0, True, False), (2.0, False, False)])
def test_answers_late_from_queues_refuse_a_flood_only(wait: float, flood: bool, refuses: bool) -> None:
    brain = make(limits=(5.0, 5.0))
    refused = Counter()
    for n in range(400):
        now = 10.0 + n / 20
        if n % 8 == 0:
            serve_late(brain, wait, now)
        for tenant in (0,) if flood else (0, 1):
            actions = brain.on_request(Request(n * 2 + tenant, 0, 50.0, tenant), now)
            refused[tenant] += any(isinstance(a, Refuse) for a in actions)
            for send in sent(actions):
                brain.on_outcome(ended(send, Status.OK, free=8.0), now)
    assert (refused[0] > 100) == refuses and refused[1] == 0


def test_pressure_on_a_bound_kind_refuses_its_class_only() -> None:
    brain = make(count=0, classes=(SAFE, JobClass(Effect.SAFE, kinds=(1,))))
    brain.on_list(ListKind.FULL, fleet(3) + (Entry(name(9), State.READY, kind=1),), 0.0)
    for _ in range(200):
        brain.busy_share[(1,), None].observe(1.0, 0.0)
    asked = [brain.on_request(Request(10 + n, 1, 5.0), 0.0) for n in range(20)]
    assert any(isinstance(a, Refuse) for actions in asked for a in actions)
    assert sent(brain.on_request(Request(2, 0, 5.0), 0.0))


def test_a_worker_that_just_turned_a_job_away_is_not_asked_again_at_once() -> None:
    brain = make(count=1)
    (send,) = sent(brain.on_request(Request(1, 0, 5.0), 0.0))
    assert not sent(brain.on_outcome(ended(send, Status.FULL), 0.001))
    brain.workers[name(0)].report_until = -math.inf
    assert not sent(brain.on_timer(4 + module.HOLD, 0.01))
    assert sent(brain.on_timer(4 + module.HOLD, module.FULL_AGE + 0.01))


def test_a_key_goes_where_it_was_served_when_its_home_has_no_room() -> None:
    brain = make(count=30)
    for n in range(200):
        for send in sent(brain.on_request(Request(n, 0, 5.0, 0, 1 + n % 100), n / 100)):
            brain.on_outcome(ended(send, Status.OK), n / 100)
    home = brain.keys[7, module.ANYWHERE].served_by[0]
    shut_out(home)
    brain.keys[7, module.ANYWHERE].note(brain.workers[name(29)], module.KEY_PLACES)
    (send,) = sent(brain.on_request(Request(900, 0, 5.0, 0, 7), 2.0))
    assert send.worker == name(29)


def test_a_worker_dropped_from_the_list_is_not_sent_its_keys() -> None:
    brain = make(count=2)
    brain.keys.add((7, module.ANYWHERE), module.DECAY, 0.0)
    brain.keys[7, module.ANYWHERE].note(brain.workers[name(1)], module.KEY_PLACES)
    brain.on_list(ListKind.FULL, fleet(1), 0.1)
    shut_out(brain.workers[name(0)])
    assert not sent(brain.on_request(Request(1, 0, 5.0, 0, 7), 0.2))


def test_a_keyed_job_without_any_ready_worker_is_held() -> None:
    brain = make(count=0)
    actions = brain.on_request(Request(1, 0, 5.0, 0, 7), 0.0)
    assert actions and all(isinstance(a, Timer) for a in actions)


def test_a_bound_class_never_follows_its_key_to_another_kind() -> None:
    brain = make(count=0, classes=(SAFE, JobClass(Effect.SAFE, kinds=(1,))))
    brain.on_list(ListKind.FULL, (Entry(name(0), State.READY), Entry(name(9), State.READY, kind=1)), 0.0)
    (send,) = sent(brain.on_request(Request(1, 0, 5.0, 0, 7), 0.0))
    brain.on_outcome(ended(send, Status.OK), 0.1)
    shut_out(brain.workers[name(9)])
    assert send.worker == name(0) and not sent(brain.on_request(Request(2, 1, 5.0, 0, 7), 0.2))


def test_short_jobs_that_have_ended_do_not_count_against_a_late_report() -> None:
    brain = make(count=1)
    worker = brain.workers[name(0)]
    for n in range(20):  # one short job after another, each ended before the next
        (send,) = sent(brain.on_request(Request(n, 0, 5.0), n / 50))
        brain.on_outcome(ended(send, Status.OK), n / 50 + 0.01)
    brain._record_report(worker, Report(2.0), 0.4)
    assert worker.reported_free - worker.outstanding == pytest.approx(2.5, abs=0.5)


def test_a_held_keyed_job_counts_once_for_its_key() -> None:
    brain = make(count=1)
    shut_out(brain.workers[name(0)])
    brain.on_request(Request(1, 0, 5.0, 0, 7), 0.0)
    for n in range(5):
        assert not sent(brain.on_timer(4 + module.HOLD, 0.05 * (n + 1)))
    assert brain.keys[7, module.ANYWHERE].count == pytest.approx(1.0, abs=0.05)


def test_a_crowded_own_zone_loses_its_preference() -> None:
    brain = make(count=0)
    entries = tuple(Entry(name(n), State.READY, zone=n % 2) for n in range(8))
    brain.on_list(ListKind.FULL, entries, 0.0)

    def zones(first: int) -> set:
        sends = [s for n in range(40) for s in sent(brain.on_request(Request(first + n, 0, 5.0), 0.0))]
        return {send.worker[3] % 2 for send in sends}

    assert zones(0) == {0}
    for _ in range(50):
        brain._record_report(brain.workers[name(0)], Report(1.0, 0.0, 9.0), 0.0)
        brain._record_report(brain.workers[name(1)], Report(5.0, 0.0, 5.0), 0.0)
    assert zones(100) == {0, 1}


@pytest.mark.parametrize("by", ["class", "tenant"])
def test_full_to_one_class_or_tenant_is_no_news_of_the_worker(by: str) -> None:
    brain = make(count=2)
    picky = name(0)
    for n in range(300):
        now = n / 20
        struck = n % 2 == 0
        job_class, tenant = (0 if struck else 1, 0) if by == "class" else (0, n % 2)
        (send, *_) = sent(brain.on_request(Request(n, job_class, 5.0, tenant), now))
        full = struck and send.worker == picky
        again = brain.on_outcome(ended(send, Status.FULL if full else Status.OK, free=4.0), now)
        for other in sent(again):
            brain.on_outcome(ended(other, Status.OK, free=4.0, attempt=1), now)
    took: Counter = Counter()
    for n in range(400):
        struck = n % 2 == 0
        job_class, tenant = (0 if struck else 1, 0) if by == "class" else (0, n % 2)
        (send,) = sent(brain.on_request(Request(1000 + n, job_class, 5.0, tenant), 15.5 + n / 1e6))
        took[struck, send.worker == picky] += 1
        brain.on_withdrawn(1000 + n, 15.5 + n / 1e6)
        brain.workers[send.worker].outstanding -= 1
    assert 5 * took[True, True] < took[False, True]


def test_no_room_is_believed_briefly_where_workers_queue_and_longer_where_full_is_common() -> None:
    rare, common = make(count=1), make(count=1)
    for n in range(100):
        common.full.observe(n % 2, 0.0)
    for brain in (rare, common):
        brain._record_report(brain.workers[name(0)], Report(0.0, 5.0), 0.0)
    later = module.REPORT_AGE * (module.NO_ROOM_PART + 0.1)
    assert not sent(rare.on_request(Request(1, 0, 5.0), later / 2))
    assert sent(rare.on_request(Request(2, 0, 5.0), later))
    assert not sent(common.on_request(Request(1, 0, 5.0), later))


def test_without_reports_a_thin_dispatcher_does_not_double_up() -> None:
    brain, seen = make(count=10), Counter()
    for n in range(10):
        for send in sent(brain.on_request(Request(n, 0, 5.0), 0.0)):
            seen[send.worker] += 1
    assert len(seen) >= 8


def test_a_full_without_a_report_presses() -> None:
    brain = make(count=4)
    for n in range(20):
        for send in sent(brain.on_request(Request(n, 0, 5.0), n / 2)):
            brain.on_outcome(ended(send, Status.FULL), n / 2)
    assert brain.busy_share[module.ANYWHERE].mean() > 0.5


def test_every_refusal_names_a_time_to_come_back() -> None:
    brain = make(count=0, classes=(JobClass(Effect.SAFE, aim=0.2),), max_retry_after=2.0)
    brain.on_request(Request(1, 0, 5.0), 0.0)
    (ended_at_aim,) = brain.on_timer(4 + module.HOLD, 0.25)
    assert isinstance(ended_at_aim, Refuse) and 0.0 < ended_at_aim.retry_after <= 2.0
    press(brain, 1.0)
    (even,) = [a for n in range(9) for a in brain.on_request(Request(2 + n, 0, 5.0), 1.0) if isinstance(a, Refuse)][:1]
    assert ended_at_aim.retry_after < even.retry_after <= 2.0


def test_a_tenant_without_any_limit_left_is_refused_soundly() -> None:
    seen = offer(make(limits=(0.0,), max_retry_after=2.0), 0, 20.0, 20.0, 0.0, 0)
    assert seen["refused"] > 300


def test_a_worker_without_news_counts_as_its_kind_usually_does() -> None:
    brain, seen = make(count=0), Counter()
    entries = tuple(Entry(name(n), State.READY, kind=n % 2) for n in range(40))
    brain.on_list(ListKind.FULL, entries, 0.0)
    for n in range(20):
        brain._record_report(brain.workers[name(n)], Report(6.0 * (n % 2)), n / 10)
    for worker in brain.workers.values():
        worker.report_until = -math.inf
    for n in range(300):
        for send in sent(brain.on_request(Request(n, 0, 5.0), 2.0)):
            seen[send.worker[3] % 2] += 1
            brain.on_withdrawn(n, 2.0)
            brain.workers[send.worker].outstanding = 0
    assert seen[1] > 3 * seen[0] > 0


def test_a_worker_that_has_not_started_an_own_attempt_gets_no_other() -> None:
    brain = make(count=2, tells_start=True)
    (first,) = sent(brain.on_request(Request(1, 0, 5.0), 0.0))
    (second,) = sent(brain.on_request(Request(2, 0, 5.0), 0.1))
    assert second.worker != first.worker
    brain.on_started(2, 0, 0.11)
    later = [s.worker for n in range(3, 8) for s in sent(brain.on_request(Request(n, 0, 5.0), 0.2))]
    assert later == [second.worker]  # and that one waits now, too
    for n in range(4, 8):
        brain.on_withdrawn(n, 0.3)
    brain.on_started(1, 0, 2.0)
    brain.on_started(1, 0, 2.1)  # told twice
    brain.on_outcome(ended(first, Status.OK, free=4.0), 2.2)
    assert brain.workers[first.worker].waiting == 0
    assert [s.worker for s in sent(brain.on_request(Request(9, 0, 5.0), 2.3))] == [first.worker]


def test_where_workers_do_not_tell_starts_nothing_waits_for_one() -> None:
    brain = make(count=1)
    assert all(sent(brain.on_request(Request(n, 0, 5.0), 0.0)) for n in range(3))


def test_a_job_held_for_its_aim_is_refused_and_queues_nowhere() -> None:
    brain = make(count=1, tells_start=True)
    assert sent(brain.on_request(Request(1, 0, 5.0), 0.0))
    assert not sent(brain.on_request(Request(2, 0, 5.0), 0.0))
    assert not sent(brain.on_timer(2 * 4 + module.HOLD, 0.9))
    assert [type(a) for a in brain.on_timer(2 * 4 + module.HOLD, 1.01)] == [Refuse]


def test_marked_repeats_do_not_feed_the_estimate() -> None:
    brain = make(limits=(1e9,))
    for n in range(100):
        brain.on_request(Request(n, 0, 5.0, repeat=n % 4 > 0), 0.0)
    assert brain.rates[0].count == 25


def test_a_report_of_no_room_shuts_nobody_out_where_own_waiting_attempts_tell_it() -> None:
    brain = make(count=1, tells_start=True)
    brain._record_report(brain.workers[name(0)], Report(0.0, 5.0), 0.0)
    assert sent(brain.on_request(Request(1, 0, 5.0), 0.01)) and not sent(brain.on_request(Request(2, 0, 5.0), 0.02))


def test_own_attempts_out_weigh_as_much_as_reported_room() -> None:
    brain, seen = make(count=2), Counter()
    brain.largest_free.value = 2.0
    for n in range(3000):
        for worker, out in zip(brain.workers.values(), (0, 3), strict=True):
            worker.reported_free, worker.report_until, worker.outstanding, worker.lagged_outstanding = (
                out + 2.0,
                math.inf,
                out,
                out,
            )
        for send in sent(brain.on_request(Request(n, 0, 5.0), 0.0)):
            seen[send.worker] += 1
    assert seen[name(0)] / sum(seen.values()) == pytest.approx(4 / 5, abs=0.03)


def run_jobs(brain: Brain, times: dict[bytes, float], rounds: int = 40) -> None:
    """Jobs one after another, each as long as its worker takes."""
    for n in range(rounds):
        (send,) = sent(brain.on_request(Request(n, 0, 50.0), float(n)))
        brain.on_started(n, 0, float(n))
        brain.on_outcome(ended(send, Status.OK), n + times[send.worker])


def test_a_worker_that_runs_jobs_longer_than_usual_gets_fewer() -> None:
    brain, seen = make(count=4, tells_start=True), Counter()
    run_jobs(brain, {name(0): 0.9, name(1): 0.15, name(2): 0.15, name(3): 0.15})
    for n in range(200):
        (send,) = sent(brain.on_request(Request(1000 + n, 0, 5.0), 40.0))
        seen[send.worker] += 1
        brain.on_started(send.id, 0, 40.0)
        brain.on_withdrawn(send.id, 40.0)
        brain.on_outcome(ended(send, Status.CANCELLED), 40.0)
    assert 3 * seen[name(0)] < min(seen[name(n)] for n in (1, 2, 3))


def test_a_job_that_still_runs_tells_of_a_slow_worker() -> None:
    brain = make(count=1, tells_start=True)
    run_jobs(brain, {name(0): 0.2})
    brain.on_request(Request(1000, 0, 50.0), 40.0)
    brain.on_started(1000, 0, 40.0)
    worker = brain.workers[name(0)]
    assert slowness(worker, brain.run_times, 40.1) < 0.1 < 0.4 < slowness(worker, brain.run_times, 42.0)
    brain.on_list(ListKind.FULL, (Entry(name(0), State.READY, started_at=42.0),), 42.0)
    assert slowness(worker, brain.run_times, 50.0) == 0.0  # a new process


def test_the_class_that_earns_most_by_a_slot_takes_room_first_and_gives_way_last() -> None:
    cheap, dear = JobClass(Effect.SAFE, aim=9.0, worth=1.0), JobClass(Effect.SAFE, aim=9.0, worth=9.0)
    brain = make(count=1, classes=(cheap, dear), tells_start=True)
    (first,) = sent(brain.on_request(Request(1, 0, 50.0), 0.0))
    assert not sent(brain.on_request(Request(2, 0, 50.0), 0.0)) + sent(brain.on_request(Request(3, 1, 50.0), 0.0))
    assert [s.id for s in sent(brain.on_outcome(ended(first, Status.OK), 0.5))] == [3]
    press(brain, 0.5, (module.OVERLOAD[0] + module.OVERLOAD[1]) / 2 - module.SHED_EARLY / 4)
    refused = Counter()
    for n in range(400):
        refused[n % 2] += any(isinstance(a, Refuse) for a in brain.on_request(Request(10 + n, n % 2, 5.0), 0.5))
    assert refused[0] > 1.5 * refused[1] > 0


def copying(count: int = 3) -> tuple[Brain, Send]:
    """A brain that may copy, after some jobs of half a second, and a job of its that has just started."""
    brain = make(count=count, tells_start=True, hedging=True, can_cancel=True)
    run_jobs(brain, dict.fromkeys(map(name, range(count)), 0.5))
    (send,) = sent(brain.on_request(Request(900, 0, 5.0), 50.0))
    brain.on_started(900, 0, 50.0)
    return brain, send


def looks(brain: Brain, until: float, job: int = 900) -> list[tuple[float, Send]]:
    """What its looks at a job that is out send, and when."""
    found, now = [], 50.0
    while now < until:
        now += module.COPY_STEP
        found += [(now, send) for send in sent(brain.on_timer(job * 4 + module.DEADLINE, now))]
    return found


def test_a_run_far_longer_than_usual_gets_one_second_copy_elsewhere() -> None:
    brain, send = copying()
    ((when, copy),) = looks(brain, 54.0)
    assert 51.5 < when < 52.5 and copy.worker != send.worker
    actions = brain.on_outcome(Outcome(900, 1, copy.worker, Status.OK, 0.1, True), when + 0.1)
    assert [a for a in actions if isinstance(a, Cancel)] == [Cancel(900, 0)] and brain.won.mean() == 0.5


def test_an_attempt_that_never_starts_gets_a_second_copy() -> None:
    brain, _ = copying()
    (send,) = sent(brain.on_request(Request(901, 0, 5.0), 50.0))
    ((when, copy),) = looks(brain, 54.0, 901)
    assert when - 50.0 == pytest.approx(COPY_AFTER, abs=0.21) and copy.worker != send.worker


def test_no_second_copy_takes_the_place_of_another_job_or_outlives_its_budget() -> None:
    busy, spent, lone = copying()[0], copying()[0], copying(count=1)[0]
    for _ in range(100):
        busy.busy_share[module.ANYWHERE].observe(1.0, 50.0)
    spent.hedge_tokens = 0.9
    assert not any(looks(brain, 54.9) for brain in (busy, spent, lone))


def test_copies_that_win_are_sent_sooner_and_earn_more() -> None:
    brain, _ = copying()
    for _ in range(9):
        brain.won.observe(1.0, 50.0)
    brain.hedge_tokens = 2.0
    ((when, copy),) = looks(brain, 54.0)
    assert 50.3 < when < 51.0  # from its aim on, less a usual run
    brain.on_outcome(Outcome(900, 1, copy.worker, Status.OK, 0.1, True), when + 0.1)
    assert brain.hedge_tokens == 1.0 + module.COPY_WON


def test_a_keyed_copy_stays_in_its_cell() -> None:
    keyed = JobClass(Effect.KEYED, Group.CELL, repeat_window=4.0)
    for seed in range(20):
        settings = Settings(balancers=1, zone=0, classes=(keyed,), hedging=True, tells_start=True)
        brain = Brain(settings, seed, 0.0)
        brain.on_list(ListKind.FULL, tuple(Entry(name(n), State.READY, cell=n // 2) for n in range(6)), 0.0)
        (send,) = sent(brain.on_request(Request(900, 0, 9.0), 50.0))
        copies = looks(brain, 53.0)
        cells = {brain.workers[worker].entry.cell for worker in (send.worker, copies[0][1].worker)}
        assert len(copies) == 1 and len(cells) == 1


def test_failures_that_are_common_to_all_shun_one_worker_less() -> None:
    shunned = []
    for share in (0.0, 0.2):
        brain = make(count=2)
        for _ in range(40):
            brain.failing.observe(share, 0.0)
        brain._record_failure(brain.workers[name(0)], 0.0)
        shunned.append(brain.workers[name(0)].shunned_until)
    assert shunned[1] == pytest.approx(shunned[0] * (1 - COMMON_FAILURE * 0.2), abs=0.03)


def test_the_last_means_to_answer_are_left_to_the_class_that_earns_most() -> None:
    brain = make(classes=(JobClass(Effect.SAFE, worth=3.0), JobClass(Effect.KEYED, worth=10.0)))
    refused = {
        (n, spare): any(isinstance(a, Refuse) for a in brain.on_request(Request(i, n, 5.0, reply_capacity=spare), 0.0))
        for i, (n, spare) in enumerate([(0, 1.0), (0, 0.8), (1, 0.8), (1, 0.4)])
    }
    assert refused == {(0, 1.0): False, (0, 0.8): True, (1, 0.8): False, (1, 0.4): True}


def test_a_change_of_weights_alone_makes_no_pool_anew() -> None:
    """Weights come each second; a ring of a thousand workers takes longer to make than a job to place."""
    brain, entries = make(9), fleet(9)
    before = brain._pool((None, None), -1)
    brain.on_list(ListKind.CHANGES, tuple(entry._replace(weight=0.5) for entry in entries), 1.0)
    assert brain._pool((None, None), -1) is before
    for n, change in enumerate((dict(state=State.DRAINING), dict(zone=1), dict(cell=7), dict(worker=b"new"))):
        brain.on_list(ListKind.CHANGES, (entries[n]._replace(**change),), 2.0 + n)  # type: ignore[arg-type]
        after = brain._pool((None, None), -1)
        assert after is not before
        before = after
    assert {worker.id for worker in after} == {b"new"} | {entry.worker for entry in entries[1:]}
