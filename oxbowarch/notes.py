"""The datagrams in which dispatchers tell one another notes: bytes in, bytes out, no socket and no clock.

Two bytes of version (four bits) and number (twelve), then three bytes a note: two of the worker's name, hashed; one
of the attempts out there (four bits) and of how the last one ended (four bits).  Each datagram delivered is priced.
A note says how things stand, so that one that is lost, repeated or late is put right by the next; what is malformed,
of another version, out of order or of nobody known changes nothing, and is counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from math import floor
from struct import Struct
from zlib import crc32

from oxbowarch.interface import Entry, Note, State, WorkerId

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # of a datagram; a longer one is not allowed
HEAD = Struct("<H")
NOTE = Struct("<HB")
NOTES_MOST = (MAX_DATAGRAM_BYTES - HEAD.size) // NOTE.size
SEQUENCE_NUMBERS = 4096  # of datagrams, counted round
ORDER_KEPT = 0.5  # s after which any number of a sender counts as newer: it may have started again
MIN_STORED_NOTES = 4096  # notes that may be kept for that before the old ones are looked for
OUT_MOST = 15
FAILED = 15  # how an attempt ended: 0 nothing to say, 1 to 14 its pace, or this
PACE_STEP, PACE_LOW = 0.25, -1.0  # logged run time over the usual, of a step and of pace 1
PACES = 14


def worker_hash(worker: WorkerId) -> int:
    """What stands for a worker's name: sixteen bits; nothing is told of workers that share them."""
    return crc32(worker) & 0xFFFF


def _ending(note: Note) -> int:
    if note.failed or note.slowdown is None:
        return FAILED if note.failed else 0
    return min(PACES, max(1, 1 + floor((note.slowdown - PACE_LOW) / PACE_STEP + 0.5)))


class NoteCodec:
    """One dispatcher's side of the exchange."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.number = 0  # of the last datagram written
        self._names: dict[int, tuple[WorkerId, ...]] = {}
        # Number of the last note of each sender about each worker, and when it came: those to some dispatchers and
        # those to all overtake one another, and what one says of a worker is no older for news of another.
        self._last: dict[tuple[int, int], tuple[int, float]] = {}
        self._last_most = MIN_STORED_NOTES

    def set_workers(self, entries: Iterable[Entry], afresh: bool = False) -> None:
        """Workers that notes may be about, besides those of before; `afresh`: instead of them."""
        if afresh:
            self._names, self._last = {}, {}
        for entry in entries:
            name, worker = worker_hash(entry.worker), entry.worker
            same = tuple(other for other in self._names.pop(name, ()) if other != worker)
            if entry.state is not State.GONE:
                same = (*same, worker)
            if same:
                self._names[name] = same

    def write(self, notes: Sequence[Note]) -> list[bytes]:
        """The datagrams, of at most 256 bytes each, that tell these notes."""
        made = []
        # Of two workers of one short name a note would go to the other's account.
        notes = [note for note in notes if len(self._names.get(worker_hash(note.worker), ())) <= 1]
        for at in range(0, len(notes), NOTES_MOST):
            self.number = (self.number + 1) % SEQUENCE_NUMBERS
            parts = [HEAD.pack(VERSION << 12 | self.number)]
            parts += [NOTE.pack(worker_hash(note.worker), min(OUT_MOST, note.outstanding) << 4 | _ending(note))
                      for note in notes[at : at + NOTES_MOST]]  # fmt: skip
            made.append(b"".join(parts))
        return made

    def read(self, sender: int, data: bytes, now: float) -> tuple[Note, ...]:
        """The notes of a datagram; none, and a count, where it is no good.  `now` in seconds."""
        if len(data) > MAX_DATAGRAM_BYTES or len(data) <= HEAD.size or (len(data) - HEAD.size) % NOTE.size:
            self.counts["malformed"] += 1
            return ()
        (head,) = HEAD.unpack_from(data)
        if head >> 12 != VERSION:
            self.counts["other_version"] += 1
            return ()
        number, notes = head % SEQUENCE_NUMBERS, []
        for hashed, state in NOTE.iter_unpack(data[HEAD.size :]):
            workers, ending = self._names.get(hashed, ()), state & 0x0F
            if len(workers) != 1:
                self.counts["shared_name" if workers else "unknown_worker"] += 1
                continue
            last, at = self._last.get((sender, hashed), (0, -1e9))
            if now - at < ORDER_KEPT and not 0 < (number - last) % SEQUENCE_NUMBERS <= SEQUENCE_NUMBERS // 2:
                self.counts["out_of_order"] += 1
                continue
            self._last[sender, hashed] = number, now
            if len(self._last) > self._last_most:
                # A thousand senders about a thousand workers: what is old orders nothing, and would fill the memory.
                self._last = {key: kept for key, kept in self._last.items() if now - kept[1] < ORDER_KEPT}
                self._last_most = max(MIN_STORED_NOTES, 2 * len(self._last))
            pace = PACE_LOW + (ending - 1) * PACE_STEP if 0 < ending < FAILED else None
            notes.append(Note(workers[0], state >> 4, pace, ending == FAILED))
        return tuple(notes)
