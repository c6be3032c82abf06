"""A page for Prometheus on a listener of the operator's own: what became of streams by class, and what
each member asked for and got, by contract."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping

from typing import TYPE_CHECKING, Any

import h11
import trio
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from oxbowarch.interface import RefusalReason, Status
from thistleshore.contracts.model import ShareFigures
from thistleshore.listening import patiently
from thistleshore.platform.messages import Rejected
from thistleshore.platform.peer import Peer

if TYPE_CHECKING:
    from thistleshore.core.broker import Broker
    from thistleshore.distribution.machine import Distributor

log = logging.getLogger("thistleshore")

READ_WITHIN = 2.0  # s for a scraper to say what it wants and to take the page
CONNECTIONS_MOST = 8  # at a time: a page is for one or two scrapers
COUNTS = ("offered", "within", "beyond", "served", "in_time", "late", "refused", "failed", "retries_paid")
GAUGES = {
    "budget_left": "further attempts that may go out now",
    "allotment": "slots that are within share here",
    "demand": "slots that are asked for here",
    "waiting": "streams that wait beyond share",
}


class Contracts(Collector):
    """Reads a ledger's figures whenever the page is asked for."""

    def __init__(self, figures: Callable[[], Iterable[ShareFigures]], events: Callable[[], dict[str, int]]) -> None:
        self.figures, self.events = figures, events

    def collect(self) -> Iterator[Metric]:
        rows = list(self.figures())
        for name in COUNTS:
            counter = CounterMetricFamily(f"thistleshore_{name}", f"streams {name}", labels=("member", "contract"))
            for row in rows:
                counter.add_metric((row.member, row.contract), getattr(row, name))
            yield counter
        for name, told in GAUGES.items():
            gauge = GaugeMetricFamily(f"thistleshore_{name}", told, labels=("member", "contract"))
            for row in rows:
                gauge.add_metric((row.member, row.contract), getattr(row, name))
            yield gauge
        events = CounterMetricFamily("thistleshore_exchange", "datagrams of other instances, by fate", labels=("fate",))
        for fate, count in self.events().items():
            events.add_metric((fate,), count)
        yield events


class Results(Collector):
    """The figures of the admin interface, from the same record."""

    def __init__(self, told: Callable[[], Mapping[str, Any]]) -> None:
        self.told = told

    def collect(self) -> Iterator[Metric]:
        told = self.told()
        ends = CounterMetricFamily("thistleshore_streams", "final answers", labels=("class", "end"))
        sent = CounterMetricFamily("thistleshore_forwards", "upstream requests written whole", labels=("class",))
        for name, counts in told["results"].items():
            sent.add_metric((name,), counts["forwards"])
            for end in ("succeeded", "declined", "aborted"):
                ends.add_metric((name, end), counts[end])
        yield ends
        yield sent
        for name in ("outstanding", "discovered", "ejected"):
            yield GaugeMetricFamily(f"thistleshore_{name}", f"as INFO tells `{name}`", told[name])
        files = CounterMetricFamily("thistleshore_sighup", "files read again", labels=("fate",))
        for fate in ("applied", "rejected"):
            files.add_metric((fate,), told[f"sighup_{fate}"])
        yield files


class Attempts(Collector):
    """Attempts at upstream hosts by how they ended, refusals by reason, and what hosts got after a start."""

    def __init__(self, broker: Broker) -> None:
        self.broker = broker

    def collect(self) -> Iterator[Metric]:
        ends = CounterMetricFamily("thistleshore_attempts", "attempts at upstream hosts", labels=("status",))
        for status in Status:
            ends.add_metric((status.value,), self.broker.event_counts[status.value])
        yield ends
        refusals = CounterMetricFamily("thistleshore_refusals", "streams without a result", labels=("reason",))
        for reason in RefusalReason:
            refusals.add_metric((reason.value,), self.broker.brain.refusals[reason])
        yield refusals
        yield CounterMetricFamily("thistleshore_host_starts", "starts of upstream hosts that lists told of",
                                  self.broker.host_log.starts)  # fmt: skip
        yield GaugeMetricFamily("thistleshore_slow_start_peak",
                                "most attempts that one host got in the first window after its start",
                                self.broker.host_log.peak)  # fmt: skip


class View(Collector):
    """The view of the fleet, as this member has it."""

    def __init__(self, members: Callable[[], Mapping[str, Any]], status: Callable[[], Mapping[str, Any]]) -> None:
        self.members, self.status = members, status

    def collect(self) -> Iterator[Metric]:
        rows, status = self.members()["members"], self.status()
        states = GaugeMetricFamily("thistleshore_fleet_members", "members by state", labels=("state",))
        for state in ("alive", "suspect", "dead", "left"):
            states.add_metric((state,), sum(row["state"] == state for row in rows))
        yield states
        for name in ("settled", "majority", "health", "unchanged", "seen", "known"):
            yield GaugeMetricFamily(f"thistleshore_fleet_{name}", f"as `fleet status` tells `{name}`", status[name])
        events = CounterMetricFamily(
            "thistleshore_fleet_events", "probes, refutations, bytes, what was not heard", labels=("kind",)
        )
        for kind, count in status["counts"].items():
            events.add_metric((kind,), count)
        yield events


class Configuration(Collector):
    """The versions of the agreed configuration, as this member has them; 0 stands for its own file."""

    def __init__(self, machine: Callable[[], Distributor | None]) -> None:
        """`machine` gives None until the distribution has been set up."""
        self.machine = machine

    def collect(self) -> Iterator[Metric]:
        machine = self.machine()
        if machine is None:
            return
        yield GaugeMetricFamily("thistleshore_configuration_in_force", "version in force here", machine.applied.number)
        yield GaugeMetricFamily("thistleshore_configuration_known", "newest version known here", machine.known.number)
        events = CounterMetricFamily("thistleshore_configuration_events", "what the distribution did and met",
                                     labels=("kind",))  # fmt: skip
        for kind, count in sorted(machine.counts.items()):
            events.add_metric((kind,), count)
        yield events


class Page:
    """Serves `GET /metrics`, one request a connection."""

    def __init__(self, *collectors: Collector) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        for collector in collectors:
            self.registry.register(collector)
        self._room = trio.CapacityLimiter(CONNECTIONS_MOST)

    async def run(
        self, address: tuple[str, int], task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled.  An address that is taken is tried again: in an upgrade the process before has it."""
        task_status.started()
        listener = await patiently(address, "metrics")
        log.info("metrics on %s:%d", *address)
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, socket: trio.SocketStream) -> None:
        peer = Peer(socket, h11.SERVER)
        with trio.move_on_after(READ_WITHIN):
            try:
                async with self._room:
                    await self._answer(peer)
            except (Rejected, h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass  # a scraper's fault is no event of ours
        peer.close()

    async def _answer(self, peer: Peer) -> None:
        request = await peer.event()
        if not isinstance(request, h11.Request):
            return
        found = request.method == b"GET" and request.target.split(b"?")[0] == b"/metrics"
        body = generate_latest(self.registry) if found else b"GET /metrics\n"
        head = [
            ("content-type", "text/plain; version=0.0.4; charset=utf-8"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        response = h11.Response(status_code=200 if found else 404, headers=head)
        await peer.send(response, h11.Data(data=body), h11.EndOfMessage())
