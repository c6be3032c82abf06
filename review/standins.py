"""Stand-ins for the platform of the review's cases: ticket workers, discovery, clients, and one dispatcher process.

Standard library only.  Each does what PROTOCOL and DEPLOY say of a sound one, on loopback and the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played: no verdict."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.begun = time.monotonic()
        self.file = path.open("w", buffering=1)

    def now(self) -> float:
        return time.monotonic() - self.begun

    def say(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")


def free_port() -> int:
    with socket.socket() as taken:
        taken.bind((HOST, 0))
        return int(taken.getsockname()[1])


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One HTTP message: its first line, its headers and its body; EOFError where the other side has ended."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


ENDED = (asyncio.IncompleteReadError, ConnectionError, OSError, EOFError)


class Worker:
    """A ticket worker: takes a job once its last byte has come, runs it for `run` seconds, and answers in lines."""

    def __init__(self, name: str, record: Record, run: float) -> None:
        self.name, self.record, self.run_time = name, record, run
        self.port = free_port()
        self.jobs: list[tuple[float, str]] = []  # when each job's last byte came, and its id

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, headers, body = await read_message(reader)
                txn = headers.get("x-txn", "")
                self.jobs.append((self.record.now(), txn))
                self.record.say(f"run      {self.name} {txn} told {headers.get('x-remaining-ms')} ms")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._line(writer, {"id": txn, "from": self.name, "state": "started"})
                await asyncio.sleep(self.run_time)
                load = {"x0": 8.0, "inflight": 0, "eps": 0.0}
                done = {"id": txn, "from": self.name, "state": "done", "result": f"for {body.decode()}", "load": load}
                self._line(writer, done)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (*ENDED, asyncio.CancelledError):  # cancelled only as the case ends
            pass
        finally:
            writer.close()

    @staticmethod
    def _line(writer: asyncio.StreamWriter, value: dict[str, Any]) -> None:
        text = json.dumps(value).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))


class Discovery:
    """The agent of the dispatcher's machine: the whole list, and watches on what changes."""

    def __init__(self, workers: list[Worker], record: Record) -> None:
        self.workers, self.record, self.port = workers, record, free_port()
        self.seq = 1

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def list(self) -> dict[str, Any]:
        hosts = [
            {
                "host": worker.name,
                "dial": f"{HOST}:{worker.port}",
                "site": "room",
                "class": "m1",
                "block": 1,
                "health": "active",
                "share": 1.0,
                "born_ms": 0,
            }
            for worker in self.workers
        ]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _, _ = await read_message(reader)
                query = first.split()[1].partition("?")[2]
                asked = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                told = self.list()
                if asked.get("after") == str(self.seq):  # nothing here changes: a watch ends with no entries
                    await asyncio.sleep(min(60.0, int(asked.get("wait_ms", "0")) / 1000))
                    told = {"seq": self.seq, "whole": False, "hosts": []}
                text = json.dumps(told).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
        except (*ENDED, asyncio.CancelledError):  # cancelled only as the case ends
            pass
        finally:
            writer.close()


class Client:
    """One client: a kept connection, one request at a time, and what became of each."""

    numbers = iter(range(1, 1 << 30))

    def __init__(self, port: int, record: Record, outcomes: list[dict[str, Any]]) -> None:
        self.port, self.record, self.outcomes = port, record, outcomes
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(self, job_class: str, remaining_ms: int, new_connections: bool = True) -> str:
        """Send one request and wait for its answer.

        The outcome: a status; `unreachable` where nothing was sent; `closed` where the connection ended without any
        answer.  A request on a kept connection whose close crosses it is sent once more on a new one, if that is
        allowed here.
        """
        txn = f"{next(self.numbers):016x}"
        kept = self.streams is not None
        told = await self._try(txn, job_class, remaining_ms, new_connections)
        if told == "closed" and kept and new_connections:
            told = await self._try(txn, job_class, remaining_ms, new_connections)
        return told

    async def _try(self, txn: str, job_class: str, remaining_ms: int, new_connections: bool) -> str:
        if self.streams is not None and self.streams[0].at_eof():
            self.hang_up()
        if self.streams is None:
            if not new_connections:
                return "unreachable"
            try:
                self.streams = await asyncio.open_connection(HOST, self.port)
            except OSError:
                return "unreachable"
        reader, writer = self.streams
        key = f"Idempotency-Key: {txn}\r\n" if job_class == "ticket-issue" else ""
        body = f"{job_class} {txn}"
        writer.write(
            f"POST /{job_class} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: {job_class}\r\n"
            f"X-Org: north\r\nX-Remaining-Ms: {remaining_ms}\r\n{key}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        outcome: dict[str, Any] = {"id": txn, "class": job_class, "sent": self.record.now(), "ms": remaining_ms}
        self.outcomes.append(outcome)
        self.record.say(f"sent     {txn} {job_class} {remaining_ms} ms")
        try:
            first, headers, answer = await asyncio.wait_for(read_message(reader), remaining_ms / 1000 + 2.0)
            told = first.split()[1]
            if told == "200" and answer.decode() != f"for {body}":
                told = "200 with another result"
            if headers.get("connection", "").lower() == "close":
                self.hang_up()
        except TimeoutError:
            told = "nothing"
            self.hang_up()
        except ENDED:
            told = "closed"
            self.hang_up()
        outcome |= {"told": told, "at": self.record.now()}
        self.record.say(f"answered {txn} {told}")
        return told

    def hang_up(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None


class Dispatcher:
    """One process, started by `run` of the deploy file."""

    def __init__(self, name: str, record: Record, environ: dict[str, str], log: Path) -> None:
        self.name, self.record, self.environ, self.log = name, record, environ, log
        self.control = 0

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.record.say(f"{self.name}: started by {shlex.quote(run)}")
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env={**os.environ, **self.environ}, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        if self.alive:
            self.process.send_signal(number)
        self.record.say(f"{self.name}: {signal.Signals(number).name}")

    @property
    def alive(self) -> bool:
        return self.process.returncode is None

    async def call(self, line: str) -> str:
        """One call at its admin address; "" where no answer came within 1 s."""
        answer = b""
        with contextlib.suppress(*ENDED, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.control)
                writer.write(line.encode() + b"\n")
                answer = await reader.read()
                writer.close()
        text = answer.decode().strip()
        if line != "PING" or text == "OK":
            self.record.say(f"{self.name}: {line} -> {text}")
        return text

    async def says_yes(self, within: float) -> None:
        """Wait until PING is answered with yes."""
        async with asyncio.timeout(within):
            while self.alive:
                if await self.call("PING") == "OK":
                    return
                await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} ended: see its log")


async def ready(port: int, within: float) -> None:
    """Wait until GET /-/ready is answered with 200."""
    async with asyncio.timeout(within):
        while True:
            with contextlib.suppress(*ENDED):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                if first.split()[1] == "200":
                    return
            await asyncio.sleep(0.05)


def lane(name: str, effect: str, give_up: float, **more: Any) -> dict[str, Any]:
    """A class in the form of the settings."""
    return {
        "name": name,
        "effect": effect,
        "giveUp": give_up,
        "aim": 0.4,
        "group": "all",
        "lateShare": 0.2,
        "repeatWindow": 5.0,
        "stream": False,
        "worth": 3.0,
        **more,
    }


def settings(lanes: list[dict[str, Any]]) -> dict[str, Any]:
    """Settings of a small deployment: one dispatcher in one room."""
    return {
        "balancers": 1,
        "me": 0,
        "quantum": 0.005,
        "discovery": "pushed",
        "locality": 0,
        "localities": ["room"],
        "kinds": ["m1"],
        "lanes": lanes,
        "tenants": [{"name": "north", "fraction": 1.0, "quotaPerS": 200.0}],
        "familyInfo": {"classStretch": [2.0] * len(lanes), "classKind": [-1] * len(lanes), "tellsStart": True},
        "limits": {
            "cancelling": True,
            "connIdle": 15.0,
            "connectTimeout": 0.2,
            "maxAttempts": 3,
            "maxRetryAfter": 2.0,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "secondCopies": False,
        },
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
    }


class Site:
    """One dispatcher's place: its addresses, its files, its workers and its clients."""

    def __init__(self, folder: Path, record: Record, workers: int, run: float) -> None:
        self.folder, self.record = folder, record
        self.workers = [Worker(f"w{n}", record, run) for n in range(1, workers + 1)]
        self.discovery = Discovery(self.workers, record)
        self.port = free_port()
        self.outcomes: list[dict[str, Any]] = []
        self.processes: list[Dispatcher] = []
        self.tmp = folder / "tmp"
        self.tmp.mkdir()

    async def start(self) -> None:
        for worker in self.workers:
            await worker.start()
        await self.discovery.start()

    def write_config(self, lanes: list[dict[str, Any]]) -> None:
        """Replace the configuration file, whole."""
        made = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": self.discovery.list(),
            "settings": settings(lanes),
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(made))
        new.rename(self.folder / "config.json")

    async def dispatcher(self, name: str, control: bool = False) -> Dispatcher:
        environ = {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_DISCOVERY": f"{HOST}:{self.discovery.port}",
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.tmp),
        }
        made = Dispatcher(name, self.record, environ, self.folder / f"{name}.log")
        if control:
            made.control = free_port()
            environ["PROXY_CONTROL"] = f"{HOST}:{made.control}"
        self.processes.append(made)
        await made.start()
        return made

    async def end(self) -> None:
        for made in self.processes:
            if made.alive:
                made.process.kill()
            await made.process.wait()
            self.record.say(f"log of {made.name}:")
            self.record.file.write(made.log.read_text(errors="replace"))


async def steady_load(
    clients: list[Client], job_class: str, remaining_ms: int, pause: float, until: Callable[[], bool]
) -> None:
    """Each client asks, waits for its answer and a little, and asks again."""

    async def one(client: Client, delay: float) -> None:
        await asyncio.sleep(delay)
        while not until():
            if await client.request(job_class, remaining_ms) == "unreachable":
                await asyncio.sleep(0.1)
            await asyncio.sleep(pause)

    await asyncio.gather(*(one(client, n * pause / len(clients)) for n, client in enumerate(clients)))


def main(play: Callable[[Site, bool], Awaitable[int]], workers: int, run: float) -> None:
    """Play a case in a temporary folder; exit with its verdict."""
    import tempfile

    record = Record(Path(sys.argv[1]).resolve() / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole(folder: Path) -> int:
        site = Site(folder, record, workers, run)
        try:
            async with asyncio.timeout(110.0):
                await site.start()
                return await play(site, trouble)
        finally:
            await site.end()

    with tempfile.TemporaryDirectory() as folder:
        try:
            verdict = asyncio.run(whole(Path(folder)))
        except (CouldNotRun, TimeoutError, OSError) as problem:
            record.say(f"could not run: {type(problem).__name__} {problem}")
            verdict = COULD_NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.say(f"TROUBLE={int(trouble)}: {words[verdict]}")
    print(f"TROUBLE={int(trouble)}: {words[verdict]}")
    sys.exit(verdict)
