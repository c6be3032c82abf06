"""The one value that the fleet agrees on: the limits, who is out and for what, who votes, and what was done last."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

import msgspec

HISTORY_MOST = 64
REASON_MOST = 200  # characters
PLACES_MOST = 256

Kind = Literal["dispatcher", "host"]
Limit = Annotated[int, msgspec.Meta(ge=0)] | Annotated[str, msgspec.Meta(pattern=r"^(100|[0-9]{1,2})%$")]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many may be out at once: a number, or a share of those that are known, which allows one at least."""

    dispatchers: Limit = 1
    hosts: Limit = "20%"  # of each service
    hosts_a_zone: Limit = "100%"  # of each service in each zone


class Place(msgspec.Struct, frozen=True):
    """Leave to be out.  `number` is that of the change that gave it: a later place has a greater one."""

    kind: Kind
    name: str
    reason: str
    by: str  # the instance that asked
    number: int
    service: str = ""
    zone: str = ""
    life: int = 0  # of a dispatcher, when it was given
    begun: bool = False


class Act(msgspec.Struct, frozen=True):
    """One change, for the history; `when` is Unix time by the clock of the instance that made it."""

    number: int
    what: str
    name: str
    reason: str
    by: str
    when: float


class Value(msgspec.Struct, frozen=True):
    """`number` grows with each change, and with nothing else."""

    number: int
    voters: tuple[str, ...]
    limits: Limits = Limits()
    places: tuple[Place, ...] = ()
    history: tuple[Act, ...] = ()

    def place(self, kind: str, name: str) -> Place | None:
        return next((place for place in self.places if place.kind == kind and place.name == name), None)


class Standing(NamedTuple):
    """What the asking instance sees: who there is (hosts: service and zone), and who is down without having asked."""

    dispatchers: dict[str, int]  # lives by name
    dispatchers_down: frozenset[str]
    hosts: dict[str, tuple[str, str]]
    hosts_down: frozenset[str]


class Refusal(NamedTuple):
    """Why not: the limit and all who are out under it."""

    limit: str
    allowed: int
    out: tuple[str, ...]
    told: str
