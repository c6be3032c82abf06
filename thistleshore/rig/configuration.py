"""Configuration pushed to the processes of a rig by a seed, and a record of what each process says of it.

Rows that are added to the record: `distribution` (the zone of each process, and for how long a report counts),
`push` and `push-answer` (changes asked for, and what came of them), `config` (one answer to `config-status`) and
`history` (one answer to `config-history`).  All but the first are the program's own word.
"""

from __future__ import annotations

import base64
import os
import random
import sys
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

import msgspec
import trio
import zstandard

from thistleshore.distribution.model import MAX_BODY_BYTES, ProtocolSettings, digest_of
from thistleshore.rig.rig import CHANGE, Rig
from thistleshore.rig.truth import Row

PIECE = 3000  # characters of one piece of an upload
STATUS_WITHIN = 3.0  # s for an answer to `config-status`, which asks the relays of all zones
PUSH_EVERY = 1.0  # s
SMALL = 600  # bytes of a body
LOOK = 0.5  # s between two questions to one process
PROGRAM_WITH_POINTS = (sys.executable, "-m", "thistleshore")
ANY = "-"  # a push that names no version that it is made against
DEATH_LOOK = 0.01  # s between two looks whether a process has died at its fault point
FILLER = "0123456789abcdef"  # in comments: four bits a character, so that a body compresses to half of its size

Read = TypeVar("Read", bound=msgspec.Struct)


class PushAnswer(msgspec.Struct, frozen=True):
    """What came of a push or a rollback."""

    status: str  # done, refused or no-majority
    number: int = 0
    digest: str = ""
    told: str = ""

    @property
    def done(self) -> bool:
        return self.status == "done"


class Behind(msgspec.Struct, frozen=True):
    """One instance that has reported an older version."""

    name: str
    applied: int


class ZoneStatus(msgspec.Struct, frozen=True):
    """How far one zone is with a version, as an instance tells it."""

    zone: str
    members: int
    applied: int
    behind: tuple[Behind, ...] = ()
    unknown: tuple[str, ...] = ()


class Status(msgspec.Struct, frozen=True):
    """One answer to `config-status`."""

    agreed: bool
    number: int
    digest: str
    in_force_here: int
    spread_of: int  # the version that the zones are counted for
    everywhere: bool = False
    serving_from: str = ""
    zones: tuple[ZoneStatus, ...] = ()


class Entry(msgspec.Struct, frozen=True):
    """One agreed version of the history."""

    number: int
    digest: str
    restored: int = 0  # the version that a rollback restored; 0: a push


class History(msgspec.Struct, frozen=True):
    """One answer to `config-history`."""

    entries: tuple[Entry, ...] = ()


# -- bodies


def drawn_body(chance: random.Random, workers: Sequence[tuple[str, int]], size: int, label: str) -> bytes:
    """A valid body of about so many bytes, unlike any other by its label.

    `workers` are names and ports of ticket workers; one body in three lists hosts, at least two of them, and one in
    two has other shares of members.
    """
    networks = [f"10.{chance.randrange(256)}.{chance.randrange(256)}.0/24" for _ in range(chance.randint(1, 12))]
    lines = [
        f"# {label}",
        "[[address_set]]",
        'name = "counters"',
        f"networks = {msgspec.json.encode(sorted(set(networks))).decode()}",
        "[[match]]",
        'name = "drawn"',
        f"when = 'request.path.startsWith(\"/drawn-{chance.randrange(1000)}\")'",
        "contract = '\"seat-search\"'",
    ]
    if chance.random() < 1 / 2:
        share = chance.randint(30, 60)
        lines += ["[contracts]", f"others = 0.{99 - share}", "[[member]]", 'name = "house"', f"share = 0.{share}"]
    if chance.random() < 1 / 3:
        lines += host_lines(chance.sample(list(workers), chance.randint(min(2, len(workers)), len(workers))))
    while sum(len(line) + 1 for line in lines) < size:
        lines.append("# " + "".join(chance.choices(FILLER, k=100)))
    return ("\n".join(lines) + "\n").encode()


def host_lines(workers: Sequence[tuple[str, int]]) -> list[str]:
    """The tables of ticket workers that are called without a relay; `wN` is in the bay that the rig's files give it."""
    lines = []
    for name, port in workers:
        bay = 1 + int(name.removeprefix("w")) % 2
        lines += ["[[host]]", f'name = "{name}"', 'service = "ticketing"', f"bay = {bay}"]
        lines.append(f'address = "127.0.0.1:{port}"')
    return lines


def faulty_body(chance: random.Random, label: str) -> bytes:
    """A body that a push has to refuse: a table of one instance alone, or no TOML."""
    return f"# {label}\n{chance.choice(['[http]', 'name = ', '[fleet]', '[[host]]'])}\n".encode()


def pieces(body: bytes) -> list[str]:
    """The pieces of an upload: the body compressed, as text."""
    text = base64.urlsafe_b64encode(zstandard.ZstdCompressor().compress(body)).decode()
    return [text[at : at + PIECE] for at in range(0, len(text), PIECE)]


def joined(parts: Sequence[str]) -> bytes:
    """The body of an upload, as the program has to read it."""
    return zstandard.ZstdDecompressor().decompress(
        base64.urlsafe_b64decode("".join(parts)), max_output_size=MAX_BODY_BYTES
    )


# -- operators


class Operators:
    """Changes at the processes of one rig, as several operators make them, with a record of all that they are told."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self.rig = rig
        self.random = random.Random(f"operators {seed}")
        self.done: dict[int, str] = {}  # digests by number, of all changes that were answered with done
        self.latest: dict[str, Status] = {}  # the last word of each process
        self.last = 0  # the newest version that anybody has told of
        self._uploads = 0
        rig.truth.add("distribution", fresh=_fresh(rig), zones=_zones(rig))

    def body(self, size: int) -> bytes:
        """A valid body that nobody has pushed yet."""
        self._uploads += 1
        workers = [(worker.name, worker.port) for worker in self.rig.workers.values()]
        return drawn_body(self.random, workers, size, f"body {self._uploads} of seed {self.rig.seed}")

    async def status(self, name: str, number: int | None = None, within: float = STATUS_WITHIN) -> Status | None:
        """What a process says of a version, the newest where none is named; None where it does not answer."""
        process, asked = self.rig.processes[name], self.rig.truth.now
        life = process.life
        answer = await self.rig.call(name, f"FLEET config-status {number or ''}".rstrip(), within)
        status = _read(answer, Status)
        if status is None or process.life != life:
            return None
        self.latest[name] = status
        self.last = max(self.last, status.number)
        self.rig.truth.add("config", by=name, asked=round(asked, 6), **msgspec.to_builtins(status))
        return status

    async def push(self, name: str, body: bytes, against: str, reason: str, faulty: bool = False) -> PushAnswer | None:
        """Upload a body in pieces and have it agreed; None where there was no answer."""
        self._uploads += 1
        upload, parts, digest = f"u{os.getpid()}-{self._uploads}", pieces(body), digest_of(body)
        asked = self._asked(name, "push", digest, against, faulty)
        for index, part in enumerate(parts):
            answer = await self.rig.call(name, f"FLEET config-piece {upload} {index} {len(parts)} {part}", CHANGE)
            found = _read(answer, PushAnswer)
            if found is None or not found.done:
                return self._answered(asked, found, answer)
        answer = await self.rig.call(name, f"FLEET config-push {upload} {digest} {against} {reason}", CHANGE)
        return self._answered(asked, _read(answer, PushAnswer), answer)

    async def rollback(self, name: str, number: int, against: str, reason: str) -> PushAnswer | None:
        """Have an earlier version restored under a new number."""
        asked = self._asked(name, "rollback", self.done.get(number, ""), against, False)
        answer = await self.rig.call(name, f"FLEET config-rollback {number} {against} {reason}", CHANGE)
        return self._answered(asked, _read(answer, PushAnswer), answer)

    async def history(self, name: str) -> History | None:
        """The agreed versions that a process tells of."""
        found = _read(await self.rig.call(name, "FLEET config-history", CHANGE), History)
        if found is not None:
            self.rig.truth.add("history", by=name, entries=msgspec.to_builtins(found.entries))
        return found

    def _asked(self, name: str, kind: str, digest: str, against: str, faulty: bool) -> Row:
        self.rig.truth.add("push", by=name, kind=kind, digest=digest, against=against, faulty=faulty)
        return self.rig.truth.rows[-1]

    def _answered(self, asked: Row, found: PushAnswer | None, answer: str) -> PushAnswer | None:
        status = "no answer" if found is None else found.status
        number, digest, told = (0, "", answer[:200]) if found is None else (found.number, found.digest, found.told)
        self.rig.truth.add(
            "push-answer",
            by=asked["by"],
            kind=asked["kind"],
            sent=asked["digest"],
            asked=asked["t"],
            status=status,
            number=number,
            digest=digest,
            told=told,
        )
        if found is not None and found.done:
            self.done[number] = digest
            self.last = max(self.last, number)
        return found

    async def push_now_and_then(self, every: float = PUSH_EVERY) -> None:
        """Push a small body at a drawn process again and again, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                name = self.random.choice(list(self.rig.processes))
                nursery.start_soon(self.push, name, self.body(SMALL), ANY, "now and then")
                await trio.sleep(every)

    # -- looking

    async def watch(self, every: float = LOOK) -> None:
        """Ask each process again and again, until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self.rig.processes:
                nursery.start_soon(self._watch, name, every)

    async def _watch(self, name: str, every: float) -> None:
        while True:
            if self.rig.processes[name].runs:
                await self.status(name)
            await trio.sleep(every)

    async def together(self, names: Sequence[str], within: float) -> float | None:
        """Wait, while `watch` runs, until all of these say that they have the newest version in force that anybody has
        told of: the s it took; None where it is not in time.  What they said before does not count."""
        begun = trio.current_time()
        self.latest.clear()
        with trio.move_on_after(within):
            while not self._together(names):
                await trio.sleep(0.05)
            return trio.current_time() - begun
        return None

    def _together(self, names: Sequence[str]) -> bool:
        last = self.last
        return all(name in self.latest and self.latest[name].in_force_here == last for name in names)

    async def end(self, names: Sequence[str]) -> None:
        """Ask each for its last word and its history, for the checks."""
        for name in names:
            await self.status(name)
            await self.history(name)

    async def reached(self, number: int, names: Sequence[str], within: float, every: float = 0.2) -> float | None:
        """Ask each until it has this version or a newer one in force: the s until the last had; None: not in time.

        A process that is down is asked again once it runs."""
        begun = trio.current_time()

        async def one(name: str) -> None:
            while True:
                status = await self.status(name) if self.rig.processes[name].runs else None
                if status is not None and status.in_force_here >= number:
                    return
                await trio.sleep(every)

        with trio.move_on_after(within) as limit:
            async with trio.open_nursery() as nursery:
                for name in names:
                    nursery.start_soon(one, name)
        return None if limit.cancelled_caught else trio.current_time() - begun


def _zones(rig: Rig) -> dict[str, str]:
    """The zone of each process; the rig deals them out in turn."""
    zones = rig.world.zones
    return {name: zones[number % len(zones)] for number, name in enumerate(rig.world.names)}


def _fresh(rig: Rig) -> float:
    """The s for which a report counts, as the files of the processes have it."""
    file = tomllib.loads(rig.processes[rig.world.names[0]].file.read_text())
    return float(file["fleet"].get("configuration", {}).get("fresh", ProtocolSettings().report_lifetime))


def _read(answer: str, kind: type[Read]) -> Read | None:
    """The first line of an answer; None where there is none, or the call was turned down."""
    line = answer.split("\n")[0]
    return msgspec.json.decode(line, type=kind) if line.startswith("{") else None


# -- fault points


class ArmedPoints:
    """Processes that die at a fault point once they are told to.

    A file disarms a point; it is there from the start of a process and is removed at the time of the fault.
    """

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self._files: dict[str, Path] = {}

    def prepare(self, name: str, point: str, program: Sequence[str] = PROGRAM_WITH_POINTS) -> None:
        """From its next start on, a process may die at this point.  The program has to run with its assertions."""
        file = self.rig.out / f"fault-{name}"
        file.touch()
        self._files[name] = file
        self.rig.processes[name].command = ("env", f"THISTLESHORE_FAULT={point}@{file}", *program)

    async def die(self, name: str, within: float, down: float, told: Callable[[], None] = lambda: None) -> bool:
        """Arm the point, wait until the process has died at it, and start it again after so many s; `told` is called
        once it is armed.  False where it never came by the point: it is disarmed again."""
        process, file = self.rig.processes[name], self._files[name]
        if not process.lives:
            return False
        file.unlink(missing_ok=True)
        told()
        alive, until = self.rig.truth.now, trio.current_time() + within
        try:
            while process.lives and trio.current_time() < until:
                alive = self.rig.truth.now
                await trio.sleep(DEATH_LOOK)
        finally:
            file.touch()
        if process.lives:
            return False
        self._died(name, alive, down)
        await trio.sleep(down)
        self.rig.start(name)
        return True

    def _died(self, name: str, alive: float, down: float) -> None:
        """Put down the death as what it is, from when it was last seen alive."""
        truth = self.rig.truth
        truth.add("exit", name=name, status=None, asked=False)
        truth.add("fault", kind="kill", who=[name], to=[], amount=1, until=truth.now + down)
        truth.rows[-1]["t"] = round(alive, 6)
