"""Connections of hostile clients, at the process of an upgrade that a play asks for."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress

import trio

from benchmarks.hostile.dispatchers import Site
from benchmarks.hostile.usual import http_answer
from benchmarks.hostile.workers import Reader

NO_LINGER = struct.pack("ii", 1, 0)  # closing resets the connection


class Connections:
    """Opens connections; those that were opened before an upgrade are used first."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.kept: list[Reader] = []  # at the process before
        self.sent = 0  # requests of a flood

    async def keep(self, count: int) -> None:
        """Open so many connections now, each with one small request behind it, as kept ones have."""
        for _ in range(count):
            reader = Reader(await trio.open_tcp_stream("127.0.0.1", self.site.port))
            await reader.stream.send_all(b"GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
            await http_answer(reader)
            self.kept.append(reader)

    async def open(self) -> Reader:
        """One at the process before where one is left, else at the process that accepts."""
        return self.kept.pop() if self.kept else await self.open_new()

    async def open_new(self) -> Reader:
        """One at the process that accepts."""
        return Reader(await trio.open_tcp_stream("127.0.0.1", self.site.port))


def unread(reader: Reader) -> bytes:
    """What has come by now and was not read; it is taken out of the connection, and nothing waits."""
    found = b""
    with socket.socket(fileno=os.dup(reader.stream.socket.fileno())) as direct, suppress(BlockingIOError):
        while data := direct.recv(65536, socket.MSG_DONTWAIT):
            found += data
    return found


def close(reader: Reader, reset: bool) -> float:
    """Close at once, by RST or by FIN; returns when."""
    if reset:
        reader.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    reader.stream.socket.close()
    return trio.current_time()
