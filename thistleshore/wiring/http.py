"""The HTTP front, the discovery of its hosts, and the datagrams between the dispatchers of a tier."""

from __future__ import annotations

import trio

from thistleshore.core.broker import Broker
from thistleshore.platform.discovery import Discovery
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.peers import Peers
from thistleshore.wiring.components import BoundFront, Components


def start_peers(components: Components) -> None:
    """Start the exchange of notes with the other dispatchers of the tier."""
    plan, broker = components.plan, components.broker
    assert plan.peers is not None
    components.peers = Peers(
        plan.peers.listen,
        plan.peers.peers,
        plan.peers.everyone,
        broker.notebook.counts,
        components.initial.inherited_socket("peers"),
        bool(plan.restart),
    )
    broker.send_notes = components.peers.send
    components.nursery.start_soon(components.peers.run, broker.inbox)


def start_front(components: Components) -> None:
    """Make the front, and start what finds its hosts; it listens once all else is there."""
    plan, broker, nursery = components.plan, components.broker, components.nursery
    assert plan.http is not None
    listed = trio.Event()
    downstream = Downstream(plan.http.routes, listed, broker.inbox, plan.downstream_most)
    downstream.gate.shared = bool(plan.restart)
    downstream.gate.inherited = components.initial.inherited_socket("listener")
    components.downstream = downstream
    components.fronts.append(BoundFront(downstream, plan.http.listen))
    if plan.http.discovery is not None:
        components.discovery = _start_discovery(components, plan.http.discovery)
    asked = components.discovery if not plan.settings.list_on_request else None
    nursery.start_soon(wait_for_hosts, broker, asked, listed)


def _start_discovery(components: Components, address: tuple[str, int]) -> Discovery:
    plan, initial = components.plan, components.initial
    assert plan.http is not None
    discovery = Discovery(
        address,
        plan.http.names,
        plan.epoch,
        plan.settings,
        initial.list_version,
        plan.seed,
        bool(initial.known_hosts),
    )
    components.nursery.start_soon(discovery.run, components.broker.post)
    return discovery


async def wait_for_hosts(broker: Broker, discovery: Discovery | None, listed: trio.Event) -> None:
    """Set `listed` once hosts are known, as far as they can be.

    Drains: what the agent of this machine has counts as told from a process's first moment, and the list that it
    starts with may be old; where the agent says nothing either, that has to do."""
    await broker.hosts_listed.wait()
    if discovery is not None:
        await discovery.asked.wait()
    listed.set()
