"""Data types of configuration distribution: versions, members, protocol settings and actions.

A *version* of the configuration is a number that the register of the fleet has agreed on, with the digest of one body.
Numbers only increase within a register.  The body is the TOML text of the tables that all instances share; what is
specific to one instance (its name, addresses and folders) stays in that instance's own file.

Zones are named `REGION/ZONE`; a zone without a slash is a region of its own.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

import msgspec

from thistleshore.addresses import Address

MAX_BODY_BYTES = 256 * 1024  # bytes of a body
MAX_REASON_CHARS = 200  # characters of the reason why an instance could not apply a version
FORMAT = 1  # of bodies; an instance does not apply a version of an unknown format
RELAYS = 2  # relays per zone, and per region
DIGEST_BYTES = 16


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one agreed version, without its body."""

    register: int  # the register that agreed on it; 0: none yet
    number: int  # 0: none yet
    digest: str  # of the body, see `digest_of`
    size: int  # bytes of the body
    format: int = FORMAT


NO_VERSION = Stamp(0, 0, "", 0)


def digest_of(body: bytes) -> str:
    """Return the digest of a body, in hexadecimal."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


class Peer(NamedTuple):
    """A fleet member as recorded in the view."""

    name: str
    address: Address
    zone: str
    generation: int
    alive: bool  # False: suspected, or dead and not yet forgotten

    @property
    def region(self) -> str:
        """The region of the member's zone."""
        return region_of(self.zone)


def region_of(zone: str) -> str:
    """Return the region of a zone."""
    return zone.partition("/")[0]


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """The state that one instance last reported about itself."""

    name: str
    generation: int
    applied: int  # the version in force there; 0: only its own file
    refused: int = 0  # a newer version that it could not apply; 0: none
    reason: str = ""  # why


class ProtocolSettings(NamedTuple):
    """Intervals, timeouts and limits of the protocol; times in seconds."""

    report_interval: float = 3.0  # between two reports of an instance to its relays
    report_lifetime: float = 7.5  # age after which a report is ignored
    answer_timeout: float = 0.4  # wait for an answer before asking another relay
    retries: int = 4  # of an offer that was not acknowledged
    max_wait: float = 6.0  # upper bound of the random wait after no relay answered
    max_datagram_bytes: int = 1200  # bytes
    window: int = 8  # parts of a body requested at once
    max_transfers: int = 16  # concurrent transfers of a relay; further requesters get `Busy`
    retained_bodies: int = 4  # bodies kept in memory as bases for deltas


# -- actions that the state machine returns to its carrier


class Send(NamedTuple):
    """Send a datagram."""

    address: Address
    data: bytes


class Apply(NamedTuple):
    """Write this version to disk and put it in force; answered by `on_applied` or `on_refused`."""

    stamp: Stamp
    body: bytes


class LogEvent(NamedTuple):
    """An event to log."""

    kind: str  # one word, e.g. fetched, refused, mismatch, other_register, too_large
    detail: str = ""


Action = Send | Apply | LogEvent


# -- status for operators


class Zone(msgspec.Struct, frozen=True):
    """How far a version has spread in one zone."""

    zone: str
    members: int
    applied: int  # members whose own fresh report has that version or a newer one in force
    behind: tuple[MemberReport, ...]  # fresh reports that have an older version in force
    unknown: tuple[str, ...]  # no fresh report: dead, unreachable, or without `[fleet.configuration]`


class Spread(msgspec.Struct, frozen=True):
    """How far a version has spread in the fleet, counted from the instances' own reports."""

    number: int
    zones: tuple[Zone, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every known member has a fresh report with the version in force."""
        return bool(self.zones) and all(zone.applied == zone.members for zone in self.zones)
