"""Configuration at hollow and whole dispatchers over sockets, in the short form."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest
import trio

from benchmarks.distribution.hollow import play


async def changes_are_in_force_everywhere_whatever_is_lost_or_dies(tmp_path: Path) -> None:
    scenarios = ("quiet", "loss", "deaths", "burst")
    told = await trio.to_thread.run_sync(partial(play, tmp_path, 4, 3, 2, scenarios, 1))
    assert told["one_view_s"] is not None
    assert [found["scenario"] for found in told["scenarios"]] == list(scenarios)
    for found in told["scenarios"]:
        assert found["late"] == 0 and found["unagreed"] == 0, found
    deaths = told["scenarios"][2]
    assert deaths["returned"]["failed"] == 0
    # What is lost is lost where it is sent, and counts as sent all the same.
    assert told["cost"]["hollow"]["distribution_bytes_a_second"] > 0.0


STORIES = {story.__name__: story for story in (changes_are_in_force_everywhere_whatever_is_lost_or_dies,)}


@pytest.mark.parametrize("story", STORIES)
def test_processes(story: str, played: Callable[[str], str]) -> None:
    assert played(story) == ""
