"""Repeats of a request: by its client, and by further attempts of the dispatcher."""

from __future__ import annotations

from math import inf

from oxbowarch.interface import Effect, Entry, Group, JobClass, Request
from oxbowarch.records import Job

HOLD_UP = 0.15  # seconds for which a dispatcher may be held up between reading its clock and writing


def is_late_repeat(rule: JobClass, request: Request) -> bool:
    """Return whether this repeats a job past its aim; it would take slots from jobs still in time."""
    return request.repeat and rule.give_up - request.budget > rule.aim


def repeat_until(job: Job, margin: float = 0.0) -> float:
    """Return the clock time after which no further attempt of the job may begin.

    It is inf where the effect may be repeated at any time or nothing can have run, and -inf where it must not be
    repeated.  The window of a keyed job ends early by `margin` seconds, and at least by the longest hold-up.
    """
    ran, rule = job.ran_first(), job.policy
    if ran is None or rule.effect is Effect.SAFE:
        return inf
    if rule.effect is not Effect.KEYED:
        return -inf
    return ran.sent_at + rule.repeat_window - max(HOLD_UP, margin)


def repeat_allowed_at(job: Job, entry: Entry) -> bool:
    """Return whether a further attempt may go to the worker of this entry, as far as its place matters.

    Once an attempt of a keyed job may have run, only workers of the same group drop its repeats.
    """
    ran, rule = job.ran_first(), job.policy
    if ran is None or rule.effect is not Effect.KEYED or rule.group is Group.ALL:
        return True
    same_cell = rule.group is Group.ZONE or ran.entry.cell == entry.cell
    return same_cell and ran.entry.zone == entry.zone
