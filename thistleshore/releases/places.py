"""Places to be out, as pure functions from a value and an observation to the next value or a refusal.

A place is granted only within the limits, where members that are down without a place count as out.  It is freed only
when its holder serves again or an operator frees it, never by a time-out.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from thistleshore.releases.model import (
    MAX_HISTORY,
    MAX_PLACES,
    MAX_REASON_LENGTH,
    HistoryEntry,
    FleetObservation,
    Kind,
    Limit,
    Limits,
    Place,
    Refusal,
    Value,
)


def max_allowed(limit: Limit, known: int) -> int:
    """Return how many of `known` members a limit allows; a share allows at least one, except 0 %."""
    if isinstance(limit, int):
        return limit
    share = int(limit[:-1])
    return max(1, known * share // 100) if share else 0


def with_change(value: Value, what: str, name: str, reason: str, by: str, when: float, **fields: object) -> Value:
    """Return the next value: the given fields replaced, and the change added to the history."""
    entry = HistoryEntry(value.number + 1, what, name, reason[:MAX_REASON_LENGTH], by, when)
    history = (*value.history, entry)[-MAX_HISTORY:]
    return msgspec.structs.replace(value, number=value.number + 1, history=history, **fields)


def _limit_refusal(limit: str, bound: Limit, known: Iterable[str], out: Iterable[str], name: str) -> Refusal | None:
    """Return a refusal if one more member out would exceed the limit."""
    others = tuple(sorted(set(out) - {name}))
    maximum = max_allowed(bound, len(set(known) | set(others) | {name}))
    if len(others) < maximum:
        return None
    return Refusal(
        limit, maximum, others, f"limit {limit} allows {maximum} out; out now: {', '.join(others) or 'none'}"
    )


def grant(
    value: Value, kind: Kind, name: str, reason: str, by: str, observed: FleetObservation, when: float, release: int = 0
) -> Value | Refusal:
    """Grant a place; a member that has one keeps it, and the value is unchanged."""
    if value.place(kind, name) is not None:
        return value
    if len(value.places) >= MAX_PLACES:
        return Refusal("places", MAX_PLACES, (), "the maximum number of places is granted")
    if kind == "dispatcher":
        if name not in observed.dispatchers:
            return Refusal("known", 0, (), f"unknown dispatcher {name!r}")
        with_place = {place.name for place in value.places if place.kind == kind}
        refused = _limit_refusal(
            "dispatchers", value.limits.dispatchers, observed.dispatchers, with_place | observed.dispatchers_down, name
        )
        place = Place(
            kind,
            name,
            reason[:MAX_REASON_LENGTH],
            by,
            value.number + 1,
            generation=observed.dispatchers[name],
            release=release,
        )
    else:
        if name not in observed.hosts:
            return Refusal("known", 0, (), f"unknown host {name!r}")
        service, zone = observed.hosts[name]
        refused = None
        for limit, bound, group in (
            ("hosts", value.limits.hosts, {h for h, (s, _) in observed.hosts.items() if s == service}),
            (
                "hosts_a_zone",
                value.limits.hosts_a_zone,
                {h for h, at in observed.hosts.items() if at == (service, zone)},
            ),
        ):
            with_place = {
                place.name
                for place in value.places
                if place.kind == kind and place.service == service and (limit == "hosts" or place.zone == zone)
            }
            refused = refused or _limit_refusal(limit, bound, group, with_place | (observed.hosts_down & group), name)
        place = Place(kind, name, reason[:MAX_REASON_LENGTH], by, value.number + 1, service, zone, release=release)
    if refused is not None:
        return refused
    return with_change(value, f"{kind} may go out", name, reason, by, when, places=(*value.places, place))


def begin(value: Value, kind: Kind, name: str, number: int, by: str, when: float) -> Value | Refusal:
    """Mark a place as begun: its holder goes out now.  `number` must be that of the place."""
    place = value.place(kind, name)
    if place is None or place.number != number:
        return Refusal("place", 0, (), f"{name} has no place with number {number}")
    if place.begun:
        return value
    places = tuple(msgspec.structs.replace(p, begun=True) if p is place else p for p in value.places)
    return with_change(value, f"{kind} goes out", name, place.reason, by, when, places=places)


def free(value: Value, kind: Kind, name: str, reason: str, by: str, when: float) -> Value | Refusal:
    """Free a place: its holder is back, or an operator frees it."""
    place = value.place(kind, name)
    if place is None:
        return Refusal("place", 0, (), f"{kind} {name} has no place")
    places = tuple(p for p in value.places if p is not place)
    return with_change(value, f"{kind} is back", name, reason, by, when, places=places)


def set_limits(value: Value, limits: Limits, by: str, when: float) -> Value | Refusal:
    """Set the limits.  Places are kept even beyond a lowered limit, but none is granted until it holds again."""
    return value if limits == value.limits else with_change(value, "limits", "", "", by, when, limits=limits)


def change_voter(value: Value, name: str, votes: bool, by: str, when: float) -> Value | Refusal:
    """Add or remove one voter."""
    if votes == (name in value.voters):
        return value
    voters = (*value.voters, name) if votes else tuple(v for v in value.voters if v != name)
    if not voters:
        return Refusal("voters", 1, (), "the last voter cannot be removed")
    return with_change(value, "votes" if votes else "votes no more", name, "", by, when, voters=tuple(sorted(voters)))
