"""This process's part in the agreed configuration: which version it starts on, and how it follows later ones."""

from __future__ import annotations

from pathlib import Path

from oxbowarch.interface import ListKind
from thistleshore.config import Plan
from thistleshore.configuration.applying import Applier
from thistleshore.configuration.calls import ConfigurationCalls
from thistleshore.configuration.carrier import Distribution
from thistleshore.configuration.store import VersionStore
from thistleshore.core.model import HostListReceived
from thistleshore.wiring.components import Components


def make_applier(file: Plan) -> Applier:
    """What puts versions in force over the own file, whose plan is `file`."""
    assert file.distribution is not None and file.fleet is not None
    return Applier(VersionStore(Path(file.distribution.folder), file.fleet.name), file)


def join(components: Components, applier: Applier) -> None:
    """Make this process's part of the distribution, and start it once this process is the member."""
    plan, fleet, releases, follower = components.plan, components.fleet, components.releases, components.follower
    assert plan.distribution is not None and fleet is not None and releases is not None
    applier.activate = follower.adopt
    settings = plan.distribution.settings._replace(max_datagram_bytes=fleet.plan.terms.datagram)
    distribution = Distribution(settings, fleet, releases, applier)
    components.distribution = distribution
    fleet.on_distribution = distribution.on_datagram
    fleet.configuration_call = ConfigurationCalls(releases, distribution, applier).on_call
    if components.handover is not None:
        components.handover.distribution = distribution
    if components.initial.inherited is not None and applier.hosts_from_version:
        # The hosts of the process before, which the broker has been told, may be those of an earlier version.
        components.broker.inbox.send_nowait(HostListReceived(ListKind.FULL, plan.known))
    components.start_as_member(distribution.run)
