"""Several real processes of the program with faults between them, and the rig that does it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from tests.support import ROOT
from thistleshore.rig import checks
from thistleshore.rig.processes import PROGRAM
from thistleshore.rig.relay import DISTURBANCES, Link, Links, carry_connections
from thistleshore.rig.rig import STARTED, Rig, open_rig
from thistleshore.rig.run import play
from thistleshore.rig.truth import of
from thistleshore.rig.world import Fault, World, WorldError, convert, read, timeline

MUTANT = (sys.executable, "-O", "-m", "tests.mutants")


async def with_rig(world: World, out: Path, scenario: Callable[[Rig], Awaitable[None]], load: float = 0.0) -> Rig:
    """Play a scenario with processes that have settled, and judge its record."""
    async with open_rig(world, 1, out) as rig:
        if load:
            rig.load(load)
        await scenario(rig)
        await rig.end_load()
        await rig.term(*rig.running())
    findings = checks.judge(rig.truth.rows)
    assert findings == [], findings
    return rig


async def settles(rig: Rig, bound: float, told: str, among: list[str] | None = None) -> None:
    assert await rig.settle(bound, told, among) is not None, f"{told}: {rig.differences()}"


def all_of(holds: Callable[[dict[str, Any]], bool], rig: Rig) -> Callable[[], bool]:
    """Whether it holds for the last word of each that runs."""
    return lambda: all(name in rig.views and holds(rig.views[name]) for name in rig.running())


def deaths(rig: Rig, name: str = "") -> set[tuple[str, str]]:
    """Who ever said of whom that it is dead."""
    return {
        (row["by"], member["name"])
        for row in of(rig.truth.rows, "view")
        for member in row["members"]
        if member["state"] == "dead" and (not name or row["by"] == name)
    }


async def crash_return_cuts_stop_and_hog(tmp_path: Path) -> None:
    world = convert({"name": "kigali", "processes": 5, "zones": ["a", "b"], "load": {"rate": 10.0}})

    async def scenario(rig: Rig) -> None:
        terms = rig.terms
        everywhere = list(rig.processes)
        lives = {m["name"]: m["life"] for m in rig.views["p0"]["members"]}

        # One at full load, and a one-way cut between two: nobody is dead.
        hog = Fault("hog", 0.0, ["p4"], 1.5, amount=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.fault, hog)
            rig.cut(["p0"], ["p1"], both=False)
            await trio.sleep(1.5)
        rig.heal()
        await settles(rig, terms.spread_bound(5), "after a one-way cut and a hog")
        assert deaths(rig) == set()

        await rig.fault(Fault("stop", 0.0, ["p1"], 0.5))
        await settles(rig, terms.healing_bound(5), "after a stop of 0.5 s")
        assert deaths(rig) == set()

        rig.truth.add("fault", kind="kill", who=["p3"], to=[], amount=1, until=rig.truth.now + 3)
        rig.kill("p3")
        await rig.term("p3")  # it is dead: how it ended was not by this
        await settles(rig, terms.detection_bound(5), "after a crash")
        rig.start("p3")
        await settles(rig, terms.healing_bound(5) + STARTED, "after a return")
        assert {m["name"]: m["life"] > lives[m["name"]] for m in rig.views["p0"]["members"]} == {
            name: name == "p3" for name in everywhere
        }

        small, large = ["p1", "p3"], ["p0", "p2", "p4"]
        rig.cut(small, large)
        await settles(rig, terms.detection_bound(5) + terms.spread_bound(5), "halves: the greater", large)
        await settles(rig, terms.detection_bound(5) + terms.spread_bound(5), "halves: the smaller", small)
        assert [rig.views[name]["majority"] for name in everywhere] == [True, False, True, False, True]
        # SIGTERM in the cut, and back under its name while it lasts.
        rig.truth.add("fault", kind="term", who=["p3"], to=[], amount=1, until=rig.truth.now + 4)
        await rig.term("p3")
        rig.start("p3")
        await settles(rig, terms.detection_bound(5) + STARTED, "back within the cut", small)
        rig.heal()
        await settles(rig, terms.healing_bound(5), "after the cut is healed")

        before = deaths(rig, "p2")
        await rig.fault(Fault("stop", 0.0, ["p2"], 3.0))
        await settles(rig, terms.healing_bound(5), "after a stop of 3 s")
        assert deaths(rig, "p2") == before  # it judged nobody by the time that it was stopped

    rig = await with_rig(world, tmp_path, scenario, load=200.0)
    told = checks.served(rig.truth.rows)
    assert told["asked"] > 200 and told["served"] > 0.9 * told["asked"] - 60


async def restarts_goodbyes_and_names(tmp_path: Path) -> None:
    world = convert({"name": "kigali", "processes": 6, "hot": True})

    async def scenario(rig: Rig) -> None:
        terms = rig.terms
        names = list(rig.processes)
        # A hot restart is one member throughout.
        life = {m["name"]: m["life"] for m in rig.views["p0"]["members"]}["p5"]
        since = rig.truth.now
        before = rig.replace("p5")
        assert await rig.until(lambda: "inherited: " in rig.processes["p5"].log.read_text(), STARTED) is not None

        async def ready() -> None:
            while not (await rig.call("p5", "PING")).startswith("OK"):
                await trio.sleep(0.05)

        with trio.fail_after(STARTED):
            await ready()
        before.signal(signal.SIGTERM)
        assert await before.ended(12.0) == 0
        await settles(rig, terms.spread_bound(6), "after a hot restart")
        said = [
            m
            for row in of(rig.truth.rows, "view")
            if row["t"] > since and row["by"] != "p5"
            for m in row["members"]
            if m["name"] == "p5"
        ]
        assert all(m["state"] in ("alive", "suspect") and m["life"] == life for m in said)

        # All at once, one of them with a clock an hour behind.
        lives = {m["name"]: m["life"] for m in rig.views["p0"]["members"]}
        rig.kill(*names)
        rig.processes["p3"].command = (*MUTANT, "clock_back")
        rig.start()
        await settles(rig, terms.healing_bound(6) + STARTED, "after all were killed")
        assert all(m["life"] > lives[m["name"]] or m["name"] == "p3" for m in rig.views["p0"]["members"])
        # And that one alone: its clock would have it be an earlier life.
        rig.kill("p3")
        rig.processes["p3"].command = rig.command
        rig.start("p3")
        await settles(rig, terms.healing_bound(6) + STARTED, "after a restart")
        rig.kill("p3")
        rig.processes["p3"].command = (*MUTANT, "clock_back")
        rig.start("p3")
        await settles(rig, terms.healing_bound(6) + STARTED, "after a restart with the clock set back")

        # A joiner whose seeds are all dead for a while, and goodbyes.
        await rig.term("p0", "p1", "p5")
        await settles(rig, terms.spread_bound(6), "after goodbyes")
        left = ("p2", "p3", "p4")  # each says so once it has heard from the others that they know of no more
        assert (
            await rig.until(lambda: all(rig.views[name]["majority"] for name in left), terms.spread_bound(6))
            is not None
        )
        rig.start("p5")
        assert await rig.until(lambda: "p5" in rig.views, STARTED) is not None
        assert not rig.views["p5"]["majority"]  # alone, with no seed heard
        rig.start("p0")
        await settles(rig, terms.healing_bound(6) + STARTED, "once a seed lives")

        # A stranger with the name of a live member stays out, serves, and gets in once the name is free.
        text = rig.processes["p4"].file.read_text()
        twin = rig.processes["p1"]
        own = twin.file.read_text()
        twin.file.write_text(own.replace('name = "p1"', 'name = "p4"', 1))
        rig.start("p1")

        async def contested() -> Any:
            while not ((found := await rig.told("p1", "status")) and found["name_taken_by"]):
                await trio.sleep(0.05)
            return found

        with trio.fail_after(STARTED + terms.max_call_interval):
            found = await contested()
        assert not found["takes_part"] and found["name_taken_by"].endswith(f":{rig.advertised['p4'][1]}")
        assert (await rig.call("p1", "PING")).startswith("OK")
        addresses = {
            m["address"]
            for name in ("p0", "p2", "p3", "p4", "p5")
            for m in rig.views[name]["members"]
            if m["name"] == "p4"
        }
        assert addresses == {f"127.0.0.1:{rig.advertised['p4'][1]}"} and "p4" in text
        assert "fleet: taken p4" in rig.processes["p4"].log.read_text()
        await rig.term("p4")

        def free() -> bool:
            rows = [m for m in rig.views.get("p0", {"members": []})["members"] if m["name"] == "p4"]
            return [(m["state"], m["address"].rpartition(":")[2]) for m in rows] == [
                ("alive", str(rig.advertised["p1"][1]))
            ]

        assert await rig.until(free, 2 * terms.max_call_interval + terms.spread_bound(6)) is not None, rig.differences()

    await with_rig(world, tmp_path, scenario)


async def loss_and_repeats(tmp_path: Path) -> None:
    world = convert({"name": "kigali", "processes": 5})

    async def scenario(rig: Rig) -> None:
        terms, names = rig.terms, list(rig.processes)
        everywhere = Fault("loss", 0.0, names, 10.0, names, False, 0.3)
        await rig._begin(everywhere)
        await rig._begin(msgspec.structs.replace(everywhere, kind="repeat"))
        for _ in range(5):
            rig.kill("p4")
            rig.start("p4")
            await rig.until(lambda: "p4" in rig.views, STARTED)
        await rig._end(everywhere)
        await settles(rig, terms.detection_bound(5) + terms.healing_bound(5), "after five restarts under loss")
        assert not any("fleet: taken" in process.log.read_text() for process in rig.processes.values())
        # And once more, as another member: the former name stays behind, dead, until it is forgotten.
        await rig.fault(Fault("restart", 0.0, ["p4"], name="p9"))
        await settles(
            rig, terms.detection_bound(5) + terms.healing_bound(5) + STARTED, "after a restart under another name"
        )
        assert {m["name"]: m["state"] for m in rig.views["p0"]["members"]}["p4"] == "dead"
        assert await rig.told("p0", "forget p4") == {"forgotten": "p4"}
        gone = all_of(lambda view: "dead" not in [m["state"] for m in view["members"]], rig)
        assert await rig.until(gone, terms.spread_bound(5)) is not None
        # Half of the fleet stopped at once.
        await rig.fault(Fault("stop", 0.0, ["p0", "p2"], 4.0))
        await settles(rig, terms.healing_bound(5), "after two of five were stopped")
        found = await rig.told("p1", "status")
        assert found["counts"]["repeated"] > 0

    await with_rig(world, tmp_path, scenario)


# -- the checks, each on a mutant of the program that breaks it

BROKEN = {
    "twice": (
        "keyed",
        {
            "processes": 2,
            "workers": {"count": 4, "seconds": 0.3},
            "load": {"rate": 30.0, "keyed": 1.0},
            "fault": [
                {"kind": "reset", "at": at, "who": ["p0", "p1"], "to": ["w0", "w1", "w2", "w3"]}
                for at in (0.5, 1.0, 1.5)
            ],
        },
    ),
    "deaf": (
        "settled",
        {"processes": 3, "period": 0.1, "fault": [{"kind": "stop", "at": 0.0, "seconds": 3.0, "who": ["p1"]}]},
    ),
    "silent": ("answers", {"processes": 2, "load": {"rate": 20.0}}),
    "unheeding": (
        "drained",
        {
            "processes": 2,
            "load": {"rate": 40.0},
            "fault": [{"kind": "detach", "at": 0.0, "seconds": 4.0, "who": ["w0"]}],
        },
    ),
    "rough": ("clean", {"processes": 2}),
}


def mutant(name: str, sound: bool) -> Callable[[Path], Awaitable[None]]:
    """The mutant's world breaks its check; played by the program itself, none."""
    check, tables = BROKEN[name]

    async def story(folder: Path) -> None:
        world = convert({"name": name, **tables})
        summary = await play(world, 1, folder, PROGRAM if sound else (*MUTANT, name))
        found = {finding["check"] for finding in summary["findings"]}
        assert found == set() if sound else check in found, summary

    return story


async def two_fleets_become_one(tmp_path: Path) -> None:
    """Seeds that form two fleets of one name first, as each half is cut off from the other before it starts."""

    async def scenario(rig: Rig) -> None:
        one, other = ["p0", "p2"], ["p1", "p3"]
        rig.cut(one, other)
        rig.start()
        for half in (one, other):
            await settles(rig, rig.terms.healing_bound(4) + STARTED, "a half of its own", half)
        rig.heal()
        await settles(rig, rig.terms.healing_bound(4), "one fleet")

    async with open_rig(convert({"name": "kigali", "processes": 4}), 1, tmp_path, start=False) as rig:
        await scenario(rig)
        await rig.term(*rig.running())
    findings = checks.judge(rig.truth.rows)
    assert findings == [], findings


STORIES = {
    story.__name__: story
    for story in (
        crash_return_cuts_stop_and_hog,
        restarts_goodbyes_and_names,
        loss_and_repeats,
        two_fleets_become_one,
    )
}
STORIES |= {f"mutant {name}": mutant(name, False) for name in BROKEN}
STORIES |= {"sound twice": mutant("twice", True)}


@pytest.mark.parametrize("story", STORIES)
def test_processes(story: str, played: Callable[[str], str]) -> None:
    assert played(story) == ""


# -- the rig itself


def children_in(folder: Path) -> list[int]:
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                line = (entry / "cmdline").read_bytes().decode(errors="replace")
            except OSError:
                continue
            if str(folder) in line and "\0serve\0" in line:
                found.append(int(entry.name))
    return found


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_the_rig_leaves_no_process_behind(tmp_path: Path, number: signal.Signals) -> None:
    command = [sys.executable, "-m", "thistleshore", "rig", "run", "crash", "--processes", "4", "--out", str(tmp_path)]
    rig = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        until = time.monotonic() + STARTED
        while len(children_in(tmp_path)) < 4 and time.monotonic() < until:
            time.sleep(0.05)
        assert len(children_in(tmp_path)) == 4
        rig.send_signal(number)
        assert rig.wait(STARTED) == (130 if number == signal.SIGINT else -number)
        until = time.monotonic() + 5.0
        while children_in(tmp_path) and time.monotonic() < until:
            time.sleep(0.05)
        assert children_in(tmp_path) == []
    finally:
        rig.kill()
        rig.wait()
        for child in children_in(tmp_path):
            os.kill(child, signal.SIGKILL)


def test_a_link_on_which_all_faults_have_ended_is_as_it_was() -> None:
    """The sums of amounts that come and go are off by a little; a delay of less than nothing cannot be waited for."""
    link, amounts = Link(), (0.1, 0.7, 0.2)
    for kind in DISTURBANCES:
        for amount in amounts:
            link.begin(kind, amount)
        assert getattr(link, kind) == pytest.approx(1.0)
        for amount in amounts:
            link.end(kind, amount)
    assert (link.loss, link.delay, link.jitter, link.repeat, link.reorder) == (0.0,) * 5


def test_who_is_behind_a_relayed_connection_is_known_when_it_is_accepted() -> None:
    connections = 200
    senders: list[str] = []
    links = Links(seed=1)

    async def accepted(stream: trio.SocketStream) -> None:
        senders.append(links.callers.get(stream.socket.getpeername()[1], ""))
        await stream.aclose()

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            (receiver,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            (relay,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, accepted, [receiver])
            nursery.start_soon(carry_connections, links, "p0", "w0", receiver.socket.getsockname(), relay)
            for _ in range(connections):
                near = await trio.open_tcp_stream(*relay.socket.getsockname())
                assert await near.receive_some() == b""
                await near.aclose()
            nursery.cancel_scope.cancel()

    trio.run(scenario)
    assert senders == ["p0"] * connections


def test_a_seed_is_a_timeline_and_faulty_worlds_are_named() -> None:
    worlds = [read(file) for file in sorted((ROOT / "thistleshore" / "rig" / "worlds").glob("*.toml"))]
    assert {world.name for world in worlds} >= {"crash", "halves", "thirds", "stopped", "lossy", "workers", "compound"}
    drawn = next(world for world in worlds if world.draw is not None)
    assert timeline(drawn, 7) == timeline(drawn, 7) != timeline(drawn, 8)
    for tables, told in (
        ({"name": "x", "fault": [{"kind": "kill", "at": 0, "who": ["p9"]}]}, "no p9"),
        ({"name": "x", "fault": [{"kind": "kill", "at": 0, "who": ["w0"]}]}, "no fault of w0"),
        ({"name": "x", "fault": [{"kind": "melt", "at": 0, "who": ["p0"]}]}, "kind"),
        ({"name": "x", "processes": 900}, "processes"),
        ({"name": "x", "fault": [{"kind": "kill", "at": 5000, "who": ["p0"]}]}, "ends within"),
        ({"name": "x", "draw": {"least": 5, "most": 2}}, "draw.least"),
    ):
        with pytest.raises(WorldError, match=told):
            convert(tables)


def test_checks_judge_rows_alone() -> None:
    rows: list[dict[str, Any]] = [
        {"t": 0.0, "what": "asked", "job": "a", "to": "p0"},
        {"t": 0.1, "what": "answered", "job": "a", "told": "200"},
        {"t": 0.2, "what": "answered", "job": "a", "told": "200"},
        {"t": 0.3, "what": "asked", "job": "b", "to": "p0"},
        {"t": 0.4, "what": "job", "key": "k", "worker": "w0"},
        {"t": 5.0, "what": "job", "key": "k", "worker": "w1"},
        {"t": 6.0, "what": "settled", "took": None, "bound": 1.0, "told": ""},
        {"t": 7.0, "what": "exit", "name": "p0", "status": 1, "asked": True},
    ]
    assert [found.check for found in checks.judge(rows)] == ["answers", "answers", "keyed", "settled", "clean"]
    excuse = {"t": 0.0, "what": "fault", "kind": "kill", "who": ["p0"], "to": [], "until": 9.0}
    assert [found.check for found in checks.judge([excuse, *rows])] == ["answers", "keyed", "settled", "clean"]
