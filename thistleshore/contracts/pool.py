"""The present capacity of a pool, from the decision module's records of hosts: slots and free slots by service."""

from __future__ import annotations

from collections.abc import Iterable

from oxbowarch.interface import State
from oxbowarch.records import Worker


def _usable_workers(workers: Iterable[Worker], services: int, now: float) -> list[Worker]:
    """Return the hosts that are ready and not shunned."""
    return [
        worker
        for worker in workers
        if worker.entry.state is State.READY and now >= worker.shunned_until and worker.entry.kind < services
    ]


def slots(workers: Iterable[Worker], services: int, now: float) -> list[float]:
    """Return the known slots by service; 0 where nothing is known."""
    slots_by_service = [0.0] * services
    for worker in _usable_workers(workers, services, now):
        slots_by_service[worker.entry.kind] += max(worker.slots, float(worker.outstanding))
    return slots_by_service


def free_slots(workers: Iterable[Worker], services: int, now: float) -> list[float]:
    """Return the free slots by service, from reports and own attempts; negative where attempts queue at hosts."""
    slots_by_service = [0.0] * services
    for worker in _usable_workers(workers, services, now):
        free = min(worker.slots, worker.reported_free) if now < worker.report_until else worker.slots
        slots_by_service[worker.entry.kind] += free - worker.outstanding
    return slots_by_service
