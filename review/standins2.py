"""Stand-ins of the platform for the cases 6 to 10: clients, ticket workers, discovery, and the start of dispatchers.

Standard library only; every address is a loopback address, every time is of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SLACK = 0.05  # s by which each time limit of the rules is longer on sockets (PROTOCOL)
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case


def now() -> float:
    return time.monotonic()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run, in the order of time; written to a case's record.txt."""

    def __init__(self, folder: Path) -> None:
        self.path, self.began, self.lines = folder / "record.txt", now(), list[str]()

    def say(self, text: str, at: float | None = None) -> None:
        self.lines.append(f"{(now() if at is None else at) - self.began:9.4f} {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(sorted(self.lines, key=lambda line: float(line[:9]))) + "\n")


def lane(name: str, effect: str, **more: Any) -> dict[str, Any]:
    """A class of the settings, with the figures of the operators' own deployment."""
    return {
        "name": name,
        "effect": effect,
        "aim": 0.4,
        "giveUp": 5.0,
        "group": "all",
        "lateShare": 0.2,
        "repeatWindow": 7.5,
        "stream": False,
        "worth": 10.0,
        **more,
    }


def settings(lanes: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    """The settings as the WIRE page shows them; keys of `limits`, `rules` and `familyInfo` are merged."""
    made: dict[str, Any] = {
        "balancers": 1,
        "clients": {"marksRetry": True},
        "deductions": {},
        "discovery": "pushed",
        "familyInfo": {
            "classKind": [-1 for _ in lanes],
            "classPriority": [0 for _ in lanes],
            "classStretch": [2.0 for _ in lanes],
            "memoryUnit": "a worker has one unit for each slot",
            "notes": "1 it has started, 2 share done",
            "progress": 0.0,
            "queueOrder": "backfill",
            "reportX0": "free slots",
            "reportX1": "free memory",
            "tellsStart": True,
        },
        "kinds": ["std-3core"],
        "lanes": lanes,
        "limits": {
            "cancelling": True,
            "connIdle": 15.0,
            "connectTimeout": 0.2,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 1000000,
            "maxAttempts": 6,
            "maxOpen": 32977,
            "maxRetryAfter": 2.0,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 1,
        },
        "localities": ["nyabugogo-room"],
        "locality": 0,
        "me": 0,
        "overShareWorth": 0.1,
        "quantum": 0.005,
        "resultMix": {},
        "rules": {
            "askWithin": 10.0,
            "coldFrom": 0.12,
            "graceToAnswer": 0.02,
            "overloadFactor": 4.0,
            "overloadFor": 2.0,
            "stopSendingWithin": 3.0,
            "warmUp": 24.0,
        },
        "stats": {"how": "piggyback", "names": ["x0", "rif", "fail_rate"]},
        "tenants": [{"fraction": 1.0, "name": "ingenzi-coaches", "quotaPerS": 1000.0}],
        "tier": 0,
        "tiers": ["ticket-workers"],
        "weights": "nominal",
        "workload": "jobs",
        "worthBy": "request",
    }
    for key, value in more.items():
        made[key] = {**made[key], **value} if isinstance(value, dict) else value
    return made


async def read_head(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection as a process does that dies."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Arrival:
    """One request as a ticket worker got it."""

    worker: str
    name: str
    key: str
    at: float  # its last byte
    left: float  # s, as the dispatcher tells
    path: str
    writer: asyncio.StreamWriter = field(repr=False)
    ended: str = ""
    applied: bool = False


Serve = Callable[["Worker", Arrival], Awaitable[None]]


class Worker:
    """A ticket worker; `serve` says what it does with a request, and the default serves it at once."""

    def __init__(self, record: Record, name: str, serve: Serve | None = None, cell: int = 0, slots: int = 3) -> None:
        self.record, self.name, self.cell, self.slots, self.serve = record, name, cell, slots, serve or served
        self.port = 0
        self.arrivals: list[Arrival] = []
        self.open: dict[str, Arrival] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.health, self.born = "active", 0

    def line(self) -> dict[str, Any]:
        """Its line in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "nyabugogo-room",
            "class": "std-3core",
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born,
        }

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """The process dies: its connections are reset, and new ones are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    def free(self) -> int:
        return max(0, self.slots - len(self.open))

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers = await read_head(reader)
                await reader.readexactly(int(headers.get(b"content-length", b"0")))
                arrival = Arrival(
                    self.name,
                    headers[b"x-txn"].decode(),
                    headers.get(b"idempotency-key", b"").decode(),
                    now(),
                    int(headers.get(b"x-remaining-ms", b"0")) / 1000,
                    first.split(b" ")[1].decode(),
                    writer,
                )
                self.arrivals.append(arrival)
                self.open[arrival.name] = arrival
                self.record.say(f"worker {self.name} got {arrival.name}, told {arrival.left:.3f} s left", arrival.at)
                try:
                    await self.serve(self, arrival)
                finally:
                    self.open.pop(arrival.name, None)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def head(self, arrival: Arrival) -> None:
        arrival.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await self.say(arrival, state="started")

    async def say(self, arrival: Arrival, **values: Any) -> None:
        text = json.dumps({"id": arrival.name, "from": self.name, **values}).encode() + b"\n"
        arrival.writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        await arrival.writer.drain()

    async def done(self, arrival: Arrival, result: str) -> None:
        self.open.pop(arrival.name, None)
        await self.say(arrival, state="done", result=result, load={"x0": self.free(), "rif": len(self.open)})
        arrival.writer.write(b"0\r\n\r\n")
        await arrival.writer.drain()
        arrival.ended = "done"

    async def turned_away(self, arrival: Arrival) -> None:
        self.open.pop(arrival.name, None)
        arrival.writer.write(b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
        await arrival.writer.drain()
        arrival.ended = "turned away"


async def served(worker: Worker, arrival: Arrival) -> None:
    await worker.head(arrival)
    await asyncio.sleep(0.02)
    await worker.done(arrival, f"{worker.name}:{arrival.name}")


class Discovery:
    """Discovery as the PROTOCOL page has it: whole lists, and watches that tell changes."""

    def __init__(self, record: Record, workers: list[Worker]) -> None:
        self.record, self.workers, self.port = record, workers, 0
        self.seq = 1
        self.changed = {worker.name: 1 for worker in workers}
        self.news = asyncio.Event()
        self.down = False  # calls and watches end in a reset, and new ones are refused
        self.turn = 0.0  # s for which a call waits in turn before it is served
        self.calls = 0
        self.given_up = 0  # calls that their dispatcher did not wait for
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, *workers: Worker) -> None:
        """Their lines have changed."""
        self.seq += 1
        for worker in workers:
            self.changed[worker.name] = self.seq
            self.record.say(f"discovery has {worker.name} {worker.health} at version {self.seq}")
        news, self.news = self.news, asyncio.Event()
        news.set()

    def go_down(self) -> None:
        self.down = True
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        self.record.say("discovery is down")

    async def come_back(self) -> None:
        self.down = False
        await self.start()
        self.record.say("discovery is back")

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, _ = await read_head(reader)
                self.calls += 1
                target = first.split(b" ")[1].decode()
                self.record.say(f"discovery is asked {target}")
                began = now()
                if self.turn:
                    await asyncio.sleep(self.turn)
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                after = int(query["after"]) if "after" in query else None
                if after is not None:
                    until = began + min(60.0, int(query.get("wait_ms", "0")) / 1000)
                    while self.seq <= after and now() < until:
                        try:
                            await asyncio.wait_for(self.news.wait(), until - now())
                        except TimeoutError:
                            break
                if writer.transport.is_closing() or reader.at_eof():
                    self.given_up += 1
                    self.record.say(f"discovery would answer {target}: that call was given up")
                    return
                whole = after is None
                lines = [w.line() for w in self.workers if whole or self.changed[w.name] > (after or 0)]
                if whole:
                    lines = [line for line in lines if line["health"] != "left"]
                body = json.dumps({"seq": self.seq, "whole": whole, "hosts": lines}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                self.record.say(f"discovery told version {self.seq} ({len(lines)} hosts)")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass
class Answer:
    """One request and its answer as a client has it; status 0: the connection ended with none."""

    name: str
    lane: str
    sent: float
    deadline: float
    status: int = 0
    body: bytes = b""
    at: float = 0.0
    unheard: bool = False  # the connection could not be made


class Client:
    """A client: one request at a time on a connection, which it keeps."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record, self.address = record, address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(
        self, name: str, lane: str, wait: float, key: str = "", body: bytes = b"{}", entity: str = "", more: float = 1.0
    ) -> Answer:
        """Send one request and wait for its answer, `more` seconds longer than it says."""
        answer = Answer(name, lane, now(), 0.0)
        try:
            if self.writer is None:
                await self.connect()
            assert self.writer is not None and self.reader is not None
            head = f"POST /{lane} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {name}\r\nX-Lane: {lane}\r\n"
            head += f"X-Org: ingenzi-coaches\r\nX-Remaining-Ms: {int(wait * 1000)}\r\nContent-Length: {len(body)}\r\n"
            head += f"Idempotency-Key: {key}\r\n" if key else ""
            head += f"Cookie: k={entity}\r\n" if entity else ""
            answer.sent = now()
            answer.deadline = answer.sent + wait
            self.writer.write(head.encode() + b"\r\n" + body)
            self.record.say(f"client sent {name} ({lane}), {wait:.3f} s left", answer.sent)
            async with asyncio.timeout(wait + more):
                first, headers = await read_head(self.reader)
                answer.body = await self.reader.readexactly(int(headers.get(b"content-length", b"0")))
                answer.status, answer.at = int(first.split(b" ")[1]), now()
            if headers.get(b"connection", b"").lower() == b"close":
                self.close()
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as problem:
            answer.unheard = answer.deadline == 0.0
            answer.at = now()
            self.record.say(f"client has no answer to {name}: {type(problem).__name__}")
            self.close()
            return answer
        self.record.say(f"client was answered {answer.status} to {name}: {answer.body[:60]!r}", answer.at)
        return answer


class Dispatcher:
    """One dispatcher, started by the deploy file's `run`."""

    def __init__(self, record: Record, folder: Path, name: str, conf: dict[str, Any], folder_of: str = "") -> None:
        self.record, self.name = record, name
        self.folder = folder / name
        self.folder.mkdir()
        self.tmp = folder / (folder_of or f"tmp-{name}")
        self.tmp.mkdir(exist_ok=True)
        self.port = int(str(conf.get("listen", "")).rpartition(":")[2] or free_port())
        self.control = free_port()
        self.conf = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "control": f"127.0.0.1:{self.control}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **conf,
        }
        self.config = self.folder / "config.json"
        self.write_config()
        self.process: subprocess.Popen[bytes] | None = None
        self.log = self.folder / "log.txt"

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    def write_config(self) -> None:
        self.config.write_text(json.dumps(self.conf))

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environ |= {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": str(self.conf["listen"]),
            "PROXY_DISCOVERY": str(self.conf["discovery"]),
            "PROXY_CONTROL": f"127.0.0.1:{self.control}",
            "PROXY_CONFIG": str(self.config),
            "TMPDIR": str(self.tmp),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record.say(f"dispatcher {self.name} started")

    def signal(self, number: int, quiet: bool = False) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
        if not quiet:
            self.record.say(f"dispatcher {self.name} got {signal.Signals(number).name}")

    async def ready(self, within: float = 20.0) -> None:
        """Wait until the front before it would take it in."""
        until = now() + within
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                first, _ = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if b" 200 " in first:
                    self.record.say(f"dispatcher {self.name} is ready")
                    return
            except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"dispatcher {self.name} was not ready in time: {self.tail()}")

    async def call(self, line: str) -> str:
        """An operator's call."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        writer.write(line.encode() + b"\n")
        answer = (await asyncio.wait_for(reader.read(), 1.5)).decode()
        writer.close()
        self.record.say(f"operator said {line!r} to {self.name}: {answer.strip()[:80]!r}")
        return answer

    def tail(self) -> str:
        return self.log.read_text()[-600:] if self.log.exists() else ""

    @property
    def ended(self) -> int | None:
        return None if self.process is None else self.process.poll()

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


class Case:
    """What one case needs: a record, a temporary folder, and the end of all that it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="thistleshore-"))
        self.dispatchers: list[Dispatcher] = []
        self.broken: list[str] = []

    def dispatcher(self, name: str, conf: dict[str, Any], folder_of: str = "") -> Dispatcher:
        made = Dispatcher(self.record, self.folder, name, conf, folder_of)
        self.dispatchers.append(made)
        return made

    def violation(self, text: str) -> None:
        self.broken.append(text)

    def close(self) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder: Path, scenario: Callable[[Case], Awaitable[None]], within: float = 110.0) -> int:
    """Run a scenario; the exit status of its script."""
    case = Case(folder)

    async def run() -> None:
        try:
            await asyncio.wait_for(scenario(case), within)
        finally:
            case.close()
            await asyncio.sleep(0.1)  # connections of processes that have ended are taken down

    try:
        asyncio.run(run())
        status = BROKEN if case.broken else HELD
    except (TimeoutError, CannotRun, OSError) as problem:
        case.record.say(f"the case could not run: {type(problem).__name__}: {problem}")
        status = NOT_RUN
    finally:
        case.close()
    for text in case.broken:
        case.record.say(f"BROKEN: {text}")
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[status]
    case.record.say(f"{verdict} (disruption {'on' if case.trouble else 'off'})")
    case.record.write()
    print(verdict, *case.broken[:5], sep="\n  ", file=sys.stderr)
    return status
