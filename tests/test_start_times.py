"""Starts of hosts on the monotonic clock, while wall clocks are stepped."""

from __future__ import annotations

import pytest

from thistleshore.platform.start_times import STARTS_MOST, StartTimes

UNIX = 1_760_000_000.0  # when the monotonic clock showed 100
BEGAN = 100.0


def starts() -> StartTimes:
    return StartTimes(BEGAN - UNIX)


@pytest.mark.parametrize("step", [-3600.0, -5.0, 5.0, 3600.0])
def test_a_start_after_a_step_of_all_wall_clocks_is_as_young_as_it_is(step: float) -> None:
    found = starts()
    found.on_clock(BEGAN + 50.0 - (UNIX + 50.0 + step))  # 50 s on, the wall clock has been stepped
    assert found.started_at(b"a", UNIX + 49.0 + step, BEGAN + 50.0) == pytest.approx(BEGAN + 49.0)


@pytest.mark.parametrize("step", [-3600.0, -5.0, 5.0, 3600.0])
def test_a_step_of_this_machine_alone_never_makes_a_cold_host_older(step: float) -> None:
    found = starts()
    found.on_clock(BEGAN + 50.0 - (UNIX + 50.0 + step))
    assert BEGAN + 49.0 <= found.started_at(b"a", UNIX + 49.0, BEGAN + 50.0) <= BEGAN + 50.0


@pytest.mark.parametrize("step", [-3600.0, -5.0, 5.0, 3600.0])
def test_a_start_that_is_known_does_not_move_with_the_wall_clock(step: float) -> None:
    found = starts()
    assert found.started_at(b"a", UNIX + 1.0, BEGAN + 2.0) == pytest.approx(BEGAN + 1.0)
    found.on_clock(BEGAN + 9.0 - (UNIX + 9.0 + step))
    assert found.started_at(b"a", UNIX + 1.0, BEGAN + 9.0) == pytest.approx(BEGAN + 1.0)


def test_a_host_that_starts_again_by_a_clock_that_was_set_back_elsewhere_counts_as_new() -> None:
    found = starts()
    found.started_at(b"a", UNIX + 10.0, BEGAN + 11.0)
    assert found.started_at(b"a", UNIX - 3600.0, BEGAN + 20.0) == BEGAN + 20.0


def test_starts_of_ever_more_hosts_are_not_kept_for_ever() -> None:
    found = starts()
    for n in range(STARTS_MOST + 10):
        found.started_at(b"%d" % n, UNIX, BEGAN)
    assert len(found._known) == STARTS_MOST and found.started_at(b"x", 0.0, BEGAN) == 0.0


def test_a_start_a_moment_ahead_of_this_clock_is_not_taken_for_one_before_an_earlier_step() -> None:
    found = starts()
    found.on_clock(BEGAN - UNIX - 3600.0)
    assert found.started_at(b"a", UNIX + 50.004, BEGAN + 50.0) == BEGAN + 50.0
