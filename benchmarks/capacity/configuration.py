"""Slope of the distribution of configuration: what it costs an instance in quiet, and each change."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity.files import VOTERS, Setup, write_files
from benchmarks.capacity.model import DELIVERED_LEAST, Point, Series
from benchmarks.capacity.processes import HollowGroup, Window, ending, watch
from benchmarks.capacity.slopes import KB_A_MB, SETTLE_MOST, Pace, all_follow, load_average, one_view, wait_until
from thistleshore.rig.hollow import Part

PUSH_EVERY = 3.0  # s between two changes while they are measured; at the design's size there is one in 30 s
CHANGES = 6  # that are measured
ALONE = (Part.VIEW, Part.REGISTER)
WITH = (*ALONE, Part.CONFIGURATION)


class _Fleet:
    """Hollow dispatchers, the voters in one process and the others in another."""

    def __init__(self, folder: Path, count: int, parts: Sequence[Part], push: bool) -> None:
        members = write_files(folder, Setup(count, parts))
        options = ["--begin", *(["--push", str(PUSH_EVERY)] if push else [])]
        self.count = count
        self.voters = HollowGroup("voters", members[:VOTERS], folder, options)
        self.others = HollowGroup("others", members[VOTERS:], folder)
        self.groups = [self.voters, self.others]

    def settle(self) -> None:
        """Until it has one view and all follow the register."""
        for group in self.groups:
            group.wait_started()
        wait_until(lambda: one_view(self.groups, self.count) and all_follow(self.groups), SETTLE_MOST)

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


def _play(
    folder: Path, count: int, parts: Sequence[Part], pace: Pace, push: bool, seconds: float
) -> tuple[Window, Window, list[float]]:
    with ending([]) as running:
        fleet = _Fleet(folder, count, parts, push)
        running += fleet.groups
        fleet.settle()
        if push:
            wait_until(lambda: bool(fleet.in_force()), SETTLE_MOST)
        wait_until(lambda: False, pace.quiet)
        voting, others = watch(running, seconds)
        return voting, others, fleet.in_force()


def _point(folder: Path, count: int, pace: Pace) -> dict[str, float]:
    """One instance that has no vote: beside the view and the register, whose own cost is taken off."""
    only = count - VOTERS
    alone = _play(folder / "alone", count, ALONE, pace, False, pace.seconds)
    quiet = _play(folder / "quiet", count, WITH, pace, False, pace.seconds)
    changing = _play(folder / "changing", count, WITH, pace, True, CHANGES * PUSH_EVERY)

    def rates(window: Window, instances: int) -> tuple[float, float]:
        return window.sent.udp_bytes / window.seconds / instances, window.cpu_percent / instances

    base, still, moved = (rates(found[1], only) for found in (alone, quiet, changing))
    voter_still, voter_moved = (rates(found[0], VOTERS) for found in (quiet, changing))
    a_change = CHANGES * PUSH_EVERY / CHANGES
    values = {
        "bytes": round(still[0] - base[0], 1),
        "cpu_percent": round(still[1] - base[1], 3),
        "memory_mb": round((quiet[1].resident_kb - alone[1].resident_kb) / KB_A_MB / only, 3),
        "change_bytes": round((moved[0] - still[0]) * a_change, 1),
        "change_cpu_ms": round((moved[1] - still[1]) / 100.0 * a_change * 1000.0, 2),
        "voter_change_bytes": round((voter_moved[0] - voter_still[0]) * a_change, 1),
        "voter_change_cpu_ms": round((voter_moved[1] - voter_still[1]) / 100.0 * a_change * 1000.0, 2),
    }
    if took := changing[2]:
        values |= {
            "in_force_s": round(took[len(took) // 2], 2),
            "in_force_worst_s": round(took[-1], 2),
            "changes": float(len(took)),
        }
    return values


def by_instances(folder: Path, sizes: Sequence[int], pace: Pace, empty: int) -> Series:
    points = []
    for count in sizes:
        values = _point(folder / f"configuration-{count}", count, pace)
        # At least most of the pushes that fit the time came to be in force everywhere.
        points.append(Point(count, values, load_average(), values.get("changes", 0.0) >= DELIVERED_LEAST * CHANGES))
    return Series(
        "configuration",
        "instances",
        f"hollow, real sockets, five voters in one process, others in another; "
        f"quiet, and with a change of 120 teams each {PUSH_EVERY:.0f} s",
        tuple(points),
    )
