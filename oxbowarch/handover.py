"""What one process of a dispatcher leaves to the next: the module's memory as plain values, by name, with ages for
times.  Nothing is decided here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import isfinite
from typing import Any

from oxbowarch.brain import Brain
from oxbowarch.records import DecayedCount, MovingAverage, Window

TIMES_MOST = 4096  # of a window
FORGET = 100.0  # s; what is older than this says nothing any more
SMOOTHED = ("near", "away", "late", "full", "failing", "won")


def export_state(brain: Brain, classes: Sequence[str], tenants: Mapping[str, int], now: float) -> dict[str, Any]:
    """The memory of a module that may go on serving; `classes` and `tenants` are its names and numbers."""
    return {
        "age": now - brain.started_at,
        "banned": [name.decode() for name in brain.banned],
        "rates": {name: _count(brain.rates[n], now) for name, n in tenants.items() if n in brain.rates},
        "offered": _count(brain.offered, now),
        "admitted": _count(brain.admitted, now),
        "taken": [now - at for at in brain.requests.times][-TIMES_MOST:],
        "further": [now - at for at in brain.retries.times][-TIMES_MOST:],
        "smoothed": {name: _mean(getattr(brain, name), now) for name in SMOOTHED},
        "runs": {name: _mean(brain.run_times[n], now) for n, name in enumerate(classes) if n in brain.run_times},
        "usual": [[kind, _mean(mean, now)] for kind, mean in brain.usual_free.items()],
        "most": brain.max_free,
        "workers": {
            worker.id.decode(): {
                "size": worker.slots, "strikes": worker.failures, "shunned": max(0.0, worker.shunned_until - now),
                "pace": [_count(worker.slowdown_total, now), _count(worker.slowdown_count, now)],
                "credit": max(-9.0, worker.slow_start.tokens),
                "back": now - worker.restored_at if worker.restored_at else 0.0,
            } for worker in brain.workers.values()
        },
    }  # fmt: skip


def restore_state(brain: Brain, memory: Mapping[str, Any], classes: Sequence[str], tenants: Mapping[str, int],
         now: float) -> None:  # fmt: skip
    """Fill a new module, which has its list.  ValueError, KeyError or TypeError where the memory is no good: the
    module is to be thrown away then, as half of it may be filled."""
    if not isinstance(memory["banned"], list):
        raise ValueError("banned: a list is wanted")
    for name in memory["banned"]:
        brain.on_ban(name.encode(), True, now)
    brain.started_at = now - _sane(memory["age"], 1e9)
    for name, found in memory["rates"].items():
        if name in tenants:
            brain.rates[tenants[name]] = _counted(found, now)
    brain.offered, brain.admitted = _counted(memory["offered"], now), _counted(memory["admitted"], now)
    _filled(brain.requests, memory["taken"], now)
    _filled(brain.retries, memory["further"], now)
    for name in SMOOTHED:
        _smooth(getattr(brain, name), memory["smoothed"][name], now)
    numbers = {name: n for n, name in enumerate(classes)}
    for name, found in memory["runs"].items():
        if name in numbers:
            _smooth(brain.run_times[numbers[name]], found, now)
    for kind, found in memory["usual"]:
        _smooth(brain.usual_free[int(kind)], found, now)
    brain.max_free = max(brain.max_free, _sane(memory["most"], 1000.0))
    for name, found in memory["workers"].items():
        worker = brain.workers.get(name.encode())
        if worker is None:
            continue
        worker.slots, worker.failures = _sane(found["size"], 1e6), int(_sane(found["strikes"], 99.0))
        worker.shunned_until = now + _sane(found["shunned"], FORGET)
        worker.slowdown_total, worker.slowdown_count = (_counted(part, now) for part in found["pace"])
        worker.slow_start.tokens = _sane(found["credit"], 9.0)
        worker.restored_at = now - _sane(found["back"], 1e9) if found["back"] else 0.0


def clear_quotas(brain: Brain) -> None:
    """The successor has the windows and what is free in any span: what goes on here earns its own."""
    brain.requests.times.clear()
    brain.retries.times.clear()


def _sane(value: Any, most: float) -> float:
    number = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    if not number or not -most <= value <= most:
        raise ValueError(f"{value!r} is no figure of at most {most:g}")
    return float(value)


def _count(found: DecayedCount, now: float) -> list[float]:
    return [found.count, now - found.at]


def _counted(found: Sequence[Any], now: float) -> DecayedCount:
    made = DecayedCount(now - max(0.0, _sane(found[1], 1e9)))
    made.count = _sane(found[0], 1e9)
    return made


def _mean(found: MovingAverage, now: float) -> list[list[float]]:
    return [_count(found.observations, now), _count(found.total, now)]


def _smooth(mean: MovingAverage, found: Sequence[Any], now: float) -> None:
    mean.observations, mean.total = (_counted(part, now) for part in found)


def _filled(window: Window, ages: Iterable[Any], now: float) -> None:
    for age in ages:
        window.add(now - max(0.0, _sane(age, 1e9)))
