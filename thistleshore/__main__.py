"""Start-up, the one nursery, and signals."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import time

import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import ListKind
from thistleshore import config
from thistleshore.core.broker import Broker
from thistleshore.core.model import HostsTold
from thistleshore.platform.discovery import Discovery
from thistleshore.platform.downstream import Downstream, Words
from thistleshore.platform.upstream import Upstreams, Ways

log = logging.getLogger("thistleshore")


async def serve(plan: config.Plan, drain: trio.Event | None = None) -> None:
    """Run until drained: by SIGTERM, or by the event that a test sets."""
    upstreams = Upstreams(Ways(plan.connect_within, plan.idle_most, plan.upstream_most))
    broker = Broker(Brain(plan.settings, plan.seed, trio.current_time()), upstreams)
    words = Words(plan.classes, plan.tenants, [rule.give_up for rule in plan.settings.classes])
    downstream = Downstream(words, broker.listed, broker.inbox, plan.downstream_most)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(broker.run)
        nursery.start_soon(upstreams.run)
        await broker.inbox.send(HostsTold(ListKind.CACHED, plan.known))
        if plan.discovery is not None:
            nursery.start_soon(Discovery(plan.discovery, plan.names, plan.epoch, plan.known_seq).run, broker.inbox)
        await nursery.start(_watch_for_term, downstream.draining, drain)
        await downstream.run(plan.listen)
        log.info("drained: every stream that was taken is answered")
        nursery.cancel_scope.cancel()


async def _watch_for_term(draining: trio.Event, drain: trio.Event | None,
                          task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:  # fmt: skip
    if drain is not None:
        task_status.started()
        await drain.wait()
    else:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            await anext(signals)
    log.info("draining: not ready; finishing what was taken")
    draining.set()
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
