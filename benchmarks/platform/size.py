"""What a fleet's size costs: the platform's program with that many peers and hosts, and the module's decisions alone.

    python -m benchmarks.platform.size [--sizes 10,200,1024] [--json]

The program: `python -O -m thistleshore` by PROXY_CONFIG, with its agent, on loopback: seconds to ready, memory, open
descriptors, after ten seconds of lists whose weights change twice a second.  The module: microseconds of CPU a job of
30 a second, milliseconds a list, microseconds a note, with notes of five peers for each job.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import trio

from benchmarks.platform.cost import ROOT, SETTINGS, cpu, resident
from oxbowarch.brain import Brain
from oxbowarch.interface import (
    Effect,
    Entry,
    Group,
    JobClass,
    ListKind,
    Note,
    Outcome,
    Report,
    Request,
    Send,
    Settings,
    State,
    Status,
)
from tests.support import Lines, free_port

READY_WITHIN, WATCHED = 30.0, 10.0  # s
EVERY = 0.5  # s between two lists


def hosts(count: int, weight: float = 1.0) -> list[dict[str, Any]]:
    return [
        {
            "host": f"s-{n * 2654435761 % 2**32:08x}",
            "dial": f"127.0.0.1:{20000 + n}",
            "site": "a",
            "class": "m",
            "block": n // 5,
            "health": "active",
            "share": weight,
            "born_ms": 0,
        }
        for n in range(count)
    ]


async def program(size: int) -> dict[str, Any]:
    """The real program with so many hosts, and as many peers (all at one address that nobody reads)."""
    port, agent, peer, version = free_port(), free_port(), free_port(), 1

    async def discovery(stream: trio.SocketStream) -> None:
        nonlocal version
        lines = Lines(stream)
        with suppress(EOFError, trio.BrokenResourceError):
            while True:
                whole = b"after=" not in (await lines.head())[0]
                await trio.sleep(0.0 if whole else EVERY)
                version += not whole
                body = json.dumps({"seq": version, "whole": whole, "hosts": hosts(size, 1 / version)}).encode()
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    settings = {**SETTINGS, "balancers": size, "limits": {**SETTINGS["limits"], "peers": True}}  # type: ignore[dict-item]
    conf = {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "seed": "1",
        "discovery": f"127.0.0.1:{agent}",
        "settings": settings,
        "limits": {"memory_mb": 32, "sockets": 256},
        "peer_listen": f"127.0.0.1:{peer}",
        "peers": [f"127.0.0.1:{peer}"] + [f"127.1.{n // 250}.{1 + n % 250}:9" for n in range(size - 1)],
        "peers_all": "127.1.255.1:9",
        "known": {"seq": 1, "whole": True, "hosts": hosts(size)},
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(conf, file)
        file.flush()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        begun = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-O", "-m", "thistleshore"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env=environ | {"PROXY_CONFIG": file.name},
        )
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(trio.serve_tcp, discovery, agent)
                with trio.fail_after(READY_WITHIN):
                    while not await ready(port):
                        await trio.sleep(0.01)
                started, before = time.monotonic() - begun, cpu(process.pid)
                await trio.sleep(WATCHED)
                found = {
                    "ready_s": round(started, 2),
                    "memory_mb": round(resident(process.pid) / 1024, 1),
                    "descriptors": len(list(Path(f"/proc/{process.pid}/fd").iterdir())),
                    "idle_cpu_ms_a_s": round((cpu(process.pid) - before) / WATCHED * 1e3, 1),
                }
                nursery.cancel_scope.cancel()
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()
    return found


async def ready(port: int) -> bool:
    with suppress(OSError, EOFError, trio.BrokenResourceError):
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
            return b" 200 " in (await Lines(stream).head())[0]
    return False


def module(size: int, jobs: int = 3000) -> dict[str, Any]:
    classes = (
        JobClass(Effect.SAFE, aim=0.4, stretch=2.5, give_up=10.0, worth=3.0),
        JobClass(Effect.KEYED, group=Group.CELL, repeat_window=7.5, aim=0.4, stretch=2.0),
    )
    brain = Brain(
        Settings(
            size,
            0,
            classes,
            (50.0,) * 9,
            shares_notes=True,
            tells_start=True,
            can_cancel=True,
            hedging=True,
            max_attempts=6,
            cold_from=0.12,
            warm_up=24.0,
        ),
        1,
        0.0,
    )
    random, now, listed, out = Random(2), 0.0, 0.0, list[tuple[float, int, bytes]]()
    entries = tuple(Entry(host["host"].encode(), State.READY, cell=host["block"]) for host in hosts(size))
    brain.on_list(ListKind.FULL, entries, 0.0)
    spent, times = {"job": 0.0, "list": 0.0, "note": 0.0}, {"job": jobs, "list": 0, "note": 5 * jobs}
    for job in range(1, jobs + 1):
        now += 1 / 30
        if now - listed > EVERY:
            listed, changed = now, tuple(entry._replace(weight=random.random()) for entry in entries)
            begun = time.process_time()
            brain.on_list(ListKind.CHANGES, changed, now)
            spent["list"] += time.process_time() - begun
            times["list"] += 1
        begun = time.process_time()
        for _ in range(5):
            note = Note(entries[random.randrange(size)].worker, random.randrange(3))
            brain.on_notes(1 + random.randrange(size - 1), (note,), now)
        spent["note"] += time.process_time() - begun
        begun = time.process_time()
        for action in brain.on_request(Request(job, job % 3 == 0, 5.0, job % 9, job % 97 + 1), now):
            if isinstance(action, Send):
                out.append((now + 0.3, action.id, action.worker))
                brain.on_started(action.id, 0, now)
        while out and out[0][0] <= now:
            _, number, worker = out.pop(0)
            brain.on_outcome(Outcome(number, 0, worker, Status.OK, 0.3, True, Report(2.0, None, 1.0)), now)
        spent["job"] += time.process_time() - begun
    return {
        "job_us": round(spent["job"] / times["job"] * 1e6, 1),
        "list_ms": round(spent["list"] / times["list"] * 1e3, 3),
        "note_us": round(spent["note"] / times["note"] * 1e6, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sizes", default="10,200,1024")
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    for size in map(int, asked.sizes.split(",")):
        found = {"size": size, **trio.run(program, size), **module(size)}
        print(json.dumps(found) if asked.json else found, flush=True)


if __name__ == "__main__":
    main()
