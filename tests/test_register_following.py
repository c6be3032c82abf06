"""Following the register: what is asked and answered while nothing changes, and places that a keeper answers for."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import trio

from tests.tier import Tier, on_tier
from thistleshore.releases import places, waves
from thistleshore.releases.calls import ReleaseCalls
from thistleshore.releases.carrier import (
    ANSWER_TIMEOUT,
    IDLE_POLL_INTERVAL,
    MAJORITY_VALIDITY,
    POLL_INTERVAL,
    REPORT_INTERVAL,
    Releases,
)
from thistleshore.releases.messages import Known, Learn
from thistleshore.releases.model import FleetObservation, Limits, Refusal, Value, Version
from thistleshore.releases.register import NO_BALLOT
from thistleshore.releases.voter import REPORT_LIFETIME

SEEN = FleetObservation({"x": 1, "y": 1}, frozenset(), {"h": ("s", "z")}, frozenset())


class Following:
    """An instance whose questions and answers are put down."""

    def __init__(self, this: Releases) -> None:
        self.this = this
        self.asked: list[Learn] = []
        self.answers: list[Known] = []
        plain = this.ask

        async def ask(voter: str, question: Any) -> Any:
            reply = await plain(voter, question)
            if isinstance(question, Learn) and isinstance(reply, Known):
                self.asked.append(question)
                self.answers.append(reply)
            return reply

        this.ask = ask  # type: ignore[method-assign]

    async def look(self) -> tuple[list[Learn], list[Known]]:
        """One look, with what it asked and was answered."""
        self.asked, self.answers = [], []
        await self.this.poll_voters()
        return self.asked, self.answers


async def limited_to(this: Releases, dispatchers: int) -> Value:
    found = await this.change(lambda value: places.set_limits(value, Limits(dispatchers), this.name, 0.0))
    assert isinstance(found, Value)
    return found


async def host_out(this: Releases) -> Value:
    found = await this.change(lambda value: places.grant(value, "host", "h", "why", this.name, SEEN, 0.0))
    assert isinstance(found, Value)
    return found


def test_a_value_that_the_asker_has_is_not_sent_again_and_a_change_is(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        begun = await tier.begin()
        following = Following(tier.instance("y"))
        _, first = await following.look()
        assert [answer.value is not None for answer in first] == [True] * 3
        before = following.this.known
        _, again = await following.look()
        assert [(answer.unchanged, answer.value) for answer in again] == [(True, None)] * 3
        assert following.this.known == before == following.this.agreed
        changed = await limited_to(begun, 2)
        _, after = await following.look()
        assert any(answer.value == changed for answer in after)
        assert following.this.known == changed == following.this.agreed

    on_tier(scenario, tmp_path)


def test_a_voter_that_missed_a_change_is_asked_for_its_own_value(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        begun = await tier.begin()
        following = Following(tier.instance("y"))
        await following.look()
        tier.deaf = {"c"}
        changed = await limited_to(begun, 2)
        await following.look()
        tier.deaf = set()
        _, answers = await following.look()
        assert sorted(answer.unchanged for answer in answers) == [False, True, True]
        assert following.this.known == changed

    on_tier(scenario, tmp_path)


def test_programs_without_the_new_fields_and_other_registers_are_answered_in_full(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        await tier.begin()
        voter = tier.voters["a"]
        older = msgspec.msgpack.decode(
            msgspec.msgpack.encode({"type": "Learn", "report": None, "seen": {}}), type=Learn
        )
        held = voter.answer(older, 0.0)
        assert isinstance(held, Known) and held.value is not None and not held.unchanged
        assert (older.register, older.holds, older.wants_reports) == (0, NO_BALLOT, True)
        same = voter.answer(Learn(register=held.register, holds=held.accepted), 0.0)
        other = voter.answer(Learn(register=held.register + 1, holds=held.accepted), 0.0)
        assert isinstance(same, Known) and same.unchanged and same.value is None
        assert isinstance(other, Known) and not other.unchanged and other.value == held.value

    on_tier(scenario, tmp_path)


def test_reports_are_told_while_somebody_is_out_and_only_then(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        begun = await tier.begin()
        following = Following(tier.instance("y"))
        asked, answers = await following.look()
        assert all(question.report is not None for question in asked)  # the first look tells where it is
        assert not any(answer.reports for answer in answers)
        asked, _ = await following.look()
        assert not any(question.report for question in asked)  # nobody needs it so soon
        await trio.sleep(REPORT_INTERVAL)
        asked, _ = await following.look()
        assert all(question.report is not None for question in asked)
        await host_out(begun)
        await following.look()  # learns of it
        asked, answers = await following.look()
        assert all(question.wants_reports and question.report is not None for question in asked)
        assert all("y" in [report.name for report in answer.reports] for answer in answers)
        assert "y" in following.this.reports

    on_tier(scenario, tmp_path)


def test_who_has_no_vote_looks_less_often_while_nothing_is_under_way(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        begun = await tier.begin()
        this = tier.instance("y")

        def pauses() -> tuple[float, float]:
            found = [this._poll_pause() for _ in range(200)]
            return min(found), max(found)

        assert pauses()[0] >= 0.75 * IDLE_POLL_INTERVAL  # no voter has answered yet: many would ask in vain at once
        await this.poll_voters()
        assert pauses()[1] <= 1.25 * POLL_INTERVAL  # not acted on yet
        this.applied = this.known.number if this.known is not None else 0
        assert pauses()[0] >= 0.75 * IDLE_POLL_INTERVAL
        this.voter = tier.voters["a"]
        assert pauses()[1] <= 1.25 * POLL_INTERVAL  # a voter tells the fleet of what it learns
        this.voter = None
        value = await host_out(begun)
        await this.poll_voters()
        this.applied = value.number
        assert pauses()[1] <= 1.25 * POLL_INTERVAL  # somebody is out

    on_tier(scenario, tmp_path)


def test_what_was_said_counts_until_the_next_idle_look_is_answered() -> None:
    assert MAJORITY_VALIDITY > 1.25 * IDLE_POLL_INTERVAL + ANSWER_TIMEOUT
    assert REPORT_LIFETIME > REPORT_INTERVAL + 1.25 * IDLE_POLL_INTERVAL + ANSWER_TIMEOUT


def with_begun_release(value: Value) -> Value | Refusal:
    """A release whose first dispatcher, of life 1, is out."""
    found: Value | Refusal = waves.start(
        value, waves.Plan(Version("v2"), waves=("100%",)), {"x": "a", "y": "a"}, "x", 0.0
    )
    for change in (
        lambda now: waves.grant(now, now.release.number, "x", "x", SEEN, 0.0),
        lambda now: places.begin(now, "dispatcher", "x", now.place("dispatcher", "x").number, "x", 0.0),
    ):
        assert isinstance(found, Value), found
        found = change(found)
    return found


def test_the_place_of_a_release_is_freed_by_its_keeper_alone(tmp_path: Path) -> None:
    """One that was killed with its keeper and serves again is midway until the keeper has said so: nobody else goes."""

    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        assert isinstance(await this.change(with_begun_release), Value)
        this.generation, this.ready = 2, lambda: True  # it was started anew
        await this.poll_voters()
        await this.apply()
        assert this.known is not None and this.known.place("dispatcher", "x") is not None
        given = waves.grant(this.known, this.known.release.number, "y", "y", SEEN, 0.0)  # type: ignore[union-attr]
        assert isinstance(given, Refusal) and given.out == ("x",)
        assert (await ReleaseCalls(this).on_call("failed", ("-", "all", "of", "it", "was", "gone")))["status"] == "done"
        release = this.known.release
        assert not this.known.places and release is not None and release.state == "halted" and "gone" in release.told

    on_tier(scenario, tmp_path)


def test_another_place_is_freed_once_its_holder_serves_again(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        await this.change(lambda value: places.grant(value, "dispatcher", "x", "why", "x", SEEN, 0.0))
        this.generation, this.ready = 2, lambda: True
        await this.poll_voters()
        await this.apply()
        assert this.known is not None and not this.known.places

    on_tier(scenario, tmp_path)
