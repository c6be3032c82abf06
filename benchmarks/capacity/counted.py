"""Counts the bytes that a process sends, in memory that another process can read; and loses some on its word.

python -O -m benchmarks.capacity.counted COUNTS MODULE [ARGUMENT ...]     # that module's program, counted
"""

from __future__ import annotations

import mmap
import random
import runpy
import socket
import sys
from pathlib import Path
from typing import Any, NamedTuple

FIELDS = 7  # the counts, and the share of datagrams to lose
LOSS_FIELD = 6
MILLIONTHS = 1_000_000
DISTRIBUTION = b"tC"  # how datagrams begin that are of the distribution of configuration
BYTES_EACH = 8


class Sent(NamedTuple):
    """What a process has sent since its start."""

    udp_bytes: int
    udp_sends: int
    tcp_bytes: int
    tcp_sends: int
    distribution_bytes: int  # of the bytes by UDP
    distribution_sends: int

    def since(self, before: Sent) -> Sent:
        return Sent(*(now - then for now, then in zip(self, before, strict=True)))


def create(file: Path) -> None:
    """An empty file of counts, before the process that counts is started."""
    file.write_bytes(bytes(FIELDS * BYTES_EACH))


def read(file: Path) -> Sent:
    return Sent(*memoryview(file.read_bytes()).cast("Q")[:LOSS_FIELD])


def lose(file: Path, share: float) -> None:
    """Have the process that counts there lose this share of its datagrams from now on."""
    with file.open("r+b") as opened:
        opened.seek(LOSS_FIELD * BYTES_EACH)
        opened.write(round(share * MILLIONTHS).to_bytes(BYTES_EACH, sys.byteorder))


def install(file: Path) -> None:
    """Count from now on; to be called before trio is imported, which keeps the methods that it finds."""
    with file.open("r+b") as opened:
        counts = memoryview(mmap.mmap(opened.fileno(), FIELDS * BYTES_EACH)).cast("Q")
    plain_send, plain_sendto = socket.socket.send, socket.socket.sendto

    def send(self: socket.socket, *arguments: Any) -> int:
        sent = plain_send(self, *arguments)
        counts[2] += sent
        counts[3] += 1
        return sent

    def sendto(self: socket.socket, *arguments: Any) -> int:
        lost = counts[LOSS_FIELD] and random.randrange(MILLIONTHS) < counts[LOSS_FIELD]
        sent = len(arguments[0]) if lost else plain_sendto(self, *arguments)
        counts[0] += sent
        counts[1] += 1
        if arguments[0][:2] == DISTRIBUTION:
            counts[4] += sent
            counts[5] += 1
        return sent

    socket.socket.send = send  # type: ignore[method-assign]
    socket.socket.sendto = sendto  # type: ignore[method-assign]


def main() -> None:
    file, module, *arguments = sys.argv[1:]
    install(Path(file))
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
