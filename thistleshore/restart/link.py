"""The line between the two processes of a hot restart, while both live."""

from __future__ import annotations

import logging
import socket
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any

import trio

from thistleshore.restart import frame

log = logging.getLogger("thistleshore")

SAY_WITHIN = 0.5  # s for a line to be taken
RECEIVE = 65536  # bytes
UNSAID_MOST = 4 * 1024 * 1024  # bytes that wait for a process that does not read


class Link:
    """One end of the line.  Lines are written in the order in which they are said, each whole."""

    def __init__(self, sock: trio.socket.SocketType, heard: bytes = b"", held: bool = False) -> None:
        self.sock = sock
        self._held = held  # nothing is written until `release`
        # The same open socket once more, for what must not wait.
        self._direct = socket.socket(fileno=socket.dup(sock.fileno()))
        self._lines = frame.Lines()
        self._early = heard  # what has come with the frame
        self._unsaid = bytearray()
        self._to_write = trio.Event()

    def close(self) -> None:
        """Close both."""
        self._direct.close()
        self.sock.close()

    def release(self) -> None:
        """Write what was held, and from now on at once."""
        self._held = False
        self._write()

    def tell(self, **values: Any) -> None:
        """Say one line without waiting: written now as far as the socket takes it, and soon by `run_writer`."""
        if len(self._unsaid) > UNSAID_MOST:
            return  # it has not read for long: whoever does not listen hears nothing
        self._unsaid += frame.said(**values)
        self._write()

    async def say(self, **values: Any) -> None:
        """Say one line and give the other side some time to take it."""
        self.tell(**values)
        with trio.move_on_after(SAY_WITHIN), suppress(OSError, trio.ClosedResourceError):
            while self._unsaid:
                await trio.lowlevel.wait_writable(self.sock)
                self._write()

    async def run_writer(self) -> None:
        """Write on what the socket did not take at once, until cancelled."""
        with suppress(OSError, trio.ClosedResourceError):
            while True:
                await self._to_write.wait()
                self._to_write = trio.Event()
                while self._unsaid:
                    await trio.lowlevel.wait_writable(self.sock)
                    self._write()

    def _write(self) -> None:
        try:
            while self._unsaid and not self._held:
                del self._unsaid[: self._direct.send(self._unsaid, socket.MSG_DONTWAIT)]
        except BlockingIOError:
            self._to_write.set()
        except OSError:
            self._unsaid.clear()  # the other side has gone

    def look_ahead(self) -> list[dict[str, Any]]:
        """What the other side has said by now and `heard` has not come to; it will still say so."""
        try:
            return self._lines.look_ahead(
                self._early + self._direct.recv(RECEIVE, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            )
        except (OSError, frame.Spoilt):
            return []

    async def heard(self) -> AsyncIterator[dict[str, Any]]:
        """What the other says, until it is gone or says what is none."""
        with suppress(OSError, trio.ClosedResourceError, frame.Spoilt):
            data, self._early = self._early, b""
            while data or (data := await self.sock.recv(RECEIVE)):
                found = self._lines.feed(data)
                data = b""
                for values in found:
                    yield values
