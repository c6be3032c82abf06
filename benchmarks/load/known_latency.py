"""A stand-in of known latency, for `benchmarks.load.truth`.

Run: `python -m benchmarks.load.known_latency PORT SPEC-AS-JSON`.

`{"fixed": [0.05], "stall": 2.0, "every": 10.0, "begin": T}`: each request is answered so long after its last byte came,
by turns of the list; what would be answered in a stall, of which one begins at T and every so many seconds after, is
answered at its end.  T is on the system's monotonic clock.
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import trio

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def due(spec: dict[str, Any], when: float, number: int) -> float:
    """When a request that is whole at that time is answered."""
    fixed = spec["fixed"]
    end: float = when + fixed[number % len(fixed)]
    if spec.get("stall"):
        into = (end - spec["begin"]) % spec["every"]
        if end >= spec["begin"] and into < spec["stall"]:
            end += spec["stall"] - into
    return end


async def serve(port: int, spec: dict[str, Any]) -> None:
    async def connection(stream: trio.SocketStream) -> None:
        data = b""
        try:
            while part := await stream.receive_some(65536):
                data += part
                while b"\r\n\r\n" in data:
                    head, _, rest = data.partition(b"\r\n\r\n")
                    lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
                    size = int(lines[b"content-length"])
                    if len(rest) < size:
                        break
                    # The generator numbers its requests as they are meant: answers by turns need no order of arrival.
                    number, data = int(lines[b"x-txn"].rpartition(b"-")[2], 16), rest[size:]
                    until = due(spec, time.monotonic(), number)
                    await trio.sleep(max(0.0, until - time.monotonic() - 0.0015))
                    while time.monotonic() < until:  # timers round up to a millisecond
                        await trio.sleep(0)
                    await stream.send_all(ANSWER)
        except trio.BrokenResourceError:
            pass

    await trio.serve_tcp(connection, port, host="127.0.0.1", handler_nursery=None)


if __name__ == "__main__":
    trio.run(serve, int(sys.argv[1]), json.loads(sys.argv[2]))
