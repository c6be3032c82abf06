"""Whole fleets: hollow against whole dispatchers where both fit, and hollow ones with whole ones among them."""

from __future__ import annotations

import time
from collections.abc import Collection, Sequence
from pathlib import Path

from benchmarks.capacity.files import VOTERS, Member, Setup, write_files
from benchmarks.capacity.model import Agreement, Mixed
from benchmarks.capacity.processes import HollowGroup, Measured, WholeDispatcher, Window, ending, watch
from benchmarks.capacity.slopes import (
    KB_A_MB,
    LOOK,
    SETTLE_MOST,
    Pace,
    all_follow,
    each_of,
    grouped,
    load_average,
    one_view,
    settle_most,
    wait_until,
)
from thistleshore.rig.hollow import Part

HOLLOW_EACH = 4  # hollow dispatchers of one process in the comparison: many keep a core busy
ALL = (Part.VIEW, Part.LEASES, Part.REGISTER)
BEGIN_TRIES = 40
MILLISECONDS = 1e3
MIXED_SETTLE_MOST = 300.0  # s


def start_whole(members: Sequence[Member], folder: Path, running: list[Measured]) -> list[WholeDispatcher]:
    """Whole dispatchers that are ready."""
    found = [WholeDispatcher(member, folder) for member in members]
    running += found
    for process in found:
        process.wait_ready()
    return found


def begin(process: WholeDispatcher) -> None:
    """Begin the register; asked again where a voter does not listen yet."""
    for _ in range(BEGIN_TRIES):
        found = process.asked("begin")
        if found is not None and found["status"] in ("done", "refused"):
            return
        time.sleep(LOOK)
    raise RuntimeError(f"the register was not begun: {found}")


def agree(whole: Sequence[WholeDispatcher], count: int, most: float) -> float | None:
    """Seconds until all whole dispatchers have one settled view of so many living members."""

    def holds() -> bool:
        digests = set()
        for process in whole:
            found = process.asked("members")
            if found is None or sum(row["state"] == "alive" for row in found["members"]) != count:
                return False
            digests.add(found["digest"])
        return len(digests) == 1

    return wait_until(holds, most)


def mean(windows: Sequence[Window]) -> dict[str, float]:
    """What one whole process uses."""
    return each_of(windows, len(windows), 0)


def whole_fleet(folder: Path, count: int, pace: Pace, parts: Collection[Part], teams: int) -> dict[str, float]:
    """What one of so many whole dispatchers uses while there are no jobs."""
    members = write_files(folder, Setup(count, parts, voters=min(VOTERS, count), teams=teams))
    with ending([]) as running:
        whole = start_whole(members, folder, running)
        if Part.REGISTER in parts:
            begin(whole[0])
        if Part.VIEW in parts:
            agree(whole, count, settle_most(count))
        time.sleep(pace.quiet)
        return mean(watch(running, pace.seconds))


def hollow_fleet(folder: Path, count: int, pace: Pace, teams: int, empty: int, each: int) -> dict[str, float]:
    """The same of hollow ones, so many in a process."""
    members = write_files(folder, Setup(count, ALL, voters=min(VOTERS, count), teams=teams))
    with ending([]) as running:
        groups = [
            HollowGroup(f"hollow-{n}", part, folder, ["--begin"] if n == 0 else [])
            for n, part in enumerate(grouped(members, each))
        ]
        running += groups
        for group in groups:
            group.wait_started()
        wait_until(lambda: one_view(groups, count) and all_follow(groups), settle_most(count))
        time.sleep(pace.quiet)
        return each_of(watch(running, pace.seconds), count, empty)


def compare(folder: Path, count: int, pace: Pace, teams: int, empty: int) -> Agreement:
    """Hollow and whole dispatchers at one size."""
    idle = whole_fleet(folder / f"idle-{count}", min(3, count), pace, (), teams)
    whole = whole_fleet(folder / f"whole-{count}", count, pace, ALL, teams)
    alone = hollow_fleet(folder / f"alone-{count}", count, pace, teams, empty, 1)
    hollow = hollow_fleet(folder / f"hollow-{count}", count, pace, teams, empty, HOLLOW_EACH)
    return Agreement(count, whole, idle, hollow, alone, load_average())


def mixed(
    folder: Path, hollow: int, whole: int, parts: Collection[Part], pace: Pace, most: float = MIXED_SETTLE_MOST
) -> Mixed:
    """One fleet of whole dispatchers, the voters among them, and hollow ones in one process."""
    count = hollow + whole
    members = write_files(folder, Setup(count, parts, teams=0, period=pace.period))
    with ending([]) as running:
        processes = start_whole(members[:whole], folder, running)
        begun = time.monotonic()
        group = HollowGroup("hollow", members[whole:], folder)
        running.append(group)
        if Part.REGISTER in parts:
            begin(processes[0])
        group.wait_started()
        left = most - (time.monotonic() - begun)
        inside = wait_until(lambda: one_view([group], count), left)
        outside = agree(processes, count, most) if inside is not None else None
        took = round(time.monotonic() - begun, 1) if outside is not None else None
        if Part.REGISTER in parts:
            wait_until(lambda: all_follow([group]), SETTLE_MOST)
        time.sleep(pace.quiet)
        windows = watch(running, pace.seconds)
        members_asked, out_asked = _asked(processes[0], "members"), _asked(processes[0], "out")
        status = group.status()
    each, inner = mean(windows[:whole]), each_of(windows[whole:], hollow, 0)
    return Mixed(
        hollow,
        whole,
        tuple(sorted(parts)),
        took,
        most,
        round(sum(window.resident_kb for window in windows) / KB_A_MB, 1),
        inner["cpu_percent"],
        each["cpu_percent"],
        inner["bytes"],
        each["bytes"],
        status["follows"] if status is not None else 0,
        members_asked[0],
        members_asked[1],
        out_asked[0],
        out_asked[1],
        load_average(),
    )


def _asked(process: WholeDispatcher, what: str) -> tuple[float, float]:
    """Milliseconds and bytes of an operator's call."""
    begun = time.monotonic()
    answer = process.ask(f"FLEET {what}")
    return round((time.monotonic() - begun) * MILLISECONDS, 1), float(len(answer))
