"""Log lines and metrics about single upstream hosts: state changes, starts, and attempts by outcome.

This module only observes.  It counts the attempts that were really made, independently of the decision module's own
records, so that the module's slow-start budget can be checked against them.
"""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from oxbowarch.interface import Status
from thistleshore.core.model import UpstreamHost

log = logging.getLogger("thistleshore")

MAX_LOG_LINES = 20  # lines for one list, and hosts named in one line of failures
MAX_START_TIMES = 128  # recent attempts whose start times are stored for each host


@dataclass(slots=True)
class HostRecord:
    """Recent attempts at one host, and their outcomes."""

    start_times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_START_TIMES))  # start times of attempts
    outcomes: Counter[Status] = field(default_factory=Counter)  # outcomes since the last line of failures
    warm_up_outcomes: Counter[Status] = field(default_factory=Counter)  # outcomes since the host started
    started_at: float = 0.0  # when the host started, until its first window is logged; 0: no window is open


class HostLog:
    """Keep a record of each listed host, and log its changes."""

    def __init__(self, window: float) -> None:
        """`window`: the span of the slow-start budget, seconds."""
        self.window = window
        self.starts = 0  # how many starts of hosts lists have reported
        self.peak = 0  # most attempts at any host in the first window after its start
        self._records: dict[bytes, HostRecord] = {}
        self._in_first_window: set[bytes] = set()

    def on_attempt_started(self, host: bytes, now: float) -> None:
        """Record the start of an attempt at a host."""
        self._records.setdefault(host, HostRecord()).start_times.append(now)

    def on_attempt_ended(self, host: bytes, status: Status) -> None:
        """Record the outcome of an attempt at a host."""
        record = self._records.setdefault(host, HostRecord())
        record.outcomes[status] += 1
        if record.started_at:
            record.warm_up_outcomes[status] += 1

    def on_hosts(self, before: dict[bytes, tuple[str, float]], hosts: Iterable[UpstreamHost], now: float) -> None:
        """Log the changes that a list made; `before` holds each host's former state and start time."""
        lines = []
        for host in hosts:
            state, started_at = before.get(host.id, ("unlisted", 0.0))
            name, entry = host.id.decode(errors="replace"), host.entry
            if entry.state.value != state:
                lines.append(f"host {name}: {state} -> {entry.state.value}")
            if entry.started_at != started_at and 0.0 < now - entry.started_at < self.window:
                lines.append(f"host {name}: {self._open_first_window(host.id, entry.started_at, now)}")
        for line in lines[:MAX_LOG_LINES]:
            log.info("%s", line)
        if len(lines) > MAX_LOG_LINES:
            log.info("hosts: %d further changes", len(lines) - MAX_LOG_LINES)
        listed = {host.id for host in hosts}
        self._records = {name: record for name, record in self._records.items() if name in listed}

    def _open_first_window(self, name: bytes, started_at: float, now: float) -> str:
        """Open the first window of a host that has started, and return the text to log."""
        record = self._records.setdefault(name, HostRecord())
        record.started_at, record.warm_up_outcomes = started_at, Counter()
        self._in_first_window.add(name)
        self.starts += 1
        since = sum(at >= started_at for at in record.start_times)
        return f"started {now - started_at:.3f} s ago; {since} attempts started there since"

    def log_finished_first_windows(self, now: float) -> None:
        """Log each host whose first window after its start has passed."""
        for name in list(self._in_first_window):
            record = self._records.get(name)
            if record is None:
                self._in_first_window.discard(name)
            elif now - record.started_at >= self.window:
                self._in_first_window.discard(name)
                attempts = sum(0.0 <= at - record.started_at < self.window for at in record.start_times)
                record.started_at = 0.0
                self.peak = max(self.peak, attempts)
                text = name.decode(errors="replace")
                log.info("host %s: %d attempts in its first %.1f s; ended: %s", text, attempts, self.window,
                         _counts(record.warm_up_outcomes))  # fmt: skip

    def take_failure_summary(self) -> str:
        """Return the hosts with failures since the last call, most failures first, as text; "" if there are none."""
        rows = [(sum(n for status, n in record.outcomes.items() if status is not Status.OK), name, record.outcomes)
                for name, record in self._records.items()]  # fmt: skip
        worst = sorted((row for row in rows if row[0]), key=lambda row: (-row[0], row[1]))[:MAX_LOG_LINES]
        text = "; ".join(f"{name.decode(errors='replace')} {_counts(outcomes)}" for _, name, outcomes in worst)
        for record in self._records.values():
            record.outcomes.clear()
        return text


def _counts(outcomes: Counter[Status]) -> str:
    return " ".join(f"{status.value}={n}" for status, n in outcomes.items()) or "none"
