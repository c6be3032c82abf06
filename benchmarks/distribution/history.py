"""What happened in a fleet that distributes configuration, recorded apart from the code, and what has to hold of it."""

from __future__ import annotations

from typing import NamedTuple


class Agreed(NamedTuple):
    """The register agreed on a version."""

    at: float
    number: int
    digest: str


class InForce(NamedTuple):
    """An instance has a version in force from now on; at a start, what its disk has."""

    at: float
    name: str
    number: int
    digest: str
    started: bool


class Reported(NamedTuple):
    """A datagram left in which an instance says that it has applied a version."""

    at: float
    name: str
    number: int


class Counted(NamedTuple):
    """An instance was told that a version is in force at these members, each with its life at that time."""

    at: float
    number: int
    names: tuple[str, ...]


Event = Agreed | InForce | Reported | Counted


class History:
    """All events, in the order of time."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        self.events.append(event)


def faults(history: History) -> list[str]:
    """What does not hold; each fault is named by its invariant."""
    found: list[str] = []
    agreed: dict[int, str] = {}
    in_force: dict[str, InForce] = {}
    reported: dict[str, int] = {}
    for event in history.events:
        match event:
            case Agreed():
                if agreed.setdefault(event.number, event.digest) != event.digest:
                    found.append(f"content: {event.number} was agreed on twice, at {event.at:.3f}")
            case InForce():
                found += _of_in_force(event, agreed, in_force.get(event.name), reported.get(event.name, 0))
                in_force[event.name] = event
            case Reported():
                former = in_force.get(event.name)
                if event.number > (former.number if former is not None else 0):
                    found.append(f"reported: {event.name} said {event.number} before it was so, at {event.at:.3f}")
                reported[event.name] = max(reported.get(event.name, 0), event.number)
            case Counted():
                for name in event.names:
                    if name not in in_force or in_force[name].number < event.number:
                        found.append(f"counted: {event.number} is not in force at {name}, at {event.at:.3f}")
    return found


def _of_in_force(event: InForce, agreed: dict[int, str], former: InForce | None, reported: int) -> list[str]:
    found = []
    if event.number and agreed.get(event.number) != event.digest:
        found.append(f"content: {event.name} has another {event.number} in force, at {event.at:.3f}")
    if former is not None and event.number < former.number:
        found.append(f"back: {event.name} went from {former.number} to {event.number}, at {event.at:.3f}")
    if event.started and event.number < reported:
        found.append(f"durable: {event.name} said {reported} and started on {event.number}, at {event.at:.3f}")
    return found
