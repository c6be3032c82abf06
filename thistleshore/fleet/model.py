"""Data model of fleet membership: records, the state transitions of a member, protocol timing, and actions.

The protocol is SWIM with the extensions of Lifeguard.  A member's name is unique in its fleet.  Its *generation*
identifies a start of the member: the wall-clock time of the start in milliseconds, or one more than the generation that
others know where the clock was set back.  Log records, hand-over state and answers to operators call it `life`.  Within
a generation the *incarnation* increases whenever the member publishes a new record of itself.

Of two records of a member the one with the greater (generation, incarnation, state) wins.  The order is total, so
merging is commutative and idempotent, and two views that merged the same records are equal.
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
MAX_HEALTH = 8  # greatest health score (Lifeguard): probe times grow up to (1 + score)-fold
INDIRECT_PROBES = 3  # members that are asked for an indirect probe
GOSSIP_FACTOR = 4  # transmissions of a record for each doubling of the fleet size
BUCKETS = 32  # checksums of a view by hash of the name, to find which records differ
MAX_LATENESS = 0.5  # periods; a timer that is later than this means that this process was stopped or starved


class State(IntEnum):
    """Membership state; within one incarnation the greater value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Service(IntEnum):
    """Service state of a member, as it reports it."""

    STARTING = 0
    READY = 1
    DRAINING = 2


class Observation(Enum):
    """An event that may change the state of a member's record in the local view."""

    UNANSWERED = "neither a direct nor an indirect probe was answered"
    EXPIRED = "the suspicion timeout passed without a refutation"
    REPORTED_ALIVE = "a record with a greater generation or incarnation"
    REPORTED_SUSPECT = "another member suspects this incarnation"
    REPORTED_DEAD = "another member declares this incarnation dead"
    REPORTED_LEFT = "the member left, or an operator had it forgotten"
    AGED = "the record was DEAD for `forget`, or LEFT for `left_retention`"


# All state transitions of a member in another's view.  A pair that is missing changes nothing; None: not in the view.
TRANSITIONS: Mapping[tuple[State | None, Observation], State | None] = {
    (None, Observation.REPORTED_ALIVE): State.ALIVE,
    (None, Observation.REPORTED_SUSPECT): State.SUSPECT,
    # A DEAD or LEFT record of an unknown member is ignored: otherwise forgotten records would circulate for ever.
    (State.ALIVE, Observation.UNANSWERED): State.SUSPECT,
    (State.ALIVE, Observation.REPORTED_ALIVE): State.ALIVE,
    (State.ALIVE, Observation.REPORTED_SUSPECT): State.SUSPECT,
    (State.ALIVE, Observation.REPORTED_DEAD): State.DEAD,
    (State.ALIVE, Observation.REPORTED_LEFT): State.LEFT,
    (State.SUSPECT, Observation.EXPIRED): State.DEAD,
    (State.SUSPECT, Observation.REPORTED_ALIVE): State.ALIVE,  # refuted by the member
    (State.SUSPECT, Observation.REPORTED_SUSPECT): State.SUSPECT,
    (State.SUSPECT, Observation.REPORTED_DEAD): State.DEAD,
    (State.SUSPECT, Observation.REPORTED_LEFT): State.LEFT,
    (State.DEAD, Observation.REPORTED_ALIVE): State.ALIVE,  # restarted, or wrongly declared dead
    (State.DEAD, Observation.REPORTED_SUSPECT): State.SUSPECT,
    (State.DEAD, Observation.REPORTED_DEAD): State.DEAD,
    (State.DEAD, Observation.REPORTED_LEFT): State.LEFT,
    (State.DEAD, Observation.AGED): None,
    (State.LEFT, Observation.REPORTED_ALIVE): State.ALIVE,  # a new generation under the same name
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
    """A member as it is sent in datagrams, encoded by position.

    Fields are only ever added at the end; an older version ignores those that it does not know.
    """

    name: str
    host: str
    port: int
    zone: str
    generation: int
    incarnation: int
    state: int
    service: int
    wire: int  # newest datagram version that the member reads
    program: str
    by: str = ""  # who suspects it, declared it dead or had it forgotten; "": nobody
    print: str = ""  # fingerprint of its settings file; since datagram version 2

    @property
    def address(self) -> Address:
        """Return host and port of its UDP socket."""
        return self.host, self.port

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the precedence: of two records of one member the greater wins."""
        return self.generation, self.incarnation, self.state

    def is_valid(self) -> bool:
        """Return whether all values are within their bounds."""
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
    """Timing of the protocol, in seconds where no other unit is given; most times derive from `period`."""

    period: float = 1.0  # between two probes of this instance
    suspicion: float = 4.0  # shortest suspicion timeout, in periods times max(1, log10 of the fleet size)
    stretch: float = 3.0  # factor of the longest suspicion timeout, which holds while no other member confirms
    forget: float = 86400.0  # how long a dead member is kept and contacted again
    datagram: int = 1200  # greatest size in bytes

    @property
    def answer_timeout(self) -> float:
        """Return the timeout of a direct probe, after which indirect probes are sent."""
        return 0.3 * self.period

    @property
    def sync_interval(self) -> float:
        """Return the mean interval between two anti-entropy exchanges with a random member."""
        return 5.0 * self.period

    @property
    def first_call_delay(self) -> float:
        """Return the delay before a dead member is first contacted again; it doubles with each attempt."""
        return 2.0 * self.period

    @property
    def max_call_interval(self) -> float:
        """Return the longest interval between two attempts to contact a dead member or a seed."""
        return 15.0 * self.period

    @property
    def left_retention(self) -> float:
        """Return how long the record of a member that has left is kept, so that it reaches all others."""
        return min(self.forget, 60.0 * self.period)

    def suspicion_timeout(self, fleet: int, confirmed: int) -> float:
        """Return the suspicion timeout in a fleet of that size after so many confirmations by others (Lifeguard)."""
        shortest = self.suspicion * max(1.0, math.log10(max(fleet, 1))) * self.period
        confirmations = min(INDIRECT_PROBES, fleet - 2)
        if confirmations <= 0 or confirmed >= confirmations:
            return shortest
        longest = self.stretch * shortest
        return longest - (longest - shortest) * math.log(confirmed + 1) / math.log(confirmations + 1)

    # -- bounds for tests and operators; they hold without datagram loss and with healthy instances --

    def spread_bound(self, fleet: int) -> float:
        """Return the time in which a change reaches all members by gossip, or failing that by anti-entropy."""
        return (2.0 * math.ceil(math.log2(fleet + 1)) + 1.0) * self.period + 2.0 * self.sync_interval

    def detection_bound(self, fleet: int) -> float:
        """Return the time in which all members see a crash: a round of probes, the suspicion timeout, the spread."""
        return (2.0 * fleet + 1.0) * self.period + self.suspicion_timeout(fleet, 0) + self.spread_bound(fleet)

    def healing_bound(self, fleet: int) -> float:
        """Return the time in which a partitioned fleet reunites: the next contact of a dead member, then the spread."""
        return 1.25 * self.max_call_interval + 2.0 * self.spread_bound(fleet)


class Send(NamedTuple):
    """A request to the owner to send a datagram."""

    address: Address
    data: bytes


class Changed(NamedTuple):
    """An event for subscribers in this process; subscribers receive all events in order."""

    what: str  # joined, returned, suspected, refuted, died, left, forgotten, changed, taken, freed, stalled, settled
    name: str
    life: int = 0  # the generation; the field names are keys of the answer to `events`
    incarnation: int = 0
    told: str = ""


Action = Send | Changed
