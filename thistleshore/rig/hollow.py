"""Hollow dispatchers: the real control machines of a dispatcher, without its fronts, so that many fit in one process.

A hollow dispatcher is wired by the same functions as a whole one (`thistleshore.dispatcher`): its broker with the
decision module, the ledger and the leases, the view of the fleet, the follower of the register and the distribution of
configuration, each with its own sockets.  It takes no jobs.
"""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum

import trio

from oxbowarch.interface import ListKind
from thistleshore import dispatcher
from thistleshore.config import Plan
from thistleshore.core.broker import Broker
from thistleshore.core.model import HostListReceived
from thistleshore.fleet.carrier import Carrier
from thistleshore.limits import upstream_limits
from thistleshore.platform.upstream import Upstreams
from thistleshore.releases.carrier import Releases
from thistleshore.wiring.components import Components


class Part(StrEnum):
    """A part of a dispatcher that costs something while there are no jobs."""

    VIEW = "view"
    LEASES = "leases"
    REGISTER = "register"
    CONFIGURATION = "configuration"


class HollowDispatcher:
    """One dispatcher without fronts, as its operator's file describes it."""

    def __init__(self, plan: Plan) -> None:
        # No front, nothing that listens for operators, and no hot restart.
        self.plan = replace(plan, http=None, beanstalkd=None, admin=None, metrics=None, restart="")
        self._components: Components | None = None

    @property
    def broker(self) -> Broker | None:
        """None before it runs."""
        return None if self._components is None else self._components.broker

    @property
    def fleet(self) -> Carrier | None:
        """Its part in the view; None before it runs, or where its file sets none up."""
        return None if self._components is None else self._components.fleet

    @property
    def releases(self) -> Releases | None:
        """Its part in what the fleet agrees on; None before it runs, or where its file sets none up."""
        return None if self._components is None else self._components.releases

    async def run(self) -> None:
        """Take part in everything that the file sets up, until cancelled."""
        plan, applier = dispatcher._configured(self.plan)
        initial = await dispatcher._initial_state(plan)
        broker = dispatcher._make_broker(plan, initial)
        upstreams = Upstreams(upstream_limits(plan))
        broker.carriers[tuple] = upstreams
        async with trio.open_nursery() as nursery:
            components = Components(plan, trio.Event(), nursery, initial, broker, upstreams, applier)
            nursery.start_soon(broker.run)
            nursery.start_soon(upstreams.run)
            await broker.inbox.send(HostListReceived(ListKind.CACHED, initial.known_hosts))
            dispatcher._start_follower(components, None)
            await dispatcher._start_subsystems(components)
            components.serving.set()
            self._components = components

    @property
    def follows(self) -> bool:
        """Whether a majority of the voters has answered it lately."""
        releases = self.releases
        return releases is not None and releases.has_recent_majority

    @property
    def configuration(self) -> int:
        """The version of the agreed configuration that is in force; 0: its own file's."""
        distribution = self._components.distribution if self._components is not None else None
        return 0 if distribution is None else distribution.machine.applied.number
