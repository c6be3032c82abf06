"""Why a job ends without a result."""

from __future__ import annotations

from oxbowarch.interface import RefusalReason
from oxbowarch.records import Job


def reason_of(job: Job, shut: bool) -> RefusalReason:
    """The reason for a job that is given up; `shut`: an operator has taken out all workers that may run it."""
    if shut:
        return RefusalReason.NO_WORKER
    if len(job.attempts) >= job.max_attempts:
        return RefusalReason.ATTEMPTS_SPENT
    return RefusalReason.OUT_OF_TIME
