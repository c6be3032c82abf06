"""The capacity measurements: the page says what was kept, and the short form comes to its verdicts."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest
import trio

from benchmarks.capacity import counted, figures, model, page, rows, runs
from benchmarks.capacity.model import FEWEST_POINTS, Point, Result, Series, fit

# The distribution of configuration is measured once a dispatcher has that part.
MEASURED_ALWAYS = {
    "decisions",
    "teams",
    "requests",
    "running",
    "leases",
    "leases_workers",
    "view",
    "register",
    "crashes",
    "zone_lost",
    "region_cut",
}


def test_the_page_shows_the_kept_result() -> None:
    rendered = page.render(model.read(), rows.distribution(), rows.scenarios())
    assert page.generated().strip() == rendered.strip()


def test_the_kept_result_is_a_full_run_with_enough_sizes() -> None:
    result = model.read()
    assert not result.quick
    assert set(result.series) >= MEASURED_ALWAYS
    for slope in figures.SLOPES:
        found = result.find(slope.series)
        if found is not None:
            assert len(found.used(slope.value)) >= FEWEST_POINTS, slope


def test_every_requirement_has_a_verdict() -> None:
    found = rows.requirements(model.read(), rows.distribution())
    assert len(found) >= 20
    assert all(row.verdict.startswith(("fits", "over", "no mechanism", "not run")) for row in found)
    assert all(row.mark in ("measured", "from a slope", "assumed", "not run", "-") for row in found)


def test_a_fit_gives_back_its_line_and_where_the_budget_is_passed() -> None:
    found = fit([(n, 3.0 + 2.0 * n) for n in (1, 5, 9, 20)])
    assert found is not None
    assert found.at(100) == pytest.approx(203.0)
    assert found.r_squared == pytest.approx(1.0)
    assert found.size_at(43.5) == 20  # 43 at 20, 45 at 21
    assert fit([(1, 1.0), (2, 2.0), (3, 3.0)]) is None


def test_points_at_which_the_host_was_the_limit_are_in_no_fit() -> None:
    points = tuple(Point(n, {"bytes": float(n)}, fits=n < 5) for n in range(1, 7))
    series = Series("s", "instances", "made up", points)
    assert series.used("bytes") == [(1, 1.0), (2, 2.0), (3, 3.0), (4, 4.0)]


def test_counts_are_read_by_another_process(tmp_path: Path) -> None:
    file = tmp_path / "counts"
    counted.create(file)
    assert counted.read(file) == counted.Sent(0, 0, 0, 0, 0, 0)


def test_so_many_datagrams_are_lost_as_is_said(tmp_path: Path) -> None:
    file = tmp_path / "counts"
    counted.create(file)
    counted.lose(file, 0.25)
    code = (
        f"import socket; from pathlib import Path; from benchmarks.capacity import counted\n"
        f"counted.install(Path({str(file)!r}))\n"
        "near, far = (socket.socket(type=socket.SOCK_DGRAM) for _ in range(2))\n"
        "far.bind(('127.0.0.1', 0)); far.setblocking(False)\n"
        "heard = 0\n"
        "for _ in range(400):\n"
        "    near.sendto(b'x', far.getsockname())\n"
        "    try: heard += len(far.recv(9))\n"
        "    except BlockingIOError: pass\n"
        "print(heard)"
    )
    told = subprocess.run([sys.executable, "-c", code], cwd=page.PAGE.parent.parent, capture_output=True, check=True)
    assert 230 < int(told.stdout) < 370  # 300 are to be expected; six times the deviation either way
    assert counted.read(file).udp_sends == 400


def test_the_time_to_in_force_is_that_of_the_largest_day(tmp_path: Path) -> None:
    file = tmp_path / "distribution.json"
    assert rows.distribution(file) == {}
    days = {
        str(instances): {"instances": instances, "everywhere": {"n": 2900, "p50": 0.1, "worst": worst, "never": 0}}
        for instances, worst in ((60, 0.5), (9, 0.9))
    }
    file.write_text(json.dumps({"virtual": {"bound": 18.0, "days": days}}))
    assert rows.distribution(file) == {"virtual": rows.Spread(60, 2900, 0.5, 0)}


def test_the_time_to_in_force_between_processes_is_the_worst_of_all_scenarios(tmp_path: Path) -> None:
    file = tmp_path / "distribution.json"
    latency = [
        {"scenario": name, "changes": changes, "spreading": {"p50": 0.2, "worst": worst, "failed": failed}}
        for name, changes, worst, failed in (("quiet", 10, 0.4, 0), ("loss", 6, 2.5, 1))
    ]
    file.write_text(json.dumps({"processes": {"drawn": {"runs": 3}, "latency": latency}}))
    assert rows.distribution(file) == {rows.PROCESSES: rows.Spread(9, 16, 2.5, 1)}
    never = {"scenario": "zone", "changes": 2, "spreading": {"failed": 2}}
    file.write_text(json.dumps({"hollow": {"200+9": {"hollow": 200, "whole": 9, "scenarios": [*latency, never]}}}))
    assert rows.distribution(file) == {rows.HOLLOW: rows.Spread(209, 18, float("inf"), 3)}


# -- the short form, played beside the other tests


def measures_every_series(quick: Result) -> None:
    assert set(quick.series) >= MEASURED_ALWAYS - {"leases_workers"}


def leases_send_a_message_to_each_peer(quick: Result) -> None:
    """Bytes of a dispatcher grow with its peers: at the fleet's size they are over the budget."""
    a_peer = [point.values["bytes"] / (point.size - 1) for point in quick.series["leases"].points]
    assert max(a_peer) < 1.1 * min(a_peer)
    assert 25 * min(a_peer) > 5.0 * model.SIZE.control_bytes_a_second


def the_view_stays_within_its_budget(quick: Result) -> None:
    """Bytes of a member of a quiet fleet; a slope of such small sizes is not drawn out to the fleet's."""
    assert all(point.values["bytes"] < model.SIZE.control_bytes_a_second for point in quick.series["view"].points)


def hollow_and_whole_dispatchers_form_one_fleet(quick: Result) -> None:
    (found,) = quick.mixed
    assert found.one_view_s is not None
    assert found.memory_mb < model.SIZE.test_memory_mb


def an_operators_calls_are_answered_in_full(quick: Result) -> None:
    assert quick.mixed[0].members_bytes > 0


async def the_short_form(tmp_path: Path) -> None:
    """One run of it, judged."""
    quick = await trio.to_thread.run_sync(partial(runs.measure, True, [], None))
    measures_every_series(quick)
    leases_send_a_message_to_each_peer(quick)
    the_view_stays_within_its_budget(quick)
    hollow_and_whole_dispatchers_form_one_fleet(quick)
    an_operators_calls_are_answered_in_full(quick)


STORIES = {"the_short_form": the_short_form}


@pytest.mark.parametrize("story", STORIES)
def test_processes(story: str, played: Callable[[str], str]) -> None:
    assert played(story) == ""
