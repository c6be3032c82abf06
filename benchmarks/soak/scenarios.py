"""Fixed plans: the incidents that a regression test plays again."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from benchmarks.soak.plan import Fault, Plan
from benchmarks.soak.terms import Terms

SERVERS = 12
BACK_AT = 5.0  # s, when the server under test comes back
RETUNED_BEFORE = (0.01, 3.0)  # s between the last SIGHUP and SIGTERM, of one dispatcher and another
LATE = 0.9  # s by which lists come late


def _plan(seed: int, nodes: int | None, *more: Fault) -> Plan:
    """One server restarts in place under a load of all capacity, with further faults."""
    faults = tuple(sorted((Fault(BACK_AT - 1.0, "restart", 0, 1.0), *more), key=lambda fault: fault.at))
    return Plan(seed, Terms(nodes or 2), SERVERS, 1.0, 0.0, 0.5, (LATE, LATE), 9.0, 0.0, faults)


def _ending_at_once(kind: str, seed: int, nodes: int | None = None) -> Plan:
    """Report 515270: four servers are down and listed, and the one that is back ends most requests at once."""
    return _plan(seed, nodes, Fault(3.0, "down", 4, 6.0, 0.34), Fault(BACK_AT - 0.5, kind, 0, 4.0, 0.9))


def _dropped_class(seed: int, nodes: int | None = None) -> Plan:
    """Case 2 of issue 51: a class of a longer deadline is added and dropped, then each dispatcher is restarted."""
    terms = Terms(nodes or 1, deadlines=(1.2, 1.0, 1.0))
    faults = []
    for node in range(terms.nodes):
        faults += [Fault(1.0, "retune", node, 3.0), Fault(4.0 + RETUNED_BEFORE[node % 2], "terminate", node)]
    return Plan(seed, terms, SERVERS, 0.7, 0.0, 0.5, (0.0, 0.1), 12.0, 0.0, tuple(sorted(faults, key=lambda f: f.at)))


SCENARIOS: dict[str, Callable[[int, int | None], Plan]] = {
    "dropped-class": _dropped_class,
    "fast-endings": partial(_ending_at_once, "resets"),
    "rejections": partial(_ending_at_once, "rejects"),
    "restart": _plan,
}
