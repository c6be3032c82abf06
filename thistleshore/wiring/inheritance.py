"""What a process starts from that takes over from another one: the first half of a hot restart."""

from __future__ import annotations

from thistleshore.config import Plan
from thistleshore.restart import carrier, handover_state
from thistleshore.wiring.components import InitialState


async def inherit(plan: Plan) -> InitialState:
    """Ask the process that serves for what it knows; a cold start where there is none, or where that is no good."""
    inherited = await carrier.ask(plan.restart)
    if inherited is None:
        return InitialState.cold(plan)
    restored = handover_state.restore(plan, inherited)
    if restored is None:
        return InitialState.cold(plan, inherited)
    brain, known_hosts, list_version = restored
    return InitialState(brain, known_hosts, list_version, inherited)
