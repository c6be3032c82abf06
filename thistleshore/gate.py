"""The listening side that both fronts share: accepting, limits on connections, and the drain."""

from __future__ import annotations

import errno
import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

log = logging.getLogger("thistleshore")

ACCEPT_FOR = 0.55  # s after SIGTERM in which connections still come, and idle ones stay open
BACKLOG = 512
NO_SOCKET_PAUSE = 0.05  # s before accepting is tried again
NO_SOCKET = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError)

Handler = Callable[[trio.SocketStream], Awaitable[None]]


class Gate:
    """One listener and the connections that came by it."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.draining = trio.Event()
        self.listening = False
        self.connections = 0
        self._closing = False
        self._idle: dict[trio.CancelScope, None] = {}  # waits of idle connections, the longest first
        self._room = trio.Event()

    async def run(self, address: tuple[str, int], nursery: trio.Nursery, handler: Handler,
                  task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:  # fmt: skip
        """Accept until some time after `draining` is set; connections go on in the nursery."""
        (listener,) = await trio.open_tcp_listeners(address[1], host=address[0], backlog=BACKLOG)
        async with listener:
            self.listening = True
            log.info("listening on %s:%d", *address)
            task_status.started()
            with trio.CancelScope() as accepting:
                nursery.start_soon(self._drain, accepting)
                await self._accept(listener, nursery, handler)
        self.listening = False

    async def _drain(self, accepting: trio.CancelScope) -> None:
        await self.draining.wait()
        await trio.sleep(ACCEPT_FOR)  # the front before us goes on dealing connections out for a while
        self._closing = True
        accepting.cancel()
        for idle in list(self._idle):
            idle.cancel()

    async def _accept(self, listener: trio.SocketListener, nursery: trio.Nursery, handler: Handler) -> None:
        while True:
            while self.connections >= self.most:
                # Over the limit on sockets nothing could be sent on: an idle connection makes room.
                self._room = trio.Event()
                if self._idle:
                    next(iter(self._idle)).cancel()
                with trio.move_on_after(1.0):
                    await self._room.wait()
            try:
                socket = await listener.accept()
            except OSError as problem:
                if problem.errno not in NO_SOCKET:
                    raise
                # Out of descriptors: a crash here would lose every stream that was taken.
                log.warning("cannot accept: %s", problem)
                await trio.sleep(NO_SOCKET_PAUSE)
                continue
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

    @contextmanager
    def idle(self) -> Iterator[trio.CancelScope]:
        """A wait that is called off to make room, and when idle connections are closed."""
        with trio.CancelScope() as scope:
            if self._closing:  # accepted at the last moment: nobody would cancel its wait any more
                scope.cancel()
            self._idle[scope] = None
            try:
                yield scope
            finally:
                del self._idle[scope]
