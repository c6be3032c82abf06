"""Whether the client of a job has been told that it is taken, before it closed."""

from __future__ import annotations

from collections import deque

import trio

from thistleshore.core.model import Stream
from thistleshore.sockets import undelivered, was_reset


class Receipt:
    """The `INSERTED` of one job, as a place among the bytes that are written to its client's connection."""

    def __init__(self, receipts: Receipts) -> None:
        self._receipts = receipts
        self.end: int | None = None  # None: not written yet

    @property
    def lost(self) -> bool:
        """Whether the client had closed before it could be told; its machine answers the `INSERTED` with a reset."""
        told = self.end is not None and self._receipts.delivered >= self.end
        return not told and was_reset(self._receipts.socket)


class Receipts:
    """All of one connection, as long as they are not known to have arrived."""

    def __init__(self, socket: trio.SocketStream) -> None:
        self.socket = socket
        self.written = 0  # bytes, since the connection began
        self._waiting = deque[tuple[Stream, Receipt]]()

    @property
    def delivered(self) -> int:
        """How many of the bytes have arrived at the other machine."""
        return self.written - undelivered(self.socket)

    def expect(self, stream: Stream, receipt: Receipt, reply: bytes) -> None:
        """The reply that is written next tells the client that this stream's job is taken."""
        receipt.end = self.written + len(reply)
        delivered = self.delivered
        while self._waiting and (self._waiting[0][1].end or 0) <= delivered:
            self._waiting.popleft()
        self._waiting.append((stream, receipt))

    def lost_streams(self) -> list[Stream]:
        """Streams whose clients were never told of them; to be asked before the connection is closed here."""
        return [stream for stream, receipt in self._waiting if not stream.over and receipt.lost]
