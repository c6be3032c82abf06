"""Operators' configuration calls to one member: push, rollback, status and history."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
import trio

from thistleshore.configuration import agreement
from thistleshore.configuration.applying import Applier, NotApplied
from thistleshore.configuration.carrier import Distribution
from thistleshore.configuration.uploads import UploadError, Uploads
from thistleshore.distribution.model import Zone, digest_of
from thistleshore.releases.carrier import NoMajority, Releases
from thistleshore.releases.faults import point
from thistleshore.releases.model import Configuration, ConfigurationEntry, Refusal, Value

SPREAD_TIMEOUT = 0.3  # seconds for the zone relays to answer; the whole call has to be answered within 0.8 s
CURRENT = "-"  # as the version that a change is made against: whichever is in force

ValueChange = Callable[[Value], Value | Refusal]


class Done(msgspec.Struct, frozen=True, tag_field="status", tag="done"):
    """A change is agreed on: that version is the register's current one."""

    number: int
    digest: str


class Taken(msgspec.Struct, frozen=True, tag_field="status", tag="done"):
    """A piece of an upload was stored."""


class Refused(msgspec.Struct, frozen=True, tag_field="status", tag="refused"):
    """Nothing was changed."""

    told: str
    problems: tuple[str, ...] = ()  # of the body, each with its file and key
    entries: tuple[ConfigurationEntry, ...] = ()  # the versions since the one that the change was made against


class Unagreed(msgspec.Struct, frozen=True, tag_field="status", tag="no-majority"):
    """No majority answered in time."""

    told: str


class Behind(msgspec.Struct, frozen=True):
    """An instance that has reported an older version."""

    name: str
    applied: int
    refused: int
    reason: str


class ZoneStatus(msgspec.Struct, frozen=True):
    """How far a version has spread in one zone, as an answer has it."""

    zone: str
    members: int
    applied: int
    behind: tuple[Behind, ...]
    unknown: tuple[str, ...]


def zone_status(zone: Zone) -> ZoneStatus:
    """Convert a zone for an answer: the protocol encodes its reports as arrays, an answer as objects."""
    behind = tuple(Behind(row.name, row.applied, row.refused, row.reason) for row in zone.behind)
    return ZoneStatus(zone.zone, zone.members, zone.applied, behind, zone.unknown)


class Status(msgspec.Struct, frozen=True):
    """The newest version, and how far a version has spread."""

    agreed: bool  # whether a majority confirms it now
    number: int  # the newest known version
    digest: str
    in_force_here: int
    serving_from: str  # fleet, disk or file
    spread_of: int  # the version that `zones` counts
    everywhere: bool
    zones: tuple[ZoneStatus, ...]
    unlisted: int  # members unknown to this one, as they died before it joined
    counts: dict[str, int]


class History(msgspec.Struct, frozen=True):
    """The versions in the register's history, the oldest first."""

    agreed: bool
    entries: tuple[ConfigurationEntry, ...]


Answer = Done | Taken | Refused | Unagreed | Status | History


class ConfigurationCalls:
    """Answers the calls that begin with `config-`."""

    def __init__(self, releases: Releases, distribution: Distribution, applier: Applier) -> None:
        self.releases, self.distribution, self.applier = releases, distribution, applier
        self._uploads = Uploads()

    async def on_call(self, name: str, words: Sequence[str]) -> Any:
        """Return the answer to one call, in JSON types."""
        try:
            answer = await self._answer(name, words)
        except UploadError as problem:
            answer = Refused(str(problem))
        except NotApplied as problem:
            answer = Refused("the body cannot be put in force", problem.problems)
        except NoMajority as problem:
            answer = Unagreed(str(problem))
        return msgspec.to_builtins(answer)

    async def _answer(self, name: str, words: Sequence[str]) -> Answer:
        match name:
            case "config-piece":
                upload, index, count, data = words
                self._uploads.add(upload, index, count, data, trio.current_time())
                return Taken()
            case "config-push":
                return await self._push(words[0], words[1], _parse_against(words[2]), " ".join(words[3:]))
            case "config-rollback":
                return await self._roll_back(_parse_number(words[0]), _parse_against(words[1]), " ".join(words[2:]))
            case "config-status":
                return await self._status(_parse_number(words[0]) if words else None)
            case _:
                return History(self._agreed(), self._configuration().history)

    # -- changes

    async def _push(self, upload: str, digest: str, against: int | None, reason: str) -> Answer:
        body = self._uploads.take(upload, trio.current_time())
        if digest_of(body) != digest:
            return Refused("the upload is spoilt: its digest is another")
        local_name, now = self.releases.name, time.time()

        def change(value: Value) -> Value | Refusal:
            return agreement.push(value, against, digest, len(body), local_name, reason, now)

        return await self._agree(body, change, against, now)

    async def _roll_back(self, number: int, against: int | None, reason: str) -> Answer:
        """Create a new version with the body of an earlier one."""
        entry = next((entry for entry in self._configuration().history if entry.number == number), None)
        if entry is None:
            available = ", ".join(str(entry.number) for entry in self._configuration().history) or "none"
            return Refused(f"no version {number} is kept; there are: {available}")
        body = await self.releases.fetch_body(entry.digest)
        if body is None:
            return Unagreed(f"no voter that answers has the body of version {number}")
        local_name, now = self.releases.name, time.time()

        def change(value: Value) -> Value | Refusal:
            return agreement.rollback(value, number, against, local_name, reason, now)

        return await self._agree(body, change, against, now)

    async def _agree(self, body: bytes, change: ValueChange, against: int | None, when: float) -> Answer:
        """Check the body with this member's own file, store it at a majority of the voters, and change the register.

        `when` is the time recorded in the change.
        """
        await self.applier.check(body)
        await self.releases.deposit(body)
        point("configuration-deposited")
        outcome = await self.releases.change(change)
        if isinstance(outcome, Refusal):
            return Refused(outcome.reason, entries=self._since(against))
        point("configuration-agreed")
        stamp = agreement.stamp(outcome, self.releases.register)
        if stamp.digest == digest_of(body):
            self.distribution.on_pushed(stamp, body)
        entry = agreement.find_existing_change(outcome, digest_of(body), self.releases.name, when)
        return Done(stamp.number if entry is None else entry.number, digest_of(body))

    def _since(self, against: int | None) -> tuple[ConfigurationEntry, ...]:
        if against is None:
            return ()
        return tuple(entry for entry in self._configuration().history if entry.number > against)

    # -- status

    async def _status(self, number: int | None) -> Status:
        distribution = self.distribution
        newest = distribution.newest
        number = newest.number if number is None else number
        spread = await distribution.spread(number, SPREAD_TIMEOUT)
        machine = distribution.machine
        return Status(
            self._agreed(),
            newest.number,  # the value from before the zones were counted
            newest.digest,
            machine.applied.number,
            distribution.serving_from,
            number,
            # Members that started in a network partition may know only each other, so a majority must confirm, too.
            spread.everywhere and distribution.fleet.machine.knows_all and self._agreed(),
            tuple(map(zone_status, spread.zones)),
            distribution.fleet.machine.unlisted_count,
            dict(sorted(machine.counts.items())),
        )

    def _agreed(self) -> bool:
        return self.releases.known is not None and self.releases.has_recent_majority

    def _configuration(self) -> Configuration:
        """Return the configuration of the register as known on this instance."""
        known = self.releases.known
        return known.configuration if known is not None else Configuration()


def _parse_number(word: str) -> int:
    if not (word.isascii() and word.isdigit() and len(word) < 16):
        raise UploadError(f"the number of a version is wanted, not {word!r}")
    return int(word)


def _parse_against(word: str) -> int | None:
    """Parse the version that a change is made against; None for whichever is in force."""
    return None if word == CURRENT else _parse_number(word)
