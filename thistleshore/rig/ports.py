"""Ports on loopback for what a rig or a test starts: none that another process is given, or that the system gives out.

A port that is free when it is looked at may be taken before it is bound: by another rig that looks at the same moment,
or by the system as the near end of a connection, which keeps it for a minute after its end.  So ports are below the
system's range, and each process draws from a block that it claims for as long as it lives.
"""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Iterator
from itertools import cycle

BLOCK = 2_000  # ports that one process draws from, in turn
RANGE = range(10_000, 32_000, BLOCK)  # where the blocks begin; the system gives out 32768 and above
CLAIM = "\0thistleshore-ports-{}"  # an abstract address: the system frees it with the process


class PortBlock:
    """The block of one process, claimed when the first port is drawn."""

    def __init__(self) -> None:
        self._claim: socket.socket | None = None
        self._ports: Iterator[int] = iter(())

    def draw(self, count: int) -> list[int]:
        """So many ports that nobody has now, for TCP and UDP; OSError where there are not so many."""
        if self._claim is None:
            self._claim_block()
        found: list[int] = []
        for port, _ in zip(self._ports, range(BLOCK), strict=False):
            if len(found) == count:
                break
            if is_free(port):
                found.append(port)
        if len(found) < count:
            raise OSError(errno.EADDRINUSE, f"{count} ports are wanted, and {len(found)} are free")
        return found

    def _claim_block(self) -> None:
        offset = os.getpid() % len(RANGE)  # others that start now look elsewhere first
        for begin in (*RANGE[offset:], *RANGE[:offset]):
            claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                claim.bind(CLAIM.format(begin))
            except OSError:
                claim.close()
                continue
            self._claim, self._ports = claim, cycle(range(begin, begin + BLOCK))
            return
        raise OSError(errno.EADDRINUSE, f"all {len(RANGE)} blocks of ports are claimed")


def is_free(port: int) -> bool:
    """Whether nobody listens on it or is bound to it; ended connections of an earlier listener do not count."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
    ):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            stream.bind(("127.0.0.1", port))
            datagrams.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_block = PortBlock()


def free_ports(count: int) -> list[int]:
    """So many ports of this process's block that nobody has now, for TCP and UDP."""
    return _block.draw(count)
