"""The virtual-time measurements of agreed configuration, small: each ends with a verdict that no machine changes."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path

import pytest

from benchmarks.distribution.bodies import EDITS_MOST, Body
from benchmarks.distribution.day import play_day
from benchmarks.distribution.fleet import Fleet
from benchmarks.distribution.plan import CHANGES, CRASHES, RESTARTS, draw
from benchmarks.distribution.scenarios import SCENARIOS, Way, deaths_at_steps, over_seeds
from benchmarks.distribution.stories import FORMS, SOUND, stories, story
from benchmarks.distribution.times import BOUND, InForceTimes
from benchmarks.distribution.virtual import Outcome, keep

SMALL = 9  # instances


# -- what the measurements are made of -------------------------------------------------------------


def test_a_change_edits_one_or_two_entries_of_a_body_of_a_real_size() -> None:
    body = Body(1)
    before = body.text()
    assert 20_000 < len(before) < 40_000
    tables = tomllib.loads(before.decode())
    assert {name: len(rows) for name, rows in tables.items()} == {"match": 50, "member": 120, "host": 200}
    for _ in range(20):
        after = body.change()
        old, new = (tomllib.loads(text.decode()) for text in (before, after))
        edited = sum(was != now for name in old for was, now in zip(old[name], new[name], strict=True))
        assert edited <= EDITS_MOST and after != before
        before = after


def test_a_plan_has_as_much_of_each_as_the_operators_say() -> None:
    zones = Fleet(60, 1).by_zone
    assert {len(names) for names in zones.values()} == {4} and len(zones) == 15
    day = draw(1, zones)
    kinds = [outage.kind for outage in day.outages]
    counts = {kind: kinds.count(kind) for kind in set(kinds)}
    assert len(day.changes) == CHANGES
    assert counts == {"crash": CRASHES, "restart": RESTARTS, "rack": 1, "zone": 1}
    assert len(day.apart) == 1 and day.apart[0].seconds == 3600.0
    assert day == draw(1, zones) != draw(2, zones)
    minutes = [int(when // 60.0) for when in day.changes]
    assert max(minutes.count(minute) for minute in set(minutes)) >= 30, "bursts"


def test_an_instance_that_is_gone_is_excused_and_has_a_clock_of_its_own_when_it_returns() -> None:
    times = InForceTimes()
    for name in "abc":
        times.on_return(name, 0, 0.0)
    times.on_agreed(1, 10.0)
    times.on_in_force("a", 1, 11.0)
    times.on_gone("b")
    assert not times.done
    times.on_in_force("c", 1, 12.0)
    assert times.done == [2.0] and times.settled
    times.on_agreed(2, 20.0)
    times.on_return("b", 1, 21.0)
    times.on_in_force("b", 2, 24.0)
    times.on_in_force("a", 2, 20.0 + BOUND + 1.0)
    times.end()
    assert [(row.instance, row.seconds) for row in times.returns] == [("b", 3.0)]
    assert [(miss.instance, miss.seconds) for miss in times.misses] == [("a", BOUND + 1.0), ("c", None)]
    everywhere = times.everywhere().quantiles()
    assert (everywhere.n, everywhere.worst, everywhere.never, everywhere.beyond) == (2, 2.0, 1, 1)


def test_a_newer_version_in_force_counts_for_those_before_it() -> None:
    times = InForceTimes()
    times.on_return("a", 0, 0.0)
    for number in (1, 2, 3):
        times.on_agreed(number, float(number))
    times.on_in_force("a", 3, 4.0)
    assert times.done == [3.0, 2.0, 1.0] and times.settled


def test_results_are_kept_beside_what_is_there(tmp_path: Path) -> None:
    path = tmp_path / "results" / "found.json"
    keep(path, Outcome("scenarios", {"tree": {"9": {"idle": {"n": 1, "old": True}}}}, True))
    path.write_text(json.dumps({**json.loads(path.read_text()), "processes": {"x": 1}}))
    keep(path, Outcome("scenarios", {"tree": {"9": {"idle": {"n": 2}}, "60": {"idle": {"n": 3}}}}, True))
    keep(path, Outcome("stories", [1], True))
    found = json.loads(path.read_text())
    assert found["processes"] == {"x": 1}
    assert found["virtual"]["scenarios"] == {"tree": {"9": {"idle": {"n": 2}}, "60": {"idle": {"n": 3}}}}
    assert found["virtual"]["stories"] == [1]


# -- scenarios ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", [name for name in SCENARIOS if name != "idle"])
def test_every_change_is_in_force_everywhere_within_the_bound(name: str) -> None:
    row = over_seeds(name, SMALL, 1, Way.TREE)
    assert row.faults == []
    assert row.everywhere.n >= 20
    assert row.everywhere.beyond == row.returned.beyond == 0
    if name in ("a zone down", "a region returns"):
        assert row.returned.n == 3, "the instances of a zone"


def test_all_that_ask_each_second_come_to_it_within_seconds() -> None:
    for name in ("without faults", "10 % loss", "a region returns"):
        row = over_seeds(name, SMALL, 1, Way.ASKING)
        assert row.everywhere.beyond == row.returned.beyond == 0
        assert 0.5 < (row.everywhere.worst or 0.0) < BOUND


def test_by_hand_a_change_takes_as_long_as_all_copies_and_the_dead_stay_behind() -> None:
    row = over_seeds("without faults", SMALL, 1, Way.BY_HAND)
    assert (row.everywhere.worst or 0.0) >= 3.0 * SMALL
    # Whoever is back before the operator comes by gets the file; for the others there is no next round.
    row = over_seeds("a region returns", SMALL, 1, Way.BY_HAND)
    assert row.returned.n == 3 and row.returned.never > 0


def test_deaths_at_each_step_happen_and_hold_up_nobody_for_long() -> None:
    rows, broken = deaths_at_steps(18, 1)
    assert broken == []
    assert len(rows) == 27
    for row in rows:
        assert row.everywhere.beyond == row.returned.beyond == 0, row
    # A step that nobody came to proves nothing: most must happen in one seed already.
    assert sum(row.deaths > 0 for row in rows) >= 20


def test_a_hundredth_of_a_day_keeps_every_promise() -> None:
    report = play_day(30, 1, 0.01)
    assert report.agreed >= 29 and report.within_bound == report.agreed
    assert (report.faults, report.behind, report.missed) == ([], [], [])
    assert report.returned.n > 0 and report.returned.beyond == 0


# -- drawn stories and the flawed forms ----------------------------------------------------------------


def test_drawn_stories_find_nothing_in_the_sound_form() -> None:
    found = stories(SOUND, range(12))
    assert found.found == 0, found.first


@pytest.mark.parametrize("form", [form for form in FORMS if form != SOUND])
def test_drawn_stories_find_each_flawed_form(form: str) -> None:
    assert stories(form, range(24)).found > 0


def test_a_story_is_the_same_from_the_same_seed() -> None:
    assert story(3) == story(3)
