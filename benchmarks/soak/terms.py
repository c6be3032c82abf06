"""The operators' terms as figures, and the settings that a soak gives its dispatchers."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt
from typing import Any

CORES, SLOTS = 3, 3  # of each server
WORK_FIXED, WORK_MEAN = 0.3, 0.35  # s of a job: at least, and the mean of what comes on top by chance
MEAN_WORK = WORK_FIXED + WORK_MEAN
SMALL_BUDGET = 30  # calls under which the slack of the slow-start budget is wider
CLOSED_SLACK = 0.1  # s after a client's close in which an attempt may still begin
DEADLINE_SLACK = 0.15  # s by which the time told to a server may exceed what its client has left
ANSWER_SLACK = 0.5  # s after its time within which a request has its answer
KILL_AFTER, KILL_DEADLINE_MOST = 0.7, 3.0  # s: SIGKILL after SIGTERM, beyond the longest deadline, counted so at most
DRAIN_SLACK = 0.05  # s by which each limit is longer on sockets
WIDER_DEADLINE = 3.0  # s, of the class that wider settings have besides; nobody asks for it


@dataclass(frozen=True, slots=True)
class Terms:
    """What a run's settings say."""

    nodes: int
    cold_from: float = 0.12
    warm_up: float = 24.0
    factor: float = 4.0
    span: float = 2.0
    drain_within: float = 3.0
    deadlines: tuple[float, float, float] = (10.0, 5.0, 5.0)

    def kill_after(self, wider: bool) -> float:
        """s from SIGTERM to the earliest SIGKILL; `wider`: under the wider settings."""
        longest = max(*self.deadlines, WIDER_DEADLINE if wider else 0.0)
        return min(KILL_DEADLINE_MOST, longest) + KILL_AFTER

    def warmth(self, age: float) -> float:
        """The least share of its capacity that a server of this age has."""
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * max(0.0, age) / self.warm_up)

    def budget(self, age: float) -> float:
        """Requests of mean work that a server of this age may get in the span, slack included."""
        allowed = self.factor * self.warmth(age) * CORES / MEAN_WORK * self.span
        slack = 3 * sqrt(allowed) + 3 if allowed < SMALL_BUDGET else 2 * sqrt(allowed) + 2
        return allowed + slack

    def settings(self, me: int, wider: bool = False) -> dict[str, Any]:
        """The platform's settings object for one dispatcher; `wider`: with a further class, kind and tenant.

        Those come first, so that all others have other numbers in the file.
        """
        search, issue, pay = self.deadlines
        lane = {"aim": 0.4, "group": "all", "lateShare": 0.2, "repeatWindow": 5.0, "stream": False, "aimStretch": 2.0}
        kinds = ["big"] * wider + ["std"]
        bound = {"boundTo": [kinds.index("std")]}
        more = [
            {**lane, "name": "quote", "effect": "retryable", "worth": 99.0, "giveUp": WIDER_DEADLINE, "boundTo": []}
        ]
        return {
            "balancers": self.nodes,
            "clients": {"marksRetry": True},
            "discovery": "pushed",
            "workload": "jobs",
            "kinds": kinds,
            "familyInfo": {"classKind": [-1] * (3 + wider), "reportX0": "free slots", "tellsStart": True},
            "lanes": more * wider + [
                {**lane, "name": "search", "effect": "retryable", "worth": 3.0, "giveUp": search},
                {**lane, "name": "issue", "effect": "dedup", "group": "cell", "worth": 10.0, "giveUp": issue,
                 "repeatWindow": 7.5},
                {**lane, "name": "pay", "effect": "fragile", "worth": 10.0, "giveUp": pay, **bound},
            ],
            "limits": {"cancelling": True, "connIdle": 15.0, "connectTimeout": 0.2, "maxAttempts": 6, "peers": True,
                       "maxRetryAfter": 2.0, "retryAfter": True, "secondCopies": True},
            "localities": ["room"],
            "locality": 0,
            "me": me,
            "quantum": 0.005,
            "rules": {"askWithin": 10.0, "coldFrom": self.cold_from, "overloadFactor": self.factor,
                      "overloadFor": self.span, "stopSendingWithin": self.drain_within, "warmUp": self.warm_up},
            "stats": {"how": "piggyback", "names": ["x0", "rif", "fail_rate"]},
            "tenants": [{"name": "other", "quotaPerS": 1.0}] * wider,
        }  # fmt: skip
