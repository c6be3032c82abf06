"""Slope of the distribution of configuration: what it costs an instance in quiet, and each change."""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from benchmarks.capacity.files import VOTERS, Setup, write_files
from benchmarks.capacity.hollow import PUSH_SUFFIX
from benchmarks.capacity.model import Point, Series
from benchmarks.capacity.processes import HollowGroup, Window, ending, watch
from benchmarks.capacity.slopes import (
    KB_A_MB,
    SETTLE_MOST,
    Pace,
    all_follow,
    load_average,
    one_view,
    settle_most,
    wait_until,
)
from thistleshore.rig.hollow import Part

PUSH_EVERY = 3.0  # s between two changes while they are measured; at the design's size there is one in 30 s
CHANGES = 6  # that are measured
CHANGES_LEAST = 4  # in force everywhere by the end, for a point to count
MILLISECONDS_A_PERCENT = 10.0  # of a core, in a second
ALONE = (Part.VIEW, Part.REGISTER)
WITH = (*ALONE, Part.CONFIGURATION)


class _Fleet:
    """Hollow dispatchers, the voters in one process and the others in another."""

    def __init__(self, folder: Path, count: int, parts: Sequence[Part]) -> None:
        members = write_files(folder, Setup(count, parts))
        options = ["--begin", "--push", str(PUSH_EVERY)]
        self.count = count
        self.voters = HollowGroup("voters", members[:VOTERS], folder, options)
        self.others = HollowGroup("others", members[VOTERS:], folder)
        self.groups = [self.voters, self.others]

    def settle(self) -> None:
        """Until it has one view and all follow the register."""
        for group in self.groups:
            group.wait_started()
        wait_until(lambda: one_view(self.groups, self.count) and all_follow(self.groups), settle_most(self.count))

    def push(self) -> None:
        """Have the changes begin."""
        self.voters.file.with_suffix(PUSH_SUFFIX).touch()

    def in_force(self) -> list[float]:
        """Seconds from each push until all had that version or a newer one in force."""
        found = [group.status() for group in self.groups]
        if any(status is None for status in found):
            return []
        reached = [{int(number): at for number, at in status["in_force"].items()} for status in found if status]
        took = []
        for text, at in (found[0] or {})["pushed"].items():
            ends = [
                min((when for number, when in group.items() if number >= int(text)), default=None) for group in reached
            ]
            if all(end is not None for end in ends):
                took.append(max(end for end in ends if end is not None) - at)
        return sorted(took)


class _Rates(NamedTuple):
    """What one instance of a process sends and uses, a second."""

    distribution_bytes: float
    cpu_percent: float

    @classmethod
    def of(cls, window: Window, instances: int) -> _Rates:
        return cls(window.sent.distribution_bytes / window.seconds / instances, window.cpu_percent / instances)


def _alone(folder: Path, count: int, pace: Pace) -> Window:
    """Those that have no vote, without the distribution."""
    with ending([]) as running:
        fleet = _Fleet(folder, count, ALONE)
        running += fleet.groups
        fleet.settle()
        time.sleep(pace.quiet)
        return watch(running, pace.seconds)[1]


def _point(folder: Path, count: int, pace: Pace) -> dict[str, float]:
    """What the distribution costs beside the view and the register: in quiet, and each change."""
    only = count - VOTERS
    alone = _alone(folder / "alone", count, pace)
    with ending([]) as running:
        fleet = _Fleet(folder / "with", count, WITH)
        running += fleet.groups
        fleet.settle()
        time.sleep(pace.quiet)
        quiet = watch(running, pace.seconds)
        fleet.push()
        wait_until(lambda: bool(fleet.in_force()), SETTLE_MOST)
        changing = watch(running, CHANGES * PUSH_EVERY)
        took = fleet.in_force()
    base = _Rates.of(alone, only)
    voter_still, still = _Rates.of(quiet[0], VOTERS), _Rates.of(quiet[1], only)
    voter_moved, moved = _Rates.of(changing[0], VOTERS), _Rates.of(changing[1], only)
    values = {
        "bytes": round(still.distribution_bytes, 1),
        "cpu_percent": round(still.cpu_percent - base.cpu_percent, 3),
        "memory_mb": round((quiet[1].resident_kb - alone.resident_kb) / KB_A_MB / only, 3),
        "change_bytes": round((moved.distribution_bytes - still.distribution_bytes) * PUSH_EVERY, 1),
        "change_cpu_ms": round((moved.cpu_percent - still.cpu_percent) * MILLISECONDS_A_PERCENT * PUSH_EVERY, 2),
        "voter_change_bytes": round((voter_moved.distribution_bytes - voter_still.distribution_bytes) * PUSH_EVERY, 1),
        "voter_change_cpu_ms": round(
            (voter_moved.cpu_percent - voter_still.cpu_percent) * MILLISECONDS_A_PERCENT * PUSH_EVERY, 2
        ),
    }
    if took:
        values |= {"in_force_s": round(took[len(took) // 2], 2), "in_force_worst_s": round(took[-1], 2)}
    return values | {"changes": float(len(took))}


def by_instances(folder: Path, sizes: Sequence[int], pace: Pace, empty: int) -> Series:
    points = []
    for count in sizes:
        values = _point(folder / f"configuration-{count}", count, pace)
        # At least most of the pushes that fit the time came to be in force everywhere.
        points.append(Point(count, values, load_average(), values.get("changes", 0.0) >= CHANGES_LEAST))
    return Series(
        "configuration",
        "instances",
        f"hollow, real sockets, five voters in one process, others in another; "
        f"quiet, and with a change of 120 teams each {PUSH_EVERY:.0f} s",
        tuple(points),
    )
