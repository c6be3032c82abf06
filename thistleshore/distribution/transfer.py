"""Bodies on their way: one fetch of this instance's own, and the transfers that it serves to others.

A fetch asks one source for a window of parts at a time.  What does not come within `answer` is asked for again, once;
after that, or when the source lacks the body or sends something else, the next source is asked from the first part on.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from thistleshore.distribution import wire
from thistleshore.distribution.bodies import Bodies, Encoding, encoded_most
from thistleshore.distribution.model import NO_VERSION, Address, Stamp, Terms

SILENCES_MOST = 2  # windows in a row of which nothing came, after which another source is asked
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
    WINDOW = "the window is full; ask for the next"
    COMPLETE = "all parts are here"
    UNSOUND = "it cannot be part of this body"


class Fetching:
    """The body of one version on its way here."""

    def __init__(self, stamp: Stamp, base: Stamp, sources: Iterable[Source], terms: Terms, number: int) -> None:
        """`number` is that of the first transfer; each source gets another."""
        self.stamp, self.base = stamp, base
        self.transfer = number
        self.due = 0.0  # when the source is late
        self._terms = terms
        self._sources = list(dict.fromkeys(sources))
        self._silences = 0
        self._encoding: tuple[int, int, int] | None = None  # base, size, count of parts
        self._parts: dict[int, bytes] = {}
        self._received = 0  # bytes
        self._window: set[int] = set()  # parts that were asked for and have not come

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
        self._forget_parts()

    def request(self, now: float) -> wire.Fetch:
        """What to send to the source now: the parts that are missing, in a window."""
        if not self._window:
            count = self._encoding[2] if self._encoding else self._terms.window
            missing = (index for index in range(count) if index not in self._parts)
            self._window = {index for _, index in zip(range(self._terms.window), missing, strict=False)}
        self.due = now + self._terms.answer
        parts = tuple(sorted(self._window))
        return wire.Fetch(
            self.transfer, self.stamp.number, self.stamp.digest, self.base.number, self.base.digest, parts
        )

    def on_silence(self) -> bool:
        """Nothing came in time; whether to ask the same source again."""
        self._silences += 1
        return self._silences < SILENCES_MOST

    def on_busy(self, until: float) -> None:
        """The source said when to come back."""
        self._silences = 0
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
        self._silences = 0
        self.due = now + self._terms.answer
        if len(self._parts) == part.count:
            return Taken.COMPLETE if self._received == part.size else Taken.UNSOUND
        return Taken.MORE if self._window else Taken.WINDOW

    def _forget_parts(self) -> None:
        self.transfer += 1
        self._silences = 0
        self._encoding = None
        self._parts.clear()
        self._received = 0
        self._window.clear()


class Serving:
    """The transfers under way from here to others."""

    def __init__(self, bodies: Bodies, terms: Terms, room: int) -> None:
        """`room` is the most bytes of a part."""
        self._bodies, self._terms, self._room = bodies, terms, room
        self._until: dict[str, float] = {}  # of each transfer under way, by who fetches

    def answer(self, request: wire.Fetch, sender: str, chance: float, now: float) -> list[wire.Message]:
        """What to send for a request; `chance` from 0 to 1 spreads those who have to come back."""
        if not self._bodies.has(request.number, request.digest):
            return [wire.Lacking(request.transfer)]
        base = request.base if self._bodies.has(request.base, request.base_digest) else 0
        encoding = self._bodies.encoding(request.number, base)
        count = max(1, -(-len(encoding.data) // self._room))
        indices = [index for index in request.parts[: self._terms.window] if index < count]
        if count > 1 and not self._take_slot(sender, indices, count, now):
            return [wire.Busy(request.transfer, self._wait(chance))]
        return [self._part(request.transfer, encoding, count, index) for index in indices]

    def _take_slot(self, sender: str, indices: list[int], count: int, now: float) -> bool:
        if sender not in self._until and len(self._until) >= self._terms.transfers:
            self._until = {name: until for name, until in self._until.items() if until > now}
            if len(self._until) >= self._terms.transfers:
                return False
        last = count - 1 in indices
        seconds = PART_SECONDS * len(indices) if last else SLOT_ANSWERS * self._terms.answer
        self._until[sender] = now + seconds
        return True

    def _wait(self, chance: float) -> int:
        """ms after which to come back."""
        most = PART_SECONDS * BUSY_PARTS * len(self._until)
        return min(wire.AGE_MOST, round(1000 * most * (0.25 + 0.75 * chance)))

    def _part(self, transfer: int, encoding: Encoding, count: int, index: int) -> wire.Part:
        data = encoding.data[index * self._room : (index + 1) * self._room]
        return wire.Part(transfer, encoding.base, len(encoding.data), count, index, data)
