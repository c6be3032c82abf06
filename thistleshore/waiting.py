"""Connections of a front that wait for their client, and which of them give way where connections run short.

Connections that have said nothing whole yet are newcomers.  They go first, the longest silent of them before all, so
that a crowd which connects and says nothing cannot take the place of usual clients.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import trio

NEWCOMER_GRACE = 0.05  # s in which even a crowd leaves a newcomer time to speak
NEWCOMER_SHARE = 0.25  # of the connections: as many newcomers find room before kept ones give way


class Wait(NamedTuple):
    """A connection that waits and may be told to give way."""

    socket: trio.SocketStream
    arrived: float


Waits = dict[trio.CancelScope, Wait]  # the first to give way comes first


class WaitingConnections:
    """The waits of one front's connections; each is cancelled to make room, and idle ones once idle ones are closed."""

    def __init__(self) -> None:
        self.closing = False  # idle connections are closed
        # In the order in which they give way: those that have had their last answer, newcomers, kept ones.
        self._leaving: Waits = {}
        self._newcomers: Waits = {}
        self._kept: Waits = {}
        self._idle: set[trio.CancelScope] = set()  # waits in which nothing has been begun

    @property
    def idle(self) -> int:
        """How many connections wait with nothing begun."""
        return len(self._idle)

    def close_idle(self) -> None:
        """Close idle connections, now and from now on."""
        self.closing = True
        for scope in self._idle:
            scope.cancel()

    def make_room(self, max_connections: int) -> None:
        """Tell one connection to give way, if any may."""
        late = trio.current_time() - NEWCOMER_GRACE
        for scope in self._leaving:
            if not scope.cancel_called:
                return scope.cancel()
        for scope, wait in self._newcomers.items():
            # What is there to be read may be a whole request.
            if wait.arrived <= late and not scope.cancel_called and not wait.socket.socket.is_readable():
                return scope.cancel()
        if len(self._newcomers) < NEWCOMER_SHARE * max_connections:
            for scope in self._kept:
                if not scope.cancel_called:
                    return scope.cancel()

    @contextmanager
    def waiting(self, socket: trio.SocketStream, arrived: float | None, idle: bool) -> Iterator[trio.CancelScope]:
        """A wait; `arrived` says since when a newcomer is here; None: the connection is kept."""
        waits = self._kept if arrived is None else self._newcomers
        with self._listed(waits, Wait(socket, arrived or 0.0)) as scope:
            if idle:
                self._idle.add(scope)
                if self.closing:  # accepted at the last moment: nobody would cancel its wait any more
                    scope.cancel()
            try:
                yield scope
            finally:
                self._idle.discard(scope)

    @contextmanager
    def leaving(self, socket: trio.SocketStream) -> Iterator[trio.CancelScope]:
        """A connection that has had its last answer."""
        with self._listed(self._leaving, Wait(socket, 0.0)) as scope:
            yield scope

    @contextmanager
    def _listed(self, waits: Waits, wait: Wait) -> Iterator[trio.CancelScope]:
        with trio.CancelScope() as scope:
            waits[scope] = wait
            try:
                yield scope
            finally:
                del waits[scope]
