"""The plan of one day from a seed: when the configuration changes, and which faults happen.

How long a fault lasts is assumed here, and stated beside each constant; how many there are is the operators' word.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from itertools import combinations
from typing import Literal, NamedTuple

DAY = 86_400.0  # s

CHANGES = 2_900
BURSTS = 10  # of the changes that come together
BURST_CHANGES = 60  # within one minute
BURST_SECONDS = 60.0

CRASHES = 36
CRASH_SECONDS = (300.0, 1_800.0)  # assumed: until a machine that failed is back
RESTARTS = 180
RESTART_SECONDS = (1.0, 3.0)  # assumed: from the end of a process to the start of the next
RACK_SECONDS = 600.0  # assumed
ZONE_SECONDS = 1_200.0  # assumed
APART_SECONDS = 3_600.0

QUIET_AT_END = 120.0  # s before the end of the day without a change or a new fault

Kind = Literal["crash", "restart", "rack", "zone"]


class Outage(NamedTuple):
    """Instances that end without warning, and start again later."""

    when: float
    kind: Kind
    instances: tuple[str, ...]
    seconds: float


class Apart(NamedTuple):
    """No datagram passes between two regions."""

    when: float
    regions: tuple[str, str]
    seconds: float


class Day(NamedTuple):
    """Times of changes, and faults; each in order of time."""

    seconds: float
    changes: tuple[float, ...]
    outages: tuple[Outage, ...]
    apart: tuple[Apart, ...]


def draw(seed: int, zones: Mapping[str, Sequence[str]], share: float = 1.0) -> Day:
    """A day over instances by zone; `share` shortens it, with as much less of each thing that happens often."""
    at = random.Random(seed)
    seconds = DAY * share
    quiet = seconds - QUIET_AT_END
    return Day(seconds, _changes(at, quiet, share), _outages(at, zones, quiet, share), _apart(at, zones, quiet, share))


def _changes(at: random.Random, quiet: float, share: float) -> tuple[float, ...]:
    bursts = max(1, round(BURSTS * share))
    alone = max(0, round(CHANGES * share) - bursts * BURST_CHANGES)
    times = [at.uniform(0.0, quiet) for _ in range(alone)]
    for _ in range(bursts):
        begin = at.uniform(0.0, quiet - BURST_SECONDS)
        times += [begin + at.uniform(0.0, BURST_SECONDS) for _ in range(BURST_CHANGES)]
    return tuple(sorted(times))


def _outages(at: random.Random, zones: Mapping[str, Sequence[str]], quiet: float, share: float) -> tuple[Outage, ...]:
    names = [name for members in zones.values() for name in members]
    found = [
        Outage(at.uniform(0.0, quiet), "crash", (at.choice(names),), at.uniform(*CRASH_SECONDS) * min(1.0, share * 4))
        for _ in range(max(1, round(CRASHES * share)))
    ]
    found += [
        Outage(at.uniform(0.0, quiet), "restart", (at.choice(names),), at.uniform(*RESTART_SECONDS))
        for _ in range(max(1, round(RESTARTS * share)))
    ]
    racked, downed = at.sample(sorted(zones), 2)
    rack = tuple(zones[racked][::2])  # assumed: every second instance of a zone
    found.append(Outage(at.uniform(0.1, 0.8) * quiet, "rack", rack, RACK_SECONDS * share))
    found.append(Outage(at.uniform(0.1, 0.8) * quiet, "zone", tuple(zones[downed]), ZONE_SECONDS * share))
    return tuple(sorted(found))


def _apart(at: random.Random, zones: Mapping[str, Sequence[str]], quiet: float, share: float) -> tuple[Apart, ...]:
    regions = sorted({zone.partition("/")[0] for zone in zones})
    pair = at.choice(list(combinations(regions, 2)))
    lasts = APART_SECONDS * share
    return (Apart(at.uniform(0.0, quiet - lasts), pair, lasts),)
