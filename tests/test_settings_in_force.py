"""New settings in a running dispatcher: nothing is derived from what they dropped, and open jobs lose nothing."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from typing import Any

import h11
import pytest
import trio

from tests.standins import Platform, Told
from tests.support import play
from thistleshore import config, draining
from thistleshore.config import ConfigError
from thistleshore.limits import longest_deadline
from thistleshore.platform.messages import read_terms


def with_deadlines(at: Platform, *deadlines: float) -> None:
    for lane, deadline in zip(at.lanes, deadlines, strict=True):
        lane["giveUp"] = deadline


def with_settings(conf: dict[str, Any], **changes: Any) -> dict[str, Any]:
    return {**conf, "settings": {**conf["settings"], **changes}}


def quota_of(plan: config.Plan, name: str) -> float | None:
    """The limit under which a request of this tenant counts, requests a second; None: it has none."""
    assert plan.http is not None
    headers = [("Host", "s"), ("X-Txn", "1"), ("X-Lane", "seat-search"), ("X-Org", name)]
    request = h11.Request(method="POST", target="/seat-search", headers=headers)
    tenant, limits = read_terms(request, plan.http.routes).tenant, plan.settings.limits
    return limits[tenant] if 0 <= tenant < len(limits) else None


async def ask_in_a_drain(at: Platform, change: Callable[[], object], change_after: float) -> list[tuple[float, bytes]]:
    """Put changed settings in force so long after SIGTERM, or before it; what a kept connection is answered then."""
    before = at.plan()
    if change_after < 0:
        change()
        await at.reread(before)
        await trio.sleep(-change_after)
    at.drain.set()
    if change_after >= 0:
        await trio.sleep(change_after)
        change()
        await at.reread(before)
    return await at.ask_until_closed()


def assert_serves_a_second(answered: list[tuple[float, bytes]]) -> None:
    assert 0.7 < answered[-1][0] < 1.0 + draining.ANSWER_MORE


def test_a_class_that_new_settings_dropped_does_not_lengthen_a_drain() -> None:
    """SIGKILL comes 0.7 s after the longest deadline of the classes in force: later answers were lost (review/2)."""
    at = Platform()
    with_deadlines(at, 1.0, 1.0, 3.0)
    assert_serves_a_second(play(at.run, lambda _: ask_in_a_drain(at, at.lanes.pop, -5.0)))


def test_settings_that_come_with_sigterm_shorten_the_drain_that_has_begun() -> None:
    """A SIGHUP just before SIGTERM is in force just after it: the drain went by the settings before."""
    at = Platform()
    with_deadlines(at, 1.0, 1.0, 3.0)
    assert_serves_a_second(play(at.run, lambda _: ask_in_a_drain(at, at.lanes.pop, 0.05)))


def test_settings_that_come_in_a_drain_do_not_lengthen_it() -> None:
    """SIGKILL may come by the shorter deadline that was in force at SIGTERM."""
    at = Platform()
    with_deadlines(at, 1.0, 1.0, 1.0)
    change = partial(with_deadlines, at, 1.0, 1.0, 3.0)
    assert_serves_a_second(play(at.run, lambda _: ask_in_a_drain(at, change, 0.05)))


def test_a_job_of_a_dropped_class_keeps_its_deadline_over_a_drain_by_shorter_ones() -> None:
    """What was taken under the old settings is owed all of its time, however short the drain is by the new ones."""

    async def scenario(at: Platform) -> tuple[Told, float]:
        before, told, begun = at.plan(), list[Told](), trio.current_time()
        async with trio.open_nursery() as nursery:

            async def submit() -> None:
                told.append(await at.submit("pay-out", b"long"))

            nursery.start_soon(submit)
            await trio.sleep(0.1)
            with_deadlines(at, 0.2, 0.2, 3.0)
            del at.lanes[2]
            await at.reread(before)
            at.drain.set()
        return told[0], trio.current_time() - begun

    at = Platform(["slow"])
    told, took = play(at.run, scenario)
    assert told == Told("served", b"Rlong") and took > 0.2 + draining.ANSWER_MORE + 0.2


def test_a_class_that_is_back_counts_for_the_longest_deadline_again() -> None:
    """The other way round: a retired number must not stay retired once its name is there again."""
    at = Platform()
    with_deadlines(at, 1.0, 1.0, 3.0)
    conf = json.loads(json.dumps(at.conf()))
    first = config.platform_plan(conf, {}, 0.0)
    second = config.platform_plan(with_settings(conf, lanes=at.lanes[:2]), {}, 0.0, first)
    third = config.platform_plan(conf, {}, 0.0, second)
    assert [longest_deadline(plan) for plan in (first, second, third)] == [3.0, 1.0, 3.0]
    assert second.settings.retired_classes == {2} and third.settings.retired_classes == frozenset()


def test_settings_that_drop_every_class_are_turned_down() -> None:
    """Only retired classes were left, and every request was answered 404."""
    at = Platform()
    before = at.plan()
    at.lanes = []
    with pytest.raises(ConfigError, match="at least one request class"):
        config.platform_plan(at.conf(), {}, 0.0, before)


def test_a_tenant_that_new_settings_dropped_is_not_counted_as_another_one() -> None:
    """Numbers have gaps after a drop: tenants without a name there were limited by the quota of one that has one."""
    conf, names = Platform().conf(), ("north", "south", "east")
    tenants = [{"name": "north", "quotaPerS": 5.0}, {"name": "south", "quotaPerS": 7.0}]
    first = config.platform_plan(with_settings(conf, tenants=tenants), {}, 0.0)
    second = config.platform_plan(with_settings(conf, tenants=tenants[1:]), {}, 0.0, first)
    assert [quota_of(first, name) for name in names] == [5.0, 7.0, None]
    assert [quota_of(second, name) for name in names] == [None, 7.0, None]
    assert second.settings.retired_tenants == {0}


def test_numbers_of_kinds_and_localities_mean_the_same_names_after_a_drop() -> None:
    """Names keep their old numbers, the file's numbers were taken as they stood: jobs went to hosts of another kind."""
    conf = Platform().conf()
    lanes = [
        {**conf["settings"]["lanes"][0], "boundTo": [0], "localitiesAllowed": [0]},
        {**conf["settings"]["lanes"][1], "boundTo": [5], "localitiesAllowed": [1]},
        {**conf["settings"]["lanes"][2]},
    ]
    named = {"kinds": ["small", "large"], "localities": ["east", "west"], "locality": 1}
    first = config.platform_plan(with_settings(conf, **named), {}, 0.0)
    dropped = {"kinds": ["large", "new"], "localities": ["west", "north"], "locality": 0}
    info = {"classKind": [-1, -1, 1]}
    second = config.platform_plan(with_settings(conf, **dropped, lanes=lanes, familyInfo=info), {}, 0.0, first)
    assert second.http is not None
    kinds, zones = second.http.names.kinds, second.http.names.zones
    assert (kinds, zones) == ({"small": 0, "large": 1, "new": 2}, {"east": 0, "west": 1, "north": 2})
    search, ticket, pay = second.settings.classes
    assert second.settings.zone == zones["west"]
    assert (search.kinds, search.zones) == ((kinds["large"],), (zones["west"],))
    assert (ticket.kinds, ticket.zones) == ((6,), (zones["north"],))  # a kind without a name stays without one
    assert pay.kinds == (kinds["new"],)


def test_hosts_of_a_kind_that_new_settings_name_serve_the_classes_that_are_bound_to_it() -> None:
    """They were listed before their kind had a number, and no change of theirs came since: all were refused."""

    async def scenario(at: Platform) -> Told:
        before = at.plan()
        at.kinds = ["other", "ticketing"]
        at.lanes[0]["boundTo"] = [1]
        await at.reread(before)
        return await at.submit("seat-search", b"x")

    at = Platform()
    at.kinds = ["other"]
    assert play(at.run, scenario).kind == "served"


def test_hosts_of_no_named_kind_count_as_the_first_of_the_file_also_after_a_drop() -> None:
    """They counted as a kind that was dropped, and classes bound to the first one refused everything."""

    async def scenario(at: Platform) -> Told:
        before = at.plan()
        at.kinds = ["new"]
        await at.reread(before)
        return await at.submit("seat-search", b"x")

    at = Platform()
    at.kinds = ["old"]
    at.lanes[0]["boundTo"] = [0]
    assert play(at.run, scenario).kind == "served"
