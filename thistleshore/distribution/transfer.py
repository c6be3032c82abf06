"""Transfers of bodies: the fetch of this instance, and the transfers that it serves to others.

A fetch requests parts from one source, with a bounded window of outstanding parts.  Parts that are late are
requested again: after `answer_timeout` at first, then after a multiple of the measured round-trip time.  If the source
is silent, lacks the body or sends wrong data, the fetch starts over with the next source.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from thistleshore.distribution import wire
from thistleshore.distribution.bodies import BodyCache, Encoding, max_encoded_size
from thistleshore.addresses import Address
from thistleshore.distribution.model import NO_VERSION, Stamp, ProtocolSettings

SOURCE_TIMEOUT_ANSWERS = 2.0  # multiples of `answer_timeout` without data after which the next source is tried
RETRANSMIT_ROUND_TRIPS = 2.5  # multiples of the round-trip time after which parts are requested again
MIN_RETRANSMIT_TIMEOUT = 0.02  # seconds
ROUND_TRIP_DECAY = 0.8  # factor by which the round-trip estimate decays when a shorter one is measured
PART_SECONDS = 0.005  # seconds that sending a part takes; used to pace concurrent transfers
SLOT_TIMEOUT_ANSWERS = 2.0  # multiples of `answer_timeout` after which an idle transfer is over
MAX_BUSY_PARTS = 16.0  # longest suggested wait for each running transfer, in parts' sending time


class Source(NamedTuple):
    """An instance that has, or may have, the body."""

    name: str
    address: Address


class PartResult(Enum):
    """The effect of a received part on a fetch."""

    UNEXPECTED = "it was not requested, or is a duplicate"
    MORE = "others are still missing"
    WINDOW = "the window has room for further requests"
    COMPLETE = "all parts have arrived"
    INVALID = "it is inconsistent with this body"


class BodyFetch:
    """The fetch of one version's body."""

    def __init__(
        self, stamp: Stamp, base: Stamp, sources: Iterable[Source], settings: ProtocolSettings, number: int
    ) -> None:
        """`number` identifies the first transfer; it increases with each source."""
        self.stamp, self.base = stamp, base
        self.transfer = number
        self.due = 0.0  # when the source is overdue
        self._settings = settings
        self._sources = list(dict.fromkeys(sources))
        self._forget_parts()

    def _forget_parts(self) -> None:
        """Start over from the first part, with the next source."""
        self._encoding: tuple[int, int, int] | None = None  # base, size, count of parts
        self._parts: dict[int, bytes] = {}
        self._received = 0  # bytes
        self._outstanding: set[int] = set()  # outstanding parts
        self._next_part = 0  # the first part not yet requested
        self._timed_request: tuple[int, float] | None = None  # a part requested only once, and when
        self._round_trip = 0.0  # seconds; estimated round-trip time; 0: not measured
        self._retransmit_timeout = self._settings.answer_timeout  # seconds until outstanding parts are requested again
        self._give_up_at = 0.0

    @property
    def source(self) -> Source | None:
        """The current source; None after all have been tried."""
        return self._sources[0] if self._sources else None

    @property
    def started(self) -> bool:
        """Whether any part has arrived."""
        return bool(self._parts)

    @property
    def encoding(self) -> Encoding:
        """The received encoding; only valid once complete."""
        assert self._encoding is not None
        return Encoding(self._encoding[0], b"".join(self._parts[index] for index in sorted(self._parts)))

    def add_source(self, source: Source) -> None:
        """Add a source that has the body; it is tried right after the current one."""
        if source in self._sources[:1]:
            return
        if source in self._sources:
            self._sources.remove(source)
        self._sources.insert(1, source)

    def next_source(self, whole: bool = False) -> None:
        """Move on to the next source; if `whole`, do not accept a delta from it."""
        del self._sources[:1]
        if whole:
            self.base = NO_VERSION
        self.transfer += 1
        self._forget_parts()

    def request(self, now: float) -> wire.Fetch:
        """Return the request for the next parts, as far as the window has room."""
        if self._next_part == 0:
            self._give_up_at = now + SOURCE_TIMEOUT_ANSWERS * self._settings.answer_timeout
        count = self._encoding[2] if self._encoding else self._settings.window
        first, self._next_part = (
            self._next_part,
            min(count, self._next_part + self._settings.window - len(self._outstanding)),
        )
        new = range(first, self._next_part)
        self._outstanding.update(new)
        if self._timed_request is None and new:
            self._timed_request = (first, now)
        return self._fetch(new, now)

    def request_again(self, now: float) -> wire.Fetch:
        """Return a request that repeats all outstanding parts."""
        self._timed_request = None  # an answer could belong to either request
        return self._fetch(sorted(self._outstanding), now)

    def on_timeout(self, now: float) -> bool:
        """Handle a timeout; return whether to ask the same source again."""
        self._retransmit_timeout = min(2 * self._retransmit_timeout, self._settings.answer_timeout)
        return now < self._give_up_at

    def on_busy(self, until: float) -> None:
        """Handle a `Busy`: retry the same source at `until`."""
        self._give_up_at = until + SOURCE_TIMEOUT_ANSWERS * self._settings.answer_timeout
        self.due = until

    def on_part(self, part: wire.Part, now: float) -> PartResult:
        """Handle a part, and return its effect."""
        if part.transfer != self.transfer or part.index in self._parts:
            return PartResult.UNEXPECTED
        encoding = (part.base, part.size, part.count)
        if self._encoding is None:
            if part.base not in (0, self.base.number) or not part.count <= part.size <= max_encoded_size(self.stamp):
                return PartResult.INVALID
            self._encoding = encoding
            self._outstanding = {index for index in self._outstanding if index < part.count}
        if encoding != self._encoding or part.index >= part.count or self._received + len(part.data) > part.size:
            return PartResult.INVALID
        self._parts[part.index] = part.data
        self._received += len(part.data)
        self._outstanding.discard(part.index)
        self._on_sign_of_life(part.index, now)
        if len(self._parts) == part.count:
            return PartResult.COMPLETE if self._received == part.size else PartResult.INVALID
        room = len(self._outstanding) <= self._settings.window // 2 and self._next_part < part.count
        return PartResult.WINDOW if room else PartResult.MORE

    def _on_sign_of_life(self, index: int, now: float) -> None:
        if self._timed_request is not None and self._timed_request[0] == index:
            self._round_trip = max(now - self._timed_request[1], ROUND_TRIP_DECAY * self._round_trip)
            self._timed_request = None
        if self._round_trip:
            self._retransmit_timeout = min(
                max(MIN_RETRANSMIT_TIMEOUT, RETRANSMIT_ROUND_TRIPS * self._round_trip), self._settings.answer_timeout
            )
        self._give_up_at = now + SOURCE_TIMEOUT_ANSWERS * self._settings.answer_timeout
        self.due = now + self._retransmit_timeout

    def _fetch(self, parts: Iterable[int], now: float) -> wire.Fetch:
        self.due = min(now + self._retransmit_timeout, self._give_up_at)
        stamp, base = self.stamp, self.base
        return wire.Fetch(self.transfer, stamp.number, stamp.digest, base.number, base.digest, tuple(parts))


class TransferServer:
    """The transfers from this instance to others."""

    def __init__(self, bodies: BodyCache, settings: ProtocolSettings, payload_capacity: int) -> None:
        """`payload_capacity` is the maximum size of a part, in bytes."""
        self._bodies, self._settings, self._payload_capacity = bodies, settings, payload_capacity
        self._until: dict[str, float] = {}  # end of each transfer's slot, by the name of the fetching instance

    def answer(self, request: wire.Fetch, sender: str, chance: float, now: float) -> list[wire.Message]:
        """Return the messages that answer a request.

        `chance`, a random number from 0 to 1, spreads the retries of instances that get `Busy`.
        """
        if not self._bodies.has(request.number, request.digest):
            return [wire.BodyUnavailable(request.transfer)]
        base = request.base if self._bodies.has(request.base, request.base_digest) else 0
        encoding = self._bodies.encoding(request.number, base)
        count = max(1, -(-len(encoding.data) // self._payload_capacity))
        indices = [index for index in request.parts[: self._settings.window] if index < count]
        if count > 1 and not self._take_slot(sender, indices, count, now):
            return [wire.Busy(request.transfer, self._wait(chance))]
        return [self._part(request.transfer, encoding, count, index) for index in indices]

    def _take_slot(self, sender: str, indices: list[int], count: int, now: float) -> bool:
        if sender not in self._until and len(self._until) >= self._settings.max_transfers:
            self._until = {name: until for name, until in self._until.items() if until > now}
            if len(self._until) >= self._settings.max_transfers:
                return False
        last = count - 1 in indices
        seconds = PART_SECONDS * len(indices) if last else SLOT_TIMEOUT_ANSWERS * self._settings.answer_timeout
        self._until[sender] = now + seconds
        return True

    def _wait(self, chance: float) -> int:
        """Return the time after which to retry, in ms."""
        most = PART_SECONDS * MAX_BUSY_PARTS * len(self._until)
        return min(wire.MAX_AGE_MS, round(1000 * most * (0.25 + 0.75 * chance)))

    def _part(self, transfer: int, encoding: Encoding, count: int, index: int) -> wire.Part:
        data = encoding.data[index * self._payload_capacity : (index + 1) * self._payload_capacity]
        return wire.Part(transfer, encoding.base, len(encoding.data), count, index, data)
