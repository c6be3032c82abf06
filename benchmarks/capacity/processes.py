"""The processes that are measured, whole dispatchers and groups of hollow ones, and what each of them uses."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple

import trio

from benchmarks.capacity import counted
from benchmarks.capacity.files import Member
from thistleshore.admin.calling import call
from thistleshore.rig.processes import _die_with_parent

ROOT = Path(__file__).parent.parent.parent
NANOSECONDS = 1e9
READY_WITHIN = 60.0  # s
LOOK = 0.1  # s between two looks at a process that starts
START_EACH = 0.5  # s more for each hollow dispatcher to start
ENDS_WITHIN = 10.0  # s


class Usage(NamedTuple):
    """What one process has used since its start, and holds now."""

    at: float
    cpu_s: float
    resident_kb: int
    sent: counted.Sent


class Window(NamedTuple):
    """What one process used in a span of time; memory at its end."""

    seconds: float
    cpu_s: float
    resident_kb: int
    sent: counted.Sent

    @property
    def cpu_percent(self) -> float:
        """Of one core."""
        return 100.0 * self.cpu_s / self.seconds


class Measured:
    """A child process whose use of the machine is read from outside."""

    def __init__(self, name: str, folder: Path, module: str, arguments: Sequence[str]) -> None:
        self.name = name
        self.counts = folder / f"{name}.counts"
        counted.create(self.counts)
        command = [sys.executable, "-O", "-m", "benchmarks.capacity.counted", str(self.counts), module, *arguments]
        with (folder / f"{name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.PIPE, stdout=log, stderr=log, preexec_fn=_die_with_parent
            )

    def usage(self) -> Usage:
        """As of now."""
        tasks = Path(f"/proc/{self.child.pid}/task").iterdir()
        ran = sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)
        return Usage(time.monotonic(), ran / NANOSECONDS, self._resident(), counted.read(self.counts))

    def _resident(self) -> int:
        lines = Path(f"/proc/{self.child.pid}/status").read_text().splitlines()
        return int(next(line for line in lines if line.startswith("VmRSS:")).split()[1])

    def end(self) -> None:
        """At once."""
        if self.child.stdin is not None:
            with suppress(OSError):
                self.child.stdin.close()
        self.child.send_signal(signal.SIGKILL)
        self.child.wait(ENDS_WITHIN)


class WholeDispatcher(Measured):
    """One whole dispatcher, as an operator starts it."""

    def __init__(self, member: Member, folder: Path) -> None:
        super().__init__(member.name, folder, "thistleshore", ["serve", "--config", str(member.file)])
        self.member = member

    def ask(self, line: str, within: float = 5.0) -> str:
        """One call of its admin interface; "" where there is no answer."""
        return trio.run(call, ("127.0.0.1", self.member.admin), line, within)

    def asked(self, what: str) -> Any:
        """A call about the fleet, read; None where there is no answer."""
        try:
            return json.loads(self.ask(f"FLEET {what}").split("\n")[0])
        except ValueError:
            return None

    def wait_ready(self) -> None:
        """Until it answers PING with yes."""
        until = time.monotonic() + READY_WITHIN
        while not self.ask("PING", 1.0).startswith("OK"):
            if time.monotonic() > until or self.child.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready: see its log")
            time.sleep(LOOK)


class HollowGroup(Measured):
    """Many hollow dispatchers in one process."""

    def __init__(self, name: str, members: Sequence[Member], folder: Path, options: Sequence[str] = ()) -> None:
        self.size, self.file = len(members), folder / f"{name}.status"
        arguments = [*options, str(self.file), *(str(member.file) for member in members)]
        super().__init__(name, folder, "benchmarks.capacity.hollow", arguments)

    def status(self) -> dict[str, Any] | None:
        """What it said last; None before it said anything."""
        if not self.file.exists() or self.child.poll() is not None:
            return None
        lines = self.file.read_text().split("\n")
        return json.loads(lines[-2]) if len(lines) > 1 else None

    def wait_started(self) -> None:
        """Until all of its dispatchers run."""
        until = time.monotonic() + READY_WITHIN + START_EACH * self.size
        while (found := self.status()) is None or found["started"] < self.size:
            if time.monotonic() > until or self.child.poll() is not None:
                raise RuntimeError(f"{self.name} has not started: see its log")
            time.sleep(LOOK)


@contextmanager
def ending(processes: list[Measured]) -> Iterator[list[Measured]]:
    """Ends all that were added to the list, whatever happens."""
    try:
        yield processes
    finally:
        for process in processes:
            process.end()


def watch(processes: Sequence[Measured], seconds: float) -> list[Window]:
    """What each uses in so many seconds from now."""
    before = [process.usage() for process in processes]
    time.sleep(seconds)
    windows = []
    for process, then in zip(processes, before, strict=True):
        now = process.usage()
        windows.append(Window(now.at - then.at, now.cpu_s - then.cpu_s, now.resident_kb, now.sent.since(then.sent)))
    return windows
