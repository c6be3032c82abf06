"""Slow start: what a worker that has just started may be sent."""

from __future__ import annotations

from oxbowarch.interface import Settings


def warmth(settings: Settings, started_at: float, now: float) -> float:
    """The least share of its capacity that a worker has now; 0 as its start means long ago."""
    age = now - started_at
    if not started_at or age >= settings.warm_up:
        return 1.0
    return settings.cold_from + (1.0 - settings.cold_from) * max(0.0, age) / settings.warm_up
