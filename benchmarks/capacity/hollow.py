"""Many hollow dispatchers in this one process, each on its own loopback sockets, until standard input ends.

    python -O -m benchmarks.capacity.counted COUNTS benchmarks.capacity.hollow STATUS [--begin] FILE ...

Once a second a line of JSON is added to STATUS: how many have started, whose views are settled and alike, and how many
follow the register.  `--begin`: the first of them begins the register.
"""

from __future__ import annotations

import gc
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import trio

from thistleshore import config
from thistleshore.rig.hollow import HollowDispatcher

START_GAP = 0.1  # s between two starts: each that joins compares its view with others
STATUS_EVERY = 0.5  # s
BEGIN_AGAIN = 0.5  # s


def status(dispatchers: Sequence[HollowDispatcher], started: int) -> dict[str, Any]:
    """How the group stands now."""
    machines = [each.fleet.machine for each in dispatchers if each.fleet is not None]
    return {
        "at": trio.current_time(),
        "started": started,
        "settled": sum(machine.settled for machine in machines),
        "digests": sorted({f"{machine.digest:08x}" for machine in machines}),
        "living": sorted({sum(1 for _ in machine.living()) for machine in machines}),
        "follows": sum(each.follows for each in dispatchers),
        "unheard": sum(
            len(each.broker.exchange.silent(trio.current_time()))
            for each in dispatchers
            if each.broker.exchange is not None
        ),
    }


async def begin(first: HollowDispatcher) -> None:
    """Begin the register, again where its voters do not listen yet."""
    while first.fleet is None or first.fleet.releases is None:
        await trio.sleep(BEGIN_AGAIN)
    while True:
        found = await first.fleet.releases.on_call("begin", ())
        if found["status"] in ("done", "refused"):
            return
        await trio.sleep(BEGIN_AGAIN)


async def run(file: Path, files: Sequence[str], begins: bool) -> None:
    """Start them one after another, and tell how they stand, until standard input ends."""
    dispatchers = [HollowDispatcher(config.operator_file(name, 0.0)) for name in files]
    # As the whole program does: what start-up made is not walked by later collections.
    gc.collect()
    gc.freeze()
    started = 0

    async def start(nursery: trio.Nursery) -> None:
        nonlocal started
        for each in dispatchers:
            nursery.start_soon(each.run)
            started += 1
            await trio.sleep(START_GAP)

    async def tell() -> None:
        with file.open("a") as out:
            while True:
                out.write(json.dumps(status(dispatchers, started)) + "\n")
                out.flush()
                await trio.sleep(STATUS_EVERY)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(start, nursery)
        nursery.start_soon(tell)
        if begins:
            nursery.start_soon(begin, dispatchers[0])
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


def main() -> None:
    file, *files = sys.argv[1:]
    begins = "--begin" in files
    trio.run(run, Path(file), [name for name in files if name != "--begin"], begins)


if __name__ == "__main__":
    main()
