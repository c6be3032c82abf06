"""The surge of `benchmarks.contracts.surge` over real sockets and real time: one dispatcher, stand-in workers, HTTP.

    python -m benchmarks.contracts.surge_real [--seconds 10] [--seed 1] [--json]

Twelve workers of four slots each on loopback, clients of nine members with a connection for each request; a quiet run
and one in which the first member sends three times its share, with shares kept and without.  Some 40 jobs a second at
most 90; everything is in this process, on one core.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
from dataclasses import replace
from typing import Any

import numpy as np
import trio

from benchmarks.contracts.surge import CLASSES, HOSTS, LOAD, MEMBERS, MIX, RUNS, SLOTS, SURGE
from tests.support import Lines, free_port
from thistleshore import config
from thistleshore.dispatcher import serve

NAMES = ("seat-search", "ticket-issue")
WARM, AFTER = 4.0, 2.0  # s


class Worker:
    """A worker with slots; what does not fit waits.  It tells when a job starts, and its load with every answer."""

    def __init__(self) -> None:
        self.port, self.slots, self.waiting = free_port(), trio.CapacityLimiter(SLOTS), 0

    async def serve(self, stream: trio.SocketStream) -> None:
        lines = Lines(stream)
        try:
            while True:
                _, headers = await lines.head()
                run = float(await lines.exactly(int(headers[b"content-length"])))
                name = headers[b"x-txn"].decode()
                self.waiting += 1
                await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                async with self.slots:
                    self.waiting -= 1
                    await self.say(stream, {"id": name, "state": "started"})
                    await trio.sleep(run)
                load = {
                    "x0": self.slots.available_tokens,
                    "queue": self.waiting,
                    "inflight": self.slots.borrowed_tokens,
                }
                await self.say(stream, {"id": name, "state": "done", "result": "r", "load": load})
                await stream.send_all(b"0\r\n\r\n")
        except (EOFError, trio.BrokenResourceError):
            pass

    async def say(self, stream: trio.SocketStream, what: dict[str, Any]) -> None:
        text = json.dumps(what).encode() + b"\n"
        await stream.send_all(b"%x\r\n%s\r\n" % (len(text), text))


class Run:
    """One run: what each member asked for and earned in its window."""

    def __init__(self, seed: int, seconds: float, surge: float, kept: bool) -> None:
        self.seed, self.seconds, self.surge, self.kept = seed, seconds, surge, kept
        self.port, self.workers = free_port(), [Worker() for _ in range(HOSTS)]
        self.asked, self.earned, self.answers = dict.fromkeys(MEMBERS, 0.0), dict.fromkeys(MEMBERS, 0.0), 0
        self.late = 0.0  # s by which a client was sent late, at most
        self.number = 0

    def file(self) -> dict[str, Any]:
        usual = {"team": "consortium", "service": "s", "rate": 30.0, "attempts": 3}
        contracts = [
            {
                **usual,
                "class": name,
                "path": f"/{name}",
                "effect": ("safe", "keyed")[n],
                "window": rule.repeat_window,
                "deadline": rule.give_up,
                "aim": rule.aim,
                "stretch": rule.stretch,
                "worth": rule.worth,
            }
            for n, (name, rule) in enumerate(zip(NAMES, CLASSES, strict=True))
        ]
        hosts = [
            {"name": f"w{n}", "service": "s", "bay": n // 3, "address": f"127.0.0.1:{worker.port}"}
            for n, worker in enumerate(self.workers)
        ]
        found: dict[str, Any] = {
            "http": {"listen": f"127.0.0.1:{self.port}"},
            "service": [{"name": "s"}],
            "host": hosts,
            "contract": contracts,
            "match": [{"when": "true", "member": 'request.headers[?"x-org"].orValue("")'}],
        }
        if self.kept:
            found["member"] = [{"name": name, "share": share} for name, share in MEMBERS.items()]
        return found

    async def client(self, member: str, job_class: int, run: float, counted: bool) -> None:
        rule, begun = CLASSES[job_class], trio.current_time()
        self.number += 1
        name = f"{self.number:x}"
        async with await trio.open_tcp_stream("127.0.0.1", self.port) as stream:
            body = b"%.4f" % run
            head = f"POST /{NAMES[job_class]} HTTP/1.1\r\nHost: s\r\nX-Txn: {name}\r\nX-Org: {member}\r\n"
            await stream.send_all(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            status, headers = await Lines(stream).head()
        self.answers += 1
        if counted and status.split()[1] == b"200":
            fine = trio.current_time() - begun <= rule.aim + rule.stretch * run
            self.earned[member] += rule.worth * (1.0 if fine else rule.late_share)

    async def clients(self) -> None:
        work = sum(part * run for part, run in zip(MIX, RUNS, strict=True))
        rate = LOAD * HOSTS * SLOTS / work
        story: list[tuple[float, str, int, float]] = []
        for m, (member, share) in enumerate(MEMBERS.items()):
            for job_class, part in enumerate(MIX):
                for times, begin, key in ((1.0, 0.0, 0), (self.surge - 1.0 if m == 0 else 0.0, WARM, 1)):
                    at, when = np.random.default_rng((self.seed, m, job_class, key)), begin
                    while (
                        times
                        and (when := when + float(at.exponential(1 / (rate * share * part * times))))
                        < WARM + self.seconds
                    ):
                        run = float(at.lognormal(math.log(RUNS[job_class]) - 0.125, 0.5))
                        story.append((when, member, job_class, run))
        begun = trio.current_time()
        async with trio.open_nursery() as nursery:
            for when, member, job_class, run in sorted(story):
                await trio.sleep_until(begun + when)
                self.late = max(self.late, trio.current_time() - begun - when)
                if counted := when >= WARM:
                    self.asked[member] += CLASSES[job_class].worth
                nursery.start_soon(self.client, member, job_class, run, counted)
        self.count = len(story)

    async def play(self) -> Run:
        plan = config.operator_plan(self.file(), 0.0)
        plan = replace(plan, seed=self.seed, settings=replace(plan.settings, tells_start=True))
        drain = trio.Event()
        async with trio.open_nursery() as nursery:
            for worker in self.workers:
                await nursery.start(trio.serve_tcp, worker.serve, worker.port)
            await nursery.start(serve, plan, drain)
            await trio.sleep(0.2)
            await self.clients()
            nursery.cancel_scope.cancel()
        if self.answers != self.count:
            raise SystemExit(f"{self.count} streams, {self.answers} answers")
        return self


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    told: dict[str, Any] = {"seed": asked.seed, "seconds": asked.seconds}
    for name, kept in (("contracts", True), ("baseline", False)):
        quiet, surge = (trio.run(Run(asked.seed, asked.seconds, times, kept).play) for times in (1.0, SURGE))
        before, after = ({m: run.earned[m] / run.asked[m] for m in MEMBERS if run.asked[m]} for run in (quiet, surge))
        lost = [1.0 - after[m] / before[m] for m in list(before)[1:]]
        first = next(iter(MEMBERS))
        told[name] = {
            "worst_loss": round(max(lost), 4),
            "mean_loss": round(float(np.mean(lost)), 4),
            "surging_got": round(surge.earned[first] / quiet.asked[first], 3),
            "streams": [quiet.count, surge.count],
            "sent_late_ms": round(1000 * max(quiet.late, surge.late), 1),
        }
    print(json.dumps(told) if asked.json else told)
    return 0


if __name__ == "__main__":
    sys.exit(main())
