"""When requests are meant to be sent: drawn ahead, from a seed, whatever the answers do.  No I/O, no clock.

A stream's times depend on its seed and its terms alone: split over several senders by `part`, each request is sent
once and the process is the same.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Literal

import numpy as np

Process = Literal["poisson", "paced", "on_off", "self_similar"]
Rate = Callable[[float], float]  # requests a second at a time

ON, OFF = 1.0, 1.0  # s, means of an on/off source's spells
SOURCES = 32  # whose sum is self-similar
TAIL = 1.4  # of their Pareto spells: the sum's Hurst exponent is (3 - TAIL) / 2 = 0.8


def times(process: Process, rate: Rate, most: float, length: float, random: np.random.Generator) -> Iterator[float]:
    """Times in [0, length), in order; `most` is no less than `rate` ever is."""
    if most <= 0.0 or length <= 0.0:
        return
    if process == "paced":
        yield from _paced(rate, length)
    elif process == "poisson":
        yield from _thinned(rate, most, length, random)
    elif process == "on_off":
        spells = _spells(length, lambda: float(random.exponential(ON)), lambda: float(random.exponential(OFF)), random)
        yield from _gated(rate, most, length, [spells], (ON + OFF) / ON, random)
    else:
        sources = [_spells(length, lambda: _pareto(random), lambda: _pareto(random), random) for _ in range(SOURCES)]
        yield from _gated(rate, most, length, sources, 2.0, random)


def _paced(rate: Rate, length: float) -> Iterator[float]:
    """One each time the rate's integral has grown by one."""
    grain, when, owed = 1e-3, 0.0, 0.0
    while when < length:
        here = rate(when)
        # Where the rate stands still for longer than a grain, the steps to the next one are taken at once.
        step = min(length - when, max(grain, min(0.05, (1.0 - owed) / here))) if here > 0.0 else grain
        owed += here * step
        if owed >= 1.0:
            back = (owed - 1.0) / here
            if when + step - back < length:
                yield when + step - back
            owed -= 1.0
        when += step


def _thinned(rate: Rate, most: float, length: float, random: np.random.Generator) -> Iterator[float]:
    """Lewis and Shedler: candidates at the highest rate, of which each is kept by its own."""
    for when in _candidates(most, length, random):
        if random.random() * most < rate(when):
            yield when


def _pareto(random: np.random.Generator) -> float:
    """A spell of mean 1 s and no variance."""
    return float((random.pareto(TAIL) + 1.0) * (TAIL - 1.0) / TAIL)


def _spells(
    length: float, on: Callable[[], float], off: Callable[[], float], random: np.random.Generator
) -> list[tuple[float, float]]:
    """When a source is on."""
    found, when, active = [], 0.0, bool(random.random() < 0.5)
    while when < length:
        spell = on() if active else off()
        if active:
            found.append((when, when + spell))
        when, active = when + spell, not active
    return found


def _gated(
    rate: Rate,
    most: float,
    length: float,
    sources: list[list[tuple[float, float]]],
    boost: float,
    random: np.random.Generator,
) -> Iterator[float]:
    """Poisson while on, at a rate so much higher that the mean is that asked for."""
    edges: list[tuple[float, int]] = []
    for spells in sources:
        for begin, end in spells:
            edges += [(begin, 1), (end, -1)]
    edges.sort()
    active, at = 0, 0
    for when in _candidates(boost * most, length, random):
        while at < len(edges) and edges[at][0] <= when:
            active += edges[at][1]
            at += 1
        # `most` holds for one source that is always on; a share of them is on.
        if random.random() * boost * most < boost * rate(when) * active / len(sources):
            yield when


def _candidates(most: float, length: float, random: np.random.Generator) -> Iterator[float]:
    when = float(random.exponential(1.0 / most))
    while when < length:
        yield when
        when += float(random.exponential(1.0 / most))
