"""One dispatcher: its components, started in order in one nursery, and its drain."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oxbowarch.interface import ListKind
from thistleshore.config import Plan
from thistleshore.core.broker import Broker
from thistleshore.core.model import HostListReceived
from thistleshore.follower import Follower
from thistleshore.limits import longest_deadline, upstream_limits
from thistleshore.platform.upstream import Upstreams
from thistleshore.wiring import http
from thistleshore.wiring.components import Components, InitialState

if TYPE_CHECKING:  # imported only where the plan has it
    from thistleshore.configuration.applying import Applier

log = logging.getLogger("thistleshore")

Rereads = trio.MemoryReceiveChannel[Plan | None]


async def serve(
    plan: Plan,
    drain: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    rereads: Rereads | None = None,
) -> None:
    """Run until the event is set and all that was taken is finished; follow what the file says when read again.

    `task_status.started()` is called once every front listens."""
    plan, applier = _configured(plan)
    initial = await _initial_state(plan)
    broker = _make_broker(plan, initial)
    upstreams = Upstreams(upstream_limits(plan))
    broker.carriers[tuple] = upstreams
    async with trio.open_nursery() as nursery:
        components = Components(plan, drain, nursery, initial, broker, upstreams, applier)
        nursery.start_soon(broker.run)
        nursery.start_soon(upstreams.run)
        if plan.peers is not None:
            http.start_peers(components)
        await broker.inbox.send(HostListReceived(ListKind.CACHED, initial.known_hosts))
        _make_fronts(components)
        nursery.start_soon(_drain_fronts, components)
        _start_follower(components, rereads)
        await _start_subsystems(components)
        await _serve_fronts(components, task_status)
        if components.fleet is not None:
            await components.fleet.leave()
        log.info("drained: every stream that was taken is answered")
        nursery.cancel_scope.cancel()


def _configured(plan: Plan) -> tuple[Plan, Applier | None]:
    """The plan to start on: with the agreed configuration that is on the disk, where the fleet agrees on any."""
    if plan.distribution is None:
        return plan, None
    from thistleshore.wiring import distribution

    applier = distribution.make_applier(plan)
    return applier.start(), applier


async def _initial_state(plan: Plan) -> InitialState:
    if plan.restart and plan.http is not None:
        from thistleshore.wiring import inheritance

        return await inheritance.inherit(plan)
    return InitialState.cold(plan)


def _make_broker(plan: Plan, initial: InitialState) -> Broker:
    broker = Broker(initial.brain, plan.class_names)
    if plan.agreements is not None:
        from thistleshore.wiring import shares

        shares.keep(broker, plan)
    return broker


def _make_fronts(components: Components) -> None:
    """Make the fronts that the plan has; they listen once all else is there."""
    plan = components.plan
    if plan.http is not None:
        http.start_front(components)
    if plan.beanstalkd is not None:
        from thistleshore.wiring import beanstalkd

        beanstalkd.start_front(components)
    for bound in components.fronts:
        bound.front.gate.drain.set_longest_deadline(longest_deadline(plan))


def _start_follower(components: Components, rereads: Rereads | None) -> None:
    components.follower = Follower(
        components.plan,
        components.broker,
        components.upstreams,
        components.downstream,
        components.discovery,
    )
    components.follower.applier = components.applier
    if rereads is not None:
        components.nursery.start_soon(components.follower.run, rereads)


async def _start_subsystems(components: Components) -> None:
    """Start the subsystems that the plan has, in the order in which they need one another.

    The broker, the fronts and the follower are there; no front listens yet.  A further subsystem is one more step here
    and a module of its own in `thistleshore.wiring`.
    """
    plan = components.plan
    if plan.agreements is not None:
        from thistleshore.wiring import exchange

        await exchange.start(components)
    if plan.fleet is not None:
        from thistleshore.wiring import fleet

        fleet.join(components)
    if plan.metrics is not None:
        from thistleshore.wiring import metrics

        await metrics.start(components)
    if plan.admin is not None:
        from thistleshore.wiring import admin

        await admin.start(components)
    if plan.restart and plan.http is not None:
        from thistleshore.wiring import handover

        handover.start(components)
    if components.fleet is not None:
        components.start_as_member(components.fleet.run)
    if components.fleet is not None and plan.releases is not None:
        from thistleshore.wiring import releases

        releases.join(components)
    if components.applier is not None:
        from thistleshore.wiring import distribution

        distribution.join(components, components.applier)


async def _serve_fronts(components: Components, task_status: trio.TaskStatus[None]) -> None:
    """Have every front listen, then say that this process serves; until the fronts have drained."""
    async with trio.open_nursery() as fronts:
        for front, address in components.fronts:
            await fronts.start(front.run, address)
        task_status.started()
        if components.handover is not None:
            await components.nursery.start(components.handover.links.run)
        components.serving.set()  # whoever is told so may start the next process
        components.start_member_tasks()


async def _drain_fronts(components: Components) -> None:
    await components.drain.wait()
    log.info("draining: not ready; finishing what was taken")
    for bound in components.fronts:
        bound.front.gate.draining.set()
