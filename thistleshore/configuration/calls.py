"""What operators ask of one member about the configuration: push, roll back, status, history."""

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

SPREAD_WITHIN = 0.3  # s for the zone relays to answer; the whole call is to be answered within 0.8 s
NEWEST = "-"  # in place of the version that a change is made against: whichever is in force

ValueChange = Callable[[Value], Value | Refusal]


class Done(msgspec.Struct, frozen=True, tag_field="status", tag="done"):
    """A change is agreed: that version is in force by the register."""

    number: int
    digest: str


class Taken(msgspec.Struct, frozen=True, tag_field="status", tag="done"):
    """A piece of an upload was taken in."""


class Refused(msgspec.Struct, frozen=True, tag_field="status", tag="refused"):
    """Nothing was changed."""

    told: str
    problems: tuple[str, ...] = ()  # of the body, each with its file and key
    entries: tuple[ConfigurationEntry, ...] = ()  # that came since the version that the change was made against


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
    """How far one zone is with a version, as an answer has it."""

    zone: str
    members: int
    applied: int
    behind: tuple[Behind, ...]
    unknown: tuple[str, ...]


def zone_status(zone: Zone) -> ZoneStatus:
    """The rows of the protocol are arrays; those of an answer are objects."""
    behind = tuple(Behind(row.name, row.applied, row.refused, row.reason) for row in zone.behind)
    return ZoneStatus(zone.zone, zone.members, zone.applied, behind, zone.unknown)


class Status(msgspec.Struct, frozen=True):
    """The newest version, and how far the fleet is with one."""

    agreed: bool  # whether a majority says so now
    number: int  # the newest that is known
    digest: str
    in_force_here: int
    serving_from: str  # fleet, disk or file
    spread_of: int  # the version that the zones are counted for
    everywhere: bool
    zones: tuple[ZoneStatus, ...]
    unlisted: int  # members that others know and this one does not: they died before it joined
    counts: dict[str, int]


class History(msgspec.Struct, frozen=True):
    """The versions that the register still names, the oldest first."""

    agreed: bool
    entries: tuple[ConfigurationEntry, ...]


Answer = Done | Taken | Refused | Unagreed | Status | History


class ConfigurationCalls:
    """Answers the calls that begin with `config-`."""

    def __init__(self, releases: Releases, distribution: Distribution, applier: Applier) -> None:
        self.releases, self.distribution, self.applier = releases, distribution, applier
        self._uploads = Uploads()

    async def on_call(self, name: str, words: Sequence[str]) -> Any:
        """The answer to one call, as JSON has it."""
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
                return await self._push(words[0], words[1], _number(words[2]), " ".join(words[3:]))
            case "config-rollback":
                return await self._roll_back(_whole(words[0]), _number(words[1]), " ".join(words[2:]))
            case "config-status":
                return await self._status(_whole(words[0]) if words else None)
            case _:
                return History(self._agreed(), self._configuration().history)

    # -- changes

    async def _push(self, upload: str, digest: str, against: int | None, reason: str) -> Answer:
        body = self._uploads.take(upload, trio.current_time())
        if digest_of(body) != digest:
            return Refused("the upload is spoilt: its digest is another")
        me, now = self.releases.name, time.time()

        def change(value: Value) -> Value | Refusal:
            return agreement.push(value, against, digest, len(body), me, reason, now)

        return await self._agree(body, change, against, now)

    async def _roll_back(self, number: int, against: int | None, reason: str) -> Answer:
        """A new version with the body of an earlier one."""
        entry = next((entry for entry in self._configuration().history if entry.number == number), None)
        if entry is None:
            kept = ", ".join(str(entry.number) for entry in self._configuration().history) or "none"
            return Refused(f"no version {number} is kept; there are: {kept}")
        body = await self.releases.fetch_body(entry.digest)
        if body is None:
            return Unagreed(f"no voter that answers has the body of version {number}")
        me, now = self.releases.name, time.time()

        def change(value: Value) -> Value | Refusal:
            return agreement.rollback(value, number, against, me, reason, now)

        return await self._agree(body, change, against, now)

    async def _agree(self, body: bytes, change: ValueChange, against: int | None, when: float) -> Answer:
        """Check the body with this member's own file, have a majority keep it, and change the register.

        `when` is the time that the change gives itself.
        """
        await self.applier.check(body)
        await self.releases.deposit(body)
        point("configuration-deposited")
        found = await self.releases.change(change)
        if isinstance(found, Refusal):
            return Refused(found.reason, entries=self._since(against))
        point("configuration-agreed")
        stamp = agreement.stamp(found, self.releases.register)
        if stamp.digest == digest_of(body):
            self.distribution.on_pushed(stamp, body)
        entry = agreement.find_existing_change(found, digest_of(body), self.releases.name, when)
        return Done(stamp.number if entry is None else entry.number, digest_of(body))

    def _since(self, against: int | None) -> tuple[ConfigurationEntry, ...]:
        if against is None:
            return ()
        return tuple(entry for entry in self._configuration().history if entry.number > against)

    # -- what is known

    async def _status(self, number: int | None) -> Status:
        distribution = self.distribution
        newest = distribution.newest
        number = newest.number if number is None else number
        spread = await distribution.spread(number, SPREAD_WITHIN)
        machine = distribution.machine
        return Status(
            self._agreed(),
            newest.number,  # as it was when the zones were counted for it
            newest.digest,
            machine.applied.number,
            distribution.serving_from,
            number,
            # Some that started together in a cut may know nobody else: a majority of the voters has to say so, too.
            spread.everywhere and distribution.fleet.machine.knows_all and self._agreed(),
            tuple(map(zone_status, spread.zones)),
            distribution.fleet.machine.unlisted_count,
            dict(sorted(machine.counts.items())),
        )

    def _agreed(self) -> bool:
        return self.releases.known is not None and self.releases.has_recent_majority

    def _configuration(self) -> Configuration:
        """As it is known here."""
        known = self.releases.known
        return known.configuration if known is not None else Configuration()


def _whole(word: str) -> int:
    if not (word.isascii() and word.isdigit() and len(word) < 16):
        raise UploadError(f"the number of a version is wanted, not {word!r}")
    return int(word)


def _number(word: str) -> int | None:
    """The version that a change is made against; None for whichever is in force."""
    return None if word == NEWEST else _whole(word)
