"""Configuration put in force at many hollow dispatchers over loopback sockets, with whole ones among them.

    python -m benchmarks.distribution.hollow [--hollow 200] [--whole 9] [--changes 20] [--scenarios NAME ..]
    ... --save benchmarks/results/distribution.json       # puts the result under "hollow", by the size

All hollow dispatchers of a zone share one process, so that a zone can be killed; the voters are whole.  Each change is
pushed at a whole dispatcher by the calls that `thistleshore config push` makes, and is timed from the answer that it
is agreed until the last dispatcher that runs has it in force: hollow ones look each 0.05 s, of whole ones the log is
read as often.  Lost datagrams are dropped where they are sent; streams to the voters lose nothing.  Times in seconds.
"""

from __future__ import annotations

import argparse
import base64
import json
import os
import random
import re
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any, Protocol

import msgspec
import zstandard

from benchmarks.capacity import counted
from benchmarks.capacity.files import VOTERS, ZONES, Member, Setup, write_files
from benchmarks.capacity.fleets import agree, begin
from benchmarks.capacity.processes import HollowGroup, Measured, WholeDispatcher, Window, ending, watch
from benchmarks.capacity.slopes import KB_A_MB, all_follow, wait_until
from benchmarks.distribution.results import keep
from benchmarks.fleet.virtual import spread
from thistleshore.distribution.model import digest_of
from thistleshore.rig.hollow import Part

PARTS = (Part.VIEW, Part.REGISTER, Part.CONFIGURATION)
EVERYWHERE_WITHIN = 18.0  # s, which is asked
WAITED_MOST = 3 * EVERYWHERE_WITHIN
SETTLES_WITHIN = 400.0  # s for one view of all
LOOK = 0.05  # s
ZONE_GAP = 2.0  # s between the starts of two zones: who joins compares its view with others
PIECE = 3000  # characters of a piece of an upload
PUSH_TRIES = 5
PUSH_AGAIN = 1.0  # s
LOSS = 0.1  # of datagrams
PAUSE = (2.0, 4.0)  # s between two changes: all instances put each in force on one machine
DOWN = 2.0  # s for which one that was killed in a change is down
DIES_WITHIN = 0.3  # s from agreed
BURST_EVERY = 1.0  # s: sixty changes a minute
COST_SECONDS = 20.0
IN_FORCE = re.compile(rb"configuration: (?:version (\d+) is in force|started on version (\d+) from disk)")


def small_body(changes: int) -> bytes:
    """An address set, another with each change: what is cheap to put in force, at two hundred on one machine."""
    return f'[[address_set]]\nname = "changed"\nnetworks = ["10.{changes // 256}.{changes % 256}.0/24"]\n'.encode()


class Instances(Protocol):
    """Dispatchers of one process, which are killed and started together."""

    process: Measured

    @property
    def reached(self) -> dict[int, float]:
        """When all of them had each version, by the system's monotonic clock."""

    def start(self) -> Measured:
        """Start them, first or again."""


class WholeInstance:
    """A whole dispatcher; its log says when a version is in force."""

    def __init__(self, member: Member, folder: Path) -> None:
        self.member, self.folder = member, folder
        self._file = folder / f"{member.name}.log"
        self.process: WholeDispatcher = self.start()

    def start(self) -> WholeDispatcher:
        # What it had in force before counts once it has found it on its disk.
        self._reached: dict[int, float] = {}
        self._read_to = self._file.stat().st_size if self._file.exists() else 0
        self.process = WholeDispatcher(self.member, self.folder)
        return self.process

    @property
    def reached(self) -> dict[int, float]:
        """By what the log says up to now."""
        with self._file.open("rb") as log:
            log.seek(self._read_to)
            lines = log.read().rpartition(b"\n")[0]
        self._read_to += len(lines) + 1 if lines else 0
        for found in IN_FORCE.finditer(lines):
            self._reached.setdefault(int(found[1] or found[2]), time.monotonic())
        return self._reached


class ZoneInstances:
    """The hollow dispatchers of one zone, in one process."""

    def __init__(self, zone: int, members: Sequence[Member], folder: Path) -> None:
        self.zone, self.members, self.folder = zone, members, folder
        self._starts = 0
        self.process: HollowGroup = self.start()

    def start(self) -> HollowGroup:
        """In a process with a status of its own."""
        self._starts += 1
        self.process = HollowGroup(f"zone-{self.zone}-{self._starts}", self.members, self.folder)
        return self.process

    @property
    def reached(self) -> dict[int, float]:
        status = self.process.status()
        return {} if status is None else {int(number): at for number, at in status["in_force"].items()}


def runs(instances: Instances) -> bool:
    return instances.process.child.poll() is None


class Push(msgspec.Struct, frozen=True):
    """A change that is agreed: its number, when it was, and how long that took."""

    number: int
    at: float
    took: float


class Cost(msgspec.Struct, frozen=True):
    """What one dispatcher uses for all its control, while nothing changes."""

    cpu_percent: float
    bytes_a_second: float
    distribution_bytes_a_second: float

    @classmethod
    def of(cls, windows: Sequence[Window], instances: int) -> Cost:
        seconds = windows[0].seconds * instances
        sent = sum(window.sent.udp_bytes + window.sent.tcp_bytes for window in windows)
        own = sum(window.sent.distribution_bytes for window in windows)
        cpu = sum(window.cpu_s for window in windows)
        return cls(round(100.0 * cpu / seconds, 3), round(sent / seconds, 1), round(own / seconds, 1))


class Found(msgspec.Struct, frozen=True):
    """What one scenario came to."""

    scenario: str
    changes: int
    agreeing: dict[str, Any]
    spreading: dict[str, Any]
    late: int  # over 18 s, or never within the run
    unagreed: int  # pushes that no majority answered
    returned: dict[str, Any] | None = None  # from the start of a process that was killed until it has the newest
    load: float = 0.0


class HollowFleet:
    """One fleet of hollow and whole dispatchers, and the changes that are pushed at it."""

    def __init__(self, folder: Path, hollow: int, whole: int, seed: int, running: list[Measured]) -> None:
        self.random, self.running = random.Random(f"hollow {seed}"), running
        self.hollow, self.folder = hollow, folder
        members = write_files(folder, Setup(hollow + whole, PARTS, teams=0, voters=min(VOTERS, whole)))
        self.whole = [WholeInstance(member, folder) for member in members[:whole]]
        running += [each.process for each in self.whole]
        for each in self.whole:
            each.process.wait_ready()
        of_zone = {
            zone: [m for n, m in enumerate(members) if n >= whole and n % ZONES == zone] for zone in range(ZONES)
        }
        begin(self.whole[0].process)
        self.zones: list[ZoneInstances] = []
        for number, found in of_zone.items():
            if found:
                self.zones.append(ZoneInstances(number, found, folder))
                running.append(self.zones[-1].process)
                time.sleep(ZONE_GAP)
        self.all: list[Instances] = [*self.whole, *self.zones]
        self.changes = 0

    def settle(self) -> float | None:
        """Seconds until all have one view and the voters' word; None: not in time.

        As seen from outside: a member knows that the others have the same view once it has probed each in its turn.
        """
        begun = time.monotonic()
        whole = [each.process for each in self.whole]
        groups = [zone.process for zone in self.zones]
        for group in groups:
            group.wait_started()
        count = self.hollow + len(self.whole)
        inside = wait_until(lambda: same_view(groups, count) and all_follow(groups), SETTLES_WITHIN)
        outside = agree(whole, count, SETTLES_WITHIN) if inside is not None else None
        return None if outside is None else round(time.monotonic() - begun, 1)

    # -- changes

    def push(self, by: WholeDispatcher) -> Push | None:
        """Have another configuration agreed; None where no majority answered."""
        self.changes += 1
        body = small_body(self.changes)
        data = base64.urlsafe_b64encode(zstandard.ZstdCompressor().compress(body)).decode()
        pieces = [data[at : at + PIECE] for at in range(0, len(data), PIECE)]
        begun = time.monotonic()
        for attempt in range(PUSH_TRIES):
            upload = f"hollow-{self.changes}-{attempt}"
            for index, piece in enumerate(pieces):
                by.asked(f"config-piece {upload} {index} {len(pieces)} {piece}")
            found = by.asked(f"config-push {upload} {digest_of(body)} - hollow")
            if found is not None and found["status"] == "done":
                now = time.monotonic()
                return Push(found["number"], now, now - begun)
            time.sleep(PUSH_AGAIN)
        return None

    def in_force_after(self, push: Push) -> float | None:
        """Seconds from agreed until all that run now have it; None where they have not within the wait."""
        ends: list[float] = []

        def everywhere() -> bool:
            reached = [first_at(each, push.number) for each in self.all if runs(each)]
            ends[:] = [at for at in reached if at is not None]
            return len(ends) == len(reached)

        until = time.monotonic() + WAITED_MOST
        while time.monotonic() < until:
            if everywhere():
                return max(0.0, max(ends) - push.at)
            time.sleep(LOOK)
        return None

    def lose(self, share: float) -> None:
        """Have that share of all datagrams dropped from now on."""
        for process in self.running:
            counted.lose(process.counts, share)

    def pause(self) -> None:
        """At no fixed phase of the reports."""
        time.sleep(self.random.uniform(*PAUSE))

    def any_whole(self) -> WholeDispatcher:
        return self.random.choice(self.whole).process

    # -- deaths

    def kill(self, dies: Instances) -> None:
        """At once."""
        dies.process.child.kill()
        dies.process.child.wait()

    def returned(self, dead: Instances, number: int) -> float | None:
        """Start them again: the seconds until all of them have that version or a newer one; None: not in time."""
        since = time.monotonic()
        self.running.append(dead.start())
        while time.monotonic() < since + WAITED_MOST:
            if first_at(dead, number) is not None:
                return time.monotonic() - since
            time.sleep(LOOK)
        return None


def same_view(groups: Sequence[HollowGroup], count: int) -> bool:
    """Whether all hollow dispatchers tell the same view of so many living members."""
    found = [group.status() for group in groups]
    told = [status for status in found if status is not None]
    digests = {digest for status in told for digest in status["digests"]}
    return len(told) == len(found) and len(digests) == 1 and all(status["living"] == [count] for status in told)


def first_at(instances: Instances, number: int) -> float | None:
    """When all of them had that version or a newer one; None: not yet."""
    return min((at for n, at in instances.reached.items() if n >= number), default=None)


class Run:
    """One scenario under way."""

    def __init__(self, fleet: HollowFleet) -> None:
        self.fleet = fleet
        self.agreeing: list[float | None] = []
        self.spreading: list[float | None] = []
        self.returned: list[float | None] = []

    def change(self, between: Callable[[], None] = lambda: None) -> Push | None:
        """One change; `between` is done once it is agreed."""
        push = self.fleet.push(self.fleet.any_whole())
        self.agreeing.append(None if push is None else push.took)
        if push is None:
            return None
        between()
        self.spreading.append(self.fleet.in_force_after(push))
        return push

    def found(self, scenario: str) -> Found:
        late = sum(took is None or took > EVERYWHERE_WITHIN for took in self.spreading)
        unagreed = sum(took is None for took in self.agreeing)
        returned = spread(self.returned) if self.returned else None
        load = round(os.getloadavg()[0], 1)
        agreeing, spreading = spread(self.agreeing), spread(self.spreading)
        return Found(scenario, len(self.agreeing), agreeing, spreading, late, unagreed, returned, load)


def quiet(run: Run, changes: int) -> None:
    """No faults."""
    for _ in range(changes):
        run.change()
        run.fleet.pause()


def loss(run: Run, changes: int) -> None:
    """One datagram in ten is lost."""
    run.fleet.lose(LOSS)
    quiet(run, changes)
    run.fleet.lose(0.0)


def zone(run: Run, changes: int) -> None:
    """A zone is down while changes are made, and returns."""
    fleet = run.fleet
    down = fleet.random.choice(fleet.zones)
    fleet.kill(down)
    newest = None
    for _ in range(changes):
        newest = run.change() or newest
        fleet.pause()
    run.returned.append(None if newest is None else fleet.returned(down, newest.number))


def deaths(run: Run, changes: int) -> None:
    """A zone with its relays, or a whole dispatcher, dies at a drawn moment of each change and returns after 2 s."""
    fleet = run.fleet
    for number in range(changes):
        dies: Instances = fleet.random.choice(fleet.zones) if number % 2 else fleet.random.choice(fleet.whole)
        push = run.change(partial(_dies, fleet, dies))
        time.sleep(DOWN)
        run.returned.append(fleet.returned(dies, 0 if push is None else push.number))
        fleet.pause()


def _dies(fleet: HollowFleet, dies: Instances) -> None:
    time.sleep(fleet.random.uniform(0.0, DIES_WITHIN))
    fleet.kill(dies)


def burst(run: Run, changes: int) -> None:
    """One change a second, each timed on its own."""
    fleet, pushes = run.fleet, list[Push]()
    for _ in range(3 * changes):
        begun = time.monotonic()
        push = fleet.push(fleet.any_whole())
        run.agreeing.append(None if push is None else push.took)
        if push is not None:
            pushes.append(push)
        for each in fleet.whole:
            _ = each.reached  # its log is timed by when it is read
        time.sleep(max(0.0, BURST_EVERY - (time.monotonic() - begun)))
    run.spreading += [fleet.in_force_after(push) for push in pushes]


SCENARIOS: dict[str, Callable[[Run, int], None]] = {
    "quiet": quiet,
    "loss": loss,
    "zone": zone,
    "deaths": deaths,
    "burst": burst,
}


def play(folder: Path, hollow: int, whole: int, changes: int, scenarios: Sequence[str], seed: int) -> dict[str, Any]:
    """All scenarios at one fleet, one after another."""
    with ending([]) as running:
        fleet = HollowFleet(folder, hollow, whole, seed, running)
        settled = fleet.settle()
        say(f"one view and the voters' word after {settled} s")
        told: dict[str, Any] = {"hollow": hollow, "whole": whole, "one_view_s": settled, "seed": seed}
        if settled is None:
            return told | {"load": round(os.getloadavg()[0], 1)}
        first = fleet.push(fleet.whole[0].process)
        if first is None or fleet.in_force_after(first) is None:
            return told | {"first": "not in force"}
        told["scenarios"] = []
        for name in scenarios:
            run = Run(fleet)
            SCENARIOS[name](run, changes)
            found = run.found(name)
            say(msgspec.json.encode(found).decode())
            told["scenarios"].append(msgspec.to_builtins(found))
        time.sleep(EVERYWHERE_WITHIN)
        groups = [zone.process for zone in fleet.zones]
        windows = watch([*groups, *(each.process for each in fleet.whole)], COST_SECONDS)
        told["memory_mb"] = round(sum(window.resident_kb for window in windows) / KB_A_MB, 1)
        told["cost"] = {
            "hollow": msgspec.to_builtins(Cost.of(windows[: len(groups)], hollow)),
            "whole": msgspec.to_builtins(Cost.of(windows[len(groups) :], whole)),
        }
        return told | {"load": round(os.getloadavg()[0], 1)}


def say(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--hollow", type=int, default=200)
    parser.add_argument("--whole", type=int, default=9)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--scenarios", nargs="+", choices=list(SCENARIOS), default=list(SCENARIOS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--save", type=Path)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="distribution-hollow-") as folder:
        told = play(Path(folder), given.hollow, given.whole, given.changes, given.scenarios, given.seed)
    if given.save:
        keep(given.save, "hollow", {f"{given.hollow}+{given.whole}": told})
    print(json.dumps(told, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
