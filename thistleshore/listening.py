"""Listening where another process may still be: in an upgrade the one before has the address for a while."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

log = logging.getLogger("thistleshore")

TAKEN_PAUSE = 0.2  # s before an address that is taken is tried again


class Aside:
    """A part of this process that the next one of a hot restart takes over, and that comes back where that has gone."""

    def __init__(self) -> None:
        self.aside = False
        self._back, self._scope = trio.Event(), trio.CancelScope()

    def turn(self, aside: bool) -> None:
        """Leave it to the next process, or have it again; asked twice is asked once."""
        if aside != self.aside:
            self.aside = aside
            if aside:
                self._back = trio.Event()
                self._scope.cancel()
            else:
                self._back.set()

    async def run(self, part: Callable[[], Awaitable[None]]) -> None:
        """Do that part whenever this process has it, until cancelled; it is cancelled whenever it is left."""
        while True:
            if self.aside:
                await self._back.wait()
            with trio.CancelScope() as self._scope:
                await part()


async def patiently(address: tuple[str, int], without: str, backlog: int | None = None) -> trio.SocketListener:
    """A listener there, once it can be had; until then a line in the log says once what there is none of."""
    told = False
    while True:
        try:
            (listener,) = await trio.open_tcp_listeners(address[1], host=address[0], backlog=backlog)
            return listener
        except OSError as problem:
            if not told:
                log.error("no %s on %s:%d yet: %s", without, *address, problem)
                told = True
            await trio.sleep(TAKEN_PAUSE)
