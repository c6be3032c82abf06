"""The dispatchers under test: real processes of the release build, with signals."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import trio

from benchmarks.soak.record import Life, Record, Retune

ROOT = Path(__file__).parent.parent.parent
READY_WITHIN = 20.0  # s for a process to be ready


class Node:
    """One dispatcher through all its processes."""

    def __init__(self, number: int, config: dict[str, Any], folder: Path, record: Record) -> None:
        self.number, self.config, self.folder, self.record = number, config, folder, record
        self.file = folder / f"n{number}.json"
        self.log = folder / f"n{number}.log"
        self.child: subprocess.Popen[bytes] | None = None
        self.life: Life | None = None
        self.lives = 0
        self.wider = False  # the settings that its file has
        self._serves = False  # its process has answered as ready
        self._seed = int(config["seed"])

    @property
    def listen(self) -> tuple[str, int]:
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    def start(self, known: dict[str, Any]) -> None:
        """A new process, which is given this list."""
        self.lives += 1
        self._serves = False
        self.config.update(known=known, seed=self._seed + 1000 * self.lives)
        self.file.write_text(json.dumps(self.config))
        environ = {**os.environ, "PROXY_CONFIG": str(self.file)}
        with self.log.open("ab") as log:
            self.child = subprocess.Popen([sys.executable, "-O", "-m", "thistleshore"], cwd=ROOT, env=environ,
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log)  # fmt: skip
        self.life = Life(self.number, trio.current_time())
        self.record.lives.append(self.life)

    def signal(self, number: signal.Signals) -> None:
        if self.child is None or self.child.poll() is not None or self.life is None:
            return
        if number == signal.SIGTERM:
            self.life.terminated = min(self.life.terminated, trio.current_time())
        if number == signal.SIGKILL:
            self.life.killed = trio.current_time()
        self.child.send_signal(number)

    def rewrite(self) -> None:
        """Write the file again, as a new configuration would be."""
        self.file.write_text(json.dumps(self.config))

    async def retune(self, settings: dict[str, Any], wider: bool) -> None:
        """Have it read these settings; a process that starts meanwhile is told once it serves."""
        self.config["settings"], self.wider = settings, wider
        self.rewrite()
        with trio.move_on_after(READY_WITHIN):
            while not self._serves:
                await trio.sleep(0.02)
        self.record.retunes.append(Retune(self.number, trio.current_time()))
        self.signal(signal.SIGHUP)

    async def ready(self) -> bool:
        """Wait until it answers 200 on its readiness path; False where it never does."""
        with trio.move_on_after(READY_WITHIN):
            while True:
                if self.child is None or self.child.poll() is not None:
                    return False
                try:
                    stream = await trio.open_tcp_stream(*self.listen)
                    async with stream:
                        await stream.send_all(b"GET /-/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                        if (await stream.receive_some(4096)).startswith(b"HTTP/1.1 200"):
                            self._serves = True
                            return True
                except OSError:
                    pass
                except trio.BrokenResourceError:
                    pass
                await trio.sleep(0.05)
        return False

    async def watch(self) -> None:
        """Write down when and how its process has ended."""
        while True:
            await trio.sleep(0.01)
            if self.child is not None and self.life is not None and self.life.status is None:
                status = self.child.poll()
                if status is not None:
                    self.life.status = status
                    self.life.killed = min(self.life.killed, trio.current_time())

    def end(self) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()
