"""What the module derives from all classes or tenants at once: only those that the settings in force name count."""

from __future__ import annotations

from typing import NamedTuple

from oxbowarch.interface import Places, Settings
from oxbowarch.places import ANYWHERE


class InForce(NamedTuple):
    """Derived from the current classes and tenants of some settings."""

    classes: tuple[int, ...]  # their numbers
    bound_places: tuple[Places, ...]  # of the classes that are bound to some
    total_limit: float  # requests a second, of all tenants


def in_force(settings: Settings) -> InForce:
    """Return what follows from the classes and tenants that are not retired."""
    places = dict.fromkeys(rule.places for rule in settings.current_classes)
    return InForce(
        classes=tuple(n for n in range(len(settings.classes)) if n not in settings.retired_classes),
        bound_places=tuple(bound for bound in places if bound != ANYWHERE),
        total_limit=sum(limit for n, limit in enumerate(settings.limits) if n not in settings.retired_tenants),
    )
