"""Clients, hosts and discovery of both protocols on loopback, playing one script."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import replace
from typing import Any, NamedTuple

import trio

from tests.support import Lines, free_port, read_all
from thistleshore import config
from thistleshore.dispatcher import serve

HOSTS = {"h1": 1, "h2": 1, "h3": 2, "h4": 2}  # and their bays: each has a second host to repeat at
DEADLINE = 3.0
BASE = {"team": "counters", "service": "ticketing", "deadline": DEADLINE, "rate": 1000.0, "aim": 0.4}
CONTRACTS = (
    {**BASE, "class": "seat-search", "effect": "safe", "attempts": 3},
    {**BASE, "class": "ticket-issue", "effect": "keyed", "window": 2.0, "attempts": 3},
    {**BASE, "class": "pay-out", "effect": "unsafe", "attempts": 3},
)


class Told(NamedTuple):
    """A final answer as the client had it."""

    kind: str
    result: bytes = b""
    retry_after: float = 0.0


class World:
    """One dispatcher, its hosts and its clients; a protocol fills in how they talk."""

    front = ""

    def __init__(self, steps: Sequence[str] = ("serve",)) -> None:
        self.steps = steps  # what hosts do with a job, run by run; the last goes on
        self.runs: dict[bytes, list[tuple[str, float]]] = defaultdict(list)  # by job: host and time
        self.port = free_port()
        self.drain = trio.Event()
        self.rereads = trio.open_memory_channel[config.Plan | None](9)
        self.ended = 0.0  # when the dispatcher had ended

    def step(self, host: str, job: bytes) -> str:
        self.runs[job].append((host, trio.current_time()))
        return self.steps[min(len(self.runs[job]), len(self.steps)) - 1]

    def file(self) -> dict[str, Any]:
        key = {"beanstalkd": "tube", "http": "path"}[self.front]
        slash = "/" if key == "path" else ""
        contracts = [{**contract, key: f"{slash}{contract['class']}"} for contract in CONTRACTS]
        return {
            self.front: {"listen": f"127.0.0.1:{self.port}"},
            "service": [{"name": "ticketing"}],
            "contract": contracts,
            "host": self.hosts(),
        }

    def hosts(self) -> list[dict[str, Any]]:
        raise NotImplementedError

    async def start(self, nursery: trio.Nursery) -> None:
        raise NotImplementedError

    async def submit(self, job_class: str, job: bytes) -> Told:
        raise NotImplementedError

    async def drain_host(self, host: str) -> None:
        raise NotImplementedError

    async def dispatcher(self, task_status: trio.TaskStatus[None]) -> None:
        await serve(self.plan(), self.drain, task_status, self.rereads[1])
        self.ended = trio.current_time()

    def plan(self) -> config.Plan:
        return replace(config.operator_plan(self.file(), 0.0), seed=7)

    async def run(self, scenario: Any) -> Any:
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as program:
                await program.start(self.dispatcher)
                await self.start(nursery)
                await trio.sleep(0.5)
                found = await scenario(self)
                self.drain.set()
            nursery.cancel_scope.cancel()
        return found


class Http(World):
    front = "http"

    def __init__(self, steps: Sequence[str] = ("serve",)) -> None:
        super().__init__(steps)
        self.ports = {name: free_port() for name in (*HOSTS, "discovery")}
        self.health = dict.fromkeys(HOSTS, "active")
        self.seq, self.changed = 1, trio.Event()
        self.deaf = 0  # so many calls of a watch are never answered
        self.numbers = iter(range(1, 10**6))

    def file(self) -> dict[str, Any]:
        return {**super().file(), "discovery": {"address": f"127.0.0.1:{self.ports['discovery']}"}}

    def hosts(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "service": "ticketing", "bay": bay, "address": f"127.0.0.1:{self.ports[name]}"}
            for name, bay in HOSTS.items()
        ]

    async def start(self, nursery: trio.Nursery) -> None:
        for name in HOSTS:
            await nursery.start(self._listen, name, self._host)
        await nursery.start(self._listen, "discovery", self._discovery)

    async def _listen(self, name: str, handler: Any, task_status: trio.TaskStatus[Any]) -> None:
        async def handle(stream: trio.SocketStream) -> None:
            try:
                while await handler(name, stream, Lines(stream)):
                    pass
            except (EOFError, trio.BrokenResourceError):
                pass

        await trio.serve_tcp(handle, self.ports[name], host="127.0.0.1", task_status=task_status)

    async def _host(self, name: str, stream: trio.SocketStream, lines: Lines) -> bool:
        _, headers = await lines.head()
        job = await lines.exactly(int(headers[b"content-length"]))
        step, txn = self.step(name, job), headers[b"x-txn"].decode()
        await trio.sleep(1.0 if step == "slow" else 0.1)
        if step == "hang":
            await trio.sleep_forever()
        if step == "drop":
            return False
        end = {"state": "failed"} if step == "fail" else {"state": "done", "result": "R" + job.decode()}
        text = json.dumps({"id": txn, **end}).encode() + b"\n"
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        return True

    async def _discovery(self, _: str, stream: trio.SocketStream, lines: Lines) -> bool:
        first, _ = await lines.head()
        if self.deaf and b"after=" in first:
            self.deaf -= 1
            await trio.sleep_forever()
        with trio.move_on_after(5.0):
            while f"after={self.seq}&".encode() in first:
                await self.changed.wait()
        hosts = [
            {
                "host": name,
                "dial": f"127.0.0.1:{self.ports[name]}",
                "class": "ticketing",
                "block": bay,
                "health": self.health[name],
            }
            for name, bay in HOSTS.items()
        ]
        text = json.dumps({"seq": self.seq, "whole": True, "hosts": hosts}).encode()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        return True

    async def drain_host(self, host: str) -> None:
        self.tell(host, "leaving")

    def tell(self, host: str, health: str) -> None:
        """The list says so from now on."""
        self.health[host] = health
        self.seq += 1
        self.changed.set()
        self.changed = trio.Event()

    async def submit(self, job_class: str, job: bytes) -> Told:
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        async with stream:
            lines = Lines(stream)
            head = b"POST /%s HTTP/1.1\r\nHost: s\r\nX-Txn: %x\r\nX-Remaining-Ms: %d\r\nContent-Length: %d\r\n\r\n"
            await stream.send_all(head % (job_class.encode(), next(self.numbers), DEADLINE * 1000, len(job)) + job)
            first, headers = await lines.head()
            body = await lines.exactly(int(headers[b"content-length"]))
        kind = {b"200": "served", b"503": "refused"}.get(first.split()[1], "failed")
        return Told(kind, body if kind == "served" else b"", float(headers.get(b"retry-after", 0)))

    async def ask_until_closed(self) -> list[tuple[float, bytes]]:
        """Ask on a kept connection until it is closed; when each answer came, s from now on, and its first line."""
        lines, begun = Lines(await trio.open_tcp_stream("127.0.0.1", self.port)), trio.current_time()
        found = list[tuple[float, bytes]]()
        while True:
            head = b"POST /seat-search HTTP/1.1\r\nHost: s\r\nX-Txn: kept-%x\r\nContent-Length: 1\r\n\r\n"
            try:
                await lines.stream.send_all(head % len(found) + b"x")
                first, headers = await lines.head()
            except (EOFError, trio.BrokenResourceError):
                return found
            found.append((trio.current_time() - begun, first))
            await lines.exactly(int(headers[b"content-length"]))
            await trio.sleep(0.1)


class Platform(Http):
    """The same by the platform's file, with an admin interface."""

    def __init__(self, steps: Sequence[str] = ("serve",)) -> None:
        super().__init__(steps)
        self.admin = free_port()
        self.lanes = [
            {
                "name": contract["class"],
                "aim": 0.4,
                "giveUp": DEADLINE,
                "group": "cell",
                "worth": 1.0,
                "effect": {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}[contract["effect"]],
                "repeatWindow": contract.get("window", 0.0),
            }
            for contract in CONTRACTS
        ]
        self.attempts = 3
        self.kinds = ["ticketing"]  # that the settings name; it is the kind of all hosts

    def conf(self) -> dict[str, Any]:
        settings = {
            "balancers": 1,
            "quantum": 0.005,
            "localities": ["a"],
            "kinds": self.kinds,
            "rules": {},
            "lanes": self.lanes,
            "tenants": [],
            "limits": {
                "maxAttempts": self.attempts,
                "connectTimeout": 0.2,
                "connIdle": 15.0,
                "retryAfter": True,
                "maxRetryAfter": 2.0,
            },
        }
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "control": f"127.0.0.1:{self.admin}",
            "seed": 7,
            "discovery": f"127.0.0.1:{self.ports['discovery']}",
            "settings": settings,
        }

    def plan(self) -> config.Plan:
        return config.platform_plan(json.loads(json.dumps(self.conf())), {}, 0.0)

    async def reread(self, before: config.Plan) -> config.Plan:
        found = config.platform_plan(json.loads(json.dumps(self.conf())), {}, 0.0, before)
        await self.rereads[0].send(found)
        await trio.sleep(0.1)
        return found

    async def call(self, line: bytes) -> bytes:
        """One call of an operator: its whole answer."""
        async with await trio.open_tcp_stream("127.0.0.1", self.admin) as stream:
            await stream.send_all(line + b"\n")
            return await read_all(stream)


class Beanstalkd(World):
    front = "beanstalkd"
    SESSIONS = 3  # connections of each host

    def hosts(self) -> list[dict[str, Any]]:
        return [{"name": name, "service": "ticketing", "bay": bay} for name, bay in HOSTS.items()]

    async def start(self, nursery: trio.Nursery) -> None:
        self.leaving: set[str] = set()
        for name in HOSTS:
            for _ in range(self.SESSIONS):
                nursery.start_soon(self._worker, name)

    async def connect(self) -> Lines:
        return Lines(await trio.open_tcp_stream("127.0.0.1", self.port))

    @staticmethod
    async def say(lines: Lines, *commands: bytes) -> bytes:
        """Send commands one by one; returns the last reply."""
        reply = b""
        for command in commands:
            await lines.stream.send_all(command + b"\r\n")
            reply = await lines.line()
        return reply

    async def _worker(self, name: str) -> None:
        while True:
            try:
                lines = await self.connect()
                async with lines.stream:
                    await self._work(name, lines)
            except (EOFError, OSError, trio.BrokenResourceError):
                await trio.sleep(0.05)

    async def _work(self, name: str, lines: Lines) -> None:
        await self.say(lines, b"watch worker." + name.encode())
        while True:
            if name in self.leaving:
                await self.say(lines, b"ignore worker." + name.encode())
                await trio.sleep_forever()
            reply = await self.say(lines, b"reserve-with-timeout 1")
            if not reply.startswith(b"RESERVED"):
                continue
            _, number, size = reply.split()
            job = (await lines.exactly(int(size) + 2))[:-2]
            step = self.step(name, job)
            await trio.sleep(1.0 if step == "slow" else 0.1)
            if step == "hang":
                await trio.sleep_forever()
            if step == "drop":
                return
            if step == "fail":
                await self.say(lines, b"bury %s 0" % number)
                continue
            if step == "lapse":  # it goes on working past its time, and says so late
                await trio.sleep(1.5)
            await self.say(lines, b"use reply." + number, b"put 0 0 9 %d\r\nR%s" % (len(job) + 1, job))
            self.late = await self.say(lines, b"delete " + number)

    async def drain_host(self, host: str) -> None:
        self.leaving.add(host)
        await trio.sleep(1.2)  # its reserves come round

    async def submit(self, job_class: str, job: bytes, ttr: int = 60) -> Told:
        lines = await self.connect()
        async with lines.stream:
            reply = await self.say(lines, b"use " + job_class.encode(), b"put 0 0 %d %d\r\n%s" % (ttr, len(job), job))
            if not reply.startswith(b"INSERTED"):
                return Told(reply.decode())
            reply = await self.say(lines, b"watch reply." + reply.split()[1], b"reserve-with-timeout 60")
            _, number, size = reply.split()
            head, _, result = (await lines.exactly(int(size) + 2))[:-2].partition(b"\n")
            await self.say(lines, b"delete " + number)
        kind, _, more = head.decode().partition(" ")
        return Told(kind, result, float(more) if kind == "refused" else 0.0)
