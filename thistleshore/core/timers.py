"""The broker's timers: tokens by the time at which they are due."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

COMPACT_LEAST = 1024  # timers below which outdated ones are left where they are


class TimerQueue:
    """A heap of timers without a way to cancel one: those that are needed no more are dropped as they pile up.

    `needed` says of a token whether its timer still means anything.  A client may say that it waits for an hour, and
    a timer for that hour is set though its request ends in a moment: kept, such timers would fill the memory.
    """

    def __init__(self, needed: Callable[[int], bool]) -> None:
        self._needed = needed
        self._heap: list[tuple[float, int]] = []
        self._compact_at = COMPACT_LEAST

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_due(self) -> float:
        """When the first timer is due, in seconds on the clock of `add`; there has to be one."""
        return self._heap[0][0]

    def add(self, due: float, token: int) -> None:
        """Set a timer."""
        heappush(self._heap, (due, token))
        if len(self._heap) >= self._compact_at:
            self._heap = [timer for timer in self._heap if self._needed(timer[1])]
            heapify(self._heap)
            self._compact_at = max(COMPACT_LEAST, 2 * len(self._heap))

    def pop(self) -> int:
        """Remove the timer that is due first; returns its token."""
        return heappop(self._heap)[1]
