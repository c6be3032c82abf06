"""beanstalkd's server side: connections, their commands, and the reply tubes.

A tube of a contract takes jobs by `put`; the final answer of job N waits in the tube `reply.N`.
"""

from __future__ import annotations

import logging
from contextlib import nullcontext
from dataclasses import dataclass
from itertools import count
from math import inf

import trio

from oxbowarch.interface import Status
from thistleshore.beanstalkd import codec
from thistleshore.beanstalkd.codec import Command, Decoder, Fault, line, with_body
from thistleshore.beanstalkd.model import HOST_PREFIX, REPLY_PREFIX
from thistleshore.beanstalkd.quotas import Share, SharedQuota
from thistleshore.beanstalkd.receipts import Receipt, Receipts
from thistleshore.beanstalkd.replies import KEPT as REPLY_KEPT, Replies, Reply
from thistleshore.beanstalkd.routed import TubeRouter
from thistleshore.beanstalkd.upstream import Hosts, Reservation, Slot, TubeJob
from thistleshore.core.model import Event, FinalAnswer, LocalReply, Served, Stream, StreamOpened
from thistleshore.core.model import StreamWithdrawn
from thistleshore.gate import BROKEN, Gate, peer_address
from thistleshore.routing import RouteDecision
from thistleshore.sockets import has_closed

log = logging.getLogger("thistleshore")

BODY_MOST = 64 * 1024
RECEIVE = 64 * 1024
REPLY_LEFT = 1.0  # s that a final answer waits at most for its client once the dispatcher has drained
WATCHED_MOST = 1024  # tubes that one connection may watch
WATCHED_BYTES_MOST = 8 * 1024 * 1024  # of the names of all watched tubes
WATCHED_BYTES_LEAST = 4096  # of those of one connection, which it may have in any case
WATCHED_TUBE = 128  # bytes that a watched tube takes beside its name
RESET_WITHIN = 0.05  # s in which the machine of a client that has gone answers a reply
CLOSED_EVERY = 1.0  # s between two looks whether a connection that waits and has sent ahead is still there
WRITE_WITHIN = 5.0  # s for a connection to take a reply
SOON = 1.0  # s before a reservation lapses in which its holder is told DEADLINE_SOON
NOT_FOUND, DELETED = b"NOT_FOUND\r\n", b"DELETED\r\n"
DRAINING, OUT_OF_MEMORY = b"DRAINING\r\n", b"OUT_OF_MEMORY\r\n"


def reply_body(answer: FinalAnswer) -> bytes:
    """A line that says what became of the job, then the result where it was served."""
    if isinstance(answer, Served):
        return b"served\n" + answer.result
    if isinstance(answer, LocalReply):
        return b"refused %.3f\n" % answer.retry_after
    return b"failed " + answer.reason.encode() + b"\n"


class Tubes:
    """The beanstalkd front of one dispatcher."""

    def __init__(
        self,
        router: TubeRouter,
        hosts: Hosts,
        inbox: trio.MemorySendChannel[Event],
        streams_most: int,
        connections_most: int,
    ) -> None:
        self.router, self.hosts, self.inbox, self.streams_most = router, hosts, inbox, streams_most
        self.gate = Gate(connections_most)
        self.numbers = count(1)
        self.open: dict[int, tuple[Stream, TubeJob]] = {}  # jobs without a final answer
        self.replies = Replies()
        self.watched_names = SharedQuota(WATCHED_BYTES_MOST)
        self.waiting: list[Wait] = []
        self.connections: set[Connection] = set()

    @property
    def draining(self) -> bool:
        return self.gate.draining.is_set()

    @property
    def ready(self) -> bool:
        return self.gate.ready

    async def run(
        self, address: tuple[str, int], task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until drained: what was taken is finished, and its answers are offered a while longer."""
        async with trio.open_nursery() as self._keepers:
            self._keepers.start_soon(self.replies.expire)
            async with trio.open_nursery() as nursery:
                await self.gate.run(address, nursery, self._connection, task_status)
                while self.open:  # every stream has a deadline, so that this ends
                    await trio.sleep(0.01)
                with trio.move_on_after(REPLY_LEFT):
                    while self.replies:
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            self._keepers.cancel_scope.cancel()

    async def _connection(self, socket: trio.SocketStream) -> None:
        connection = Connection(self, socket)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
            # Its jobs must end as lost even while the program stops.
            with trio.CancelScope(shield=True), trio.move_on_after(1.0):
                await connection.lost()

    def make_job(
        self, connection: Connection, ttr: int, body: bytes, routed: RouteDecision, receipt: Receipt
    ) -> tuple[Stream, TubeJob]:
        """The stream of a complete put of this connection; it is not open yet."""
        job = TubeJob(next(self.numbers), connection.used, body, float(max(1, ttr)))
        stream = Stream(
            str(job.id),
            routed.contract,
            trio.current_time() + routed.deadline,
            job,
            routed.contract,
            routed.key,
            member=routed.member,
            size=len(body),
            gone=lambda: receipt.lost,
        )
        return stream, job

    async def take(self, connection: Connection, stream: Stream, job: TubeJob) -> None:
        """Open the stream of a job."""
        self.open[job.id] = stream, job
        self._keepers.start_soon(self._keep, stream, job, connection.replies)
        await self.inbox.send(StreamOpened(stream))

    async def withdraw(self, stream: Stream) -> None:
        """Its client wants it no more: nothing begins for it, however long the inbox is."""
        stream.left = True
        await self.inbox.send(StreamWithdrawn(stream))

    async def _keep(self, stream: Stream, job: TubeJob, share: Share) -> None:
        """Wait for a stream's final answer, and offer it to its client."""
        await stream.answered.wait()
        del self.open[job.id]
        if stream.answer is None or stream.withdrawn:
            return
        reply = self.replies.add(next(self.numbers), f"{REPLY_PREFIX}{job.id}", reply_body(stream.answer), share)
        self.offer(reply)

    def offer(self, reply: Reply) -> None:
        for wait in self.waiting:
            if reply.tube in wait.connection.watched and wait.reply is None and not wait.slot.taken:
                wait.reply, reply.holder = reply, wait.connection
                wait.slot.woken.set()
                return

    def reserved(self, number: int) -> Reservation | None:
        found = (connection.reservations.get(number) for connection in self.connections)
        return next((reservation for reservation in found if reservation is not None), None)


@dataclass(slots=True, eq=False)
class Wait:
    """A reserve that waits, for a reply or (as a host's slot) for a job."""

    connection: Connection
    slot: Slot
    reply: Reply | None = None


class Connection:
    """One client or host: its used and watched tubes, what it holds, and its commands one by one."""

    def __init__(self, tubes: Tubes, socket: trio.SocketStream) -> None:
        self.tubes, self.socket, self.address = tubes, socket, peer_address(socket)
        self.used = "default"
        self.watched = {"default": 0}  # tubes, and the bytes that each counts for
        self.watched_names = Share(tubes.watched_names, WATCHED_BYTES_LEAST)
        self.replies = tubes.replies.new_share()  # answers to its jobs, also once it has gone
        self.reservations: dict[int, Reservation] = {}
        self.decoder = Decoder(BODY_MOST)
        self.over = False
        self.was_host = False
        self.half_closed = False  # it has ended its sending, and reads
        self.receipts = Receipts(socket)

    @property
    def hosts(self) -> list[str]:
        """The hosts as which it takes jobs."""
        return [tube.removeprefix(HOST_PREFIX) for tube in self.watched if tube.startswith(HOST_PREFIX)]

    async def run(self) -> None:
        arrived: float | None = trio.current_time()
        begun: float | None = None
        while not self.over:
            command = self.decoder.next()
            if command is None:
                begun = (begun or trio.current_time()) if self.decoder.begun else None
                await self._listen(arrived, begun)
                continue
            arrived = begun = None
            if isinstance(command, Fault):
                await self.send(command.reply + b"\r\n")
            else:
                reply = await self._do(command)
                if reply:
                    await self.send(reply)

    async def _listen(self, arrived: float | None, begun: float | None) -> None:
        """Wait for more; silence between commands is usual here, half a command is not."""
        gate = self.tubes.gate
        room = nullcontext() if arrived is None else gate.waiting(self.socket, arrived)
        with trio.CancelScope() if begun is None else gate.drain.reading(begun) as reading, room:
            await self._receive()
            return
        self.over = True  # a newcomer that gives way, or a command without an end
        if reading.cancelled_caught:
            await self.send(DRAINING if gate.drain.reads_are_over else b"BAD_FORMAT\r\n")
            await gate.linger(self.socket)

    async def _receive(self) -> None:
        data = await self.socket.receive_some(RECEIVE)
        self.over = not data
        self.decoder.feed(data)

    async def send(self, data: bytes) -> None:
        with trio.move_on_after(WRITE_WITHIN) as writing:
            await self.socket.send_all(data)
        if writing.cancelled_caught:
            self.abort()  # it does not read: what is half written cannot be mended
            raise trio.BrokenResourceError("the connection does not read")
        self.receipts.written += len(data)

    def has_closed(self) -> bool:
        """Whether the other side has closed or reset it, also where what it sent before is unread."""
        return has_closed(self.socket)

    def abort(self) -> None:
        self.over = True
        self.socket.socket.close()

    async def lost(self) -> None:
        """The connection is gone: its jobs may have run, and replies in its hands go back."""
        self.watched_names.give_back(self.watched_names.held)
        for stream in self.receipts.lost_streams():
            await self.tubes.withdraw(stream)
        for reservation in list(self.reservations.values()):
            reservation.end(Status.RESET)
        for reply in self.tubes.replies:
            if reply.holder is self:
                reply.holder = None
                self.tubes.offer(reply)
        for name in self.hosts:
            await self.tubes.hosts.leave(name, self, lost=True)

    # -- commands -----------------------------------------------------------------------------

    async def _do(self, command: Command) -> bytes:
        match command:
            case Command("put", (priority, delay, ttr, _), _, body):
                return await self._put(priority, delay, ttr, body)
            case Command("use", _, tube):
                self.used = tube
                return line(b"USING", tube)
            case Command("watch" | "ignore", _, tube):
                return await self._watch(tube) if command.word == "watch" else await self._ignore(tube)
            case Command("reserve"):
                return await self._reserve(inf)
            case Command("reserve-with-timeout", (seconds,)):
                return await self._reserve(float(seconds))
            case Command("delete" | "release" | "bury" | "touch", numbers):
                return await self._end(command.word, numbers[0])
            case Command("quit"):
                self.over = True
                return b""
            case _:
                return self._look(command)

    async def _put(self, priority: int, delay: int, ttr: int, body: bytes) -> bytes:
        if self.used.startswith(REPLY_PREFIX):
            return self._result(body)
        routed = None if delay else self.tubes.router.route(self.used, len(body), priority, self.address)
        if routed is None:
            return b"BAD_FORMAT\r\n"  # neither what no rule fits nor a delay is carried out
        if self.tubes.draining:
            return DRAINING
        if len(self.tubes.open) >= self.tubes.streams_most or not self.replies.has_room:
            return OUT_OF_MEMORY  # jobs and answers without bound would fill the memory
        receipt = Receipt(self.receipts)
        stream, job = self.tubes.make_job(self, ttr, body, routed, receipt)
        inserted = line(b"INSERTED", job.id)
        if self.has_closed() and not self.half_closed:
            # It has gone, or has ended its sending and still reads: the reply tells, before anything is sent on.
            self.receipts.expect(stream, receipt, inserted)
            await self.send(inserted)
            await trio.sleep(RESET_WITHIN)
            if receipt.lost:
                self.over = True
                return b""
            self.half_closed = True
            await self.tubes.take(self, stream, job)
            return b""
        await self.tubes.take(self, stream, job)
        self.receipts.expect(stream, receipt, inserted)
        return inserted

    def _result(self, body: bytes) -> bytes:
        """A host's result for a job in its hands; one that comes late is discarded."""
        number = self.used.removeprefix(REPLY_PREFIX)
        reservation = self.reservations.get(int(number)) if number.isascii() and number.isdigit() else None
        if reservation is not None:
            reservation.result = body
        else:
            log.info("late result for %s discarded", self.used)
        return line(b"INSERTED", next(self.tubes.numbers))

    async def _watch(self, tube: str) -> bytes:
        name = tube.removeprefix(HOST_PREFIX)
        if tube.startswith(HOST_PREFIX) and name not in self.tubes.hosts.crews:
            log.warning("a host calls itself %s, which the operator's file does not name", name)
            return b"BAD_FORMAT\r\n"  # without its bay nobody could say where its jobs may be repeated
        if tube not in self.watched:
            if len(self.watched) >= WATCHED_MOST or not self.watched_names.has_room:
                return OUT_OF_MEMORY
            self.watched[tube] = len(tube) + WATCHED_TUBE
            self.watched_names.take(self.watched[tube])
            if tube.startswith(HOST_PREFIX):
                self.was_host = True
                await self.tubes.hosts.join(name, self)
        return line(b"WATCHING", len(self.watched))

    async def _ignore(self, tube: str) -> bytes:
        if tube in self.watched and len(self.watched) == 1:
            return b"NOT_IGNORED\r\n"
        if tube in self.watched:
            self.watched_names.give_back(self.watched.pop(tube))
            if tube.startswith(HOST_PREFIX):
                await self.tubes.hosts.leave(tube.removeprefix(HOST_PREFIX), self, lost=False)
        return line(b"WATCHING", len(self.watched))

    async def _reserve(self, seconds: float) -> bytes:
        waiting = self.tubes.replies.free_in(self.watched)
        if waiting is not None:
            waiting.holder = self
            return with_body(waiting.body, b"RESERVED", waiting.id)
        # Told in time, the holder of a reservation can still touch it.
        lapses = min((held.lapse.deadline for held in self.reservations.values()), default=inf) - SOON
        now = trio.current_time()
        wait = Wait(self, Slot(self))
        if lapses > now and seconds > 0:
            await self._wait(wait, min(lapses, now + seconds))
        if wait.slot.taken:
            await wait.slot.written.wait()
            return b""  # the job was written by its upstream request
        if wait.reply is not None:
            return with_body(wait.reply.body, b"RESERVED", wait.reply.id)
        if self.over:
            return b""
        return b"DEADLINE_SOON\r\n" if lapses <= trio.current_time() else b"TIMED_OUT\r\n"

    async def _wait(self, wait: Wait, until: float) -> None:
        self.tubes.waiting.append(wait)
        try:
            with trio.move_on_at(until):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch_socket, nursery.cancel_scope)
                    for name in self.hosts:
                        await self.tubes.hosts.offer(name, wait.slot)
                    await wait.slot.woken.wait()
                    nursery.cancel_scope.cancel()
        finally:
            self.tubes.waiting.remove(wait)
            for name in self.hosts:
                self.tubes.hosts.withdraw(name, wait.slot)

    async def _watch_socket(self, waiting: trio.CancelScope) -> None:
        """Notice a connection that goes away while it waits; commands sent ahead are kept for their turn."""
        try:
            await self._receive()
            while not self.over and not self.has_closed():
                await trio.sleep(CLOSED_EVERY)
        except BROKEN:
            pass
        self.over = True
        waiting.cancel()

    async def _end(self, word: str, number: int) -> bytes:
        held, reply = self.reservations.get(number), self.tubes.replies.get(number)
        if held is not None:
            if word == "touch":
                await held.touch()
                return b"TOUCHED\r\n"
            # `release` does not prove that the job never ran: it counts as killed.
            held.end({"delete": Status.OK, "bury": Status.ERROR, "release": Status.RESET}[word])
            del self.reservations[number]
            return {"delete": DELETED, "bury": b"BURIED\r\n", "release": b"RELEASED\r\n"}[word]
        if reply is not None and reply.holder in (self, None):
            return self._end_reply(word, reply)
        stream, _ = self.tubes.open.get(number, (None, None))
        # A host's late `delete`, its reservation lapsed, must not withdraw the stream.
        free = stream is not None and self.tubes.reserved(number) is None and not self.was_host
        if word == "delete" and free and stream is not None:
            await self.tubes.withdraw(stream)
            return DELETED
        return NOT_FOUND

    def _end_reply(self, word: str, reply: Reply) -> bytes:
        if word == "delete":
            self.tubes.replies.drop(reply)
            return DELETED
        if word == "release" and reply.holder is self:
            reply.holder = None
            self.tubes.offer(reply)
            return b"RELEASED\r\n"
        return b"TOUCHED\r\n" if word == "touch" and reply.holder is self else NOT_FOUND

    # -- looking only -------------------------------------------------------------------------

    def _look(self, command: Command) -> bytes:
        tubes = self.tubes
        match command:
            case Command("reserve-job", (number,)):
                reply = tubes.replies.get(number)
                if reply is None or reply.holder is not None:
                    return NOT_FOUND  # a job's host is the module's choice
                reply.holder = self
                return with_body(reply.body, b"RESERVED", reply.id)
            case Command("peek", (number,)):
                return self._found(number)
            case Command("peek-ready"):
                ready = [reply.id for reply in tubes.replies.in_tube(self.used) if reply.holder is None]
                ready += [n for n, (_, job) in tubes.open.items() if job.tube == self.used and not tubes.reserved(n)]
                return self._found(ready[0]) if ready else NOT_FOUND
            case Command("kick"):
                return b"KICKED 0\r\n"  # a buried job has had its final answer: none is left to kick
            case Command("stats-job", (number,)):
                return self._stats_job(number)
            case Command("stats-tube", _, tube):
                known = tube in self._tubes()
                return with_body(codec.yaml_map(self._stats_tube(tube)), b"OK") if known else NOT_FOUND
            case Command("stats"):
                return with_body(codec.yaml_map(self._stats()), b"OK")
            case Command("list-tubes"):
                return with_body(codec.yaml_list(self._tubes()), b"OK")
            case Command("list-tube-used"):
                return line(b"USING", self.used)
            case Command("list-tubes-watched"):
                return with_body(codec.yaml_list(list(self.watched)), b"OK")
            case _:  # peek-delayed, peek-buried, kick-job, pause-tube: there are no such jobs, nor pauses
                return NOT_FOUND

    def _found(self, number: int) -> bytes:
        reply, (_, job) = self.tubes.replies.get(number), self.tubes.open.get(number, (None, None))
        body = reply.body if reply is not None else job.body if job is not None else None
        return NOT_FOUND if body is None else with_body(body, b"FOUND", number)

    def _tubes(self) -> list[str]:
        found = ["default", *self.tubes.router.tubes, self.used, *self.watched, *self.tubes.replies.tubes]
        return list(dict.fromkeys(found))

    def _stats_job(self, number: int) -> bytes:
        reply, (_, job) = self.tubes.replies.get(number), self.tubes.open.get(number, (None, None))
        held = self.tubes.reserved(number)
        if reply is None and job is None:
            return NOT_FOUND
        taken = held is not None or reply is not None and reply.holder is not None
        left = max(0, int(held.lapse.deadline - trio.current_time())) if held is not None else 0
        tube, ttr = (job.tube, int(job.ttr)) if job is not None else (reply.tube if reply else "", int(REPLY_KEPT))
        return with_body(
            codec.yaml_map(
                {
                    "id": number,
                    "tube": tube,
                    "state": "reserved" if taken else "ready",
                    "pri": 0,
                    "age": 0,
                    "delay": 0,
                    "ttr": ttr,
                    "time-left": left,
                    "file": 0,
                    "reserves": int(taken),
                    "timeouts": 0,
                    "releases": 0,
                    "buries": 0,
                    "kicks": 0,
                }
            ),
            b"OK",
        )

    def _stats_tube(self, tube: str) -> dict[str, object]:
        tubes = self.tubes
        jobs = [n for n, (_, job) in tubes.open.items() if job.tube == tube]
        replies = tubes.replies.in_tube(tube)
        held = sum(tubes.reserved(n) is not None for n in jobs) + sum(r.holder is not None for r in replies)
        return {
            "name": tube,
            "current-jobs-urgent": 0,
            "current-jobs-ready": len(jobs) + len(replies) - held,
            "current-jobs-reserved": held,
            "current-jobs-delayed": 0,
            "current-jobs-buried": 0,
            "current-using": sum(c.used == tube for c in tubes.connections),
            "current-watching": sum(tube in c.watched for c in tubes.connections),
            "current-waiting": sum(tube in wait.connection.watched for wait in tubes.waiting),
            "pause": 0,
            "pause-time-left": 0,
        }

    def _stats(self) -> dict[str, object]:
        tubes = self.tubes
        held = sum(len(connection.reservations) for connection in tubes.connections)
        return {
            "current-jobs-ready": len(tubes.open) + len(tubes.replies) - held,
            "current-jobs-reserved": held,
            "current-jobs-delayed": 0,
            "current-jobs-buried": 0,
            "current-tubes": len(self._tubes()),
            "current-connections": len(tubes.connections),
            "current-waiting": len(tubes.waiting),
            "max-job-size": BODY_MOST,
            "draining": str(tubes.draining).lower(),
        }
