"""What the module derives from settings follows new ones: nothing stays of what they dropped or changed."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from oxbowarch.brain import Brain
from oxbowarch.handover import Names, export_state, restore_state
from oxbowarch.interface import (
    Effect,
    Entry,
    Fail,
    JobClass,
    ListKind,
    Refuse,
    Report,
    Request,
    Settings,
    State,
    Status,
)
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


BIG, SMALL, NEW = name(0), name(1), name(2)


def listed(*hosts: bytes) -> tuple[Entry, ...]:
    return tuple(Entry(host, State.READY) for host in hosts)


def with_reports(*reports: tuple[bytes, float]) -> Brain:
    """One of two dispatchers that share notes, after these hosts told of free slots."""
    brain = make(count=0, balancers=2, shares_notes=True)
    brain.on_list(ListKind.FULL, listed(*dict(reports)), 0.0)
    for host, free in reports:
        brain.on_report(host, Report(free), 0.1)
    return brain


def jobs_sent_to_a_host_that_has_told_nothing(*hosts: bytes, list_kind: ListKind = ListKind.FULL) -> int:
    """How many of forty jobs at once go to NEW, once BIG, if it was one of these hosts, is gone."""
    brain = with_reports(*((host, 60.0 if host == BIG else 3.0) for host in hosts))
    gone = tuple(Entry(host, State.GONE) for host in hosts if host == BIG)
    rest = listed(*(host for host in hosts if host != BIG), NEW)
    brain.on_list(list_kind, rest + (gone if list_kind is ListKind.CHANGES else ()), 1.0)
    actions = [action for n in range(40) for action in brain.on_request(Request(n, 0, 5.0), 100.0)]
    return sum(send.worker == NEW for send in sent(actions))


@pytest.mark.parametrize("list_kind", [ListKind.FULL, ListKind.CHANGES])
def test_a_host_that_has_told_nothing_is_not_judged_by_a_larger_one_that_is_gone(list_kind: ListKind) -> None:
    """The most that any host ever had free stayed for good, and a small new host was sent as much."""
    never_there = jobs_sent_to_a_host_that_has_told_nothing(SMALL, list_kind=list_kind)
    assert jobs_sent_to_a_host_that_has_told_nothing(BIG, SMALL, list_kind=list_kind) == never_there


def test_hosts_that_replace_all_others_are_judged_by_those_until_one_has_told() -> None:
    """Nothing is known of any: one that is judged by a start's guess would queue all jobs for a moment."""
    assert jobs_sent_to_a_host_that_has_told_nothing(BIG) == 40
    brain = with_reports((BIG, 60.0))
    brain.on_list(ListKind.FULL, (), 1.0)
    assert brain.largest_free.value == 60.0
    brain.on_list(ListKind.FULL, listed(SMALL, NEW), 2.0)
    brain.on_report(SMALL, Report(3.0), 3.0)
    assert brain.largest_free.value == 3.0


def test_a_report_counts_for_all_hosts_as_long_as_its_host_is_listed() -> None:
    """The other way round: less free now, a ban or the end of another host forget nothing."""
    brain = with_reports((BIG, 60.0), (SMALL, 3.0), (BIG, 1.0))
    brain.on_ban(BIG, True, 1.0)
    brain.on_list(ListKind.CHANGES, (Entry(SMALL, State.GONE),), 1.0)
    assert brain.largest_free.value == 60.0


@pytest.mark.parametrize("tells_free", [True, False])
def test_a_successor_whose_settings_name_no_large_host_does_not_judge_others_by_it(tells_free: bool) -> None:
    """It took over the most that any host had free, whoever that was; older predecessors tell no host's own."""
    names = Names(("job",), {}, {})
    memory = export_state(with_reports((BIG, 60.0), (SMALL, 3.0)), names, 1.0)
    for told in memory["workers"].values():
        if not tells_free:
            del told["free"]
    successor = make(count=0, balancers=2, shares_notes=True)
    successor.on_list(ListKind.CACHED, listed(SMALL, NEW), 1.0)
    restore_state(successor, memory, names, 1.0)
    assert successor.largest_free.value == 3.0
    alone = make(count=0, balancers=2, shares_notes=True)
    alone.on_list(ListKind.CACHED, listed(NEW), 1.0)
    restore_state(alone, memory, names, 1.0)
    assert alone.largest_free.value == 60.0
