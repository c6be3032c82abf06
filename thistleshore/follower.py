"""Follows the configuration of a running dispatcher: what a file says that was read again is put in force."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

import trio

from oxbowarch.interface import ListKind
from thistleshore.config import Plan
from thistleshore.core.broker import Broker
from thistleshore.core.model import HostLine, HostListReceived, SettingsChanged
from thistleshore.limits import longest_deadline, upstream_limits
from thistleshore.platform.discovery import Discovery
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.messages import Routes
from thistleshore.platform.upstream import Upstreams

if TYPE_CHECKING:  # imported only where the plan has them
    from thistleshore.configuration.applying import Applier
    from thistleshore.fleet.carrier import Carrier
    from thistleshore.restart.handover_state import HandoverState

log = logging.getLogger("thistleshore")

NEEDS_RESTART = frozenset({"contract", "service"})  # the rules of a file in which these differ do not hold yet
DROPPED_FOR = 2.0  # s in which a class that new settings leave out is still taken: clients hear of it later than we


class Follower:
    """Puts in force what the file says when read again; the rest of it needs a restart."""

    def __init__(
        self,
        plan: Plan,
        broker: Broker,
        upstreams: Upstreams,
        downstream: Downstream | None,
        discovery: Discovery | None,
    ) -> None:
        """`plan` is what holds until a restart, with which each reading is compared."""
        self.plan, self.broker, self.upstreams = plan, broker, upstreams
        self.downstream, self.discovery = downstream, discovery
        self.fleet: Carrier | None = None  # tells the other members of another file
        self.applier: Applier | None = None  # lays the agreed configuration over the file
        self.handover: HandoverState | None = None  # what the next process is to know of new settings
        self._latest_routes: Routes | None = None

    async def run(self, rereads: trio.MemoryReceiveChannel[Plan | None]) -> None:
        """Each reading in its turn; None is one of a file that was turned down."""
        async with trio.open_nursery() as nursery:
            async for found in rereads:
                if found is None:
                    self.broker.process_figures.sighup_rejected += 1
                    continue
                if await self._follow(found, nursery):
                    self.broker.process_figures.sighup_applied += 1
                else:
                    self.broker.process_figures.sighup_rejected += 1

    async def _follow(self, found: Plan, nursery: trio.Nursery) -> bool:
        """Put a reading of the file in force, as far as it goes without a restart; whether it was taken."""
        if changed := self.plan.changed(found):
            log.warning("configuration reread: a restart is needed for %s", ", ".join(changed))
        if self.applier is not None and not NEEDS_RESTART & set(changed):
            combined = await self.applier.reload_file(found)
            if combined is None:
                return False
            found = combined  # and nothing waits from here on, so that no version comes between
        if found.numbered:
            await self._apply_settings(found, nursery)
        self._apply_rules(found, changed)
        self._move_discovery(found)
        if self.fleet is not None:
            self.fleet.on_settings(found.told)
        return True

    def adopt(self, found: Plan, hosts: Sequence[HostLine] | None) -> None:
        """Put the rules and shares of an agreed configuration in force, and its hosts where it has some."""
        if self.plan.live is not None and found.live is not None:
            self.plan.live.swap(found.live.table)
        _adopt_shares(self.broker, found)
        if hosts is not None:
            self.tell_hosts(hosts)

    def tell_hosts(self, hosts: Sequence[HostLine]) -> None:
        """These are all upstream hosts from now on; streams at the others run to their end."""
        self.broker.post(HostListReceived(ListKind.FULL, tuple(hosts)))

    async def _apply_settings(self, found: Plan, nursery: trio.Nursery) -> None:
        """New settings: the module's before the fronts', which name classes by its numbers."""
        # The module's come first: a list that has their names may follow.
        if self.handover is not None:
            self.handover.adopt(found)
        else:
            self.broker.post(SettingsChanged(found.settings, found.class_names))
        # `limits` holds until a restart: the fronts, and what is granted to them, do not follow it either.
        self.upstreams.limits = upstream_limits(found)._replace(max_connections=self.plan.upstream_most)
        assert found.http is not None
        routes = found.http.routes
        if (downstream := self.downstream) is not None:
            # What was in force a moment ago is known for a while; each class by its newest rules.
            downstream.routes = routes._replace(classes={**downstream.routes.classes, **routes.classes})
            downstream.gate.drain.set_longest_deadline(longest_deadline(found))
        nursery.start_soon(self._drop_old_classes, routes)
        if self.discovery is not None:
            self.discovery.on_settings(found.settings, found.http.names)
        log.info(
            "configuration reread: settings with %d classes in force, longest deadline %.3g s",
            len(found.http.routes.classes),
            longest_deadline(found),
        )

    async def _drop_old_classes(self, routes: Routes) -> None:
        """Know only the classes of these settings, unless newer ones have come."""
        self._latest_routes = routes
        await trio.sleep(DROPPED_FOR)
        if self._latest_routes is routes:
            if self.downstream is not None:
                self.downstream.routes = routes

    def _apply_rules(self, found: Plan, changed: Sequence[str]) -> None:
        live = self.plan.live
        if live is None or found.live is None:
            return
        if tied := sorted(NEEDS_RESTART & set(changed)):
            # The new rules speak of the new contracts, which do not hold yet: half of a file must not.
            log.error(
                "configuration reread: the old rules hold, as the new ones need a restart for %s", ", ".join(tied)
            )
        else:
            live.swap(found.live.table)
            log.info("configuration reread: %d rules in force", len(live.table.rules.rules))
            _adopt_shares(self.broker, found)

    def _move_discovery(self, found: Plan) -> None:
        address = found.http.discovery if found.http is not None else None
        if self.discovery is None or address is None or address == self.discovery.address:
            log.info("configuration reread: discovery stays where it was")
        else:
            log.info("configuration reread: discovery moves to %s:%d", *address)
            self.discovery.move(address)


def _adopt_shares(broker: Broker, found: Plan) -> None:
    """Put new shares in force; counters, estimates and budgets of what goes on are kept."""
    if broker.ledger is None or found.agreements is None:
        if (broker.ledger is None) != (found.agreements is None):
            log.warning("configuration reread: a restart is needed to begin or to end the keeping of shares")
        return
    now = trio.current_time()
    broker.ledger.adopt(found.agreements, now)
    if broker.exchange is not None:
        broker.exchange.adopt(found.agreements.share_keys, found.agreements.names, now)
    log.info("configuration reread: shares of %d members in force", len(found.agreements.members))
