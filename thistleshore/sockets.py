"""What the system knows of a connection beyond the bytes that have been read."""

from __future__ import annotations

import fcntl
import select
import struct
import termios

import trio

RESET = select.POLLERR | select.POLLHUP  # as long as our side has not been ended
COUNT = struct.Struct("i")


def has_closed(stream: trio.SocketStream) -> bool:
    """Whether the other side has closed, ended its sending or reset, also where bytes that it sent are unread."""
    return stream.socket.fileno() < 0 or _poll(stream) != 0


def was_reset(stream: trio.SocketStream) -> bool:
    """Whether the other side has reset the connection."""
    return stream.socket.fileno() >= 0 and bool(_poll(stream) & RESET)


def undelivered(stream: trio.SocketStream) -> int:
    """How many bytes were written here that the other machine has not acknowledged; after a reset, never will."""
    if stream.socket.fileno() < 0:
        return 0
    return int(COUNT.unpack(fcntl.ioctl(stream.socket.fileno(), termios.TIOCOUTQ, bytes(COUNT.size)))[0])


def _poll(stream: trio.SocketStream) -> int:
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLRDHUP)  # errors and resets are told besides
    return next((events for _, events in poll.poll(0)), 0)
