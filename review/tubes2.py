"""Stand-ins that speak beanstalkd's protocol, and the start of a dispatcher by an operator's file.

An operator's file needs libraries of the extra `operator`, which review/build-2.sh has review/build.sh put into
review/lib. Where it could not, the few lines of review/1/substitutes let the file be read.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins2 import ROOT, CannotRun, Case, free_port, now

EXTRA, SUBSTITUTES = ROOT / "review" / "lib", ROOT / "review" / "1" / "substitutes"
IMPORTED = "import lark, msgspec, netaddr, re2, xxhash"
HOSTS = {"counter-1": 1, "counter-2": 1, "counter-3": 2}  # and their bays, as deploy/operator.toml has them
SESSIONS = 3  # connections of each host


class Line:
    """One connection that speaks beanstalkd's protocol."""

    def __init__(self, case: Case, port: int, name: str) -> None:
        self.case, self.port, self.name = case, port, name

    async def open(self) -> Line:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def close(self) -> None:
        self.writer.close()

    async def ask(self, command: str, body: bytes | None = None) -> list[str]:
        """Say one command; the words of its reply."""
        self.writer.write(command.encode() + b"\r\n" + (body + b"\r\n" if body is not None else b""))
        reply = (await self.reader.readline()).decode().split()
        if not reply:
            raise ConnectionError("the connection has ended")
        return reply

    async def put(self, tube: str, body: str) -> int:
        """Put one job; its number."""
        await self.ask(f"use {tube}")
        reply = await self.ask(f"put 0 0 60 {len(body)}", body.encode())
        self.case.record.say(f"{self.name} put {body!r} into {tube}: {' '.join(reply)}")
        if reply[0] != "INSERTED":
            raise CannotRun(f"a put was answered {reply[0]}")
        return int(reply[1])

    async def fetch(self, job: int, seconds: int) -> str:
        """The final answer to a job: `served`, `refused SECONDS` or `failed REASON`, then the result; "": none came."""
        await self.ask(f"watch reply.{job}")
        reply = await self.ask(f"reserve-with-timeout {seconds}")
        answer = ""
        if reply[0] == "RESERVED":
            answer = await self.body(reply)
            await self.ask(f"delete {reply[1]}")
        await self.ask(f"ignore reply.{job}")
        self.case.record.say(f"{self.name} asked for the answer to job {job}: {' '.join(reply)} {answer!r}")
        return answer

    async def body(self, reply: list[str]) -> str:
        return (await self.reader.readexactly(int(reply[2]) + 2))[:-2].decode()


Work = Callable[[str, int, str], Awaitable[str]]  # of a host's name, a job's number and body: the result


async def host(case: Case, port: int, name: str, work: Work) -> None:
    """One connection of a host, made again whenever it ends."""
    while True:
        try:
            line = await Line(case, port, name).open()
            await line.ask(f"watch worker.{name}")
            while True:
                reply = await line.ask("reserve")
                if reply[0] != "RESERVED":
                    continue
                result = await work(name, int(reply[1]), await line.body(reply))
                await line.ask(f"use reply.{reply[1]}")
                await line.ask(f"put 0 0 60 {len(result)}", result.encode())
                await line.ask(f"delete {reply[1]}")
        except (ConnectionError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)


def has_libraries(folder: Path) -> bool:
    environ = {**os.environ, "PYTHONPATH": str(folder)}
    found = subprocess.run([ROOT / ".venv" / "bin" / "python", "-c", IMPORTED], env=environ, capture_output=True)
    return found.returncode == 0


class TubeDispatcher:
    """A dispatcher with the operator's file of deploy/, on a free port."""

    def __init__(self, case: Case) -> None:
        self.case, self.port = case, free_port()
        self.libraries = EXTRA if has_libraries(EXTRA) else SUBSTITUTES
        case.record.say(f"the operator's file is read with the libraries in {self.libraries.name}")
        self.file = case.folder / "operator.toml"
        text = (ROOT / "deploy" / "operator.toml").read_text()
        text = text.replace("127.0.0.1:11300", f"127.0.0.1:{self.port}")
        self.file.write_text(text.replace("127.0.0.1:11380", f"127.0.0.1:{free_port()}"))
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start it by the deploy file's `run`, and wait until it listens."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environ |= {
            "PROXY_OPERATOR": str(self.file),
            "TMPDIR": str(self.case.folder),
            "PYTHONPATH": str(self.libraries),
        }
        with (self.case.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.case.record.say("dispatcher started")
        until = now() + 15.0
        while now() < until:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.close()
                self.case.record.say("dispatcher listens")
                return
            except ConnectionError:
                await asyncio.sleep(0.05)
        raise CannotRun("the dispatcher does not listen")

    def terminate(self) -> None:
        """A planned restart begins."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        self.case.record.say("dispatcher got SIGTERM")

    @property
    def ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
