"""New settings by SIGHUP and restarts: two processes beside one another, and keys that hold until a restart."""

from __future__ import annotations

import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import SIGHUP, SIGTERM
from subprocess import Popen
from typing import Any

import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import Status
from tests.standins import Platform
from tests.support import listening, play, socket_pair
from tests.test_edges import carried, host_at, request_to
from tests.test_restart import Clients, Site
from thistleshore import config
from thistleshore.config import Plan
from thistleshore.core.broker import Broker
from thistleshore.follower import Follower
from thistleshore.limits import upstream_limits
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.upstream import Upstreams
from thistleshore.restart.carrier import Inherited, Link
from thistleshore.restart.handover_state import HandoverState

BUDGET = {"minExtra": 7.0, "furtherRatio": 0.1, "budgetSpan": 10.0}


class Process:
    """The parts of one process that a hot restart and SIGHUP share, without its sockets."""

    def __init__(self, plan: Plan) -> None:
        assert plan.http is not None
        self.plan = plan
        self.broker = Broker(Brain(plan.settings, 1, trio.current_time()), plan.class_names)
        self.upstreams = Upstreams(upstream_limits(plan))
        downstream = Downstream(plan.http.routes, trio.Event(), self.broker.inbox, plan.downstream_most)
        self.handover = HandoverState(plan, self.broker, downstream, self.upstreams, None, None)
        self.follower = Follower(plan, self.broker, self.upstreams, downstream, None)
        self.follower.handover = self.handover
        self._rereads = trio.open_memory_channel[Plan | None](1)

    async def run(self, scenario: Callable[[Process], Awaitable[None]]) -> None:
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.broker.run)
            self.nursery.start_soon(self.follower.run, self._rereads[1])
            await scenario(self)
            self.nursery.cancel_scope.cancel()

    async def reread(self, conf: dict[str, Any]) -> None:
        """Put this reading of the file in force."""
        await self._rereads[0].send(config.platform_plan(conf, {}, 0.0, self.plan))
        await trio.sleep(0.1)


def with_rules(conf: dict[str, Any], rules: dict[str, float]) -> dict[str, Any]:
    return {**conf, "settings": {**conf["settings"], "rules": rules}}


def on_process(scenario: Callable[[Process], Awaitable[None]], conf: dict[str, Any]) -> None:
    async def run() -> None:
        await Process(config.platform_plan(conf, {}, 0.0)).run(scenario)

    play(run)


def test_new_settings_at_a_process_that_steps_aside_give_it_no_free_retries() -> None:
    """They gave it the whole budget again, and both processes together spent it twice."""
    conf = Platform().conf()

    async def scenario(process: Process) -> None:
        def free() -> float:
            assert (budget := process.broker.brain.settings.budget) is not None
            return budget.free

        process.handover.step_aside(True)
        await process.reread(with_rules(conf, {**BUDGET, "minExtra": 9.0}))
        assert free() == 0.0
        process.handover.step_aside(False)  # the next process has gone
        await trio.sleep(0.1)
        assert free() == 9.0

    on_process(scenario, with_rules(conf, BUDGET))


async def silent(stream: trio.SocketStream) -> None:
    """A host that takes a connection and answers nothing."""
    async with stream:
        await trio.sleep_forever()


async def finds_room(process: Process, port: int) -> bool:
    """Whether an upstream request gets a connection."""
    with trio.move_on_after(1.0):
        return (await carried(process.upstreams, request_to(host_at(port)))).status is not Status.NOT_SENT
    return True


def test_new_settings_beside_the_process_before_leave_it_the_connections_that_it_holds() -> None:
    """They gave the new process all connections at once, and both processes together passed the limit."""
    conf = Platform().conf()

    async def scenario(process: Process) -> None:
        ours, theirs = socket_pair()
        serving, held = trio.Event(), 20
        serving.set()
        inherited = Inherited({"held": [0, held]}, {}, Link(ours.socket))
        process.nursery.start_soon(process.handover.live_beside, inherited, serving)
        port = await listening(process.nursery, silent)
        await process.reread(with_rules(conf, BUDGET))
        process.upstreams.open = process.plan.upstream_most - held
        assert not await finds_room(process, port)
        await theirs.aclose()  # the process before has gone
        await trio.sleep(0.1)
        assert await finds_room(process, port)

    on_process(scenario, conf)


def test_a_limit_on_sockets_that_holds_until_a_restart_does_not_change_half_of_them() -> None:
    """The log said that it needs a restart, and connections to hosts followed it at once."""
    conf = Platform().conf()

    async def scenario(process: Process) -> None:
        await process.reread({**with_rules(conf, BUDGET), "limits": {"sockets": 400}})
        assert process.upstreams.limits.max_connections == process.plan.upstream_most > 400 // 3
        assert process.broker.brain.settings.budget is not None

    on_process(scenario, conf)


def test_new_settings_at_both_processes_of_an_upgrade_lose_and_double_nothing(tmp_path: Path) -> None:
    """Classes come and go by SIGHUP while the old process drains beside the new one, under load."""
    site = Site(tmp_path)

    def tell(process: Popen[bytes], number: int, *more: str) -> None:
        conf = site.conf(site.controls[number])
        (pay,) = conf["settings"]["lanes"]
        conf["settings"]["lanes"] = [*({**pay, "name": name, "giveUp": 9.0} for name in more), pay]
        (tmp_path / f"{site.controls[number]}.json").write_text(json.dumps(conf))
        process.send_signal(SIGHUP)
        time.sleep(0.3)

    with site.process() as first:
        clients = Clients(site, 8)
        tell(first, 0, "quote")
        with site.process() as second:
            tell(second, 1, "other", "quote")
            tell(first, 0)
            first.send_signal(SIGTERM)
            tell(second, 1)
            assert first.wait(6) == 0
            time.sleep(0.5)
            clients.stop()
            assert second.poll() is None
        assert "longest deadline 5 s" in site.log(0) and "longest deadline 5 s" in site.log(1)
    assert {outcome for told in clients.told.values() for outcome in told} == {"served"}
    runs = [job for host in site.hosts for job, _ in host.runs]
    assert len(runs) == len(set(runs)) == len(clients.told) > 50
