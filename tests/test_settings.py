"""Settings of another customer: each field missing, new, of another type or absurd.

The file is taken, and a module that has these settings works; or it is refused, and the fault is named.  Nothing else.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import pytest

from oxbowarch.brain import Brain
from oxbowarch.interface import Entry, ListKind, Note, Outcome, Report, Request, Send, State, Status, Timer
from thistleshore import config

LANE = {"aim": 0.4, "effect": "retryable", "giveUp": 10.0, "group": "all", "lateShare": 0.2, "name": "look",
        "repeatWindow": 5.0, "stream": False, "worth": 3.0}  # fmt: skip
SETTINGS: dict[str, Any] = {
    "balancers": 30, "clients": {"marksRetry": True}, "discovery": "pushed", "workload": "jobs", "kinds": ["k"],
    "familyInfo": {"classKind": [-1, -1], "classPriority": [0, 1], "classStretch": [2.5, 2.0], "progress": 0.0,
                   "queueOrder": "backfill", "reportX0": "free slots", "reportX1": "memory", "tellsStart": True},
    "lanes": [LANE, {**LANE, "name": "book", "effect": "dedup", "group": "cell", "giveUp": 5.0}],
    "limits": {"cancelling": True, "connIdle": 15.0, "connectTimeout": 0.2, "maxAttempts": 6, "maxOpen": 32977,
               "maxRetryAfter": 2.0, "peers": True, "probes": False, "retryAfter": True, "secondCopies": True},
    "localities": ["room"], "locality": 0, "me": 0, "quantum": 0.005, "deductions": {"peer": 0.01},
    "rules": {"askWithin": 10.0, "coldFrom": 0.12, "graceToAnswer": 0.02, "overloadFactor": 4.0, "overloadFor": 2.0,
              "stopSendingWithin": 3.0, "warmUp": 24.0},
    "stats": {"how": "piggyback", "names": ["x0", "rif", "fail_rate"]},
    "tenants": [{"fraction": 0.3, "name": "a", "quotaPerS": 11.0}], "tier": 0, "tiers": ["t"], "weights": "live",
}  # fmt: skip
CONF: dict[str, Any] = {
    "name": "n3", "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:8500", "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": SETTINGS,
    "peer_listen": "127.0.0.1:7946", "peers": ["127.0.0.1:7946", "127.0.0.1:7947"], "peers_all": "127.0.0.1:7948",
    "known": {"seq": 1, "whole": True, "hosts": [
        {"host": "s-1", "dial": "127.0.0.1:5001", "site": "room", "class": "k", "block": 3, "health": "active",
         "share": 1.0, "born_ms": 0}]},
}  # fmt: skip
MISSING = object()
VALUES = (MISSING, None, "x", "7", -1, 0, 10**30, float("inf"), float("nan"), [], {}, True, [1])


def paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        yield (*path, key)
        yield from paths(inner, (*path, key))


def changed(path: tuple[Any, ...], value: Any) -> dict[str, Any]:
    conf = copy.deepcopy(CONF)
    at: Any = conf
    for key in path[:-1]:
        at = at[key]
    if value is MISSING:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return conf


def work(plan: config.Plan) -> None:
    """A module with these settings takes jobs, lists, notes and each ending."""
    brain, now = Brain(plan.settings, 1, 0.0), 1.0
    actions = brain.on_list(ListKind.CACHED, tuple(line.entry for line in plan.known), 0.0)
    actions += brain.on_list(ListKind.CHANGES, (Entry(b"cold", State.READY, started_at=0.5),), now)
    for n in range(12):
        now += 0.05
        actions += brain.on_request(Request(n, n % 2, 2.0, tenant=n % 2, key=n % 3), now)
    for n, action in enumerate(actions):
        now += 0.01
        if isinstance(action, Timer):
            brain.on_timer(action.token, now)
        elif isinstance(action, Send):
            brain.on_started(action.id, 0, now)
            status = list(Status)[n % len(Status)]
            brain.on_outcome(Outcome(action.id, 0, action.worker, status, 0.1, False, Report(1.0, 0.0, 2.0)), now)
    brain.on_notes(1, (Note(b"s-1", 2, 0.5, True),), now)


@pytest.mark.parametrize("value", VALUES, ids=lambda value: "missing" if value is MISSING else repr(value))
def test_any_field_with_that_value_is_taken_and_works_or_is_refused_by_name(value: Any) -> None:
    taken = 0
    for path in paths(CONF):
        try:
            plan = config.platform_plan(changed(path, value), {}, 0.0)
        except config.ConfigError as problem:
            assert str(problem).strip()
            continue
        work(plan)
        taken += 1
    assert taken > 0


def test_fields_that_nobody_knows_are_passed_over() -> None:
    conf = copy.deepcopy(CONF)
    for path in list(paths(CONF)):
        at: Any = conf
        for key in path[:-1]:
            at = at[key]
        if isinstance(at, dict):
            at["brandNew"] = {"deep": [1]}
    work(config.platform_plan(conf, {}, 0.0))
