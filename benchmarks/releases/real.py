"""Releases and drains by real processes with keepers, under load and faults, by ground truth.

    python -m benchmarks.releases.real --drawn 100 [--first 0] [--way agreed|none|lease] [--beside 3] [--json]
    python -m benchmarks.releases.real --gate 20 [--version refusing] [--json]   # a regression; `clean`: in a surge
    python -m benchmarks.releases.real --nine 1 [--json]                          # 9 dispatchers, and one killed midway
    python -m benchmarks.releases.real --register 3 5 7 [--json]                  # changes a second, loss, recovery

A drawn run has faults (crashes of dispatchers and keepers, stops, cuts, delays) and operators' acts (drains, a release,
halt, undo) in 15 s; then the faults end, and whatever the release came to is undone.  `none` has operators' scripts end
and start dispatchers with no agreement at all; `lease` under a lock that lapses after 2 s.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import resource
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import trio

from benchmarks.fleet.real import beside
from benchmarks.fleet.virtual import spread
from thistleshore.rig import checks
from thistleshore.rig.processes import Kept
from thistleshore.rig.rig import STARTED, Rig, open_rig
from thistleshore.rig.truth import of
from thistleshore.rig.world import Fault, convert

SECONDS = 15.0  # of faults and acts
LEASE = 2.0  # s after which the lock of `lease` lapses
LIMIT = 1
OVER = ("done", "undone", "halted")
WORLD = {
    "name": "kigali",
    "voters": 3,
    "trial": 1.0,
    "out": {"dispatchers": LIMIT, "hosts": 1},
    "workers": {"count": 3},
    "load": {"rate": 8.0},
}


def mutant(name: str) -> dict[str, Any]:
    return {"name": name, "command": [sys.executable, "-O", "-m", "tests.mutants", name]}


async def asked(rig: Rig, names: list[str], line: str) -> Any:
    """The answer of the first that has one."""
    for name in names:
        if (found := await rig.told(name, line)) is not None:
            return found
    return None


# -- drawn runs


async def act(rig: Rig, at: random.Random, way: str, lock: list[float], told: Counter[str], first: bool) -> None:
    """One operator's act at one instance; the first of a run is a release."""
    names = list(rig.processes)
    one, name = at.choice(names), at.choice(names)
    what = at.choice(["drain", "drain", "drain", "release", "release", "halt", "resume", "undo", "limits"])
    what = "release" if first else what
    if way == "agreed":
        if what == "drain":
            rig.truth.add("fault", kind="kill", who=[name], to=[], amount=1, until=rig.truth.now + 8.0)
        plan = {
            "version": mutant(at.choice(["crashing", "refusing"])) if at.random() < 0.4 else {"name": "v2"},
            "waves": [1, "100%"],
            "enough": 1.0,
            "within": 30.0,
        }
        line = {
            "drain": f"drain dispatcher {name} kernel",
            "limits": f'limits {{"dispatchers":{LIMIT}}}',
            "release": f"start {json.dumps(plan, separators=(',', ':'))}",
        }.get(what, f"{what} because")
        found = await rig.told(one, line)
        told[f"{what}: {'no answer' if found is None else found['status']}"] += 1
        return
    if what not in ("drain", "release"):
        return
    # A script: it ends one after another by SIGTERM, and goes on after a while.
    for each in [name] if what == "drain" else names:
        if way == "lease":
            while lock[0] > trio.current_time():
                await trio.sleep(0.05)
            lock[0] = trio.current_time() + LEASE
        process = rig.processes[each]
        assert isinstance(process, Kept)
        rig.truth.add("fault", kind="kill", who=[each], to=[], amount=1, until=rig.truth.now + 8.0)
        for child in process.kept:
            os.kill(child.pid, signal.SIGTERM)
        told[what] += 1
        await trio.sleep(3.0)


async def fault(rig: Rig, at: random.Random) -> None:
    names = list(rig.processes)
    kind = at.choice(["kill", "kill", "keeper", "stop", "cut", "delay"])
    lasts = at.uniform(0.5, 4.0)
    some = at.sample(names, at.randint(1, len(names) // 2))
    if kind == "keeper":
        process = rig.processes[some[0]]
        assert isinstance(process, Kept)
        process.crash_keeper()
        await trio.sleep(lasts)
        rig.start(some[0])
    else:
        others = [name for name in names if name not in some]
        await rig.fault(
            Fault(
                kind,
                0.0,
                some[:1] if kind in ("kill", "stop") else some,
                lasts,  # type: ignore[arg-type]
                others,
                at.random() < 0.6,
                0.05,
            )
        )


async def drawn(seed: int, way: str, folder: Path) -> dict[str, Any]:
    at = random.Random(f"releases {seed}")
    count = at.randint(5, 7)
    told, lock = Counter[str](), [0.0]
    async with open_rig(convert({**WORLD, "processes": count}), seed, folder) as rig:
        rig.truth.add("limit", limit=LIMIT)
        names = list(rig.processes)
        if way == "agreed":
            await rig.begin()
        rig.load(300.0)
        with trio.move_on_after(SECONDS + 30.0):
            async with trio.open_nursery() as nursery:
                begun = trio.current_time()
                for n in range(at.randint(3, 6)):
                    when = at.uniform(0.5, SECONDS if n else 3.0)

                    async def later(n: int, when: float, one: random.Random) -> None:
                        await trio.sleep_until(begun + when)
                        await act(rig, one, way, lock, told, n == 0)

                    nursery.start_soon(later, n, when, random.Random(at.random()))
                for _ in range(at.randint(1, 3)):
                    when, one = at.uniform(0.5, SECONDS - 4.0), random.Random(at.random())

                    async def faulty(when: float, one: random.Random) -> None:
                        await trio.sleep_until(begun + when)
                        await fault(rig, one)

                    nursery.start_soon(faulty, when, one)
        rig.heal()
        rig.start()
        stuck, outcome, back = "", "none", 0.0
        if way == "agreed":
            # Each dispatcher takes its start, trial and drain, one after another, there and back again.
            bound = 2 * count * (1.0 + 6.0) + 30.0 + STARTED
            outcome, stuck, back = await way_back(rig, names, bound)
            acts = (await asked(rig, names, "release") or {}).get("history", [])
            rig.truth.add("history", acts=acts)
        if await rig.until(lambda: all(rig.serves.get(name) for name in names), STARTED + 15.0) is None:
            stuck = stuck or f"not serving: {[name for name in names if not rig.serves.get(name)]}"
        await rig.end_load()
        await rig.term(*rig.running())
    rig.truth.write(folder / "record.jsonl")
    findings = checks.judge(rig.truth.rows, ["answers", "keyed", "limited"])
    return {
        "seed": seed,
        "processes": count,
        "outcome": outcome,
        "stuck": stuck,
        "back": round(back, 2),
        "over": [found.told for found in findings if found.check == "limited"],
        "acts": dict(told),
        "served": checks.served(rig.truth.rows),
        "findings": [found._asdict() for found in findings if found.check != "limited"],
    }


async def way_back(rig: Rig, names: list[str], bound: float) -> tuple[str, str, float]:
    """What the release came to by itself; then it is taken back: the outcome, what is stuck, and how long it took."""
    outcome, since = "", trio.current_time()
    while trio.current_time() < since + bound:
        found = await asked(rig, names, "release")
        if found is not None and found.get("release") is None and found.get("agreed"):
            return "none", "", 0.0
        if found is not None and found.get("release") and found["agreed"] and not found["out"]:
            state = found["release"]["state"]
            if not outcome and state in OVER:
                outcome, since = state, trio.current_time()
            if outcome and state == "undone":
                return outcome, "", trio.current_time() - since
            if outcome and state == "done":
                await asked(rig, names, "undo the end of the run")
            if outcome and state == "halted":
                # What halted it on its way back is over by now.
                word = "resume" if found["release"]["halted_in"] == "undoing" else "undo"
                await asked(rig, names, f"{word} the end of the run")
        await trio.sleep(0.3)
    found = await asked(rig, names, "release")
    return outcome or "stuck", json.dumps(found)[:600], trio.current_time() - since


# -- the gate


async def gated(version: str, seed: int, folder: Path) -> dict[str, Any]:
    """One release of a version at 5 dispatchers; `clean`: with a surge of 2.4 times from its first wave on."""
    world = {**WORLD, "processes": 5, "workers": {"count": 3, "slots": 1, "seconds": 0.05}, "load": {"rate": 6.0}}
    async with open_rig(convert(world), seed, folder) as rig:
        await rig.begin()
        rig.load(300.0)
        await trio.sleep(2.0)
        what = {"name": "clean"} if version == "clean" else mutant(version)
        plan = {"version": what, "waves": [1, "100%"], "enough": 15.0, "within": 60.0}
        found = await asked(rig, ["p1"], f"start {json.dumps(plan, separators=(',', ':'))}")
        assert found is not None and found["status"] == "done", found
        out = at = None
        since = trio.current_time()
        while trio.current_time() < since + 120.0:
            found = await asked(rig, ["p2", "p3"], "release")
            release = found.get("release") if found is not None else None
            if out is None and found is not None and found.get("out"):
                out = trio.current_time()
                if version == "clean":
                    for number, (name, address) in enumerate(rig.fronts.items()):
                        for more in (100, 200):  # 1.4 times beside what comes already
                            sender = rig._sender(name, more + number, address, 300.0)
                            if more == 100 or seed % 5 < 2:
                                rig.nursery.start_soon(sender.run)
            judged = release is not None and (release["state"] in ("undoing", "undone") or release["wave"] == 1)
            if at is None and judged:
                at = trio.current_time()
                if version == "clean":
                    break
            if release is not None and release["state"] in OVER:
                break
            await trio.sleep(0.1)
        over = trio.current_time()
    assert out is not None and release is not None
    return {
        "seed": seed,
        "state": release["state"],
        "told": release["told"],
        "wave": release["wave"],
        "found": None if at is None else round(at - out, 2),
        "over": round(over - out, 2),
    }


# -- nine, and the register


async def nine(what: str, seed: int, folder: Path) -> dict[str, Any]:
    """A quiet minute, a release, or a release with one killed midway, of nine dispatchers under load."""
    world = {**WORLD, "processes": 9, "load": {"rate": 10.0}, "workers": {"count": 6}}
    async with open_rig(convert(world), seed, folder) as rig:
        rig.truth.add("limit", limit=LIMIT)
        await rig.begin()
        rig.load(400.0)
        await trio.sleep(2.0)
        since, state = trio.current_time(), "quiet"
        if what == "quiet":
            await trio.sleep(60.0)
        else:
            plan = {"version": {"name": "v2"}, "waves": [1, "20%", "100%"], "enough": 5.0, "within": 60.0}
            found = await asked(rig, ["p1"], f"start {json.dumps(plan, separators=(',', ':'))}")
            assert found is not None and found["status"] == "done", found
            killed = what != "killed"
            while trio.current_time() < since + 240.0 and state not in OVER:
                found = await asked(rig, ["p2", "p3"], "release")
                if found is not None and found.get("release"):
                    state = found["release"]["state"]
                    if not killed and found["release"]["wave"] == 1 and found["out"]:
                        killed = True
                        rig.truth.add("fault", kind="kill", who=["p8"], to=[], amount=1, until=rig.truth.now + 4.0)
                        rig.kill("p8")
                await trio.sleep(0.2)
        took = trio.current_time() - since
        await rig.end_load()
        await rig.term(*rig.running())
    rows = rig.truth.rows
    begun = {row["job"]: row["t"] for row in of(rows, "asked")}
    late = sum(row["told"] == "200" and row["t"] - begun[row["job"]] > 0.4 for row in of(rows, "answered"))
    findings = checks.judge(rows, ["answers", "keyed", "limited"])
    return {
        "what": what,
        "state": state,
        "seconds": round(took, 1),
        **checks.served(rows),
        "late": late,
        "findings": [found._asdict() for found in findings],
    }


async def register(voters: int, loss: float, both: int, folder: Path) -> dict[str, Any]:
    """Changes a second by one or two instances at once, and the time to the first change after all were killed."""
    world = {"name": "kigali", "processes": voters, "voters": voters, "out": {"dispatchers": 1}}
    async with open_rig(convert(world), 1, folder) as rig:
        await rig.begin()
        names, took, failed = list(rig.processes), list[float | None](), 0
        for a in names:
            for b in names:
                if a != b:
                    rig.links.between(a, b).loss = loss
        until = trio.current_time() + 10.0

        async def propose(name: str) -> None:
            nonlocal failed
            n = 0
            while trio.current_time() < until:
                n += 1
                begun = trio.current_time()
                # Other limits each time, so that each is a change.
                limits = {"dispatchers": 1 + n % 2, "hosts": f"{20 + names.index(name)}%"}
                found = await rig.told(name, f"limits {json.dumps(limits, separators=(',', ':'))}")
                if found is not None and found["status"] == "done":
                    took.append(trio.current_time() - begun)
                else:
                    failed += 1

        async with trio.open_nursery() as nursery:
            for name in names[:both]:
                nursery.start_soon(propose, name)
        for a in names:
            for b in names:
                rig.links.between(a, b).loss = 0.0
        before = max([(await rig.told(name, "out"))["number"] for name in names])
        rig.kill(*names)
        rig.start()
        since = trio.current_time()
        again, after = None, 0
        while again is None and trio.current_time() < since + 20.0:
            found = await asked(rig, names, 'limits {"dispatchers":7}')
            if found is not None and found["status"] == "done":
                again, after = trio.current_time() - since, found["number"]
    return {
        "voters": voters,
        "loss": loss,
        "proposers": both,
        "changes_a_second": round(len(took) / 10.0, 1),
        "seconds": spread(took),
        "failed": failed,
        "recovered": again,
        "kept": after > before,
    }


JOBS = {"drawn": drawn, "gated": gated, "nine": nine, "register": register}
MODULE = "benchmarks.releases.real"


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--drawn", type=int, default=0)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--way", choices=["agreed", "none", "lease"], default="agreed")
    parser.add_argument("--gate", type=int, default=0)
    parser.add_argument("--version", default="refusing")
    parser.add_argument("--nine", type=int, default=0)
    parser.add_argument("--register", type=int, nargs="+", default=[])
    parser.add_argument("--beside", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--job", help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.job:
        # In a surge what waits is many connections, each with both ends of its relay here.
        resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
        what, *arguments = json.loads(given.job)
        with tempfile.TemporaryDirectory(prefix="releases-") as folder:
            print(json.dumps(trio.run(JOBS[what], *arguments, Path(folder))))
        return 0
    seeds = range(given.first, given.first + max(given.drawn, given.gate, given.nine))
    jobs: list[tuple[Any, ...]] = [("drawn", seed, given.way) for seed in seeds if given.drawn]
    jobs += [("gated", given.version, seed) for seed in seeds if given.gate]
    jobs += [("nine", what, seed) for seed in seeds if given.nine for what in ("quiet", "release", "killed")]
    jobs += [("register", voters, loss, both) for voters in given.register for loss in (0.0, 0.1) for both in (1, 2)]
    rows = trio.run(beside, jobs, given.beside, MODULE)
    told: dict[str, Any] = {"not played": [job for job, row in zip(jobs, rows, strict=True) if row is None]}
    rows = [row for row in rows if row is not None]
    if given.drawn:
        told |= {
            "runs": len(rows),
            "over the limit": sum(bool(row["over"]) for row in rows),
            "over": [(row["seed"], row["over"]) for row in rows if row["over"]],
            "outcomes": dict(Counter(row["outcome"] for row in rows)),
            "stuck": [row for row in rows if row["stuck"]],
            "findings": [row for row in rows if row["findings"]],
            "acts": dict(sum((Counter(row["acts"]) for row in rows), Counter[str]())),
            "served": dict(sum((Counter(row["served"]) for row in rows), Counter[str]())),
            "back": spread([row["back"] for row in rows if row["back"]]),
        }
    elif given.gate:
        told |= {
            "version": given.version,
            "states": dict(Counter(row["state"] for row in rows)),
            "found": spread([row["found"] for row in rows]),
            "over": spread([row["over"] for row in rows]),
            "rows": rows,
        }
    else:
        told["rows"] = rows
    told["load"] = round(os.getloadavg()[0], 1)
    print(json.dumps(told) if given.json else json.dumps(told, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
