"""The hand-over of the module's state to the successor process: plain values by name, with ages for times."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import isfinite
from typing import Any, NamedTuple

from oxbowarch.brain import Brain
from oxbowarch.records import FREE_MOST, DecayedCount, MovingAverage, Window

MAX_TIMES = 4096  # of a window
MAX_SHUN_TIME = 100.0  # seconds
SMOOTHED = ("near", "away", "late", "full", "failing", "won")


class Names(NamedTuple):
    """The names of the numbers that a module's settings use; the successor may number them anew."""

    classes: Sequence[str]  # by their numbers
    tenants: Mapping[str, int]
    kinds: Mapping[str, int]  # of machines


def export_state(brain: Brain, names: Names, now: float) -> dict[str, Any]:
    """Return the state of a module, which may go on serving."""
    return {
        "age": now - brain.started_at,
        "banned": [name.decode() for name in brain.banned],
        "rates": {name: _encode_count(brain.rates[n], now) for name, n in names.tenants.items() if n in brain.rates},
        "offered": _encode_count(brain.offered, now),
        "admitted": _encode_count(brain.admitted, now),
        "taken": [now - at for at in brain.requests.times][-MAX_TIMES:],
        "further": [now - at for at in brain.retries.times][-MAX_TIMES:],
        "smoothed": {name: _encode_mean(getattr(brain, name), now) for name in SMOOTHED},
        "runs": {
            name: _encode_mean(brain.run_times[n], now) for n, name in enumerate(names.classes) if n in brain.run_times
        },
        "usual": [[kind, _encode_mean(mean, now)] for kind, mean in brain.usual_free.items()],
        "kinds": sorted(names.kinds, key=names.kinds.__getitem__),  # of the numbers in `usual`
        "most": brain.largest_free.value,
        "workers": {
            worker.id.decode(): {
                "size": worker.slots, "strikes": worker.failures, "shunned": max(0.0, worker.shunned_until - now),
                "free": brain.largest_free.by_worker.get(worker.id, 0.0),
                "pace": [_encode_count(worker.slowdown_total, now), _encode_count(worker.slowdown_count, now)],
                "credit": max(-9.0, worker.slow_start.tokens),
                "back": now - worker.restored_at if worker.restored_at else 0.0,
            } for worker in brain.workers.values()
        },
    }  # fmt: skip


def restore_state(brain: Brain, memory: Mapping[str, Any], names: Names, now: float) -> None:
    """Load the state into a new module that has its list.

    Raises ValueError, KeyError or TypeError for an invalid state: discard the module then, it may be partly filled.
    """
    if not isinstance(memory["banned"], list):
        raise ValueError("banned must be a list")
    for name in memory["banned"]:
        brain.on_ban(name.encode(), True, now)
    brain.started_at = now - _checked(memory["age"], 1e9)
    for name, found in memory["rates"].items():
        if name in names.tenants:
            brain.rates[names.tenants[name]] = _decode_count(found, now)
    brain.offered, brain.admitted = _decode_count(memory["offered"], now), _decode_count(memory["admitted"], now)
    _fill_window(brain.requests, memory["taken"], now)
    _fill_window(brain.retries, memory["further"], now)
    for name in SMOOTHED:
        _restore_average(getattr(brain, name), memory["smoothed"][name], now)
    numbers = {name: n for n, name in enumerate(names.classes)}
    for name, found in memory["runs"].items():
        if name in numbers:
            _restore_average(brain.run_times[numbers[name]], found, now)
    for kind, found in memory["usual"]:
        if (number := _kind_number(int(kind), memory.get("kinds", []), names.kinds)) is not None:
            _restore_average(brain.usual_free[number], found, now)
    brain.largest_free.value = max(brain.largest_free.least, _checked(memory["most"], FREE_MOST))
    for name, found in memory["workers"].items():
        worker = brain.workers.get(name.encode())
        if worker is None:
            continue
        worker.slots, worker.failures = _checked(found["size"], 1e6), int(_checked(found["strikes"], 99.0))
        # Older predecessors tell no free slots.
        if (free := _checked(found.get("free", worker.slots), 1e6)) > 0.0:
            brain.largest_free.report(worker.id, free)
        worker.shunned_until = now + _checked(found["shunned"], MAX_SHUN_TIME)
        worker.slowdown_total, worker.slowdown_count = (_decode_count(part, now) for part in found["pace"])
        worker.slow_start.tokens = _checked(found["credit"], 9.0)
        worker.restored_at = now - _checked(found["back"], 1e9) if found["back"] else 0.0


def _kind_number(number: int, told: Sequence[Any], kinds: Mapping[str, int]) -> int | None:
    """Return a kind's number here by its name in `told`; None: it is not named here.

    A number without a name stays: older predecessors tell no names, and some hosts are of no named kind.
    """
    if not isinstance(told, list):
        raise ValueError("kinds must be a list")
    return kinds.get(told[number]) if 0 <= number < len(told) else number


def clear_quotas(brain: Brain) -> None:
    """Clear the windows of the retry budget: the successor has them, and this process earns its own from now on."""
    brain.requests.times.clear()
    brain.retries.times.clear()


def _checked(value: Any, most: float) -> float:
    number = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    if not number or not -most <= value <= most:
        raise ValueError(f"{value!r} is not a number of at most {most:g}")
    return float(value)


def _encode_count(found: DecayedCount, now: float) -> list[float]:
    return [found.count, now - found.at]


def _decode_count(found: Sequence[Any], now: float) -> DecayedCount:
    count = DecayedCount(now - max(0.0, _checked(found[1], 1e9)))
    count.count = _checked(found[0], 1e9)
    return count


def _encode_mean(found: MovingAverage, now: float) -> list[list[float]]:
    return [_encode_count(found.observations, now), _encode_count(found.total, now)]


def _restore_average(mean: MovingAverage, found: Sequence[Any], now: float) -> None:
    mean.observations, mean.total = (_decode_count(part, now) for part in found)


def _fill_window(window: Window, ages: Iterable[Any], now: float) -> None:
    for age in ages:
        window.add(now - max(0.0, _checked(age, 1e9)))
