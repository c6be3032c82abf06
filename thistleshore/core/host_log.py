"""What the log and the metrics say of single upstream hosts: state changes, starts, attempts by how they ended.

Nothing is decided here.  Attempts are counted as the carrier made them, apart from the decision module's own books, so
that its slow-start budget can be checked against what was really sent.
"""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from oxbowarch.interface import Status
from thistleshore.core.model import UpstreamHost

log = logging.getLogger("thistleshore")

MAX_LOG_LINES = 20  # of a list that changes many hosts at once, and of hosts with failures in a line of figures
SENDS_KEPT = 128  # times of attempts that are kept for one host


@dataclass(slots=True)
class HostRecord:
    """One host: attempts begun there lately, and how those of this interval ended."""

    begun: deque[float] = field(default_factory=lambda: deque(maxlen=SENDS_KEPT))  # times of attempts
    ended: Counter[Status] = field(default_factory=Counter)  # since the last line of figures
    warming: Counter[Status] = field(default_factory=Counter)  # since its start
    warming_since: float = 0.0  # its start, until its first window is in the log; 0: none is being counted


class HostLog:
    """Keeps a record of each listed host, and writes the lines."""

    def __init__(self, window: float) -> None:
        """`window` in seconds: the span that the slow-start budget is for."""
        self.window = window
        self.starts = 0  # starts that lists have told of
        self.peak = 0  # the most attempts that one host got in the first window after its start
        self._records: dict[bytes, HostRecord] = {}
        self._warming: set[bytes] = set()

    def on_attempt_started(self, host: bytes, now: float) -> None:
        """An attempt begins at that host."""
        self._records.setdefault(host, HostRecord()).begun.append(now)

    def on_attempt_ended(self, host: bytes, status: Status) -> None:
        """An attempt at that host has ended."""
        record = self._records.setdefault(host, HostRecord())
        record.ended[status] += 1
        if record.warming_since:
            record.warming[status] += 1

    def on_hosts(self, before: dict[bytes, tuple[str, float]], hosts: Iterable[UpstreamHost], now: float) -> None:
        """A list was taken; `before` has each host's state and start as they were."""
        lines = []
        for host in hosts:
            state, started_at = before.get(host.id, ("unlisted", 0.0))
            name, entry = host.id.decode(errors="replace"), host.entry
            if entry.state.value != state:
                lines.append(f"host {name}: {state} -> {entry.state.value}")
            if entry.started_at != started_at and 0.0 < now - entry.started_at < self.window:
                lines.append(f"host {name}: {self._start(host.id, entry.started_at, now)}")
        for line in lines[:MAX_LOG_LINES]:
            log.info("%s", line)
        if len(lines) > MAX_LOG_LINES:
            log.info("hosts: %d further changes", len(lines) - MAX_LOG_LINES)
        listed = {host.id for host in hosts}
        self._records = {name: kept for name, kept in self._records.items() if name in listed}

    def _start(self, name: bytes, started_at: float, now: float) -> str:
        """Begin the record of a start; the text that tells it."""
        record = self._records.setdefault(name, HostRecord())
        record.warming_since, record.warming = started_at, Counter()
        self._warming.add(name)
        self.starts += 1
        since = sum(at >= started_at for at in record.begun)
        return f"started {now - started_at:.3f} s ago; {since} attempts begun there since"

    def log_finished_first_windows(self, now: float) -> None:
        """Write the line of each host whose first window after a start is over."""
        for name in list(self._warming):
            record = self._records.get(name)
            if record is None:
                self._warming.discard(name)
            elif now - record.warming_since >= self.window:
                self._warming.discard(name)
                got = sum(0.0 <= at - record.warming_since < self.window for at in record.begun)
                record.warming_since = 0.0
                self.peak = max(self.peak, got)
                text = name.decode(errors="replace")
                log.info("host %s: %d attempts in its first %.1f s; ended: %s", text, got, self.window,
                         _counts(record.warming))  # fmt: skip

    def take_failure_summary(self) -> str:
        """The hosts with failures since the last call, the worst first, as text; "" without any."""
        rows = [(sum(n for status, n in record.ended.items() if status is not Status.OK), name, record.ended)
                for name, record in self._records.items()]  # fmt: skip
        worst = sorted((row for row in rows if row[0]), key=lambda row: (-row[0], row[1]))[:MAX_LOG_LINES]
        text = "; ".join(f"{name.decode(errors='replace')} {_counts(ended)}" for _, name, ended in worst)
        for record in self._records.values():
            record.ended.clear()
        return text


def _counts(ended: Counter[Status]) -> str:
    return " ".join(f"{status.value}={n}" for status, n in ended.items()) or "none"
