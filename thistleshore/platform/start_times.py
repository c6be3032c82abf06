"""Start times of hosts on this process's own clock.

Lists give them as Unix time.  A wall clock may be stepped, by seconds or an hour, while the process runs; its monotonic
clock runs on.  Each start is mapped once, when a list first tells of it, and stays there whatever the wall clock does
later.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from math import inf

StartOf = Callable[[bytes, float], float]  # of a host and its Unix time of start: where it is on the monotonic clock

OFFSETS_MOST = 8  # offsets of the wall clock that are remembered, the latest ones
STEP_LEAST = 0.2  # s by which an offset differs from a known one where the wall clock was stepped, and not only slewed
SKEW = 0.1  # s by which a start may seem to lie ahead, as clocks of two machines differ a little
STARTS_MOST = 8192  # hosts whose start is remembered


def at_epoch(epoch: float) -> StartOf:
    """The mapping where the wall clock is as it was; `epoch`: what the monotonic clock showed at Unix time 0."""
    return lambda host, born: born + epoch if born else 0.0


class StartTimes:
    """Maps Unix times of starts to the monotonic clock."""

    def __init__(self, epoch: float) -> None:
        """`epoch`: what the monotonic clock showed at Unix time 0, by the wall clock at the process's start."""
        self._epochs = [epoch]
        self._known: OrderedDict[bytes, tuple[float, float]] = OrderedDict()  # by host: Unix time, and where it is here

    def on_clock(self, epoch: float) -> None:
        """The wall clock as it is now; called before a list is read."""
        if all(abs(epoch - known) >= STEP_LEAST for known in self._epochs):
            self._epochs = [*self._epochs, epoch][-OFFSETS_MOST:]

    def started_at(self, host: bytes, born: float, now: float) -> float:
        """When that host started, by the monotonic clock; 0 for long ago.

        After a step it is not told which clock a start was written by.  Of all that it may be, the latest counts that
        is not after `now`: a host that is taken for colder than it is gets a little less, one for warmer is overloaded.
        """
        if not born:
            return 0.0
        known = self._known.get(host)
        if known is None or known[0] != born:
            after = known[1] if known is not None else -inf  # a host starts again after its last start
            possible = [born + epoch for epoch in self._epochs if after < born + epoch <= now + SKEW]
            known = self._known[host] = born, min(now, max(possible, default=now))
        self._known.move_to_end(host)
        if len(self._known) > STARTS_MOST:
            self._known.popitem(last=False)
        return known[1]
