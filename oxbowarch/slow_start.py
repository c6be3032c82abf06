"""Slow start: what a worker that has just started may be sent.

The budget counts calls that were sent, however they ended, and holds until the worker is warm: calls that it turns away
or resets are a load on it like those that it serves.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, inf, sqrt
from typing import TYPE_CHECKING

from oxbowarch.interface import Settings

if TYPE_CHECKING:
    from oxbowarch.records import MovingAverage

TOKENS_MOST = 1.0  # calls that one dispatcher may save up for one worker


def warmth(settings: Settings, started_at: float, now: float) -> float:
    """The least share of its capacity that a worker has now; 0 as its start means long ago."""
    age = now - started_at
    if not started_at or age >= settings.warm_up:
        return 1.0
    return settings.cold_from + (1.0 - settings.cold_from) * max(0.0, age) / settings.warm_up


def capacity(slots: float, runs: Iterable[MovingAverage]) -> float:
    """Calls a second that so many slots can run; inf where `runs`, the logged run times of classes, has none."""
    seen = [(run.observations.count, exp(run.mean())) for run in runs if run.observations.count]
    calls = sum(count for count, _ in seen)
    seconds = sum(count * mean for count, mean in seen)
    return slots * calls / seconds if seconds else inf


def sender_rate(settings: Settings, warm_rate: float, share: float, senders: int | None, peers_heard: bool) -> float:
    """Calls a second that one dispatcher may send to a worker that has this share of its capacity.

    `warm_rate`: calls a second that a warm one gets, of all.  `senders`: how many send to this worker; None where
    dispatchers tell one another nothing, and each keeps to its part of what the worker can do.  The terms leave some
    calls to chance: where peers are heard, the root of those allowed in the span is spent, a third of that slack.
    """
    if senders is None:
        return warm_rate * share / settings.balancers
    allowed = warm_rate * share * settings.cold_factor * settings.cold_span
    return (allowed + (sqrt(allowed) if peers_heard else 0.0)) / settings.cold_span / senders


class SlowStartBudget:
    """What one dispatcher may still send to one worker in slow start: a token bucket."""

    __slots__ = ("tokens", "at")

    def __init__(self, tokens: float, now: float) -> None:
        """`tokens`: below 1, by chance, so that dispatchers of little traffic share a worker's first calls."""
        self.tokens, self.at = tokens, now

    def earn(self, rate: float, now: float) -> float:
        """The tokens as of `now`, where they come in at `rate` a second since last asked."""
        self.tokens = min(TOKENS_MOST, self.tokens + (now - self.at) * rate)
        self.at = now
        return self.tokens

    def pay(self) -> None:
        """One call is sent."""
        self.tokens -= 1.0
