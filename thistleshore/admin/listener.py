"""Where operators call: accepts, reads one line, has it carried out, answers and closes."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from typing import Any

import trio

from thistleshore.admin import codec
from thistleshore.core.model import BanRequested, Event
from thistleshore.gate import BROKEN, NO_SOCKET_PAUSE
from thistleshore.listening import Aside, patiently

log = logging.getLogger("thistleshore")

CALLERS_MOST = 24  # at a time; far fewer than the descriptors that fronts and hosts leave free
LINE_WITHIN = 5.0  # s for a caller to say its line
ANSWER_WITHIN = 0.8  # s for the module to have a call, and for its caller to take the answer: it waits 1 s
LINGER = 0.2  # s in which what a caller still sends is read, so that it gets to read its answer
RECEIVE = 1024
BACKLOG = 128


class Admin:
    """The listener of one process."""

    def __init__(
        self, inbox: trio.MemorySendChannel[Event], ready: Callable[[], bool], figures: Callable[[], Mapping[str, Any]]
    ) -> None:
        self.inbox, self.ready, self.figures = inbox, ready, figures
        self.tell_ban: Callable[[str, bool], Awaitable[None]] | None = None  # to the other process of a restart
        self.fleet: Callable[[str, str], Awaitable[tuple[bool, Any]]] | None = None
        # Callers that have not said their line, the longest silent first.
        self._silent: dict[trio.CancelScope, None] = {}
        self._aside = Aside()

    async def run(
        self, address: tuple[str, int], task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled.  An address that cannot be had is tried again: clients are served without it."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            await self._aside.run(lambda: self._accept(address, nursery))

    def step_aside(self, aside: bool) -> None:
        """Leave the address to the next process of a hot restart, which has the same; or have it again."""
        self._aside.turn(aside)

    async def _accept(self, address: tuple[str, int], nursery: trio.Nursery) -> None:
        listener = await patiently(address, "admin interface", BACKLOG)
        log.info("admin interface on %s:%d", *address)
        async with listener:
            while True:
                try:
                    socket = await listener.accept()
                except OSError as problem:
                    log.warning("cannot accept an admin call: %s", problem)
                    await trio.sleep(NO_SOCKET_PAUSE)
                    continue
                if len(nursery.child_tasks) >= CALLERS_MOST:
                    # Callers that connect and say nothing must not keep out one that does.
                    for scope in list(self._silent)[:1]:
                        del self._silent[scope]
                        scope.cancel()
                nursery.start_soon(self._serve, socket)

    async def _serve(self, socket: trio.SocketStream) -> None:
        try:
            answer = await self._answer(socket)
            with trio.move_on_after(ANSWER_WITHIN):
                await socket.send_all(answer)
                await self._linger(socket)
        except BROKEN:
            pass  # the caller has gone
        except Exception:
            # A fault at one call must not end the program.
            log.exception("fault at an admin call")
        finally:
            socket.socket.close()

    async def _answer(self, socket: trio.SocketStream) -> bytes:
        reader, call = codec.LineReader(), None
        try:
            with trio.CancelScope(deadline=trio.current_time() + LINE_WITHIN) as silent:
                self._silent[silent] = None
                try:
                    while call is None:
                        call = reader.feed(await socket.receive_some(RECEIVE))
                finally:
                    self._silent.pop(silent, None)
        except codec.BadCall as problem:
            return codec.no(str(problem))
        return codec.no("no line came in time") if call is None else await self._carry_out(call)

    async def _carry_out(self, call: codec.Call) -> bytes:
        if call.name == "PING":
            return codec.yes() if self.ready() else codec.no("not ready")
        if call.name == "INFO":
            return codec.figures(self.figures())
        if call.name == "FLEET":
            if self.fleet is None:
                return codec.no("no [fleet] in the file")
            try:
                done, told = await self.fleet(call.host, call.more)
            except ValueError as problem:
                return codec.no(str(problem).replace("\n", " "))
            return codec.figures(told) if done else codec.no(str(told))
        asked = BanRequested(call.host.encode(), call.name == "DETACH")
        with trio.move_on_after(ANSWER_WITHIN):
            await self.inbox.send(asked)
            await asked.done.wait()
            if asked.known and self.tell_ban is not None:
                await self.tell_ban(call.host, asked.banned)
            return codec.yes() if asked.known else codec.no("no ticket worker has that ID")
        return codec.no("not done yet")  # it is in the queue, and will be

    @staticmethod
    async def _linger(socket: trio.SocketStream) -> None:
        """Closing over unread input would reset the connection, and the answer with it."""
        with trio.move_on_after(LINGER), suppress(OSError):
            await socket.send_eof()
            while await socket.receive_some(RECEIVE):
                pass
