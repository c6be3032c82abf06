"""This process's part in what the fleet agrees on: who may be out, and which version each instance runs."""

from __future__ import annotations

import os
from pathlib import Path

import trio

from oxbowarch.interface import State
from thistleshore.config import Plan
from thistleshore.core.broker import Broker
from thistleshore.core.model import BanRequested
from thistleshore.configuration.store import BODY_FOLDER, FileBodyStore
from thistleshore.fleet.machine import Fleet
from thistleshore.releases.calls import ReleaseCalls
from thistleshore.releases.carrier import Releases
from thistleshore.releases.figures import Counter
from thistleshore.releases.standing import observe
from thistleshore.wiring.components import Components

VERSION_VARIABLE = "THISTLESHORE_VERSION"  # the environment's, set by a keeper


class HostControl:
    """What the agreement asks of this process about members and hosts, and does to the hosts."""

    def __init__(self, plan: Plan, broker: Broker, machine: Fleet) -> None:
        self.plan, self.broker, self.machine = plan, broker, machine

    def zones(self, service: str) -> dict[str, str]:
        """The zone of each host of a service, by name; of each living member where no service is named."""
        if not service:
            return {record.name: record.zone for record in self.machine.living()}
        names = self.plan.service_names
        kind = names.index(service) if service in names else None
        entries = {name.decode(): host.entry for name, host in self.broker.hosts.items()}
        return {
            name: str(entry.zone)
            for name, entry in entries.items()
            if entry.kind == kind and entry.state is not State.GONE
        }

    async def ban(self, host: str, out: bool) -> None:
        """Take a host out, or call it back; returns once the decision module has it."""
        asked = BanRequested(host.encode(), out)
        await self.broker.inbox.send(asked)
        await asked.done.wait()

    def is_clear(self, host: str) -> bool:
        """Whether nothing that this process has sent is left at the host."""
        worker = self.broker.brain.workers.get(host.encode())
        return worker is None or not worker.outstanding


def join(components: Components) -> None:
    """Make this process's part of the agreement, and start it once this process is the member."""
    plan, broker, fleet = components.plan, components.broker, components.fleet
    assert plan.releases is not None and fleet is not None
    machine, counter = fleet.machine, _count_answers(components, fleet.machine.own_record.name)
    control = HostControl(plan, broker, machine)
    releases = components.releases = Releases(
        plan=plan.releases,
        name=machine.own_record.name,
        generation=machine.own_record.generation,
        observe=lambda: observe(machine, broker, trio.current_time()),
        ban=control.ban,
        is_clear=control.is_clear,
        ready=components.ready,
        zones=control.zones,
        drain=components.drain,
        figures=counter.figures,
        view=lambda: (machine.settled, machine.majority),
        # Kept by each voter, whether or not it follows the configuration itself: what the others agree on needs it.
        bodies=FileBodyStore(Path(plan.releases.folder) / BODY_FOLDER) if plan.releases.listen is not None else None,
    )
    fleet.register_call = ReleaseCalls(releases).on_call
    if components.handover is not None:
        components.handover.releases = releases
    components.start_as_member(releases.run)


def _count_answers(components: Components, name: str) -> Counter:
    """Count what becomes of streams and attempts from now on, by class, for the gate of a release."""
    plan = components.plan
    version = os.environ.get(VERSION_VARIABLE, "")
    counter = Counter(name, os.getpid(), version, plan.class_names, plan.settings.classes)
    if components.downstream is not None:
        components.downstream.told = counter.add
    components.broker.on_attempt = counter.add_attempt
    return counter
