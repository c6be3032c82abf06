"""The downstream side: clients' connections, their streams and the one answer to each."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import nullcontext
from math import inf

import h11
import trio

from thistleshore.core.model import Event, Failed, FinalAnswer, LocalReply, Served, Stream, StreamOpened
from thistleshore.core.model import StreamWithdrawn
from thistleshore.gate import BROKEN, READ_WITHIN, Gate, peer_address
from thistleshore.invariants import invariant
from thistleshore.platform.messages import BODY_MOST, PASSED, RECEIVE, Ask, Peer, Rejected, Routes
from thistleshore.platform.messages import check_framing, header, read_terms

PAST_KEPT, PAST_MOST = 10.0, 2048  # s and number for which names of ended streams are known
WRITE_WITHIN = 5.0  # s for a downstream to take an answer


class Downstream:
    def __init__(self, routes: Routes, listed: trio.Event, inbox: trio.MemorySendChannel[Event], most: int) -> None:
        self.routes, self.listed, self.inbox, self.gate = routes, listed, inbox, Gate(most)
        self.told: Callable[[Stream, float], None] | None = None  # of each stream that is over, and when it began
        self.opened: Callable[[str], None] | None = None  # once another process is to know of each
        self.names: set[str] = set()  # streams that are open
        self._past: dict[str, float] = {}  # streams that were, and when they ended, the longest ago first

    @property
    def ready(self) -> bool:
        return self.gate.ready and self.listed.is_set()

    def known_names(self) -> list[str]:
        """Names of streams that are open, or were lately, for the process that takes over; the latest at most."""
        return [*self._past, *self.names][-PAST_MOST:]

    def know_names(self, names: Sequence[str]) -> None:
        """These are taken, at the process before: one id, one stream."""
        self._past.update(dict.fromkeys(names, trio.current_time()))

    async def run(
        self, address: tuple[str, int], task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until drained: after SIGTERM what was taken is finished."""
        async with trio.open_nursery() as nursery:
            await self.gate.run(address, nursery, self._connection, task_status)

    async def _connection(self, socket: trio.SocketStream) -> None:
        peer = Peer(socket, h11.SERVER)
        if self.routes.router is not None:
            peer.address = peer_address(socket)
        arrived: float | None = trio.current_time()
        while await self._turn(peer, arrived):
            arrived = None
            peer.http.start_next_cycle()

    async def _turn(self, peer: Peer, arrived: float | None) -> bool:
        """One request and its answer; False when the connection is to end.

        `arrived` says since when a connection is here that has asked for nothing yet.
        """
        if not await self._first_bytes(peer, arrived):
            return False
        request, body = None, b""
        try:
            room = nullcontext() if arrived is None else self.gate.waiting(peer.socket, arrived)
            with self.gate.reading(arrived or trio.current_time()) as reading, room:
                request, body = await self._read(peer)
        except Rejected as problem:
            return await self._reply(peer, problem.status, problem.reason.encode(), close=True)
        except h11.RemoteProtocolError as problem:
            return await self._reply(peer, problem.error_status_hint, b"bad request", close=True)
        if reading.cancelled_caught and self.gate.reads_are_over:
            return await self._reply(peer, 503, b"refused", close=True)
        if reading.cancelled_caught:
            return await self._reply(peer, 408, b"the request took too long", close=True)
        if request is None:
            return False
        if request.method == b"GET" and request.target in (b"/-/ready", b"/-/healthy"):
            fine = self.ready or request.target == b"/-/healthy"
            return await self._reply(peer, 200 if fine else 503, b"ready" if fine else b"not ready")
        try:
            terms = read_terms(request, self.routes, len(body), peer.address)
            if terms.name in self.names or self._was(terms.name):
                # One id, one stream: two answers could cross, and what ran once would run again.
                raise Rejected(409, "a request of this id is or was open")
        except Rejected as problem:
            return await self._reply(peer, problem.status, problem.reason.encode(), close=True)
        passed = tuple((name, value) for name, value in request.headers if name in PASSED)
        # What comes late in a drain is answered before SIGKILL can end it.
        began = trio.current_time()
        deadline = min(began + terms.remaining, self.gate.answer_by)
        stream = Stream(
            terms.name,
            terms.job_class,
            deadline,
            Ask(request.target, passed, body),
            terms.tenant,
            terms.key,
            terms.repeat,
            terms.member,
            len(body),
            self.gate.spare,
        )
        self.names.add(stream.name)
        if self.opened is not None:
            self.opened(stream.name)
        try:
            answer = await self._await_answer(peer, stream)
        except Rejected as problem:
            return await self._reply(peer, problem.status, problem.reason.encode(), close=True)
        finally:
            self.names.discard(stream.name)
            self._past[stream.name] = trio.current_time()
        goes_on = answer is not None and await self._answer(peer, answer)
        if self.told is not None:
            self.told(stream, began)
        return goes_on

    def _was(self, name: str) -> bool:
        """Was a stream of that name open lately?  Every try of a client has a new one."""
        before = trio.current_time() - PAST_KEPT
        while self._past and (len(self._past) > PAST_MOST or next(iter(self._past.values())) < before):
            del self._past[next(iter(self._past))]
        return name in self._past

    async def _first_bytes(self, peer: Peer, arrived: float | None) -> bool:
        """Wait for a request to begin; False at the end of the connection."""
        data = b""
        with self.gate.waiting(peer.socket, arrived, idle=True) as idle:
            # A newcomer that says nothing would hold a socket for good.
            idle.deadline = inf if arrived is None else arrived + READ_WITHIN
            data = await peer.socket.receive_some(RECEIVE)
        # A close that crosses a request would cost the downstream a connection: what has come is served.
        if idle.cancelled_caught and peer.stirs():
            data = await peer.socket.receive_some(RECEIVE)
        if data:
            peer.feed(data)
        return bool(data)

    async def _read(self, peer: Peer) -> tuple[h11.Request | None, bytes]:
        """A whole request; None where the downstream went away in its midst."""
        request = await peer.event()
        if not isinstance(request, h11.Request):
            return None, b""
        head, peer.head = peer.head, b""
        check_framing(head)
        if request.method == b"HEAD":
            raise Rejected(405, "")  # any body behind its answer would break the connection's framing
        length = header(request.headers, b"content-length")
        if length is not None and int(length) > BODY_MOST:
            raise Rejected(413, "a body holds 64 KiB at most")
        if peer.http.they_are_waiting_for_100_continue:
            await peer.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        while isinstance(event := await peer.event(), h11.Data):
            body += event.data
            if len(body) > BODY_MOST:  # a body in chunks says its length nowhere
                raise Rejected(413, "a body holds 64 KiB at most")
        if peer.http.trailing_data[0]:
            # One request at a time: what follows stands inside a body whose length was said too short.
            raise Rejected(400, "more has come than one request")
        return request, bytes(body)

    async def _await_answer(self, peer: Peer, stream: Stream) -> FinalAnswer | None:
        """Hand the stream over and wait for its answer; None when the downstream has gone away."""
        # Readable while it waits: closed, reset, or bytes that have no business there.  Each ends the stream.
        stream.gone = peer.stirs
        await self.inbox.send(StreamOpened(stream))
        ahead = False

        async def watch() -> None:
            """Notice a downstream that goes away while its stream is open, or sends on instead."""
            nonlocal ahead
            try:
                data = await peer.socket.receive_some(RECEIVE)
            except BROKEN:
                data = b""
            # One request at a time: what comes now belongs to a body whose length was said too short, and the answer
            # to half a request must not look like one to the whole.
            stream.left, ahead = True, bool(data)
            await self.inbox.send(StreamWithdrawn(stream))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await stream.answered.wait()
            nursery.cancel_scope.cancel()
        if stream.withdrawn and not stream.left:  # the broker saw it before `watch` was scheduled
            await watch()
        if ahead:
            raise Rejected(400, "more has come than one request")
        return stream.answer

    async def _answer(self, peer: Peer, answer: FinalAnswer) -> bool:
        if isinstance(answer, Served):
            return await self._reply(peer, 200, answer.result)
        if isinstance(answer, LocalReply):
            advice = [("retry-after", f"{answer.retry_after:.3f}")] if answer.retry_after > 0 else []
            return await self._reply(peer, 503, b"refused", advice)
        invariant(isinstance(answer, Failed), "a final answer is served, refused or failed")
        return await self._reply(peer, 502, answer.reason.encode())

    async def _reply(
        self, peer: Peer, status: int, body: bytes, more: Sequence[tuple[str, str]] = (), close: bool = False
    ) -> bool:
        """Write one whole answer; True where the connection goes on."""
        if not peer.answerable:
            return False
        close = close or self.gate.closing or self.gate.leaving_soon
        head = [("content-length", str(len(body))), *more, *([("connection", "close")] if close else [])]
        response = h11.Response(status_code=status, headers=head)
        # A downstream that does not read would hold its socket for good.
        with trio.move_on_after(WRITE_WITHIN) as writing:
            await peer.send(response, h11.Data(data=body), h11.EndOfMessage())
        last = close or not peer.reusable  # also where the downstream has asked for an end
        if last and not writing.cancelled_caught:
            await self.gate.linger(peer.socket)
        return not (last or writing.cancelled_caught)
