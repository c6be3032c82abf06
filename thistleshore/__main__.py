"""Start-up, the one nursery, and signals."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import time
from typing import Protocol

import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import ListKind
from thistleshore import config
from thistleshore.beanstalkd.downstream import Tubes
from thistleshore.beanstalkd.upstream import Hosts
from thistleshore.core.broker import Broker
from thistleshore.core.model import HostsTold
from thistleshore.gate import Gate
from thistleshore.platform.discovery import Discovery
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.upstream import Upstreams, Ways

log = logging.getLogger("thistleshore")


class Front(Protocol):
    """A downstream side: it serves until its gate drains and what it took is finished."""

    gate: Gate

    async def run(self, address: tuple[str, int], task_status: trio.TaskStatus[None]) -> None: ...


async def serve(plan: config.Plan, drain: trio.Event | None = None,
                task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:  # fmt: skip
    """Run until drained: by SIGTERM, or by the event that a test sets."""
    broker = Broker(Brain(plan.settings, plan.seed, trio.current_time()))
    upstreams = Upstreams(Ways(plan.connect_within, plan.idle_most, plan.upstream_most))
    broker.carriers[tuple] = upstreams
    fronts: list[tuple[Front, tuple[str, int]]] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(broker.run)
        nursery.start_soon(upstreams.run)
        await broker.inbox.send(HostsTold(ListKind.CACHED, plan.known))
        if plan.http is not None:
            downstream = Downstream(plan.http.routes, broker.listed, broker.inbox, plan.downstream_most)
            fronts.append((downstream, plan.http.listen))
            if plan.http.discovery is not None:
                watch = Discovery(plan.http.discovery, plan.http.names, plan.epoch, plan.http.known_seq)
                nursery.start_soon(watch.run, broker.inbox)
        if plan.beanstalkd is not None:
            hosts = Hosts(plan.beanstalkd.seats, broker.inbox, plan.connect_within)
            broker.carriers[str] = hosts
            tubes = Tubes(plan.beanstalkd.terms, hosts, broker.inbox, plan.streams_most, plan.downstream_most)
            fronts.append((tubes, plan.beanstalkd.listen))
        await nursery.start(_watch_for_term, [front.gate.draining for front, _ in fronts], drain)
        async with trio.open_nursery() as serving:
            for front, address in fronts:
                await serving.start(front.run, address)
            task_status.started()
        log.info("drained: every stream that was taken is answered")
        nursery.cancel_scope.cancel()


async def _watch_for_term(draining: list[trio.Event], drain: trio.Event | None,
                          task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:  # fmt: skip
    if drain is not None:
        task_status.started()
        await drain.wait()
    else:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            await anext(signals)
    log.info("draining: not ready; finishing what was taken")
    for event in draining:
        event.set()
    await trio.sleep_forever()  # a second signal changes nothing: SIGKILL is what ends a drain early


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")

    async def start() -> None:
        await serve(config.load(os.environ, trio.current_time() - time.time()))

    try:
        # What start-up made stays: a collection that walked it would stall every stream for as long.
        gc.collect()
        gc.freeze()
        trio.run(start)
    except config.ConfigError as problem:
        print(f"thistleshore: configuration: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
