"""The view of the fleet with real processes and relays between them: how long it takes to settle, who is wrongly dead.

    python -m benchmarks.fleet.real [--members 3 8 16] [--seeds 20] [--json]
    python -m benchmarks.fleet.real --loss 0.0 0.1 0.3 --minutes 2        # deaths of live members, and with one slowed
    python -m benchmarks.fleet.real --worlds 300 --beside 4 [--first 0]   # drawn worlds of compound faults

A seed picks who is killed, stopped and cut off.  Several rigs run beside one another (`--beside`); the machine's load
is told.  Times in seconds, as the rig saw them: it looks every 0.15 s.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

from benchmarks.fleet.virtual import spread
from thistleshore.rig.rig import STARTED, Rig, open_rig
from thistleshore.rig.run import play
from thistleshore.rig.truth import of
from thistleshore.rig.world import Fault, World, convert, read

WORLDS = Path(__file__).parent.parent.parent / "thistleshore" / "rig" / "worlds"
ROUNDS = 5  # seeds that one rig plays, one after another


async def rounds(rig: Rig, seeds: range, found: list[dict[str, float | None]]) -> None:
    """Crash, join, stop and return, healed cut; each time from its last fault to settled."""
    terms, names = rig.terms, list(rig.processes)
    count = len(names)
    for seed in seeds:
        pick, row = random.Random(seed), dict[str, float | None]()
        gone = pick.choice(names)
        rig.kill(gone)
        row["crash"] = await rig.settle(2 * terms.detection_bound(count))
        rig.start(gone)
        # From when it first answers: how long Python takes to start is no matter of the protocol.
        await rig.until(lambda gone=gone: gone in rig.views, STARTED)  # type: ignore[misc]
        row["join"] = await rig.settle(2 * terms.healing_bound(count))
        await rig.fault(Fault("stop", 0.0, [pick.choice(names)], 3.0))
        row["stop and return"] = await rig.settle(2 * terms.healing_bound(count))
        some = pick.sample(names, max(1, count // 2))
        others = [name for name in names if name not in some]
        rig.cut(some, others)
        bound = terms.detection_bound(count) + terms.spread_bound(count)
        await rig.until(lambda: rig.agreed(some) and rig.agreed(others), bound)  # noqa: B023
        rig.heal()
        row["healed cut"] = await rig.settle(2 * terms.healing_bound(count))
        found.append(row)


async def settling(count: int, first: int, seeds: int, folder: Path) -> list[dict[str, float | None]]:
    found: list[dict[str, float | None]] = []
    async with open_rig(convert({"name": "real", "processes": count}), first, folder) as rig:
        await rounds(rig, range(first, min(first + ROUNDS, seeds)), found)
    return found


async def deaths(count: int, loss: float, slow: bool, minutes: float, folder: Path) -> float:
    """Events an hour in which some process held a live one for dead."""
    world = convert({"name": "real", "processes": count})
    async with open_rig(world, 1, folder) as rig:
        names = list(rig.processes)
        begun = rig.truth.now
        if slow:
            rig.processes[names[0]].slow(60.0 * minutes, 3)
        else:
            await rig._begin(Fault("loss", 0.0, names, 0.0, names, False, loss))
        await trio.sleep(60.0 * minutes)
        rows = [row for row in of(rig.truth.rows, "view") if row["t"] > begun]
    seen, died = set[tuple[str, str]](), 0
    for row in rows:
        for member in row["members"]:
            pair = row["by"], member["name"]
            if member["state"] == "dead" and pair not in seen:
                died += 1
                seen.add(pair)
            elif member["state"] != "dead":
                seen.discard(pair)
    return died / minutes * 60.0


async def drawn(seed: int, folder: Path) -> dict[str, Any]:
    base = read(WORLDS / "compound.toml")
    world: World = msgspec.structs.replace(base, processes=random.Random(seed).randint(5, 8))
    return await play(world, seed, folder)


JOBS: dict[str, Callable[..., Awaitable[Any]]] = {"settling": settling, "deaths": deaths, "drawn": drawn}


async def beside(jobs: list[tuple[Any, ...]], most: int, module: str = "benchmarks.fleet.real") -> list[Any]:
    """What each job came to, in order; so many at a time, each in a process of its own: one that carried the
    datagrams of several rigs would be late."""
    limit, found = trio.CapacityLimiter(most), dict[int, Any]()

    async def one(number: int, job: tuple[Any, ...]) -> None:
        async with limit:
            command = [sys.executable, "-m", module, "--job", json.dumps(job)]
            done = await trio.run_process(command, capture_stdout=True, check=False)
            found[number] = json.loads(done.stdout) if done.returncode == 0 else None

    async with trio.open_nursery() as nursery:
        for number, job in enumerate(jobs):
            nursery.start_soon(one, number, job)
    return [found[number] for number in range(len(jobs))]


async def all_settling(counts: list[int], seeds: int, most: int) -> dict[str, Any]:
    told = {}
    for count in counts:
        parts = await beside([("settling", count, first, seeds) for first in range(0, seeds, ROUNDS)], most)
        rows = [row for part in parts if part is not None for row in part]
        told[str(count)] = {what: spread([row[what] for row in rows]) for what in rows[0]}
    return told


async def losses(counts: list[int], found: list[float], minutes: float, most: int) -> dict[str, Any]:
    jobs: list[tuple[Any, ...]] = [("deaths", count, loss, slow, minutes) for count in counts
                                   for loss, slow in (*((loss, False) for loss in found), (0.0, True))]  # fmt: skip
    told: dict[str, Any] = {}
    for job, rate in zip(jobs, await beside(jobs, most), strict=True):
        told.setdefault(str(job[1]), {})["one slowed" if job[3] else f"loss {job[2]}"] = rate
    return told


async def worlds(count: int, first: int, most: int) -> dict[str, Any]:
    rows = await beside([("drawn", seed) for seed in range(first, first + count)], most)
    failed = [seed for seed, row in enumerate(rows, first) if row is None]
    rows = [row for row in rows if row is not None]
    rows.sort(key=lambda row: (not row["findings"], -(row["took"] if row["took"] is not None else 1e9)))
    worst = [{key: row[key] for key in ("seed", "processes", "took", "bound", "findings")} for row in rows[:10]]
    served = {key: sum(row["served"][key] for row in rows) for key in rows[0]["served"]}
    return {"worlds": count, "fine": sum(not row["findings"] for row in rows), "not played": failed, "served": served,
            "took": spread([row["took"] for row in rows]), "worst": worst}  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--members", type=int, nargs="+", default=[3, 8, 16])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--beside", type=int, default=4)
    parser.add_argument("--loss", type=float, nargs="+")
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--worlds", type=int, default=0)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--job", help=argparse.SUPPRESS)
    asked = parser.parse_args()
    told: dict[str, Any]
    if asked.job:
        what, *arguments = json.loads(asked.job)
        with tempfile.TemporaryDirectory(prefix="fleet-") as folder:
            print(json.dumps(trio.run(JOBS[what], *arguments, Path(folder))))
        return 0
    if asked.worlds:
        told = trio.run(worlds, asked.worlds, asked.first, asked.beside)
    elif asked.loss:
        told = trio.run(losses, asked.members, asked.loss, asked.minutes, asked.beside)
    else:
        told = trio.run(all_settling, asked.members, asked.seeds, asked.beside)
    told["load"] = round(os.getloadavg()[0], 1)
    print(json.dumps(told) if asked.json else json.dumps(told, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
