"""Many hollow dispatchers in this one process, each on its own loopback sockets, until standard input ends.

    python -O -m benchmarks.capacity.counted COUNTS benchmarks.capacity.hollow STATUS [--begin] [--push S] FILE ...

Twice a second a line of JSON is added to STATUS: how many have started, whose views are settled and alike, how many
follow the register, and when each version of the configuration was pushed and in force at all of them (by the system's
monotonic clock).  `--begin`: the first of them begins the register.  `--push SECONDS`: the first of them pushes another
configuration so often, once STATUS's name with `.push` is there.
"""

from __future__ import annotations

import argparse
import base64
import gc
import json
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import trio
import zstandard

from benchmarks.capacity.files import TEAMS, configuration_body
from thistleshore import config
from thistleshore.distribution.model import digest_of
from thistleshore.rig.hollow import HollowDispatcher

START_GAP = 0.1  # s between two starts: each that joins compares its view with others
STATUS_EVERY = 0.5  # s
PUSH_SUFFIX = ".push"  # of the file, beside STATUS, that has the pushes begin
CALL_AGAIN = 0.5  # s
VERSION_LOOK = 0.05  # s
PIECE = 3000  # characters of a piece of an upload


class Versions:
    """When versions of the configuration were pushed here, and when all of the group had them in force."""

    def __init__(self) -> None:
        self.pushed: dict[int, float] = {}
        self.in_force: dict[int, float] = {}

    async def watch(self, dispatchers: Sequence[HollowDispatcher]) -> None:
        """Look again and again, until cancelled."""
        while True:
            least = min((each.configuration for each in dispatchers), default=0)
            if least:
                self.in_force.setdefault(least, time.monotonic())
            await trio.sleep(VERSION_LOOK)


def status(dispatchers: Sequence[HollowDispatcher], started: int, versions: Versions) -> dict[str, Any]:
    """How the group stands now."""
    machines = [each.fleet.machine for each in dispatchers if each.fleet is not None]
    exchanges = [each.broker.exchange for each in dispatchers if each.broker is not None]
    return {
        "started": started,
        "settled": sum(machine.settled for machine in machines),
        "digests": sorted({f"{machine.digest:08x}" for machine in machines}),
        "living": sorted({len(machine.living()) for machine in machines}),
        "follows": sum(each.follows for each in dispatchers),
        "unheard": sum(
            len(exchange.silent_peers(trio.current_time())) for exchange in exchanges if exchange is not None
        ),
        "pushed": versions.pushed,
        "in_force": versions.in_force,
    }


async def call(dispatcher: HollowDispatcher, name: str, *words: str) -> dict[str, Any]:
    """An operator's call about the fleet, once the dispatcher can take it."""
    while dispatcher.fleet is None:
        await trio.sleep(CALL_AGAIN)
    _, answer = await dispatcher.fleet.on_call(name, " ".join(words))
    return answer if isinstance(answer, dict) else {"status": "no part", "told": answer}


async def push(first: HollowDispatcher, every: float, versions: Versions, begins: Path) -> None:
    """Push another configuration so often, by the calls that an operator's command makes, once the file is there."""
    changes = 0
    while not begins.exists():
        await trio.sleep(CALL_AGAIN)
    while True:
        await trio.sleep(every)
        if not first.follows:
            continue
        changes += 1
        body = configuration_body(TEAMS, changes)
        upload, at = f"upload-{changes}", time.monotonic()
        data = base64.urlsafe_b64encode(zstandard.ZstdCompressor().compress(body)).decode()
        pieces = [data[n : n + PIECE] for n in range(0, len(data), PIECE)]
        for number, piece in enumerate(pieces):
            await call(first, "config-piece", upload, str(number), str(len(pieces)), piece)
        found = await call(first, "config-push", upload, digest_of(body), "-", "capacity")
        if found["status"] == "done":
            versions.pushed[found["number"]] = at
        else:
            print("not pushed:", found, file=sys.stderr, flush=True)


async def begin(first: HollowDispatcher) -> None:
    """Begin the register, again where its voters do not listen yet."""
    while (await call(first, "begin"))["status"] not in ("done", "refused"):
        await trio.sleep(CALL_AGAIN)


async def run(given: argparse.Namespace) -> None:
    """Start them one after another, and tell how they stand, until standard input ends."""
    dispatchers = [HollowDispatcher(config.operator_file(name, 0.0)) for name in given.files]
    # As the whole program does: what start-up made is not walked by later collections.
    gc.collect()
    gc.freeze()
    started, versions = 0, Versions()

    async def start(nursery: trio.Nursery) -> None:
        nonlocal started
        for each in dispatchers:
            nursery.start_soon(each.run)
            started += 1
            await trio.sleep(START_GAP)

    async def tell() -> None:
        with given.status.open("a") as out:
            while True:
                out.write(json.dumps(status(dispatchers, started, versions)) + "\n")
                out.flush()
                await trio.sleep(STATUS_EVERY)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(start, nursery)
        nursery.start_soon(tell)
        if given.begin:
            nursery.start_soon(begin, dispatchers[0])
        if given.push:
            nursery.start_soon(push, dispatchers[0], given.push, versions, given.status.with_suffix(PUSH_SUFFIX))
        if any(each.plan.distribution is not None for each in dispatchers):
            nursery.start_soon(versions.watch, dispatchers)
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("status", type=Path)
    parser.add_argument("files", nargs="*")
    parser.add_argument("--begin", action="store_true")
    parser.add_argument("--push", type=float, default=0.0)
    trio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
