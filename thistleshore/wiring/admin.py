"""Where operators call this process."""

from __future__ import annotations

from thistleshore.admin.listener import Admin
from thistleshore.wiring.components import Components


async def start(components: Components) -> None:
    """Start the listener of the admin interface, which passes calls about the fleet on to its carrier."""
    plan, broker = components.plan, components.broker
    assert plan.admin is not None
    components.admin = Admin(broker.inbox, components.ready, broker.figures_snapshot)
    if components.fleet is not None:
        components.admin.fleet = components.fleet.on_call
    await components.nursery.start(components.admin.run, plan.admin)
