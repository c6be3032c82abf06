"""Configuration agreed by the register: its pure changes, the voters' bodies, and the model checking."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.checks import configuration as checker
from benchmarks.checks.register import explore, walk
from tests.support import steady
from tests.tier import NAMES, Tier, on_tier
from thistleshore.configuration import agreement, store
from thistleshore.distribution.model import MAX_BODY_BYTES, NO_VERSION, Stamp, digest_of
from thistleshore.releases import messages, places
from thistleshore.releases.calls import ReleaseCalls
from thistleshore.releases.carrier import NoMajority, Releases
from thistleshore.releases.messages import Body, Deposit, Deposited, FetchBody, Install
from thistleshore.releases.model import MAX_CONFIGURATIONS, Configuration, Limits, Refusal, Value
from thistleshore.releases.register import Accept, Accepted, Acceptor, Prepare, Promise, Round, Unable, VoterState
from thistleshore.releases.store import FILE

VALUE = Value(1, NAMES, Limits())
ONE, TWO, THREE = b"# one", b"# two", b"# three"


def taken(value: Value | Refusal) -> Value:
    assert isinstance(value, Value), value
    return value


def turned_down(value: Value | Refusal) -> Refusal:
    assert isinstance(value, Refusal), value
    return value


def push(value: Value, body: bytes, against: int | None = None, by: str = "p0", reason: str = "") -> Value | Refusal:
    return agreement.push(value, against, digest_of(body), len(body), by, reason, 5.0)


# -- pure changes


def test_a_push_is_a_new_version_and_is_told_in_the_register_s_history() -> None:
    value = taken(push(VALUE, ONE, 0, "p0", "quota of ticketing"))
    entry = value.configuration.current
    assert entry is not None and (entry.number, entry.against, entry.restored) == (1, 0, 0)
    assert (entry.digest, entry.size, entry.by, entry.reason, entry.when) == (
        digest_of(ONE),
        5,
        "p0",
        entry.reason,
        5.0,
    )
    act = value.history[-1]
    assert (act.what, act.name, act.reason, act.number) == ("configured", "1", "quota of ticketing", value.number)
    assert agreement.stamp(value, 7) == Stamp(7, 1, digest_of(ONE), 5)
    assert agreement.stamp(VALUE, 7) == NO_VERSION


def test_a_push_of_what_is_in_force_changes_nothing_so_that_it_may_be_repeated() -> None:
    value = taken(push(VALUE, ONE, 0))
    assert push(value, ONE, 0) is value and push(value, ONE) is value


def test_a_change_that_was_made_is_not_made_again_when_another_came_after_it() -> None:
    """Its round met another, whose proposer brought it about: proposed again, it finds itself in the history."""
    mine = digest_of(ONE)
    value = taken(agreement.push(VALUE, None, mine, len(ONE), "p0", "mine", 5.0))
    value = taken(agreement.push(value, None, digest_of(TWO), len(TWO), "p1", "theirs", 5.0))
    for against in (None, 0):
        assert agreement.push(value, against, mine, len(ONE), "p0", "mine", 5.0) is value
    entry = agreement.find_existing_change(value, mine, "p0", 5.0)
    assert entry is not None and entry.number == 1 and agreement.find_existing_change(value, mine, "p1", 5.0) is None
    again = taken(agreement.push(value, None, mine, len(ONE), "p0", "mine", 6.0))  # another change, of the same body
    assert again.configuration.number == 3
    back = taken(agreement.rollback(again, 2, None, "p0", "back", 7.0))
    after = taken(agreement.push(back, None, digest_of(THREE), len(THREE), "p1", "theirs", 8.0))
    assert agreement.rollback(after, 2, 3, "p0", "back", 7.0) is after


def test_a_push_against_a_version_that_has_moved_on_is_refused_with_what_came_between() -> None:
    value = taken(push(taken(push(VALUE, ONE, 0, "p1", "hosts")), TWO, 1, "p2", "quota"))
    refused = turned_down(push(value, THREE, 0, "p3"))
    assert refused.limit == "against" and refused.allowed == 2 and refused.out == ("1", "2")
    assert "version 1 by p1 (hosts)" in refused.reason and "version 2 by p2 (quota)" in refused.reason
    assert "no version 9" in turned_down(push(value, THREE, 9)).reason
    assert taken(push(value, THREE)).configuration.number == 3  # against whichever is in force
    for number in range(3, MAX_CONFIGURATIONS + 10):
        value = taken(push(value, b"# %d" % number, number - 1))
    assert len(value.configuration.history) == MAX_CONFIGURATIONS
    assert value.configuration.history[-1].number == value.configuration.number == MAX_CONFIGURATIONS + 9
    assert "versions before 10, which are not kept any more; version 10 by" in turned_down(push(value, THREE, 0)).reason


def test_a_rollback_is_a_new_version_with_an_earlier_body() -> None:
    value = taken(push(taken(push(VALUE, ONE)), TWO))
    back = taken(agreement.rollback(value, 1, 2, "p1", "worse", 6.0))
    entry = back.configuration.current
    assert entry is not None and (entry.number, entry.digest, entry.restored) == (3, digest_of(ONE), 1)
    assert (entry.size, entry.against, entry.by, entry.reason) == (len(ONE), 2, "p1", "worse")
    assert agreement.rollback(back, 1, 2, "p1", "worse", 7.0) is back  # repeated
    assert turned_down(agreement.rollback(value, 2, 2, "p1", "", 6.0)).limit == "in-force"
    unknown = turned_down(agreement.rollback(value, 7, 2, "p1", "", 6.0))
    assert unknown.limit == "version" and unknown.reason == "no version 7 is kept; there are: 1, 2"
    assert turned_down(agreement.rollback(VALUE, 1, None, "p1", "", 6.0)).reason.endswith("there are: none")
    late = turned_down(agreement.rollback(value, 1, 1, "p1", "", 6.0))
    assert late.limit == "against" and late.out == ("2",)


@steady
@given(
    st.lists(
        st.tuples(st.sampled_from(["push", "rollback", "other"]), st.integers(0, 5), st.none() | st.integers(0, 8)),
        max_size=60,
    )
)
def test_numbers_only_grow_and_no_number_has_two_contents(acts: list[tuple[str, int, int | None]]) -> None:
    value, contents = VALUE, dict[int, str]()
    for what, which, against in acts:
        before = value
        found: Value | Refusal
        if what == "push":
            found = push(value, b"# %d" % which, against)
        elif what == "rollback":
            found = agreement.rollback(value, which, against, "p0", "", 0.0)
        else:
            found = places.set_limits(value, Limits(dispatchers=which), "p0", 0.0)
        if isinstance(found, Refusal):
            continue
        value = found
        configuration = value.configuration
        step = configuration.number - before.configuration.number
        assert step in ((0,) if what == "other" or value is before else (1,))
        assert value.number == before.number + (value is not before)
        if step and against is not None:
            assert against == before.configuration.number
        numbers = [entry.number for entry in configuration.history]
        assert numbers == list(range(configuration.number - len(numbers) + 1, configuration.number + 1))
        for entry in configuration.history:
            assert contents.setdefault(entry.number, entry.digest) == entry.digest
            assert not entry.restored or contents[entry.restored] == entry.digest


def test_a_value_of_before_the_configuration_is_read() -> None:
    data = msgspec.msgpack.decode(msgspec.msgpack.encode(VALUE))
    del data["configuration"]
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(data), type=Value).configuration == Configuration()


# -- the voters' rule


def test_a_voter_accepts_no_version_whose_body_it_does_not_hold() -> None:
    value = taken(push(VALUE, ONE))
    first = VoterState(7, "a", (1, ""), (1, ""), VALUE, 1)
    accept = Accept(7, (2, "x"), value)
    for acceptor in (Acceptor(first), Acceptor(first, lambda digest: digest == digest_of(TWO))):
        assert acceptor.on_accept(accept) == (None, Unable("it does not hold the body of version 1"))
        assert isinstance(acceptor.on_accept(Accept(7, (2, "x"), VALUE))[1], Accepted)  # without any it needs none
    after, reply = Acceptor(first, lambda digest: digest == digest_of(ONE)).on_accept(accept)
    assert isinstance(reply, Accepted) and after is not None and after.value == value


def test_a_promise_that_comes_late_does_not_end_a_round_that_can_be_won() -> None:
    this = Round(7, NAMES, (2, "x"), lambda value: value)
    this.start()
    promise = Promise((2, "x"), (1, ""), VALUE, 1, {})
    this.on_reply("a", promise)
    assert set(this.on_reply("b", promise)) == set(NAMES)
    this.on_reply("c", promise)  # late
    this.on_reply("a", Unable("it does not hold the body of version 1"))
    assert this.outcome is None
    for name in ("b", "c"):
        this.on_reply(name, Accepted((2, "x"), 2))
    assert this.outcome is not None and this.outcome.what == "done"


def fails(number: int) -> Callable[..., Any]:
    def call(*_: object) -> Any:
        raise OSError(number, os.strerror(number))

    return call


async def push_at(this: Releases, body: bytes, against: int | None, reason: str = "") -> Value | Refusal:
    await this.deposit(body)
    return await this.change(lambda value: push(value, body, against, this.name, reason))


def test_a_pushed_version_is_agreed_told_and_its_body_can_be_fetched(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        heard: list[int] = []
        this.on_agreed = lambda value: heard.append(value.configuration.number)
        assert await this.deposit(ONE) == 3 and tier.holders(ONE) == set(NAMES)
        value = taken(await this.change(lambda value: push(value, ONE, 0)))
        assert this.agreed == value and heard[-1] == 1 and this.register
        before = list(heard)
        assert await push_at(this, ONE, 0) == value
        assert heard == before  # it did not move on
        other = tier.instance("y")
        assert await other.fetch_body(digest_of(ONE)) == ONE and await other.fetch_body(digest_of(TWO)) is None
        assert other.agreed == value and other.register == this.register

    on_tier(scenario, tmp_path)


def test_of_two_pushes_in_one_instant_one_wins_and_the_other_is_told_of_it(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        await tier.begin()
        found: dict[str, Value | Refusal] = {}

        async def one(name: str, body: bytes) -> None:
            found[name] = await push_at(tier.instance(name), body, 0, f"reason of {name}")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(one, "y", ONE)
            nursery.start_soon(one, "z", TWO)
        won = [name for name, answer in found.items() if isinstance(answer, Value)]
        lost = [name for name, answer in found.items() if isinstance(answer, Refusal)]
        assert len(won) == len(lost) == 1
        refused = turned_down(found[lost[0]])
        assert refused.out == ("1",) and f"version 1 by {won[0]} (reason of {won[0]})" in refused.reason

    on_tier(scenario, tmp_path)


def test_without_a_majority_of_deposits_nothing_is_pushed_and_it_is_told_who_did_not(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        tier.deaf = {"c"}
        assert await this.deposit(ONE) == 2
        tier.deaf = {"b", "c"}
        with pytest.raises(NoMajority, match="b: no answer; c: no answer"):
            await this.deposit(TWO)
        tier.deaf = set()
        # Whoever proposes without it all the same comes to nothing.
        with pytest.raises(NoMajority, match="it does not hold the body of version 1"):
            await this.change(lambda value: push(value, TWO, 0))
        assert taken(await push_at(this, ONE, 0)).configuration.number == 1

    on_tier(scenario, tmp_path)


def test_a_voter_without_bodies_says_so_and_leaves_the_others_to_agree(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        assert tier.voters["a"].answer(Deposit(digest_of(ONE), ONE), 0.0) == Unable(
            "it keeps no bodies of configuration"
        )
        assert taken(await push_at(this, ONE, 0)).configuration.number == 1
        assert tier.holders(ONE) == {"b", "c"}
        tier.deaf = {"b"}
        with pytest.raises(NoMajority, match="a: it keeps no bodies of configuration; b: no answer"):
            await this.deposit(TWO)

    on_tier(scenario, tmp_path, without=("a",))


@pytest.mark.parametrize("call", ["write", "fsync", "replace", "open"])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS])
def test_a_voter_whose_disk_takes_nothing_answers_no_deposit(
    call: str, number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(tier: Tier) -> None:
        await tier.begin()
        voter, deposit = tier.voters["a"], Deposit(digest_of(ONE), ONE)
        with monkeypatch.context() as patched:
            patched.setattr(store.os, call, fails(number))
            reply = voter.answer(deposit, 0.0)
            assert reply == Unable(f"its disk takes nothing: {os.strerror(number)}")
        assert list((tmp_path / "a" / store.BODY_FOLDER).iterdir()) == []
        assert voter.answer(deposit, 0.0) == Deposited(digest_of(ONE))

    on_tier(scenario, tmp_path)


def test_a_deposit_that_is_not_what_it_says_is_not_kept(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        voter, large = tier.voters["a"], b"#" * (MAX_BODY_BYTES + 1)
        for digest, body, why in (
            (digest_of(ONE), TWO, "the body is not that of its digest"),
            (digest_of(large), large, f"the body has over {MAX_BODY_BYTES} bytes"),
            ("../../escaped", ONE, "the body is not that of its digest"),
        ):
            assert voter.answer(Deposit(digest, body), 0.0) == Unable(why)
        assert voter.answer(FetchBody(f"../{FILE}"), 0.0) == Unable("it does not hold that body")
        with pytest.raises(NoMajority, match=f"a: the body has over {MAX_BODY_BYTES} bytes"):
            await this.deposit(large)
        assert await this.deposit(b"#" * MAX_BODY_BYTES) == 3

    on_tier(scenario, tmp_path)


def test_a_body_that_was_altered_on_the_disk_is_not_held_and_can_be_deposited_again(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        await push_at(this, ONE, 0)
        file = tmp_path / "a" / store.BODY_FOLDER / digest_of(ONE)
        for spoilt in (ONE[:-1], ONE + b"#", b""):
            file.write_bytes(spoilt)
            assert tier.holders(ONE) == {"b", "c"}
            assert await this.fetch_body(digest_of(ONE)) == ONE
            assert await this.deposit(ONE) == 3 and tier.holders(ONE) == set(NAMES)

    on_tier(scenario, tmp_path)


def test_a_voter_keeps_the_bodies_of_the_history_and_a_few_others(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        await push_at(this, ONE, 0)
        await push_at(this, TWO, 1)
        drafts = [b"# draft %d" % number for number in range(store.MAX_UNREFERENCED_BODIES + 5)]
        for draft in drafts:
            await this.deposit(draft)
            await trio.sleep(0.02)
        assert tier.holders(ONE) == tier.holders(TWO) == tier.holders(drafts[-1]) == set(NAMES)
        assert tier.holders(drafts[0]) == set()
        # Beside those of the history and the one that has just come.
        assert len(list((tmp_path / "a" / store.BODY_FOLDER).iterdir())) == 2 + 1 + store.MAX_UNREFERENCED_BODIES

    on_tier(scenario, tmp_path)


def test_a_voter_that_is_taken_in_again_is_handed_the_body_first(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        await push_at(this, ONE, 0)
        tier.voters["c"].close()
        for path in (tmp_path / "c").rglob("*"):
            if path.is_file():
                path.unlink()
        tier.voters["c"] = tier.voter("c")
        await tier.voters["c"].open()
        assert tier.holders(ONE) == {"a", "b"}
        assert (await ReleaseCalls(this).on_call("voters", ("c",)))["status"] == "done"
        assert tier.holders(ONE) == set(NAMES)
        tier.deaf = {"b"}  # its vote is needed
        await push_at(this, TWO, 1)
        tier.deaf = set()
        assert await this.change(lambda value: value) == this.agreed

    on_tier(scenario, tmp_path)


def test_a_voter_that_cannot_hold_the_body_is_not_taken_in(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        await push_at(this, ONE, 0)
        tier.voters["c"].close()
        tier.voters["c"] = tier.voter("c", with_bodies=False)
        await tier.voters["c"].open()
        found = await ReleaseCalls(this).on_call("voters", ("c",))
        assert found["status"] == "refused" and "it keeps no bodies of configuration" in found["told"]
        assert this.agreed is not None and this.agreed.voters == ("a", "b")

    on_tier(scenario, tmp_path)


def test_a_voter_that_missed_a_deposit_fetches_the_body(tmp_path: Path) -> None:
    async def scenario(tier: Tier) -> None:
        this = await tier.begin()
        tier.deaf = {"c"}
        await push_at(this, ONE, 0)
        tier.deaf = set()
        assert tier.holders(ONE) == {"a", "b"}
        at_c = tier.instance("c")
        await at_c.poll_voters()
        with trio.move_on_after(10.0):
            await at_c._keep_current_body(tier.voters["c"])
        assert tier.holders(ONE) == set(NAMES)

    on_tier(scenario, tmp_path)


def test_questions_and_answers_about_bodies_pass_the_wire() -> None:
    for question in (Deposit(digest_of(ONE), ONE), FetchBody(digest_of(ONE))):
        assert messages.questions.decode(msgspec.msgpack.encode(question)) == question
    for answer in (Deposited(digest_of(ONE)), Body(digest_of(ONE), ONE), Unable("why")):
        assert messages.answers.decode(msgspec.msgpack.encode(answer)) == answer
    largest = msgspec.msgpack.encode(Body(digest_of(ONE), b"#" * MAX_BODY_BYTES))
    assert len(largest) < messages.MAX_FRAME_BYTES
    assert messages.questions.decode(msgspec.msgpack.encode(Prepare(7, (2, "x")))) == Prepare(7, (2, "x"))
    begun = Install(VoterState(7, "a", (1, ""), (1, ""), taken(push(VALUE, ONE)), 1), False)
    assert messages.questions.decode(msgspec.msgpack.encode(begun)) == begun


# -- the model checking


def test_the_model_checker_finds_each_flawed_form_and_nothing_in_agreed_configuration() -> None:
    story = checker.ConfigurationStory
    assert walk("", 400, 1, kind=story)["broken"] == ""
    assert walk(checker.IMPATIENT, 400, 1, kind=story)["broken"] == ""
    assert explore("", 1500, story)["broken"] == ""
    found = {flaw: walk(flaw, 1500, 2, kind=story)["broken"] for flaw in checker.FLAWS}
    assert all("the body of version" in broken for broken in found.values()), found


def test_the_model_checking_is_the_same_each_time() -> None:
    story, flaw = checker.ConfigurationStory, checker.BEFORE_WRITE
    assert walk(flaw, 1500, 2, kind=story) == walk(flaw, 1500, 2, kind=story)
