"""Slopes of control: what leases, view and register cost a hollow dispatcher, by the number of dispatchers."""

from __future__ import annotations

import math
import os
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from benchmarks.capacity.files import VOTERS, WORKERS_FEW, Member, Setup, write_files
from benchmarks.capacity.model import DELIVERED_LEAST, Point, Series
from benchmarks.capacity.processes import HollowGroup, Window, ending, watch
from thistleshore.contracts.exchange import Terms as LeaseTerms
from thistleshore.releases.carrier import IDLE_POLL_INTERVAL as REGISTER_LOOK
from thistleshore.rig.hollow import Part

LEASES_EACH = 4  # hollow dispatchers of a process while leases are measured: many keep a core busy
KB_A_MB = 1024.0
SETTLE_MOST = 60.0  # s for a register to be followed
SETTLE_BASE, SETTLE_EACH = 60.0, 2.0  # s for a fleet to settle, and more for each member, which is heard in its turn
LOOK = 0.25  # s


class Pace(NamedTuple):
    """How long is waited and measured, s."""

    quiet: float = 3.0  # between settling and measuring
    seconds: float = 12.0
    period: float = 1.0  # of the view; in the short form it is shorter, so that views settle sooner


def settle_most(count: int) -> float:
    """Seconds after which a fleet of so many is measured as it is."""
    return SETTLE_BASE + SETTLE_EACH * count


def load_average() -> float:
    return round(os.getloadavg()[0], 1)


def wait_until(holds: Callable[[], bool], most: float) -> float | None:
    """Seconds until it holds; None where it does not within so many."""
    begun = time.monotonic()
    while time.monotonic() - begun < most:
        if holds():
            return time.monotonic() - begun
        time.sleep(LOOK)
    return None


def one_view(groups: Sequence[HollowGroup], count: int) -> bool:
    """Whether all hollow dispatchers tell one settled view of so many members."""
    found = [group.status() for group in groups]
    if any(status is None for status in found):
        return False
    digests = {digest for status in found if status for digest in status["digests"]}
    return len(digests) == 1 and all(
        status["living"] == [count] and status["settled"] == group.size
        for status, group in zip(found, groups, strict=True)
        if status
    )


def all_follow(groups: Sequence[HollowGroup]) -> bool:
    return all((status := group.status()) is not None and status["follows"] == group.size for group in groups)


def empty_kb(folder: Path) -> int:
    """Memory of a process that could host hollow dispatchers and has none."""
    with ending([]) as running:
        group = HollowGroup("empty", (), folder)
        running.append(group)
        group.wait_started()
        time.sleep(1.0)
        return group.usage().resident_kb


def grouped(members: Sequence[Member], each: int) -> list[Sequence[Member]]:
    """Groups of at most so many, of nearly equal sizes."""
    count = math.ceil(len(members) / each)
    return [members[n::count] for n in range(count)]


def each_of(windows: Sequence[Window], instances: int, empty: int) -> dict[str, float]:
    """What one instance uses, of groups that host so many."""
    seconds = windows[0].seconds
    sent_bytes = sum(window.sent.udp_bytes + window.sent.tcp_bytes for window in windows)
    memory = sum(max(0, window.resident_kb - empty) for window in windows)
    return {
        "bytes": round(sent_bytes / seconds / instances, 1),
        "cpu_percent": round(sum(window.cpu_percent for window in windows) / instances, 3),
        "memory_mb": round(memory / KB_A_MB / instances, 3),
        "sends": round(sum(w.sent.udp_sends + w.sent.tcp_sends for w in windows) / seconds / instances, 2),
    }


def lease_point(folder: Path, count: int, pace: Pace, empty: int, workers: int = WORKERS_FEW) -> dict[str, float]:
    """Leases among so many instances, at the rate that their period calls for.

    `delivered` is the share of that rate that was sent: a machine that is busy with other things, and the time that
    sending itself takes, make it less than 1.  Bytes and processor time are of that many messages, scaled to all.
    """
    members = write_files(folder, Setup(count, (Part.LEASES,), workers=workers))
    with ending([]) as running:
        groups = [HollowGroup(f"leases-{n}", part, folder) for n, part in enumerate(grouped(members, LEASES_EACH))]
        running += groups
        for group in groups:
            group.wait_started()
        wait_until(
            lambda: all((found := group.status()) is not None and not found["unheard"] for group in groups), 10.0
        )
        time.sleep(pace.quiet)
        values = each_of(watch(running, pace.seconds), count, empty)
    delivered = values["sends"] / ((count - 1) / LeaseTerms().message_interval)
    for key in ("bytes", "cpu_percent"):
        values[key] = round(values[key] / delivered, 3)
    return values | {"delivered": round(delivered, 3)}


def lease_size(size: int, values: dict[str, float]) -> Point:
    """A point, which counts where most of the messages of the period were sent."""
    return Point(size, values, load_average(), values["delivered"] >= DELIVERED_LEAST)


def leases_by_instances(folder: Path, sizes: Sequence[int], pace: Pace, empty: int) -> Series:
    points = [lease_size(count, lease_point(folder / f"leases-{count}", count, pace, empty)) for count in sizes]
    return Series(
        "leases",
        "instances",
        "hollow, real sockets, 120 teams under one contract, 4 workers, no jobs, scaled to the full rate",
        tuple(points),
    )


def leases_by_workers(folder: Path, sizes: Sequence[int], pace: Pace, empty: int, count: int = 3) -> Series:
    points = [
        lease_size(workers, lease_point(folder / f"leases-workers-{workers}", count, pace, empty, workers))
        for workers in sizes
    ]
    return Series(
        "leases_workers",
        "workers in the list",
        f"hollow, real sockets, {count} instances, 120 teams, scaled to the full rate",
        tuple(points),
    )


def view_point(folder: Path, count: int, pace: Pace, empty: int) -> tuple[dict[str, float], bool]:
    """The view among so many members in quiet, and whether it was settled."""
    members = write_files(folder, Setup(count, (Part.VIEW,), teams=0, period=pace.period))
    with ending([]) as running:
        group = HollowGroup("view", members, folder)
        running.append(group)
        group.wait_started()
        settled = wait_until(lambda: one_view([group], count), settle_most(count))
        time.sleep(pace.quiet)
        values = each_of(watch(running, pace.seconds), count, empty)
    if settled is not None:
        values["settled_s"] = round(settled, 1)
    return values, settled is not None


def view_by_members(folder: Path, sizes: Sequence[int], pace: Pace, empty: int) -> Series:
    points = []
    for count in sizes:
        values, settled = view_point(folder / f"view-{count}", count, pace, empty)
        points.append(Point(count, values, load_average(), settled))
    return Series(
        "view", "members", f"hollow, real sockets, one process, period {pace.period:g} s, quiet", tuple(points)
    )


def register_point(folder: Path, count: int, pace: Pace, empty: int, view_cpu: float) -> dict[str, float]:
    """Of so many instances the five voters are in one process and those that only follow in another.

    Processor time is that beside the view, whose own (`view_cpu`, percent an instance) is taken off.
    """
    members = write_files(folder, Setup(count, (Part.VIEW, Part.REGISTER), teams=0, period=pace.period))
    with ending([]) as running:
        voters = HollowGroup("voters", members[:VOTERS], folder, ["--begin"])
        followers = HollowGroup("followers", members[VOTERS:], folder)
        groups: list[HollowGroup] = [voters, followers]
        running += groups
        for group in groups:
            group.wait_started()
        followed = wait_until(lambda: all_follow(groups), SETTLE_MOST)
        time.sleep(pace.quiet)
        voting, following = watch(running, pace.seconds)
        follow = sum(status["follows"] for group in groups if (status := group.status()) is not None)
    only = count - VOTERS
    values = {
        "follower_bytes": round(following.sent.tcp_bytes / following.seconds / only, 1),
        "follower_cpu_percent": round(following.cpu_percent / only - view_cpu, 3),
        "follower_memory_mb": round(max(0, following.resident_kb - empty) / KB_A_MB / only, 3),
        "voter_bytes": round(voting.sent.tcp_bytes / voting.seconds / VOTERS, 1),
        "voter_cpu_percent": round(voting.cpu_percent / VOTERS - view_cpu, 3),
        "voter_memory_mb": round(max(0, voting.resident_kb - empty) / KB_A_MB / VOTERS, 3),
        "voter_requests": round(following.sent.tcp_sends / following.seconds / VOTERS, 1),
        "follow_share": round(follow / count, 3),
    }
    values["delivered"] = round(values["voter_requests"] / (only / REGISTER_LOOK), 3)
    if followed is not None:
        values["followed_s"] = round(followed, 1)
    return values


def register_by_instances(folder: Path, sizes: Sequence[int], pace: Pace, empty: int, view: Series) -> Series:
    """For sizes at which the view was measured as well."""
    points = []
    for count in sizes:
        view_cpu = view.at(count, "cpu_percent")
        if view_cpu is None:
            continue
        values = register_point(folder / f"register-{count}", count, pace, empty, view_cpu)
        # A look takes some time beside its wait, so that fewer than its period calls for are made even at rest.
        points.append(Point(count, values, load_average(), values["follow_share"] >= DELIVERED_LEAST))
    return Series(
        "register",
        "instances",
        "hollow, real sockets, five voters in one process, followers in another, nothing changes",
        tuple(points),
    )
