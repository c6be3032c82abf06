"""The datagrams to and from the other dispatchers of the tier: one UDP socket, nothing kept."""

from __future__ import annotations

import logging
import socket
from collections import Counter
from collections.abc import Sequence

import trio

from oxbowarch.notes import MAX_DATAGRAM_BYTES
from thistleshore.core.model import Event, NotesReceived

log = logging.getLogger("thistleshore")

AGAIN = 0.05  # s after an answer of the network that says a peer is down


class Peers:
    """Sends to all peers by one address; hands on what comes from an address that is a peer's."""

    def __init__(
        self,
        listen: tuple[str, int],
        peers: Sequence[tuple[str, int]],
        everyone: tuple[str, int],
        counts: Counter[str],
        inherited: socket.socket | None = None,
        shared: bool = False,
    ) -> None:
        self.everyone, self.counts, self._peers = everyone, counts, tuple(peers)
        self._numbers = {address: number for number, address in enumerate(peers) if address != listen}
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self.socket = inherited or socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        if inherited is None:
            if shared:  # a second process may have to start without what the first would leave it
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.socket.bind(listen)
        self._hearing, self._back = trio.CancelScope(), trio.Event()
        self._back.set()

    def step_aside(self, aside: bool) -> None:
        """Another process hears and tells on this socket from now on; or it has gone."""
        if aside:
            self._back = trio.Event()
            self._hearing.cancel()
        else:
            self._back.set()

    def send(self, data: bytes, to: tuple[int, ...] | None) -> None:
        """To the peers of these numbers, or to all; at once or not at all: a note that waits is out of date."""
        if not self._back.is_set():
            return  # two that tell on one socket would contradict one another
        for address in (self.everyone,) if to is None else [self._peers[n] for n in to if n < len(self._peers)]:
            try:
                self.socket.sendto(data, address)
                self.counts["told"] += 1
            except OSError:
                self.counts["untold"] += 1

    async def run(self, inbox: trio.MemorySendChannel[Event]) -> None:
        with trio.socket.from_stdlib_socket(self.socket) as incoming:
            while True:
                await self._back.wait()
                data = b""
                try:
                    with trio.CancelScope() as self._hearing:
                        # One byte more than is allowed, so that what is longer is seen to be.
                        data, sender = await incoming.recvfrom(MAX_DATAGRAM_BYTES + 1)
                    if self._hearing.cancelled_caught:
                        continue
                except OSError:  # the network's answer to a datagram of ours: a peer is down
                    self.counts["unreachable"] += 1
                    await trio.sleep(AGAIN)
                    continue
                number = self._numbers.get(tuple(sender[:2]))
                if number is None:
                    # Whoever can reach the port could shut out every host by telling of failures there.
                    self.counts["stranger"] += 1
                    continue
                self.counts["heard"] += 1
                await inbox.send(NotesReceived(number, data))
