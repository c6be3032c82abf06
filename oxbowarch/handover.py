"""What one process of a dispatcher leaves to the next: the module's memory as plain values, by name, with ages for
times.  Nothing is decided here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import isfinite
from typing import Any

from oxbowarch.brain import Brain
from oxbowarch.records import Decayed, Smoothed, Window

TIMES_MOST = 4096  # of a window
FORGET = 100.0  # s; what is older than this says nothing any more
SMOOTHED = ("near", "away", "late", "full", "failing", "won")


def take(brain: Brain, classes: Sequence[str], tenants: Mapping[str, int], now: float) -> dict[str, Any]:
    """The memory of a module that may go on serving; `classes` and `tenants` are its names and numbers."""
    return {
        "age": now - brain.born,
        "banned": [name.decode() for name in brain.banned],
        "rates": {name: _count(brain.rates[n], now) for name, n in tenants.items() if n in brain.rates},
        "offered": _count(brain.offered, now),
        "admitted": _count(brain.admitted, now),
        "taken": [now - at for at in brain.taken.times][-TIMES_MOST:],
        "further": [now - at for at in brain.further.times][-TIMES_MOST:],
        "smoothed": {name: _mean(getattr(brain, name), now) for name in SMOOTHED},
        "runs": {name: _mean(brain.runs[n], now) for n, name in enumerate(classes) if n in brain.runs},
        "usual": [[kind, _mean(mean, now)] for kind, mean in brain.usual.items()],
        "most": brain.most,
        "workers": {
            worker.id.decode(): {
                "size": worker.size, "strikes": worker.strikes, "shunned": max(0.0, worker.shunned_until - now),
                "pace": [_count(worker.pace, now), _count(worker.paces, now)],
                "credit": max(-9.0, worker.slow_start.tokens),
                "back": now - worker.back_at if worker.back_at else 0.0,
            } for worker in brain.workers.values()
        },
    }  # fmt: skip


def give(brain: Brain, memory: Mapping[str, Any], classes: Sequence[str], tenants: Mapping[str, int],
         now: float) -> None:  # fmt: skip
    """Fill a new module, which has its list.  ValueError, KeyError or TypeError where the memory is no good: the
    module is to be thrown away then, as half of it may be filled."""
    if not isinstance(memory["banned"], list):
        raise ValueError("banned: a list is wanted")
    for name in memory["banned"]:
        brain.on_ban(name.encode(), True, now)
    brain.born = now - _sane(memory["age"], 1e9)
    for name, found in memory["rates"].items():
        if name in tenants:
            brain.rates[tenants[name]] = _counted(found, now)
    brain.offered, brain.admitted = _counted(memory["offered"], now), _counted(memory["admitted"], now)
    _filled(brain.taken, memory["taken"], now)
    _filled(brain.further, memory["further"], now)
    for name in SMOOTHED:
        _smooth(getattr(brain, name), memory["smoothed"][name], now)
    numbers = {name: n for n, name in enumerate(classes)}
    for name, found in memory["runs"].items():
        if name in numbers:
            _smooth(brain.runs[numbers[name]], found, now)
    for kind, found in memory["usual"]:
        _smooth(brain.usual[int(kind)], found, now)
    brain.most = max(brain.most, _sane(memory["most"], 1000.0))
    for name, found in memory["workers"].items():
        worker = brain.workers.get(name.encode())
        if worker is None:
            continue
        worker.size, worker.strikes = _sane(found["size"], 1e6), int(_sane(found["strikes"], 99.0))
        worker.shunned_until = now + _sane(found["shunned"], FORGET)
        worker.pace, worker.paces = (_counted(part, now) for part in found["pace"])
        worker.slow_start.tokens = _sane(found["credit"], 9.0)
        worker.back_at = now - _sane(found["back"], 1e9) if found["back"] else 0.0


def step_aside(brain: Brain) -> None:
    """The successor has the windows and what is free in any span: what goes on here earns its own."""
    brain.taken.times.clear()
    brain.further.times.clear()


def _sane(value: Any, most: float) -> float:
    number = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    if not number or not -most <= value <= most:
        raise ValueError(f"{value!r} is no figure of at most {most:g}")
    return float(value)


def _count(found: Decayed, now: float) -> list[float]:
    return [found.count, now - found.at]


def _counted(found: Sequence[Any], now: float) -> Decayed:
    made = Decayed(now - max(0.0, _sane(found[1], 1e9)))
    made.count = _sane(found[0], 1e9)
    return made


def _mean(found: Smoothed, now: float) -> list[list[float]]:
    return [_count(found.seen, now), _count(found.total, now)]


def _smooth(mean: Smoothed, found: Sequence[Any], now: float) -> None:
    mean.seen, mean.total = (_counted(part, now) for part in found)


def _filled(window: Window, ages: Iterable[Any], now: float) -> None:
    for age in ages:
        window.add(now - max(0.0, _sane(age, 1e9)))
