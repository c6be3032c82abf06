"""What a pool can do now, as the decision module knows its hosts: slots of each service, and those that are free."""

from __future__ import annotations

from collections.abc import Iterable

from oxbowarch.interface import State
from oxbowarch.records import Worker


def _counted(workers: Iterable[Worker], services: int, now: float) -> list[Worker]:
    """Hosts that are ready; one that is shunned can do nothing."""
    return [
        worker
        for worker in workers
        if worker.entry.state is State.READY and now >= worker.shunned_until and worker.entry.kind < services
    ]


def slots(workers: Iterable[Worker], services: int, now: float) -> list[float]:
    """Slots by service, as far as seen; 0 where nothing is known."""
    found = [0.0] * services
    for worker in _counted(workers, services, now):
        found[worker.entry.kind] += max(worker.slots, float(worker.outstanding))
    return found


def free_slots(workers: Iterable[Worker], services: int, now: float) -> list[float]:
    """Those of the slots that are free, as far as reports and own attempts tell; less than 0 where attempts wait."""
    found = [0.0] * services
    for worker in _counted(workers, services, now):
        held = min(worker.slots, worker.reported_free) if now < worker.report_until else worker.slots
        found[worker.entry.kind] += held - worker.outstanding
    return found
