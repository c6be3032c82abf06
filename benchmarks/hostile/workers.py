"""Stand-in ticket workers that serve what they get, and write down when each request came."""

from __future__ import annotations

import json
from collections import defaultdict
from contextlib import suppress

import trio

RUN_TIME = 0.02  # s
HELD_RUN_TIME = 3.0  # s, of requests whose name begins with HELD
HELD = "held"
BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, EOFError)

Arrivals = dict[str, list[float]]  # by the name of a request: when its last byte came, at any worker


class Reader:
    """Reads a connection by lines and by counts."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self._held = stream, bytearray()

    async def _more(self) -> None:
        data = await self.stream.receive_some(65536)
        if not data:
            raise EOFError
        self._held += data

    async def line(self) -> bytes:
        while (end := self._held.find(b"\r\n")) < 0:
            await self._more()
        found = bytes(self._held[:end])
        del self._held[: end + 2]
        return found

    async def exactly(self, size: int) -> bytes:
        while len(self._held) < size:
            await self._more()
        found = bytes(self._held[:size])
        del self._held[:size]
        return found

    def take_held(self) -> bytes:
        """What was received and not asked for yet."""
        found = bytes(self._held)
        self._held.clear()
        return found

    async def head(self) -> tuple[bytes, dict[bytes, bytes]]:
        """The first line, and the header fields by their names in small letters."""
        first, fields = await self.line(), dict[bytes, bytes]()
        while text := await self.line():
            name, _, value = text.partition(b":")
            fields[name.lower()] = value.strip()
        return first, fields


class Workers:
    """Some ticket workers of the platform, each in a bay of its own."""

    def __init__(self, count: int) -> None:
        self.arrivals: Arrivals = defaultdict(list)
        self.ports: list[int] = []
        self._count = count

    async def start(self, nursery: trio.Nursery) -> None:
        for _ in range(self._count):
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=512)
            self.ports.append(listener.socket.getsockname()[1])
            nursery.start_soon(trio.serve_listeners, self._connection, [listener])

    def lines(self) -> list[dict[str, object]]:
        """Their lines in discovery's list."""
        return [
            {"host": f"w{n}", "dial": f"127.0.0.1:{port}", "site": "room", "class": "std", "block": n + 1,
             "health": "active", "share": 1.0, "born_ms": 0}
            for n, port in enumerate(self.ports)
        ]  # fmt: skip

    async def _connection(self, stream: trio.SocketStream) -> None:
        reader = Reader(stream)
        with suppress(*BROKEN):
            while True:
                _, fields = await reader.head()
                await reader.exactly(int(fields[b"content-length"]))
                name = fields[b"x-txn"].decode()
                self.arrivals[name].append(trio.current_time())
                await trio.sleep(HELD_RUN_TIME if name.startswith(HELD) else RUN_TIME)
                said = {"id": name, "state": "done", "result": name, "load": {"x0": 50, "rif": 1}}
                text = json.dumps(said).encode() + b"\n"
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        stream.socket.close()


class TubeWorkers:
    """Workers that speak beanstalkd's protocol; a job's name is its body up to the first space."""

    SESSIONS = 16  # connections of each

    def __init__(self, names: tuple[str, ...], port: int) -> None:
        self.arrivals: Arrivals = defaultdict(list)
        self._names, self._port = names, port

    async def start(self, nursery: trio.Nursery) -> None:
        for name in self._names:
            for _ in range(self.SESSIONS):
                nursery.start_soon(self._session, name)

    async def _session(self, name: str) -> None:
        while True:
            with suppress(*BROKEN):
                stream = await trio.open_tcp_stream("127.0.0.1", self._port)
                async with stream:
                    await self._work(name, Reader(stream))
            await trio.sleep(0.1)

    async def _work(self, name: str, reader: Reader) -> None:
        stream = reader.stream
        await stream.send_all(b"watch worker.%s\r\n" % name.encode())
        await reader.line()
        while True:
            await stream.send_all(b"reserve\r\n")
            _, number, size = (await reader.line()).split()
            body = (await reader.exactly(int(size) + 2))[:-2]
            job = body.split(b" ")[0].decode()
            self.arrivals[job].append(trio.current_time())
            await trio.sleep(HELD_RUN_TIME if job.startswith(HELD) else RUN_TIME)
            result = job.encode()
            await stream.send_all(
                b"use reply.%s\r\nput 0 0 9 %d\r\n%s\r\ndelete %s\r\n" % (number, len(result), result, number)
            )
            for _ in range(3):
                await reader.line()
