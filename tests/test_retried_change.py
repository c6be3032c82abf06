"""Changes of the register whose first round does not learn that it succeeded, in virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
import trio

from tests.tier import Tier, on_tier
from thistleshore.releases import places
from thistleshore.releases.carrier import NoMajority, Releases
from thistleshore.releases.model import FleetObservation, Limits, Refusal, Value
from thistleshore.releases.register import Accept, Accepted, Rejected

SEEN = FleetObservation({}, frozenset(), {"w0": ("s", "z"), "w1": ("s", "z")}, frozenset())
OVERTAKEN = Rejected((1, "another"))


def lose_accepts(proposer: Releases, reply: Any, rounds: int, at: tuple[str, ...] = ("a", "b", "c")) -> None:
    """In its next `rounds` rounds the proposer gets `reply` to what the voters `at` have accepted."""
    ask = proposer.ask
    ballots: set[Any] = set()

    async def lossy(voter: str, question: Any) -> Any:
        answer = await ask(voter, question)
        if not isinstance(answer, Accepted):
            return answer
        ballots.add(answer.ballot)
        return reply if len(ballots) <= rounds and voter in at else answer

    proposer.ask = lossy  # type: ignore[method-assign]


def drain(value: Value, host: str = "w0") -> Value | Refusal:
    return places.grant(value, "host", host, "disk", "x", SEEN, 1.0)


def give_back(value: Value) -> Value | Refusal:
    return places.free(value, "host", "w0", "back", "x", 2.0)


@pytest.mark.parametrize("reply", [None, OVERTAKEN], ids=["lost", "overtaken"])
@pytest.mark.parametrize("rounds", [1, 2])
def test_a_change_that_an_earlier_round_has_made_is_not_refused(reply: Any, rounds: int, tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        proposer = await tier.begin()
        assert isinstance(await proposer.change(drain), Value)
        lose_accepts(proposer, reply, rounds)
        back = await proposer.change(give_back)
        assert isinstance(back, Value), back
        assert back.places == () and [entry.what for entry in back.history] == ["host may go out", "host is back"]
        again = await proposer.change(give_back)  # another change, which is refused
        assert isinstance(again, Refusal) and again.limit == "place"

    on_tier(scenario, tmp_path)


def test_a_change_is_not_made_again_over_one_that_followed_it(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        proposer, other = await tier.begin(), tier.instance("y")
        limited = await other.change(lambda value: places.set_limits(value, Limits(2), "y", 3.0))
        assert isinstance(limited, Value)
        ask = proposer.ask

        async def overtaken(voter: str, question: Any) -> Any:
            answer = await ask(voter, question)
            if isinstance(question, Accept) and voter == "a":
                proposer.ask = ask  # type: ignore[method-assign]
                later = await other.change(lambda value: places.set_limits(value, Limits(4), "y", 5.0))
                assert isinstance(later, Value)
                return OVERTAKEN
            await trio.sleep(1.0 if isinstance(question, Accept) else 0.0)
            return answer

        proposer.ask = overtaken  # type: ignore[method-assign]
        found = await proposer.change(lambda value: places.set_limits(value, Limits(3), "x", 4.0))
        assert isinstance(found, Value)
        assert found.limits == Limits(4) and [entry.by for entry in found.history] == ["y", "x", "y"]

    on_tier(scenario, tmp_path)


def test_a_change_that_no_voter_accepted_is_proposed_again(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        proposer = await tier.begin()
        ask, refusals = proposer.ask, iter([OVERTAKEN] * 3)

        async def unheard(voter: str, question: Any) -> Any:
            if isinstance(question, Accept) and (refused := next(refusals, None)) is not None:
                return refused
            return await ask(voter, question)

        proposer.ask = unheard  # type: ignore[method-assign]
        out = await proposer.change(drain)
        assert isinstance(out, Value) and [place.name for place in out.places] == ["w0"] and len(out.history) == 1

    on_tier(scenario, tmp_path)


def test_a_change_of_which_no_majority_is_left_has_no_answer(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        proposer = await tier.begin()
        assert isinstance(await proposer.change(drain), Value)
        lose_accepts(proposer, None, 1000, ("b", "c"))
        with pytest.raises(NoMajority, match="no answer"):
            await proposer.change(give_back)

    on_tier(scenario, tmp_path)
