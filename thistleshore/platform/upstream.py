"""Upstream requests to ticket workers over HTTP/1.1, and the connections kept to them."""

from __future__ import annotations

import errno
import logging
from collections import deque
from typing import NamedTuple

import h11
import trio

from oxbowarch.interface import Status
from thistleshore.core.model import Event, UpstreamHost, UpstreamOutcome, UpstreamRequest, UpstreamStarted
from thistleshore.invariants import invariant
from thistleshore.platform.messages import AnswerLines, Ask, Malformed, header, read_line, read_pressure
from thistleshore.platform.peer import Peer

log = logging.getLogger("thistleshore")

# s for which a connection rests after an answer that names no stream: a second copy of that answer may come some
# milliseconds late, and as a 503 it would pass for a proof that the next request never ran.
QUIET = 0.05
SETTLING_MOST = 256  # connections whose answers are still ending; further ones are closed
SETTLE_WITHIN = 1.0  # s for the end of an answer whose last line has come
NO_SOCKET = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionLimits(NamedTuple):
    """Limits on connections to upstream hosts."""

    connect_timeout: float  # seconds
    max_idle_time: float  # seconds
    max_connections: int


class Kept(NamedTuple):
    """An idle connection, since when it is idle, and the generation of its host that it goes to."""

    peer: Peer
    generation: int
    since: float


class Answered(NamedTuple):
    """The outcome of an upstream request, and what may become of its connection."""

    outcome: UpstreamOutcome
    reusable: bool = False  # the answer is whole, or ends soon
    names_stream: bool = False  # the answer says which stream it is about


class Settling(NamedTuple):
    """A connection whose answer is still ending."""

    host: UpstreamHost
    generation: int
    peer: Peer
    quiet_for: float  # seconds for which it rests after that


class NoSocket(Exception):
    """This process has no socket left: no fault of the host."""


class Upstreams:
    """The connections to all upstream hosts; one request at a time on each."""

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.held_elsewhere = 0  # of these connections, by another process that serves the same clients
        self.open = 0
        self._idle: dict[bytes, deque[Kept]] = {}
        self._settling = trio.open_memory_channel[Settling](SETTLING_MOST)

    async def run(self) -> None:
        """Retire idle connections in time, and settle those whose answer is still ending."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._retire)
            async for settling in self._settling[1]:
                nursery.start_soon(self._settle, settling)

    async def _retire(self) -> None:
        while True:
            await trio.sleep(self.limits.max_idle_time / 10)
            # The host closes an idle connection: a request written just then would end as a reset.
            before = trio.current_time() - self.limits.max_idle_time
            for name, kept in list(self._idle.items()):
                while kept and kept[0].since < before:
                    self._close(kept.popleft().peer)
                if not kept:
                    del self._idle[name]

    def _close(self, peer: Peer) -> None:
        self.open -= 1
        peer.close()

    def close_idle(self, host: UpstreamHost) -> None:
        for kept in self._idle.pop(host.id, ()):
            self._close(kept.peer)

    def _take(self, host: UpstreamHost) -> Peer | None:
        """An idle connection that still holds, the latest used first."""
        idle = self._idle.get(host.id)
        while idle:
            kept = idle.pop()
            # Readable while idle: the host has closed it, or said what nobody asked; a request would be a reset.
            fresh = kept.generation == host.generation and kept.since > trio.current_time() - self.limits.max_idle_time
            if fresh and not kept.peer.stirs():
                return kept.peer
            self._close(kept.peer)
        return None

    async def _connect(self, host: UpstreamHost) -> Peer:
        """A new connection; OSError or trio.TooSlowError where it never comes up."""
        if self.open >= self.limits.max_connections - self.held_elsewhere:
            self._make_room()
        self.open += 1
        try:
            with trio.fail_after(self.limits.connect_timeout):
                return Peer(await _dial(host.address), h11.CLIENT)
        except OSError as problem:
            self.open -= 1
            if problem.errno in NO_SOCKET:
                raise NoSocket(str(problem)) from None
            raise
        except BaseException:
            self.open -= 1
            raise

    def _make_room(self) -> None:
        """Give up the connection that is idle longest; without one, the sockets are all in use."""
        oldest = min((kept for kept in self._idle.values() if kept), key=lambda kept: kept[0].since, default=None)
        if oldest is None:
            raise NoSocket("all sockets for upstream hosts are in use")
        self._close(oldest.popleft().peer)

    async def carry(self, request: UpstreamRequest, events: trio.MemorySendChannel[Event]) -> UpstreamOutcome:
        """One upstream request, sent once; PROTOCOL's table of what comes back."""
        host, generation = request.host, request.host.generation
        if not request.stream.wanted:
            return UpstreamOutcome(Status.NOT_SENT)
        try:
            peer = self._take(host) or await self._connect(host)
        except NoSocket as problem:
            log.warning("no socket for an upstream request: %s", problem)
            return UpstreamOutcome(Status.NOT_SENT)
        except (OSError, trio.TooSlowError):
            return UpstreamOutcome(Status.CONNECT_FAILED)
        answered: Answered | None = None
        try:
            # Connecting took time, and the list may have changed: connections to an earlier process are stale.
            if host.generation != generation:
                return UpstreamOutcome(Status.NOT_SENT)
            unsent = await _write(peer, request)
            if unsent is not None:
                return UpstreamOutcome(unsent)
            request.mark_written()
            answered = await self._answer(peer, request, events)
            return answered.outcome
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            # Broken before its last byte was written, it never ran.
            return UpstreamOutcome(Status.RESET if request.sent else Status.CONNECT_FAILED)
        except Malformed as problem:
            log.warning("bad answer from %s: %s", host.id.decode(errors="replace"), problem)
            return UpstreamOutcome(Status.ERROR)
        finally:
            if answered is not None and answered.reusable:
                self._keep_soon(Settling(host, generation, peer, 0.0 if answered.names_stream else QUIET))
            else:  # also when called off: closing is how the protocol gives up an attempt
                self._close(peer)

    async def _answer(self, peer: Peer, request: UpstreamRequest, events: trio.MemorySendChannel[Event]) -> Answered:
        response = await peer.event()
        while isinstance(response, h11.InformationalResponse):
            response = await peer.event()
        if not isinstance(response, h11.Response):
            return Answered(UpstreamOutcome(Status.RESET))
        if response.status_code != 200:
            report = read_pressure(header(response.headers, b"x-pressure"))
            turned = response.status_code in (503, 504) and header(response.headers, b"x-turned-away") == "1"
            return Answered(UpstreamOutcome(Status.FULL if turned else Status.ERROR, report=report), reusable=True)
        lines = AnswerLines()
        while isinstance(event := await peer.event(), h11.Data):
            for text in lines.feed(event.data):
                line = read_line(text, request.stream.name)
                if line.started:
                    await events.send(UpstreamStarted(request))
                if line.status is not None:
                    report = line.report or read_pressure(header(response.headers, b"x-pressure"))
                    return Answered(UpstreamOutcome(line.status, line.result, report), reusable=True, names_stream=True)
        return Answered(UpstreamOutcome(Status.RESET))  # it ended before the last line

    def _keep_soon(self, settling: Settling) -> None:
        try:
            self._settling[0].send_nowait(settling)
        except trio.WouldBlock:
            self._close(settling.peer)  # a pile of half-ended answers must not grow without bound

    async def _settle(self, settling: Settling) -> None:
        """Read an answer to its end, then keep the connection."""
        host, generation, peer, quiet_for = settling
        whole = False
        try:
            with trio.move_on_after(SETTLE_WITHIN):
                while isinstance(await peer.event(), h11.Data):
                    pass
                if peer.reusable:
                    peer.http.start_next_cycle()
                    if quiet_for:
                        await trio.sleep(quiet_for)
                    whole = not peer.http.trailing_data[0] and host.ready and host.generation == generation
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            whole = False
        finally:
            if whole:
                self._idle.setdefault(host.id, deque()).append(Kept(peer, generation, trio.current_time()))
            else:
                self._close(peer)
            invariant(self.open >= 0, "open upstream connections are counted")


async def _dial(address: object) -> trio.SocketStream:
    if not isinstance(address, tuple):
        raise ConnectionError("no address is known")
    family = trio.socket.AF_INET6 if ":" in address[0] else trio.socket.AF_INET
    sock = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        await sock.connect(address)
        return trio.SocketStream(sock)
    except BaseException:
        sock.close()
        raise


async def _write(peer: Peer, request: UpstreamRequest) -> Status | None:
    """Write a whole request; None, or what its end is where that was not to be done or not done in time."""
    data = peer.encode(*_request(request))
    # No wait stands between this look and the first byte.
    if not request.begin():
        return Status.NOT_SENT
    with trio.CancelScope(deadline=request.send_by) as writing:
        await peer.socket.send_all(data)
    return Status.CONNECT_FAILED if writing.cancelled_caught else None


def _request(request: UpstreamRequest) -> tuple[h11.Event, ...]:
    ask = request.stream.payload
    if not isinstance(ask, Ask):
        raise TypeError("the stream did not come by HTTP")
    left = max(1, int((request.deadline - trio.current_time()) * 1000))
    host = request.host.address
    authority = f"{host[0]}:{host[1]}" if isinstance(host, tuple) else "service.internal"
    head = [(b"host", authority.encode()), *ask.passed, (b"x-remaining-ms", b"%d" % left)]
    head.append((b"content-length", b"%d" % len(ask.body)))
    body = (h11.Data(data=ask.body),) if ask.body else ()
    return h11.Request(method=b"POST", target=ask.target, headers=head), *body, h11.EndOfMessage()
