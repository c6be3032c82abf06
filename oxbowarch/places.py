"""Where a class of jobs may run: machine kinds and zones."""

from __future__ import annotations

from oxbowarch.interface import Entry, Places

ANYWHERE: Places = (None, None)  # the places of an unrestricted class


def allows(places: Places, entry: Entry) -> bool:
    """Return whether a class bound to `places` may use the worker; even if all are down, no other."""
    kinds, zones = places
    return (kinds is None or entry.kind in kinds) and (zones is None or entry.zone in zones)
