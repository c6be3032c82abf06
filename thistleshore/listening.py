"""Listening where another process may still be: in an upgrade the one before has the address for a while."""

from __future__ import annotations

import logging

import trio

log = logging.getLogger("thistleshore")

TAKEN_PAUSE = 0.2  # s before an address that is taken is tried again


async def patiently(address: tuple[str, int], without: str) -> trio.SocketListener:
    """A listener there, once it can be had; until then a line in the log says once what there is none of."""
    told = False
    while True:
        try:
            (listener,) = await trio.open_tcp_listeners(address[1], host=address[0])
            return listener
        except OSError as problem:
            if not told:
                log.error("no %s on %s:%d yet: %s", without, *address, problem)
                told = True
            await trio.sleep(TAKEN_PAUSE)
