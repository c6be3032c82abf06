"""Datagrams between instances on one UDP socket: sent at a fixed interval, passed on as they arrive."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

import trio

from thistleshore.contracts.exchange import MAX_DATAGRAM_BYTES

log = logging.getLogger("thistleshore")


class ExchangeLink:
    """One instance's socket.

    `datagrams_due(now)` returns what to send, with the number of the peer; `deliver(data)` takes each one received.
    `interval`: seconds between two rounds of sending.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        peers: Sequence[tuple[str, int]],
        interval: float,
        datagrams_due: Callable[[float], list[tuple[int, bytes]]],
        deliver: Callable[[bytes], Awaitable[None]],
    ) -> None:
        self.listen, self.peers, self.interval = listen, tuple(peers), interval
        self.datagrams_due, self.deliver = datagrams_due, deliver
        self.counts: Counter[str] = Counter()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Send and receive until cancelled; a datagram whose sending is cancelled was not sent."""
        family = trio.socket.AF_INET6 if ":" in self.listen[0] else trio.socket.AF_INET
        with trio.socket.socket(family, trio.socket.SOCK_DGRAM) as socket:
            await socket.bind(self.listen)
            log.info("exchange with %d instances on %s:%d", len(self.peers), *self.listen)
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send, socket)
                nursery.start_soon(self._receive, socket)

    async def _send(self, socket: trio.socket.SocketType) -> None:
        while True:
            for number, data in self.datagrams_due(trio.current_time()):
                try:
                    await socket.sendto(data, self.peers[number])
                    self.counts["sent"] += 1
                except OSError:  # host down or no buffer space: the next message repeats the whole state
                    self.counts["unsent"] += 1
            await trio.sleep(self.interval)

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                # One byte more than allowed, so that longer datagrams are detected.
                data, sender = await socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # an ICMP error for a datagram sent earlier: that peer is down
                self.counts["unreachable"] += 1
                await trio.sleep(0)
                continue
            if tuple(sender[:2]) not in self.peers:
                # A forged lease would let an instance use more than its part of a guarantee.
                self.counts["stranger_address"] += 1
                continue
            self.counts["received"] += 1
            await self.deliver(data)
