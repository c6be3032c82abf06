"""Names of streams that are open, or were lately: under one name there is one stream.

A client that comes again with a name, because its connection broke or because it left, must not have its job run twice.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Iterator
from hashlib import blake2b
from heapq import heappop, heappush
from math import ceil
from struct import Struct

KEPT = 10.0  # seconds for which the name of a stream that has ended is known at least
MOST = 100_000  # names known at a time; beyond that no stream is opened, as forgetting one early breaks the promise
LATEST_MOST = 2048  # names in full for a process of an older version, which knows no digests
DIGEST = 8  # bytes; of so many names two have the same digest once in 10**9 times
ENTRY = Struct(f"<{DIGEST}sH")  # of one name for another process: its digest, and for how many seconds to know it
LEFT_MOST = 0xFFFF  # seconds


class StreamNames:
    """The names known to one process.  All times are seconds on the caller's clock."""

    def __init__(self) -> None:
        self.latest: deque[str] = deque(maxlen=LATEST_MOST)
        self._open: dict[bytes, float] = {}  # by digest: until when the client may come again
        self._ended: dict[bytes, float] = {}  # by digest: until when it is known
        self._elsewhere: dict[bytes, float] = {}  # the same, of streams of other processes
        self._due: list[tuple[float, bytes]] = []  # heap of the times in both, the outdated ones among them

    def __len__(self) -> int:
        return len(self._open) + len(self._ended) + len(self._elsewhere)

    def full(self, now: float) -> bool:
        """Whether no further name can be known for as long as it has to be."""
        self._drop_due(now)
        return len(self) >= MOST

    def knows(self, name: str, now: float) -> bool:
        """Whether a stream of that name is open or was so lately."""
        self._drop_due(now)
        return self._has(_digest(name))

    def _has(self, digest: bytes) -> bool:
        return digest in self._open or digest in self._ended or digest in self._elsewhere

    def open(self, name: str, until: float) -> None:
        """A stream of that name is opened; its client may come again with it until then."""
        self._open[_digest(name)] = until
        self._note(name)

    def end(self, name: str, now: float, answered: bool) -> None:
        """The stream has ended; a client that has its answer does not come again."""
        digest = _digest(name)
        until = self._open.pop(digest)
        self._keep(self._ended, digest, now + KEPT if answered else max(until, now + KEPT))

    def forget(self, name: str) -> None:
        """The stream has ended and certainly never ran: its name may be used again."""
        self._open.pop(_digest(name), None)

    def learn(self, name: str, until: float) -> bool:
        """A stream of that name has been opened at another process that serves the same clients.

        Returns whether that is news.
        """
        digest = _digest(name)
        news = not self._has(digest)
        self._keep(self._elsewhere, digest, until)
        if news:
            self._note(name)
        return news

    def unlearn(self, name: str) -> bool:
        """The stream of that name has ended at that other process and never ran.  Returns whether that is news."""
        return self._elsewhere.pop(_digest(name), None) is not None

    def export(self, now: float) -> str:
        """All names for another process; see `ENTRY`, in base 64."""
        self._drop_due(now)
        known = {**{digest: until + KEPT for digest, until in self._open.items()}, **self._elsewhere, **self._ended}
        entries = (ENTRY.pack(digest, min(LEFT_MOST, ceil(until - now))) for digest, until in known.items())
        return b64encode(b"".join(entries)).decode()

    def take_over(self, exported: str, now: float) -> None:
        """Learn what another process has exported; ValueError where that is malformed."""
        data = b64decode(exported, validate=True)
        if len(data) % ENTRY.size:
            raise ValueError("the names of streams are cut off")
        for digest, left in ENTRY.iter_unpack(data):
            self._keep(self._elsewhere, digest, now + left)

    def _note(self, name: str) -> None:
        if name.isascii():  # others take six times the bytes in a hand-over, which has a limit
            self.latest.append(name)

    def _keep(self, names: dict[bytes, float], digest: bytes, until: float) -> None:
        if until > names.get(digest, 0.0):
            names[digest] = until
            heappush(self._due, (until, digest))

    def _drop_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            until, digest = heappop(self._due)
            for names in (self._ended, self._elsewhere):
                if names.get(digest) == until:
                    del names[digest]


def _digest(name: str) -> bytes:
    return blake2b(name.encode("utf-8", "surrogatepass"), digest_size=DIGEST).digest()


def pieces(names: list[str], size_most: int) -> Iterator[list[str]]:
    """In parts that fit a line each; what fits none is left out."""
    part, size = list[str](), 0
    for name in names:
        cost = len(name.encode()) * 2 + 16
        if part and size + cost > size_most:
            yield part
            part, size = [], 0
        if cost <= size_most:
            part.append(name)
            size += cost
    if part:
        yield part
