"""What the module derives from settings follows new ones: nothing stays of what they dropped or changed."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from oxbowarch.brain import Brain
from oxbowarch.interface import Effect, Entry, Fail, JobClass, ListKind, Refuse, Request, Settings, State, Status
from tests.test_brain import SAFE, UNSAFE, ended, fleet, make, name, press, sent, serve_late

RETIRED = frozenset((1,))
EARLY_SHEDDING = 0.88  # a busy share at which jobs are shed for those of more worth, and for nothing else


def refusals(brain: Brain, count: int) -> int:
    actions = [action for n in range(count) for action in brain.on_request(Request(n, 0, 5.0), 0.0)]
    return sum(isinstance(action, Refuse) for action in actions)


@pytest.mark.parametrize(("retired", "refused"), [(frozenset(), True), (RETIRED, False)])
def test_a_dropped_class_of_more_worth_has_nothing_shed_for_it(retired: frozenset[int], refused: bool) -> None:
    """The most that a class earns was still its worth: all others were refused early."""
    brain = make(classes=(SAFE, replace(SAFE, worth=100.0)), retired_classes=retired)
    press(brain, 0.0, EARLY_SHEDDING)
    assert (refusals(brain, 200) > 0) == refused


def test_a_dropped_class_is_shed_no_earlier_than_the_class_that_earns_most() -> None:
    """The other way round: for a while its clients go on asking, also in a drain with half of its answers left."""
    brain = make(classes=(SAFE, replace(SAFE, worth=100.0)), retired_classes=RETIRED)
    press(brain, 0.0, EARLY_SHEDDING)
    assert not any(
        isinstance(action, Refuse)
        for number in range(200)
        for action in brain.on_request(Request(number, 1, 5.0, reply_capacity=0.7), 0.0)
    )


@pytest.mark.parametrize(("retired", "refused"), [(frozenset(), True), (RETIRED, False)])
def test_the_quota_of_a_dropped_tenant_makes_no_flood_of_another(retired: frozenset[int], refused: bool) -> None:
    """Its quota counted in the sum of all, so that a tenant that is alone sent more than its part of them."""
    brain = make(limits=(5.0, 5.0), retired_tenants=retired)
    told = Counter[type]()
    for n in range(400):
        now = 10.0 + n / 20
        if n % 8 == 0:
            serve_late(brain, 2.0, now)
        actions = brain.on_request(Request(n, 0, 50.0, 0), now)
        told.update(map(type, actions))
        for send in sent(actions):
            brain.on_outcome(ended(send, Status.OK, free=8.0), now)
    assert (told[Refuse] > 100) == refused


@pytest.mark.parametrize(("retired", "hosts"), [(frozenset(), 3), (RETIRED, 4)])
def test_a_dropped_class_keeps_no_kind_of_hosts_for_itself(retired: frozenset[int], hosts: int) -> None:
    """Keys of unbound jobs stayed off the hosts that a bound class needed."""
    bound = JobClass(Effect.SAFE, kinds=(1,))
    brain = make(count=0, classes=(SAFE, bound), retired_classes=retired)
    brain.on_list(ListKind.FULL, fleet(3) + (Entry(name(9), State.READY, kind=1),), 0.0)
    keyed = {send.worker for n in range(60) for send in sent(brain.on_request(Request(n, 0, 5.0, 0, 1 + n), 0.0))}
    assert len(keyed) == hosts


def test_run_times_of_a_dropped_class_do_not_set_the_rate_of_a_cold_host() -> None:
    """Its short jobs counted for good: a cold host was sent what only they could have run through."""
    settings = Settings(1, 0, (SAFE, SAFE), warm_up=10.0, cold_from=0.1)
    brain = Brain(settings, 1, 0.0)
    brain.on_list(ListKind.FULL, fleet(1), 0.0)
    worker = brain.workers[name(0)]
    worker.slots = 4.0
    brain.admitted.add(1e6, 0.0, 0.0)
    for job_class, run_time in ((0, 0.0), (1, -4.0)):  # logs of seconds
        for _ in range(50):
            brain.run_times[job_class].observe(run_time, 0.0)
    both = brain._slow_start_rate(worker, 0.1, 0.0)
    brain.on_settings(replace(settings, retired_classes=RETIRED), 0.0)
    assert brain._slow_start_rate(worker, 0.1, 0.0) < 0.75 * both


def test_a_fleet_that_new_settings_made_small_is_not_taken_for_cut_off() -> None:
    """Small ones count no silence: the last note before the change was one, and jobs were held back for 10 s."""
    settings = Settings(20, 0, (SAFE,), shares_notes=True)
    brain = Brain(settings, 1, 0.0)
    brain.on_list(ListKind.FULL, fleet(8), 0.0)
    brain.on_notes(1, (), 10.0)
    brain.on_settings(replace(settings, balancers=4), 12.0)
    assert all(sent(brain.on_request(Request(n, 0, 5.0), 12.0)) for n in range(6))


@pytest.mark.parametrize(("before", "after"), [(False, True), (True, False)])
def test_an_unsafe_job_is_retried_after_full_only_where_all_settings_it_met_call_that_a_proof(
    before: bool, after: bool
) -> None:
    """Those of its end alone were asked: one that may have run was sent again, and could run twice."""
    brain = make(classes=(UNSAFE,), full_never_ran=before)
    (send,) = sent(brain.on_request(Request(1, 0, 5.0), 0.0))
    brain.on_settings(replace(brain.settings, full_never_ran=after), 0.1)
    actions = brain.on_outcome(ended(send, Status.FULL), 0.2)
    assert not sent(actions) and any(isinstance(action, Fail) for action in actions)
