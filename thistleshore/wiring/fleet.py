"""This process's part in the fleet's view of its members."""

from __future__ import annotations

from thistleshore.fleet.carrier import Carrier, fingerprint
from thistleshore.fleet.model import Service
from thistleshore.wiring.components import Components


def join(components: Components) -> None:
    """Make the carrier; in a hot restart it goes on with the life of the process before.

    It runs once the other components are there, see `Components.start_as_member`."""
    plan, initial = components.plan, components.initial
    assert plan.fleet is not None
    before = initial.inherited.values.get("fleet") if initial.inherited is not None else None

    def service() -> Service:
        if components.drain.is_set():
            return Service.DRAINING
        return Service.READY if components.ready() else Service.STARTING

    components.fleet = Carrier(
        plan.fleet,
        plan.name,
        service,
        fingerprint(plan.told),
        before if isinstance(before, dict) else None,
        initial.inherited_socket("fleet"),
    )
    components.follower.fleet = components.fleet
