"""Places to be out and the register: pure functions, the store, the gate, and processes with injected faults."""

from __future__ import annotations

import random
import sqlite3
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.checks import register as check_register
from tests.support import ROOT, play, refused, steady
from thistleshore import config
from thistleshore.releases import places
from thistleshore.releases.calls import ReleaseCalls
from thistleshore.releases.carrier import Releases
from thistleshore.releases.gate import Gate, GateSettings, Tally, Verdict
from thistleshore.releases.messages import Install
from thistleshore.releases.model import FleetObservation, Limits, Refusal, Value
from thistleshore.releases.plan import ReleasesPlan
from thistleshore.releases.register import Accept, Acceptor, Prepare, Promise, Round, Unable, VoterState
from thistleshore.releases.store import FILE, Store, Unusable
from thistleshore.releases.voter import Voter
from thistleshore.rig import checks
from thistleshore.rig.rig import STARTED, Rig, open_rig
from thistleshore.rig.truth import of
from thistleshore.rig.world import convert

VALUE = Value(1, ("a", "b", "c"), Limits(dispatchers=1, hosts="20%", hosts_a_zone=1))
NONE = frozenset[str]()
SEEN = FleetObservation({f"d{n}": 1 for n in range(5)}, NONE, {f"h{n}": ("s", f"z{n % 2}") for n in range(10)}, NONE)


def taken(value: Value | Refusal) -> Value:
    assert isinstance(value, Value), value
    return value


def ask(value: Value, kind: Any, name: str, seen: FleetObservation = SEEN) -> Value | Refusal:
    return places.grant(value, kind, name, "why", "d0", seen, 0.0)


def test_place_is_granted_within_the_limit_and_refusal_names_members_out() -> None:
    one = taken(ask(VALUE, "dispatcher", "d1"))
    assert one.number == 2 and one.place("dispatcher", "d1") and ask(one, "dispatcher", "d1") == one
    no = ask(one, "dispatcher", "d2")
    assert isinstance(no, Refusal) and no.limit == "dispatchers" and no.out == ("d1",) and "d1" in no.reason
    # A member that is down without a place counts as out.
    down = SEEN._replace(dispatchers_down=frozenset({"d3"}))
    assert isinstance(ask(VALUE, "dispatcher", "d2", down), Refusal)
    assert isinstance(ask(VALUE, "dispatcher", "d3", down), Value)  # it is out already
    assert isinstance(ask(VALUE, "dispatcher", "nobody"), Refusal)


def test_hosts_are_limited_by_service_and_by_zone() -> None:
    value = taken(ask(VALUE, "host", "h0"))
    assert ask(value, "host", "h2").limit == "hosts_a_zone"  # type: ignore[union-attr]
    value = taken(ask(value, "host", "h1"))
    assert ask(value, "host", "h3").limit == "hosts"  # type: ignore[union-attr]
    assert [places.max_allowed(bound, 10) for bound in (0, 3, "0%", "5%", "20%", "100%")] == [0, 3, 0, 1, 2, 10]


def test_place_is_freed_only_explicitly_and_lowered_limit_revokes_none() -> None:
    value = taken(places.set_limits(VALUE, Limits(dispatchers=2), "d0", 0.0))
    value = taken(ask(taken(ask(value, "dispatcher", "d1")), "dispatcher", "d2"))
    value = taken(places.set_limits(value, Limits(dispatchers=1), "d0", 0.0))
    assert len(value.places) == 2 and isinstance(ask(value, "dispatcher", "d3"), Refusal)
    value = taken(places.free(value, "dispatcher", "d1", "back", "d1", 9e9))
    assert isinstance(ask(value, "dispatcher", "d3"), Refusal)  # d2 is still out
    number = value.place("dispatcher", "d2").number  # type: ignore[union-attr]
    assert isinstance(places.begin(value, "dispatcher", "d2", number - 1, "d2", 0.0), Refusal)  # an earlier place
    begun = taken(places.begin(value, "dispatcher", "d2", number, "d2", 0.0)).place("dispatcher", "d2")
    assert begun is not None and begun.begun
    assert [act.number for act in value.history] == list(range(2, value.number + 1))


@steady
@given(
    st.lists(st.tuples(st.sampled_from(["ask", "free", "down", "up"]), st.integers(0, 4)), max_size=30),
    st.integers(0, 3),
)
def test_random_requests_never_get_places_beyond_the_limit(acts: list[tuple[str, int]], most: int) -> None:
    value, down = taken(places.set_limits(VALUE, Limits(dispatchers=most), "d0", 0.0)), set[str]()
    for what, number in acts:
        name = f"d{number}"
        seen = SEEN._replace(dispatchers_down=frozenset(down))
        if what == "ask":
            before, found = value, ask(value, "dispatcher", name, seen)
            if isinstance(found, Value) and found is not before:
                value = found
                assert len({p.name for p in value.places} | down) <= max(most, len(down))
        elif what == "free" and value.place("dispatcher", name):
            value = taken(places.free(value, "dispatcher", name, "", name, 0.0))
        elif what == "down":
            down.add(name)
        elif what == "up":
            down.discard(name)


# -- the register


class Cluster:
    """Acceptors with disks, and rounds whose messages are reordered, delayed or lost."""

    def __init__(self, count: int = 3) -> None:
        names = tuple("abcde"[:count])
        value = msgspec.structs.replace(VALUE, voters=names, limits=Limits(dispatchers=1))
        self.disks = {name: VoterState(7, name, (1, ""), (1, ""), value, 1) for name in names}
        self.acceptors = {name: Acceptor(held) for name, held in self.disks.items()}

    def answer(self, name: str, message: Prepare | Accept) -> Any:
        acceptor = self.acceptors.get(name)
        if acceptor is None:
            return None
        after, reply = acceptor.on_prepare(message) if isinstance(message, Prepare) else acceptor.on_accept(message)
        if after is not None:
            self.disks[name] = acceptor.state = after
        return reply

    def play(self, this: Round) -> Any:
        queue = list(this.start().items())
        while queue and this.outcome is None:
            name, message = queue.pop(0)
            queue += this.on_reply(name, self.answer(name, message)).items()
        return this.outcome


def test_round_agrees_on_changes_and_on_refusals() -> None:
    cluster = Cluster()
    done = cluster.play(Round(7, ("a", "b", "c"), (2, "x"), lambda v: ask(v, "dispatcher", "d1")))
    assert done.what == "done" and done.refusal is None and done.value.number == 2
    again = cluster.play(Round(7, ("a", "b", "c"), (3, "y"), lambda v: ask(v, "dispatcher", "d2")))
    assert again.what == "done" and again.refusal.out == ("d1",) and again.value.number == 2
    late = cluster.play(Round(7, ("a", "b", "c"), (2, "z"), lambda v: v))
    assert late.what == "again" and late.higher[0] == 3
    cluster.acceptors["a"] = cluster.acceptors["b"] = None  # type: ignore[assignment]
    lost = cluster.play(Round(7, ("a", "b", "c"), (9, "y"), lambda v: v))
    assert lost.what == "lost" and "a: no answer" in lost.reason


def test_voter_change_needs_majorities_of_old_and_new_voters() -> None:
    cluster = Cluster(3)
    cluster.disks["d"] = VoterState(7, "d")
    cluster.acceptors["d"] = Acceptor(cluster.disks["d"])

    def put(votes: bool, name: str) -> Callable[[Value], Value | Refusal]:
        return lambda v: places.change_voter(v, name, votes, "x", 0.0)

    done = cluster.play(Round(7, ("a", "b", "c"), (2, "x"), put(True, "d")))
    assert done.what == "done" and done.value.voters == ("a", "b", "c", "d")
    # A proposer that uses the old voters learns the new ones.
    assert cluster.play(Round(7, ("a", "b", "c"), (3, "x"), lambda v: v)).what == "voters"
    for gone in ("a", "b"):
        cluster.acceptors[gone] = None  # type: ignore[assignment]
    assert (
        cluster.play(Round(7, done.value.voters, (4, "x"), lambda v: v)).what == "lost"
    )  # two of four are no majority


def test_voter_restored_from_older_copy_does_not_vote() -> None:
    cluster = Cluster()
    old = cluster.disks["a"]
    for number in (2, 3):
        assert cluster.play(Round(7, ("a", "b", "c"), (number, "x"), lambda v: v)).what == "done"
    cluster.acceptors["a"] = Acceptor(old)
    cluster.acceptors["c"] = None  # type: ignore[assignment]
    found = cluster.play(Round(7, ("a", "b", "c"), (9, "x"), lambda v: v))
    assert found.what == "lost" and "older copy" in found.reason
    assert isinstance(Acceptor(old).on_prepare(Prepare(7, (9, "x"), {"a": 99}))[1], Unable)
    assert isinstance(Acceptor(old).on_prepare(Prepare(8, (9, "x")))[1], Unable)


@pytest.mark.parametrize("seed", range(30))
def test_concurrent_rounds_with_crashes_and_lost_messages_keep_the_limit(seed: int) -> None:
    """Each later round sees the value of every completed one, and at most one place is ever granted."""
    at, cluster = random.Random(seed), Cluster()
    rounds: list[tuple[Round, list[tuple[str, Any]], int]] = []
    done: list[Value] = []
    for step in range(400):  # of three proposers at most
        if len(rounds) < 3 and at.random() < 0.2:
            name = f"d{at.randrange(5)}"
            change = at.choice(
                [
                    lambda v, n=name: ask(v, "dispatcher", n),
                    lambda v, n=name: places.free(v, "dispatcher", n, "", n, 0.0),
                ]
            )  # type: ignore[misc]
            this = Round(7, ("a", "b", "c"), (step + 2, f"p{step}"), change)
            rounds.append((this, list(this.start().items()), max((value.number for value in done), default=1)))
        if rounds:
            this, queue, least = at.choice(rounds)
            if queue:
                name, message = queue.pop(at.randrange(len(queue)))
                if at.random() < 0.15:
                    continue  # request or reply lost
                queue += this.on_reply(name, cluster.answer(name, message)).items()
                if at.random() < 0.1:
                    cluster.answer(name, message)  # duplicate
            if this.outcome is not None or not queue:
                rounds.remove((this, queue, least))
                if this.outcome is not None and this.outcome.what == "done":
                    value = this.outcome.value
                    assert value is not None and len(value.places) <= 1
                    assert value.number >= least  # includes every change completed before the round started
                    same = [before for before in done if before.number == value.number]
                    assert all(before == value for before in same)
                    done.append(value)
        if at.random() < 0.05:
            name = at.choice("abc")
            cluster.acceptors[name] = Acceptor(cluster.disks[name])  # killed and started again
    assert len(done) > 3


# -- the gate


def gated(old: float, new: float, intervals: int = 30, tries: int = 100) -> Any:
    gate, told = Gate(["all"], GateSettings(), 0.0), None
    for second in range(1, intervals + 1):
        both = Tally(8 * tries, round(8 * tries * old)), Tally(tries, round(tries * new))
        told = gate.on_interval({"all": both}, float(second))
        if told.verdict is Verdict.WORSE:
            break
    return told


def test_gate_detects_only_real_regressions() -> None:
    assert gated(0.97, 0.97).verdict is Verdict.FINE
    assert gated(0.40, 0.40).verdict is Verdict.FINE  # both are equally bad
    assert gated(0.97, 0.96).verdict is Verdict.FINE  # within the margin
    assert gated(0.90, 0.97).verdict is Verdict.FINE  # better is not worse
    worse = gated(0.97, 0.80)
    assert worse.verdict is Verdict.WORSE and worse.stratum == "all" and worse.new == 0.8 and worse.chance < 0.01
    assert gated(0.97, 0.5, 5, 8).verdict is Verdict.WAIT  # too few tries
    assert gated(0.97, 0.5, 301, 0).verdict is Verdict.UNTOLD


def test_gate_ignores_shifted_traffic_between_groups_in_a_surge() -> None:
    """The new group gets most of its tries while both groups do badly; shares pooled over time would mislead."""
    gate = Gate(["all"], GateSettings(), 0.0)
    for second in range(1, 60):
        bad = second > 30
        old, new = (100, 400) if bad else (400, 20)
        good = 0.5 if bad else 0.97
        found = {"all": (Tally(old, round(old * good)), Tally(new, round(new * good)))}
        assert gate.on_interval(found, float(second)).verdict is not Verdict.WORSE


def test_gate_detects_regression_of_one_class_and_keeps_the_verdict() -> None:
    gate = Gate(["all", "search", "tickets"], GateSettings(), 0.0)
    for second in range(1, 31):
        tallies = {
            "search": (Tally(800, 776), Tally(100, 97)),
            "tickets": (Tally(80, 78), Tally(10, 4)),
            "all": (Tally(880, 854), Tally(110, 101)),
        }
        told = gate.on_interval(tallies, float(second))
    assert told.verdict is Verdict.WORSE and told.stratum == "tickets"
    assert gate.on_interval({"tickets": (Tally(800, 0), Tally(100, 100))}, 31.0).verdict is Verdict.WORSE


def test_gate_ignores_differences_as_large_as_between_old_members() -> None:
    """In overload members with the old version differ, as some reject in bursts; an equal difference passes."""
    for told, verdict in ((True, Verdict.FINE), (False, Verdict.WORSE)):
        gate, shares, found = Gate(["service"], GateSettings(), 0.0), (0.95, 0.70, 0.90, 0.60), None
        for second in range(1, 41):
            members = {f"d{n}": {"service": Tally(20, round(20 * share))} for n, share in enumerate(shares)}
            old = Tally(80, sum(strata["service"].good for strata in members.values()))
            found = gate.on_interval({"service": (old, Tally(20, 13))}, float(second), members if told else None)
        assert found is not None and found.verdict is verdict, found


# -- the store


def test_store_reads_what_it_wrote_and_rejects_corrupt_files(tmp_path: Path) -> None:
    store = Store(tmp_path)
    assert store.read() is None
    held = VoterState(7, "a", (2, "x"), (1, ""), VALUE, 3, {"b": 4})
    store.write(held)
    assert store.read() == held
    with pytest.raises(Unusable, match="another process"):
        Store(tmp_path)
    store.close()
    again = Store(tmp_path)
    assert again.read() == held
    file = tmp_path / FILE
    whole = file.read_bytes()

    def changed(statement: str) -> None:
        with sqlite3.connect(file) as base:
            base.execute(statement)
        base.close()

    for spoil, told in (
        (lambda: changed("UPDATE held SET format = 2"), "format 2"),
        (lambda: changed("UPDATE held SET sum = 5"), "corrupt"),
        (lambda: changed("DELETE FROM held"), "empty"),
        (lambda: file.write_bytes(whole[: len(whole) // 2]), "corrupt"),
        (lambda: file.write_bytes(b"x" * 5000), "corrupt"),
    ):
        file.write_bytes(whole)
        spoil()
        with pytest.raises(Unusable, match=told):
            again.read()
    file.write_bytes(whole)
    assert again.read() == held
    again.set_aside()
    assert again.read() is None and file.with_suffix(".unusable").exists()
    again.close()


def test_store_reports_failed_write(tmp_path: Path) -> None:
    store = Store(tmp_path)
    (tmp_path / FILE).mkdir()  # nothing can be written there, not even by root
    with pytest.raises(Unusable, match="takes nothing"):
        store.write(VoterState(7, "a"))
    store.close()


async def begun_again(tmp_path: Path) -> None:
    plan = ReleasesPlan(dict.fromkeys("abc", ("127.0.0.1", 1)), Limits())
    voters = {name: Voter(name, tmp_path / name) for name in "abc"}
    for voter in voters.values():
        await voter.open()
    nothing: Any = None
    asker = Releases(plan, "x", 1, nothing, nothing, nothing, nothing, nothing, nothing, lambda: nothing, nothing)
    deaf = {"c"}

    async def ask(name: str, question: Any) -> Any:
        return None if name in deaf and isinstance(question, Install) else voters[name].answer(question, 0.0)

    asker.ask = ask  # type: ignore[method-assign]
    found = await ReleaseCalls(asker).on_call("begin", ())
    assert found["status"] == "no-majority" and "c: no answer" in found["told"]
    deaf.clear()
    assert (await ReleaseCalls(asker).on_call("begin", ()))["status"] == "done"
    assert len({voter.acceptor.state.register for voter in voters.values() if voter.acceptor is not None}) == 1
    assert (await ReleaseCalls(asker).on_call("begin", ()))["status"] == "refused"
    assert isinstance(await asker.change(lambda v: places.set_limits(v, Limits(2), "x", 0.0)), Value)
    # A voter that lost its file is not initialized again, as changes were agreed since.
    voters["c"].close()
    (tmp_path / "c" / FILE).unlink()
    voters["c"] = Voter("c", tmp_path / "c")
    await voters["c"].open()
    assert (await ReleaseCalls(asker).on_call("begin", ()))["status"] == "refused"


def test_partly_initialized_register_is_completed_but_not_replaced(tmp_path: Path) -> None:
    play(begun_again, tmp_path)


async def set_back(tmp_path: Path) -> None:
    voter = Voter("a", tmp_path)
    await voter.open()
    voter.answer(Install(VoterState(7, "a", (1, ""), (1, ""), VALUE, 5), True), 0.0)
    assert isinstance(voter.answer(Prepare(7, (2, "x")), 0.0), Promise)
    for writes, votes in ((6, True), (7, False)):
        voter.close()
        await voter.open()
        assert isinstance(voter.answer(Prepare(7, (3, "x")), 0.0), Unable)  # no write counts received yet
        voter.on_write_counts("b", {"a": writes}, VALUE.voters)
        assert isinstance(voter.answer(Prepare(7, (3, "x")), 0.0), Promise) == votes
        if not votes:
            assert "older copy" in voter.unable_reason
        else:
            held = voter.acceptor.state if voter.acceptor is not None else None
            assert held is not None and voter.store is not None
            voter.store.write(msgspec.structs.replace(held, writes=6))  # as from a copy


def test_voter_votes_after_a_majority_confirmed_its_write_count(tmp_path: Path) -> None:
    play(set_back, tmp_path)


# -- processes

WORLD = {
    "name": "kigali",
    "processes": 5,
    "voters": 3,
    "out": {"dispatchers": 1, "hosts": 1},
    "workers": {"count": 3},
    "load": {"rate": 10.0},
}


async def with_register(out: Path, scenario: Callable[[Rig], Awaitable[None]]) -> None:
    async with open_rig(convert(WORLD), 1, out) as rig:
        rig.truth.add("limit", limit=1)
        await rig.begin()
        rig.load(200.0)
        await scenario(rig)
        await rig.end_load()
        await rig.term(*rig.running())
    findings = checks.judge(rig.truth.rows, [name for name in checks.CHECKS if name != "settled"])
    assert findings == [], findings


async def agreed(rig: Rig, name: str, holds: Callable[[Any], bool], bound: float = 6.0) -> Any:
    """What `out` says there, once it holds."""
    found: Any = None
    with trio.move_on_after(bound):
        while True:
            found = await rig.told(name, "out")
            if found is not None and holds(found):
                return found
            await trio.sleep(0.1)
    raise AssertionError(f"{name}: {found}")


def has(kind: str, name: str, state: str) -> Callable[[Any], bool]:
    return lambda found: any(
        row["kind"] == kind and row["name"] == name and row["state"] == state for row in found["places"]
    )


def excuse(rig: Rig, *names: str) -> None:
    rig.truth.add("fault", kind="term", who=list(names), to=[], amount=1, until=rig.truth.now + 12.0)


def kill(rig: Rig, *names: str) -> None:
    """Kill them; what they had taken is excused from then on, however long the story took until here."""
    excuse(rig, *names)
    rig.kill(*names)


async def one_is_out_at_a_time_whoever_asks(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        # Two concurrent requests at two instances: one is refused, and the refusal names the other.
        excuse(rig, "p3", "p4")
        answers: dict[str, Any] = {}

        async def drain(at: str, name: str) -> None:
            answers[name] = await rig.told(at, f"drain dispatcher {name} new kernel")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(drain, "p0", "p3")
            nursery.start_soon(drain, "p1", "p4")
        assert sorted(answer["status"] for answer in answers.values()) == ["done", "refused"]
        gone = next(name for name, answer in answers.items() if answer["status"] == "done")
        other = next(name for name in answers if name != gone)
        assert answers[other]["out"] == [gone] and answers[other]["limit"] == "dispatchers"
        # The holder drains by itself and exits with status 0.
        assert await rig.processes[gone].ended(12.0) == 0
        await agreed(rig, "p2", has("dispatcher", gone, "out"), 12.0)
        # No time-out frees a place, and a repeated request changes nothing.
        await trio.sleep(4.0)
        found = await rig.told("p1", f"drain dispatcher {other} again")
        assert found["status"] == "refused", found
        found = await rig.told("p1", f"drain dispatcher {gone} again")
        assert found["status"] == "done", found
        rig.start(gone)
        await agreed(rig, "p2", lambda found: not found["places"], STARTED + 10.0)
        assert await rig.settle(rig.terms.healing_bound(5) + STARTED) is not None

        # A host is out once every live dispatcher has reported it clear; then it gets no requests.
        found = await rig.told("p1", "drain host w0 disk")
        assert found["status"] == "done", found
        await agreed(rig, "p2", has("host", "w0", "out"))
        since = rig.truth.now
        no = await rig.told("p4", "drain host w1 disk")
        assert no["status"] == "refused" and no["out"] == ["w0"], no
        # A dispatcher that starts meanwhile learns of it soon after it is ready.
        rig.truth.add("fault", kind="kill", who=["p4"], to=[], amount=1, until=rig.truth.now + 4.0)
        rig.kill("p4")
        rig.start("p4")
        assert await rig.settle(rig.terms.detection_bound(5) + STARTED) is not None
        await agreed(rig, "p4", has("host", "w0", "out"))
        sent = [row for row in of(rig.truth.rows, "sent") if row["worker"] == "w0" and row["t"] > since]
        assert {row["by"] for row in sent} <= {"p4"} and len(sent) < 20, sent
        found = await rig.told("p0", "return host w0 done")
        assert found["status"] == "done", found
        before = rig.truth.now
        assert (
            await rig.until(
                lambda: any(row["worker"] == "w0" and row["t"] > before for row in of(rig.truth.rows[-400:], "sent")),
                8.0,
            )
            is not None
        )

    await with_register(tmp_path, scenario)


async def a_minority_changes_nothing_and_a_lost_vote_is_taken_in(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        # p0 votes and is alone on its side of a partition.
        others = [name for name in rig.processes if name != "p0"]
        rig.cut(["p0"], others)
        no = await rig.told("p0", "drain dispatcher p0 alone")
        assert no["status"] == "no-majority" and "no answer" in no["told"]
        assert not (await rig.told("p0", "out"))["agreed"]
        # The others grant it a place, but it does not begin without a majority.
        excuse(rig, "p0")
        assert await rig.settle(rig.terms.detection_bound(5) + rig.terms.spread_bound(5), among=others) is not None
        given = await rig.told("p1", "drain dispatcher p0 from here")
        assert given["status"] == "done" and given["state"] == "given"
        await trio.sleep(1.5)
        assert rig.processes["p0"].lives and (await rig.call("p0", "PING")).startswith("OK")
        found = await rig.told("p2", "drain dispatcher p4 too")
        assert found["status"] == "refused", found
        found = await rig.told("p1", "return dispatcher p0 never mind")
        assert found["status"] == "done", found
        rig.heal()
        assert await rig.settle(rig.terms.healing_bound(5)) is not None
        await agreed(rig, "p0", lambda found: found["agreed"] and not found["places"])

        # The holder of a place is killed: the place stays, even if all die, until it serves again.
        found = await rig.told("p1", "drain host w2 disk")
        assert found["status"] == "done", found
        kill(rig, *rig.processes)
        (tmp_path / "register-p2" / FILE).unlink()  # and one disk is lost
        rig.start()
        assert await rig.settle(rig.terms.healing_bound(5) + STARTED) is not None
        found = await agreed(rig, "p4", has("host", "w2", "out"))
        assert found["voters"] == ["p0", "p1", "p2"]
        assert "lost" in (await rig.told("p2", "out"))["votes_here"]
        assert (await rig.told("p4", "return host w2 back"))["status"] == "done"  # two of three are a majority
        found = await rig.told("p3", "voters p2")
        assert found["status"] == "done", found
        assert (await rig.told("p2", "out"))["votes_here"] == "yes"
        # With it the majority bears the loss of another.
        kill(rig, "p0")
        found = await rig.told("p3", "drain host w1 disk")
        assert found["status"] == "done", found

    await with_register(tmp_path, scenario)


async def a_disk_that_takes_nothing_and_one_that_was_set_back(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        file = {name: tmp_path / f"register-{name}" / FILE for name in ("p0", "p1", "p2")}
        old = file["p1"].read_bytes()
        # A disk that fails writes: the other voters are a majority; without one of them the refusal names the reason.
        whole = file["p2"].rename(tmp_path / "whole")
        file["p2"].mkdir()
        found = await rig.told("p3", "drain host w0 disk")
        assert found["status"] == "done", found
        kill(rig, "p1")
        no = await rig.told("p3", "drain host w0 again")
        assert no["status"] == "no-majority" and "its disk takes nothing" in no["told"], no
        file["p2"].rmdir()
        whole.rename(file["p2"])
        found = await rig.told("p3", "return host w0 back")
        assert found["status"] == "done", found
        await trio.sleep(1.0)  # voters exchange their write counts with each poll
        # A file restored from an older copy has lost promises: the voter does not vote until it is reinstalled.
        file["p1"].write_bytes(old)
        rig.start("p1")
        assert await rig.settle(rig.terms.healing_bound(5) + STARTED) is not None
        kill(rig, "p2")
        no = await rig.told("p4", "drain host w1 disk")
        assert no["status"] == "no-majority" and "older copy" in no["told"], no
        rig.start("p2")
        assert await rig.settle(rig.terms.healing_bound(5) + STARTED) is not None
        found = await rig.told("p4", "voters p1")
        assert found["status"] == "done", found
        kill(rig, "p2")
        found = await rig.told("p4", "drain host w1 disk")
        assert found["status"] == "done", found

    await with_register(tmp_path, scenario)


async def holders_that_die_stop_or_fill_the_limit_by_themselves(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        # The holder is stopped before it begins and continues later: it begins only with a recent majority.
        excuse(rig, "p4")
        rig.stop("p4")
        found = await rig.told("p0", "drain dispatcher p4 kernel")
        assert found["status"] == "done" and found["state"] == "given", found
        assert await rig.until(lambda: not rig.agreed(["p0"]), 6.0) is not None  # it counts as out
        found = await rig.told("p1", "return dispatcher p4 never mind")
        assert found["status"] == "done", found
        rig.go_on("p4")
        assert await rig.settle(rig.terms.healing_bound(5)) is not None
        assert rig.processes["p4"].lives and (await rig.call("p4", "PING")).startswith("OK")
        # The holder dies while it drains: the place stays until it serves again.
        excuse(rig, "p4")
        found = await rig.told("p0", "drain dispatcher p4 kernel")
        assert found["status"] == "done", found
        await agreed(rig, "p1", lambda found: any(row["begun"] for row in found["places"]))
        kill(rig, "p4")
        await agreed(rig, "p1", has("dispatcher", "p4", "out"), 8.0)
        found = await rig.told("p1", "drain dispatcher p3 too")
        assert found["status"] == "refused", found
        rig.start("p4")
        await agreed(rig, "p1", lambda found: not found["places"], STARTED + 10.0)
        # A crashed member counts against the limit; a lowered limit refuses further requests.
        assert await rig.settle(rig.terms.healing_bound(5) + STARTED) is not None
        kill(rig, "p3")
        assert await rig.settle(rig.terms.detection_bound(5)) is not None
        no = await rig.told("p0", "drain dispatcher p4 kernel")
        assert no["status"] == "refused" and no["out"] == ["p3"], no
        rig.start("p3")
        assert await rig.settle(rig.terms.healing_bound(5) + STARTED) is not None
        found = await rig.told("p1", 'limits {"dispatchers":0,"hosts":1}')
        assert found["status"] == "done", found
        found = await rig.told("p0", "drain dispatcher p4 kernel")
        assert found["status"] == "refused", found

    await with_register(tmp_path, scenario)


async def a_program_that_heeds_no_limit_is_found_out(tmp_path: Path) -> None:
    command = (sys.executable, "-O", "-m", "tests.mutants", "unlimited")
    world = {**WORLD, "load": {"rate": 0.0}}
    async with open_rig(convert(world), 1, tmp_path, command) as rig:
        rig.truth.add("limit", limit=1)
        await rig.begin()
        await agreed(rig, "p2", lambda found: found["agreed"])
        for name in ("p3", "p4"):
            found = await rig.told("p2", f"drain dispatcher {name} both")
            assert found["status"] == "done", found
        assert await rig.until(lambda: "limited" in {found.check for found in checks.judge(rig.truth.rows)}, 12.0)


STORIES = {
    story.__name__: story
    for story in (
        one_is_out_at_a_time_whoever_asks,
        a_minority_changes_nothing_and_a_lost_vote_is_taken_in,
        a_program_that_heeds_no_limit_is_found_out,
        a_disk_that_takes_nothing_and_one_that_was_set_back,
        holders_that_die_stop_or_fill_the_limit_by_themselves,
    )
}


@pytest.mark.parametrize("story", STORIES)
def test_processes(story: str, played: Callable[[str], str]) -> None:
    assert played(story) == ""


def test_supplied_settings_are_valid_and_faulty_ones_rejected(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "releases.toml").read_text()
    plan = config.operator_file(str(ROOT / "deploy" / "releases.toml"), 0.0).releases
    assert plan is not None and plan.limits == Limits(1, "20%", 1) and len(plan.voters) == 3
    for old, new, fault in (
        ('hosts = "20%"', 'hosts = "x"', "fleet.out: "),
        ('hosts = "20%"', "host = 1", "fleet.out: "),
        ('dir = "register"', "", "fleet.register.dir: missing"),
        ("kigali-1 = ", "kigali-9 = ", "none of the voters"),
        ('"127.0.0.1:7961"', '"here"', "fleet.register.voters.kigali-2"),
        ("[fleet.register]", "[fleet.x]", "fleet.x"),
    ):
        refused(text, old, new, fault, tmp_path / "faulty.toml")


def test_model_checker_finds_each_seeded_flaw_and_none_in_the_register() -> None:
    assert check_register.walk("", 400, 1)["broken"] == ""
    assert check_register.explore("", 1500)["broken"] == ""
    assert {flaw: bool(check_register.walk(flaw, 3000, 2)["broken"]) for flaw in check_register.FLAWS} == dict.fromkeys(
        check_register.FLAWS, True
    )
