"""Stand-in ticket workers with a ledger: what reaches each one, from which dispatcher, whatever becomes of it."""

from __future__ import annotations

import json
import socket
import struct
from contextlib import suppress
from itertools import count
from random import Random

import trio

from benchmarks.soak.record import Arrival, Record, Start
from benchmarks.soak.terms import CORES, SLOTS, WORK_FIXED, WORK_MEAN, Terms

QUEUE_MOST = 30  # jobs that wait at one server; beyond that it turns away
STEP = 0.02  # s between two looks at how far a job has come
NO_LINGER = struct.pack("ii", 1, 0)  # closing resets the connection
GONE = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


def node_host(node: int) -> str:
    """The loopback address at which a dispatcher, and nobody else, reaches the others."""
    return f"127.0.1.{node + 1}"


class Server:
    """One server through all its processes."""

    def __init__(self, name: str, bay: int, port: int, terms: Terms, record: Record, random: Random) -> None:
        self.name, self.bay, self.port, self.terms, self.record, self.random = name, bay, port, terms, record, random
        self.started_at = 0.0  # 0: long ago
        self.runs = False
        self.reset_share = self.full_share = 0.0  # of the requests, by chance
        self.reset_after = 0.003  # s
        self.accept_late = 0.0  # s by which the first request of a connection is taken up later
        self._running = self._waiting = 0
        self._scope = trio.CancelScope()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """One process, until `kill`; a connection of an earlier one is reset, and new ones are refused."""
        listeners = []
        for node in range(self.terms.nodes):
            listeners += await trio.open_tcp_listeners(self.port, host=node_host(node))
        self._running = self._waiting = 0
        self.runs = True
        task_status.started()
        with trio.CancelScope() as self._scope:
            await trio.serve_listeners(self._connection, listeners)
        self.runs = False

    def kill(self) -> None:
        self._scope.cancel()
        self.runs = False

    def restarted(self) -> None:
        """The process that runs now has just started."""
        self.started_at = trio.current_time()
        self.record.starts.append(Start(self.started_at, self.name))

    async def _connection(self, stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        node = int(stream.socket.getsockname()[0].rpartition(".")[2]) - 1
        data = b""
        try:
            late = self.accept_late * self.random.random()
            while True:
                while b"\r\n\r\n" not in data:
                    data += await _more(stream)
                head, _, data = data.partition(b"\r\n\r\n")
                headers = {name.lower(): value.strip() for name, _, value in
                           (line.partition(b":") for line in head.split(b"\r\n")[1:])}  # fmt: skip
                size = int(headers.get(b"content-length", b"0"))
                while len(data) < size:
                    data += await _more(stream)
                data = data[size:]
                txn, remaining = headers[b"x-txn"].decode(), int(headers[b"x-remaining-ms"]) / 1000
                await self._request(stream, node, txn, remaining, late)
                late = 0.0
        except GONE:
            pass
        finally:
            with suppress(OSError):
                stream.socket.close()

    async def _request(self, stream: trio.SocketStream, node: int, txn: str, remaining: float, late: float) -> None:
        work = WORK_FIXED + Random(txn).expovariate(1 / WORK_MEAN)
        arrival = Arrival(trio.current_time(), self.name, node, txn, remaining, work)
        self.record.arrivals.append(arrival)
        await trio.sleep(late)
        chance = self.random.random()
        if chance < self.reset_share:
            await trio.sleep(self.reset_after)
            raise trio.BrokenResourceError
        if chance < self.reset_share + self.full_share or self._waiting >= QUEUE_MOST:
            await stream.send_all(b"HTTP/1.1 503 S\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            return
        arrival.ran = True
        await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._waiting += 1
        try:
            while self._running >= SLOTS:
                await trio.sleep(STEP)
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await _line(stream, {"id": txn, "state": "started"})
            await self._work(work)
        finally:
            self._running -= 1
        load = {"x0": SLOTS - self._running, "rif": self._running + self._waiting, "fail_rate": 0}
        await _line(stream, {"id": txn, "state": "done", "result": txn, "load": load})
        await stream.send_all(b"0\r\n\r\n")

    async def _work(self, left: float) -> None:
        before = trio.current_time()
        while left > 0.0:
            await trio.sleep(min(STEP, left))
            now = trio.current_time()
            warmth = self.terms.warmth(now - self.started_at) if self.started_at else 1.0
            left -= (now - before) * min(1.0, CORES * warmth / max(1, self._running))
            before = now


async def _more(stream: trio.SocketStream) -> bytes:
    part = await stream.receive_some(65536)
    if not part:
        raise trio.BrokenResourceError
    return bytes(part)


async def _line(stream: trio.SocketStream, said: dict[str, object]) -> None:
    text = json.dumps(said).encode() + b"\n"
    await stream.send_all(b"%x\r\n%s\r\n" % (len(text), text))


class Ids:
    """Names of servers, new ones for replacements."""

    def __init__(self, random: Random) -> None:
        self._random, self._numbers = random, count(1)

    def draw(self) -> str:
        return f"s-{self._random.getrandbits(24):06x}{next(self._numbers):02x}"
