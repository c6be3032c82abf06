"""Slow start: the rate at which a worker that has just started may be sent calls.

The budget counts all calls sent, however they end, until the worker is warm: calls that it rejects or resets load it
like those that it serves.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, inf, sqrt
from typing import TYPE_CHECKING

from oxbowarch.interface import Settings

if TYPE_CHECKING:
    from oxbowarch.records import MovingAverage

MAX_TOKENS = 1.0  # unused calls that one dispatcher may accumulate for one worker


def warmth(settings: Settings, started_at: float, now: float) -> float:
    """Return the least share of its capacity that a worker has now; a `started_at` of 0 means long ago."""
    age = now - started_at
    if not started_at or age >= settings.warm_up:
        return 1.0
    return settings.cold_from + (1.0 - settings.cold_from) * max(0.0, age) / settings.warm_up


def capacity(slots: float, runs: Iterable[MovingAverage]) -> float:
    """Return the calls a second that so many slots can run; inf without `runs`, logs of run times by class."""
    seen = [(run.observations.count, exp(run.mean())) for run in runs if run.observations.count]
    calls = sum(count for count, _ in seen)
    seconds = sum(count * mean for count, mean in seen)
    return slots * calls / seconds if seconds else inf


def sender_rate(settings: Settings, warm_rate: float, share: float, senders: int | None, peers_heard: bool) -> float:
    """Return the calls a second that one dispatcher may send to a worker at this share of its capacity.

    `warm_rate`: calls a second that a warm worker gets from all.  `senders`: dispatchers that send to this worker; None
    where they exchange no notes, and each uses its part of the worker's capacity.  The allowance has slack for chance:
    where notes arrive, the square root of the calls allowed in the span is added, a third of that slack.
    """
    if senders is None:
        return warm_rate * share / settings.balancers
    allowed = warm_rate * share * settings.cold_factor * settings.cold_span
    return (allowed + (sqrt(allowed) if peers_heard else 0.0)) / settings.cold_span / senders


class SlowStartBudget:
    """A token bucket of the calls that one dispatcher may send to one worker in slow start."""

    __slots__ = ("tokens", "at")

    def __init__(self, tokens: float, now: float) -> None:
        """`tokens`: random, below 1, so that dispatchers with little traffic share a worker's first calls."""
        self.tokens, self.at = tokens, now

    def earn(self, rate: float, now: float) -> float:
        """Add tokens at `rate` a second since the last call; return the tokens at `now`."""
        self.tokens = min(MAX_TOKENS, self.tokens + (now - self.at) * rate)
        self.at = now
        return self.tokens

    def pay(self) -> None:
        """Spend a token on a call."""
        self.tokens -= 1.0
