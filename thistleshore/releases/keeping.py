"""Runs a keeper: starts processes, watches them by pidfd, calls them over the admin interface, and writes its state.

The processes run in their own sessions and outlive the keeper; the next keeper finds them by the state file.
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
POLL_INTERVAL = 0.2  # seconds between polls
ANSWER_TIMEOUT = 1.0  # seconds
CHANGE_TIMEOUT = 6.0  # seconds, for a call that changes the register
# The child waits for a byte on stdin, which the keeper sends once its id is in the state file.  If the keeper dies
# before, the child exits, so no process runs that the next keeper does not know of.
LAUNCHER = (
    "import os, sys\nif not os.read(0, 1): sys.exit(1)\nos.dup2(os.open(os.devnull, os.O_RDONLY), 0)\n"
    "os.execvp(sys.argv[1], sys.argv[1:])"
)
POINTS = {"beside": "keeper-beside", "trial": "keeper-trial", "ending": "keeper-ending"}


class Busy(Exception):
    """Another keeper holds the lock."""


def start_ticks(pid: int) -> int:
    """Return the start time of a process in clock ticks since boot; 0 if it does not exist or is a zombie."""
    try:
        state, *fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return 0 if state == "Z" else int(fields[18])


def is_running(child: Child) -> bool:
    """Return whether that process runs; its start time distinguishes it from a later one with the same id."""
    return child.pid > 0 and start_ticks(child.pid) == child.born


def read(folder: Path) -> KeeperState | None:
    """Return the state of the previous keeper, or None if there is none.  Raises ValueError if it is corrupt."""
    try:
        return msgspec.json.decode((folder / FILE).read_bytes(), type=KeeperState)
    except FileNotFoundError:
        return None
    except msgspec.MsgspecError as problem:
        raise ValueError(f"{folder / FILE}: {problem}") from None


def forbidden_reason(version: Version | None, plan: KeepPlan) -> str:
    """Return why a version must not be started here; "" if it may.

    Anyone with access to the admin interface or the register can name commands.  The settings of this machine therefore
    allow commands word by word, as an interpreter with arbitrary arguments could run anything.
    """
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


class KeeperRunner:
    """One keeper: it holds its folder's lock while it lives."""

    def __init__(self, plan: KeepPlan, file: str, admin: Address) -> None:
        """Lock the folder and read the state.

        Raises Busy if another keeper holds it, ValueError if its state is corrupt, OSError if it is unusable.
        """
        self.plan, self.file, self.admin, self.folder = plan, file, admin, Path(plan.folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise Busy(f"another keeper holds {self.folder}") from None
        state = read(self.folder)
        known = [child for child in (state.serving, state.newcomer) if child is not None] if state is not None else []
        alive = frozenset(child.pid for child in known if is_running(child))
        self.keeper = Keeper(
            Plan(plan.ready, plan.trial, plan.end, plan.crashes, plan.span), state, alive, trio.current_time()
        )
        self._written = state
        self._children: dict[int, subprocess.Popen[bytes]] = {}
        self._watched = set[int]()
        if alive:
            log.info("keeper: adopted %s", ", ".join(map(str, sorted(alive))))

    async def run(self, stop: trio.Event) -> int:
        """Run until `stop` is set and all processes have drained (status 0), or until the crash limit (status 3)."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for child in (self.keeper.state.serving, self.keeper.state.newcomer):
                if child is not None and child.pid and is_running(child):
                    self._watch(child)
            stopping = False
            while True:
                if stop.is_set() and not stopping:
                    stopping = True
                    await self._carry_out(self.keeper.on_stop(trio.current_time()))
                await self._carry_out(self.keeper.on_time(trio.current_time()))
                state = self.keeper.state
                if stopping and not any(
                    child is not None and is_running(child) for child in (state.serving, state.newcomer)
                ):
                    break
                if self.keeper.failure:
                    log.error("keeper: giving up on the dispatcher: %s", self.keeper.failure)
                    break
                if not stopping:
                    await self._poll()
                with trio.move_on_after(POLL_INTERVAL):
                    await (stop.wait() if not stopping else trio.sleep_forever())
            nursery.cancel_scope.cancel()
        return 3 if self.keeper.failure else 0

    async def _poll(self) -> None:
        """Poll the serving process: whether it is ready, and the fleet's instructions."""
        if self.keeper.state.phase == "down":
            return
        order = await self._ask("order")
        if order is None or "pid" not in order:
            return
        if (await call(self.admin, "PING", ANSWER_TIMEOUT)).startswith("OK"):
            await self._carry_out(self.keeper.on_ready(order["pid"], trio.current_time()))
        if order["status"] == "done":
            version = None if order["version"] is None else msgspec.convert(order["version"], Version)
            instructions = Order(version, order["place"], order["begun"])
            await self._carry_out(self.keeper.on_order(instructions, trio.current_time()))

    # -- actions

    async def _carry_out(self, actions: list[Action]) -> None:
        """Carry out actions in order, each after the state that led to it is on disk."""
        self._write()
        for action in actions:
            if isinstance(action, Start):
                await self._start(action)
            elif isinstance(action, End):
                with suppress(ProcessLookupError):
                    os.kill(action.pid, signal.SIGKILL if action.kill else signal.SIGTERM)
            else:
                await self._call_fleet(action)

    async def _call_fleet(self, fleet_call: FleetCall) -> None:
        answer = await self._ask(" ".join((fleet_call.what, *fleet_call.words)), CHANGE_TIMEOUT)
        if answer is None:
            return
        if answer["status"] != "done":
            log.warning("keeper: %s: %s", fleet_call.what, answer.get("told", answer["status"]))
        if fleet_call.what == "takes":
            point("keeper-taken")
        await self._carry_out(self.keeper.on_call_result(fleet_call, answer["status"], trio.current_time()))

    async def _start(self, start: Start) -> None:
        version = start.child.version
        command = version.command if version is not None and version.command else self.plan.command
        file = version.file if version is not None and version.file else self.file
        environ = {**os.environ, "THISTLESHORE_VERSION": start.child.name}
        command = command or (sys.executable, "-O", "-m", "thistleshore")
        try:
            if why := forbidden_reason(version, self.plan):
                raise PermissionError(errno.EPERM, why)
            if shutil.which(command[0]) is None:
                raise FileNotFoundError(errno.ENOENT, f"there is no command {command[0]}")
            with (self.folder / OUTPUT).open("ab") as output:
                process = subprocess.Popen(
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
                self.keeper.on_not_started(start.beside, f"cannot be started: {problem.strerror}", trio.current_time())
            )
            return
        child = Child(version, process.pid, start_ticks(process.pid))
        self._children[process.pid] = process
        log.info(
            "keeper: started %d as %s%s",
            process.pid,
            child.name or "its first version",
            " beside the one that serves" if start.beside else "",
        )
        actions = self.keeper.on_started(child, start.beside, trio.current_time())
        self._write()
        assert process.stdin is not None
        with suppress(OSError), process.stdin:
            process.stdin.write(b"!")
        self._watch(child)
        await self._carry_out(actions)

    def _watch(self, child: Child) -> None:
        if child.pid not in self._watched:
            self._watched.add(child.pid)
            self._nursery.start_soon(self._wait_for_exit, child)

    async def _wait_for_exit(self, child: Child) -> None:
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
        process = self._children.pop(child.pid, None)
        status = None if process is None else process.wait()
        self._watched.discard(child.pid)
        log.info("keeper: %d has ended%s", child.pid, "" if status is None else f" with status {status}")
        await self._carry_out(self.keeper.on_ended(child.pid, status, trio.current_time()))

    def _write(self) -> None:
        state = self.keeper.state
        if state == self._written:
            return
        phase, before = state.phase, self._written.phase if self._written is not None else "down"
        temporary = self.folder / (FILE + ".new")
        with temporary.open("wb") as out:
            out.write(msgspec.json.encode(state))
            out.flush()
            os.fsync(out.fileno())
        os.replace(temporary, self.folder / FILE)
        self._written = state
        if phase != before and phase in POINTS:
            point(POINTS[phase])

    # -- admin calls

    async def _ask(self, what: str, timeout: float = ANSWER_TIMEOUT) -> dict[str, Any] | None:
        answer = await call(self.admin, f"FLEET {what}", timeout)
        try:
            result = json.loads(answer.split("\n")[0])
        except ValueError:
            return None
        return result if isinstance(result, dict) else None
