"""The agents of discovery, one for each dispatcher: lists that come late, whole and as changes in turn."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

import trio

from benchmarks.soak.record import Record
from benchmarks.soak.servers import GONE, node_host

Line = dict[str, Any]
Lines = Mapping[str, Line]


class Agent:
    """What one dispatcher is told: snapshots of the truth, each period, so late."""

    def __init__(self, node: int, port: int, record: Record) -> None:
        self.node, self.port, self.record = node, port, record
        self.silent = False  # a call is answered only after the outage
        self.seq = 0
        self.lines: dict[str, Line] = {}
        self._changed_at: dict[str, int] = {}  # by host: the version of its last change
        self._gone: dict[str, Line] = {}
        self._event = trio.Event()

    def take(self, lines: Lines) -> None:
        """A snapshot arrives here; what the agent has counts as told."""
        self.seq += 1
        for name, line in lines.items():
            if self.lines.get(name) != line:
                self._changed_at[name] = self.seq
            self._gone.pop(name, None)
        for name in self.lines.keys() - lines.keys():
            self._gone[name] = {"host": name, "health": "left"}
            self._changed_at[name] = self.seq
        self.lines = dict(lines)
        self._note()
        self._event.set()
        self._event = trio.Event()

    def _note(self) -> None:
        """Write down of which starts and drains this dispatcher counts as told from now on."""
        now = trio.current_time()
        for start in self.record.starts:
            line = self.lines.get(start.server)
            if line is not None and line["born"] == start.at:
                start.told.setdefault(self.node, now)
        for drain in self.record.drains:
            line = self.lines.get(drain.server)
            if line is None or line["health"] != "active":
                drain.told.setdefault(self.node, now)

    async def run(self, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED) -> None:
        await trio.serve_tcp(self._connection, self.port, host=node_host(self.node), task_status=task_status)

    async def _connection(self, stream: trio.SocketStream) -> None:
        data = b""
        with suppress(*GONE):
            while True:
                while b"\r\n\r\n" not in data:
                    part = await stream.receive_some(65536)
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b"\r\n\r\n")
                body = await self._answer(head.split(b" ")[1].decode())
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        stream.socket.close()

    async def _answer(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        after = int(query["after"][0]) if "after" in query else None
        if after is not None:
            with trio.move_on_after(int(query["wait_ms"][0]) / 1000):
                while self.seq <= after or self.silent:
                    await self._event.wait()
        while self.silent:
            await trio.sleep(0.05)
        whole = after is None or self.seq % 2 == 0
        if whole:
            hosts = list(self.lines.values())
        else:
            known = {**self._gone, **self.lines}
            hosts = [known[name] for name, seq in self._changed_at.items() if seq > (after or 0) and name in known]
        told = [{key: value for key, value in line.items() if key != "born"} for line in hosts]
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": told}).encode()


async def publish(agents: list[Agent], snapshot: Callable[[int], Lines], period: float, lags: list[float]) -> None:
    """Each period, hand a snapshot of the truth to each agent, so late for each."""
    async with trio.open_nursery() as nursery:

        async def deliver(agent: Agent, lines: Lines, late: float) -> None:
            await trio.sleep(late)
            while agent.silent:
                await trio.sleep(0.02)
            agent.take(lines)

        while True:
            for agent, late in zip(agents, lags, strict=True):
                nursery.start_soon(deliver, agent, snapshot(agent.node), late)
            await trio.sleep(period)
