"""Which measurements there are, and at which sizes each runs, in full and in the short form for CI."""

from __future__ import annotations

import os
import platform
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from benchmarks.capacity import configuration, fleets, pure, service, slopes
from benchmarks.capacity.model import SIZE, Agreement, Mixed, Result, Series
from benchmarks.capacity.slopes import Pace
from thistleshore.rig.hollow import Part

VIEW, FOLLOWED = (Part.VIEW,), (Part.VIEW, Part.REGISTER)


class Sizes(msgspec.Struct, frozen=True):
    """The sizes of each measurement, and how long each looks."""

    pace: Pace = Pace()
    leases: Sequence[int] = (3, 5, 9, 15, 26)
    lease_workers: Sequence[int] = (50, 100, 400, 1000, 2600)
    view: Sequence[int] = (9, 15, 20, 26, 40, 60, 120, 209)
    register: Sequence[int] = (9, 15, 20, 26, 40)
    configuration: Sequence[int] = (9, 15, 26, 40)
    decisions: Sequence[int] = (200, 400, 800, 1600, 2600)
    decision_jobs: int = 1500
    requests: Sequence[int] = (200, 800, 1600, 2600)
    request_count: int = 6000
    running: Sequence[int] = (500, 1000, 2000, 3000)
    running_workers: int = 200
    teams: Sequence[int] = (9, 30, 60, 120)
    team_requests: int = 20_000
    crashes: Sequence[int] = (9, 15, 26, 60)
    crash_seeds: int = 5
    zone_lost: Sequence[int] = (15, 26, 45, 60)
    zone_seeds: int = 5
    region_cut: Sequence[int] = (15, 26, 45, 60)
    region_seconds: float = 3600.0
    compared: Sequence[int] = (3, 5, 9, 15)
    mixed: Sequence[tuple[int, int, tuple[Part, ...]]] = (
        (17, 9, FOLLOWED),
        (51, 9, FOLLOWED),
        (200, 9, VIEW),
    )
    mixed_most: float = 300.0


FULL = Sizes()
# Small enough for CI: what it says must not depend on how busy the machine is.
QUICK = Sizes(
    pace=Pace(0.5, 1.5, 0.2),
    leases=(2, 5),
    lease_workers=(),
    view=(3, 6),
    register=(6,),
    configuration=(),
    decisions=(50, 100, 150, 200),
    decision_jobs=150,
    requests=(50,),
    request_count=160,
    running=(20, 40, 60, 80),
    running_workers=50,
    teams=(9, 30, 60, 120),
    team_requests=500,
    crashes=(3, 4, 5, 6),
    crash_seeds=1,
    zone_lost=(15,),
    zone_seeds=1,
    region_cut=(6,),
    region_seconds=30.0,
    compared=(),
    mixed=((6, 3, VIEW),),
    mixed_most=60.0,
)


class Runner:
    """Runs measurements and gathers what they found."""

    def __init__(self, sizes: Sizes, folder: Path, say: Callable[[str], None]) -> None:
        self.sizes, self.folder, self.say = sizes, folder, say
        self.series: dict[str, Series] = {}
        self.agreement: tuple[Agreement, ...] = ()
        self.mixed: tuple[Mixed, ...] = ()
        self._empty: int | None = None

    @property
    def empty(self) -> int:
        """KB of a process that hosts no hollow dispatcher."""
        if self._empty is None:
            self._empty = slopes.empty_kb(self.folder)
        return self._empty

    def _view(self) -> Series:
        sizes = self.sizes
        return slopes.view_by_members(self.folder, sizes.view, sizes.pace, self.empty)

    def _register(self) -> Series:
        """The view's cost is taken off, at the same sizes."""
        sizes = self.sizes
        view = self.series.get("view") or slopes.view_by_members(self.folder, sizes.register, sizes.pace, self.empty)
        missing = [size for size in sizes.register if view.at(size, "cpu_percent") is None]
        if missing:
            more = slopes.view_by_members(self.folder, missing, sizes.pace, self.empty)
            view = msgspec.structs.replace(view, points=(*view.points, *more.points))
        return slopes.register_by_instances(self.folder, sizes.register, sizes.pace, self.empty, view)

    def measurements(self) -> Mapping[str, Callable[[], Series | None]]:
        """Every series by its name."""
        sizes, folder = self.sizes, self.folder
        return {
            "decisions": lambda: pure.decisions(sizes.decisions, sizes.decision_jobs),
            "teams": lambda: pure.teams(sizes.teams, sizes.team_requests),
            "requests": lambda: service.requests(folder, sizes.requests, sizes.request_count, SIZE.teams),
            "running": lambda: service.running_tasks(folder, sizes.running, sizes.running_workers, sizes.pace.quiet),
            "leases": lambda: slopes.leases_by_instances(folder, sizes.leases, sizes.pace, self.empty),
            "leases_workers": lambda: slopes.leases_by_workers(folder, sizes.lease_workers, sizes.pace, self.empty),
            "view": self._view,
            "register": self._register,
            "configuration": lambda: configuration.by_instances(folder, sizes.configuration, sizes.pace, self.empty),
            "crashes": lambda: pure.crashes(sizes.crashes, sizes.crash_seeds),
            "zone_lost": lambda: pure.zone_lost(sizes.zone_lost, sizes.zone_seeds),
            "region_cut": lambda: pure.region_cut(sizes.region_cut, sizes.region_seconds),
        }

    def run(self, only: Sequence[str]) -> None:
        """Those of that name, or all."""
        for name, measure in self.measurements().items():
            if only and name not in only:
                continue
            begun = time.monotonic()
            found = measure()
            if found is not None and found.points:
                self.series[name] = found
            self.say(f"{name}: {time.monotonic() - begun:.0f} s")
        if not only or "compared" in only:
            self.agreement = tuple(
                fleets.compare(self.folder, count, self.sizes.pace, SIZE.teams, self.empty)
                for count in self.sizes.compared
            )
            self.say("compared")
        if not only or "mixed" in only:
            self.mixed = tuple(self._mixed(*row) for row in self.sizes.mixed)
            self.say("mixed")

    def _mixed(self, hollow: int, whole: int, parts: tuple[Part, ...]) -> Mixed:
        folder = self.folder / f"mixed-{hollow}-{'-'.join(parts)}"
        return fleets.mixed(folder, hollow, whole, parts, self.sizes.pace, self.sizes.mixed_most)


def machine() -> str:
    return f"{os.cpu_count()} cores, Python {platform.python_version()}"


def measure(quick: bool, only: Sequence[str], before: Result | None, seconds: float | None = None) -> Result:
    """A run; what it did not measure is as it was before."""
    sizes = QUICK if quick else FULL
    if seconds is not None:
        sizes = msgspec.structs.replace(sizes, pace=sizes.pace._replace(seconds=seconds))
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        runner = Runner(sizes, Path(folder), lambda line: print(line, file=sys.stderr, flush=True))
        if before is not None:
            runner.series, runner.agreement, runner.mixed = dict(before.series), before.agreement, before.mixed
        runner.run(only)
    taken = datetime.now(UTC).strftime("%Y-%m-%d %H:%M")
    return Result(taken, machine(), quick, runner.series, runner.agreement, runner.mixed)
