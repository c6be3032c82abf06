"""Sends a plan's requests at their times over HTTP/1.1, whatever the answers do: open loop.

Latency counts from when a request was meant to be sent.  How late this program itself was is measured apart from how
long the target took to take the request, and neither is ever hidden by sending less.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import trio

from thistleshore.load.plan import Arrival, LoadPlan, Source, arrivals
from thistleshore.load.result import Result

RECEIVE = 64 * 1024
HEAD_MOST = 64 * 1024
CONNECT_WITHIN = 5.0  # s
SPIN = 0.0015  # s before its time from which a request is waited for without sleep
IDLE_MOST = 1.0  # s after which a kept connection is not used again: a target may be about to close it
TROUBLES = {
    errno.EMFILE: "no descriptor",
    errno.ENFILE: "no descriptor",
    errno.EADDRNOTAVAIL: "no free port",
    errno.ECONNREFUSED: "refused by the target",
    errno.ECONNRESET: "reset by the target",
}


class Answer(NamedTuple):
    status: int  # 0: none came
    retry_after: float  # s; 0: not told


class Kept(NamedTuple):
    stream: trio.SocketStream
    since: float


async def _until(when: float, spin: float) -> None:
    """Sleep to the microsecond: the system's timers round up to a millisecond, which would be lag of our own."""
    await trio.sleep_until(when - spin)
    while trio.current_time() < when:
        await trio.sleep(0)


class Sender:
    """One process's part of a plan.  `watch(what, name, key, told)` hears of each try: asked, answered, abandoned."""

    def __init__(
        self,
        plan: LoadPlan,
        part: int = 0,
        parts: int = 1,
        spin: float = SPIN,
        watch: Callable[[str, str, str, str], None] = lambda what, name, key, told: None,
    ) -> None:
        self.watch = watch
        self.plan, self.part, self.parts, self.spin = plan, part, parts, spin
        self.result = Result(plan)
        self._kept: deque[Kept] = deque()
        self._name = f"{os.getpid():x}-{plan.seed:x}-{part:x}"
        self._numbers = 0
        self.closing = False  # no further request is sent; what was, is waited for

    async def run(self, planned: Iterable[Arrival] | None = None) -> Result:
        """Play the plan to its end; cancelled, the result is what is known, marked partial."""
        self._start = trio.current_time()
        self.result.partial = True
        try:
            async with trio.open_nursery() as nursery:
                for arrival in arrivals(self.plan, self.part, self.parts) if planned is None else planned:
                    if self.closing or self.result.sent >= self.plan.requests_most:
                        break
                    # Behind its time it still hands over to the clients' tasks, or it would starve their answers.
                    await _until(self._start + arrival.when, self.spin)
                    if self.closing:
                        break
                    nursery.start_soon(self._client, arrival)
            self.result.partial = False
        finally:
            while self._kept:
                self._kept.popleft().stream.socket.close()
        return self.result

    async def _client(self, arrival: Arrival) -> None:
        """A first try and what follows from it, counted under its own time."""
        meant, source = self._start + arrival.when, self.plan.source[arrival.source]
        self.result.on_meant(arrival.source, arrival.when)
        again, outcome = source.again, "lost"
        for attempt in range(1 + again.most):
            self.result.tries += 1
            answer = None
            with trio.move_on_after(source.deadline + source.patience) as limit:
                answer = await self._ask(source, arrival, meant if attempt == 0 else None, attempt > 0 and again.marked)
            if limit.cancelled_caught or answer is None:
                outcome = "timeout"
                break
            outcome = {200: "served", 429: "refused", 503: "refused", 0: "lost"}.get(answer.status, "failed")
            if outcome != "refused" or attempt == again.most:
                break
            await trio.sleep(answer.retry_after if again.obey and answer.retry_after else again.wait)
        self.result.on_end(arrival.source, arrival.when, outcome, trio.current_time() - meant)

    async def _ask(self, source: Source, arrival: Arrival, meant: float | None, marked: bool) -> Answer:
        self._numbers += 1
        name = f"{self._name}-{self._numbers:x}"
        key = f"{self.plan.seed % 2**16:04x}{self.part:02x}{arrival.source:02x}{arrival.number:08x}"
        key = key if source.keyed else ""
        self.watch("asked", name, key, source.job_class)
        answer, told = None, ""
        try:
            answer = await self._try(source, arrival, meant, marked, name, key)
            told = str(answer.status)
        finally:
            # Cancelled: the client has given up, or the run ends.
            self.watch("answered" if answer is not None and answer.status else "abandoned", name, key, told)
        return answer

    async def _try(
        self, source: Source, arrival: Arrival, meant: float | None, marked: bool, name: str, key: str
    ) -> Answer:
        taken = trio.current_time()
        head = (
            f"POST {source.path or '/' + source.job_class} HTTP/1.1\r\nHost: {self.plan.target}\r\n"
            f"X-Txn: {name}\r\nX-Remaining-Ms: {int(1000 * source.deadline)}\r\n"
            f"Content-Length: {source.size}\r\n"
        )
        head += f"X-Org: {source.member}\r\n" if source.member else ""
        head += f"Cookie: k={key}\r\n" if key else ""
        head += "X-Resent: 1\r\n" if marked else ""
        head += "Connection: close\r\n" if arrival.fresh else ""
        data = head.encode() + b"\r\n" + b"x" * source.size
        # A kept connection may have been closed just now: that is no fault of the request, which goes out once more.
        for stream in (None if arrival.fresh else self._take(), None):
            fresh = stream is None
            try:
                stream = stream or await self._connect()
                try:
                    await stream.send_all(data)
                    if meant is not None:
                        self.result.on_written(taken - meant, trio.current_time() - taken)
                        meant = None
                    answer, keep = await self._read(stream)
                except BaseException:
                    stream.socket.close()
                    raise
                if keep and not arrival.fresh:
                    self._kept.append(Kept(stream, trio.current_time()))
                else:
                    stream.socket.close()
                return answer
            except OSError as problem:
                number = problem.errno or getattr(problem.__cause__, "errno", None) or 0
                self.result.troubles[TROUBLES.get(number, os.strerror(number) if number else "cannot connect")] += 1
                return Answer(0, 0.0)
            except (trio.BrokenResourceError, trio.ClosedResourceError, EOFError):
                if fresh:
                    self.result.troubles["closed by the target"] += 1
                    return Answer(0, 0.0)
        return Answer(0, 0.0)

    def _take(self) -> trio.SocketStream | None:
        while self._kept:
            kept = self._kept.pop()
            if trio.current_time() - kept.since < IDLE_MOST and not kept.stream.socket.is_readable():
                return kept.stream
            kept.stream.socket.close()
        return None

    async def _connect(self) -> trio.SocketStream:
        """A connection; OSError where it does not come up."""
        host, port = self.plan.address
        socket = trio.socket.socket(
            trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET, trio.socket.SOCK_STREAM
        )
        try:
            with trio.move_on_after(CONNECT_WITHIN) as limit:
                await socket.connect((host, port))
            if limit.cancelled_caught:
                raise OSError(errno.ETIMEDOUT, "the target takes no connection")
            return trio.SocketStream(socket)
        except BaseException:
            socket.close()
            raise

    async def _read(self, stream: trio.SocketStream) -> tuple[Answer, bool]:
        """One answer with its whole body, and whether the connection goes on; EOFError where it ends before."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = await stream.receive_some(RECEIVE)
            if not part or len(data) > HEAD_MOST:
                raise EOFError
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.split(b"\r\n")
        headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
        length = int(headers.get(b"content-length", b"0"))
        while len(body) < length:
            part = await stream.receive_some(RECEIVE)
            if not part:
                raise EOFError
            body += part
        keep = headers.get(b"connection", b"").lower() != b"close" and first.startswith(b"HTTP/1.1")
        return Answer(int(first.split()[1]), float(headers.get(b"retry-after", b"0"))), keep
