"""The reason why a job ends without a result."""

from __future__ import annotations

from oxbowarch.interface import RefusalReason
from oxbowarch.records import Job


def reason_of(job: Job, all_banned: bool) -> RefusalReason:
    """Return why a job is given up; `all_banned`: an operator has banned all workers that may run it."""
    if all_banned:
        return RefusalReason.NO_WORKER
    if len(job.attempts) >= job.max_attempts:
        return RefusalReason.ATTEMPTS_SPENT
    return RefusalReason.OUT_OF_TIME
