"""Slow workers: how much longer than usual jobs lately ran at one worker."""

from __future__ import annotations

from math import log

from oxbowarch.records import MovingAverages, Worker

SLOW_STEEP = 3.0  # power of the slowness by which a worker's draw weight falls
SLOW_FADE = 1 / 3.0  # decay of the observed slowdowns (1/s)
MIN_RUN_TIME = 1e-3  # seconds; a shorter run counts as this


def slowness(worker: Worker, runs: MovingAverages, now: float) -> float:
    """Return the mean log of the worker's run times over the usual, at least 0; free slots do not show slowness.

    `runs` has the log of the usual run time by class.  Unfinished runs count once they are longer than usual.
    """
    total, seen = worker.slowdown_total.read(SLOW_FADE, now), 1.0 + worker.slowdown_count.read(SLOW_FADE, now)
    for attempt in worker.running:
        over = log(max(MIN_RUN_TIME, now - attempt.started)) - runs[attempt.job_class].mean()
        if over > 0.0:
            total, seen = total + over, seen + 1.0
    return max(0.0, total / seen)
