"""What members are to one another: records, the table of a member's states, the protocol's times, and the actions.

A member is named once in its fleet.  Its *life* numbers its starts (milliseconds of its wall clock, raised where that
was set back); within a life its *incarnation* grows whenever it says something new of itself.  What is said later wins
by (life, incarnation, state): the order is total, so that merging is commutative and idempotent, and views that have
taken in the same records are the same.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, IntEnum
from typing import NamedTuple

import msgspec

from thistleshore.addresses import Address

MAX_NAME_LENGTH = 64  # characters of a name or a zone
MAX_MEMBERS = 1024
HEALTH_MOST = 8  # how far an instance may doubt itself: times grow up to nine-fold
HELPERS = 3  # members that are asked to probe for another
GOSSIP = 4  # a record is told this often for each doubling of the fleet
BUCKETS = 32  # of a view's digest, for finding what differs
PROBES_LATE = 0.5  # of a period: whoever is late by more was stopped, and judges nobody by that time


class State(IntEnum):
    """How a member stands; of one incarnation the greater wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Service(IntEnum):
    """How a member serves, by its own word."""

    STARTING = 0
    READY = 1
    DRAINING = 2


class Observation(Enum):
    """What may happen to a member's record here."""

    UNANSWERED = "no probe of it was answered, direct or by others"
    EXPIRED = "it was suspected for its whole time, and said nothing"
    REPORTED_ALIVE = "a greater incarnation or life of its own"
    REPORTED_SUSPECT = "another suspects this incarnation"
    REPORTED_DEAD = "another declares this incarnation dead"
    REPORTED_LEFT = "it has left, or an operator forgot it"
    AGED = "it was dead for `forget`, or had left for `gone`"


# The whole life of a member in another's view.  What is not here changes nothing; None: it is no longer in the view.
TRANSITIONS: Mapping[tuple[State | None, Observation], State | None] = {
    (None, Observation.REPORTED_ALIVE): State.ALIVE,
    (None, Observation.REPORTED_SUSPECT): State.SUSPECT,
    # Dead or gone before it was known: of no use here, and forgotten records must not come back for ever.
    (State.ALIVE, Observation.UNANSWERED): State.SUSPECT,
    (State.ALIVE, Observation.REPORTED_ALIVE): State.ALIVE,
    (State.ALIVE, Observation.REPORTED_SUSPECT): State.SUSPECT,
    (State.ALIVE, Observation.REPORTED_DEAD): State.DEAD,
    (State.ALIVE, Observation.REPORTED_LEFT): State.LEFT,
    (State.SUSPECT, Observation.EXPIRED): State.DEAD,
    (State.SUSPECT, Observation.REPORTED_ALIVE): State.ALIVE,  # it refuted
    (State.SUSPECT, Observation.REPORTED_SUSPECT): State.SUSPECT,
    (State.SUSPECT, Observation.REPORTED_DEAD): State.DEAD,
    (State.SUSPECT, Observation.REPORTED_LEFT): State.LEFT,
    (State.DEAD, Observation.REPORTED_ALIVE): State.ALIVE,  # it came back, or was never dead
    (State.DEAD, Observation.REPORTED_SUSPECT): State.SUSPECT,
    (State.DEAD, Observation.REPORTED_DEAD): State.DEAD,
    (State.DEAD, Observation.REPORTED_LEFT): State.LEFT,
    (State.DEAD, Observation.AGED): None,
    (State.LEFT, Observation.REPORTED_ALIVE): State.ALIVE,  # a new life under its name
    (State.LEFT, Observation.REPORTED_SUSPECT): State.SUSPECT,
    (State.LEFT, Observation.REPORTED_DEAD): State.DEAD,
    (State.LEFT, Observation.REPORTED_LEFT): State.LEFT,
    (State.LEFT, Observation.AGED): None,
}
OBSERVATIONS = {
    State.ALIVE: Observation.REPORTED_ALIVE,
    State.SUSPECT: Observation.REPORTED_SUSPECT,
    State.DEAD: Observation.REPORTED_DEAD,
    State.LEFT: Observation.REPORTED_LEFT,
}


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One member as it is told.  Fields are only ever added at the end: an older version reads what it knows."""

    name: str
    host: str
    port: int
    zone: str
    generation: int
    incarnation: int
    state: int
    service: int
    wire: int  # the newest version of datagrams that it reads
    program: str
    by: str = ""  # who suspects it
    print: str = ""  # fingerprint of its file; wire version 2

    @property
    def address(self) -> Address:
        return self.host, self.port

    @property
    def order(self) -> tuple[int, int, int]:
        """What is said later wins."""
        return self.generation, self.incarnation, self.state

    def sound(self) -> bool:
        """Whether its values are within their bounds."""
        return (
            0 < len(self.name) <= MAX_NAME_LENGTH
            and self.name.isprintable()
            and " " not in self.name
            and len(self.zone) <= MAX_NAME_LENGTH
            and len(self.by) <= MAX_NAME_LENGTH
            and len(self.program) <= 32
            and len(self.print) <= 16
            and 0 < len(self.host) <= 64
            and 0 < self.port < 65536
            and 0 < self.generation < 1 << 63
            and 0 <= self.incarnation < 1 << 32
            and 0 < self.wire < 256
            and 0 <= self.state <= State.LEFT
            and 0 <= self.service <= Service.DRAINING
        )


class Terms(NamedTuple):
    """The protocol's named times, in seconds; all others follow from `period`."""

    period: float = 1.0  # between two probes
    suspicion: float = 4.0  # periods for which a member is suspected at least, for each tenfold of the fleet
    stretch: float = 3.0  # times that, while nobody else suspects it
    forget: float = 86400.0  # for which one that is dead is called again
    datagram: int = 1200  # bytes

    @property
    def answer_timeout(self) -> float:
        """For a direct answer, before others are asked."""
        return 0.3 * self.period

    @property
    def sync_interval(self) -> float:
        """Between two comparisons of the whole view with another member's."""
        return 5.0 * self.period

    @property
    def first_call_delay(self) -> float:
        """Until one that is dead is called for the first time; each next time twice as long."""
        return 2.0 * self.period

    @property
    def max_call_interval(self) -> float:
        return 15.0 * self.period

    @property
    def left_retention(self) -> float:
        """For which one that has left is told of."""
        return min(self.forget, 60.0 * self.period)

    def suspicion_timeout(self, fleet: int, confirmed: int) -> float:
        """How long a member is suspected, of so many members, where so many others suspect it as well (Lifeguard)."""
        least = self.suspicion * max(1.0, math.log10(max(fleet, 1))) * self.period
        wanted = min(HELPERS, fleet - 2)
        if wanted <= 0 or confirmed >= wanted:
            return least
        most = self.stretch * least
        return most - (most - least) * math.log(confirmed + 1) / math.log(wanted + 1)

    # -- what follows: bounds that tests and operators may rely on, without loss and with healthy instances --

    def spread_bound(self, fleet: int) -> float:
        """For a change to reach all by gossip, or failing that by comparing views."""
        return (2.0 * math.ceil(math.log2(fleet + 1)) + 1.0) * self.period + 2.0 * self.sync_interval

    def detection_bound(self, fleet: int) -> float:
        """For a crash to be seen by all: each is probed once in a round, then suspected, then told of."""
        return (2.0 * fleet + 1.0) * self.period + self.suspicion_timeout(fleet, 0) + self.spread_bound(fleet)

    def healing_bound(self, fleet: int) -> float:
        """For halves to be one again: the next call of one that was dead, then spreading."""
        return 1.25 * self.max_call_interval + 2.0 * self.spread_bound(fleet)


class Send(NamedTuple):
    """A datagram to send."""

    address: Address
    data: bytes


class Changed(NamedTuple):
    """An event for subscribers in this process, in order."""

    what: str  # joined, returned, suspected, refuted, died, left, forgotten, changed, taken, freed, stalled, settled
    name: str
    life: int = 0
    incarnation: int = 0
    told: str = ""


Action = Send | Changed
