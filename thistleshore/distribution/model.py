"""What one instance knows of the configuration of its fleet: records, named times, and what the machine asks for.

A *version* of the configuration is a number that the register of the fleet has agreed on, with the digest of one body.
Numbers only grow within a register.  The body is the TOML text of the tables that all instances share; what belongs to
one instance alone (its name, its addresses, its folders) stays in that instance's own file.

Zones are named `REGION/ZONE`; a zone without a slash is a region of its own.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

import msgspec

from thistleshore.addresses import Address

MAX_BODY_BYTES = 256 * 1024  # bytes of a body
MAX_REASON_CHARS = 200  # characters of why an instance could not apply a version
FORMAT = 1  # of bodies; an instance keeps the version before one whose format it does not know
RELAYS = 2  # living members of a zone, and of a region, that pass versions on
DIGEST_BYTES = 16


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """One agreed version, without its body."""

    register: int  # the register that agreed on it; 0: none yet
    number: int  # 0: none yet
    digest: str  # of the body, see `digest_of`
    size: int  # bytes of the body
    format: int = FORMAT


NO_VERSION = Stamp(0, 0, "", 0)


def digest_of(body: bytes) -> str:
    """The digest of a body, in hexadecimal."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


class Peer(NamedTuple):
    """A member of the fleet as the view has it."""

    name: str
    address: Address
    zone: str
    generation: int
    alive: bool  # False: suspected, or dead and not yet forgotten

    @property
    def region(self) -> str:
        return region_of(self.zone)


def region_of(zone: str) -> str:
    """The region of a zone."""
    return zone.partition("/")[0]


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """What one instance last said of itself."""

    name: str
    generation: int
    applied: int  # the version in force there; 0: that of its own file alone
    refused: int = 0  # a newer version that it could not apply; 0: none
    reason: str = ""  # why


class ProtocolSettings(NamedTuple):
    """The protocol's named times and sizes; times in seconds."""

    report_interval: float = 3.0  # between two reports of an instance to its relays
    report_lifetime: float = 7.5  # after which a report no longer counts
    answer_timeout: float = 0.4  # for an answer, before another relay is asked
    retries: int = 4  # that an offer is sent again to one that has not acknowledged it
    max_wait: float = 6.0  # the longest wait by chance of an instance whose relays did not answer
    max_datagram_bytes: int = 1200  # bytes
    window: int = 8  # parts of a body that are asked for at once
    max_transfers: int = 16  # bodies that a relay sends at the same time; others are told when to come back
    retained_bodies: int = 4  # bodies that are kept in the memory, for differences


# -- actions: what the machine asks its carrier for


class Send(NamedTuple):
    """A datagram to send."""

    address: Address
    data: bytes


class Apply(NamedTuple):
    """Write this version to the disk and put it in force; answered by `on_applied` or `on_refused`."""

    stamp: Stamp
    body: bytes


class LogEvent(NamedTuple):
    """An event for the log and the counters."""

    kind: str  # one word, e.g. offered, fetched, spoilt, other_register, too_large
    detail: str = ""


Action = Send | Apply | LogEvent


# -- what operators are told


class Zone(msgspec.Struct, frozen=True):
    """How far one zone is with a version."""

    zone: str
    members: int
    applied: int  # have that version or a newer one in force, by their own fresh report
    behind: tuple[MemberReport, ...]  # fresh reports of an older version
    unknown: tuple[str, ...]  # no fresh report: dead, cut off, or without this part


class Spread(msgspec.Struct, frozen=True):
    """How far the fleet is with a version, counted from the reports of the instances themselves."""

    number: int
    zones: tuple[Zone, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every known member has said lately that it has it in force."""
        return bool(self.zones) and all(zone.applied == zone.members for zone in self.zones)
