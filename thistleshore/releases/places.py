"""Who may go out, and why not: pure functions from a value and what is seen to the next value, or a refusal.

A place is given only while the limit holds, with whoever is down without having asked counted as out.  It is freed when
its holder is seen to serve again, or when an operator gives it up, and by nothing else.
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
    """How many of so many; a share that comes to less than one allows one, but 0 % none."""
    if isinstance(limit, int):
        return limit
    share = int(limit[:-1])
    return max(1, known * share // 100) if share else 0


def with_change(value: Value, what: str, name: str, reason: str, by: str, when: float, **fields: object) -> Value:
    entry = HistoryEntry(value.number + 1, what, name, reason[:MAX_REASON_LENGTH], by, when)
    history = (*value.history, entry)[-MAX_HISTORY:]
    return msgspec.structs.replace(value, number=value.number + 1, history=history, **fields)


def _limit_refusal(limit: str, bound: Limit, known: Iterable[str], out: Iterable[str], name: str) -> Refusal | None:
    """A refusal where one more than those that are out would be too many."""
    others = tuple(sorted(set(out) - {name}))
    maximum = max_allowed(bound, len(set(known) | set(others) | {name}))
    if len(others) < maximum:
        return None
    return Refusal(limit, maximum, others, f"{limit} allows {maximum} out, and out are: {', '.join(others) or 'none'}")


def grant(
    value: Value, kind: Kind, name: str, reason: str, by: str, seen: FleetObservation, when: float, release: int = 0
) -> Value | Refusal:
    """A place for it.  Whoever has one already keeps it, and the value is as before."""
    if value.place(kind, name) is not None:
        return value
    if len(value.places) >= MAX_PLACES:
        return Refusal("places", MAX_PLACES, (), "no more places are kept")
    if kind == "dispatcher":
        if name not in seen.dispatchers:
            return Refusal("known", 0, (), f"no dispatcher is named {name!r}")
        held = {place.name for place in value.places if place.kind == kind}
        refused = _limit_refusal(
            "dispatchers", value.limits.dispatchers, seen.dispatchers, held | seen.dispatchers_down, name
        )
        place = Place(
            kind,
            name,
            reason[:MAX_REASON_LENGTH],
            by,
            value.number + 1,
            generation=seen.dispatchers[name],
            release=release,
        )
    else:
        if name not in seen.hosts:
            return Refusal("known", 0, (), f"no host is named {name!r}")
        service, zone = seen.hosts[name]
        refused = None
        for limit, bound, group in (
            ("hosts", value.limits.hosts, {h for h, (s, _) in seen.hosts.items() if s == service}),
            ("hosts_a_zone", value.limits.hosts_a_zone, {h for h, at in seen.hosts.items() if at == (service, zone)}),
        ):
            held = {
                place.name
                for place in value.places
                if place.kind == kind and place.service == service and (limit == "hosts" or place.zone == zone)
            }
            refused = refused or _limit_refusal(limit, bound, group, held | (seen.hosts_down & group), name)
        place = Place(kind, name, reason[:MAX_REASON_LENGTH], by, value.number + 1, service, zone, release=release)
    if refused is not None:
        return refused
    return with_change(value, f"{kind} may go out", name, reason, by, when, places=(*value.places, place))


def begin(value: Value, kind: Kind, name: str, number: int, by: str, when: float) -> Value | Refusal:
    """Its holder goes out now; only by the very place that it was given."""
    place = value.place(kind, name)
    if place is None or place.number != number:
        return Refusal("place", 0, (), f"{name} has no place of number {number}")
    if place.begun:
        return value
    places = tuple(msgspec.structs.replace(p, begun=True) if p is place else p for p in value.places)
    return with_change(value, f"{kind} goes out", name, place.reason, by, when, places=places)


def free(value: Value, kind: Kind, name: str, reason: str, by: str, when: float) -> Value | Refusal:
    """It is back, or an operator gives its place up."""
    place = value.place(kind, name)
    if place is None:
        return Refusal("place", 0, (), f"{kind} {name} has no place")
    places = tuple(p for p in value.places if p is not place)
    return with_change(value, f"{kind} is back", name, reason, by, when, places=places)


def set_limits(value: Value, limits: Limits, by: str, when: float) -> Value | Refusal:
    """Other limits from now on.  Nobody who is out is called back; nobody else goes out while there are too many."""
    return value if limits == value.limits else with_change(value, "limits", "", "", by, when, limits=limits)


def change_voter(value: Value, name: str, votes: bool, by: str, when: float) -> Value | Refusal:
    """One voter more, or one fewer."""
    if votes == (name in value.voters):
        return value
    voters = (*value.voters, name) if votes else tuple(v for v in value.voters if v != name)
    if not voters:
        return Refusal("voters", 1, (), "the last voter stays")
    return with_change(value, "votes" if votes else "votes no more", name, "", by, when, voters=tuple(sorted(voters)))
