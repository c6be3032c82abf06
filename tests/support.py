"""What the tests of sockets and parsers share: cut input, mock time, and stand-ins on loopback."""

from __future__ import annotations

import os
import re
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

from thistleshore import config
from thistleshore.rig.ports import free_ports

ROOT = Path(__file__).parent.parent
GARBAGE = st.binary(max_size=400)
PAUSE = b""  # among parts to send: wait for what they bring about
CUTS = st.lists(st.integers(0, 2000), max_size=6)
steady = settings(derandomize=True, max_examples=50, deadline=None, database=None,
                  suppress_health_check=list(HealthCheck))  # fmt: skip


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    """The same bytes, cut at the given places."""
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


def play(scenario: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run it on mock time, which jumps on once nothing has moved on loopback for a moment."""
    return trio.run(scenario, *args, clock=trio.testing.MockClock(autojump_threshold=0.02))


def refused(text: str, old: str, new: str, fault: str, file: Path) -> None:
    """An operator's file with that change is refused, and the fault is named."""
    assert old in text
    file.write_text(text.replace(old, new))
    with pytest.raises(config.ConfigError, match=re.escape(fault)):
        config.operator_file(str(file), 0.0)


@contextmanager
def program(environ: dict[str, str], port: int, descriptors: int = 0) -> Iterator[subprocess.Popen[bytes]]:
    """The real program in a release build, on real time, once it listens; `descriptors`: no more of them."""
    command = [sys.executable, "-O", "-m", "thistleshore"]
    if descriptors:
        command = ["/bin/sh", "-c", f'ulimit -n {descriptors}; exec "$@"', "sh", *command]
    started = subprocess.Popen(command, env={**os.environ, **environ}, cwd=ROOT, stderr=subprocess.PIPE)
    try:
        for _ in range(100):
            try:
                socket.create_connection(("127.0.0.1", port)).close()
                break
            except OSError:
                time.sleep(0.1)
        yield started
    finally:
        started.kill()
        started.communicate()


def free_port() -> int:
    """One that nobody has now; the next one drawn is another."""
    return free_ports(1)[0]


def socket_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    ends = socket.socketpair()
    ours, theirs = (trio.SocketStream(trio.socket.from_stdlib_socket(end)) for end in ends)
    return ours, theirs


async def listening(nursery: trio.Nursery, handle: Any) -> int:
    (listener,) = await nursery.start(partial(trio.serve_tcp, handle, 0, host="127.0.0.1"))
    return int(listener.socket.getsockname()[1])


def end(stream: trio.SocketStream, how: str) -> None:
    """Close it at once: by FIN, or by RST where `how` says so."""
    if how == "RST":
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def read_all(stream: trio.SocketStream) -> bytes:
    parts = []
    try:
        while part := await stream.receive_some(65536):
            parts.append(part)
    except trio.BrokenResourceError:
        pass
    return b"".join(parts)


async def talk(handler: Callable[[trio.SocketStream], Awaitable[None]], parts: list[bytes]) -> bytes:
    """Send the parts one by one to a connection's handler, then end; returns all that it said."""
    ours, theirs = socket_pair()
    async with trio.open_nursery() as nursery:

        async def handle() -> None:
            try:
                await handler(theirs)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass  # what the gate does about a broken connection
            finally:
                theirs.socket.close()

        async def say() -> None:
            try:
                for part in parts:
                    await ours.send_all(part)
                    await trio.sleep(0 if part else 0.5)
                await trio.sleep(1)
                await ours.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass

        nursery.start_soon(handle)
        nursery.start_soon(say)
        said = await read_all(ours)
    ours.socket.close()
    return said


class Lines:
    """A connection that is read by lines and by counts, as a stand-in reads it."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.held = stream, b""

    async def line(self) -> bytes:
        while b"\r\n" not in self.held:
            await self._more()
        found, _, self.held = self.held.partition(b"\r\n")
        return found

    async def exactly(self, size: int) -> bytes:
        while len(self.held) < size:
            await self._more()
        found, self.held = self.held[:size], self.held[size:]
        return found

    async def _more(self) -> None:
        data = await self.stream.receive_some(65536)
        if not data:
            raise EOFError
        self.held += data

    async def head(self) -> tuple[bytes, dict[bytes, bytes]]:
        first, headers = await self.line(), {}
        while text := await self.line():
            name, _, value = text.partition(b":")
            headers[name.lower()] = value.strip()
        return first, headers


def commands(parts: list[bytes], decoder: Any) -> Iterator[Any]:
    """All that a codec makes of the parts."""
    for part in parts:
        decoder.feed(part)
        while (found := decoder.next()) is not None:
            yield found
