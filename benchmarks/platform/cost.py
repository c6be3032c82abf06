"""What the platform's dispatcher costs: CPU a request and memory, of this tree and of an earlier one, in turns.

    python -m benchmarks.platform.cost --base REVISION [--requests 4000] [--rounds 5] [--json]

Each turn starts `python -O -m thistleshore` by PROXY_CONFIG on loopback, sends requests by eight kept connections to
stand-in workers that answer at once, and reads /proc for what the process used from its first request on.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import trio

from tests.support import Lines, free_port

ROOT = Path(__file__).parent.parent.parent
CLIENTS = 8
TICKS = os.sysconf("SC_CLK_TCK")
READY_WITHIN = 10.0  # s
SETTINGS = {
    "balancers": 1,
    "quantum": 0.005,
    "localities": ["a"],
    "kinds": ["m"],
    "rules": {},
    "lanes": [
        {"name": "seat-search", "effect": "retryable", "aim": 1.0, "giveUp": 10.0},
        {"name": "ticket-issue", "effect": "dedup", "aim": 1.0, "giveUp": 5.0, "repeatWindow": 7.5},
    ],
    "limits": {"maxAttempts": 3, "connectTimeout": 0.2, "connIdle": 15.0},
    "tenants": [{"name": "acme", "quotaPerS": 100000.0}],
}


class Used(NamedTuple):
    cpu_us: float  # microseconds of CPU a request
    memory_kb: int  # the most that was resident
    start_s: float  # s until it was ready


async def worker(stream: trio.SocketStream) -> None:
    """Answers every job at once, with room to spare."""
    lines = Lines(stream)
    try:
        while True:
            _, headers = await lines.head()
            await lines.exactly(int(headers.get(b"content-length", b"0")))
            end = {"id": headers[b"x-txn"].decode(), "state": "done", "result": "r", "load": {"x0": 50}}
            body = json.dumps(end).encode() + b"\n"
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    except (EOFError, trio.BrokenResourceError):
        pass


async def client(port: int, number: int, count: int) -> int:
    """So many requests on one connection; returns how many were served."""
    served = 0
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        lines = Lines(stream)
        for n in range(count):
            lane = b"ticket-issue" if n % 3 == 0 else b"seat-search"
            head = (
                b"POST /%s HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %x%08x\r\nX-Lane: %s\r\nX-Org: acme\r\n"
                b"Cookie: k=%x\r\nX-Remaining-Ms: 4000\r\nContent-Length: 12\r\n\r\nhello, there"
            )
            await stream.send_all(head % (lane, number + 1, n, lane, n % 97))
            first, headers = await lines.head()
            await lines.exactly(int(headers[b"content-length"]))
            served += first.split()[1] == b"200"
    return served


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM:")).split()[1])


async def turn(tree: Path, requests: int) -> Used:
    port, ports = free_port(), [free_port() for _ in range(3)]
    hosts = [
        {"host": f"w{n}", "dial": f"127.0.0.1:{p}", "site": "a", "class": "m", "block": 0, "health": "active"}
        for n, p in enumerate(ports)
    ]
    conf = {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "seed": "1",
        "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": hosts},
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(conf, file)
        file.flush()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        command = [sys.executable, "-O", "-m", "thistleshore"]
        begun = time.monotonic()
        environ |= {"PROXY_CONFIG": file.name, "PYTHONPATH": str(tree)}
        process = subprocess.Popen(command, cwd=tree, env=environ, stderr=subprocess.DEVNULL)
        try:
            async with trio.open_nursery() as nursery:
                for p in ports:
                    await nursery.start(trio.serve_tcp, worker, p)
                with trio.fail_after(READY_WITHIN):
                    while True:
                        try:
                            await client(port, 99, 1)
                            break
                        except OSError:
                            await trio.sleep(0.01)
                started = time.monotonic() - begun
                before, served = cpu(process.pid), list[int]()

                async def one(number: int) -> None:
                    served.append(await client(port, number, requests // CLIENTS))

                async with trio.open_nursery() as clients:
                    for number in range(CLIENTS):
                        clients.start_soon(one, number)
                used = cpu(process.pid) - before
                if sum(served) < 0.99 * requests:
                    raise SystemExit(f"only {sum(served)} of {requests} requests were served")
                memory = resident(process.pid)
                nursery.cancel_scope.cancel()
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()
    return Used(used / requests * 1e6, memory, started)


@contextmanager
def earlier(revision: str) -> Iterator[Path]:
    """A work tree of a revision, for as long as it is needed."""
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "tree"
        subprocess.run(["git", "worktree", "add", "--quiet", "--detach", str(tree), revision], cwd=ROOT, check=True)
        try:
            yield tree
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(tree)], cwd=ROOT, check=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--base", required=True, help="the revision to compare with")
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    found: dict[str, list[Used]] = {"base": [], "now": []}
    with earlier(asked.base) as tree:
        for _ in range(asked.rounds):
            for name, path in (("base", tree), ("now", ROOT)):
                found[name].append(trio.run(turn, path, asked.requests))
    told: dict[str, Any] = {}
    for name, turns in found.items():
        told[name] = {key: round(statistics.median(getattr(used, key) for used in turns), 3) for key in Used._fields}
    told["ratio"] = {key: round(told["now"][key] / told["base"][key], 3) for key in Used._fields}
    print(json.dumps(told) if asked.json else told)


if __name__ == "__main__":
    main()
