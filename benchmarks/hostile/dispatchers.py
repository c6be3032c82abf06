"""The dispatchers under test: real processes of the release build, one or two of an upgrade, and their memory."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

import trio

from benchmarks.hostile.workers import BROKEN, TubeWorkers, Workers
from thistleshore.rig.ports import free_ports

ROOT = Path(__file__).parent.parent.parent
READY_WITHIN = 20.0  # s
MEMORY_MB, SOCKETS = 192, 1024  # the limits of one dispatcher
WINDOW = 1.0  # s, of the keyed class
TUBE_HOSTS = ("counter-1", "counter-2", "counter-3")  # as deploy/operator.toml has them


class Process:
    """One process of a dispatcher."""

    def __init__(self, environ: dict[str, str], log: Path) -> None:
        kept = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        with log.open("ab") as file:
            self.child = subprocess.Popen([sys.executable, "-O", "-m", "thistleshore"], cwd=ROOT, env=kept | environ,
                                          stdin=subprocess.DEVNULL, stdout=file, stderr=file)  # fmt: skip

    def memory_mb(self, key: str) -> float:
        """A figure of its memory: VmRSS is what it holds now, VmHWM its peak."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
                if line.startswith(key):
                    return int(line.split()[1]) / 1024
        return 0.0

    def terminate(self) -> None:
        self.child.send_signal(signal.SIGTERM)

    def end(self) -> None:
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()


class Site:
    """One dispatcher's machine: its processes, its workers and its port for clients."""

    front = ""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.port, *self._controls = free_ports(3)
        self.processes: list[Process] = []

    async def start_process(self) -> None:
        """Start one more process, and wait until it serves."""
        raise NotImplementedError

    def end(self) -> None:
        for process in self.processes:
            process.end()

    async def _await_answer(self, port: int, said: bytes, wanted: bytes) -> None:
        with trio.fail_after(READY_WITHIN):
            while True:
                with suppress(*BROKEN):
                    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                        await stream.send_all(said)
                        if (await stream.receive_some(4096)).startswith(wanted):
                            return
                await trio.sleep(0.05)


class HttpSite(Site):
    """The platform's front, by the platform's file."""

    front = "http"

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.workers = Workers(8)

    async def start(self, nursery: trio.Nursery) -> None:
        await self.workers.start(nursery)
        await self.start_process()

    async def start_process(self) -> None:
        number = len(self.processes)
        control = self._controls[number]
        file = self.folder / f"{number}.json"
        file.write_text(json.dumps(self._config(control)))
        environ = {"PROXY_CONFIG": str(file), "TMPDIR": str(self.folder)}
        self.processes.append(Process(environ, self.folder / f"{number}.log"))
        await self._await_answer(control, b"PING\n", b"OK")
        await self._await_answer(self.port, b"GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n", b"HTTP/1.1 200")

    def _config(self, control: int) -> dict[str, Any]:
        lane = {"aim": 0.4, "group": "cell", "repeatWindow": WINDOW, "giveUp": 5.0, "worth": 1.0}
        settings = {
            "balancers": 1,
            "quantum": 0.005,
            "kinds": ["std"],
            "localities": ["room"],
            "rules": {},
            "tenants": [],
            "familyInfo": {"reportX0": "free slots"},
            "stats": {"how": "piggyback", "names": ["x0", "rif"]},
            "lanes": [
                {**lane, "name": "search", "effect": "retryable"},
                {**lane, "name": "issue", "effect": "dedup"},
            ],
            "limits": {"maxAttempts": 6, "connectTimeout": 0.2, "connIdle": 15.0, "cancelling": True},
        }
        return {
            "listen": f"127.0.0.1:{self.port}",
            "control": f"127.0.0.1:{control}",
            "seed": 7,
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"seq": 1, "whole": True, "hosts": self.workers.lines()},
            "settings": settings,
        }


class TubeSite(Site):
    """The beanstalkd front, by deploy/operator.toml; it has no upgrade beside the process that serves."""

    front = "beanstalkd"

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.workers = TubeWorkers(TUBE_HOSTS, self.port)

    async def start(self, nursery: trio.Nursery) -> None:
        await self.start_process()
        await self.workers.start(nursery)
        await trio.sleep(0.5)

    async def start_process(self) -> None:
        text = (ROOT / "deploy" / "operator.toml").read_text()
        given = tomllib.loads(text)
        text = text.replace(given["beanstalkd"]["listen"], f"127.0.0.1:{self.port}")
        text = text.replace(given["admin"]["listen"], f"127.0.0.1:{self._controls[0]}")
        file = self.folder / "operator.toml"
        file.write_text(text.replace("rate = 30.0", "rate = 3000.0"))
        self.processes.append(Process({"PROXY_OPERATOR": str(file)}, self.folder / "0.log"))
        await self._await_answer(self.port, b"use seat-search\r\n", b"USING")
