"""A command that a signal stops in order."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

T = TypeVar("T")


async def until_stopped(work: Callable[[], Awaitable[T]]) -> T | None:
    """What it comes to, or None where SIGINT or SIGTERM has ended it: it is cancelled, and cleans up."""
    found: T | None = None
    async with trio.open_nursery() as nursery:

        async def stop() -> None:
            with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

        nursery.start_soon(stop)
        found = await work()
        nursery.cancel_scope.cancel()
    return found
