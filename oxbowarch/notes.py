"""The datagrams that carry notes between dispatchers: bytes in, bytes out, no socket and no clock.

A datagram has two bytes of version (four bits) and sequence number (twelve), then three bytes a note: two of the
hashed worker name; one of outstanding attempts (four bits) and of how the last one ended (four bits).  Each delivered
datagram has a cost.  A note states the whole state, so the next one corrects a lost, repeated or late one.  Notes that
are malformed, of another version, out of order or on an unknown worker change nothing, and are counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from math import floor
from struct import Struct
from zlib import crc32

from oxbowarch.interface import Entry, Note, State, WorkerId

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # of a datagram; the limit of the wire
HEAD = Struct("<H")
NOTE = Struct("<HB")
NOTES_MOST = (MAX_DATAGRAM_BYTES - HEAD.size) // NOTE.size
SEQUENCE_NUMBERS = 4096  # of datagrams; they wrap around
ORDER_KEPT = 0.5  # seconds after which any number of a sender is newer: it may have restarted
MIN_STORED_NOTES = 4096  # order entries stored before old ones are removed
MAX_OUTSTANDING = 15
FAILED = 15  # how an attempt ended: 0 none, 1 to 14 its slowdown, or this
SLOWDOWN_STEP = 0.25  # log of run time over the usual
MIN_SLOWDOWN = -1.0  # of step 1
SLOWDOWN_STEPS = 14


def worker_hash(worker: WorkerId) -> int:
    """Return a hash of 16 bits for a worker's name; no notes are sent on workers that share one."""
    return crc32(worker) & 0xFFFF


def _ending(note: Note) -> int:
    if note.failed or note.slowdown is None:
        return FAILED if note.failed else 0
    return min(SLOWDOWN_STEPS, max(1, 1 + floor((note.slowdown - MIN_SLOWDOWN) / SLOWDOWN_STEP + 0.5)))


class NoteCodec:
    """Writes and reads the datagrams of one dispatcher."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.number = 0  # sequence number of the last datagram written
        self._names: dict[int, tuple[WorkerId, ...]] = {}
        # Number and time of the last note by sender and worker.  Order is checked by worker, as datagrams to some
        # dispatchers and broadcasts overtake one another, and a note on one worker does not outdate another.
        self._last: dict[tuple[int, int], tuple[int, float]] = {}
        self._last_most = MIN_STORED_NOTES

    def set_workers(self, entries: Iterable[Entry], afresh: bool = False) -> None:
        """Add workers that notes may be on; `afresh`: replace the earlier ones."""
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
        """Return the datagrams that carry these notes, of at most 256 bytes each."""
        datagrams = []
        # Of two workers with one hash, a note could be applied to the wrong one.
        notes = [note for note in notes if len(self._names.get(worker_hash(note.worker), ())) <= 1]
        for at in range(0, len(notes), NOTES_MOST):
            self.number = (self.number + 1) % SEQUENCE_NUMBERS
            parts = [HEAD.pack(VERSION << 12 | self.number)]
            parts += [NOTE.pack(worker_hash(note.worker), min(MAX_OUTSTANDING, note.outstanding) << 4 | _ending(note))
                      for note in notes[at : at + NOTES_MOST]]  # fmt: skip
            datagrams.append(b"".join(parts))
        return datagrams

    def read(self, sender: int, data: bytes, now: float) -> tuple[Note, ...]:
        """Return the valid notes of a datagram, and count the others by reason.  `now` in seconds."""
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
                # Entries past ORDER_KEPT decide nothing; a thousand senders and workers would fill the memory.
                self._last = {key: kept for key, kept in self._last.items() if now - kept[1] < ORDER_KEPT}
                self._last_most = max(MIN_STORED_NOTES, 2 * len(self._last))
            slowdown = MIN_SLOWDOWN + (ending - 1) * SLOWDOWN_STEP if 0 < ending < FAILED else None
            notes.append(Note(workers[0], state >> 4, slowdown, ending == FAILED))
        return tuple(notes)
