"""When a job whose answer may never come is sent a second time, while the first attempt is out."""

from __future__ import annotations

from math import exp

from oxbowarch.records import Attempt, Job

COPY_AFTER = 1.0  # s without a start before a second copy
COPY_FADE = 1 / 10.0  # 1/s; of the share of copies that were faster
COPY_ROOM = 0.75  # share of slots busy from which a copy would take the place of another job
LONG_RUN = 1.2  # logged excess of a run over the usual that calls for one


def overdue(job: Job, attempt: Attempt, usual: float, copies_win: bool, now: float) -> bool:
    """Does this attempt wait or run for far too long?  `usual`: the logged usual run time of the job's class.

    Where copies mostly lose, a long run is a long job, which a copy would double: they are sent late there.
    """
    if not attempt.started:
        return now - attempt.sent_at >= COPY_AFTER
    soon = job.since + job.policy.aim + (job.policy.stretch - 1.0) * exp(usual)
    return now - attempt.started > exp(usual + LONG_RUN) or copies_win and now >= soon
