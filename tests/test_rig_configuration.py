"""The checks of agreed configuration, each with a record that breaks it, and a short drawn run of whole processes."""

from __future__ import annotations

import copy
import random
import sys
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from benchmarks.distribution.real import drawn_world, play_drawn, sound
from thistleshore.distribution.model import Peer, MemberReport, ProtocolSettings
from thistleshore.distribution.reports import ReceivedReport, Reports
from thistleshore.rig import checks
from thistleshore.rig.configuration import (
    ANY,
    PIECE,
    ArmedPoints,
    Operators,
    drawn_body,
    faulty_body,
    joined,
    pieces,
)
from thistleshore.rig.rig import STARTED, Rig, open_rig
from thistleshore.rig.truth import Row, of
from thistleshore.rig.world import convert

CHECKS = ("one_content", "forward", "kept", "refusals", "honest")
ZONES = {"p0": "east/a", "p1": "east/b", "p2": "west/a", "p3": "east/a"}


def zone_rows(number: int, in_force: dict[str, int], unknown: tuple[str, ...] = ()) -> list[Row]:
    """What a sound instance tells of each zone."""
    found = []
    for zone in sorted(set(ZONES.values())):
        members = [name for name, its in ZONES.items() if its == zone]
        heard = [name for name in members if name not in unknown]
        behind = [{"name": name, "applied": in_force[name]} for name in heard if in_force[name] < number]
        row = {"zone": zone, "members": len(members), "applied": len(heard) - len(behind), "behind": behind}
        found.append({**row, "unknown": [name for name in members if name in unknown]})
    return found


class Record:
    """A record as the rig writes it, of a program without fault."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.now = 0.0
        self.in_force = dict.fromkeys(ZONES, 0)
        self.entries: list[dict[str, Any]] = []
        self.add("distribution", fresh=7.5, zones=ZONES)

    def add(self, what: str, after: float = 0.1, **fields: Any) -> None:
        self.now = round(self.now + after, 6)
        self.rows.append({"t": self.now, "what": what, **fields})

    def push(self, by: str, digest: str, status: str = "done", restored: int = 0, faulty: bool = False) -> None:
        kind = "rollback" if restored else "push"
        self.add("push", by=by, kind=kind, digest=digest, against="-", faulty=faulty)
        asked, number = self.now, 0
        if status == "done":
            number = len(self.entries) + 1
            self.entries.append({"number": number, "digest": digest, "restored": restored})
        answer = {"status": status, "number": number, "digest": digest if number else "", "told": ""}
        self.add("push-answer", by=by, kind=kind, sent=digest, asked=asked, **answer)

    def word(self, by: str, unknown: tuple[str, ...] = ()) -> None:
        """One answer to `config-status`."""
        entry = self.entries[-1]
        zones = zone_rows(entry["number"], self.in_force, unknown)
        everywhere = all(zone["applied"] == zone["members"] for zone in zones)
        common = {"number": entry["number"], "spread_of": entry["number"], "digest": entry["digest"], "agreed": True}
        asked = round(self.now + 0.05, 6)
        here = {"in_force_here": self.in_force[by], "everywhere": everywhere, "zones": zones}
        self.add("config", by=by, asked=asked, **here, **common)

    def apply(self, *names: str) -> None:
        for name in names:
            self.in_force[name] = len(self.entries)

    def end(self) -> None:
        for name in ZONES:
            self.word(name)
            self.add("history", by=name, entries=copy.deepcopy(self.entries))
        self.add("alive", names=list(ZONES))


def sound_record() -> list[Row]:
    """Two versions, one that was refused and a rollback; p2 is killed for 10 s, p3 stopped, and p1 cut off, in turn."""
    record = Record()
    record.push("p0", "aa")
    record.apply("p0", "p1", "p3")
    record.word("p0")
    record.apply("p2")
    record.word("p1")
    record.push("p1", "bb", status="refused")
    record.push("p1", "ff", status="refused", faulty=True)
    record.add("exit", name="p2", status=None, asked=False)
    record.push("p1", "cc")
    record.apply("p0", "p1", "p3")
    record.add("config-pause", after=9.0)
    record.word("p0", unknown=("p2",))
    record.add("began", name="p2")
    record.apply("p2")
    record.word("p2")
    record.add("fault", kind="stop", who=["p3"], to=[], amount=1.0, both=True, until=record.now + 9.0)
    record.add("stop-pause", after=8.5)
    record.word("p0", unknown=("p3",))
    record.add("stop-end", after=1.0)
    record.add("fault", kind="cut", who=["p1"], to=["p0", "p2", "p3"], amount=1.0, both=True, until=record.now + 9.0)
    record.add("cut-pause", after=8.5)
    record.word("p0", unknown=("p1",))
    record.word("p1", unknown=("p0", "p2", "p3"))
    record.add("cut-end", after=1.0)
    record.push("p0", "aa", restored=1)
    record.apply(*ZONES)
    record.end()
    return record.rows


def last(rows: list[Row], what: str, by: str = "") -> Row:
    return [row for row in of(rows, what) if not by or row["by"] == by][-1]


def test_a_sound_record_passes_all_checks() -> None:
    assert checks.judge(sound_record(), CHECKS) == []


# -- the mutants of that record, each with the only check that it may break


def another_digest_in_a_word(rows: list[Row]) -> None:
    last(rows, "config", "p3")["digest"] = "dd"


def another_digest_in_a_history(rows: list[Row]) -> None:
    last(rows, "history")["entries"][1]["digest"] = "dd"


def two_pushes_done_under_one_number(rows: list[Row]) -> None:
    done = [row for row in of(rows, "push-answer") if row["status"] == "done"]
    rows.insert(rows.index(done[1]) + 1, {**done[1], "by": "p3", "sent": "dd", "digest": "dd"})


def back_in_the_same_life(rows: list[Row]) -> None:
    words = [row for row in of(rows, "config") if row["by"] == "p0"]
    words[-2]["in_force_here"] = 1


def back_after_a_restart(rows: list[Row]) -> None:
    began = next(row for row in rows if row["what"] == "began")
    word = next(row for row in of(rows, "config") if row["by"] == "p2" and row["t"] > began["t"])
    before = {**word, "asked": 0.01, "t": 0.02, "in_force_here": 2}
    rows.insert(1, before)
    word["in_force_here"] = 1
    # What it tells of itself then is right.
    word["everywhere"] = False
    for zone in word["zones"]:
        if zone["zone"] == "west/a":
            zone.update(applied=0, behind=[{"name": "p2", "applied": 1}])


def done_and_in_no_history(rows: list[Row]) -> None:
    for row in of(rows, "history"):
        del row["entries"][1]


def one_ends_without_the_last(rows: list[Row]) -> None:
    word = last(rows, "config", "p3")
    word["in_force_here"] = 2
    for row in of(rows, "config"):  # nobody counts it
        if row["number"] == 3:
            row["everywhere"] = False
            for zone in row["zones"]:
                if zone["zone"] == "east/a":
                    zone.update(applied=1, behind=[{"name": "p3", "applied": 2}])


def one_says_nothing_at_the_end(rows: list[Row]) -> None:
    last(rows, "alive")["names"].append("p9")


def refused_and_agreed(rows: list[Row]) -> None:
    for row in of(rows, "history"):
        row["entries"].append({"number": 4, "digest": "bb", "restored": 0})
    for row in of(rows, "config"):
        row["in_force_here"] += row["number"] == 3
    final = of(rows, "config")[-len(ZONES) :]
    for row in final:
        row["in_force_here"] = 4


def faulty_and_agreed(rows: list[Row]) -> None:
    answer = next(row for row in of(rows, "push-answer") if row["sent"] == "ff")
    answer.update(status="done", number=2, digest="ff")
    for row in rows:
        if row.get("digest") == "cc":
            row["digest"] = "ff"
        for entry in row.get("entries", ()):
            entry["digest"] = entry["digest"].replace("cc", "ff")


def one_push_agreed_twice(rows: list[Row]) -> None:
    for row in of(rows, "history"):
        row["entries"][2]["restored"] = 0


def counted(rows: list[Row], unknown: str) -> None:
    """The answer that has this one as unknown counts it."""
    row = next(row for row in of(rows, "config") if any(unknown in zone["unknown"] for zone in row["zones"]))
    for zone in row["zones"]:
        if unknown in zone["unknown"]:
            zone["unknown"].remove(unknown)
            zone["applied"] += 1


def the_dead_is_counted(rows: list[Row]) -> None:
    counted(rows, "p2")


def the_stopped_is_counted(rows: list[Row]) -> None:
    counted(rows, "p3")


def the_cut_off_is_counted(rows: list[Row]) -> None:
    counted(rows, "p1")


def the_dead_has_a_fresh_report(rows: list[Row]) -> None:
    row = next(row for row in of(rows, "config") if any("p2" in zone["unknown"] for zone in row["zones"]))
    zone = next(zone for zone in row["zones"] if "p2" in zone["unknown"])
    zone.update(unknown=[], behind=[{"name": "p2", "applied": 1}])


def everywhere_without_the_dead(rows: list[Row]) -> None:
    row = next(row for row in of(rows, "config") if any("p2" in zone["unknown"] for zone in row["zones"]))
    row["zones"] = [zone for zone in row["zones"] if "p2" not in zone["unknown"]]
    row["everywhere"] = True


def counted_before_it_is_in_force(rows: list[Row]) -> None:
    """p0 counts p3, which says a moment later that it has the version before."""
    words = of(rows, "config")
    told = next(row for row in words if row["number"] == 2 and row["by"] == "p0")
    later = copy.deepcopy(next(row for row in words if row["by"] == "p0" and row["number"] == 2))
    later.update(by="p3", in_force_here=1, asked=told["t"] + 0.01, t=told["t"] + 0.02, everywhere=False)
    for zone in later["zones"]:
        if zone["zone"] == "east/a":
            zone.update(applied=1, behind=[{"name": "p3", "applied": 1}])
    rows.insert(rows.index(told) + 1, later)


MUTANTS: dict[str, tuple[Callable[[list[Row]], None], ...]] = {
    "one_content": (another_digest_in_a_word, another_digest_in_a_history, two_pushes_done_under_one_number),
    "forward": (back_in_the_same_life, back_after_a_restart),
    "kept": (done_and_in_no_history, one_ends_without_the_last, one_says_nothing_at_the_end),
    "refusals": (refused_and_agreed, faulty_and_agreed, one_push_agreed_twice),
    "honest": (
        the_dead_is_counted,
        the_stopped_is_counted,
        the_cut_off_is_counted,
        the_dead_has_a_fresh_report,
        everywhere_without_the_dead,
        counted_before_it_is_in_force,
    ),
}


@pytest.mark.parametrize(
    ("check", "mutant"), [(check, mutant) for check, mutants in MUTANTS.items() for mutant in mutants]
)
def test_each_check_finds_its_mutants(check: str, mutant: Callable[[list[Row]], None]) -> None:
    rows = sound_record()
    mutant(rows)
    assert checks.judge(rows, [check]) != []


def test_the_checks_pass_over_what_is_no_fault() -> None:
    """A report may be as old as it counts; a partial cut has a way round; a silence of one direction is of that one."""
    rows = sound_record()
    word = next(row for row in of(rows, "config") if any("p2" in zone["unknown"] for zone in row["zones"]))
    died = next(row for row in rows if row["what"] == "exit")
    died["t"] = word["asked"] - 7.0
    counted(rows, "p2")
    assert checks.judge(rows, ["honest"]) == []
    # One that was dead when it was to be stopped runs from its next life on; so does one whose other stop has ended.
    for row in ({"what": "began", "name": "p3"}, {"what": "fault", "kind": "stop", "who": ["p3"], "to": []}):
        rows = sound_record()
        stop = next(row for row in of(rows, "fault") if row["kind"] == "stop")
        rows.insert(rows.index(stop) + 1, {"t": stop["t"] + 1.0, "until": stop["t"] + 1.5, **row})
        counted(rows, "p3")
        assert checks.judge(rows, ["honest"]) == []
    for change in ({"to": ["p0", "p2"]}, {"both": False, "who": ["p0", "p2", "p3"], "to": ["p1"]}):
        rows = sound_record()
        next(row for row in of(rows, "fault") if row["kind"] == "cut").update(change)
        counted(rows, "p1")
        assert checks.judge(rows, ["honest"]) == []


# -- what the drawn runs found, in the small


def test_a_report_grows_old_however_often_instances_ask_one_another() -> None:
    """Two that ask each other all the time, each answer 0.3 s on its way, do not keep a dead member's report fresh."""
    peers = {name: Peer(name, ("127.0.0.1", number), "east/a", 1, True) for number, name in enumerate("abc", 1)}
    terms = ProtocolSettings(report_lifetime=2.0)
    pair = [Reports(terms), Reports(terms)]
    for reports in pair:
        reports.on_view(peers)
    pair[0].store(ReceivedReport(MemberReport("c", 1, 5), 7, 0.0))
    now = 0.0
    for turn in range(20):
        teller, asker = pair[turn % 2], pair[1 - turn % 2]
        messages = teller.report_batches(ReceivedReport(MemberReport("ab"[turn % 2], 1, 5), 7, now), 1000, now)
        now += 0.3
        for message in messages:
            asker.store_batch(message, now)
    for reports, me in zip(pair, "ab", strict=True):
        (zone,) = reports.count(5, 7, ReceivedReport(MemberReport(me, 1, 5), 7, now), peers[me], now).zones
        assert "c" in zone.unknown


# -- what is drawn


def test_bodies_are_drawn_by_a_seed_and_their_pieces_come_together() -> None:
    workers = [("w0", 20001), ("w1", 20002), ("w2", 20003)]
    made = [drawn_body(random.Random(7), workers, size, "x") for size in (300, 60_000)]
    again, other = (drawn_body(random.Random(seed), workers, 60_000, "x") for seed in (7, 8))
    assert made[1] == again != other
    assert set(tomllib.loads(made[0].decode())) <= {"address_set", "match", "host", "contracts", "member"}
    parts = pieces(made[1])
    assert len(parts) > 1 and max(map(len, parts)) <= PIECE
    assert joined(parts) == made[1]
    assert all(faulty_body(random.Random(seed), "x") != made[0] for seed in range(4))


def test_a_seed_is_a_world() -> None:
    worlds = [drawn_world(seed) for seed in range(40)]
    assert worlds == [drawn_world(seed) for seed in range(40)]
    assert {world.processes for world in worlds} == set(range(5, 10)) and {world.voters for world in worlds} == {3, 5}
    assert all(len(set(world.zones)) >= 3 and all("/" in zone for zone in world.zones) for world in worlds)


async def a_short_drawn_run(tmp_path: Path) -> None:
    world = msgspec.structs.replace(drawn_world(1), processes=4, zones=("east/a", "east/b", "west/a"), voters=3)
    found = await play_drawn(world, 1, tmp_path, seconds=3.0)
    assert sound(found), found
    assert found["versions"] >= 2 and found["served"]["served"] > 50, found


# -- flawed forms of the program, each found by its check


FLAWED_WORLD = convert(
    {"name": "flawed", "processes": 4, "zones": ["east/a", "west/a"], "voters": 3, "configuration": True}
)
SPREADS_WITHIN = 8.0  # s, several of the rig's reports
Scenario = Callable[[Rig, Operators], Awaitable[None]]


async def pushed(operators: Operators, name: str, among: list[str]) -> None:
    """One version is agreed and in force there."""
    answer = await operators.push(name, operators.body(300), ANY, "test")
    assert answer is not None and answer.done, answer
    assert await operators.reached(answer.number, among, SPREADS_WITHIN) is not None


async def the_pusher_dies_once_it_is_agreed(rig: Rig, operators: Operators) -> None:
    """Nobody else has the body, unless a majority of the voters was given it before."""
    points, names = ArmedPoints(rig), list(rig.processes)
    rig.kill("p3")
    points.prepare("p3", "configuration-agreed", rig.command)
    rig.start("p3")
    await pushed(operators, "p0", names)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operators.push, "p3", operators.body(300), ANY, "test")
        assert await points.die("p3", 5.0, 0.1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operators.watch)
        await trio.sleep(1.0)
        await operators.together(names, SPREADS_WITHIN)
        nursery.cancel_scope.cancel()


async def one_restarts_within_a_cut(rig: Rig, operators: Operators) -> None:
    """What it has by its disk is all that it can know."""
    await pushed(operators, "p0", list(rig.processes))
    rig.cut(["p3"], ["p0", "p1", "p2"])
    rig.kill("p3")
    rig.start("p3")
    with trio.fail_after(STARTED):
        while await operators.status("p3") is None:
            await trio.sleep(0.05)
    rig.heal()
    await operators.reached(operators.last, list(rig.processes), SPREADS_WITHIN)


async def one_tells_of_an_older_version(rig: Rig, operators: Operators) -> None:
    """It hears nobody while a version comes, and is heard."""
    await pushed(operators, "p0", list(rig.processes))
    rig.cut(["p0", "p1", "p2"], ["p3"], both=False)
    await pushed(operators, "p1", ["p0", "p1", "p2"])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operators.watch, 0.1)
        await trio.sleep(2.0)
        rig.heal()
        await operators.together(list(rig.processes), SPREADS_WITHIN)
        nursery.cancel_scope.cancel()


FLAWED: dict[str, tuple[str, Scenario]] = {
    "uncounted_bodies": ("kept", the_pusher_dies_once_it_is_agreed),
    "never_durable": ("forward", one_restarts_within_a_cut),
    "believing_old": ("forward", one_tells_of_an_older_version),
}


async def found_by_the_checks(
    folder: Path, program: tuple[str, ...], scenarios: list[Scenario]
) -> list[checks.Finding]:
    """Play scenarios one after another, with a program that has its assertions and so its fault points."""
    async with open_rig(FLAWED_WORLD, 1, folder, (sys.executable, "-m", *program)) as rig:
        await rig.begin()
        operators = Operators(rig, 1)
        for scenario in scenarios:
            await scenario(rig, operators)
        await operators.end(rig.running())
        rig.truth.add("alive", names=rig.running())
    return checks.judge(rig.truth.rows, CHECKS)


def flawed(mutant: str) -> Callable[[Path], Awaitable[None]]:
    """The scenario breaks the check with the mutant."""
    check, scenario = FLAWED[mutant]

    async def story(folder: Path) -> None:
        found = await found_by_the_checks(folder, ("tests.mutants", mutant), [scenario])
        assert check in {finding.check for finding in found}, found

    return story


async def the_program_itself(folder: Path) -> None:
    """No scenario breaks any check."""
    assert await found_by_the_checks(folder, ("thistleshore",), [scenario for _, scenario in FLAWED.values()]) == []


STORIES = {story.__name__: story for story in (a_short_drawn_run, the_program_itself)}
STORIES |= {f"mutant {name}": flawed(name) for name in FLAWED}


@pytest.mark.parametrize("story", STORIES)
def test_processes(story: str, played: Callable[[str], str]) -> None:
    assert played(story) == ""
