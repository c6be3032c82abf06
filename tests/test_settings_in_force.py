"""New settings in a running dispatcher: nothing is derived from what they dropped, and open jobs lose nothing."""

from __future__ import annotations

import json
from typing import Any

import pytest
import trio

from tests.standins import Platform
from tests.support import play
from thistleshore import config, gate
from thistleshore.config import ConfigError
from thistleshore.limits import longest_deadline


def with_deadlines(at: Platform, *deadlines: float) -> None:
    for lane, deadline in zip(at.lanes, deadlines, strict=True):
        lane["giveUp"] = deadline


def test_a_class_that_new_settings_dropped_does_not_lengthen_a_drain() -> None:
    """SIGKILL comes 0.7 s after the longest deadline of the classes in force: later answers were lost (review/2)."""

    async def scenario(at: Platform) -> list[tuple[float, bytes]]:
        before = at.plan()
        del at.lanes[2]
        await at.reread(before)
        await trio.sleep(5.0)
        at.drain.set()
        return await at.ask_until_closed()

    at = Platform()
    with_deadlines(at, 1.0, 1.0, 3.0)
    answered = play(at.run, scenario)
    assert 0.7 < answered[-1][0] < 1.0 + gate.ANSWER_MORE


def test_a_class_that_is_back_counts_for_the_longest_deadline_again() -> None:
    """The other way round: a retired number must not stay retired once its name is there again."""
    at = Platform()
    with_deadlines(at, 1.0, 1.0, 3.0)
    conf = json.loads(json.dumps(at.conf()))
    first = config.platform_plan(conf, {}, 0.0)
    dropped: dict[str, Any] = {**conf, "settings": {**conf["settings"], "lanes": at.lanes[:2]}}
    second = config.platform_plan(dropped, {}, 0.0, first)
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
