"""The page for Prometheus: results, the view of the fleet, and what the contracts come to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from prometheus_client.registry import Collector

from thistleshore.contracts import Ledger
from thistleshore.core.broker import Broker
from thistleshore.metrics import Attempts, Configuration, Contracts, Page, Results, View
from thistleshore.wiring.components import Components

if TYPE_CHECKING:
    from thistleshore.distribution.machine import Distributor


async def start(components: Components) -> None:
    """Start the page with what there is to tell of."""
    plan, broker, fleet = components.plan, components.broker, components.fleet
    assert plan.metrics is not None
    collectors: list[Collector] = [Results(broker.figures_snapshot), Attempts(broker)]
    if fleet is not None:
        collectors.append(View(fleet.members, fleet.status))
    if broker.ledger is not None:
        collectors.append(_contracts(broker, broker.ledger))
    if plan.distribution is not None:
        collectors.append(_configuration(components))
    await components.nursery.start(Page(*collectors).run, plan.metrics)


def _configuration(components: Components) -> Configuration:
    def machine() -> Distributor | None:
        return components.distribution.machine if components.distribution is not None else None

    return Configuration(machine)


def _contracts(broker: Broker, ledger: Ledger) -> Contracts:
    def events() -> dict[str, int]:
        return {**broker.exchange_datagram_counts, **(broker.exchange.counts if broker.exchange is not None else {})}

    return Contracts(lambda: ledger.figures(trio.current_time()), events)
