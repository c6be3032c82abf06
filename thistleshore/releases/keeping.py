"""Carries a keeper out: starts processes, watches them by pidfd, asks them over the admin interface, writes its state.

The processes are in sessions of their own and outlive the keeper: the next one finds them by its state.
"""

from __future__ import annotations

import errno
import fcntl
import json
import logging
import os
import select
import shutil
import signal
import subprocess
import sys
from contextlib import suppress
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import msgspec
import trio

from thistleshore.addresses import Address
from thistleshore.admin.calling import call
from thistleshore.releases.faults import point
from thistleshore.releases.keeper import Action, Child, End, FleetCall, Keeper, KeeperState, Order, Plan, Start
from thistleshore.releases.model import Version
from thistleshore.releases.plan import KeepPlan

log = logging.getLogger("thistleshore")

FILE, LOCK, OUTPUT = "keeper.json", "keeper.lock", "dispatcher.log"
POLL_INTERVAL = 0.2  # s between two questions
ANSWER_TIMEOUT = 1.0  # s for an answer
CHANGE_TIMEOUT = 6.0  # s for one that takes an agreement
# It waits for the word to go on until the keeper has written down which process it is; a keeper that dies before that
# leaves nobody of whom the next one does not know.
LAUNCHER = (
    "import os, sys\nif not os.read(0, 1): sys.exit(1)\nos.dup2(os.open(os.devnull, os.O_RDONLY), 0)\n"
    "os.execvp(sys.argv[1], sys.argv[1:])"
)
POINTS = {"beside": "keeper-beside", "trial": "keeper-trial", "ending": "keeper-ending"}


class Busy(Exception):
    """Another keeper keeps it."""


def start_ticks(pid: int) -> int:
    """When a process was started, in the kernel's ticks since boot; 0 where it is gone, or a corpse."""
    try:
        state, *fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if state == "Z" else int(fields[18])


def is_running(child: Child) -> bool:
    """Whether that very process lives: ids are used again."""
    return child.pid > 0 and start_ticks(child.pid) == child.born


def read(folder: Path) -> KeeperState | None:
    """What the keeper before left, None where there is nothing; ValueError where it is spoilt."""
    try:
        return msgspec.json.decode((folder / FILE).read_bytes(), type=KeeperState)
    except FileNotFoundError:
        return None
    except msgspec.MsgspecError as problem:
        raise ValueError(f"{folder / FILE}: {problem}") from None


def forbidden(version: Version | None, plan: KeepPlan) -> str:
    """Why a keeper does not start a version; "" where it may.

    Whoever reaches the admin interface or the register names commands: what runs here is for this machine's file to
    say, word by word, as an interpreter that is allowed with any words would run anything."""
    words = version.command if version is not None else ()
    fits = (len(pattern) == len(words) and all(map(fnmatchcase, words, pattern)) for pattern in plan.allow)
    if words and not any(fits):
        return f"[keep] allow has no pattern for its command: {' '.join(words)}"
    file = version.file if version is not None else ""
    if file and not any(fnmatchcase(file, pattern) for pattern in plan.files):
        return f"[keep] files has no pattern for its file: {file}"
    if any(".." in Path(word).parts for word in (*words, file)):
        return "a path with .. in it is not started"
    return ""


class Carrier:
    """One keeper: it holds its folder's lock while it lives."""

    def __init__(self, plan: KeepPlan, file: str, admin: Address) -> None:
        """Busy where another keeper has the folder; ValueError where its state is spoilt; OSError where it is none."""
        self.plan, self.file, self.admin, self.folder = plan, file, admin, Path(plan.folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise Busy(f"another keeper has {self.folder}") from None
        kept = read(self.folder)
        known = [child for child in (kept.serving, kept.newcomer) if child is not None] if kept is not None else []
        alive = frozenset(child.pid for child in known if is_running(child))
        self.machine = Keeper(
            Plan(plan.ready, plan.trial, plan.end, plan.crashes, plan.span), kept, alive, trio.current_time()
        )
        self._written = kept
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._watched = set[int]()
        if alive:
            log.info("keeper: adopted %s", ", ".join(map(str, sorted(alive))))

    async def run(self, ends: trio.Event) -> int:
        """Keep until `ends` is set and all have drained (0), or until they crash in a loop (3)."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for child in (self.machine.kept.serving, self.machine.kept.newcomer):
                if child is not None and child.pid and is_running(child):
                    self._watch(child)
            told = False
            while True:
                if ends.is_set() and not told:
                    told = True
                    await self._carry_out(self.machine.on_end(trio.current_time()))
                await self._carry_out(self.machine.on_time(trio.current_time()))
                kept = self.machine.kept
                if told and not any(child is not None and is_running(child) for child in (kept.serving, kept.newcomer)):
                    break
                if self.machine.lost:
                    log.error("keeper: it is not started again: %s", self.machine.lost)
                    break
                if not told:
                    await self._look()
                with trio.move_on_after(POLL_INTERVAL):
                    await (ends.wait() if not told else trio.sleep_forever())
            nursery.cancel_scope.cancel()
        return 3 if self.machine.lost else 0

    async def _look(self) -> None:
        """Who answers, and what the fleet orders."""
        if self.machine.kept.phase == "down":
            return
        order = await self._ask("order")
        if order is None or "pid" not in order:
            return
        if (await call(self.admin, "PING", ANSWER_TIMEOUT)).startswith("OK"):
            await self._carry_out(self.machine.on_ready(order["pid"], trio.current_time()))
        if order["status"] == "done":
            version = None if order["version"] is None else msgspec.convert(order["version"], Version)
            found = Order(version, order["place"], order["begun"])
            await self._carry_out(self.machine.on_order(found, trio.current_time()))

    # -- actions

    async def _carry_out(self, actions: list[Action]) -> None:
        """One after another, each once the state that leads to it is on the disk."""
        self._write()
        for action in actions:
            if isinstance(action, Start):
                await self._start(action)
            elif isinstance(action, End):
                with suppress(ProcessLookupError):
                    os.kill(action.pid, signal.SIGKILL if action.hard else signal.SIGTERM)
            else:
                await self._say(action)

    async def _say(self, say: FleetCall) -> None:
        answer = await self._ask(" ".join((say.what, *say.words)), CHANGE_TIMEOUT)
        if answer is None:
            return
        if answer["status"] != "done":
            log.warning("keeper: %s: %s", say.what, answer.get("told", answer["status"]))
        if say.what == "takes":
            point("keeper-taken")
        await self._carry_out(self.machine.on_said(say, answer["status"], trio.current_time()))

    async def _start(self, start: Start) -> None:
        version = start.child.version
        command = version.command if version is not None and version.command else self.plan.command
        file = version.file if version is not None and version.file else self.file
        environ = {**os.environ, "THISTLESHORE_VERSION": start.child.name}
        command = command or (sys.executable, "-O", "-m", "thistleshore")
        try:
            if why := forbidden(version, self.plan):
                raise PermissionError(errno.EPERM, why)
            if shutil.which(command[0]) is None:
                raise FileNotFoundError(errno.ENOENT, f"there is no command {command[0]}")
            with (self.folder / OUTPUT).open("ab") as output:
                made = subprocess.Popen(
                    [sys.executable, "-S", "-c", LAUNCHER, *command, "serve", "--config", file],
                    stdin=subprocess.PIPE,
                    stdout=output,
                    stderr=output,
                    env=environ,
                    start_new_session=True,
                )
        except OSError as problem:
            log.error("keeper: cannot start %s: %s", start.child.name or "the dispatcher", problem)
            await self._carry_out(
                self.machine.on_not_started(start.beside, f"cannot be started: {problem.strerror}", trio.current_time())
            )
            return
        child = Child(version, made.pid, start_ticks(made.pid))
        self._children[made.pid] = made
        log.info(
            "keeper: started %d as %s%s",
            made.pid,
            child.name or "its first version",
            " beside the one that serves" if start.beside else "",
        )
        actions = self.machine.on_started(child, start.beside, trio.current_time())
        self._write()
        assert made.stdin is not None
        with suppress(OSError), made.stdin:
            made.stdin.write(b"!")
        self._watch(child)
        await self._carry_out(actions)

    def _watch(self, child: Child) -> None:
        if child.pid not in self._watched:
            self._watched.add(child.pid)
            self._nursery.start_soon(self._await_end, child)

    async def _await_end(self, child: Child) -> None:
        try:
            handle = os.pidfd_open(child.pid)
        except ProcessLookupError:
            handle = -1
        if handle >= 0:
            try:
                while not select.select([handle], [], [], 0)[0]:
                    await trio.lowlevel.wait_readable(handle)
            finally:
                os.close(handle)
        made = self._children.pop(child.pid, None)
        status = None if made is None else made.wait()
        self._watched.discard(child.pid)
        log.info("keeper: %d has ended%s", child.pid, "" if status is None else f" with status {status}")
        await self._carry_out(self.machine.on_ended(child.pid, status, trio.current_time()))

    def _write(self) -> None:
        kept = self.machine.kept
        if kept == self._written:
            return
        phase, before = kept.phase, self._written.phase if self._written is not None else "down"
        made = self.folder / (FILE + ".new")
        with made.open("wb") as out:
            out.write(msgspec.json.encode(kept))
            out.flush()
            os.fsync(out.fileno())
        os.replace(made, self.folder / FILE)
        self._written = kept
        if phase != before and phase in POINTS:
            point(POINTS[phase])

    # -- questions

    async def _ask(self, what: str, within: float = ANSWER_TIMEOUT) -> dict[str, Any] | None:
        answer = await call(self.admin, f"FLEET {what}", within)
        try:
            found = json.loads(answer.split("\n")[0])
        except ValueError:
            return None
        return found if isinstance(found, dict) else None
