"""Settings from the operator's file for following the fleet's agreed configuration."""

from __future__ import annotations

from dataclasses import dataclass

from thistleshore.distribution.model import ProtocolSettings


@dataclass(frozen=True, slots=True)
class DistributionPlan:
    """The `[fleet.configuration]` table."""

    folder: str  # that holds the durable version
    settings: ProtocolSettings
