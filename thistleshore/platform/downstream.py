"""The downstream side: clients' connections, their streams and the one answer to each."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import nullcontext
from math import inf
from typing import Protocol

import h11
import trio

from thistleshore.core.model import Event, Failed, FinalAnswer, LocalReply, Served, Stream, StreamOpened
from thistleshore.core.model import StreamWithdrawn
from thistleshore.draining import READ_WITHIN
from thistleshore.gate import BROKEN, Gate, peer_address
from thistleshore.invariants import invariant
from thistleshore.platform.messages import PASSED, Ask, Rejected, Routes, Terms, read_terms
from thistleshore.platform.peer import RECEIVE, Peer
from thistleshore.platform.reading import WholeRequest, read_request
from thistleshore.platform.stream_names import KEPT, StreamNames

WRITE_WITHIN = 5.0  # s for a downstream to take an answer
HEALTH_PATHS = (b"/-/ready", b"/-/healthy")


class OtherProcesses(Protocol):
    """The other processes of a hot restart, which serve the same clients."""

    def tell_streams(self, names: Sequence[str], left: float) -> None:
        """Tell them of streams that are opened here, which they know by name for `left` seconds."""
        ...

    def tell_unused(self, names: Sequence[str]) -> None:
        """Tell them of streams that have ended here and never ran: their names may be used again."""
        ...

    def hear_streams(self) -> None:
        """Take in what they have told of theirs by now."""
        ...


class Downstream:
    """The platform's front of one dispatcher."""

    def __init__(self, routes: Routes, listed: trio.Event, inbox: trio.MemorySendChannel[Event], most: int) -> None:
        self.routes, self.listed, self.inbox, self.gate = routes, listed, inbox, Gate(most)
        self.told: Callable[[Stream, float], None] | None = None  # of each stream that is over, and when it began
        self.others: OtherProcesses | None = None
        self.names = StreamNames()

    @property
    def ready(self) -> bool:
        return self.gate.ready and self.listed.is_set()

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
        try:
            if not await self._first_bytes(peer, arrived):
                return False
            whole = await self._receive(peer, arrived)
            if whole is None:
                return False
            if whole.head.method == b"GET" and whole.head.target in HEALTH_PATHS:
                return await self._reply_health(peer, whole.head.target)
            return await self._serve(peer, whole)
        except Rejected as problem:
            return await self._reply(peer, problem.status, problem.reason.encode(), close=True)
        except h11.RemoteProtocolError as problem:
            return await self._reply(peer, problem.error_status_hint, b"bad request", close=True)

    async def _receive(self, peer: Peer, arrived: float | None) -> WholeRequest | None:
        """Read a request that has begun to come; None where the downstream went away or gives way."""
        room = nullcontext() if arrived is None else self.gate.waiting(peer.socket, arrived)
        with self.gate.drain.reading(arrived or trio.current_time()) as reading, room:
            return await read_request(peer)
        if reading.cancelled_caught and self.gate.drain.reads_are_over:
            raise Rejected(503, "refused")
        if reading.cancelled_caught:
            raise Rejected(408, "the request took too long")
        return None

    async def _reply_health(self, peer: Peer, target: bytes) -> bool:
        fine = self.ready or target == b"/-/healthy"
        return await self._reply(peer, 200 if fine else 503, b"ready" if fine else b"not ready")

    async def _serve(self, peer: Peer, whole: WholeRequest) -> bool:
        """Open the stream of a request, and give its answer."""
        terms = read_terms(whole.head, self.routes, len(whole.body), peer.address)
        began = trio.current_time()
        if self.others is not None:
            self.others.hear_streams()
        if self.names.knows(terms.name, began):
            # One id, one stream: two answers could cross, and what ran once would run again.
            raise Rejected(409, "a request of this id is or was open")
        if self.names.full(began):
            raise Rejected(503, "refused")
        stream = self._open(whole, terms, began)
        try:
            answer = await self._await_answer(peer, stream)
        finally:
            self._end_name(stream)
        goes_on = answer is not None and await self._answer(peer, answer)
        if self.told is not None:
            self.told(stream, began)
        return goes_on

    def _open(self, whole: WholeRequest, terms: Terms, began: float) -> Stream:
        passed = tuple((name, value) for name, value in whole.head.headers if name in PASSED)
        stream = Stream(
            terms.name,
            terms.job_class,
            # What comes late in a drain is answered before SIGKILL can end it.
            min(began + terms.remaining, self.gate.drain.answer_by),
            Ask(whole.head.target, passed, whole.body),
            terms.tenant,
            terms.key,
            terms.repeat,
            terms.member,
            len(whole.body),
            self.gate.spare,
        )
        # A client waits no longer than its class has it, over all its tries.
        waits = min(terms.remaining, self.routes.give_up[terms.job_class])
        self.names.open(stream.name, began + waits)
        if self.others is not None:
            self.others.tell_streams([stream.name], waits + KEPT)
        return stream

    def _end_name(self, stream: Stream) -> None:
        if stream.never_ran:
            self.names.forget(stream.name)  # its client may come again with it
            if self.others is not None:
                self.others.tell_unused([stream.name])
        else:
            self.names.end(stream.name, trio.current_time(), answered=stream.answer is not None)

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
