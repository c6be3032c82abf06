"""Limits that fronts and upstream connections take from a plan, at the start and whenever a file is read again."""

from __future__ import annotations

from thistleshore.config import Plan
from thistleshore.platform.upstream import ConnectionLimits


def longest_deadline(plan: Plan) -> float:
    """The longest deadline of any class that new requests may have, s."""
    return max(job_class.give_up for job_class in plan.settings.current_classes)


def upstream_limits(plan: Plan) -> ConnectionLimits:
    """Times and numbers of connections to upstream hosts."""
    return ConnectionLimits(plan.connect_within, plan.idle_most, plan.upstream_most)
