"""Configuration agreed by a register and put in force at whole processes, under drawn faults and against the clock.

    python -m benchmarks.distribution.real --runs 60 [--first 0] [--beside 3] [--keep FOLDER]   # drawn runs
    python -m benchmarks.distribution.real --latency quiet loss zone steps burst [--changes 30] # at 9 processes
    python -m benchmarks.distribution.real --cost                                               # at 9 processes
    ... --save benchmarks/results/distribution.json       # puts the result under its key "processes"

A drawn run has 5 to 9 processes in 3 or 4 zones, 3 or 5 voters and load.  For 12 s operators push and roll back at
drawn instances, now and then two at the same instant, while processes are killed, also at the fault points of the
program, stopped, cut off and slowed.  Then all faults end, and every process has to come to the last agreed version
within the bound that is stated; after that one more push has to be in force everywhere within 18 s.

Latencies are from the moment at which the pusher is told that a version is agreed until the last process says that it
has it in force.  Times in seconds, by the rig's clock.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import re
import shutil
import statistics
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

from benchmarks.distribution.results import keep
from benchmarks.fleet.real import beside
from benchmarks.fleet.virtual import spread
from thistleshore.distribution.model import ProtocolSettings
from thistleshore.fleet.model import Terms as FleetTerms
from thistleshore.releases.faults import CONFIGURATION_POINTS
from thistleshore.rig import checks
from thistleshore.rig.configuration import ANY, ArmedPoints, Operators, PushAnswer, faulty_body
from thistleshore.rig.rig import STARTED, Rig, open_rig
from thistleshore.rig.world import Fault, World, convert, read

MODULE = "benchmarks.distribution.real"
WORLD_FILE = Path(__file__).parent.parent.parent / "thistleshore" / "rig" / "worlds" / "configuration.toml"
EVERYWHERE_WITHIN = 18.0  # s from agreed to in force everywhere, which is asked
SECONDS = 12.0  # of faults and changes in a drawn run
LAYOUTS = (
    ("east/a", "east/b", "west/a"),
    ("east/a", "east/b", "west/a", "west/b"),
    ("east/a", "west/a", "south/a"),
)
JUDGED = ("answers", "one_content", "forward", "kept", "refusals", "honest")
FAULT_KINDS = ("kill", "kill", "zone", "stop", "cut", "cut", "loss", "delay", "repeat", "reorder")
SIZES = (300, 300, 3_000, 12_000, 60_000)  # bytes of bodies
AMOUNTS = {"loss": (0.05, 0.4), "delay": (0.01, 0.1), "repeat": (0.1, 0.5), "reorder": (0.1, 0.5)}
NINE = {
    "name": "nine",
    "processes": 9,
    "zones": ["east/a", "east/b", "west/a"],
    "voters": 5,
    "configuration": True,
    "period": FleetTerms().period,
}
CHANGE_SIZE = 4_000  # bytes of a body where latency and cost are measured
LAST_TRIES = 5  # of the push at the end: a voter that has returned votes once it has heard from the others
ROWS_FILE = "rows.jsonl"  # what each drawn run came to, in the folder that is named to keep them
STARTS_WITHIN = 90.0  # s for all processes to start and to be one fleet
LATE = f"over {EVERYWHERE_WITHIN:g} s or not agreed"
LATENESS_LOOK = 0.05  # s
COST_SECONDS = 30.0
CHANGES_A_DAY = 2_900
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Lateness:
    """How late the rig itself is: it carries all datagrams, and one that is late has members rightly suspected."""

    def __init__(self) -> None:
        self.found: list[float | None] = []

    async def run(self) -> None:
        """Note it again and again, until cancelled."""
        while True:
            wanted = trio.current_time() + LATENESS_LOOK
            await trio.sleep_until(wanted)
            self.found.append(trio.current_time() - wanted)


async def begin(rig: Rig) -> None:
    """Start all processes and begin the register; on a machine that is busy this takes a while, and is no finding."""
    rig.start()
    with trio.fail_after(STARTS_WITHIN):
        while await rig.settle(STARTED + rig.terms.healing_bound(rig.world.processes), "first start") is None:
            pass
    await rig.begin()


# -- drawn runs


class Drawn:
    """One drawn run: its rig, its operators and what came of their changes."""

    def __init__(self, rig: Rig, seed: int, seconds: float) -> None:
        self.rig, self.random, self.seconds = rig, random.Random(f"distribution {seed}"), seconds
        self.operators, self.points = Operators(rig, seed), ArmedPoints(rig)
        self.names = list(rig.processes)
        self.told: Counter[str] = Counter()

    async def play(self) -> None:
        """One change, and then more with faults; all faults are over at the end."""
        await self._push(self.names[0], self.random)
        async with trio.open_nursery() as nursery:
            for _ in range(self.random.randint(2, 4)):
                nursery.start_soon(self._fault, self._begins(), self.random.random())
            for name in self._armed:
                nursery.start_soon(self._die_at_point, name, self._begins())
            nursery.start_soon(self._changes)

    def _begins(self) -> float:
        """When a fault begins: once there may be a version, and with time left for it."""
        return self.random.uniform(0.1 * self.seconds, 0.6 * self.seconds)

    def arm(self) -> None:
        """Draw who may die at which fault point, before any process starts."""
        self._armed = self.random.sample(self.names, self.random.randint(1, 3))
        for name in self._armed:
            self.points.prepare(name, self.random.choice(CONFIGURATION_POINTS))

    async def _fault(self, at: float, seed: float) -> None:
        chance = random.Random(seed)
        await trio.sleep(at)
        fault = self._drawn_fault(chance, self.seconds - at)
        self.told[f"fault: {fault.kind}"] += 1
        await self.rig.fault(fault)

    def _drawn_fault(self, chance: random.Random, most: float) -> Fault:
        kind = chance.choice(FAULT_KINDS)
        lasts = chance.uniform(0.5, most)
        some = chance.sample(self.names, chance.randint(1, len(self.names) // 2))
        if kind == "zone":
            kind, some = "kill", self._zone(chance)
        if kind in ("kill", "stop"):
            return Fault(kind, 0.0, some, lasts)  # type: ignore[arg-type]
        others = [name for name in self.names if name not in some]
        amount = round(chance.uniform(*AMOUNTS.get(kind, (1.0, 1.0))), 3)
        return Fault(kind, 0.0, some, lasts, others, chance.random() < 0.6, amount)  # type: ignore[arg-type]

    def _zone(self, chance: random.Random) -> list[str]:
        """All processes of one zone."""
        zones = self.rig.world.zones
        drawn = chance.randrange(len(zones))
        return [name for n, name in enumerate(self.names) if n % len(zones) == drawn]

    async def _die_at_point(self, name: str, at: float) -> None:
        """Have it die at its fault point.  As only a pusher comes by some of them, it pushes."""
        await trio.sleep(at)
        async with trio.open_nursery() as nursery:

            def pushes() -> None:
                nursery.start_soon(self._push, name, random.Random(f"{name} {at}"))

            died = await self.points.die(name, 3.0, self.random.uniform(0.2, 4.0), pushes)
        self.told["fault: died at a point" if died else "fault: never at its point"] += 1

    async def _changes(self) -> None:
        until = trio.current_time() + self.seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                for name in self.random.sample(self.names, 2 if self.random.random() < 0.2 else 1):
                    nursery.start_soon(self._change, name, random.Random(self.random.random()))
                await trio.sleep(self.random.uniform(0.5, 1.5))

    async def _change(self, name: str, chance: random.Random) -> None:
        what = chance.random()
        if what < 0.15 and self.operators.done:
            number = chance.choice(list(self.operators.done))
            answer = await self.operators.rollback(name, number, self._against(name, chance), "drawn")
            self._count("rollback", answer)
        elif what < 0.25:
            body = faulty_body(chance, f"faulty {chance.random()}")
            answer = await self.operators.push(name, body, ANY, "faulty", faulty=True)
            self._count("faulty", answer)
        else:
            await self._push(name, chance)

    async def _push(self, name: str, chance: random.Random) -> None:
        body = self.operators.body(chance.choice(SIZES))
        self._count("push", await self.operators.push(name, body, self._against(name, chance), "drawn"))

    def _against(self, name: str, chance: random.Random) -> str:
        """The newest version that this process has told of; now and then none, or the one before."""
        known = self.operators.latest.get(name)
        if known is None or chance.random() < 0.2:
            return ANY
        return str(max(0, known.number - (chance.random() < 0.1)))

    def _count(self, what: str, answer: PushAnswer | None) -> None:
        self.told[f"{what}: {'no answer' if answer is None else answer.status}"] += 1

    async def last_push(self) -> tuple[PushAnswer | None, float | None]:
        """One push once all is well: what came of it, and how long it took to be in force everywhere."""
        answer = None
        for _ in range(LAST_TRIES):
            name = self.random.choice(self.names)
            answer = await self.operators.push(name, self.operators.body(CHANGE_SIZE), ANY, "the last")
            if answer is not None and answer.done:
                took = await self.operators.reached(answer.number, self.names, EVERYWHERE_WITHIN)
                return answer, took
            await trio.sleep(1.0)
        return answer, None


def drawn_world(seed: int) -> World:
    """The size and the zones of a drawn run."""
    chance = random.Random(f"distribution world {seed}")
    count = chance.randint(5, 9)
    return msgspec.structs.replace(
        read(WORLD_FILE), processes=count, zones=chance.choice(LAYOUTS), voters=chance.choice((3, 5)), draw=None
    )


def converges_within(rig: Rig) -> float:
    """s from the end of all faults: processes start, the view settles, and then the time that is asked."""
    return STARTED + rig.terms.healing_bound(rig.world.processes) + EVERYWHERE_WITHIN


async def drawn(seed: int, folder: Path) -> dict[str, Any]:
    """The drawn run of a seed, judged."""
    return await play_drawn(drawn_world(seed), seed, folder)


async def play_drawn(world: World, seed: int, folder: Path, seconds: float = SECONDS) -> dict[str, Any]:
    """Changes and faults of a seed for so long, the way back from them, and what the checks say."""
    async with open_rig(world, seed, folder, start=False) as rig:
        run = Drawn(rig, seed, seconds)
        run.arm()
        await begin(rig)
        rig.load(300.0)
        lateness = Lateness()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lateness.run)
            nursery.start_soon(run.operators.watch)
            await run.play()
            rig.heal()
            rig.start()
            took = await run.operators.together(run.names, converges_within(rig))
            await rig.settle(rig.terms.healing_bound(rig.world.processes), "after the faults")
            answer, everywhere = await run.last_push()
            nursery.cancel_scope.cancel()
        await run.operators.end(rig.running())
        rig.truth.add("alive", names=rig.running())
        await rig.end_load()
        await rig.term(*rig.running())
    rig.truth.write(folder / "record.jsonl")
    findings = [finding._asdict() for finding in checks.judge(rig.truth.rows, JUDGED)]
    return {
        "seed": seed,
        "processes": rig.world.processes,
        "voters": rig.world.voters,
        "zones": len(rig.world.zones),
        "versions": len(run.operators.done),
        "told": dict(run.told),
        "converged": rounded(took),
        "bound": round(converges_within(rig), 2),
        "last": None if answer is None else answer.status,
        "everywhere": rounded(everywhere),
        "served": checks.served(rig.truth.rows),
        "findings": findings,
        "rig late": spread(lateness.found),
    }


def rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def sound(row: dict[str, Any]) -> bool:
    """Whether a drawn run has kept every check and came to its end in time."""
    return not row["findings"] and row["converged"] is not None and row["everywhere"] is not None


def drawn_result(rows: list[dict[str, Any] | None], first: int) -> dict[str, Any]:
    """All drawn runs together; those that are not sound in full."""
    played = [row for row in rows if row is not None]
    return {
        "runs": len(rows),
        "sound": sum(map(sound, played)),
        "not played": [seed for seed, row in enumerate(rows, first) if row is None],
        "not sound": [row for row in played if not sound(row)],
        "versions": sum(row["versions"] for row in played),
        "acts": dict(sorted(total(row["told"] for row in played).items())),
        "served": dict(total(row["served"] for row in played)),
        "converged": spread([row["converged"] for row in played]),
        "bound": max((row["bound"] for row in played), default=0.0),
        "everywhere": spread([row["everywhere"] for row in played]),
        "rig late, worst of each": spread([row["rig late"]["worst"] for row in played]),
    }


def total(counts: Any) -> Counter[str]:
    """The sums of several counts."""
    found: Counter[str] = Counter()
    for count in counts:
        found.update(count)
    return found


# -- from agreed to in force everywhere


def with_default_times(rig: Rig) -> None:
    """Have each process report as often as it does where its file names no times; before any starts."""
    for process in rig.processes.values():
        text = process.file.read_text()
        text = re.sub(r"^sync = .*$", f"sync = {ProtocolSettings().report_interval}", text, flags=re.MULTILINE)
        process.file.write_text(
            re.sub(r"^fresh = .*$", f"fresh = {ProtocolSettings().report_lifetime}", text, flags=re.MULTILINE)
        )


class Latency:
    """Changes one after another at nine processes, and how long each takes to be in force."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self.rig, self.random = rig, random.Random(f"latency {seed}")
        self.operators, self.points = Operators(rig, seed), ArmedPoints(rig)
        self.names = list(rig.processes)
        self.agreeing: list[float | None] = []  # s from the push to the answer that it is agreed
        self.spreading: list[float | None] = []  # s from that answer until the last has it in force
        self.more: dict[str, list[float | None]] = {}

    async def change(self, by: str, among: list[str]) -> PushAnswer | None:
        """One push and its way to those processes; None where it was not agreed."""
        answer = await self.push(by)
        if answer is None:
            self.spreading.append(None)
            return None
        self.spreading.append(await self.operators.reached(answer.number, among, 3 * EVERYWHERE_WITHIN))
        return answer

    async def push(self, by: str) -> PushAnswer | None:
        """Have one change agreed; None where it was not."""
        begun = trio.current_time()
        answer = await self.operators.push(by, self.operators.body(CHANGE_SIZE), ANY, "latency")
        done = answer is not None and answer.done
        self.agreeing.append(trio.current_time() - begun if done else None)
        return answer if done else None

    async def pause(self) -> None:
        """At no fixed phase of the reports."""
        await trio.sleep(self.random.uniform(0.5, 3.0))

    def result(self) -> dict[str, Any]:
        over = sum(took is None or took > EVERYWHERE_WITHIN for took in self.spreading)
        return {
            "changes": len(self.spreading),
            "agreeing": spread(self.agreeing),
            "spreading": spread(self.spreading),
            LATE: over,
            **{what: spread(took) for what, took in self.more.items()},
        }


async def quiet(run: Latency, changes: int) -> None:
    """No faults."""
    for _ in range(changes):
        await run.change(run.random.choice(run.names), run.names)
        await run.pause()


async def loss(run: Latency, changes: int) -> None:
    """One in ten datagrams, and parts of streams, is lost between all processes."""
    fault = Fault("loss", 0.0, run.names, 0.0, run.names, False, 0.1)
    await run.rig._begin(fault)
    await quiet(run, changes)


async def zone(run: Latency, changes: int) -> None:
    """A zone is down while changes are made, and returns; what returns is timed from its first answer."""
    zones = run.rig.world.zones
    run.more["returned"] = []
    for number in range(3):
        down = [name for n, name in enumerate(run.names) if n % len(zones) == number]
        up = [name for name in run.names if name not in down]
        run.rig.kill(*down)
        for _ in range(max(1, changes // 3)):
            await run.change(run.random.choice(up), up)
            await run.pause()
        run.rig.start(*down)
        async with trio.open_nursery() as nursery:
            for name in down:
                nursery.start_soon(_returned, run, name)


async def _returned(run: Latency, name: str) -> None:
    """Time one process from its first answer until it has the last version in force."""
    while await run.operators.status(name) is None:
        await trio.sleep(0.05)
    run.more["returned"].append(await run.operators.reached(run.operators.last, [name], 3 * EVERYWHERE_WITHIN))


async def steps(run: Latency, changes: int) -> None:
    """In each change one or two processes die, at a fault point or at a drawn time, and return after 2 s."""
    run.more["who lived through"] = []
    for _ in range(changes):
        by, dies, other = run.random.sample(run.names, 3)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_dies, run, dies, run.random.uniform(0.0, 1.5))
            if run.random.random() < 0.5:
                nursery.start_soon(run.points.die, other, 1.5, 2.0)
            answer = await run.push(by)
            if answer is None:
                run.spreading.append(None)
                continue
            lived = [name for name in run.names if name not in (dies, other)]
            nursery.start_soon(_among, run.operators, answer.number, run.names, run.spreading)
            nursery.start_soon(_among, run.operators, answer.number, lived, run.more["who lived through"])
        await run.rig.settle(STARTED + run.rig.terms.healing_bound(len(run.names)), "after a change")


async def _dies(run: Latency, name: str, at: float) -> None:
    await trio.sleep(at)
    await run.rig.fault(Fault("kill", 0.0, [name], 2.0))


async def _among(operators: Operators, number: int, names: list[str], took: list[float | None]) -> None:
    took.append(await operators.reached(number, names, 3 * EVERYWHERE_WITHIN))


async def burst(run: Latency, changes: int) -> None:
    """So many changes, one a second, each timed on its own."""
    async with trio.open_nursery() as nursery:
        for number in range(2 * changes):
            nursery.start_soon(run.change, run.names[number % len(run.names)], run.names)
            await trio.sleep(1.0)


SCENARIOS: dict[str, Callable[[Latency, int], Awaitable[None]]] = {
    "quiet": quiet,
    "loss": loss,
    "zone": zone,
    "steps": steps,
    "burst": burst,
}


async def latency(scenario: str, changes: int, seed: int, folder: Path) -> dict[str, Any]:
    """One scenario at nine processes, judged as the drawn runs are."""
    async with open_rig(convert(NINE), seed, folder, start=False) as rig:
        with_default_times(rig)
        run = Latency(rig, seed)
        if scenario == "steps":
            for name in run.names:
                run.points.prepare(name, run.random.choice(CONFIGURATION_POINTS))
        await begin(rig)
        lateness = Lateness()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lateness.run)
            await SCENARIOS[scenario](run, changes)
            nursery.cancel_scope.cancel()
    rig.truth.write(folder / "record.jsonl")
    findings = checks.judge(rig.truth.rows, ["one_content", "forward", "refusals", "honest"])
    told = {"scenario": scenario, **run.result(), "rig late": spread(lateness.found)}
    return {**told, "findings": [finding._asdict() for finding in findings]}


# -- what it costs


async def cost(what: str, seed: int, folder: Path) -> dict[str, Any]:
    """CPU, memory and bytes of each of nine processes: without the mechanism, at rest, with changes, in a burst."""
    world = {**NINE, "configuration": what != "without"}
    pauses = {"changes": 86_400.0 / CHANGES_A_DAY, "burst": 1.0}
    async with open_rig(convert(world), seed, folder, start=False) as rig:
        with_default_times(rig)
        await begin(rig)
        operators, names = Operators(rig, seed), list(rig.processes)
        if what != "without":
            await operators.push(names[0], operators.body(CHANGE_SIZE), ANY, "the first")
        await trio.sleep(5.0)
        rig.looks = False
        await trio.sleep(2.0)
        before, begun = {name: consumed(rig, name) for name in names}, trio.current_time()
        changes, pause, number = 0, pauses.get(what, COST_SECONDS), 0
        while trio.current_time() < begun + COST_SECONDS:
            if what in pauses:
                answer = await operators.push(names[number % len(names)], operators.body(CHANGE_SIZE), ANY, "cost")
                changes += answer is not None and answer.done
                number += 1
            await trio.sleep_until(min(begun + COST_SECONDS, trio.current_time() + pause))
        seconds = trio.current_time() - begun
        after = {name: consumed(rig, name) for name in names}
        memory = {name: resident(rig, name) for name in names}
    rates = {name: {key: (after[name][key] - before[name][key]) / seconds for key in before[name]} for name in names}
    told = {"what": what, "seconds": round(seconds, 1), "changes": changes}
    for kind, among in (("voter", names[: rig.world.voters]), ("dispatcher", names[rig.world.voters :])):
        told[kind] = cost_row([rates[name] for name in among], [memory[name] for name in among])
    return told


def consumed(rig: Rig, name: str) -> dict[str, float]:
    """CPU seconds, and bytes of datagrams and of the register's streams, in and out, so far."""
    child = rig.processes[name].child
    assert child is not None
    fields = Path(f"/proc/{child.pid}/stat").read_text().rpartition(")")[2].split()
    sent = received = 0
    for (sender, receiver), link in rig.links._links.items():
        size = link.counts["bytes"] + link.counts["stream bytes"]
        if name in (sender, receiver) and {sender, receiver} <= set(rig.processes):
            sent += size * (sender == name)
            received += size * (receiver == name)
    return {"cpu": (int(fields[11]) + int(fields[12])) / CLOCK_TICKS, "sent": sent, "received": received}


def resident(rig: Rig, name: str) -> float:
    """Resident memory, MB."""
    child = rig.processes[name].child
    assert child is not None
    return int(Path(f"/proc/{child.pid}/statm").read_text().split()[1]) * PAGE / 1e6


def cost_row(rates: list[dict[str, float]], memory: list[float]) -> dict[str, float]:
    """Medians and worst of one kind of process."""
    cpu = [100.0 * rate["cpu"] for rate in rates]
    size = [(rate["sent"] + rate["received"]) / 1000.0 for rate in rates]
    return {
        "cpu_percent_median": round(statistics.median(cpu), 2),
        "cpu_percent_worst": round(max(cpu), 2),
        "kb_a_second_median": round(statistics.median(size), 2),
        "kb_a_second_worst": round(max(size), 2),
        "sent_kb_a_second_worst": round(max(rate["sent"] for rate in rates) / 1000.0, 2),
        "resident_mb_worst": round(max(memory), 1),
    }


# -- the command


JOBS: dict[str, Callable[..., Awaitable[Any]]] = {"drawn": drawn, "latency": latency, "cost": cost}


def job(keep: str, what: str, *arguments: Any) -> Any:
    """Play one job in this process; the folder of a run that is not sound goes to `keep`, where that is named."""
    with tempfile.TemporaryDirectory(prefix="distribution-") as folder:
        out = Path(folder) / "run"
        try:
            found = trio.run(JOBS[what], *arguments, out)
        except BaseException:
            if keep:
                shutil.copytree(out, Path(keep) / f"{what}-{arguments[0]}", dirs_exist_ok=True)
            raise
        if keep and what == "drawn":
            with (Path(keep) / ROWS_FILE).open("a") as rows:
                rows.write(json.dumps(found) + "\n")
        if keep and (found.get("findings") or found.get(LATE) or (what == "drawn" and not sound(found))):
            shutil.copytree(out, Path(keep) / f"{what}-{arguments[0]}", dirs_exist_ok=True)
        return found


def arguments() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--runs", type=int, default=0)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--latency", nargs="+", choices=list(SCENARIOS), default=[])
    parser.add_argument("--changes", type=int, default=30)
    parser.add_argument("--cost", action="store_true")
    parser.add_argument("--beside", type=int, default=2)
    parser.add_argument("--keep", default="", help="where the folders of runs that are not sound go")
    parser.add_argument("--rows", type=Path, help="drawn runs that were made before, by the file that --keep has left")
    parser.add_argument("--save", type=Path)
    parser.add_argument("--job", help=argparse.SUPPRESS)
    return parser


def main() -> int:
    given = arguments().parse_args()
    if given.job:
        print(json.dumps(job(*json.loads(given.job))))
        return 0
    told: dict[str, Any] = {}
    if given.runs:
        jobs: list[tuple[Any, ...]] = [
            (given.keep, "drawn", seed) for seed in range(given.first, given.first + given.runs)
        ]
        told["drawn"] = drawn_result(trio.run(beside, jobs, given.beside, MODULE), given.first)
    if given.rows:
        rows = {row["seed"]: row for row in map(json.loads, given.rows.read_text().splitlines())}
        told["drawn"] = drawn_result([rows.get(seed) for seed in range(min(rows), max(rows) + 1)], min(rows))
    if given.latency:
        jobs = [(given.keep, "latency", scenario, given.changes, given.first) for scenario in given.latency]
        told["latency"] = trio.run(beside, jobs, given.beside, MODULE)
    if given.cost:
        jobs = [(given.keep, "cost", what, given.first) for what in ("without", "rest", "changes", "burst")]
        told["cost"] = trio.run(beside, jobs, given.beside, MODULE)
    told["load"] = round(os.getloadavg()[0], 1)
    if given.save:
        keep(given.save, "processes", told)
    print(json.dumps(told, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
