"""Repeats of a request by its client."""

from __future__ import annotations

from oxbowarch.interface import JobClass, Request


def is_late_repeat(rule: JobClass, request: Request) -> bool:
    """Return whether this repeats a job past its aim; it would take slots from jobs still in time."""
    return request.repeat and rule.give_up - request.budget > rule.aim
