"""The shares of members: the broker's ledger, and what this instance knows of the other instances' leases."""

from __future__ import annotations

import time
from collections.abc import Sequence

import trio

from thistleshore.config import Plan
from thistleshore.contracts import Ledger, ShareKey, pool
from thistleshore.contracts.exchange import Exchange
from thistleshore.core.broker import Broker

LIFE_MASK = 0xFFFFFFFF  # what a datagram has room for of the start in Unix time, s


def keep(broker: Broker, plan: Plan) -> None:
    """Give the broker the ledger of its members, and their exchange with other instances."""
    agreements, now = plan.agreements, trio.current_time()
    assert agreements is not None
    if plan.exchange is not None:
        broker.exchange = _exchange(plan, now)
    services, exchange = agreements.services, broker.exchange
    equal_part = 1.0 / agreements.instances

    def capacity() -> Sequence[float]:
        return pool.slots(broker.brain.workers.values(), services, trio.current_time())

    def room() -> Sequence[float]:
        return pool.free_slots(broker.brain.workers.values(), services, trio.current_time())

    def part(share: ShareKey) -> float:
        return equal_part if exchange is None else exchange.part(share, trio.current_time())

    broker.ledger = Ledger(agreements, now, capacity, room, part)


def _exchange(plan: Plan, now: float) -> Exchange:
    """The leases of guarantees between instances, as this one knows them."""
    agreements, setup = plan.agreements, plan.exchange
    assert agreements is not None and setup is not None
    # Lives of one instance are numbered by their start: a clock that was set back makes it a stranger, whom the
    # others give nothing, and it keeps its equal part.
    life = int(time.time()) & LIFE_MASK
    return Exchange(
        setup.instance,
        len(setup.peers),
        agreements.share_keys,
        setup.terms,
        life,
        now,
        agreements.names,
    )
