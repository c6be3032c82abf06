"""What the system knows of a connection beyond the bytes that have been read."""

from __future__ import annotations

import select

import trio

RESET = select.POLLERR | select.POLLHUP  # as long as our side has not been ended


def has_closed(stream: trio.SocketStream) -> bool:
    """Whether the other side has closed or reset the connection, also where bytes that it sent before are unread."""
    return stream.socket.fileno() < 0 or _poll(stream) != 0


def was_reset(stream: trio.SocketStream) -> bool:
    """Whether the other side has reset the connection: it closed without reading all that it was sent."""
    return stream.socket.fileno() >= 0 and bool(_poll(stream) & RESET)


def _poll(stream: trio.SocketStream) -> int:
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLRDHUP)  # errors and resets are told besides
    return next((events for _, events in poll.poll(0)), 0)
