"""The listening side that both fronts share: accepting, limits on connections, and the drain."""

from __future__ import annotations

import logging
import socket as stdlib
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, suppress

import trio

from thistleshore.addresses import ip_number
from thistleshore.draining import DrainClock
from thistleshore.waiting import NEWCOMER_GRACE, WaitingConnections

log = logging.getLogger("thistleshore")

ACCEPT_FOR = 0.55  # s after SIGTERM in which connections still come
BACKLOG = 512
NO_SOCKET_PAUSE = 0.05  # s before accepting is tried again
LINGER = 1.0  # s in which what a downstream still sends is discarded, so that it gets to read its last answer
DISCARD = bytearray(64 * 1024)  # what is discarded, of all connections; nobody reads it
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)
KEPT_SPARE = 8  # connections that a drain should leave free, or a third: who finds none takes us for dead
ROOM_TRIES = 4  # waits of that grace for room, after which a connection is closed unheard


def peer_address(socket: trio.SocketStream) -> int:
    """Who a connection comes from, as rules see it; 0 where the transport names no address."""
    try:
        name = socket.socket.getpeername()
    except OSError:  # it has gone already
        return 0
    return (ip_number(name[0]) or 0) if isinstance(name, tuple) else 0


Handler = Callable[[trio.SocketStream], Awaitable[None]]


class Gate:
    """One listener and the connections that came by it."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.draining = trio.Event()
        self.listening = False
        self.connections = 0
        self.drain = DrainClock()
        self.shared = False  # another process may listen beside this one
        self.inherited: stdlib.socket | None = None  # the socket that another process accepted from
        self.listener: trio.SocketListener | None = None  # while it is open
        self.aside = False  # another process accepts
        self._accepting, self._resumed, self._stopped_listening = trio.CancelScope(), trio.Event(), trio.Event()
        self._waits = WaitingConnections()
        self._room = trio.Event()

    @property
    def spare(self) -> float:
        """How far the free connections of a drain, in which no new ones come, go: 1 is enough, 0 none."""
        wanted = min(KEPT_SPARE, self.connections // 3) if self.draining.is_set() and not self.aside else 0
        return min(1.0, self._waits.idle / wanted) if wanted else 1.0

    @property
    def closing(self) -> bool:
        """Idle connections are closed, and each answer ends its connection."""
        return self._waits.closing

    @property
    def ready(self) -> bool:
        """It takes what comes, and goes on to."""
        return self.listening and not self.draining.is_set()

    @property
    def leaving_soon(self) -> bool:
        """Every answer may end its connection: its client finds another process at the same address."""
        return self.aside and self.draining.is_set()

    def step_aside(self, aside: bool) -> None:
        """Accept no more, as another process does from the same socket; or accept again, as it has gone."""
        self.aside = aside
        if aside:
            self._accepting.cancel()
        else:
            self._resumed.set()
            self._resumed = trio.Event()

    async def _listen(self, address: tuple[str, int]) -> trio.SocketListener:
        if self.inherited is not None:
            return trio.SocketListener(trio.socket.from_stdlib_socket(self.inherited))
        if not self.shared:
            (listener,) = await trio.open_tcp_listeners(address[1], host=address[0], backlog=BACKLOG)
            return listener
        family = trio.socket.AF_INET6 if ":" in address[0] else trio.socket.AF_INET
        socket = trio.socket.socket(family, trio.socket.SOCK_STREAM)
        for option in (trio.socket.SO_REUSEADDR, trio.socket.SO_REUSEPORT):
            socket.setsockopt(trio.socket.SOL_SOCKET, option, 1)
        await socket.bind(address)
        socket.listen(BACKLOG)
        return trio.SocketListener(socket)

    async def run(
        self,
        address: tuple[str, int],
        nursery: trio.Nursery,
        handler: Handler,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept until some time after `draining` is set; connections go on in the nursery."""
        self.listener = listener = await self._listen(address)
        async with listener:
            self.listening = True
            log.info("listening on %s:%d", *address)
            task_status.started()
            with trio.CancelScope() as accepting:
                nursery.start_soon(self._end_serving, accepting)
                await self._accept(listener, nursery, handler)
            await self._accept_waiting(listener, nursery, handler)
        self.listening, self.listener = False, None
        self._stopped_listening.set()

    async def _end_serving(self, accepting: trio.CancelScope) -> None:
        await self.draining.wait()
        self.drain.start()
        await trio.sleep(ACCEPT_FOR)  # the front before us goes on dealing connections out for a while
        accepting.cancel()
        await self._stopped_listening.wait()
        # Clients go on by the connections that they have, and nobody else may be there to serve them.
        with self.drain.serving_kept:
            while self.connections:
                self._room = trio.Event()
                await self._room.wait()
        self.close_idle()

    def close_idle(self) -> None:
        """Close idle connections, now and from now on, and each other one with its answer."""
        self._waits.close_idle()

    async def _accept(self, listener: trio.SocketListener, nursery: trio.Nursery, handler: Handler) -> None:
        while True:
            for _ in range(ROOM_TRIES):
                if self.connections < self.max_connections:
                    break
                self._room = trio.Event()
                self._waits.make_room(self.max_connections)
                with trio.move_on_after(NEWCOMER_GRACE):
                    await self._room.wait()
            if self.aside:
                await self._resumed.wait()
                continue
            try:
                with trio.CancelScope() as self._accepting:
                    socket = await listener.accept()
                if self._accepting.cancelled_caught:
                    continue
            except OSError as problem:
                # Out of descriptors, or a client that gave up: a crash here would lose every stream that was taken.
                log.warning("cannot accept: %s", problem)
                await trio.sleep(NO_SOCKET_PAUSE)
                continue
            self._admit(socket, nursery, handler)

    async def _accept_waiting(self, listener: trio.SocketListener, nursery: trio.Nursery, handler: Handler) -> None:
        """Take what has connected by now: a close of the listener would reset it, with all that it has sent."""
        for _ in range(BACKLOG):  # a crowd that goes on connecting must not keep it open
            if self.aside or not listener.socket.is_readable():
                return
            with trio.move_on_after(NEWCOMER_GRACE):  # it may have gone since
                try:
                    socket = await listener.accept()
                except OSError as problem:
                    log.warning("cannot accept: %s", problem)
                    return
                self._admit(socket, nursery, handler)

    def _admit(self, socket: trio.SocketStream, nursery: trio.Nursery, handler: Handler) -> None:
        if self.connections >= self.max_connections:
            # Nobody gives way: over the limit on sockets nothing could be sent on, and left in the backlog a
            # connection would get neither an answer nor a close.
            socket.socket.close()
            return
        self.connections += 1
        nursery.start_soon(self._serve, handler, socket)

    async def _serve(self, handler: Handler, socket: trio.SocketStream) -> None:
        try:
            await handler(socket)
        except BROKEN:
            pass
        except Exception:
            # A fault in one connection must not end the program.
            log.exception("fault in a downstream connection")
        finally:
            self.connections -= 1
            self._room.set()
            socket.socket.close()

    def waiting(
        self, socket: trio.SocketStream, arrived: float | None, idle: bool = False
    ) -> AbstractContextManager[trio.CancelScope]:
        """A wait that is called off to make room, and where it is idle, when idle connections are closed.

        `arrived` says since when a newcomer is here; None: the connection is kept.
        """
        return self._waits.waiting(socket, arrived, idle)

    async def linger(self, socket: trio.SocketStream) -> None:
        """End our side of a connection that has had its last answer, and discard for a while what still comes.

        Closing over unread input would reset the connection and lose the answer.
        """
        with trio.move_on_after(LINGER), self._waits.leaving(socket), suppress(OSError):
            await socket.send_eof()
            while await socket.socket.recv_into(DISCARD):
                pass
