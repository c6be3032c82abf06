"""Links between processes, each of one direction, and the relays that carry them: UDP by receiver, TCP by pair.

A datagram's sender is known by its source address, as each process sends from where it listens.  A relay's port
stands in for the receiver's: the program is told it as an ordinary address.
"""

from __future__ import annotations

import errno
import os
import random as randoms
import socket as sockets
import struct
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from typing import Literal, get_args

import trio

from thistleshore.addresses import Address

RECEIVE = 65536
HELD_MOST = 2000  # datagrams on their way in one link
REORDERED = 0.05  # s by which one that is overtaken is late
SENT_AGAIN = 0.2  # s after which TCP sends again what was lost
LINGER = struct.pack("ii", 1, 0)  # closing sends a reset
JITTER_OF_DELAY = 0.5

Disturbance = Literal["loss", "delay", "repeat", "reorder"]
DISTURBANCES: tuple[Disturbance, ...] = get_args(Disturbance)


class Link:
    """One direction between two; what is set here holds for what comes from now on."""

    def __init__(self) -> None:
        # By kind, the amount of each fault under way: what several came to and went by would not sum up to exactly 0.
        self._amounts: dict[Disturbance, list[float]] = {kind: [] for kind in DISTURBANCES}
        self.cuts = 0  # how many faults cut it
        self.silent = 0  # TCP: connections stay and carry nothing
        self.whole = trio.Event()
        self.whole.set()
        self.resets = trio.Event()
        self.counts: Counter[str] = Counter()
        self.held = 0

    def begin(self, kind: Disturbance, amount: float) -> None:
        """One fault more of that kind."""
        self._amounts[kind].append(amount)

    def end(self, kind: Disturbance, amount: float) -> None:
        """A fault that has begun with that amount is over."""
        self._amounts[kind].remove(amount)

    @property
    def loss(self) -> float:
        """The share that is lost."""
        return sum(self._amounts["loss"])

    @property
    def delay(self) -> float:
        """s by which all is late."""
        return sum(self._amounts["delay"])

    @property
    def jitter(self) -> float:
        """s by which some is later still."""
        return JITTER_OF_DELAY * self.delay

    @property
    def repeat(self) -> float:
        """The share that comes twice."""
        return sum(self._amounts["repeat"])

    @property
    def reorder(self) -> float:
        """The share that is overtaken."""
        return sum(self._amounts["reorder"])

    def stop(self, silent: bool = False) -> None:
        if silent:
            self.silent += 1
        else:
            self.cuts += 1
        if self.whole.is_set():
            self.whole = trio.Event()

    def heal(self, silent: bool = False) -> None:
        if silent:
            self.silent -= 1
        else:
            self.cuts -= 1
        if not (self.cuts or self.silent):
            self.whole.set()

    def reset(self) -> None:
        """End every connection on it with a reset."""
        self.resets.set()
        self.resets = trio.Event()


class Links:
    """All links of a rig, by who sends and who receives."""

    def __init__(self, seed: int) -> None:
        self.random = randoms.Random(seed)
        self._links: dict[tuple[str, str], Link] = {}
        # Who is behind a relay's connection, by its local port, until another connection has that port.
        self.callers: dict[int, str] = {}

    def between(self, sender: str, receiver: str) -> Link:
        return self._links.setdefault((sender, receiver), Link())


async def carry_datagrams(
    links: Links, receiver: str, target: Address, senders: Mapping[Address, str], relay: trio.socket.SocketType
) -> None:
    """Pass on what comes to `relay`, a bound socket, until cancelled; what is on its way then is lost."""
    chance = links.random.random
    async with trio.open_nursery() as nursery:

        async def late(link: Link, data: bytes, wait: float) -> None:
            link.held += 1
            try:
                await trio.sleep(wait)
                if not link.cuts:
                    await send(data)
            finally:
                link.held -= 1

        async def send(data: bytes) -> None:
            with suppress(OSError):  # nobody is there
                await relay.sendto(data, target)

        while True:
            try:
                data, source = await relay.recvfrom(RECEIVE)
            except OSError:  # an ICMP answer: the receiver is down
                await trio.sleep(0)
                continue
            sender = senders.get(source[:2])
            if sender is None:
                continue
            link = links.between(sender, receiver)
            link.counts["datagrams"] += 1
            link.counts["bytes"] += len(data)
            if link.cuts or link.silent or chance() < link.loss or link.held >= HELD_MOST:
                link.counts["lost"] += 1
                continue
            for _ in range(2 if chance() < link.repeat else 1):
                wait = link.delay + link.jitter * chance() + (REORDERED * chance() if chance() < link.reorder else 0.0)
                if wait:
                    nursery.start_soon(late, link, data, wait)
                else:
                    await send(data)


async def carry_connections(
    links: Links, sender: str, receiver: str, target: Address, listener: trio.SocketListener
) -> None:
    """Pass on connections from one process to another until cancelled.

    A cut link takes connections and carries nothing, as a network does that drops packets; a reset ends them.
    """
    there, back = links.between(sender, receiver), links.between(receiver, sender)

    async def connection(near: trio.SocketStream) -> None:
        try:
            far = await _connect(links, sender, target)
        except OSError:
            _reset(near)
            return
        try:
            async with trio.open_nursery() as nursery:

                async def pump(link: Link, source: trio.SocketStream, sink: trio.SocketStream) -> None:
                    try:
                        while data := await source.receive_some(RECEIVE):
                            link.counts["stream bytes"] += len(data)
                            if link.delay or link.jitter:
                                await trio.sleep(link.delay + link.jitter * links.random.random())
                            if link.loss and links.random.random() < link.loss:
                                await trio.sleep(SENT_AGAIN)
                            await link.whole.wait()
                            await sink.send_all(data)
                        await link.whole.wait()
                        await sink.send_eof()
                    except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                        _reset(near)
                        _reset(far)
                        nursery.cancel_scope.cancel()

                async def resets(link: Link) -> None:
                    await link.resets.wait()
                    _reset(near)
                    _reset(far)
                    nursery.cancel_scope.cancel()

                async with trio.open_nursery() as pumps:
                    nursery.start_soon(resets, there)
                    nursery.start_soon(resets, back)
                    pumps.start_soon(pump, there, near, far)
                    pumps.start_soon(pump, back, far, near)
                nursery.cancel_scope.cancel()
        finally:
            near.socket.close()
            far.socket.close()

    await trio.serve_listeners(connection, [listener])


async def _connect(links: Links, sender: str, target: Address) -> trio.SocketStream:
    """A connection to `target`, whose caller is known before the receiver accepts it; raises `OSError`."""
    connecting = sockets.socket()
    connecting.setblocking(False)
    status = connecting.connect_ex(target)
    # No checkpoint since the connect, so that no task has accepted it yet.
    links.callers[connecting.getsockname()[1]] = sender
    try:
        if status == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(connecting)
            status = connecting.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR)
        if status:
            raise OSError(status, os.strerror(status))
    except BaseException:
        connecting.close()
        raise
    return trio.SocketStream(trio.socket.from_stdlib_socket(connecting))


def _reset(stream: trio.SocketStream) -> None:
    with suppress(OSError):
        stream.socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, LINGER)
    stream.socket.close()
