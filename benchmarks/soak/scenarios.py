"""Fixed plans: the incidents that a regression test plays again."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.soak.plan import Fault, Plan
from benchmarks.soak.terms import Terms

SERVERS = 12
BACK_AT = 5.0  # s, when the server under test comes back
LATE = 0.9  # s by which lists come late


def _plan(seed: int, nodes: int | None, faults: tuple[Fault, ...], load: float = 1.0) -> Plan:
    return Plan(seed, Terms(nodes or 2), SERVERS, load, 0.0, 0.5, (LATE, LATE), 9.0, 0.0, faults)


def fast_endings_after_a_restart(seed: int, nodes: int | None = None) -> Plan:
    """Report 515270: four servers are down and listed, one comes back in place and resets most requests."""
    return _plan(seed, nodes, (
        Fault(3.0, "down", 4, 6.0, 0.34),
        Fault(BACK_AT - 1.0, "restart", 0, 1.0),
        Fault(BACK_AT - 0.5, "resets", 0, 4.0, 0.9),
    ))  # fmt: skip


def rejections_after_a_restart(seed: int, nodes: int | None = None) -> Plan:
    """The same where the server turns most requests away as full."""
    return _plan(seed, nodes, (
        Fault(3.0, "down", 4, 6.0, 0.34),
        Fault(BACK_AT - 1.0, "restart", 0, 1.0),
        Fault(BACK_AT - 0.5, "rejects", 0, 4.0, 0.9),
    ))  # fmt: skip


def restart_under_load(seed: int, nodes: int | None = None) -> Plan:
    """A restart in place with nothing else."""
    return _plan(seed, nodes, (Fault(BACK_AT - 1.0, "restart", 0, 1.0),))


SCENARIOS: dict[str, Callable[[int, int | None], Plan]] = {
    "fast-endings": fast_endings_after_a_restart,
    "rejections": rejections_after_a_restart,
    "restart": restart_under_load,
}
