"""Fleet membership: state machines on a simulated faulty network in virtual time, datagrams, settings and calls."""

from __future__ import annotations

import itertools
import random
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from benchmarks.checks import fleet as check_fleet
from benchmarks.fleet.net import Net, halves
from tests.standins import Platform
from tests.support import GARBAGE, ROOT, play, refused, steady
from thistleshore import config
from thistleshore.admin import codec
from thistleshore.cli import commands
from thistleshore.fleet import Fleet, Record, Service, State, Terms, wire
from thistleshore.fleet.model import MAX_MEMBERS, OBSERVATIONS, TRANSITIONS, Send

TERMS = Terms(period=0.2)


def settled_fleet(count: int, seed: int = 1, versions: dict[str, int] | None = None) -> Net:
    names = [f"n{n}" for n in range(count)]
    net = Net(names, TERMS, seed, versions=versions)
    for name in names:
        net.start(name, names[:2])
    assert net.run_until(net.settled, TERMS.healing_bound(count) + 2) is not None
    net.run(net.now + 3.0)
    return net


def live_members_believed_dead(net: Net) -> set[tuple[str, str]]:
    """Return the pairs of an observer and a live member that it believes DEAD or LEFT."""
    return {(node.name, name) for node in net.nodes.values() if node.machine is not None
            for name, member in node.machine.members.items()
            if member.record.state >= State.DEAD and (n := net.nodes.get(name)) and n.machine is not None}  # fmt: skip


def death_events_after(net: Net, since: float) -> list[str]:
    return [event.name for node in net.nodes.values() for when, event in node.events
            if event.what == "died" and when > since]  # fmt: skip


@pytest.mark.parametrize("count", [3, 8, 16])
def test_a_fleet_settles_after_a_join_a_crash_and_a_restart(count: int) -> None:
    net = settled_fleet(count)
    # After a round of probes each member knows the digests of all others.
    known_count = net.run_until(lambda: all(m.majority and m.settled for m in net.live()), 2 * count * TERMS.period)
    assert known_count is not None
    net.kill("n1")
    assert net.run_until(net.settled, TERMS.detection_bound(count)) is not None
    net.start("n1", ["n0", "n1"])
    assert net.run_until(net.settled, TERMS.healing_bound(count)) is not None
    net.run(net.now + 3)
    assert net.settled() and not live_members_believed_dead(net)


@pytest.mark.parametrize("parts", [2, 3])
def test_a_partitioned_fleet_heals_and_only_a_majority_reports_majority(parts: int) -> None:
    net = settled_fleet(7)
    names = list(net.nodes)
    net.cut = halves(names, parts)
    groups = [names[n::parts] for n in range(parts)]
    bound = TERMS.detection_bound(7) + TERMS.spread_bound(7)
    assert net.run_until(lambda: all(net.settled(group) for group in groups), bound) is not None
    for group in groups:
        assert {net.nodes[name].machine.majority for name in group} == {2 * len(group) > 7}  # type: ignore[union-attr]
    if parts == 3:  # the first two groups reunite first
        net.cut = lambda a, b: (a in groups[2]) != (b in groups[2])
        assert net.run_until(lambda: net.settled(groups[0] + groups[1]), TERMS.healing_bound(7)) is not None
    net.cut = lambda a, b: False
    assert net.run_until(net.settled, TERMS.healing_bound(7)) is not None
    assert all(m.majority for m in net.live())


def test_a_member_that_joins_a_minority_reports_no_majority() -> None:
    net = settled_fleet(7)
    net.kill("n6")
    net.run(net.now + TERMS.detection_bound(7))
    net.cut = halves(net.nodes)
    net.run(net.now + TERMS.detection_bound(7))
    net.cut = lambda a, b: (a in ("n1", "n3", "n5", "n6")) != (b in ("n1", "n3", "n5", "n6"))
    net.kill("n1")
    joined = net.start("n6", ["n3"])
    net.run(net.now + TERMS.detection_bound(7))
    assert net.settled(["n3", "n5", "n6"]) and not joined.majority


def test_a_one_way_loss_between_two_members_declares_nobody_dead() -> None:
    net = settled_fleet(5)
    net.cut = lambda a, b: (a, b) == ("n0", "n1")
    since = net.now
    net.run(net.now + 30)
    assert net.settled() and not death_events_after(net, since)


@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_lost_datagrams_leave_no_live_member_dead(loss: float) -> None:
    net = settled_fleet(6)
    net.loss = loss
    net.run(net.now + 60)
    net.loss = 0.0
    assert net.run_until(net.settled, TERMS.healing_bound(6)) is not None
    assert not live_members_believed_dead(net)


@pytest.mark.parametrize("seconds", [0.5, 3.0, 30.0])
def test_a_stopped_member_declares_nobody_dead_and_returns(seconds: float) -> None:
    net = settled_fleet(5)
    since = net.now
    net.stop("n2", seconds)
    net.run(net.now + seconds)
    assert net.run_until(net.settled, TERMS.healing_bound(5)) is not None
    net.run(net.now + 2)
    assert set(death_events_after(net, since)) <= {"n2"} and (seconds > 1 or not death_events_after(net, since))
    assert not any(event.what == "suspected" and when > since + seconds for when, event in net.nodes["n2"].events)


def test_a_change_made_just_before_a_stop_reaches_all_members() -> None:
    net = settled_fleet(5, seed=3)
    machine = net.nodes["n2"].machine
    assert machine is not None
    machine.on_service(Service.DRAINING, net.now)  # no datagram with it was sent
    net.stop("n2", 3.0)
    net.run(net.now + 3.0)
    assert net.run_until(net.settled, TERMS.healing_bound(5)) is not None
    net.run(net.now + 2.0)
    assert all(r.service == Service.DRAINING for m in net.live() for r in m.living() if r.name == "n2")


def test_a_fleet_recovers_after_half_of_it_was_stopped() -> None:
    net = settled_fleet(8)
    for name in ("n0", "n2", "n4", "n6"):
        net.stop(name, 8.0)
    net.run(net.now + 7.9)
    assert not any(net.nodes[name].machine.majority for name in ("n1", "n3"))  # type: ignore[union-attr]
    net.run(net.now + 0.1)
    assert net.run_until(net.settled, TERMS.healing_bound(8)) is not None


def test_members_restarted_all_at_once_have_new_generations() -> None:
    net = settled_fleet(6)
    old = {m.own_record.name: m.own_record.generation for m in net.live()}
    for name in net.nodes:
        net.kill(name)
    for name in net.nodes:
        net.start(name, ["n0", "n1"])
    assert net.run_until(net.settled, TERMS.healing_bound(6)) is not None
    assert all(r.generation > old[r.name] for m in net.live() for r in m.living())


def test_five_restarts_in_ten_seconds_are_no_name_conflict() -> None:
    net = settled_fleet(4)
    for _ in range(5):
        net.kill("n3")
        net.run(net.now + 0.4)
        net.start("n3", ["n0", "n1"])
        net.run(net.now + 1.6)
    assert net.run_until(net.settled, TERMS.healing_bound(4)) is not None
    assert not any(event.what == "taken" for node in net.nodes.values() for _, event in node.events)


@pytest.mark.parametrize("generation", [1, 10**12])
def test_a_restart_with_the_clock_set_back_or_ahead_has_a_later_generation(generation: int) -> None:
    net = settled_fleet(4)
    before = net.nodes["n3"].machine.own_record.generation  # type: ignore[union-attr]
    net.kill("n3")
    machine = net.start("n3", ["n0", "n1"], generation=generation)
    assert net.run_until(net.settled, TERMS.healing_bound(4)) is not None
    net.run(net.now + 3)
    assert net.settled() and machine.own_record.generation > before and not machine.observing


def test_a_restart_whose_generation_is_known_already_takes_a_later_one() -> None:
    """Otherwise its datagrams, numbered from the start again, count as duplicates, and it becomes suspect."""
    net = settled_fleet(4)
    generation = net.nodes["n3"].machine.own_record.generation  # type: ignore[union-attr]
    net.kill("n3")
    machine = net.start("n3", ["n0", "n1"], generation=generation)
    assert net.run_until(net.settled, TERMS.healing_bound(4)) is not None
    since = net.now
    net.run(net.now + 5)
    assert machine.own_record.generation == generation + 1 and not machine.counts["refutations"]
    events = [event for node in net.nodes.values() for when, event in node.events if when > since]
    assert not any(event.what == "suspected" for event in events)


def test_datagrams_are_accepted_after_a_hot_restart_continues_a_generation() -> None:
    net = settled_fleet(4)
    node = net.nodes["n3"]
    before = node.machine
    assert before is not None
    me = msgspec.structs.replace(before.own_record, incarnation=before.own_record.incarnation + 64)
    node.machine = after = Fleet("f", me, TERMS, [net.nodes["n0"].address], net.now, 5, number=before.number + 1000)
    net._carry(node, after.on_time(net.now))
    since = net.now
    net.run(net.now + 5)
    assert net.settled() and after.own_record.generation == before.own_record.generation
    assert not any(event.what in ("suspected", "died", "returned") and when > since
                   for other in net.nodes.values() if other is not node for when, event in other.events)  # fmt: skip
    assert not any(m.counts["repeated"] for m in net.live())


@pytest.mark.parametrize("returns", [True, False])
def test_a_predecessor_that_resumes_must_exceed_the_numbers_of_its_successor(returns: bool) -> None:
    net = settled_fleet(5)
    old = net.nodes["n1"].machine
    assert old is not None
    me = msgspec.structs.replace(old.own_record, incarnation=old.own_record.incarnation + 64)
    new = Fleet("f", me, TERMS, [net.nodes["n0"].address], net.now, 1, number=old.number + 100_000)
    net.nodes["n1"].machine = new
    net._arm(net.nodes["n1"])
    net.run(net.now + 2.0)
    net.nodes["n1"].machine = old
    if returns:
        net._carry(net.nodes["n1"], old.on_return(128, 200_000, net.now))
    else:
        net._arm(net.nodes["n1"])
    at = net.now
    net.run(net.now + TERMS.detection_bound(5) + TERMS.spread_bound(5))
    assert ("n1" in death_events_after(net, at)) != returns


def test_a_member_whose_seeds_are_down_joins_once_one_is_up() -> None:
    net = settled_fleet(3)
    alone = Net(["x", "y"], TERMS, 4)
    machine = alone.start("x", ["y"])
    alone.run(5.0)
    assert not machine.observing and not machine.majority  # no seed answered: it may be partitioned
    alone.start("y", [])
    assert alone.run_until(alone.settled, TERMS.healing_bound(2)) is not None and machine.majority
    assert net.settled()


def test_two_partitions_of_one_fleet_merge() -> None:
    names = [f"n{n}" for n in range(6)]
    net = Net(names, TERMS, 5)
    net.cut = halves(names)
    for n, name in enumerate(names):
        net.start(name, [names[n % 2], names[1 - n % 2]])
    net.run(5.0)
    assert net.settled(names[::2]) and net.settled(names[1::2])
    net.cut = lambda a, b: False
    assert net.run_until(net.settled, TERMS.healing_bound(6)) is not None


def test_a_member_that_leaves_in_a_partition_can_rejoin_under_its_name() -> None:
    net = settled_fleet(5)
    net.cut = lambda a, b: (a in ("n3", "n4")) != (b in ("n3", "n4"))
    net.run(net.now + 1)
    net.leave("n4")
    net.run(net.now + 1)
    net.start("n4", ["n0", "n3"])
    net.run(net.now + 1)
    net.cut = lambda a, b: False
    assert net.run_until(net.settled, TERMS.detection_bound(5) + TERMS.healing_bound(5)) is not None


def test_a_leave_is_not_taken_for_a_crash() -> None:
    net = settled_fleet(6)
    since = net.now
    net.leave("n5")
    assert net.run_until(net.settled, TERMS.spread_bound(6)) is not None
    assert not death_events_after(net, since) and all(m.majority and m.known_count == 5 for m in net.live())
    net.run(net.now + TERMS.left_retention + 5)
    assert all("n5" not in m.members for m in net.live())


def test_duplicates_and_datagrams_of_an_earlier_generation_change_nothing() -> None:
    net = settled_fleet(4)
    net.repeat = 0.5
    kept: list[tuple[bytes, str]] = []
    carry = net._carry

    def keep(node: object, actions: object) -> None:
        actions = list(actions)  # type: ignore[call-overload]
        if node is net.nodes["n3"]:
            kept.extend((a.data, "127.0.0.1") for a in actions if isinstance(a, Send))
        carry(node, actions)  # type: ignore[arg-type]

    net._carry = keep  # type: ignore[method-assign, assignment]
    net.run(net.now + 3)
    net.leave("n3")
    net.run(net.now + 2)
    net.start("n3", ["n0"])
    assert net.run_until(net.settled, TERMS.healing_bound(4)) is not None
    machine = net.nodes["n0"].machine
    assert machine is not None and machine.counts["repeated"] > 0
    before = machine.counts["earlier_life"]
    for data, host in kept:
        net._carry(net.nodes["n0"], machine.on_datagram(data, host, net.now))
    net.run(net.now + 1)
    assert net.settled() and machine.counts["earlier_life"] > before


def test_of_two_processes_with_one_name_the_later_one_stays_out() -> None:
    net = settled_fleet(3)
    net.nodes["late"] = node = type(net.nodes["n0"])("late", ("127.0.0.1", 8999))
    net._by_address[node.address] = node
    late = net.start("late", ["n0", "n1"], called="n2")
    net.run(net.now + 5)
    first = net.nodes["n2"].machine
    assert first is not None and late.observing and late.rival is not None and not first.observing
    for who in ("n2", "late"):
        assert any(event.what == "taken" for _, event in net.nodes[who].events)
    assert all(
        m.members["n2"].record.address == first.own_record.address for m in net.live() if m.own_record.name != "n2"
    )
    # Once the earlier process is gone, the name is free.
    net.kill("n2")
    assert net.run_until(lambda: not late.observing, TERMS.max_call_interval * 2.5) is not None
    net.run(net.now + 3)
    assert all(
        m.members["n2"].record.address == late.own_record.address for m in net.live() if m.own_record.name != "n2"
    )


def test_two_processes_with_one_name_are_told_apart_after_a_partition() -> None:
    names = ["n0", "n1", "n2", "twin"]
    net = Net(names, TERMS, 8)
    net.cut = lambda a, b: (a in ("n1", "twin")) != (b in ("n1", "twin"))
    older = net.start("n2", ["n0", "n1"])
    net.start("n0", ["n0", "n1"])
    net.start("n1", ["n0", "n1"])
    younger = net.start("twin", ["n0", "n1"], called="n2")
    net.run(5)
    assert not older.observing and not younger.observing
    net.cut = lambda a, b: False
    net.run(net.now + TERMS.healing_bound(4))
    assert younger.observing and not older.observing
    assert all(
        m.members["n2"].record.address == older.own_record.address for m in net.live() if m.own_record.name != "n2"
    )


def test_forget_removes_dead_members_and_never_live_ones() -> None:
    net = settled_fleet(5)
    for name in ("n3", "n4"):
        net.kill(name)
    net.run(net.now + TERMS.detection_bound(5))
    machine = net.nodes["n0"].machine
    assert machine is not None
    assert not machine.on_forget("n1", net.now)[0] and not machine.on_forget("nobody", net.now)[0]
    for name in ("n3", "n4"):
        done, actions = machine.on_forget(name, net.now)
        assert done
        net._carry(net.nodes["n0"], actions)
    net.run(net.now + TERMS.spread_bound(5))
    assert all(m.known_count == 3 for m in net.live())


def test_members_of_two_wire_versions_settle() -> None:
    net = settled_fleet(5, versions={"n0": 1, "n2": 1})
    assert all(wire.HEADER.unpack_from(a.data)[1] == 1 for a in net.nodes["n1"].machine.on_leave(net.now)  # type: ignore[union-attr]
               if isinstance(a, Send) and a.address == net.nodes["n0"].address)  # fmt: skip


# -- datagrams

ME = Record("a", "127.0.0.1", 7950, "z", 5, 2, 0, 1, 2, "0.1.0", print="12ab34cd")
OTHER = Record("b", "127.0.0.1", 7951, "", 6, 0, 1, 0, 1, "0.1.0", by="a")
GOLDEN = {
    1: "744601f979e0619da16ba16205c2007b08ceaabbccdd9ba161a93132372e302e302e31cd1f0ea17a0502000102a5302e312e30a0a0c4"
       "00919ba162a93132372e302e302e31cd1f0fa00600010001a5302e312e30a16103",
    2: "744602d63fc0a79da16ba16205c2007b08ceaabbccdd9ca161a93132372e302e302e31cd1f0ea17a0502000102a5302e312e30a0a831"
       "32616233346364a0c400919ca162a93132372e302e302e31cd1f0fa00600010001a5302e312e30a161a003",
}  # fmt: skip


def message(records: tuple[Record, ...] = ()) -> wire.Message:
    return wire.Message("k", "b", 5, False, wire.PING, 123, 8, 0xAABBCCDD, ME, records=records, known_count=3)


@pytest.mark.parametrize("version", [1, 2])
def test_golden_datagrams_of_each_version(version: int) -> None:
    data, held = wire.write(message(), [OTHER], version, 1200)
    assert held == 1 and data.hex() == GOLDEN[version]
    found = wire.read(bytes.fromhex(GOLDEN[version]), "k", 1200)
    assert found.sender == (ME if version == 2 else msgspec.structs.replace(ME, print=""))
    assert list(found.records) == [OTHER] and found.known_count == 3


def test_fields_of_later_versions_are_ignored() -> None:
    data, _ = wire.write(message(), [], 2, 1200)
    values = msgspec.msgpack.decode(data[wire.HEADER.size :])
    values[8].append("new")
    values.append("newer")
    body = msgspec.msgpack.encode(values)
    later = wire.HEADER.pack(wire.MAGIC, 2, wire.crc32(body)) + body
    assert wire.read(later, "k", 1200).sender == ME


@steady
@given(GARBAGE, st.integers(0, 400), st.integers(1, 255))
def test_invalid_datagrams_change_nothing(data: bytes, at: int, flip: int) -> None:
    good, _ = wire.write(message(), [OTHER], 2, 1200)
    corrupted = bytearray(good)
    corrupted[at % len(corrupted)] ^= flip
    machine = Fleet("k", msgspec.structs.replace(ME, name="b"), TERMS, [("127.0.0.1", 1)], 0.0)
    framed = wire.HEADER.pack(b"tF", 2, wire.crc32(data)) + data
    for text in (data, bytes(corrupted), good[: at % len(good)], good + b"x", framed):
        assert machine.on_datagram(text, "127.0.0.1", 0.0) == []
    assert not machine.members and sum(machine.counts.values()) == 5


def test_rejected_datagrams_are_counted_by_reason() -> None:
    me = msgspec.structs.replace(ME, name="b")
    machine = Fleet("k", me, TERMS, [], 0.0, allowed=lambda host: host == "127.0.0.1")
    good, _ = wire.write(message(), [], 2, 1200)
    machine.on_datagram(good, "10.0.0.1", 0.0)
    machine.on_datagram(wire.write(msgspec.structs.replace(message(), fleet="x"), [], 2, 1200)[0], "127.0.0.1", 0.0)
    machine.on_datagram(b"tF\x09" + good[3:], "127.0.0.1", 0.0)
    machine.on_datagram(wire.write(msgspec.structs.replace(message(), to="q"), [], 2, 1200)[0], "127.0.0.1", 0.0)
    foreign_sender = msgspec.structs.replace(message(), sender=msgspec.structs.replace(ME, host="10.0.0.1"))
    machine.on_datagram(wire.write(foreign_sender, [], 2, 1200)[0], "127.0.0.1", 0.0)
    assert dict(machine.counts) == {"network": 2, "fleet": 1, "version": 1, "not_me": 1} and not machine.members


def test_the_number_of_members_is_bounded() -> None:
    machine = Fleet("k", msgspec.structs.replace(ME, name="b"), TERMS, [], 0.0)
    for n in range(MAX_MEMBERS + 50):
        sender = msgspec.structs.replace(ME, name=f"x{n}", port=1 + n)
        false = msgspec.structs.replace(message(), sender=sender)
        machine.on_datagram(wire.write(false, [], 2, 1200)[0], "127.0.0.1", 0.0)
    assert len(machine.members) == MAX_MEMBERS and machine.counts["crowd"] == 50


def test_datagrams_never_exceed_their_size_limit() -> None:
    names = [f"a-rather-long-name-of-a-member-{n:03}" for n in range(60)]
    net = Net(names, TERMS, 9)
    longest = 0
    carry = net._carry

    def measure(node: object, actions: object) -> None:
        nonlocal longest
        actions = list(actions)  # type: ignore[call-overload]
        longest = max([longest, *(len(a.data) for a in actions if isinstance(a, Send))])
        carry(node, actions)  # type: ignore[arg-type]

    net._carry = measure  # type: ignore[method-assign, assignment]
    for name in names:
        net.start(name, names[:2])
    assert net.run_until(net.settled, TERMS.healing_bound(60)) is not None
    assert 600 < longest <= TERMS.datagram


# -- precedence of records, in any order of arrival

RECORDS = st.builds(
    Record, st.sampled_from(["x", "y"]), st.just("127.0.0.1"), st.integers(1, 2), st.just(""), st.integers(1, 2),
    st.integers(0, 2), st.integers(0, 3), st.just(1), st.just(2), st.just("1"), st.sampled_from(["p", "q"]),
)  # fmt: skip


@steady
@given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
def test_merging_in_any_order_keeps_the_record_of_highest_precedence(told: list[Record], order: random.Random) -> None:
    """Compares with a naive model: the greatest (generation, incarnation, state) after a member is known alive."""
    alive = [Record(name, "127.0.0.1", 1, "", 1, 0, 0, 1, 2, "1") for name in ("x", "y")]
    naive = {name: max(r.order for r in [*told, *alive] if r.name == name) for name in ("x", "y")}
    for _ in range(3):
        machine = Fleet("k", ME, TERMS, [], 0.0)
        for record in [*alive, *told]:
            machine._merge(record, 0.0)
        assert {name: member.record.order for name, member in machine.members.items()} == naive
        order.shuffle(told)


class MembershipInvariants(RuleBasedStateMachine):
    """Invariants of one state machine that receives arbitrary records in any order and at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.machine = Fleet("k", ME, TERMS, [], 0.0)
        self.machine.observing = False
        self.before: dict[str, Record] = {}
        self.latest: dict[str, tuple[int, int, int]] = {}

    @rule(record=RECORDS)
    def said(self, record: Record) -> None:
        if record.name in self.latest or record.state < State.DEAD:
            self.latest[record.name] = max(record.order, self.latest.get(record.name, record.order))
        self.machine._merge(record, self.now)

    @rule(seconds=st.floats(0.01, 0.5))
    def time_passes(self, seconds: float) -> None:
        until = self.now + seconds
        while self.machine.due <= until:
            self.now = max(self.now, self.machine.due)
            self.machine.on_time(self.now)
        self.now = until

    @rule(name=st.sampled_from(["x", "y"]))
    def forgotten(self, name: str) -> None:
        self.machine.on_forget(name, self.now)

    @invariant()
    def holds(self) -> None:
        for name, member in self.machine.members.items():
            record, before = member.record, self.before.get(name)
            assert record.order[:2] == self.latest[name][:2]  # the latest record that the member itself published
            assert record.order >= self.latest[name]  # or a local state change of it, which only raises the precedence
            if before is not None and before.generation == record.generation:
                assert record.order >= before.order
            if before is not None and before.state >= State.DEAD and record.state < State.DEAD:
                assert record.order[:2] > before.order[:2]
        self.before = {name: member.record for name, member in self.machine.members.items()}
        for name in list(self.latest):
            if name not in self.machine.members:
                del self.latest[name]  # removed: a later record makes it a new member


MembershipInvariants.TestCase.settings = steady
TestMembershipInvariants = MembershipInvariants.TestCase


def test_only_a_record_of_its_own_brings_a_dead_member_back() -> None:
    for (state, seen), after in TRANSITIONS.items():
        if state in (State.DEAD, State.LEFT) and after not in (None, State.DEAD, State.LEFT):
            assert seen in (
                OBSERVATIONS[State.ALIVE],
                OBSERVATIONS[State.SUSPECT],
            )  # of a greater incarnation, which only the member itself creates
    assert {after for (state, _), after in TRANSITIONS.items() if state is None} == {State.ALIVE, State.SUSPECT}
    assert len(list(itertools.chain(TRANSITIONS))) == len(set(TRANSITIONS))


# -- settings and operators' calls


def test_the_example_settings_and_errors_in_them(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "fleet.toml").read_text()
    plan = config.operator_file(str(ROOT / "deploy" / "fleet.toml"), 0.0)
    assert plan.fleet is not None and plan.fleet.seeds == (("127.0.0.1", 7951), ("127.0.0.1", 7952))
    for old, new, fault in (
        ('name = "kigali"  ', 'name = "a b"  ', "fleet.name: 1 to 64"),
        ('zone = "a"', "zone = 3", "fleet.zone: a text"),
        ('from = ["127.0.0.0/8"]', 'from = ["10.0.0.0/8"]', "fleet.from: this member's own address"),
        ('from = ["127.0.0.0/8"]', 'from = ["x"]', "fleet.from: "),
        ("period = 1.0", "period = 0.0", "fleet.period: "),
        ('advertise = "127.0.0.1:7950"', 'advertise = "here:7950"', "fleet.advertise: an address is wanted"),
        ('"127.0.0.1:7952"]', '"127.0.0.1"]', "fleet.seeds[1]: "),
        ('zone = "a"', "sort = 1", "fleet.sort: unknown key"),
    ):  # fmt: skip
        refused(text, old, new, fault, tmp_path / "faulty.toml")


def test_check_finds_conflicts_between_settings_files(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "fleet.toml").read_text()
    files = []
    for n, changes in enumerate(({}, {"7950": "7951", "kigali-1": "kigali-2"}, {"7950": "7952"})):
        made = text
        for old, new in changes.items():
            made = made.replace(f":{old}" if old.isdigit() else old, f":{new}" if new.isdigit() else new)
        files.append(tmp_path / f"{n}.toml")
        files[-1].write_text(made)
    run = CliRunner().invoke(commands, ["check", *map(str, files)])
    assert run.exit_code == 2 and "'kigali-1' is another member" in run.stderr and "seeds" not in run.stderr
    assert CliRunner().invoke(commands, ["check", *map(str, files[:2])]).exit_code == 2  # no member has 7952
    assert CliRunner().invoke(commands, ["check", str(files[0])]).exit_code == 0


@pytest.mark.parametrize("line", ["FLEET", "FLEET x", "FLEET members a", "FLEET forget", "FLEET events"])
def test_malformed_fleet_calls_are_rejected(line: str) -> None:
    with pytest.raises(codec.BadCall, match="FLEET takes"):
        codec.read_call(line.encode())


def test_fleet_calls_without_a_fleet_table_are_refused() -> None:
    """`test_cli` shows that it does not import the fleet package."""

    async def scenario(at: Platform) -> None:
        assert await at.call(b"FLEET members") == b"ERR no [fleet] in the file\n"

    play(Platform().run, scenario)


def test_the_model_checker_finds_each_flawed_variant_and_no_fault_in_the_machine() -> None:
    assert check_fleet.explore(Fleet, 400)["broken"] == ""
    for kind in (check_fleet.Stubborn, check_fleet.Gullible, check_fleet.Hasty):
        assert check_fleet.explore(kind, 1500)["broken"], kind
