"""State machine for one instance's part in distributing configuration; it uses no socket, disk or clock.

Every public method takes the time (seconds of a monotonic clock), updates the state and returns actions; none blocks.
`due` is the time at which `on_time` has to be called next.

A version passes through these stages on an instance:

    known      the register agreed on it, or another instance announced that it has the body
    held       its body was fetched or came from the register, and matches the digest; from now on it is offered to
               the children in the tree
    applied    the carrier confirmed that it is durable and in force; only now is it reported

Version numbers never decrease in any stage.  One version is applied at a time; the newest held one is next.
"""

from __future__ import annotations

import random as randoms
from collections import Counter
from collections.abc import Iterable, Iterator
from math import inf

from thistleshore.distribution import wire
from thistleshore.distribution.bodies import BodyCache, BodyMismatch, decode, fits
from thistleshore.addresses import Address
from thistleshore.distribution.model import (
    MAX_BODY_BYTES,
    FORMAT,
    NO_VERSION,
    MAX_REASON_CHARS,
    Action,
    Apply,
    LogEvent,
    Peer,
    MemberReport,
    Send,
    Spread,
    Stamp,
    ProtocolSettings,
)
from thistleshore.distribution.offers import Offers
from thistleshore.distribution.reports import ReceivedReport, Reports
from thistleshore.distribution.transfer import BodyFetch, TransferServer, Source, PartResult
from thistleshore.distribution.tree import Tree

MIN_JITTER, JITTER_RANGE = 0.75, 0.5  # fractions of `report_interval`: the interval is 0.75 to 1.25 times it
MIN_WAIT_FRACTION = 0.25  # fraction of `max_wait`: the shortest wait after no parent or source answered
MAX_SOURCES = 4  # remembered instances that have the newest known version
TRANSFER_BITS = 48
MIN_STALL_SECONDS = 0.5  # seconds; if `on_time` is called later than this, the process was paused
BACKLOG_SECONDS = 0.2  # seconds after a pause during which datagrams read are assumed to have queued in the socket


class Distributor:
    """What one instance knows of agreed versions, and how it forwards them.

    The owner may replace `local_peer` (new generation or address) before calling `on_view`.
    """

    def __init__(
        self,
        fleet: str,
        local_peer: Peer,
        voters: frozenset[str],
        settings: ProtocolSettings,
        now: float,
        seed: int = 0,
        stored: tuple[Stamp, bytes] | None = None,
    ) -> None:
        """`stored` is the version in force on this instance, read from disk."""
        self.fleet, self.local_peer, self.voters, self.settings = fleet, local_peer, voters, settings
        self.applied: Stamp = stored[0] if stored is not None else NO_VERSION
        self.known: Stamp = self.applied
        self.counts: Counter[str] = Counter()
        self._random = randoms.Random(
            f"{seed} {local_peer.name} {local_peer.generation}"
        )  # so that instances do not synchronize
        self._peers: dict[str, Peer] = {}
        self._tree = Tree(local_peer, {}, voters)
        self._bodies = BodyCache(settings.retained_bodies)
        self._offers = Offers(settings)
        self._reports = Reports(settings)
        self._payload_capacity = wire.payload_capacity(fleet, local_peer.name, settings.max_datagram_bytes)
        self._serving = TransferServer(self._bodies, settings, self._payload_capacity)
        self._applying: Stamp | None = None
        self._refused, self._reason = 0, ""
        self._agreed: Stamp = self.applied  # the newest version confirmed by the register itself
        self._sources: list[Source] = []  # instances that announced `known`, the latest first
        self._fetching: BodyFetch | None = None
        self._fetch_again_at = inf  # when to retry after all sources failed
        self._report_number = 0
        self._report_at = now + settings.report_interval * self._random.random()
        self._untried_parents: Iterator[Peer] = iter(())  # remaining parents to try for the current report
        self._answer_deadline = inf
        self._logged: dict[str, Stamp] = {}  # last version logged, by why it is unacceptable
        self._last_call = now
        self._backlog_since, self._backlog_until = now, -inf  # after a pause: the period in which datagrams arrived
        self._actions: list[Action] = []
        if stored is not None:
            self._bodies.add(*stored, in_force=stored[0].number)
            self._offers.stamp = stored[0]
        self.due: float = inf
        self._take_actions()

    # -- input events ----------------------------------------------------------------------------

    def on_view(self, peers: Iterable[Peer], now: float) -> list[Action]:
        """Handle a membership change; `peers` is the whole view, including dead members not yet forgotten."""
        children = {peer.name for peer in self._tree.children}
        self._peers = {peer.name: peer for peer in peers if peer.name != self.local_peer.name}
        self._tree = Tree(self.local_peer, self._peers, self.voters)
        self._reports.on_view(self._peers)
        self._offers.retain_children(self._tree.children)
        if self._bodies.newest.number:
            new = [peer for peer in self._tree.children if peer.name not in children]
            self._offer_to(self._offers.extend(new, now))
        return self._take_actions()

    def on_agreed(self, stamp: Stamp, body: bytes | None, now: float) -> list[Action]:
        """Handle a version agreed on by the register; `body` is None if this instance does not have it."""
        if not self._acceptable(stamp):
            if stamp.size > MAX_BODY_BYTES and stamp.number > self._refused:
                self._refuse(stamp, f"a body of {stamp.size} bytes is longer than {MAX_BODY_BYTES}", now)
            return self._take_actions()
        if self._newer(stamp, self._agreed):
            self._agreed = stamp
        if self._newer(stamp, self.known):
            self.known, self._sources = stamp, []
        if not self._newer(stamp, self._bodies.newest):
            return self._take_actions()
        if body is not None and fits(stamp, body):
            self._store_body(stamp, body, now)
        else:
            if body is not None:
                self._count_mismatch("register")
            self._fetch_known(now)
        return self._take_actions()

    def on_datagram(self, data: bytes, sender: Address, now: float) -> list[Action]:
        """Handle a datagram; one that is invalid or from another fleet is only counted."""
        self._last_call = now
        self.counts["heard"] += 1
        self.counts["bytes_heard"] += len(data)
        try:
            envelope = wire.read(data, self.fleet, self.settings.max_datagram_bytes)
        except wire.InvalidDatagram as problem:
            self.counts[str(problem)] += 1
            return self._take_actions()
        if envelope.sender == self.local_peer.name:
            self.counts["own"] += 1
            return self._take_actions()
        peer = self._peers.get(envelope.sender)
        source = Source(envelope.sender, sender if peer is None else peer.address)
        self._dispatch(envelope.message, envelope.generation, source, now)
        return self._take_actions()

    def on_time(self, now: float) -> list[Action]:
        """Run all due timers; after a pause of the process, call this before handling queued input."""
        self._notice_stall(now)
        if now >= self._offers.due:
            self._offer_to(self._offers.on_time(now))
        if now >= self._answer_deadline:
            self._report_to_next(now)
        if now >= self._report_at:
            self._report(now, everywhere=self._tree.is_voter)
        if self._fetching is not None and now >= self._fetching.due:
            self._on_fetch_timeout(self._fetching, now)
        if now >= self._fetch_again_at:
            self._fetch_known(now)
        return self._take_actions()

    def on_applied(self, stamp: Stamp, now: float) -> list[Action]:
        """Handle the success of an `Apply`: the version is durable and in force."""
        self._applying = None
        if self._newer(stamp, self.applied):
            self.applied = stamp
            if stamp.number >= self._refused:
                self._refused, self._reason = 0, ""
            self._report(now, everywhere=True)
        else:
            self.counts["stray"] += 1
        self._apply_newest(now)
        return self._take_actions()

    def on_refused(self, stamp: Stamp, reason: str, now: float) -> list[Action]:
        """Handle the failure of an `Apply`: the previous version is still in force."""
        self._applying = None
        self._refuse(stamp, reason, now)
        self._apply_newest(now)
        return self._take_actions()

    # -- queries from the same process -----------------------------------------------------------

    def request_reports(self, now: float) -> list[Action]:
        """Request the fresh reports held by the zone relays of all zones."""
        for relays in self._tree.zone_relays.values():
            for relay in relays:
                if relay.name != self.local_peer.name:
                    self._send(relay.address, wire.ReportsRequest())
        return self._take_actions()

    def spread(self, number: int, now: float) -> Spread:
        """Return how far a version has spread, from the fresh reports known on this instance."""
        return self._reports.count(number, self.known.register, self._own_report(now), self.local_peer, now)

    def body(self, number: int) -> bytes | None:
        """Return the body of a version, or None if it is not in memory."""
        found = self._bodies.get(number)
        return None if found is None else found[1]

    # -- time ------------------------------------------------------------------------------------

    def _notice_stall(self, now: float) -> None:
        """Detect that the process was paused: reports it then reads from the socket are older than they look."""
        if now - self.due > MIN_STALL_SECONDS:
            self.counts["stalls"] += 1
            self._backlog_since, self._backlog_until = self._last_call, now + BACKLOG_SECONDS
        self._last_call = now

    def _receive_time(self, now: float) -> float:
        """Return the receive time to assign to a report read now; never later than its actual arrival."""
        return self._backlog_since if now < self._backlog_until else now

    # -- datagrams ---------------------------------------------------------------------------------

    def _dispatch(self, message: wire.Message, generation: int, source: Source, now: float) -> None:
        match message:
            case wire.Report():
                self._on_report(message, generation, source, now)
            case wire.Answer():
                self._on_answer(message, source, now)
            case wire.Offer():
                self._send(source.address, wire.Acknowledge(message.stamp.number))
                self._on_announced(message.stamp, source, now)
            case wire.Acknowledge():
                self._offers.on_acknowledge(source.name, message.number)
            case wire.Fetch():
                self._on_fetch(message, source, now)
            case wire.Part():
                self._on_part(message, now)
            case wire.Busy():
                self._on_busy(message, now)
            case wire.BodyUnavailable():
                self._on_lacking(message, now)
            case wire.ReportsRequest():
                self._on_ask(source, now)
            case wire.ReportBatch():
                self.counts["rows_useless"] += self._reports.store_batch(message, self._receive_time(now))

    def _on_report(self, report: wire.Report, generation: int, source: Source, now: float) -> None:
        row = MemberReport(source.name, generation, report.applied, report.refused, report.reason)
        if not self._reports.store(ReceivedReport(row, report.register, self._receive_time(now))):
            self.counts["report_useless"] += 1
        self._send(source.address, wire.Answer(report.number, self._bodies.newest))
        self._on_announced(report.held, source, now)

    def _on_answer(self, answer: wire.Answer, source: Source, now: float) -> None:
        if answer.number == self._report_number and self._answer_deadline < inf:
            self._answer_deadline = inf
            self._report_at = now + self._next_report_interval()
        self._on_announced(answer.held, source, now)

    def _on_ask(self, source: Source, now: float) -> None:
        if self._is_unknown_sender(source):
            return
        for rows in self._reports.report_batches(self._own_report(now), self._payload_capacity, now):
            self._send(source.address, rows)

    def _is_unknown_sender(self, source: Source) -> bool:
        """Return whether the sender is not in the view.

        Replies longer than their request are not sent to unknown addresses, to prevent traffic amplification.
        """
        if source.name in self._peers:
            return False
        self.counts["stranger"] += 1
        return True

    def _on_fetch(self, request: wire.Fetch, source: Source, now: float) -> None:
        if self._is_unknown_sender(source):
            return
        for message in self._serving.answer(request, source.name, self._random.random(), now):
            if isinstance(message, wire.Part):
                self.counts["parts"] += 1
                self.counts["transfers"] += message.index == message.count - 1
                self.counts["whole" if message.base == 0 else "differences"] += message.index == message.count - 1
            elif isinstance(message, wire.Busy):
                self.counts["busy"] += 1
            else:
                self.counts["lacking"] += 1
            self._send(source.address, message)

    # -- versions ----------------------------------------------------------------------------------

    @staticmethod
    def _newer(stamp: Stamp, than: Stamp) -> bool:
        """Return whether `stamp` has the higher number; version numbers never decrease."""
        return stamp.number > than.number

    def _on_announced(self, stamp: Stamp, source: Source, now: float) -> None:
        """Handle an announcement that another instance has the body of this version."""
        if not stamp.number or not self._acceptable(stamp):
            return
        if self._newer(stamp, self.known):
            self.known, self._sources = stamp, [source]
        elif stamp.number == self.known.number:
            others = [other for other in self._sources if other != source]
            self._sources = [source, *others[: MAX_SOURCES - 1]]
        else:
            return
        if self._newer(self.known, self._bodies.newest):
            self._fetch_known(now)

    def _acceptable(self, stamp: Stamp) -> bool:
        """Return whether a version is consistent with what is known of this instance's register."""
        register = self.known.register
        if register and stamp.register != register:
            self._count_unacceptable("other_register", stamp)
            return False
        if stamp.size > MAX_BODY_BYTES:
            self._count_unacceptable("too_large", stamp)
            return False
        kept = self._bodies.get(stamp.number)
        same = self.known if stamp.number == self.known.number else kept[0] if kept is not None else stamp
        if same != stamp:
            self._count_unacceptable("conflict", stamp)
            return False
        return True

    def _count_unacceptable(self, kind: str, stamp: Stamp) -> None:
        """Count an unacceptable version; log it only once, as it may be announced repeatedly for hours."""
        self.counts[kind] += 1
        if self._logged.get(kind) != stamp:
            self._logged[kind] = stamp
            self._log_event(kind, stamp)

    def _store_body(self, stamp: Stamp, body: bytes, now: float) -> None:
        """Store a verified body, offer it to the children and put it in force."""
        self._bodies.add(stamp, body, self.applied.number)
        if self._fetching is not None and self._fetching.stamp.number <= stamp.number:
            self._fetching = None
        self._offer_to(self._offers.start(stamp, self._tree.children, now))
        self._apply_newest(now)
        if self._newer(self.known, stamp):
            self._fetch_known(now)
        else:
            self._fetch_again_at = inf

    def _apply_newest(self, now: float) -> None:
        stamp = self._bodies.newest
        if self._applying is not None or not self._newer(stamp, self.applied) or stamp.number == self._refused:
            return
        if stamp.format > FORMAT:
            self._refuse(stamp, f"format {stamp.format} is newer than {FORMAT}", now)
            return
        found = self._bodies.get(stamp.number)
        assert found is not None
        self._applying = stamp
        self._actions.append(Apply(*found))

    def _refuse(self, stamp: Stamp, reason: str, now: float) -> None:
        self.counts["refused"] += 1
        self._refused = stamp.number
        self._reason = reason.encode()[:MAX_REASON_CHARS].decode(errors="ignore")
        self._log_event("refused", stamp, self._reason)
        self._report(now, everywhere=True)

    # -- offers ------------------------------------------------------------------------------------

    def _offer_to(self, peers: Iterable[Peer]) -> None:
        for peer in peers:
            self.counts["offers"] += 1
            self._send(peer.address, wire.Offer(self._offers.stamp))

    # -- reports -----------------------------------------------------------------------------------

    def _own_report(self, now: float) -> ReceivedReport:
        row = MemberReport(
            self.local_peer.name, self.local_peer.generation, self.applied.number, self._refused, self._reason
        )
        return ReceivedReport(row, self.applied.register, now)

    def _report(self, now: float, everywhere: bool) -> None:
        """Report to the first parent that answers, and if `everywhere`, to all relays of the zone as well."""
        self._report_number += 1
        self._untried_parents = self._shuffled_parents()
        first = self._report_to_next(now)
        if everywhere:
            for relay in self._tree.own_zone_relays:
                if relay != first:
                    self._send_report(relay, number=0)

    def _report_to_next(self, now: float) -> Peer | None:
        """Report to the next parent and return it, or None if none is left."""
        parent = next(self._untried_parents, None)
        if parent is not None:
            self._answer_deadline = now + self.settings.answer_timeout
            self._report_at = inf
            self._send_report(parent, self._report_number)
        else:
            self._answer_deadline = inf
            self._report_at = now + (self._next_report_interval() if self._tree.is_voter else self._retry_wait())
            self.counts["unanswered"] += 1
        return parent

    def _send_report(self, peer: Peer, number: int) -> None:
        own = self.applied
        report = wire.Report(number, own.register, own.number, self._refused, self._reason, self._bodies.newest)
        self._send(peer.address, report)

    def _shuffled_parents(self) -> Iterator[Peer]:
        for level in self._tree.parents:
            yield from self._random.sample(level, len(level))

    def _retry_wait(self) -> float:
        """Return a random wait after nobody answered, so that many such instances do not retry at once."""
        return self.settings.max_wait * (MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * self._random.random())

    def _next_report_interval(self) -> float:
        return self.settings.report_interval * (MIN_JITTER + JITTER_RANGE * self._random.random())

    # -- fetching ----------------------------------------------------------------------------------

    def _fetch_known(self, now: float) -> None:
        """Fetch the newest known version, unless parts of an earlier one have already arrived."""
        self._fetch_again_at = inf
        if not self._newer(self.known, self._bodies.newest):
            return
        fetching = self._fetching
        if fetching is not None and fetching.stamp == self.known:
            for source in self._sources[:1]:
                fetching.add_source(source)
            return
        if fetching is not None and fetching.started:
            return
        sources = [*self._sources, *(Source(peer.name, peer.address) for peer in self._shuffled_parents())]
        number = self._random.getrandbits(TRANSFER_BITS)
        self._fetching = BodyFetch(self.known, self._bodies.newest, sources, self.settings, number)
        self._request(self._fetching, now)

    def _request(self, fetching: BodyFetch, now: float) -> None:
        source = fetching.source
        if source is not None:
            self._send(source.address, fetching.request(now))
            return
        self.counts["unfetched"] += 1
        self._fetching = None
        self._fetch_again_at = now + self._retry_wait()
        self._forget_unavailable()

    def _forget_unavailable(self) -> None:
        """Forget a version that no source could send.

        An instance that has it will announce it again, and a false announcement does not persist.
        """
        self._sources = []
        held = self._bodies.newest
        self.known = self._agreed if self._newer(self._agreed, held) else held

    def _on_fetch_timeout(self, fetching: BodyFetch, now: float) -> None:
        source = fetching.source
        if source is not None and fetching.on_timeout(now):
            self.counts["late_parts"] += 1
            self._send(source.address, fetching.request_again(now))
            return
        self.counts["silent_sources"] += 1
        fetching.next_source()
        self._request(fetching, now)

    def _on_part(self, part: wire.Part, now: float) -> None:
        fetching = self._fetching
        taken = PartResult.UNEXPECTED if fetching is None else fetching.on_part(part, now)
        if fetching is None or taken is PartResult.UNEXPECTED:
            self.counts["stray_part"] += 1
        elif taken is PartResult.WINDOW:
            self._request(fetching, now)
        elif taken is PartResult.COMPLETE:
            self._on_complete(fetching, now)
        elif taken is PartResult.INVALID:
            self._on_mismatch(fetching, now)

    def _on_complete(self, fetching: BodyFetch, now: float) -> None:
        encoding = fetching.encoding
        found = self._bodies.get(encoding.base) if encoding.base else None
        try:
            body = decode(encoding.data, found[1] if found is not None else None, fetching.stamp)
        except BodyMismatch:
            self._on_mismatch(fetching, now)
            return
        self.counts["fetched"] += 1
        how = f"as a difference to {encoding.base}" if encoding.base else "whole"
        self._log_event("fetched", fetching.stamp, f"{len(encoding.data)} bytes, {how}")
        self._fetching = None
        if self._newer(fetching.stamp, self._bodies.newest):
            self._store_body(fetching.stamp, body, now)

    def _on_mismatch(self, fetching: BodyFetch, now: float) -> None:
        """Drop a source that sent a wrong body, and request the whole body from the next instead of a delta."""
        self._count_mismatch(fetching.source.name if fetching.source is not None else "")
        fetching.next_source(whole=True)
        self._request(fetching, now)

    def _on_busy(self, busy: wire.Busy, now: float) -> None:
        if (fetching := self._fetching) is not None and busy.transfer == fetching.transfer:
            fetching.on_busy(now + busy.after / 1000)

    def _on_lacking(self, lacking: wire.BodyUnavailable, now: float) -> None:
        if (fetching := self._fetching) is not None and lacking.transfer == fetching.transfer:
            fetching.next_source()
            self._request(fetching, now)

    # -- actions -----------------------------------------------------------------------------------

    def _count_mismatch(self, source: str) -> None:
        self.counts["mismatch"] += 1
        self._actions.append(LogEvent("mismatch", source))

    def _log_event(self, kind: str, stamp: Stamp, detail: str = "") -> None:
        text = f"version {stamp.number} of register {stamp.register}"
        self._actions.append(LogEvent(kind, f"{text}: {detail}" if detail else text))

    def _send(self, address: Address, message: wire.Message) -> None:
        data = wire.write(self.fleet, self.local_peer.name, self.local_peer.generation, message)
        self.counts["sent"] += 1
        self.counts["bytes"] += len(data)
        self._actions.append(Send(address, data))

    def _take_actions(self) -> list[Action]:
        self.due = min(self._report_at, self._answer_deadline, self._offers.due, self._fetch_again_at)
        if self._fetching is not None:
            self.due = min(self.due, self._fetching.due)
        out, self._actions = self._actions, []
        return out
