"""One HTTP connection, with bounds on what the other side may make it cost."""

from __future__ import annotations

import re
from typing import Any

import h11
import trio

from thistleshore.platform.messages import HEAD_MOST, Malformed, Rejected, has_too_many_fields, header

RECEIVE = 16 * 1024  # bytes read at a time: many connections must fit the memory
EVENTS_AT_ONCE = 32  # events taken without a wait before other connections have their turn
LAST_CHUNK = re.compile(rb"(?:\r?\n)?0+[ \t]*(?:;[^\n]*)?\r?\n")


class Peer:
    """h11's state and the socket under it."""

    def __init__(self, socket: trio.SocketStream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.socket = socket
        # A head without end would fill the memory: h11 gives up on it at this size.
        self.http = h11.Connection(role, max_incomplete_event_size=HEAD_MOST)
        self.address = 0  # of a client, where an operator's rules may ask for it
        self.head = b""  # what has come while a head was awaited: h11 does not show how it was framed
        self._serves = role is h11.SERVER
        self._events = 0  # taken since the last wait for bytes
        self._chunked = False  # the message that is read has a body in chunks
        self._between_chunks = False
        self._in_trailers = False

    async def event(self) -> Any:
        """h11's next event; at the end of input ConnectionClosed or h11.RemoteProtocolError.

        Rejected (of a client) or Malformed (of a host) where a head or trailers have too many lines.
        """
        if self._events >= EVENTS_AT_ONCE:
            self._events = 0
            await trio.lowlevel.checkpoint()
        while True:
            self._check_trailers()
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                break
            self._events = 0
            self.feed(await self.socket.receive_some(RECEIVE))
        self._events += 1
        self._follow_framing(event)
        return event

    def feed(self, data: bytes) -> None:
        """Hand received bytes to h11."""
        if self.http.their_state is (h11.IDLE if self._serves else h11.SEND_RESPONSE):
            self.head += data
            self._check_fields(self.head)
        self.http.receive_data(data)

    def _check_fields(self, text: bytes) -> None:
        """Before it is parsed: each line would take some 200 bytes, and some microseconds in one step."""
        if has_too_many_fields(text):
            reason = "too many header fields"
            raise Rejected(431, reason) if self._serves else Malformed(reason)

    def _check_trailers(self) -> None:
        """Trailers are parsed as a head is, and h11 bounds only what it still waits for."""
        if self._chunked and self._between_chunks:
            unread = self.http.trailing_data[0]
            self._in_trailers = self._in_trailers or LAST_CHUNK.match(unread) is not None
            if self._in_trailers:
                self._check_fields(unread)

    def _follow_framing(self, event: Any) -> None:
        if isinstance(event, h11.Request | h11.Response):
            self._chunked = header(event.headers, b"transfer-encoding") is not None
            self._between_chunks, self._in_trailers = True, False
        elif isinstance(event, h11.Data):
            self._between_chunks = event.chunk_end
        if isinstance(event, h11.InformationalResponse | h11.Response):
            self.head = b""

    def encode(self, *events: h11.Event) -> bytes:
        """The bytes of these events, which count as sent from now on."""
        return b"".join(self.http.send(event) or b"" for event in events)

    async def send(self, *events: h11.Event) -> None:
        """Write these events whole."""
        await self.socket.send_all(self.encode(*events))

    @property
    def answerable(self) -> bool:
        """Whether an answer may still be written."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def reusable(self) -> bool:
        """Both sides have said all of one message, and neither has asked for an end."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def stirs(self) -> bool:
        """Is there anything to be read: bytes, an end or a reset?  Nothing is read, and nothing waits."""
        return self.socket.socket.fileno() < 0 or self.socket.socket.is_readable()

    def close(self) -> None:
        """Close at once, without a wait: the other side may be silent."""
        self.socket.socket.close()
