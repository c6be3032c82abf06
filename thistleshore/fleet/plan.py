"""The settings of this instance's fleet membership."""

from __future__ import annotations

from dataclasses import dataclass

from thistleshore.addresses import Address
from thistleshore.fleet.model import Terms


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Settings of the [fleet] table: name, listening and advertised address, seeds, zone, allowed networks, timing."""

    name: str
    listen: Address
    advertise: Address
    seeds: tuple[Address, ...]
    zone: str
    networks: tuple[str, ...]
    terms: Terms
