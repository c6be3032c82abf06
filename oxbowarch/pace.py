"""How much longer than usual jobs lately ran at one worker."""

from __future__ import annotations

from math import log

from oxbowarch.records import MovingAverages, Worker

SLOW_STEEP = 3.0  # power of a worker's slowness by which its weight falls
SLOW_FADE = 1 / 3.0  # 1/s; how fast sightings of a worker's pace decay
RUN_LEAST = 1e-3  # s; a shorter run counts as one of this


def slowness(worker: Worker, runs: MovingAverages, now: float) -> float:
    """The mean logged excess of the worker's run times over the usual, at least 0; its slots look free all the same.

    `runs` has the logged usual run time of each class.  Runs that go on count once they are longer than usual.
    """
    total, seen = worker.slowdown_total.read(SLOW_FADE, now), 1.0 + worker.slowdown_count.read(SLOW_FADE, now)
    for attempt in worker.running:
        over = log(max(RUN_LEAST, now - attempt.started)) - runs[attempt.job_class].mean()
        if over > 0.0:
            total, seen = total + over, seen + 1.0
    return max(0.0, total / seen)
