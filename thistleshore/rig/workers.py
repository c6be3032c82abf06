"""Stand-in ticket workers: they do jobs of the HTTP front, write down each that begins and ends, and misbehave."""

from __future__ import annotations

import json
from math import inf

import trio

from thistleshore.rig.relay import Links
from thistleshore.rig.truth import Truth

HEAD_MOST = 65536
COLD = 2.0  # s for which one that has come back is slow
COLD_TIMES = 4.0


class Bay:
    """Workers that know of one another's keyed jobs: a repeat within the window is answered and not run."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.known: dict[str, tuple[float, trio.Event]] = {}


class Worker:
    """One worker; `mode` is how it behaves to jobs that begin from now on."""

    def __init__(self, name: str, bay: Bay, seconds: float, slots: int, truth: Truth, links: Links) -> None:
        self.name, self.bay, self.seconds, self.truth, self.links = name, bay, seconds, truth, links
        self.mode, self.times, self.cold_until = "serve", 1.0, -inf
        self.reports = False  # whether answers tell how many slots are free
        self.slots = trio.Semaphore(slots)
        self.port = 0
        self._scope: trio.CancelScope | None = None
        self._back = trio.Event()

    async def run(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; started with the port."""
        first = True
        while True:
            (listener,) = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
            self.port = listener.socket.getsockname()[1]
            if first:
                task_status.started(self.port)
                first = False
            with trio.CancelScope() as self._scope:
                await trio.serve_listeners(self._connection, [listener])
            await listener.aclose()
            await self._back.wait()

    def turn(self, mode: str, times: float = 1.0) -> None:
        """Behave so from now on: serve, slow, failing, silent, gone or cold."""
        if self.mode == "gone" and mode != "gone":
            self._back.set()
        if mode == "gone" and self.mode != "gone" and self._scope is not None:
            self._back = trio.Event()
            self._scope.cancel()
        if mode == "cold":
            self.cold_until, mode = trio.current_time() + COLD, "serve"
        self.mode, self.times = mode, times if mode == "slow" else 1.0

    async def _connection(self, stream: trio.SocketStream) -> None:
        try:
            caller = self.links.callers.get(stream.socket.getpeername()[1], "")
            while await self._job(stream, caller):
                pass
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError, KeyError):
            pass
        finally:
            stream.socket.close()

    async def _job(self, stream: trio.SocketStream, caller: str) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            part = await stream.receive_some(65536)
            if not part or len(data) > HEAD_MOST:
                return False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        headers = {name.strip().lower(): value.strip() for name, _, value in
                   (line.partition(b":") for line in head.split(b"\r\n")[1:])}  # fmt: skip
        size = int(headers.get(b"content-length", b"0"))
        while len(body) < size:
            part = await stream.receive_some(65536)
            if not part:
                return False
            body += part
        job, key = headers[b"x-txn"].decode(), headers.get(b"cookie", b"").decode()
        end = await self._do(job, key.removeprefix("k="), caller)
        text = json.dumps({"id": job, **end}).encode() + b"\n"
        report = b"X-Pressure: TEXT x0=%d\r\n" % self.slots.value if self.reports else b""
        await stream.send_all(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (report, len(text), text))
        return True

    async def _do(self, job: str, key: str, caller: str) -> dict[str, str]:
        self.truth.add("sent", worker=self.name, job=job, key=key, by=caller)
        if self.mode == "silent":
            await trio.sleep_forever()
        if self.mode == "failing":
            return {"state": "failed"}
        now = trio.current_time()
        if key:
            known = self.bay.known.get(key)
            if known is not None and now < known[0] + self.bay.window:
                await known[1].wait()  # it runs, or has run, here: that answer is this one's too
                return {"state": "done", "result": job}
            event = trio.Event()
            self.bay.known[key] = (now, event)
        async with self.slots:
            self.truth.add("job", worker=self.name, job=job, key=key, by=caller)
            times = self.times * (COLD_TIMES if trio.current_time() < self.cold_until else 1.0)
            with trio.CancelScope(shield=True):  # a job whose connection is lost runs to its end
                await trio.sleep(min(30.0, self.seconds * times))
            self.truth.add("done", worker=self.name, job=job, key=key, by=caller)
        if key:
            event.set()
        return {"state": "done", "result": job}
