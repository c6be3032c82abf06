"""The task that owns the decision module and carries out its actions.

All other tasks reach it through one memory channel.
"""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import TYPE_CHECKING, Any

import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import NEVER_RAN, Action, Cancel, Fail, Log, ListKind, Outcome, Refuse, Request
from oxbowarch.interface import Send, State, Status, SendNotes, Timer, Watch
from oxbowarch.notes import NoteCodec
from thistleshore.core import model
from thistleshore.core.figures import ProcessFigures
from thistleshore.core.host_log import HostLog
from thistleshore.core.timers import TimerQueue
from thistleshore.invariants import invariant

if TYPE_CHECKING:  # only operator dispatchers have contracts; platform dispatchers do not load them
    from thistleshore.contracts import Ledger
    from thistleshore.contracts.exchange import Exchange

log = logging.getLogger("thistleshore")

QUEUE = 2048  # capacity of the inbox, events; a front blocks while it is full
ANSWER_LEAD = 0.01  # seconds by which upstream requests time out before the deadline, so that the answer is in time
FIGURES_INTERVAL = 10.0  # seconds between two lines of counts in the log
# Final answers by the ledger's names for them, and by the fields of ClassFigures.
LEDGER_OUTCOMES = {model.Served: "served", model.LocalReply: "refused", model.Failed: "failed"}
FIGURES_FIELDS = {model.Served: "succeeded", model.LocalReply: "declined", model.Failed: "aborted"}
LEDGER_TIMER = -1  # timer token: ask the ledger again while streams beyond their share wait
FIGURES_TIMER = 0  # timer token: log the counts
STREAM_TOKENS = (
    4  # the module's tokens are its own below this; from here on a stream's number times this, and a purpose
)


class Broker:
    """Pass events to the decision module in order, and carry out its actions in order."""

    def __init__(self, brain: Brain, classes: tuple[str, ...] = ()) -> None:
        self.brain = brain
        self.process_figures = ProcessFigures()
        self.name_classes(classes)
        self.ledger: Ledger | None = None
        self.exchange: Exchange | None = None
        self.exchange_datagram_counts: Counter[str] = Counter()  # datagrams of the lease exchange, by outcome
        self.carriers: dict[type, model.UpstreamFront] = {}  # by the type of a host's address
        self.notebook = NoteCodec()
        self.on_attempt: Callable[[model.UpstreamRequest, Status, float], None] | None = (
            None  # called when an attempt ends
        )
        self.send_notes: Callable[[bytes, tuple[int, ...] | None], None] | None = (
            None  # to the numbered dispatchers, or to all (None)
        )
        self.inbox, self._events = trio.open_memory_channel[model.Event](QUEUE)
        self._urgent: deque[model.Event] = deque()
        self.hosts: dict[bytes, model.UpstreamHost] = {}
        self.version: int | None = None  # of the discovery list that `hosts` was read from
        self.hosts_listed = trio.Event()  # set once the module has a list of upstream hosts
        self.event_counts: Counter[str] = Counter()
        self.host_log = HostLog(brain.settings.cold_span)
        self._streams: dict[int, model.Stream] = {}
        # Upstream requests of each stream, by attempt number, and how many of them have not ended.
        self._attempts: dict[int, list[model.UpstreamRequest]] = {}
        self._attempts_in_flight: Counter[int] = Counter()
        self._logged_states: dict[bytes, tuple[State, int]] = {}
        self._timers = TimerQueue(self._needs_timer)
        self._numbers = count(1)
        self._unoffered: dict[int, Request] = {}  # requests that the ledger has not offered yet, by stream
        self._ledger_timer_set = False

    def name_classes(self, names: tuple[str, ...]) -> None:
        """Set the names of the classes, in the order of their numbers."""
        self._counts = [self.process_figures.of(name) for name in names]

    @property
    def open_streams(self) -> int:
        """How many streams have no final answer, or attempts that have not ended."""
        return len(self._streams)

    def figures_snapshot(self) -> dict[str, Any]:
        """Return the current counts for the admin interface and metrics; host counts are read from the module."""
        now, brain = trio.current_time(), self.brain
        avoided = (name in brain.banned or now < brain.workers[name].shunned_until for name in self.hosts)
        return self.process_figures.snapshot(len(self.hosts), sum(avoided))

    async def run(self) -> None:
        """Handle events and timers until cancelled."""
        self._timers.add(trio.current_time() + FIGURES_INTERVAL, FIGURES_TIMER)
        async with trio.open_nursery() as self._attempt_nursery:
            while True:
                event = await self._next()
                now = trio.current_time()
                try:
                    self._carry_out(self._fire_timer(now) if event is None else self._dispatch_event(event, now), now)
                    if self.ledger is not None:
                        self._offer(self.ledger, now)
                except Exception:
                    # An exception on one event must not lose all other accepted streams.
                    log.exception("fault in the broker at %s", type(event).__name__)
                    self._fail_stream_of(event)
                    invariant(False, "an event is handled without an exception")

    def post(self, event: model.Event) -> None:
        """Queue an event ahead of everything in the inbox, after earlier urgent events; never blocks.

        Used for drains: a list of hosts behind a full inbox would take effect late, and the streams ahead of it would
        be sent by the old list.
        """
        self._urgent.append(event)
        with suppress(trio.WouldBlock):  # inbox full: the broker is awake, and reads urgent events first
            self.inbox.send_nowait(model.UrgentEventPosted())

    async def _next(self) -> model.Event | None:
        """Return the next event, or None when a timer is due."""
        if self._urgent or self._timers.next_due <= trio.current_time():
            await trio.lowlevel.checkpoint()  # many due timers in a row must not starve the sockets
            return self._urgent.popleft() if self._urgent else None
        with trio.move_on_at(self._timers.next_due):
            return await self._events.receive()
        return None

    def _fire_timer(self, now: float) -> list[Action]:
        token = self._timers.pop()
        if token == LEDGER_TIMER:
            self._ledger_timer_set = False
            return []  # waiting streams are offered after every event
        if token == FIGURES_TIMER:
            self._timers.add(now + FIGURES_INTERVAL, FIGURES_TIMER)
            open_now = sum(not stream.over for stream in self._streams.values())
            invariant(
                self.process_figures.outstanding == open_now, "the outstanding count equals the number of open streams"
            )
            self._log_figures()
            return []
        return self.brain.on_timer(token, now)

    def _needs_timer(self, token: int) -> bool:
        return token < STREAM_TOKENS or token // STREAM_TOKENS in self._streams

    def _log_figures(self) -> None:
        self.host_log.log_finished_first_windows(trio.current_time())
        figures = self.event_counts + self.notebook.counts
        figures.update({f"refused_{reason.value}": n for reason, n in self.brain.refusals.items()})
        log.info("figures: open=%d %s", len(self._streams), " ".join(f"{k}={n}" for k, n in figures.items()))
        if failing := self.host_log.take_failure_summary():
            log.info("hosts with failed attempts: %s", failing)

    def _fail_stream_of(self, event: model.Event | None) -> None:
        """Fail the stream whose event raised: no later event may name it, and its downstream would wait forever."""
        if isinstance(event, model.StreamOpened | model.UpstreamEnded):
            stream = event.stream if isinstance(event, model.StreamOpened) else event.request.stream
            if not stream.over:
                self._finish(stream, model.Failed("fault in the dispatcher"))
                for request in self._attempts.get(stream.id, ()):
                    request.scope.cancel()

    def _dispatch_event(self, event: model.Event, now: float) -> list[Action]:
        if isinstance(event, model.UpstreamEnded):
            return self._on_attempt_ended(event, now)
        if isinstance(event, model.UrgentEventPosted):
            return []  # the urgent event itself is read next
        if isinstance(event, model.StreamOpened):
            return self._on_opened(event.stream, now)
        if isinstance(event, model.UpstreamStarted):
            event.request.started = event.request.started or now
            return self.brain.on_started(event.request.stream.id, event.request.number, now)
        if isinstance(event, model.StreamWithdrawn):
            return self._on_withdrawn(event.stream, now)
        if isinstance(event, model.NotesReceived):
            notes = self.notebook.read(event.peer, event.data, now)
            return self.brain.on_notes(event.peer, notes, now) if notes else []
        if isinstance(event, model.PeerDatagramReceived):
            return self._on_peer_datagram(event.data, now)
        if isinstance(event, model.HostReported):
            return self.brain.on_report(event.host, event.report, now)
        if isinstance(event, model.BanRequested):
            return self._on_ban_requested(event, now)
        if isinstance(event, model.SettingsChanged):
            self.name_classes(event.names)
            self.host_log.window = event.settings.cold_span
            return self.brain.on_settings(event.settings, now)
        return self._on_host_list(event, now)

    def _on_ban_requested(self, event: model.BanRequested, now: float) -> list[Action]:
        """Ban or readmit a host; a host that is neither listed nor banned is unknown and cannot be banned."""
        host = self.hosts.get(event.host)
        event.known = event.known or host is not None or event.host in self.brain.banned
        actions = self.brain.on_ban(event.host, event.banned, now) if event.known else []
        if host is not None and host.banned != event.banned:
            host.banned = event.banned
            host.generation += 1  # it may restart while it is banned, so old connections are stale
            self._close_idle(host)
        event.done.set()
        return actions

    def _on_opened(self, stream: model.Stream, now: float) -> list[Action]:
        stream.id = next(self._numbers)
        self._streams[stream.id] = stream
        self._attempts[stream.id] = []
        self.event_counts["taken"] += 1
        if stream.job_class < len(self._counts):
            stream.counts = self._counts[stream.job_class]
        self.process_figures.outstanding += 1
        request = Request(
            stream.id,
            stream.job_class,
            stream.deadline - now,
            stream.tenant,
            stream.key,
            repeat=stream.repeat,
            reply_capacity=stream.spare,
        )
        if self.ledger is None:
            return self.brain.on_request(request, now)
        stamp, retry_budget = self.ledger.on_open(
            stream.id, stream.job_class, stream.member, stream.size, stream.repeat, now, request.budget
        )
        self._unoffered[stream.id] = request._replace(beyond=stamp.beyond, rank=stamp.rank, retry_budget=retry_budget)
        return []

    def _offer(self, ledger: Ledger, now: float) -> None:
        """Pass the streams that the ledger offers to the module, in order; set a timer while streams wait there."""
        while offers := ledger.due(now):
            for offer in offers:
                request, stream = self._unoffered.pop(offer.stream, None), self._streams.get(offer.stream)
                if request is not None and stream is not None and not stream.over:
                    renewed = request._replace(
                        budget=stream.deadline - now, reply_capacity=min(request.reply_capacity, offer.spare)
                    )
                    self._carry_out(self.brain.on_request(renewed, now), now)
        if ledger.waiting and not self._ledger_timer_set:
            self._ledger_timer_set = True
            self._timers.add(now + ledger.step, LEDGER_TIMER)

    def _on_withdrawn(self, stream: model.Stream, now: float) -> list[Action]:
        if stream.over:
            return []  # the answer was given before the withdrawal arrived
        stream.withdrawn = True
        stream.answered.set()
        self.event_counts["withdrawn"] += 1
        self.process_figures.outstanding -= 1
        if self.ledger is not None:
            self.ledger.on_answered(stream.id, "withdrawn", now)
        actions = self.brain.on_withdrawn(stream.id, now)
        self._cancel_unsent(stream)
        self._drop_if_ended(stream)
        return actions

    def _cancel_unsent(self, stream: model.Stream) -> None:
        """Cancel attempts of a finished stream that are not written yet, for instance while they connect."""
        for request in self._attempts.get(stream.id, ()):
            if not request.sent:
                request.cancelled = True
                request.scope.cancel()

    def _on_attempt_ended(self, event: model.UpstreamEnded, now: float) -> list[Action]:
        request, outcome = event.request, event.outcome
        stream = request.stream
        self._attempts_in_flight[stream.id] -= 1
        self.event_counts[outcome.status.value] += 1
        self.host_log.on_attempt_ended(request.host.id, outcome.status)
        if self.on_attempt is not None:
            self.on_attempt(request, outcome.status, event.took)
        if self.ledger is not None:
            self.ledger.on_attempt_ended(stream.id, self._slot_seconds(event, now), now)
        withdrawn: list[Action] = []
        if outcome.status is Status.OK and not stream.over and outcome.result is not None:
            self._finish(stream, model.Served(outcome.result))
        elif not stream.over and not stream.wanted:
            # The downstream has gone and its withdrawal may still be in the inbox: no further attempt may start.
            withdrawn = self._on_withdrawn(stream, now)
        outcome_report = Outcome(
            stream.id, request.number, request.host.id, outcome.status, event.took, stream.over, outcome.report
        )
        actions = self.brain.on_outcome(outcome_report, now)
        self._drop_if_ended(stream)
        return withdrawn + actions

    @staticmethod
    def _slot_seconds(event: model.UpstreamEnded, now: float) -> float:
        """Return the seconds for which an attempt occupied a slot, as far as known; 0 if it never ran."""
        if event.outcome.status in NEVER_RAN or not event.request.sent:
            return 0.0
        return now - event.request.started if event.request.started else event.took

    def exchange_datagrams(self, now: float) -> list[tuple[int, bytes]]:
        """Return the datagrams to send now, each with the number of the instance it goes to."""
        if self.ledger is None or self.exchange is None:
            return []
        self.exchange.on_demand(self.ledger.demands(now))
        # A host that connects to us serves only this instance; peers need to know only about hosts that we connect to.
        in_flight = {
            host.id: self.brain.workers[host.id].outstanding
            for host in self.hosts.values()
            if isinstance(host.address, tuple) and host.id in self.brain.workers
        }
        self.exchange.on_attempts_in_flight(in_flight)
        return self.exchange.due(now)

    def _on_peer_datagram(self, data: bytes, now: float) -> list[Action]:
        """Take leases and the peer's attempts in flight at each host; these count like a report from the host."""
        actions: list[Action] = []
        if self.exchange is not None and self.exchange.on_datagram(data, now):
            for name, worker in self.brain.workers.items():
                report = (
                    self.exchange.report(name, worker.slots, worker.outstanding, now) if name in self.hosts else None
                )
                if report is not None:
                    actions += self.brain.on_report(name, report, now)
        return actions

    def _on_host_list(self, event: model.HostListReceived, now: float) -> list[Action]:
        listed_ids = {line.entry.worker for line in event.lines}
        previous = {host.id: (host.entry.state.value, host.entry.started_at) for host in self.hosts.values()}
        self.version = event.version if event.version is not None else self.version
        if event.kind is not ListKind.CHANGES:
            for host in self.hosts.values():
                if host.id not in listed_ids:  # a full list removes the hosts that it does not name
                    host.entry = host.entry._replace(state=State.GONE)
        for line in event.lines:
            listed_host = self.hosts.get(line.entry.worker)
            if listed_host is None:
                self.hosts[line.entry.worker] = model.UpstreamHost(
                    line.entry.worker, line.address, line.entry, banned=line.entry.worker in self.brain.banned
                )
                continue
            if listed_host.address != line.address or listed_host.entry.started_at != line.entry.started_at:
                self._close_idle(listed_host)  # connections to the previous process or address are stale
                listed_host.generation += 1
                listed_host.address = line.address
            listed_host.entry = line.entry
        for host in self.hosts.values():
            if not host.ready:
                self._close_idle(host)
        states = {host.id: (host.entry.state, host.generation) for host in self.hosts.values()}
        if states != self._logged_states:  # changes of weight alone are not logged: they come every second
            ready = sum(host.ready for host in self.hosts.values())
            log.info("host list received: %s list, %d hosts, %d ready", event.kind.value, len(states), ready)
        self._logged_states = states
        self.host_log.log_finished_first_windows(now)
        self.host_log.on_hosts(previous, self.hosts.values(), now)
        entries = tuple(line.entry for line in event.lines)
        self.notebook.set_workers(entries, event.kind is not ListKind.CHANGES)
        actions = self.brain.on_list(event.kind, entries, now)
        # Drop hosts that are gone, or memory would grow with every deploy; the module keeps its own records.
        self.hosts = {name: host for name, host in self.hosts.items() if host.entry.state is not State.GONE}
        self.hosts_listed.set()
        return actions

    def _carry_out(self, actions: list[Action], now: float) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action, now)
            elif isinstance(action, Timer):
                self._timers.add(action.at, action.token)
            elif isinstance(action, Refuse):
                self._answer(action.id, model.LocalReply(action.retry_after))
            elif isinstance(action, Fail):
                self._answer(action.id, model.Failed("no upstream host served it"))
            elif isinstance(action, Cancel):
                self._cancel(action)
            elif isinstance(action, SendNotes):
                if self.send_notes is not None:
                    for data in self.notebook.write(action.notes):
                        self.send_notes(data, action.to)
            elif isinstance(action, Log):
                log.info("module: %s", self._with_host_names(action.text))
            else:  # Watch needs nothing: discovery watches on its own
                invariant(isinstance(action, Watch), "every action has a handler")

    def _with_host_names(self, text: str) -> str:
        """Replace host ids in hexadecimal by the names in the list, for readers of the log."""
        for host in self.hosts.values():
            text = text.replace(host.id.hex(), host.id.decode(errors="replace"))
        return text

    def _send(self, action: Send, now: float) -> None:
        stream = self._streams.get(action.id)
        if stream is None or not invariant(not stream.over, "nothing is sent for a stream that is over"):
            return
        host = self.hosts.get(action.worker)
        if host is None:  # dropped here, but still known to the module, which must learn that nothing was sent
            host = model.UpstreamHost(action.worker, None, self.brain.workers[action.worker].entry)
        deadline = stream.deadline - ANSWER_LEAD
        if action.timeout:
            deadline = min(deadline, now + action.timeout)
        request = model.UpstreamRequest(stream, len(self._attempts[stream.id]), host, deadline, action.not_after)
        self._attempts[stream.id].append(request)
        self.host_log.on_attempt_started(host.id, now)
        self._attempts_in_flight[stream.id] += 1
        if self.ledger is not None:
            self.ledger.on_sent(stream.id, now)
        self._attempt_nursery.start_soon(self._attempt, request)

    async def _attempt(self, request: model.UpstreamRequest) -> None:
        started_at = trio.current_time()
        # Past its deadline, or its host was dropped: nothing is sent, and the outcome says nothing about the host.
        unsendable = request.deadline <= started_at or request.host.address is None
        outcome = model.UpstreamOutcome(Status.NOT_SENT) if unsendable else None
        with request.scope:
            request.scope.deadline = request.deadline
            try:
                outcome = outcome or await self._carrier(request.host).carry(request, self.inbox)
            except Exception:
                # An exception in one upstream request must not end the others; RESET tells that it may have run.
                log.exception("fault in an upstream request to %s", request.host.id.decode(errors="replace"))
                outcome = model.UpstreamOutcome(Status.RESET if request.sent else Status.CONNECT_FAILED)
        if outcome is None and request.cancelled:
            outcome = model.UpstreamOutcome(Status.CANCELLED)
        elif outcome is None:
            outcome = model.UpstreamOutcome(Status.TIMEOUT if request.sent else Status.CONNECT_FAILED)
        await self.inbox.send(model.UpstreamEnded(request, outcome, trio.current_time() - started_at))

    def _carrier(self, host: model.UpstreamHost) -> model.UpstreamFront:
        return self.carriers[type(host.address)]

    def _close_idle(self, host: model.UpstreamHost) -> None:
        if type(host.address) in self.carriers:
            self._carrier(host).close_idle(host)

    def _cancel(self, action: Cancel) -> None:
        for request in self._attempts.get(action.id, [])[action.attempt : action.attempt + 1]:
            request.cancelled = True
            request.scope.cancel()

    def _answer(self, stream_id: int, answer: model.FinalAnswer) -> None:
        stream = self._streams.get(stream_id)
        if stream is not None and not stream.over:
            self._finish(stream, answer)
            self._drop_if_ended(stream)

    def _finish(self, stream: model.Stream, answer: model.FinalAnswer) -> None:
        if invariant(not stream.over, "a stream has one final answer"):
            stream.answer = answer
            stream.answered.set()
            self.event_counts[type(answer).__name__] += 1
            field_name = FIGURES_FIELDS[type(answer)]
            setattr(stream.counts, field_name, getattr(stream.counts, field_name) + 1)
            self.process_figures.outstanding -= 1
            self._cancel_unsent(stream)
            if self.ledger is not None:
                self.ledger.on_answered(stream.id, LEDGER_OUTCOMES[type(answer)], trio.current_time())

    def _drop_if_ended(self, stream: model.Stream) -> None:
        """Drop the records of a finished stream whose attempts have all ended."""
        if stream.over and not self._attempts_in_flight[stream.id]:
            for records in (self._streams, self._attempts, self._attempts_in_flight):
                records.pop(stream.id, None)
            if self.ledger is not None:
                self.ledger.on_forgotten(stream.id)
                self._unoffered.pop(stream.id, None)
