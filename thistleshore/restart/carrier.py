"""The Unix socket between the two processes of a hot restart: state and sockets go over it, then what is news."""

from __future__ import annotations

import array
import logging
import os
import socket
import struct
from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import Any, NamedTuple, Protocol

import trio

from thistleshore.gate import NO_SOCKET_PAUSE
from thistleshore.platform.stream_names import pieces
from thistleshore.restart import frame
from thistleshore.restart.link import RECEIVE, Link

log = logging.getLogger("thistleshore")

ASK_WITHIN = 1.5  # s for the whole hand-over: the newcomer has 6 s to be ready, and can start without it
TELL_AFTER = 0.02  # s: a next process of an older version takes lines that come with the frame for a part of it
PIECE_MOST = 3000  # bytes of names that one line tells
FDS_MOST = 4
PATH_MOST = 100  # bytes of a Unix socket's path
CHILDREN_MOST = 4


class Inherited(NamedTuple):
    """What the process before leaves: values, sockets by name, and the line to it."""

    values: Mapping[str, Any]
    sockets: Mapping[str, socket.socket]
    link: Link


async def ask(path: str) -> Inherited | None:
    """Ask the process that serves; None, and a line in the log, where none does or its answer is no good."""
    if not os.path.exists(path):
        log.info("no process before this one: starting cold")
        return None
    sock: trio.socket.SocketType | None = None
    passed: list[int] = []
    try:
        sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        with trio.fail_after(ASK_WITHIN):
            await sock.connect(_reachable(path))
            _check_owner(sock)
            await _send_all(sock, frame.GREETING)
            data, found = b"", None
            while found is None:
                part, more, _, _ = await sock.recvmsg(RECEIVE, socket.CMSG_LEN(FDS_MOST * 4))
                passed += _descriptors(more)
                if not part:
                    raise frame.Spoilt("it was cut off")
                data += part
                found = frame.read_frame(data)
        values = found.values
        names = values.get("sockets", [])
        if not isinstance(names, list) or len(names) != len(passed):
            raise frame.Spoilt("its sockets are not those it names")
        taken = {str(name): socket.socket(fileno=fd) for name, fd in zip(names, passed, strict=True)}
        return Inherited(values, taken, Link(sock, found.rest))
    except (OSError, trio.TooSlowError, frame.Spoilt) as problem:
        log.warning("nothing inherited, starting cold: %s: %s", type(problem).__name__, problem)
        for fd in passed:
            with suppress(OSError):
                os.close(fd)
        if sock is not None:
            sock.close()
        return None


class HasFile(Protocol):
    def fileno(self) -> int: ...


class HandoverHandler(Protocol):
    """What the process that serves does for the processes that take over from it."""

    def snapshot(self) -> tuple[Mapping[str, Any], Sequence[tuple[str, HasFile]]]:
        """The state to hand over, and the sockets by name."""
        ...

    def step_aside(self, aside: bool) -> None:
        """The next process serves, or has gone again."""
        ...

    async def on_ban(self, host: str, out: bool, source: Link) -> None:
        """An operator has taken a host out at the other process, or called it back."""
        ...

    def on_stream_names(self, values: Mapping[str, Any], source: Link) -> None:
        """Another process has told of streams that were opened there."""
        ...

    def on_unused_names(self, names: Any, source: Link) -> None:
        """Another process has told of streams that have ended there and never ran."""
        ...


class HandoverLinks:
    """One process's links to the process before it and to those that come after."""

    def __init__(self, path: str, handler: HandoverHandler) -> None:
        self.path, self.handler = path, handler
        self.links: list[Link] = []
        self.streams: list[Link] = []  # links that are told of each stream that is opened here
        self.before: Link | None = None  # to a process that would serve again in this one's place

    async def tell_ban(self, host: str, out: bool, source: Link | None = None) -> None:
        """Tell all others that live; those beyond hear it from them."""
        for link in list(self.links):
            if link is not source:
                await link.say(ban=host, out=out)

    def tell_streams(self, names: Sequence[str], left: float, source: Link | None = None) -> None:
        """Tell all others of streams that are opened, by name, at once and without waiting.

        They know the names for `left` seconds; those beyond hear it from them.
        """
        for part in pieces(list(names), PIECE_MOST):
            for link in self.streams:
                if link is not source:
                    link.tell(names=part, left=round(left, 3))

    def tell_unused(self, names: Sequence[str], source: Link | None = None) -> None:
        """Tell all others of streams that have ended and never ran: their names may be used again."""
        for part in pieces(list(names), PIECE_MOST):
            for link in self.streams:
                if link is not source:
                    link.tell(unused=part)

    def hear_streams(self) -> None:
        """Take in what others have told of their streams by now, before one is opened here."""
        for link in self.links:
            for values in link.look_ahead():
                self._hear_of_streams(values, link)

    def _hear_of_streams(self, values: Mapping[str, Any], link: Link) -> None:
        if "names" in values:
            self.handler.on_stream_names(values, link)
        if "unused" in values:
            self.handler.on_unused_names(values["unused"], link)

    async def on_drain(self) -> None:
        """This process ends: if the one before it still could serve it does so again, from now on and not only once
        this one is gone; and one that comes after must not count on this one for that."""
        before, self.before = self.before, None
        if before is not None:
            self.handler.step_aside(True)
            await before.say(ready=False)
        for link in list(self.links):
            if link is not before:
                await link.say(drains=True)

    async def follow(self, link: Link, serving: trio.Event) -> None:
        """Say that this process serves once it does, and hear of bans until the one before has gone."""
        self.links.append(link)
        try:
            await serving.wait()
            await link.say(ready=True)
            self.before = link
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.run_writer)
                await self._hear(link)
                nursery.cancel_scope.cancel()
        finally:
            self.before = None
            self.links.remove(link)
            if link in self.streams:
                self.streams.remove(link)
            link.close()

    async def _hear(self, link: Link) -> bool:
        """Whether the other has said that it serves, once it is gone."""
        serves = False
        async for values in link.heard():
            if values.get("ready") is True and not serves:
                serves = True
                self.handler.step_aside(True)
            if values.get("ready") is False and serves:
                serves = False
                self.handler.step_aside(False)
            if values.get("drains") is True and link is self.before:
                self.before = None
            self._hear_of_streams(values, link)
            if isinstance(values.get("ban"), str):
                await self.handler.on_ban(values["ban"], values.get("out") is True, link)
        return serves

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Hand over to those that come, until cancelled; started once they find it."""
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
            try:
                await self._bind(listener)
            except OSError as problem:
                log.warning("no hot restart: %s", problem)
                return
            finally:
                task_status.started()
            try:
                async with trio.open_nursery() as nursery:
                    while True:
                        try:
                            sock, _ = await listener.accept()
                        except OSError:
                            await trio.sleep(NO_SOCKET_PAUSE)
                            continue
                        if len(nursery.child_tasks) < CHILDREN_MOST:
                            nursery.start_soon(self._hand_over, sock)
                        else:
                            sock.close()
            finally:
                self._unbind()

    async def _bind(self, listener: trio.socket.SocketType) -> None:
        """Take the path over in one step: there is always a process behind it, or nobody."""
        mine = f"{self.path}.{os.getpid()}"
        with suppress(FileNotFoundError):
            os.unlink(mine)
        await listener.bind(_reachable(mine))
        os.chmod(mine, 0o600)
        listener.listen(CHILDREN_MOST)
        os.rename(mine, self.path)
        self._inode = os.stat(self.path).st_ino

    def _unbind(self) -> None:
        with suppress(OSError):
            if os.stat(self.path).st_ino == self._inode:  # else it is the successor's already
                os.unlink(self.path)

    async def _hand_over(self, sock: trio.socket.SocketType) -> None:
        link = Link(sock, held=True)
        serves = False
        try:
            with trio.fail_after(ASK_WITHIN):
                _check_owner(sock)
                await _read_greeting(sock)
                self.streams.append(link)  # before the snapshot, so that no stream is left out
                values, sockets = self.handler.snapshot()
                await _send_frame(sock, values, sockets)
                await trio.sleep(TELL_AFTER)
            link.release()
            self.links.append(link)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.run_writer)
                serves = await self._hear(link)
                nursery.cancel_scope.cancel()
        except (OSError, trio.TooSlowError, frame.Spoilt) as problem:
            log.warning("hand-over not done: %s: %s", type(problem).__name__, problem)
        except Exception:
            # A fault here must not end the process that serves.
            log.exception("fault in a hand-over")
        finally:
            for known in (self.links, self.streams):
                if link in known:
                    known.remove(link)
            link.close()
        if serves:
            self.handler.step_aside(False)


async def _read_greeting(sock: trio.socket.SocketType) -> None:
    greeting = b""
    while not greeting.endswith(b"\n") and len(greeting) < frame.HEAD_MOST:
        if not (part := await sock.recv(frame.HEAD_MOST)):
            raise frame.Spoilt("it has gone again")
        greeting += part
    if greeting != frame.GREETING:
        raise frame.Spoilt("the greeting is of another version")


async def _send_frame(
    sock: trio.socket.SocketType, values: Mapping[str, Any], sockets: Sequence[tuple[str, HasFile]]
) -> None:
    data = frame.framed({**values, "sockets": [name for name, _ in sockets]})
    fds = array.array("i", [kept.fileno() for _, kept in sockets])
    more = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, fds)] if fds else []
    sent = await sock.sendmsg([data], more)
    await _send_all(sock, data[sent:])
    log.info("handed over to the next process: %d bytes, %d sockets", len(data), len(sockets))


def _reachable(path: str) -> str:
    """The same file by a path that fits a socket's address, however deep its folder is."""
    if len(os.fsencode(path)) <= PATH_MOST:
        return path
    folder = os.open(os.path.dirname(path), os.O_PATH | os.O_DIRECTORY)  # open as long as the process lives
    return f"/proc/self/fd/{folder}/{os.path.basename(path)}"


def _check_owner(sock: trio.socket.SocketType) -> None:
    """Whoever else can reach the folder must not be handed the clients, nor pass for the one who serves them."""
    _, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i")))
    if user != os.getuid():
        raise frame.Spoilt("the other process is another user's")


def _descriptors(ancillary: Sequence[tuple[int, int, bytes]]) -> list[int]:
    found = array.array("i")
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            found.frombytes(data[: len(data) - len(data) % found.itemsize])
    return list(found)


async def _send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    while data:
        data = data[await sock.send(data) :]
