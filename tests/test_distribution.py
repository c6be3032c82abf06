"""The distribution of configuration: datagrams, bodies, the tree, one machine, and many of them in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import pytest
import zstandard
from hypothesis import given, settings, strategies as st

from benchmarks.distribution.history import Agreed, Counted, History, InForce, Reported, faults
from benchmarks.distribution.net import FLEET, REGISTER, World, zones_of
from tests.support import GARBAGE, steady
from thistleshore.distribution import wire
from thistleshore.distribution.bodies import BodyCache, BodyMismatch, decode, encode
from thistleshore.distribution.machine import Distributor
from thistleshore.addresses import Address
from thistleshore.distribution.model import (
    MAX_BODY_BYTES,
    NO_VERSION,
    RELAYS,
    Action,
    Apply,
    Peer,
    MemberReport,
    Send,
    Stamp,
    ProtocolSettings,
    digest_of,
    region_of,
)
from thistleshore.distribution.transfer import BodyFetch, Source, PartResult
from thistleshore.distribution.tree import Tree

SETTINGS = ProtocolSettings()
SPREAD_MOST = 18.0  # s from agreed to in force everywhere, whatever single fault there is
VOTERS = frozenset({"a"})
ME = Peer("b", ("127.0.0.1", 2), "r/z", 1, True)
OTHER = Peer("a", ("127.0.0.1", 1), "r/z", 1, True)


def body_of(number: int, lines: int = 60) -> bytes:
    """A body that differs in one line from its neighbours."""
    return b"".join(b"[member.m%04d]\nrate = %d\n" % (n, n if n != 7 else number) for n in range(lines))


def stamp_of(number: int, body: bytes, register: int = REGISTER, **more: Any) -> Stamp:
    return Stamp(register, number, more.pop("digest", digest_of(body)), more.pop("size", len(body)), **more)


def machine(stored: tuple[Stamp, bytes] | None = None, kind: type[Distributor] = Distributor) -> Distributor:
    """A member beside one voter."""
    made = kind(FLEET, ME, VOTERS, SETTINGS, 0.0, stored=stored)
    made.on_view([OTHER], 0.0)
    return made


def tell(to: Distributor, message: wire.Message, now: float = 0.0) -> list[wire.Message | Action]:
    """Have the other member say something; the answers, read."""
    found = to.on_datagram(wire.write(FLEET, OTHER.name, OTHER.generation, message), OTHER.address, now)
    return [wire.read(action.data, FLEET, 1200).message if isinstance(action, Send) else action for action in found]


# -- datagrams and bodies --------------------------------------------------------------------------


def test_a_datagram_is_read_as_it_was_written_and_nothing_else_is() -> None:
    stamp = stamp_of(3, b"x")
    data = wire.write(FLEET, "a", 4, wire.Report(1, REGISTER, 2, 3, "why", stamp))
    assert wire.read(data, FLEET, 1200) == wire.Envelope(FLEET, "a", 4, wire.Report(1, REGISTER, 2, 3, "why", stamp))

    def kind_of(changed: bytes, fleet: str = FLEET) -> str:
        with pytest.raises(wire.InvalidDatagram) as raised:
            wire.read(changed, fleet, 1200)
        return str(raised.value)

    assert kind_of(data, "another") == "fleet"
    assert kind_of(data[:2] + b"\x09" + data[3:]) == "version"
    assert kind_of(b"tF" + data[2:]) == "garbage"
    assert kind_of(data[:-1]) == "garbage"
    assert kind_of(data[:5]) == kind_of(data * 20) == "size"
    bad_stamps = (stamp_of(0, b"x"), stamp_of(1, b"x", digest="short"), Stamp(0, 1, digest_of(b""), 0))
    for bad in bad_stamps:
        assert kind_of(wire.write(FLEET, "a", 1, wire.Offer(bad))) == "garbage"


@steady
@given(st.integers(0, 300), st.integers(0, 300), st.binary(max_size=2000))
def test_a_body_comes_back_from_its_difference(first: int, second: int, tail: bytes) -> None:
    base, body = body_of(1, first), body_of(2, second) + tail
    stamp = stamp_of(2, body)
    assert decode(encode(body, base), base, stamp) == body
    assert decode(encode(body, None), None, stamp) == body


def test_a_changed_line_is_a_small_datagram_of_a_great_body() -> None:
    base, body = body_of(1, 9000), body_of(2, 9000)
    assert 200_000 < len(body) <= MAX_BODY_BYTES and len(encode(body, base)) < 200


def test_a_body_that_does_not_fit_its_version_is_refused_before_it_is_unpacked() -> None:
    body = body_of(1)
    stamp = stamp_of(1, body)
    bomb = zstandard.ZstdCompressor().compress(bytes(1 << 24))
    unsized = zstandard.ZstdCompressor(write_content_size=False).compress(body)
    for data in (bomb, unsized, encode(body, None)[:-1], encode(body_of(2), None), b"", b"\x28\xb5\x2f\xfd"):
        with pytest.raises(BodyMismatch):
            decode(data, None, stamp)
    with pytest.raises(BodyMismatch):
        decode(encode(body, b"base" * 50), b"other" * 50, msgspec.structs.replace(stamp, digest=digest_of(b"")))


def test_the_body_in_force_is_kept_beside_the_newest() -> None:
    bodies = BodyCache(2)
    for number in range(1, 6):
        bodies.add(stamp_of(number, body_of(number)), body_of(number), in_force=1)
    assert [number for number in range(1, 6) if bodies.get(number)] == [1, 4, 5]


# -- the tree --------------------------------------------------------------------------------------

members = st.lists(st.tuples(st.sampled_from(["", "a", *zones_of(2, 3)]), st.booleans()), min_size=1, max_size=24)


@steady
@given(members, st.integers(0, 3))
def test_every_member_reaches_a_voter_by_its_parents_and_is_a_child_of_one(
    drawn: list[tuple[str, bool]], voting: int
) -> None:
    peers = {f"n{n}": Peer(f"n{n}", ("h", n + 1), zone, 1, alive) for n, (zone, alive) in enumerate(drawn)}
    voters = frozenset(f"n{n}" for n in range(voting))
    living = {name: peer for name, peer in peers.items() if peer.alive}
    trees = {name: Tree(me, {n: p for n, p in peers.items() if n != name}, voters) for name, me in living.items()}
    for name, tree in trees.items():
        assert tree.zone_relays == next(iter(trees.values())).zone_relays
        own = tree.zone_relays[living[name].zone]
        assert len(own) == min(RELAYS, sum(peer.zone == living[name].zone for peer in living.values()))
        assert all(region_of(relay.zone) == living[name].region for relay in tree.region_relays[living[name].region])
        above = {peer.name for level in tree.parents for peer in level}
        known = voters.intersection(peers) - {name}
        top = {peer.name for peer in tree.parents[-1]} if known else set()
        assert name not in above and top == (known.intersection(living) or known)
        rank = _rank(name, tree, voters)
        for parent in (peer for level in tree.parents for peer in level if peer.alive and rank < 3):
            assert _rank(parent.name, trees[parent.name], voters) > rank
        if rank < 3 and voters & set(living):
            assert any(name in {child.name for child in other.children} for other in trees.values())


def _rank(name: str, tree: Tree, voters: frozenset[str]) -> int:
    return 3 if name in voters else 2 if tree.is_region_relay else 1 if tree.is_zone_relay else 0


def test_a_death_moves_only_the_place_of_the_dead() -> None:
    peers = {f"n{n}": Peer(f"n{n}", ("h", n + 1), "r/z", 1, True) for n in range(30)}
    me = peers.pop("n0")
    first, second = Tree(me, peers, VOTERS).zone_relays["r/z"]
    peers[first.name] = first._replace(alive=False)
    assert Tree(me, peers, VOTERS).zone_relays["r/z"][0] == second


# -- one machine -----------------------------------------------------------------------------------


def test_a_version_is_fetched_applied_and_only_then_reported() -> None:
    one = machine()
    body = body_of(1)
    stamp = stamp_of(1, body)
    acknowledged, fetch = tell(one, wire.Offer(stamp))
    assert acknowledged == wire.Acknowledge(1) and isinstance(fetch, wire.Fetch)
    data = encode(body, None)
    found = tell(one, wire.Part(fetch.transfer, 0, len(data), 1, 0, data))
    assert Apply(stamp, body) in found and one.applied == NO_VERSION and one.known == stamp
    assert all(not isinstance(message, wire.Report) for message in found)
    reports = one.on_applied(stamp, 0.1)
    assert one.applied == stamp and len(reports) == 1 and one.body(1) == body


def test_only_one_version_is_applied_at_a_time_and_the_newest_is_the_next() -> None:
    one = machine()
    stamps = [stamp_of(number, body_of(number)) for number in range(4)]
    assert one.on_agreed(stamps[1], body_of(1), 0.0)[-1] == Apply(stamps[1], body_of(1))
    for number in (2, 3):
        assert not [a for a in one.on_agreed(stamps[number], body_of(number), 0.0) if isinstance(a, Apply)]
    assert one.on_applied(stamps[1], 0.1)[-1] == Apply(stamps[3], body_of(3))
    assert not [a for a in one.on_refused(stamps[3], "no such host " * 40, 0.2) if isinstance(a, Apply)]
    assert one.applied == stamps[1]
    row = one.spread(3, 0.2).zones[0].behind[0]
    assert (row.name, row.applied, row.refused) == ("b", 1, 3) and row.reason.startswith("no such host")
    one.on_agreed(stamp_of(4, body_of(4)), body_of(4), 0.3)
    one.on_applied(stamp_of(4, body_of(4)), 0.4)
    row = one.spread(9, 0.4).zones[0].behind[0]
    assert (row.applied, row.refused, row.reason) == (4, 0, "")


def test_nothing_older_and_nothing_of_another_register_or_content_counts() -> None:
    held = stamp_of(5, body_of(5)), body_of(5)
    one = machine(held)
    for stamp, kind in (
        (stamp_of(4, body_of(4)), ""),
        (stamp_of(9, body_of(9), register=8), "other_register"),
        (stamp_of(5, body_of(6)), "conflict"),
        (stamp_of(6, b"", size=MAX_BODY_BYTES + 1), "too_large"),
    ):
        found = tell(one, wire.Offer(stamp))
        assert found[0] == wire.Acknowledge(stamp.number)
        assert not [message for message in found if isinstance(message, wire.Fetch | Apply)]
        assert not kind or one.counts[kind] == 1
        assert one.known == one.applied == held[0]
    one.on_agreed(stamp_of(6, b"", size=MAX_BODY_BYTES + 1), None, 0.0)
    assert one.spread(6, 0.0).zones[0].behind[0].reason.startswith("a body of")


@pytest.mark.parametrize("kind", ["altered", "too many", "too long", "another encoding", "lacking", "silent"])
def test_another_source_is_asked_after_one_that_is_of_no_use(kind: str) -> None:
    one = Distributor(FLEET, ME, frozenset({"a", "c"}), SETTINGS, 0.0, stored=(stamp_of(1, body_of(1)), body_of(1)))
    third = Peer("c", ("127.0.0.1", 3), "s/z", 1, True)
    one.on_view([OTHER, third], 0.0)
    body = body_of(2, 2000)
    stamp, data = stamp_of(2, body), encode(body, None)
    _, fetch = tell(one, wire.Offer(stamp))
    assert isinstance(fetch, wire.Fetch) and fetch.base == 1
    if kind == "silent":
        found = [*one.on_time(0.4), *one.on_time(0.8)]
    else:
        wrong: dict[str, wire.Message] = {
            "altered": wire.Part(fetch.transfer, 0, len(data), 1, 0, data[:100] + b"?" + data[101:]),
            "too many": wire.Part(fetch.transfer, 0, 1 << 30, 4000, 0, data[:100]),
            "too long": wire.Part(fetch.transfer, 0, 99, 2, 0, data[:100]),
            "another encoding": wire.Part(fetch.transfer, 9, len(data), 1, 0, data),
            "lacking": wire.BodyUnavailable(fetch.transfer),
        }
        one.settings = one.settings._replace(max_datagram_bytes=60_000)
        found = one.on_datagram(wire.write(FLEET, "a", 1, wrong[kind]), OTHER.address, 0.8)
    sent = [
        (action.address, wire.read(action.data, FLEET, 1200).message) for action in found if isinstance(action, Send)
    ]
    address, again = [(address, message) for address, message in sent if isinstance(message, wire.Fetch)][-1]
    assert address == third.address
    assert isinstance(again, wire.Fetch) and again.transfer != fetch.transfer
    assert one.counts["mismatch"] == (kind not in ("lacking", "silent"))
    assert again.base == 1 - one.counts["mismatch"], "whole, after what did not fit"
    late = tell(one, wire.Part(fetch.transfer, 0, len(data), 1, 0, data[:900]), 0.9)
    assert late == [] and one.counts["stray_part"] == 1 and one.applied.number == 1


def test_a_body_that_is_coming_in_is_not_given_up_for_a_newer_one() -> None:
    one = machine()
    bodies = {number: random.Random(number).randbytes(20_000) for number in (1, 2)}
    data = encode(bodies[1], None)
    parts = [data[at : at + 1000] for at in range(0, len(data), 1000)]
    _, fetch = tell(one, wire.Offer(stamp_of(1, bodies[1])))
    assert isinstance(fetch, wire.Fetch)
    found: list[wire.Message | Action] = []
    for index, part in enumerate(parts):
        found = tell(one, wire.Part(fetch.transfer, 0, len(data), len(parts), index, part), 0.001)
        if index == 3:
            assert tell(one, wire.Offer(stamp_of(2, bodies[2])), 0.001) == [wire.Acknowledge(2)]
    assert Apply(stamp_of(1, bodies[1]), bodies[1]) in found
    assert [(m.number, m.base) for m in found if isinstance(m, wire.Fetch)] == [(2, 1)]
    assert one.known.number == 2


def test_a_source_that_falls_silent_is_asked_ever_more_seldom() -> None:
    fetching = BodyFetch(stamp_of(1, b"x" * 5000), NO_VERSION, [Source("a", ("h", 1))], SETTINGS, 1)
    fetching.request(0.0)
    assert fetching.on_part(wire.Part(1, 0, 5000, 20, 0, b"x" * 250), 0.001) is PartResult.MORE
    asked = []
    while fetching.on_timeout(fetching.due):
        asked.append(fetching.due)
        fetching.request_again(fetching.due)
    assert (
        3 <= len(asked) <= 7 and asked[0] < 0.05 and fetching.due == pytest.approx(0.001 + 2 * SETTINGS.answer_timeout)
    )


def sent_in(one: Distributor, until: float, kind: type[wire.Message]) -> list[tuple[float, Address]]:
    """When it sends such messages up to that time, where nobody answers, and to whom."""
    found = []
    while one.due <= until:
        now = one.due
        for action in one.on_time(now):
            if isinstance(action, Send) and isinstance(wire.read(action.data, FLEET, 1200).message, kind):
                found.append((now, action.address))
    return found


def test_an_offer_is_sent_again_until_it_is_acknowledged() -> None:
    silent, answered = machine(), machine()
    for one in (silent, answered):
        one.on_agreed(stamp_of(1, body_of(1)), body_of(1), 0.0)
    assert tell(answered, wire.Acknowledge(1)) == [] and sent_in(answered, 30.0, wire.Offer) == []
    assert len(sent_in(silent, 0.5, wire.Offer)) == 1
    silent.on_view([OTHER._replace(alive=False)], 0.5)
    assert sent_in(silent, 5.0, wire.Offer) == []
    silent.on_view([OTHER], 5.0)
    assert len(sent_in(silent, 30.0, wire.Offer)) == SETTINGS.retries


def test_a_report_without_an_answer_goes_to_the_next_and_then_waits() -> None:
    one = Distributor(FLEET, ME, frozenset({"a", "c"}), SETTINGS, 0.0, seed=1)
    one.on_view([OTHER, Peer("c", ("127.0.0.1", 3), "s/z", 1, True)], 0.0)
    reports = sent_in(one, 120.0, wire.Report)
    rounds = list(zip(reports[::2], reports[1::2], strict=False))
    assert all(
        first[1] != second[1] and second[0] - first[0] == pytest.approx(SETTINGS.answer_timeout)
        for first, second in rounds
    )
    gaps = {round(later[0][0] - earlier[1][0], 2) for earlier, later in zip(rounds, rounds[1:], strict=False)}
    assert 1.5 < min(gaps) < 3.0 < 5.0 < max(gaps) < SETTINGS.max_wait + 2 * SETTINGS.answer_timeout
    assert (
        one.on_datagram(wire.write(FLEET, "b", 1, wire.ReportsRequest()), ME.address, 120.0) == []
        and one.counts["own"] == 1
    )


def test_a_voter_that_is_no_relay_reports_to_the_relays_of_its_zone_too() -> None:
    peers = [Peer(f"p{n}", ("127.0.0.1", n + 9), "r/z", 1, True) for n in range(20)]
    one = Distributor(FLEET, ME, frozenset({"b", "c"}), SETTINGS, 0.0)
    one.on_view([*peers, Peer("c", ("127.0.0.1", 3), "s/z", 1, True)], 0.0)
    relays = Tree(ME, {peer.name: peer for peer in peers}, frozenset({"b"})).own_zone_relays
    assert len(relays) == RELAYS
    told = {address for _, address in sent_in(one, 5.0, wire.Report)}
    assert told == {("127.0.0.1", 3), *(relay.address for relay in relays)}


def test_a_relay_with_many_transfers_says_when_to_come_back() -> None:
    body = random.Random(1).randbytes(50_000)
    one = Distributor(FLEET, ME, VOTERS, SETTINGS._replace(max_transfers=1), 0.0, stored=(stamp_of(1, body), body))
    one.on_view([OTHER, OTHER._replace(name="c", address=("127.0.0.1", 3))], 0.0)
    fetch = wire.Fetch(9, 1, digest_of(body), 0, "", (0, 1, 2))
    assert len(tell(one, fetch)) == 3
    busy = wire.write(FLEET, "c", 1, fetch)
    (answer,) = one.on_datagram(busy, ("127.0.0.1", 3), 0.1)
    assert isinstance(answer, Send)
    message = wire.read(answer.data, FLEET, 1200).message
    assert isinstance(message, wire.Busy) and message.transfer == 9 and message.after > 0
    assert len(one.on_datagram(busy, ("127.0.0.1", 3), 5.0)) == 3, "the first has asked for nothing since"
    stranger = wire.write(FLEET, "nobody", 1, fetch)
    assert one.on_datagram(stranger, ("127.0.0.1", 9), 5.0) == [] and one.counts["stranger"] == 1


def test_a_version_that_nobody_has_is_forgotten_and_the_true_one_taken() -> None:
    one = machine()
    false, body = stamp_of(1 << 40, b"", size=9, register=3), body_of(1)
    assert one.known == NO_VERSION
    tell(one, wire.Offer(false))
    assert one.known == false
    for now in (0.4, 0.8):
        one.on_time(now)
    assert one.known == NO_VERSION and one.counts["unfetched"] == 1
    assert Apply(stamp_of(1, body), body) in one.on_agreed(stamp_of(1, body), body, 1.0)


def test_all_fresh_reports_are_told_in_datagrams_that_fit() -> None:
    peers = [Peer(f"member-{n:04}", ("127.0.0.1", n + 9), "r/z", n, True) for n in range(400)]
    held = stamp_of(5, body_of(5)), body_of(5)
    relay, asker = machine(held), Distributor(FLEET, OTHER, VOTERS, SETTINGS, 0.0, stored=held)
    relay.on_view([OTHER, *peers], 0.0)
    asker.on_view([ME, *peers], 0.0)
    for n, peer in enumerate(peers):
        report = wire.Report(0, REGISTER, 5 - n % 2, 5 * (n % 5 == 0), "\u00e9" * 100 if n % 5 == 0 else "", NO_VERSION)
        relay.on_datagram(wire.write(FLEET, peer.name, peer.generation, report), peer.address, n / 1000)
    told = relay.on_datagram(wire.write(FLEET, "a", 1, wire.ReportsRequest()), OTHER.address, 1.0)
    for action in told:
        assert isinstance(action, Send) and len(action.data) <= SETTINGS.max_datagram_bytes
        asker.on_datagram(action.data, ME.address, 1.0)
    (zone,) = asker.spread(5, 1.0).zones
    assert (zone.members, zone.applied, len(zone.behind), zone.unknown) == (402, 202, 200, ())
    assert sum(row.refused == 5 and len(row.reason) == 100 for row in zone.behind) == 40
    (later,) = asker.spread(5, SETTINGS.report_lifetime + 0.2).zones
    assert 195 < len(later.unknown) < 205, "a report is as old as it was where it was heard"


@steady
@given(st.lists(GARBAGE, max_size=8), st.integers(0, 500), st.integers(1, 255))
def test_garbage_and_a_changed_bit_are_counted_and_change_nothing(flood: list[bytes], place: int, flip: int) -> None:
    held = stamp_of(5, body_of(5)), body_of(5)
    one = machine(held)
    offer = bytearray(wire.write(FLEET, "a", 1, wire.Offer(stamp_of(6, body_of(6)))))
    offer[place % len(offer)] ^= flip
    due = one.due
    for data in [*flood, bytes(offer), *(b"tC\x01" + data for data in flood)]:
        assert one.on_datagram(data, ("127.0.0.1", 7), 0.0) == []
    spoilt = sum(one.counts[kind] for kind in ("garbage", "size", "version", "fleet"))
    assert spoilt == one.counts["heard"] == 2 * len(flood) + 1
    assert (one.known, one.applied, one.due) == (held[0], held[0], due)


def test_only_own_fresh_reports_of_the_life_in_the_view_count() -> None:
    one = machine((stamp_of(5, body_of(5)), body_of(5)))

    def other_at(now: float) -> str:
        zone = one.spread(5, now).zones[0]
        assert zone.members == 2
        return "unknown" if zone.unknown else "behind" if zone.behind else "applied"

    def report(applied: int, register: int = REGISTER) -> wire.Report:
        return wire.Report(1, register, applied, 0, "", NO_VERSION)

    assert other_at(0.0) == "unknown"
    tell(one, report(4))
    assert other_at(0.1) == "behind"
    tell(one, report(5), 1.0)
    tell(one, report(4), 1.1)
    assert other_at(1.1) == "applied", "a report that was overtaken"
    assert other_at(1.0 + SETTINGS.report_lifetime + 0.1) == "unknown", "stale"
    one.on_view([OTHER._replace(alive=False)], 1.2)
    assert other_at(1.2) == "unknown", "dead by the view"
    one.on_view([OTHER._replace(generation=2)], 1.3)
    assert other_at(1.3) == "unknown", "another life"
    one.on_view([OTHER], 1.3)
    assert other_at(1.3) == "applied"
    tell(one, report(99, register=3), 1.4)
    assert other_at(1.4) == "behind", "of another register"


def test_a_report_that_was_told_by_others_is_not_told_on() -> None:
    one = machine((stamp_of(5, body_of(5)), body_of(5)))
    third = Peer("c", ("127.0.0.1", 3), "r/z", 1, True)
    one.on_view([OTHER, third], 0.0)
    rows = wire.ReportBatch(0, 0, b"", (wire.AgedReport(MemberReport("c", 1, 5), REGISTER, 100),))
    tell(one, rows)
    assert one.spread(5, 0.1).zones[0].unknown == (OTHER.name,)
    tell(one, wire.Report(1, REGISTER, 5, 0, "", NO_VERSION), 0.2)
    (told,) = tell(one, wire.ReportsRequest(), 0.3)
    assert isinstance(told, wire.ReportBatch) and len(told.members) == 2 * 10, "itself, and whom it heard"


def test_a_report_that_waited_while_the_process_was_stopped_is_as_old_as_the_stop() -> None:
    one = machine((stamp_of(5, body_of(5)), body_of(5)))
    report = wire.Report(1, REGISTER, 5, 0, "", NO_VERSION)
    last = one.due
    one.on_time(last)
    resumed = last + SETTINGS.report_lifetime + 1.0
    one.on_time(resumed)
    tell(one, report, resumed + 0.01)
    assert one.spread(5, resumed + 0.02).zones[0].unknown == (OTHER.name,)
    assert one.counts["stalls"] == 1
    one.on_time(one.due)
    tell(one, report, resumed + 0.5)
    assert not one.spread(5, resumed + 0.6).zones[0].unknown


# -- many machines ---------------------------------------------------------------------------------


def world(size: int, seed: int = 1, **more: Any) -> World:
    regions, each = (1, 1) if size < 9 else (3, 1) if size < 45 else (5, 3)
    return World(size, zones_of(regions, each), seed, **more)


def pushed(fleet: World, number: int, most: float = SPREAD_MOST) -> float:
    """Push a version; the time until it is in force everywhere."""
    assert fleet.push(body_of(number)) == number
    took = fleet.run_until(lambda: fleet.in_force(number), most)
    assert took is not None, f"not in force at {[n.name for n in fleet.living() if n.in_force.number < number]}"
    return took


def sound(fleet: World) -> World:
    assert faults(fleet.history) == []
    return fleet


@pytest.mark.parametrize(
    ("size", "loss", "most"),
    [
        (3, 0.0, 1.0),
        (9, 0.0, 1.0),
        (45, 0.0, 1.0),
        (200, 0.0, 1.0),
        (3, 0.1, 6.0),
        (9, 0.1, 6.0),
        (45, 0.1, 6.0),
        (200, 0.1, 6.0),
    ],
)
def test_versions_reach_all(size: int, loss: float, most: float) -> None:
    fleet = world(size, loss=loss, repeat=loss / 2, reorder=loss)
    fleet.run(5.0)
    for number in range(1, 3):
        assert pushed(fleet, number) < most
    sound(fleet)


def test_versions_in_quick_succession_end_at_the_newest() -> None:
    fleet = world(45, seed=4, loss=0.1, repeat=0.1, reorder=0.2)
    for number in range(1, 41):
        fleet.at(2.0 + 0.1 * number, partial(fleet.push, body_of(number)))
    fleet.run(7.0)
    assert fleet.run_until(lambda: fleet.in_force(40), 8.0) is not None
    sound(fleet)


@pytest.mark.parametrize(("loss", "transfers"), [(0.02, 3), (0.1, 16)])
def test_a_great_body_with_nothing_in_common_comes_by_parts(loss: float, transfers: int) -> None:
    fleet = world(45, seed=2, loss=loss, terms=SETTINGS._replace(max_transfers=transfers))
    fleet.run(4.0)
    body = random.Random(3).randbytes(MAX_BODY_BYTES)
    assert fleet.push(body) == 1
    relay = next(name for name in relays_of(fleet) if name not in fleet.voters)
    fleet.at(fleet.now + 1.0, partial(fleet.kill, relay))
    fleet.at(fleet.now + 3.0, partial(fleet.restart, relay))
    assert fleet.run_until(lambda: fleet.in_force(1), SPREAD_MOST) is not None
    busy = sum(node.machine.counts["busy"] for node in fleet.living() if node.machine)
    assert (busy > 0) == (transfers == 3)
    sound(fleet)


def relays_of(fleet: World, voters: bool = True) -> list[str]:
    """All relays, and the voters with them."""
    found = set(fleet.voters) if voters else set()
    for node in fleet.living():
        assert node.machine is not None
        tree = node.machine._tree
        if tree.is_zone_relay:
            found.add(node.name)
    return sorted(found)


@pytest.mark.parametrize("seed", range(8))
def test_relays_and_a_voter_die_between_any_two_steps(seed: int) -> None:
    fleet = world(45, seed=seed, loss=0.02)
    chance = random.Random(seed)
    fleet.run(4.0)
    relays = relays_of(fleet)
    doomed = [chance.choice(sorted(fleet.voters)), *chance.sample(sorted(set(relays) - fleet.voters), 4)]
    for name in doomed:
        fleet.at(fleet.now + chance.uniform(0.0, 0.4), partial(fleet.kill, name))
    fleet.run(fleet.now)
    pushed(fleet, 1)
    for name in doomed:
        fleet.restart(name)
    pushed(fleet, 2)
    fleet.run(fleet.now + 10.0)
    assert fleet.in_force(2)
    sound(fleet)


def test_a_region_that_returns_is_no_herd_and_catches_up() -> None:
    fleet = world(90, seed=5)
    fleet.run(5.0)
    away = {node.name for node in fleet.living() if node.region == "r4"}
    fleet.cut(lambda a, b: (a in away) != (b in away))
    fleet.clear_counts()
    for number in range(1, 4):
        fleet.push(body_of(number))
        fleet.run(fleet.now + 15.0)
    assert {node.in_force.number for node in fleet.living() if node.name in away} == {0}
    fleet.heal()
    assert fleet.run_until(lambda: fleet.in_force(3), SPREAD_MOST) is not None
    fleet.run(fleet.now + 5.0)
    assert max(node.busiest for node in fleet.nodes.values()) < 60
    sound(fleet)


def test_what_was_durable_is_in_force_after_a_restart() -> None:
    fleet = world(9, seed=6)
    fleet.run(4.0)
    fleet.push(body_of(1))
    hit = 0
    while hit < 5 and fleet.now < 10.0:
        fleet.run(fleet.now + 0.002)
        for node in fleet.living():
            if node.disk is not None and node.in_force.number < node.disk[0].number:
                fleet.kill(node.name)
                fleet.restart(node.name)
                assert node.in_force.number == 1
                hit += 1
    assert hit == 5
    pushed(fleet, 2)
    sound(fleet)


def test_a_version_of_a_newer_format_is_passed_on_and_named() -> None:
    fleet = world(9, seed=7)
    fleet.run(4.0)
    pushed(fleet, 1)
    assert fleet.push(body_of(2), format=2) == 2
    fleet.run(fleet.now + 6.0)
    assert {node.in_force.number for node in fleet.living()} == {1}
    assert all(node.machine and node.machine.known.number == 2 for node in fleet.living())
    fleet.request_reports("n4")
    fleet.run(fleet.now + 0.5)
    rows = [row for zone in fleet.spread("n4", 2).zones for row in zone.behind]
    assert len(rows) == 9 and {row.reason for row in rows} == {"format 2 is newer than 1"}
    pushed(fleet, 3)
    sound(fleet)


def test_who_refuses_is_named_and_takes_the_next() -> None:
    fleet = world(45, seed=8)
    fleet.run(4.0)
    fleet.nodes["n31"].refuses = lambda stamp: "host.x: no such contract" if stamp.number == 1 else ""
    fleet.push(body_of(1))
    fleet.run(fleet.now + 2.0)
    fleet.request_reports("n0")
    fleet.run(fleet.now + 0.5)
    spread = fleet.spread("n0", 1)
    assert [(row.name, row.applied, row.refused, row.reason) for zone in spread.zones for row in zone.behind] == [
        ("n31", 0, 1, "host.x: no such contract")
    ]
    assert not any(zone.unknown for zone in spread.zones) and not spread.everywhere
    pushed(fleet, 2)
    sound(fleet)


def test_all_is_counted_within_seconds_and_a_dead_member_never() -> None:
    fleet = world(45, seed=9, loss=0.05, voters=5)
    fleet.run(12.0)
    assert fleet.voters - set(relays_of(fleet, voters=False)), "one of them reports to relays only for this"

    def counted(number: int) -> bool:
        fleet.request_reports("n7")
        fleet.run(fleet.now + 0.3)
        return fleet.spread("n7", number).everywhere

    pushed(fleet, 1)
    assert fleet.run_until(lambda: counted(1), 6.0) is not None
    fleet.run(fleet.now + 20.0)
    assert fleet.run_until(lambda: counted(1), 6.0) is not None
    fleet.kill("n20")
    fleet.run(fleet.now + 9.0)
    pushed(fleet, 2)
    fleet.run(fleet.now + 4.0)
    assert not counted(2)
    assert [name for zone in fleet.spread("n7", 2).zones for name in zone.unknown] == ["n20"]
    fleet.restart("n20")
    assert fleet.run_until(lambda: counted(2), SPREAD_MOST) is not None
    sound(fleet)


def test_an_ordinary_member_sends_and_hears_little_however_many_there_are() -> None:
    rates = {}
    for size in (45, 180):
        fleet = world(size, seed=10, recorded=False)
        fleet.run(5.0)
        pushed(fleet, 1)
        fleet.run(fleet.now + 5.0)
        ordinary = next(node for name, node in fleet.nodes.items() if name not in relays_of(fleet))
        fleet.clear_counts()
        fleet.run(fleet.now + 60.0)
        rates[size] = (ordinary.sent_bytes + ordinary.heard_bytes) / 60.0
    assert max(rates.values()) < 200.0 and max(rates.values()) < 1.3 * min(rates.values())


def test_the_same_seed_is_the_same_run() -> None:
    def played() -> list[Any]:
        fleet = world(9, seed=11, loss=0.1, repeat=0.1, reorder=0.1)
        fleet.run(3.0)
        pushed(fleet, 1)
        return [fleet.history.events, *((node.sent, node.sent_bytes) for node in fleet.nodes.values())]

    assert played() == played()


def region_of_node(fleet: World, number: int) -> set[str]:
    region = f"r{number % 3}"
    return {node.name for node in fleet.nodes.values() if node.region == region}


def fault(fleet: World, kind: str, number: int) -> None:
    """One step of a random story; a majority of the voters stays."""
    name = f"n{number % 12}"
    if kind == "kill" and not any(not fleet.nodes[voter].alive for voter in fleet.voters - {name}):
        fleet.kill(name)
    elif kind == "restart":
        fleet.restart(name)
    elif kind == "cut":
        away = region_of_node(fleet, number)
        fleet.heal()
        fleet.cut(lambda a, b: (a in away) != (b in away))
    elif kind == "push":
        fleet.push(body_of(number, 5 + 300 * (number % 3)))
    fleet.run(fleet.now + number / 7)


steps = st.tuples(st.sampled_from(["kill", "kill", "restart", "restart", "cut", "push", "push"]), st.integers(0, 60))


@settings(steady, max_examples=60)
@given(st.lists(steps, max_size=12), st.integers(0, 99))
def test_whatever_happened_the_newest_is_in_force_once_it_is_over(story: list[tuple[str, int]], seed: int) -> None:
    fleet = World(12, zones_of(3, 2), seed, loss=0.03, repeat=0.05, reorder=0.1)
    fleet.run(2.0)
    for kind, number in story:
        fault(fleet, kind, number)
    fleet.heal()
    for node in fleet.nodes.values():
        if not node.alive:
            fleet.restart(node.name)
    newest = fleet.push(body_of(999))
    assert newest and fleet.run_until(lambda: fleet.in_force(newest), SPREAD_MOST) is not None
    sound(fleet)


# -- the checker, and the flawed forms that it has to find -------------------------------------------


def test_the_checker_names_what_does_not_hold() -> None:
    history = History()
    for event in (
        Agreed(0.0, 1, "x"),
        Agreed(0.0, 2, "y"),
        InForce(1.0, "a", 1, "x", False),
        Reported(1.0, "a", 1),
        InForce(1.0, "b", 1, "y", False),
        Reported(1.1, "c", 1),
        InForce(2.0, "a", 0, "", True),
        Counted(3.0, 1, ("a",)),
    ):
        history.add(event)
    kinds = [fault.partition(":")[0] for fault in faults(history)]
    assert kinds == ["content", "reported", "back", "durable", "counted"]


class BelievesOld(Distributor):
    """An old relay is believed: what differs is taken for newer."""

    @staticmethod
    def _newer(stamp: Stamp, than: Stamp) -> bool:
        return stamp.number not in (0, than.number)


class ReportsEarly(Distributor):
    """A version is reported when it is handed over, before it is durable."""

    def _apply_newest(self, now: float) -> None:
        super()._apply_newest(now)
        if self._applying is not None and self._newer(self._applying, self.applied):
            self.applied = self._applying
            self._report(now, everywhere=True)


def stale_disk(fleet: World) -> None:
    """An instance that was away for two versions comes back, on what its disk had."""
    for number in range(1, 4):
        if number == 2:
            fleet.kill("n5")
        fleet.push(body_of(number))
        fleet.run(fleet.now + 3.0)
    fleet.restart("n5")
    fleet.run(fleet.now + 5.0)


def killed_while_writing(fleet: World) -> None:
    """Members are killed one at a time, each a moment later after a push than the one before."""
    for number in range(1, 25):
        fleet.push(body_of(number))
        name = f"n{3 + number % 6}"
        fleet.run(fleet.now + 0.01 * number)
        fleet.kill(name)
        fleet.run(fleet.now + 1.0)
        fleet.restart(name)
        fleet.run(fleet.now + 2.0)


@pytest.mark.parametrize(
    ("flawed", "story", "invariant"),
    [
        (BelievesOld, stale_disk, "back"),
        (ReportsEarly, killed_while_writing, "durable"),
    ],
)
def test_the_flawed_forms_are_found_and_the_right_one_passes(
    flawed: type[Distributor], story: Callable[[World], None], invariant: str
) -> None:
    for kind in (flawed, Distributor):
        fleet = world(9, seed=12, kind=kind)
        fleet.run(4.0)
        story(fleet)
        found = {fault.partition(":")[0] for fault in faults(fleet.history)}
        assert (invariant in found) if kind is flawed else not found
