"""Real processes of the program: started by their own file, stopped, slowed and ended, and never left behind."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

import trio

from thistleshore.releases import keeping
from thistleshore.releases.keeper import Child

PROGRAM = (sys.executable, "-O", "-m", "thistleshore")
DIES_WITH_PARENT = 1  # PR_SET_PDEATHSIG
HOG = "import sys, time\nend = time.monotonic() + float(sys.argv[1])\nwhile time.monotonic() < end: pass\n"
_libc = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    # If the rig itself is killed its children must not go on.
    _libc.prctl(DIES_WITH_PARENT, signal.SIGKILL)


class Process:
    """One process of the program, through all its lives.  Must be started by the main thread: the system ends a child
    with the thread that started it."""

    verb = "serve"

    def __init__(self, name: str, file: Path, command: Sequence[str] = PROGRAM) -> None:
        self.name, self.file, self.command = name, file, tuple(command)
        self.log = file.with_suffix(".log")
        self.child: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self._hogs: list[subprocess.Popen[bytes]] = []

    @property
    def runs(self) -> bool:
        """Alive, and not stopped."""
        return self.lives and not self.stopped

    @property
    def lives(self) -> bool:
        return self.child is not None and self.child.poll() is None

    @property
    def life(self) -> object:
        """Equal as long as it is the same life."""
        return self.child

    def start(self) -> None:
        """A new life, unless one lives."""
        if self.lives:
            return
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(
                [*self.command, self.verb, "--config", str(self.file)], stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, preexec_fn=_die_with_parent,
            )  # fmt: skip
        self.stopped = False

    def signal(self, number: signal.Signals) -> None:
        if self.child is not None and self.lives:
            self.child.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.stopped = number == signal.SIGSTOP

    async def ended(self, within: float) -> int | None:
        """Its exit status, or None where it lives on after so many seconds."""
        with trio.move_on_after(within):
            while self.lives:
                await trio.sleep(0.01)
        return None if self.child is None else self.child.poll()

    def slow(self, seconds: float, hogs: int = 2) -> None:
        """Have it share one core with so many that never rest, for so long at the most."""
        if self.child is None or not self.lives:
            return
        core = {sorted(os.sched_getaffinity(0))[hash(self.name) % len(os.sched_getaffinity(0))]}
        os.sched_setaffinity(self.child.pid, core)
        for _ in range(min(8, hogs)):
            made = subprocess.Popen([sys.executable, "-S", "-c", HOG, str(seconds)], preexec_fn=_die_with_parent)
            os.sched_setaffinity(made.pid, core)
            self._hogs.append(made)

    def rest(self) -> None:
        """End what slows it."""
        for made in self._hogs:
            made.kill()
            made.wait()
        self._hogs.clear()
        if self.child is not None and self.lives:
            os.sched_setaffinity(self.child.pid, os.sched_getaffinity(0))

    def crash(self) -> None:
        """The dispatcher dies, at once."""
        self.end()

    def end(self) -> None:
        """At once, whatever state it is in."""
        self.rest()
        if self.child is not None:
            self.child.kill()
            self.child.wait()


class Kept(Process):
    """A dispatcher with its keeper: `child` is the keeper, which starts the dispatcher in a session of its own."""

    verb = "keep"

    def __init__(self, name: str, file: Path, command: Sequence[str], folder: Path) -> None:
        super().__init__(name, file, command)
        self.folder = folder

    @property
    def kept(self) -> list[Child]:
        """The dispatcher's processes that live: the one that serves, or did, and one beside it."""
        try:
            found = keeping.read(self.folder)
        except ValueError:
            return []
        known = (found.serving, found.newcomer) if found is not None else ()
        return [child for child in known if child is not None and keeping.is_running(child)]

    @property
    def lives(self) -> bool:
        return (self.child is not None and self.child.poll() is None) or bool(self.kept)

    @property
    def keeps(self) -> bool:
        """Whether the keeper lives."""
        return self.child is not None and self.child.poll() is None

    @property
    def life(self) -> object:
        return [child.pid for child in self.kept]

    def start(self) -> None:
        if self.child is None or self.child.poll() is not None:
            self.child = None
            kept, self.folder = self.folder, self.folder / "none"  # the keeper alone is what is started
            try:
                super().start()
            finally:
                self.folder = kept

    def signal(self, number: signal.Signals) -> None:
        if number in (signal.SIGSTOP, signal.SIGCONT):
            for child in self.kept:
                os.kill(child.pid, number)
            self.stopped = number == signal.SIGSTOP
        else:
            super().signal(number)

    def crash(self) -> None:
        for child in self.kept:
            with suppress(ProcessLookupError):
                os.kill(child.pid, signal.SIGKILL)

    def crash_keeper(self) -> None:
        """The keeper dies; its dispatcher serves on."""
        if self.child is not None:
            self.child.kill()
            self.child.wait()

    def end(self) -> None:
        self.crash_keeper()
        self.crash()


def reaper(folder: Path) -> subprocess.Popen[bytes]:
    """Ends what keepers below the folder have started once the rig is gone, however it goes."""
    command = [sys.executable, "-m", "thistleshore.rig.reaper", str(folder)]
    return subprocess.Popen(command, stdin=subprocess.PIPE, start_new_session=True)
