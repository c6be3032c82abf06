"""Reports of other instances: stored, sent on request, and summarized per zone.

Identical reports are sent in compact form: an eight-byte token that identifies the member and its generation, and the
age of the report.  The requester resolves the token with its own view.
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
from typing import NamedTuple

import msgspec
import xxhash

from thistleshore.distribution.model import Peer, MemberReport, Spread, ProtocolSettings, Zone
from thistleshore.distribution.wire import MAX_AGE_MS, MAX_ROWS, AgedReport, ReportBatch, row_size

COMPACT_REPORT = struct.Struct("!QH")  # the token of a member, and the age of its report in ms


class ReceivedReport(NamedTuple):
    """A report with its receive time on this instance."""

    row: MemberReport
    register: int  # register of `row.applied`
    received_at: float


def token_of(name: str, generation: int) -> int:
    """Return the token that identifies one generation of a member."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{generation}".encode())


class Reports:
    """The latest report of each member of the view."""

    def __init__(self, settings: ProtocolSettings) -> None:
        self._settings = settings
        self._peers: Mapping[str, Peer] = {}
        self._direct: dict[str, ReceivedReport] = {}  # received from the members themselves
        # Received from other instances, and not forwarded: each hop would subtract the transit time from a report's
        # age, so reports passed around among several instances would never expire.
        self._forwarded: dict[str, ReceivedReport] = {}
        self._by_token: dict[int, Peer] | None = None  # built on first use

    def on_view(self, peers: Mapping[str, Peer]) -> None:
        """Handle a membership change: drop the reports of members no longer in the view."""
        self._peers = peers
        self._direct = {name: report for name, report in self._direct.items() if name in peers}
        self._forwarded = {name: report for name, report in self._forwarded.items() if name in peers}
        self._by_token = None

    def store(self, report: ReceivedReport) -> bool:
        """Store a member's own report; return False if the member is unknown or a later report is stored."""
        return self._store(report, self._direct)

    def _store(self, report: ReceivedReport, reports: dict[str, ReceivedReport]) -> bool:
        name = report.row.name
        if name not in self._peers or ((stored := reports.get(name)) is not None and not _is_later(report, stored)):
            return False
        reports[name] = report
        return True

    def store_batch(self, message: ReportBatch, now: float) -> int:
        """Store reports forwarded by another instance; return how many were not usable."""
        useless = len(message.members) % COMPACT_REPORT.size
        whole = len(message.members) - useless
        for token, age in COMPACT_REPORT.iter_unpack(message.members[:whole]):
            peer = self._tokens().get(token)
            if peer is None:
                useless += 1
                continue
            row = MemberReport(peer.name, peer.generation, message.applied)
            useless += not self._store(ReceivedReport(row, message.register, now - age / 1000), self._forwarded)
        for aged in message.rows:
            useless += not self._store(ReceivedReport(aged.row, aged.register, now - aged.age / 1000), self._forwarded)
        return useless

    def report_batches(self, own: ReceivedReport, room: int, now: float) -> list[ReportBatch]:
        """Return all fresh reports received from the members themselves, in payloads of at most `room` bytes."""
        fresh = [own, *(report for report in self._direct.values() if self._is_fresh(report, now))]
        plain = Counter((report.register, report.row.applied) for report in fresh if not report.row.refused)
        common = plain.most_common(1)[0][0] if plain else None
        short, whole = [], []
        for report in fresh:
            if (report.register, report.row.applied) == common and not report.row.refused:
                short.append(COMPACT_REPORT.pack(token_of(report.row.name, report.row.generation), _age(report, now)))
            else:
                whole.append(AgedReport(report.row, report.register, _age(report, now)))
        register, applied = common or (0, 0)
        messages = [
            ReportBatch(register, applied, members, ()) for members in _chunks(short, room // COMPACT_REPORT.size)
        ]
        messages += [ReportBatch(0, 0, b"", rows) for rows in _datagram_groups(whole, room)]
        return messages

    def count(self, number: int, register: int, own: ReceivedReport, local_peer: Peer, now: float) -> Spread:
        """Return how far a version of that register has spread in each zone."""
        by_zone: dict[str, list[Peer]] = {local_peer.zone: [local_peer]}
        for peer in self._peers.values():
            by_zone.setdefault(peer.zone, []).append(peer)
        zones = []
        for zone, members in sorted(by_zone.items()):
            rows = {peer.name: self._row_of(peer, register, own, now) for peer in members}
            behind = sorted((row for row in rows.values() if row and row.applied < number), key=lambda row: row.name)
            unknown = sorted(name for name, row in rows.items() if row is None)
            applied = len(members) - len(behind) - len(unknown)
            zones.append(Zone(zone, len(members), applied, tuple(behind), tuple(unknown)))
        return Spread(number, tuple(zones))

    def _row_of(self, peer: Peer, register: int, own: ReceivedReport, now: float) -> MemberReport | None:
        """Return the current report of a member, or None if it has no fresh one."""
        if peer.name == own.row.name:
            report = own
        else:
            found = self._latest(peer.name)
            if (
                found is None
                or not peer.alive
                or found.row.generation != peer.generation
                or not self._is_fresh(found, now)
            ):
                return None
            report = found
        if report.row.applied and report.register != register:
            reason = report.row.reason or f"version {report.row.applied} of register {report.register} is in force"
            return msgspec.structs.replace(report.row, applied=0, reason=reason)
        return report.row

    def _latest(self, name: str) -> ReceivedReport | None:
        """Return a member's latest report, received directly or forwarded."""
        report, forwarded = self._direct.get(name), self._forwarded.get(name)
        if report is None or forwarded is None:
            return report or forwarded
        return forwarded if _is_later(forwarded, report) else report

    def _is_fresh(self, report: ReceivedReport, now: float) -> bool:
        return now - report.received_at <= self._settings.report_lifetime

    def _tokens(self) -> dict[int, Peer]:
        if self._by_token is None:
            self._by_token = {token_of(peer.name, peer.generation): peer for peer in self._peers.values()}
        return self._by_token


def _is_later(report: ReceivedReport, stored: ReceivedReport) -> bool:
    """Return whether a report is at least as recent as another of the same member."""
    if report.row.generation != stored.row.generation:
        return report.row.generation > stored.row.generation
    return report.row.applied >= stored.row.applied and report.received_at >= stored.received_at


def _age(report: ReceivedReport, now: float) -> int:
    return min(MAX_AGE_MS, max(0, round((now - report.received_at) * 1000)))


def _chunks(pieces: Iterable[bytes], most: int) -> Iterator[bytes]:
    remaining = iter(pieces)
    while chunk := list(islice(remaining, most)):
        yield b"".join(chunk)


def _datagram_groups(rows: Iterable[AgedReport], room: int) -> Iterator[tuple[AgedReport, ...]]:
    """Yield the rows in groups that each fit into a datagram."""
    group: list[AgedReport] = []
    used = 0
    for row in rows:
        size = row_size(row)
        if group and (used + size > room or len(group) == MAX_ROWS):
            yield tuple(group)
            group, used = [], 0
        group.append(row)
        used += size
    if group:
        yield tuple(group)
