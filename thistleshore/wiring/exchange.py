"""What tells others of the shares: datagrams to other instances, and events in the log."""

from __future__ import annotations

import logging

import trio

from thistleshore.contracts import Ledger
from thistleshore.contracts.carrier import ExchangeLink
from thistleshore.core.model import PeerDatagramReceived
from thistleshore.wiring.components import Components

log = logging.getLogger("thistleshore")

SHARES_EVERY = 10.0  # s between two events of each contract in the log


async def start(components: Components) -> None:
    """Start the datagrams, once their address is bound, and an event for each contract in the log."""
    plan, broker = components.plan, components.broker
    assert broker.ledger is not None
    if plan.exchange is not None:
        setup = plan.exchange

        async def deliver(data: bytes) -> None:
            await broker.inbox.send(PeerDatagramReceived(data))

        link = ExchangeLink(setup.listen, setup.peers, setup.terms.message_interval, broker.exchange_datagrams, deliver)
        broker.exchange_datagram_counts = link.counts
        await components.nursery.start(link.run)
    components.nursery.start_soon(_log_shares, broker.ledger)


async def _log_shares(ledger: Ledger) -> None:
    """One event for each member under each contract, every ten seconds, with its figures as fields."""
    while True:
        await trio.sleep(SHARES_EVERY)
        for row in ledger.figures(trio.current_time()):
            fields = {
                key: round(value, 3) if isinstance(value, float) else value for key, value in row._asdict().items()
            }
            log.info("contract %s of %s", row.contract, row.member or "others", extra=fields)
