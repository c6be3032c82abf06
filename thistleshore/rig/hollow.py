"""Hollow dispatchers: the real control machines of a dispatcher, without its fronts, so that many fit in one process.

A hollow dispatcher is wired by the same functions as a whole one (`thistleshore.dispatcher`): its broker with the
decision module, the ledger and the leases, the view of the fleet and the follower of the register, each with its own
sockets.  It takes no jobs.
"""

from __future__ import annotations

from enum import StrEnum

import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import ListKind
from thistleshore import dispatcher
from thistleshore.config import Plan
from thistleshore.core.broker import Broker
from thistleshore.core.model import HostsTold
from thistleshore.fleet.carrier import Carrier
from thistleshore.platform.upstream import Upstreams


class Part(StrEnum):
    """A part of a dispatcher that costs something while there are no jobs."""

    VIEW = "view"
    LEASES = "leases"
    REGISTER = "register"


class HollowDispatcher:
    """One dispatcher without fronts, as its operator's file describes it."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.broker = Broker(Brain(plan.settings, plan.seed, trio.current_time()), plan.class_names)
        if plan.agreements is not None:
            dispatcher._keep_shares(self.broker, plan)
        self.fleet: Carrier | None = None
        self._drain = trio.Event()

    @property
    def ready(self) -> bool:
        """Whether it has a list of hosts; a whole dispatcher asks its fronts as well."""
        return bool(self.broker.hosts)

    async def run(self) -> None:
        """Take part in everything that the file sets up, until cancelled."""
        plan = self.plan
        upstreams = Upstreams(dispatcher._ways(plan))
        self.broker.carriers[tuple] = upstreams
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.broker.run)
            nursery.start_soon(upstreams.run)
            await self.broker.inbox.send(HostsTold(ListKind.CACHED, plan.known))
            if plan.agreements is not None:
                await dispatcher._tell_shares(self.broker, plan, nursery)
            if plan.fleet is not None:
                self.fleet = dispatcher._join(plan, self._drain, lambda: self.ready, None)
                nursery.start_soon(self.fleet.run)
            if self.fleet is not None and plan.releases is not None:
                self.fleet.releases = dispatcher._agree(
                    plan, self.fleet, self.broker, lambda: self.ready, self._drain, ()
                )
                nursery.start_soon(self.fleet.releases.run)

    @property
    def follows(self) -> bool:
        """Whether a majority of the voters has answered it lately."""
        releases = self.fleet.releases if self.fleet is not None else None
        return releases is not None and trio.current_time() <= releases.fresh_until
