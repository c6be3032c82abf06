"""What happened to the configuration of a fleet, recorded apart from the machine, and a checker that judges it.

The checker knows nothing of the machine.  It is told which version was agreed on when, what each instance puts in
force, and on what each life of an instance starts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class Agreed(NamedTuple):
    """A majority of the voters has this version."""

    when: float
    number: int
    digest: str


class Started(NamedTuple):
    """A life of an instance begins on what its disk has; number 0: on its own file alone."""

    when: float
    instance: str
    number: int
    digest: str


class InForce(NamedTuple):
    """An instance reports this version as in force."""

    when: float
    instance: str
    number: int
    digest: str


class Stopped(NamedTuple):
    """A life of an instance ends."""

    when: float
    instance: str


class Broken(NamedTuple):
    """An invariant that does not hold."""

    invariant: str
    told: str


Event = Agreed | Started | InForce | Stopped

TWO_CONTENTS = "one content under one number"
WENT_BACK = "no instance goes back"
NOT_AGREED = "nothing is in force that was not agreed"
LOST = "what was agreed is not lost"
BEHIND = "everyone ends on the last version"


@dataclass
class History:
    """The events of one story in their order."""

    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        self.events.append(event)

    def agreed(self) -> list[Agreed]:
        return [event for event in self.events if isinstance(event, Agreed)]


class _Instance(NamedTuple):
    """How an instance stands while the history is read."""

    number: int
    living: bool


def check(history: History, ended: bool = True, left_out: frozenset[str] = frozenset()) -> list[Broken]:
    """All that is broken in a history.

    `ended`: the faults are over, and there was time for every instance to come to the last version; `left_out` are
    those that are still cut off.
    """
    broken = _contents(history) + _steps(history)
    if ended:
        broken += _ends(history, left_out)
    return broken


def _contents(history: History) -> list[Broken]:
    """Never two contents under one number; nothing in force, or on a disk, that was not agreed before."""
    digests: dict[int, str] = {}
    agreed: set[int] = set()
    broken = []
    for event in history.events:
        if isinstance(event, Stopped) or event.number == 0:
            continue
        if digests.setdefault(event.number, event.digest) != event.digest:
            broken.append(Broken(TWO_CONTENTS, f"{event}, and {digests[event.number]} before"))
        if isinstance(event, Agreed):
            agreed.add(event.number)
        elif event.number not in agreed:
            broken.append(Broken(NOT_AGREED, str(event)))
    return broken


def _steps(history: History) -> list[Broken]:
    """No instance goes back, neither while it lives nor by a restart; agreed numbers only grow."""
    numbers: dict[str, int] = {}
    last = 0
    broken = []
    for event in history.events:
        if isinstance(event, Agreed):
            if event.number <= last:
                broken.append(Broken(LOST, f"{event} after {last}"))
            last = max(last, event.number)
        elif not isinstance(event, Stopped):
            before = numbers.get(event.instance, 0)
            if event.number < before:
                broken.append(Broken(WENT_BACK, f"{event} after {before}"))
            numbers[event.instance] = event.number
    return broken


def _ends(history: History, left_out: frozenset[str]) -> list[Broken]:
    """Every living instance has the last agreed version in force."""
    standing: dict[str, _Instance] = {}
    last = 0
    for event in history.events:
        if isinstance(event, Agreed):
            last = max(last, event.number)
        elif isinstance(event, Stopped):
            standing[event.instance] = _Instance(standing[event.instance].number, False)
        else:
            standing[event.instance] = _Instance(event.number, True)
    return [
        Broken(BEHIND, f"{name} has {instance.number} of {last} in force")
        for name, instance in sorted(standing.items())
        if instance.living and instance.number != last and name not in left_out
    ]
