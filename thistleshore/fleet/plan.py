"""What the operator's file says of this instance's part in the fleet."""

from __future__ import annotations

from dataclasses import dataclass

from thistleshore.addresses import Address
from thistleshore.fleet.model import Terms


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """The fleet of that name, where this member hears and is reached, whom it calls first, and whom it hears."""

    name: str
    listen: Address
    advertise: Address
    seeds: tuple[Address, ...]
    zone: str
    networks: tuple[str, ...]
    terms: Terms
