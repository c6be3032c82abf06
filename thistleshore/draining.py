"""The clock of a drain: until when a front serves kept connections, reads what has begun to come, and answers."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

import trio

log = logging.getLogger("thistleshore")

# SIGKILL comes after the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
SERVE_FOR = 3.0  # s after SIGTERM, or that deadline, in which what comes by connections that were kept is still taken
READ_MORE = 0.25  # s after that in which a request that has begun to come is still read
ANSWER_MORE = 0.5  # s after that time in which all is answered: a hold-up of the process may follow, then SIGKILL
READ_WITHIN = 2.0  # s from a connection's start, or a later request's first byte, to a request's last byte


class DrainClock:
    """The times of one front's drain; before it begins they are infinite."""

    def __init__(self) -> None:
        self.answer_by = inf  # when the last answer must be out: SIGKILL follows
        self.serving_kept = trio.CancelScope()  # the time in which kept connections are served
        self._read_by = inf
        self._reads = set[trio.CancelScope]()  # reads of requests that have begun to come
        self._longest_deadline = inf  # s, of any class
        self._started_at: float | None = None

    def set_longest_deadline(self, seconds: float) -> None:
        """Set the longest deadline of any class, by which a drain goes.

        New settings in a drain can only shorten it: SIGKILL may come by the settings before them or by the new ones.
        """
        if self._started_at is None:
            self._longest_deadline = seconds
        elif seconds < self._longest_deadline:
            self._longest_deadline = seconds
            self._schedule(self._started_at)

    def start(self) -> None:
        """The drain begins."""
        self._started_at = trio.current_time()
        self._schedule(self._started_at)

    def _schedule(self, started_at: float) -> None:
        serve_for = min(SERVE_FOR, self._longest_deadline)
        self.serving_kept.deadline = started_at + serve_for
        self.answer_by = self.serving_kept.deadline + ANSWER_MORE
        self._read_by = self.serving_kept.deadline + READ_MORE
        for read in self._reads:
            read.deadline = min(read.deadline, self._read_by)
        log.info("drain: kept connections served for %.3g s, answers due %.3g s later", serve_for, ANSWER_MORE)

    @contextmanager
    def reading(self, since: float) -> Iterator[trio.CancelScope]:
        """The time for a request that has begun to come, at `since` on trio's clock, to come whole.

        A request that withholds its end would hold a socket for good.  In a drain the time ends early enough for an
        answer: what has been written whole on an open connection has been taken, whether or not it was read.
        """
        with trio.CancelScope(deadline=min(since + READ_WITHIN, self._read_by)) as scope:
            self._reads.add(scope)
            try:
                yield scope
            finally:
                self._reads.discard(scope)

    @property
    def reads_are_over(self) -> bool:
        """Whether the drain has come so far that requests that are half read are refused."""
        return trio.current_time() >= self._read_by
