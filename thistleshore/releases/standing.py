"""Observe which dispatchers and hosts exist and which are down, from the fleet view and the broker's hosts."""

from __future__ import annotations

from oxbowarch.interface import State as HostState
from thistleshore.core.broker import Broker
from thistleshore.fleet import Fleet, Service, State
from thistleshore.releases.model import FleetObservation

COLD_PERIOD = 2.0  # seconds after its start for which a host is cold and counts as out


def observe(fleet: Fleet, broker: Broker, now: float) -> FleetObservation:
    """Return the current observation.  Members that are down, suspect, not ready, cold or shunned count as down."""
    generations: dict[str, int] = {}
    dispatchers_down: set[str] = set()
    for record in [fleet.own_record, *(member.record for member in fleet.members.values())]:
        if record.state == State.LEFT and record.by:
            continue  # removed for good by an operator
        generations[record.name] = record.generation
        if record.state != State.ALIVE or record.service != Service.READY:
            dispatchers_down.add(record.name)
    hosts: dict[str, tuple[str, str]] = {}
    hosts_down: set[str] = set()
    for name, host in broker.hosts.items():
        entry = host.entry
        if entry.state is HostState.GONE:
            continue
        hosts[name.decode()] = str(entry.kind), str(entry.zone)
        worker = broker.brain.workers.get(name)
        cold = entry.started_at > 0.0 and now - entry.started_at < COLD_PERIOD
        shunned = worker is not None and now < worker.shunned_until
        if entry.state is not HostState.READY or cold or shunned:
            hosts_down.add(name.decode())
    return FleetObservation(generations, frozenset(dispatchers_down), hosts, frozenset(hosts_down))
