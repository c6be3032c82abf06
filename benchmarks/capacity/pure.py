"""Slopes of machines alone, by their own processor time: decisions, the ledger of teams, the view in virtual time."""

from __future__ import annotations

import time
from collections.abc import Sequence
from random import Random

from benchmarks.platform import size
from benchmarks.capacity.files import REGIONS, ZONES
from benchmarks.capacity.model import Point, Series
from benchmarks.capacity.slopes import load_average
from benchmarks.fleet.net import Net
from benchmarks.fleet.virtual import made, settling
from thistleshore.contracts import Ledger
from thistleshore.contracts.model import Agreements, ContractTerms, MemberTerms
from thistleshore.fleet import Fleet, Terms

MICROSECONDS = 1e6
ROUNDS = 3  # of each measurement; the least counts, as other work on the machine only adds to it
POOL_SLOTS = 3600.0  # of the ledger's service
RATE = 200.0  # requests a second that the ledger sees


def decisions(sizes: Sequence[int], jobs: int) -> Series:
    """Microseconds a job, a note and a list in the decision module, by workers in its list."""
    points = []
    for workers in sizes:
        rounds = [size.module(workers, jobs) for _ in range(ROUNDS)]
        values = {key: float(min(found[key] for found in rounds)) for key in rounds[0]}
        points.append(Point(workers, values, load_average()))
    return Series(
        "decisions", "workers in the list", f"the module alone, {jobs} jobs, least of {ROUNDS} runs", tuple(points)
    )


def teams(sizes: Sequence[int], requests: int) -> Series:
    """Microseconds a request in the ledger, from intake to its final answer, by teams with a quota."""
    points = [
        Point(count, {"request_us": min(_ledger_cost(count, requests) for _ in range(ROUNDS))}, load_average())
        for count in sizes
    ]
    return Series(
        "teams",
        "teams with quotas",
        f"the ledger alone, {requests} requests at {RATE:.0f} a second, least of {ROUNDS} runs",
        tuple(points),
    )


def _ledger_cost(count: int, requests: int) -> float:
    members = tuple(MemberTerms(f"team-{n}", 1.0 / count) for n in range(count))
    agreements = Agreements(members, (ContractTerms("task", 0, 1.0),))
    ledger = Ledger(agreements, 0.0, lambda: [POOL_SLOTS], lambda: [POOL_SLOTS / 2])
    pick, now = Random(1), 0.0
    begun = time.process_time()
    for stream in range(requests):
        now += 1.0 / RATE
        ledger.on_open(stream, 0, members[pick.randrange(count)].name, 100, False, now)
        ledger.due(now)
        ledger.on_sent(stream, now)
        ledger.on_attempt_ended(stream, 0.3, now + 0.3)
        ledger.on_answered(stream, "served", now + 0.3)
        ledger.on_forgotten(stream)
    return round((time.process_time() - begun) / requests * MICROSECONDS, 2)


def crashes(sizes: Sequence[int], seeds: int) -> Series:
    """Seconds until a crash, a join and a healed cut are seen by all, in virtual time, beside their bounds."""
    terms, points = Terms(), []
    for count in sizes:
        rows = [settling(count, terms, seed, Fleet) for seed in range(seeds)]
        values = {
            "crash_bound_s": round(terms.detection_bound(count), 1),
            "heal_bound_s": round(terms.healing_bound(count), 1),
        }
        for key, what in (("crash", "crash"), ("join", "join"), ("heal", "healed cut")):
            took = sorted(row[what] for row in rows if row[what] is not None)
            if len(took) == len(rows):
                values |= {f"{key}_s": round(took[len(took) // 2], 2), f"{key}_worst_s": round(took[-1], 2)}
        points.append(Point(count, values, load_average()))
    return Series("crashes", "members", f"view in virtual time, period 1 s, {seeds} seeds", tuple(points))


def _view_of(count: int, seed: int) -> tuple[Net, list[str]]:
    net = made(count, Terms(), seed, Fleet)
    return net, list(net.nodes)


def zone_lost(sizes: Sequence[int], seeds: int) -> Series:
    """Seconds until all of one zone, killed together, are held for dead by all others, in virtual time."""
    points = []
    for count in sizes:
        took = []
        for seed in range(seeds):
            net, names = _view_of(count, seed)
            gone = seed % ZONES
            for number, name in enumerate(names):
                if number % ZONES == gone:
                    net.kill(name)
            took.append(net.run_until(net.settled, 4 * Terms().detection_bound(count), 0.25))
        settled = sorted(value for value in took if value is not None)
        values = {"settled_share": round(len(settled) / seeds, 3)}
        if settled:
            values |= {"lost_s": round(settled[len(settled) // 2], 2), "lost_worst_s": round(settled[-1], 2)}
        points.append(Point(count, values, load_average()))
    return Series("zone_lost", "members", f"view in virtual time, {ZONES} zones, {seeds} seeds", tuple(points))


def region_cut(sizes: Sequence[int], seconds: float) -> Series:
    """Seconds until one view after a region was cut off from all others for so long, in virtual time."""
    points = []
    for count in sizes:
        net, names = _view_of(count, 1)
        region = {name: number % ZONES % REGIONS for number, name in enumerate(names)}
        net.cut = lambda a, b, region=region: (region[a] == 0) != (region[b] == 0)  # type: ignore[misc]
        begun = net.counts["bytes"]
        net.run(net.now + seconds)
        cut_bytes = (net.counts["bytes"] - begun) / seconds / count
        net.cut = lambda a, b: False
        took = net.run_until(net.settled, 4 * Terms().healing_bound(count), 0.25)
        values = {"cut_bytes": round(cut_bytes, 1), "settled_share": float(took is not None)}
        if took is not None:
            values["heal_s"] = round(took, 2)
        points.append(Point(count, values, load_average()))
    return Series(
        "region_cut",
        "members",
        f"view in virtual time, one region of {REGIONS} cut off for {seconds:.0f} s",
        tuple(points),
    )
