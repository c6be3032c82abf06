"""Plays a world with a seed: start, settle, load, the timeline of faults, settle again, end, judge."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import trio

from thistleshore.rig import checks
from thistleshore.rig.configuration import Operators
from thistleshore.rig.processes import PROGRAM
from thistleshore.rig.rig import STARTED, Rig, open_rig
from thistleshore.rig.world import Fault, World, timeline

BEFORE = 0.5  # s of load before the first fault
SPREAD_WITHIN = 18.0  # s for the last agreed version to be in force at all, once the view is settled
AFTER = 0.5  # s of load after the view is settled again


def allowed(world: World, faults: Sequence[Fault], rig: Rig) -> float:
    """s within which the view must be settled after the last fault, by the protocol's own times."""
    terms, count = rig.terms, world.processes
    bound = terms.detection_bound(count) + terms.healing_bound(count)
    if any(fault.kind in ("kill", "restart", "term") for fault in faults):
        bound += STARTED  # a process has to start first
    return bound


async def converge(operators: Operators) -> None:
    """Wait until all that run have the last version in force, and have each say its last word on it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operators.watch)
        await operators.together(operators.rig.running(), SPREAD_WITHIN)
        nursery.cancel_scope.cancel()
    await operators.end(operators.rig.running())


async def play(
    world: World,
    seed: int,
    out: Path,
    command: Sequence[str] = PROGRAM,
    told: Callable[[str], None] = lambda text: None,
) -> dict[str, Any]:
    """One run; its summary, which lies in `out` with the record.  Cancelled, all is ended and nothing written."""
    faults = timeline(world, seed)
    async with open_rig(world, seed, out, command) as rig:
        told("started")
        lasts = max((fault.ends for fault in faults), default=0.0)
        bound = allowed(world, faults, rig)
        rig.load(BEFORE + lasts + bound)
        await trio.sleep(BEFORE)
        begun = trio.current_time()

        async def one(fault: Fault) -> None:
            await trio.sleep_until(begun + fault.at)
            told(f"{fault.kind} {' '.join(fault.who)}")
            await rig.fault(fault)

        async with trio.open_nursery() as operating:
            operators = None
            if world.configuration:
                await rig.begin()
                operators = Operators(rig, seed)
                operating.start_soon(operators.watch)
                operating.start_soon(operators.push_now_and_then)
                begun = trio.current_time()
            async with trio.open_nursery() as nursery:
                for fault in faults:
                    nursery.start_soon(one, fault)
            operating.cancel_scope.cancel()
        told("settling")
        took = await rig.settle(bound)
        if operators is not None:
            await converge(operators)
        if world.load.rate:
            await trio.sleep(AFTER)
        for name in rig.running():  # the last word of each, for the checks
            if (view := await rig.told(name)) is not None:
                rig.truth.add("view", by=name, **view)
        rig.truth.add("alive", names=[rig.called[name] for name in rig.running()])
        await rig.end_load()
        told("ending")
        await rig.term(*rig.running())
        rows = rig.truth.rows
    findings = checks.judge(rows)
    summary = {
        "world": world.name,
        "seed": seed,
        "processes": world.processes,
        "faults": len(faults),
        "bound": round(bound, 3),
        "took": None if took is None else round(took, 3),
        "served": checks.served(rows),
        "findings": [found._asdict() for found in findings],
    }
    rig.truth.write(out / "record.jsonl")
    (out / "summary.json").write_text(json.dumps(summary, indent=1) + "\n")
    (out / "world.json").write_bytes(msgspec.json.encode(world))
    return summary
