"""Following the register: polls and replies while nothing changes, and places of a release."""

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
    """An instance whose poll requests and replies are recorded."""

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

    async def poll(self) -> tuple[list[Learn], list[Known]]:
        """Poll the voters once; return the requests and replies."""
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


def test_only_changed_values_are_sent_again(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        begun = await tier.begin()
        following = Following(tier.instance("y"))
        _, first = await following.poll()
        assert [answer.value is not None for answer in first] == [True] * 3
        before = following.this.known
        _, again = await following.poll()
        assert [(answer.unchanged, answer.value) for answer in again] == [(True, None)] * 3
        assert following.this.known == before == following.this.agreed
        changed = await limited_to(begun, 2)
        _, after = await following.poll()
        assert any(answer.value == changed for answer in after)
        assert following.this.known == changed == following.this.agreed

    on_tier(scenario, tmp_path)


def test_outdated_voter_sends_its_own_value(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        begun = await tier.begin()
        following = Following(tier.instance("y"))
        await following.poll()
        tier.deaf = {"c"}
        changed = await limited_to(begun, 2)
        await following.poll()
        tier.deaf = set()
        _, answers = await following.poll()
        assert sorted(answer.unchanged for answer in answers) == [False, True, True]
        assert following.this.known == changed

    on_tier(scenario, tmp_path)


def test_older_programs_and_other_registers_get_full_replies(tmp_path: Path) -> None:
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


def test_reports_are_returned_only_while_someone_is_out(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        begun = await tier.begin()
        following = Following(tier.instance("y"))
        asked, answers = await following.poll()
        assert all(question.report is not None for question in asked)  # the first poll carries a report
        assert not any(answer.reports for answer in answers)
        asked, _ = await following.poll()
        assert not any(question.report for question in asked)  # the next report is not due yet
        await trio.sleep(REPORT_INTERVAL)
        asked, _ = await following.poll()
        assert all(question.report is not None for question in asked)
        await host_out(begun)
        await following.poll()  # learns of the change
        asked, answers = await following.poll()
        assert all(question.wants_reports and question.report is not None for question in asked)
        assert all("y" in [report.name for report in answer.reports] for answer in answers)
        assert "y" in following.this.reports

    on_tier(scenario, tmp_path)


def test_instance_without_vote_polls_less_often_while_idle(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        begun = await tier.begin()
        this = tier.instance("y")

        def pauses() -> tuple[float, float]:
            found = [this._poll_pause() for _ in range(200)]
            return min(found), max(found)

        # No voter has answered yet: frequent retries would overload them.
        assert pauses()[0] >= 0.75 * IDLE_POLL_INTERVAL
        await this.poll_voters()
        assert pauses()[1] <= 1.25 * POLL_INTERVAL  # not applied yet
        this.applied = this.known.number if this.known is not None else 0
        assert pauses()[0] >= 0.75 * IDLE_POLL_INTERVAL
        this.voter = tier.voters["a"]
        assert pauses()[1] <= 1.25 * POLL_INTERVAL  # voters pass changes on to the fleet
        this.voter = None
        value = await host_out(begun)
        await this.poll_voters()
        this.applied = value.number
        assert pauses()[1] <= 1.25 * POLL_INTERVAL  # somebody is out

    on_tier(scenario, tmp_path)


def test_majority_validity_exceeds_an_idle_poll() -> None:
    assert MAJORITY_VALIDITY > 1.25 * IDLE_POLL_INTERVAL + ANSWER_TIMEOUT
    assert REPORT_LIFETIME > REPORT_INTERVAL + 1.25 * IDLE_POLL_INTERVAL + ANSWER_TIMEOUT


def with_begun_release(value: Value) -> Value | Refusal:
    """Return a value with a release whose first dispatcher, of generation 1, is out."""
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


def test_release_place_is_freed_only_by_its_keeper(tmp_path: Path) -> None:
    """A dispatcher killed with its keeper keeps its place until the keeper reports, even if it serves again."""

    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        assert isinstance(await this.change(with_begun_release), Value)
        this.generation, this.ready = 2, lambda: True  # it was restarted
        await this.poll_voters()
        await this.apply()
        assert this.known is not None and this.known.place("dispatcher", "x") is not None
        given = waves.grant(this.known, this.known.release.number, "y", "y", SEEN, 0.0)  # type: ignore[union-attr]
        assert isinstance(given, Refusal) and given.out == ("x",)
        assert (await ReleaseCalls(this).on_call("failed", ("-", "all", "of", "it", "was", "gone")))["status"] == "done"
        release = this.known.release
        assert not this.known.places and release is not None and release.state == "halted" and "gone" in release.told

    on_tier(scenario, tmp_path)


def test_other_place_is_freed_when_its_holder_serves_again(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        await this.change(lambda value: places.grant(value, "dispatcher", "x", "why", "x", SEEN, 0.0))
        this.generation, this.ready = 2, lambda: True
        await this.poll_voters()
        await this.apply()
        assert this.known is not None and not this.known.places

    on_tier(scenario, tmp_path)
