"""Log lines about single hosts: states, starts and outcomes of attempts."""

from __future__ import annotations

import logging

import pytest

from oxbowarch.interface import Entry, State, Status
from thistleshore.core.host_log import MAX_LOG_LINES, HostLog
from thistleshore.core.model import UpstreamHost


def host(name: bytes, started_at: float = 0.0, state: State = State.READY) -> UpstreamHost:
    return UpstreamHost(name, None, Entry(name, state, started_at=started_at))


def test_start_reported_late_counts_attempts_sent_before_the_report(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    log = HostLog(2.0)
    for at in (8.0, 9.5, 10.2):
        log.on_attempt_started(b"s-1", at)
    log.on_hosts({b"s-1": ("ready", 0.0)}, [host(b"s-1", 9.0)], 10.4)
    log.on_attempt_ended(b"s-1", Status.RESET)
    log.log_finished_first_windows(10.9)
    assert "started 1.400 s ago; 2 attempts started there since" in caplog.text and "in its first" not in caplog.text
    log.log_finished_first_windows(11.0)
    assert "host s-1: 2 attempts in its first 2.0 s; ended: reset=1" in caplog.text and log.peak == 2


def test_list_that_changes_all_hosts_logs_a_bounded_number_of_lines(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    HostLog(2.0).on_hosts({}, [host(b"s-%d" % n) for n in range(300)], 1.0)
    assert len(caplog.records) == MAX_LOG_LINES + 1 and "280 further changes" in caplog.text


def test_failure_summary_names_hosts_once_most_failures_first() -> None:
    log = HostLog(2.0)
    for name, status in ((b"a", Status.OK), (b"b", Status.RESET), (b"c", Status.FULL), (b"c", Status.FULL)):
        log.on_attempt_ended(name, status)
    assert log.take_failure_summary() == "c full=2; b reset=1" and log.take_failure_summary() == ""
