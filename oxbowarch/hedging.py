"""Hedged requests: when a job is sent a second time while its first attempt is outstanding."""

from __future__ import annotations

from math import exp

from oxbowarch.records import Attempt, Job

COPY_AFTER = 1.0  # seconds without a start before a second copy
COPY_FADE = 1 / 10.0  # decay of the share of faster copies (1/s)
COPY_ROOM = 0.75  # busy share from which a copy would displace another job
LONG_RUN = 1.2  # log of the run time over the usual from which a copy is due


def overdue(job: Job, attempt: Attempt, usual: float, copies_win: bool, now: float) -> bool:
    """Return whether this attempt waits or runs far too long; `usual` is the log of the class's usual run time.

    Where copies mostly lose, a long run means a long job, which a copy would only double: copies are sent late there.
    """
    if not attempt.started:
        return now - attempt.sent_at >= COPY_AFTER
    soon = job.since + job.policy.aim + (job.policy.stretch - 1.0) * exp(usual)
    return now - attempt.started > exp(usual + LONG_RUN) or copies_win and now >= soon
