"""One dispatcher: its fronts, its broker, the one nursery, the drain, and a configuration read again."""

from __future__ import annotations

import logging
from typing import Protocol

import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import ListKind
from thistleshore import config
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


async def serve(plan: config.Plan, drain: trio.Event, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
                rereads: trio.MemoryReceiveChannel[config.Plan] | None = None) -> None:  # fmt: skip
    """Run until the event is set and all that was taken is finished; follow what the file says when read again."""
    broker = Broker(Brain(plan.settings, plan.seed, trio.current_time()))
    upstreams = Upstreams(Ways(plan.connect_within, plan.idle_most, plan.upstream_most))
    broker.carriers[tuple] = upstreams
    fronts: list[tuple[Front, tuple[str, int]]] = []
    watch: Discovery | None = None
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
            # Imported here: the platform has no such front, and little memory.
            from thistleshore.beanstalkd.downstream import Tubes
            from thistleshore.beanstalkd.upstream import Hosts

            hosts = Hosts(plan.beanstalkd.seats, broker.inbox, plan.connect_within)
            broker.carriers[str] = hosts
            tubes = Tubes(plan.beanstalkd.router, hosts, broker.inbox, plan.streams_most, plan.downstream_most)
            fronts.append((tubes, plan.beanstalkd.listen))
        nursery.start_soon(_drain, drain, [front.gate.draining for front, _ in fronts])
        if rereads is not None:
            nursery.start_soon(_follow, rereads, plan, watch)
        async with trio.open_nursery() as serving:
            for front, address in fronts:
                await serving.start(front.run, address)
            task_status.started()
        log.info("drained: every stream that was taken is answered")
        nursery.cancel_scope.cancel()


async def _drain(drain: trio.Event, draining: list[trio.Event]) -> None:
    await drain.wait()
    log.info("draining: not ready; finishing what was taken")
    for event in draining:
        event.set()


async def _follow(rereads: trio.MemoryReceiveChannel[config.Plan], plan: config.Plan, watch: Discovery | None) -> None:
    """Move to what the file names now: discovery's address, and the rules; the rest of it needs a restart."""
    async for found in rereads:
        if changed := plan.changed(found):
            log.warning("configuration reread: a restart is needed for %s", ", ".join(changed))
        if plan.live is not None and found.live is not None:
            if tied := sorted({"contract", "service"} & set(changed)):
                # The new rules speak of the new contracts, which do not hold yet: half of a file must not.
                log.error(
                    "configuration reread: the old rules hold, as the new ones need a restart for %s", ", ".join(tied)
                )
            else:
                plan.live.swap(found.live.table)
                log.info("configuration reread: %d rules in force", len(plan.live.table.rules.rules))
        address = found.http.discovery if found.http is not None else None
        if watch is None or address is None or address == watch.address:
            log.info("configuration reread: discovery stays where it was")
        else:
            log.info("configuration reread: discovery moves to %s:%d", *address)
            watch.move(address)
