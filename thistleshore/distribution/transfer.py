"""Bodies on their way: one fetch of this instance's own, and the transfers that it serves to others.

A fetch asks one source for parts, with a window of them on their way at any time.  What does not come in time is asked
for again: within `answer_timeout` at first, and by the round trip once measured.  When the source is silent, lacks the
body or sends something else, the next source is asked from the first part on.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from thistleshore.distribution import wire
from thistleshore.distribution.bodies import Bodies, Encoding, encoded_most
from thistleshore.addresses import Address
from thistleshore.distribution.model import NO_VERSION, Stamp, ProtocolSettings

SILENT_ANSWERS = 2.0  # answer times without a word of a source, after which another is asked
PATIENCE_TRIPS = 2.5  # round trips after which a part is asked for again
PATIENCE_LEAST = 0.02  # s
TRIP_KEPT = 0.8  # of a longer round trip, when a shorter one is measured
PART_SECONDS = 0.005  # for which a part occupies its sender: what paces many transfers
SLOT_ANSWERS = 2.0  # answer times after which a transfer that asks for nothing is over
BUSY_PARTS = 16.0  # parts' time that one is told to wait at most, for each transfer under way


class Source(NamedTuple):
    """An instance that has, or may have, the body."""

    name: str
    address: Address


class Taken(Enum):
    """What a part did to a fetch."""

    STRAY = "it belongs to no request of ours, or came twice"
    MORE = "others are still missing"
    WINDOW = "the window has room; ask for the next"
    COMPLETE = "all parts are here"
    UNSOUND = "it cannot be part of this body"


class Fetching:
    """The body of one version on its way here."""

    def __init__(
        self, stamp: Stamp, base: Stamp, sources: Iterable[Source], settings: ProtocolSettings, number: int
    ) -> None:
        """`number` is that of the first transfer; each source gets another."""
        self.stamp, self.base = stamp, base
        self.transfer = number
        self.due = 0.0  # when the source is late
        self._settings = settings
        self._sources = list(dict.fromkeys(sources))
        self._forget_parts()

    def _forget_parts(self) -> None:
        """Begin from the first part, with whatever source is next."""
        self._encoding: tuple[int, int, int] | None = None  # base, size, count of parts
        self._parts: dict[int, bytes] = {}
        self._received = 0  # bytes
        self._window: set[int] = set()  # parts that were asked for and have not come
        self._next = 0  # the first part that was never asked for
        self._timed: tuple[int, float] | None = None  # a part, and when it was asked for, once
        self._trip = 0.0  # s of a round trip; 0: not measured
        self._patience = self._settings.answer_timeout  # s after which parts are asked for again
        self._give_up_at = 0.0

    @property
    def source(self) -> Source | None:
        """Who is asked; None where all have been."""
        return self._sources[0] if self._sources else None

    @property
    def begun(self) -> bool:
        """Whether any part is here."""
        return bool(self._parts)

    @property
    def encoding(self) -> Encoding:
        """What came, once it is complete."""
        assert self._encoding is not None
        return Encoding(self._encoding[0], b"".join(self._parts[index] for index in sorted(self._parts)))

    def add_source(self, source: Source) -> None:
        """Another instance has the body: it is asked right after the present source."""
        if source in self._sources[:1]:
            return
        if source in self._sources:
            self._sources.remove(source)
        self._sources.insert(1, source)

    def next_source(self, whole: bool = False) -> None:
        """Give the present source up; `whole`: ask the next for no difference."""
        del self._sources[:1]
        if whole:
            self.base = NO_VERSION
        self.transfer += 1
        self._forget_parts()

    def request(self, now: float) -> wire.Fetch:
        """What to send to the source now: a request for the next parts, as far as the window has room."""
        if self._next == 0:
            self._give_up_at = now + SILENT_ANSWERS * self._settings.answer_timeout
        count = self._encoding[2] if self._encoding else self._settings.window
        first, self._next = self._next, min(count, self._next + self._settings.window - len(self._window))
        new = range(first, self._next)
        self._window.update(new)
        if self._timed is None and new:
            self._timed = (first, now)
        return self._fetch(new, now)

    def request_again(self, now: float) -> wire.Fetch:
        """A request for the parts that were asked for and have not come."""
        self._timed = None  # an answer would not say to which request
        return self._fetch(sorted(self._window), now)

    def on_late(self, now: float) -> bool:
        """Nothing came in time; whether to ask the same source again."""
        self._patience = min(2 * self._patience, self._settings.answer_timeout)
        return now < self._give_up_at

    def on_busy(self, until: float) -> None:
        """The source said when to come back."""
        self._give_up_at = until + SILENT_ANSWERS * self._settings.answer_timeout
        self.due = until

    def on_part(self, part: wire.Part, now: float) -> Taken:
        """Take a part in."""
        if part.transfer != self.transfer or part.index in self._parts:
            return Taken.STRAY
        encoding = (part.base, part.size, part.count)
        if self._encoding is None:
            if part.base not in (0, self.base.number) or not part.count <= part.size <= encoded_most(self.stamp):
                return Taken.UNSOUND
            self._encoding = encoding
            self._window = {index for index in self._window if index < part.count}
        if encoding != self._encoding or part.index >= part.count or self._received + len(part.data) > part.size:
            return Taken.UNSOUND
        self._parts[part.index] = part.data
        self._received += len(part.data)
        self._window.discard(part.index)
        self._on_sign_of_life(part.index, now)
        if len(self._parts) == part.count:
            return Taken.COMPLETE if self._received == part.size else Taken.UNSOUND
        room = len(self._window) <= self._settings.window // 2 and self._next < part.count
        return Taken.WINDOW if room else Taken.MORE

    def _on_sign_of_life(self, index: int, now: float) -> None:
        if self._timed is not None and self._timed[0] == index:
            self._trip = max(now - self._timed[1], TRIP_KEPT * self._trip)
            self._timed = None
        if self._trip:
            self._patience = min(max(PATIENCE_LEAST, PATIENCE_TRIPS * self._trip), self._settings.answer_timeout)
        self._give_up_at = now + SILENT_ANSWERS * self._settings.answer_timeout
        self.due = now + self._patience

    def _fetch(self, parts: Iterable[int], now: float) -> wire.Fetch:
        self.due = min(now + self._patience, self._give_up_at)
        stamp, base = self.stamp, self.base
        return wire.Fetch(self.transfer, stamp.number, stamp.digest, base.number, base.digest, tuple(parts))


class Serving:
    """The transfers under way from here to others."""

    def __init__(self, bodies: Bodies, settings: ProtocolSettings, room: int) -> None:
        """`room` is the most bytes of a part."""
        self._bodies, self._settings, self._room = bodies, settings, room
        self._until: dict[str, float] = {}  # of each transfer under way, by who fetches

    def answer(self, request: wire.Fetch, sender: str, chance: float, now: float) -> list[wire.Message]:
        """What to send for a request; `chance` from 0 to 1 spreads those who have to come back."""
        if not self._bodies.has(request.number, request.digest):
            return [wire.BodyUnavailable(request.transfer)]
        base = request.base if self._bodies.has(request.base, request.base_digest) else 0
        encoding = self._bodies.encoding(request.number, base)
        count = max(1, -(-len(encoding.data) // self._room))
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
        seconds = PART_SECONDS * len(indices) if last else SLOT_ANSWERS * self._settings.answer_timeout
        self._until[sender] = now + seconds
        return True

    def _wait(self, chance: float) -> int:
        """ms after which to come back."""
        most = PART_SECONDS * BUSY_PARTS * len(self._until)
        return min(wire.AGE_MOST, round(1000 * most * (0.25 + 0.75 * chance)))

    def _part(self, transfer: int, encoding: Encoding, count: int, index: int) -> wire.Part:
        data = encoding.data[index * self._room : (index + 1) * self._room]
        return wire.Part(transfer, encoding.base, len(encoding.data), count, index, data)
