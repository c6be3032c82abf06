"""The state that a dispatcher hands over to the process that replaces it, and takes over from the one before."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import trio

from oxbowarch import handover
from oxbowarch.brain import Brain
from oxbowarch.interface import ListKind, State
from oxbowarch.notes import SEQUENCE_NUMBERS
from thistleshore.addresses import address_text
from thistleshore.config import Plan
from thistleshore.core.broker import Broker
from thistleshore.core.model import BanRequested, HostLine, SettingsChanged, UpstreamHost
from thistleshore.platform.discovery import Discovery
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.messages import STATES, ListNames, Malformed, read_hosts
from thistleshore.platform.start_times import at_epoch
from thistleshore.platform.peers import Peers
from thistleshore.platform.upstream import Upstreams
from thistleshore.restart.carrier import HandoverLinks, HasFile, Inherited
from thistleshore.restart.link import Link

if TYPE_CHECKING:  # an operator's
    from thistleshore.admin.listener import Admin
    from thistleshore.configuration.carrier import Distribution
    from thistleshore.fleet.carrier import Carrier
    from thistleshore.releases.carrier import Releases

log = logging.getLogger("thistleshore")

LEFT = 30.0  # s for which names that a process of an older version tells are known: it says no time
HEALTH = {state: health for health, state in STATES.items()}
MALFORMED_STATE = (Malformed, KeyError, IndexError, TypeError, ValueError, AttributeError, OverflowError)


def encode_host(host: UpstreamHost, names: ListNames, epoch: float) -> dict[str, Any]:
    """A host in the form of discovery's list."""
    entry, dial = host.entry, host.address
    made = {
        "host": host.id.decode(),
        "site": _name(names.zones, entry.zone),
        "class": _name(names.kinds, entry.kind),
        "block": entry.cell,
        "health": HEALTH[entry.state],
        "share": entry.weight,
        "born_ms": (entry.started_at - epoch) * 1000 if entry.started_at else 0,
    }
    if isinstance(dial, tuple):
        made["dial"] = address_text(dial)
    return made


def _name(numbers: Mapping[str, int], number: int) -> str:
    return next((name for name, n in numbers.items() if n == number), "")


def _names(plan: Plan) -> handover.Names:
    assert plan.http is not None
    return handover.Names(plan.class_names, plan.http.routes.tenants or {}, plan.http.names.kinds)


def restore(plan: Plan, inherited: Inherited) -> tuple[Brain, tuple[HostLine, ...], int] | None:
    """The module that goes on with what is inherited, the list and its version; None where that is no good."""
    now, http = trio.current_time(), plan.http
    assert http is not None
    brain = Brain(plan.settings, plan.seed, now)
    try:
        seq, _, lines = read_hosts(inherited.values["list"], http.names, at_epoch(plan.epoch))
        if http.discovery is None and plan.known:
            lines = plan.known  # of the configuration, which may have changed since the process before read it
        brain.on_list(ListKind.CACHED, tuple(line.entry for line in lines), now)
        handover.restore_state(brain, inherited.values["memory"], _names(plan), now)
    except MALFORMED_STATE as problem:
        log.warning("nothing inherited, starting cold: %s: %s", type(problem).__name__, problem)
        return None
    log.info("inherited: %d hosts, %d of them out by hand", len(lines), len(brain.banned))
    return brain, lines, seq


class HandoverState:
    """The state of a dispatcher that a hot restart hands over, and what it takes from the process before."""

    def __init__(
        self,
        plan: Plan,
        broker: Broker,
        downstream: Downstream,
        upstreams: Upstreams,
        peers: Peers | None,
        watch: Discovery | None,
    ) -> None:
        self.plan, self.broker, self.downstream, self.upstreams = plan, broker, downstream, upstreams
        self.peers, self.watch = peers, watch
        self.fleet: Carrier | None = None
        self.releases: Releases | None = None
        self.distribution: Distribution | None = None
        self.admin: Admin | None = None  # where both processes have one address for it
        self._aside = False  # the next process serves
        self.links = HandoverLinks(plan.restart, self)
        downstream.others = self.links

    def snapshot(self) -> tuple[dict[str, Any], Sequence[tuple[str, HasFile]]]:
        """All that the next process is to know, and the sockets that both use."""
        http, now = self.plan.http, trio.current_time()
        assert http is not None
        hosts = [
            encode_host(host, http.names, self.plan.epoch)
            for host in self.broker.hosts.values()
            if host.entry.state is not State.GONE
        ]
        values = {
            # Not the watch's version: a list of its may wait for the broker, and what it says would be missed.
            "list": {
                "seq": (self.watch is not None and self.watch.watch.seq and self.broker.version) or 0,
                "whole": True,
                "hosts": hosts,
            },
            "memory": handover.export_state(self.broker.brain, _names(self.plan), now),
            "names": list(self.downstream.names.latest),  # for a process of an older version
            "streams": self.downstream.names.export(now),
            "number": self.broker.notebook.number,
            "held": [self.downstream.gate.connections, self.upstreams.open],
        }
        sockets: list[tuple[str, HasFile]] = []
        if self.downstream.gate.listener is not None:
            sockets.append(("listener", self.downstream.gate.listener.socket))
        if self.peers is not None:
            sockets.append(("peers", self.peers.socket))
        if self.fleet is not None:
            values["fleet"] = self.fleet.handover_state()
            if self.fleet.socket is not None:
                sockets.append(("fleet", self.fleet.socket))
        return values, sockets

    def step_aside(self, aside: bool) -> None:
        """The next process serves: it alone accepts, and tells the others; or it has gone, and all is as before."""
        if not aside and self.downstream.gate.draining.is_set():
            return  # it was ended after this one
        self._aside = aside
        log.info("the next process serves: no more is accepted here" if aside else "the next process has gone")
        self.downstream.gate.step_aside(aside)
        if self.peers is not None:
            self.peers.step_aside(aside)
        if self.fleet is not None:
            self.fleet.step_aside(aside)
        if self.releases is not None:
            self.releases.step_aside(aside)
        if self.distribution is not None:
            self.distribution.step_aside(aside)
        if self.admin is not None:
            self.admin.step_aside(aside)
        if self.plan.settings.budget is not None:
            if aside:
                handover.clear_quotas(self.broker.brain)
            self.adopt(self.plan)

    def adopt(self, plan: Plan) -> None:
        """Put the settings of this plan in force at the module, and hand them over from now on.

        Retries that are free in any span of time are the next process's while it serves: together they must not spend
        them twice.
        """
        self.plan = plan
        settings = plan.settings
        if self._aside and settings.budget is not None:
            settings = replace(settings, budget=settings.budget._replace(free=0.0))
        self.broker.post(SettingsChanged(settings, plan.class_names))

    def on_stream_names(self, values: Mapping[str, Any], source: Link) -> None:
        """Another process has opened streams: neither this one nor those beyond may open them again."""
        names, left = values["names"], values.get("left", LEFT)
        if not isinstance(names, list) or not isinstance(left, int | float):
            return
        until = trio.current_time() + left
        fresh = [name for name in names if isinstance(name, str) and self.downstream.names.learn(name, until)]
        self.links.tell_streams(fresh, left, source)

    def on_unused_names(self, names: Any, source: Link) -> None:
        """Streams of another process have ended and never ran: their clients may come again here."""
        if isinstance(names, list):
            free = [name for name in names if isinstance(name, str) and self.downstream.names.unlearn(name)]
            self.links.tell_unused(free, source)

    async def on_ban(self, host: str, out: bool, source: Link) -> None:
        """An operator has called it at another process."""
        await self.broker.inbox.send(BanRequested(host.encode(), out, known=True))
        await self.links.tell_ban(host, out, source)

    def inherit(self, inherited: Inherited) -> None:
        """Take over the names of streams and the number of the last datagram; tell the process before of ours."""
        self.links.streams.append(inherited.link)
        self._inherit_names(inherited.values)
        number = inherited.values.get("number")
        if isinstance(number, int):
            self.broker.notebook.number = number % SEQUENCE_NUMBERS

    def _inherit_names(self, values: Mapping[str, Any]) -> None:
        names, now = self.downstream.names, trio.current_time()
        if isinstance(exported := values.get("streams"), str):
            try:
                return names.take_over(exported, now)
            except ValueError as problem:
                log.warning("names of streams not inherited: %s", problem)
        latest = values.get("names")
        for name in latest if isinstance(latest, list) else ():
            if isinstance(name, str):
                names.learn(name, now + LEFT)

    async def live_beside(self, inherited: Inherited, serving: trio.Event) -> None:
        """Keep to what the process before leaves of the means until it is gone."""
        try:
            below, above = (max(0, int(n)) for n in inherited.values["held"])
        except MALFORMED_STATE:
            below, above = 0, 0
        gate, upstreams = self.downstream.gate, self.upstreams
        below, above = min(below, gate.max_connections // 2), min(above, upstreams.limits.max_connections // 2)
        gate.max_connections -= below
        upstreams.held_elsewhere += above
        try:
            await self.links.follow(inherited.link, serving)
            log.info("the process before has gone")
        finally:
            gate.max_connections += below
            upstreams.held_elsewhere -= above
