"""What a process leaves to the next one, and how both live side by side: the second half of a hot restart."""

from __future__ import annotations

import trio

from thistleshore.restart.handover_state import HandoverState
from thistleshore.wiring.components import Components


def start(components: Components) -> None:
    """Prepare the handover to the next process, and live beside the one before until it has gone."""
    plan, nursery, downstream = components.plan, components.nursery, components.downstream
    inherited = components.initial.inherited
    assert downstream is not None
    handover = HandoverState(
        plan, components.broker, downstream, components.upstreams, components.peers, components.discovery
    )
    handover.fleet = components.fleet
    if components.admin is not None:
        components.admin.tell_ban = handover.links.tell_ban
        if components.fleet is not None:
            handover.admin = components.admin
    components.handover = components.follower.handover = handover
    nursery.start_soon(_give_back, components.drain, handover)
    if inherited is not None:
        handover.inherit(inherited)
        nursery.start_soon(handover.live_beside, inherited, components.serving)


async def _give_back(drain: trio.Event, handover: HandoverState) -> None:
    """A process that is drained while the one before could still serve has that one serve again."""
    await drain.wait()
    await handover.links.on_drain()
