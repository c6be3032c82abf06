"""What the operator's file says of the configuration that the fleet agrees on."""

from __future__ import annotations

from dataclasses import dataclass

from thistleshore.distribution.model import ProtocolSettings


@dataclass(frozen=True, slots=True)
class DistributionPlan:
    """How this instance follows the configuration that its fleet agrees on."""

    folder: str  # of the durable version
    settings: ProtocolSettings
