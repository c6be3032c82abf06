"""Does the load generator tell the truth?  Against stand-ins of known latency, its percentiles next to the schedule's.

    python -m benchmarks.load.truth [--seconds 21] [--rate 50] [--json]

A fixed latency, two by turns, and a fixed one with stalls of 2 s every 10 s.  The truth is computed from the schedule:
for each request the time from when it was meant to be sent to when the stand-in answers.  Beside it stands what a
closed loop would have said: so many clients, each of whom sends when its last answer has come.
"""

from __future__ import annotations

import argparse
import json
import math
import subprocess
import sys
import time
from typing import Any

import trio

from benchmarks.load.known_latency import due
from tests.support import free_port
from thistleshore.load.plan import arrivals, convert
from thistleshore.load.result import PERCENTILES, histogram, percentiles, record
from thistleshore.load.run import Sender

SPECS: dict[str, dict[str, Any]] = {
    "fixed": {"fixed": [0.25]},
    "two by turns": {"fixed": [0.1, 0.1, 0.4]},
    "fixed with stalls": {"fixed": [0.25], "stall": 2.0, "every": 10.0},
}
CLOSED = 10  # clients of the closed loop
WITHIN = 0.01


def measure(spec: dict[str, Any], seconds: float, rate: float) -> dict[str, Any]:
    port, begin = free_port(), time.monotonic() + 5.0
    spec = {**spec, "begin": begin}
    process = subprocess.Popen([sys.executable, "-m", "benchmarks.load.known_latency", str(port), json.dumps(spec)])
    try:
        plan = convert({"target": f"127.0.0.1:{port}", "seconds": seconds, "source": [{"class": "x", "rate": rate}]})
        return trio.run(play, plan, spec, port, seconds)
    finally:
        process.kill()
        process.wait()


async def play(plan: Any, spec: dict[str, Any], port: int, seconds: float) -> dict[str, Any]:
    for _ in range(200):
        try:
            (await trio.open_tcp_stream("127.0.0.1", port)).socket.close()
            break
        except OSError:
            await trio.sleep(0.05)
    planned, sender = list(arrivals(plan)), Sender(plan)
    # The stand-in's clock and the schedule's: both are monotonic time.
    offset = time.monotonic() - trio.current_time()
    start = trio.current_time() + offset
    result = await sender.run(planned)
    truth = histogram()
    exact = []
    for number, arrival in enumerate(planned, 1):
        took = due(spec, start + arrival.when, number) - start - arrival.when
        exact.append(took)
        record(truth, took)
    exact.sort()
    told = result.told()
    said = told["served_ms"]
    last = len(exact) - 1
    at = {p: max(0, min(last, math.ceil(len(exact) * p / 100) - 1)) for p in PERCENTILES[:-1]}
    true = {f"p{p:g}": 1000 * exact[n] for p, n in at.items()}
    true["max"] = 1000 * exact[-1]
    closed = await closed_loop(port, min(seconds, 12.0))
    off = {key: round(abs(said[key] / true[key] - 1.0), 5) for key in true}
    rounded = ({key: round(value, 3) for key, value in found.items()} for found in (true, said))
    same = {key: told[key] for key in ("requests", "late", "lag_ms")}
    return {**same, **dict(zip(("truth_ms", "said_ms"), rounded, strict=True)), "off": off, "closed_loop_ms": closed}


async def closed_loop(port: int, seconds: float) -> dict[str, float]:
    """What clients that wait for each answer would have measured."""
    found, until = histogram(), trio.current_time() + seconds
    number = 0

    async def client() -> None:
        nonlocal number
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            while trio.current_time() < until:
                number += 1
                begun = trio.current_time()
                await stream.send_all(b"POST /x HTTP/1.1\r\nX-Txn: c-%x\r\nContent-Length: 0\r\n\r\n" % number)
                await stream.receive_some(4096)
                record(found, trio.current_time() - begun)

    async with trio.open_nursery() as nursery:
        for _ in range(CLOSED):
            nursery.start_soon(client)
    return percentiles(found)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seconds", type=float, default=21.0)
    parser.add_argument("--rate", type=float, default=50.0)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    told = {name: measure(spec, asked.seconds, asked.rate) for name, spec in SPECS.items()}
    print(json.dumps(told) if asked.json else json.dumps(told, indent=1))
    return 0 if all(max(found["off"].values()) <= WITHIN for found in told.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
