"""Clients on open connections: they send until the process is gone, leave early, and try again."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from random import Random

import trio

from benchmarks.soak.nodes import Node
from benchmarks.soak.record import Record, Request
from benchmarks.soak.servers import GONE
from benchmarks.soak.terms import ANSWER_SLACK, Terms

CLASSES = (("search", 0.64), ("issue", 0.3), ("pay", 0.06))  # and their shares of the requests
TRIES_MOST = 4
PATIENCE = ANSWER_SLACK + 0.3  # s beyond its deadline after which a client closes
RESET = struct.pack("ii", 1, 0)


class Client:
    """The clients of one dispatcher."""

    def __init__(self, node: Node, terms: Terms, record: Record, random: Random, leave: float) -> None:
        """`leave`: the share of requests whose client closes early."""
        self.node, self.terms, self.record, self.random, self.leave = node, terms, record, random, leave
        self.rate = 0.0  # first tries a second
        self.connecting = True  # new connections are dealt out to this dispatcher
        self._idle: list[tuple[int, trio.SocketStream]] = []

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.expovariate(self.rate) if self.rate else 0.1)
                if self.rate:
                    nursery.start_soon(self._job)

    async def crowd(self, size: int, seconds: float) -> None:
        """So many connections that say nothing."""
        streams = []
        for _ in range(size):
            with suppress(OSError):
                streams.append(await trio.open_tcp_stream(*self.node.listen))
        await trio.sleep(seconds)
        for stream in streams:
            stream.socket.close()

    async def _job(self) -> None:
        chance, job_class = self.random.random(), CLASSES[-1][0]
        for name, share in CLASSES:
            chance -= share
            if chance < 0.0:
                job_class = name
                break
        key = f"{self.random.getrandbits(128):032x}"
        for number in range(TRIES_MOST):
            request = await self._try(job_class, key, number > 0)
            if request is None or request.status in (0, 200) or request.closed < request.ended:
                return
            if request.status not in (429, 503) and job_class != "search":
                return

    async def _connection(self) -> tuple[trio.SocketStream, bool] | None:
        """A connection and whether it is new; None where there is none to be had."""
        while self._idle:
            life, stream = self._idle.pop()
            if life == self.node.lives and not stream.socket.is_readable():
                return stream, False
            stream.socket.close()
        if not self.connecting:
            return None
        try:
            return await trio.open_tcp_stream(*self.node.listen), True
        except OSError:
            return None

    async def _try(self, job_class: str, key: str, repeat: bool, again: bool = False) -> Request | None:
        found = await self._connection()
        if found is None:
            return None
        stream, fresh = found
        number = ("search", "issue", "pay").index(job_class)
        limit = self.terms.deadlines[number]
        txn = f"{self.random.getrandbits(64):016x}"
        body = b"x" * int(self.random.expovariate(1 / 300))
        head = (f"POST /{job_class} HTTP/1.1\r\nHost: s\r\nX-Txn: {txn}\r\nX-Lane: {job_class}\r\n"
                f"X-Remaining-Ms: {int(limit * 1000)}\r\nContent-Length: {len(body)}\r\n")  # fmt: skip
        head += f"Idempotency-Key: {key}\r\n" * (job_class == "issue") + "X-Resent: 1\r\n" * repeat + "\r\n"
        life = self.node.lives
        try:
            await stream.send_all(head.encode() + body)
        except GONE:
            stream.socket.close()
            return None if fresh or again else await self._try(job_class, key, repeat, again=True)
        now = trio.current_time()
        request = Request(txn, self.node.number, life, job_class, now, now + limit, fresh)
        self.record.requests.append(request)
        early = self.random.random() < self.leave
        until = now + (self.random.uniform(0.005, 1.0) if early else limit + PATIENCE)
        whole = False
        with trio.move_on_at(until) as scope:
            whole = await self._answer(stream, request)
        if scope.cancelled_caught:
            if self.random.random() < 0.5:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            stream.socket.close()
            request.closed = trio.current_time()
            return request
        request.ended = trio.current_time()
        if whole:
            self._idle.append((life, stream))
        else:
            stream.socket.close()
        return request

    async def _answer(self, stream: trio.SocketStream, request: Request) -> bool:
        """Read the answer; whether the connection goes on."""
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some(65536)
                if not part:
                    return False
                data += part
            head, _, body = data.partition(b"\r\n\r\n")
            fields = {name.lower(): value.strip() for name, _, value in
                      (line.partition(b":") for line in head.split(b"\r\n")[1:])}  # fmt: skip
            while len(body) < int(fields[b"content-length"]):
                part = await stream.receive_some(65536)
                if not part:
                    return False
                body += part
        except GONE:
            return False
        request.status = int(head.split(b" ")[1])
        if request.status == 200 and body != request.txn.encode():
            request.status = -1  # an answer that no server made for it
        return fields.get(b"connection", b"") != b"close"
