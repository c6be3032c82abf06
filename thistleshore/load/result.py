"""What a run found: histograms, counts and service, by member, class and outcome; and the generator's own lag."""

from __future__ import annotations

import csv
import io
import json
import platform
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from thistleshore import __version__
from thistleshore.load.plan import LoadPlan

LEAST_US, MOST_US, DIGITS = 1, 3_600_000_000, 3  # a microsecond to an hour, to three digits
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
OUTCOMES = ("served", "refused", "failed", "timeout", "lost")  # lost: the connection ended without an answer


def histogram() -> HdrHistogram:
    return HdrHistogram(LEAST_US, MOST_US, DIGITS)


def record(into: HdrHistogram, seconds: float) -> None:
    into.record_value(min(MOST_US, max(LEAST_US, round(seconds * 1e6))))


def percentiles(of: HdrHistogram) -> dict[str, float]:
    """Milliseconds by percentile; nothing where nothing was recorded."""
    if not of.get_total_count():
        return {}
    found = {f"p{p:g}": of.get_value_at_percentile(p) / 1000 for p in PERCENTILES[:-1]}
    return {**found, "max": of.get_max_value() / 1000}


class Result:
    """Books of one run.  Times in seconds; `when` from the start of the run, as it was meant."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.latency: dict[tuple[str, str, str], HdrHistogram] = defaultdict(histogram)
        self.lag = histogram()  # from when a request was meant to be sent to when this program took it up
        self.reach = histogram()  # from then to its last byte's being written: the target's doing
        self.asked: dict[str, float] = defaultdict(float)
        self.earned: dict[str, float] = defaultdict(float)
        self.troubles: dict[str, int] = defaultdict(int)  # what kept requests from being sent, by name
        self.rows: dict[int, dict[str, Any]] = {}
        self.sent = self.tries = 0
        self.partial = False

    def on_meant(self, source: int, when: float) -> None:
        """A first try whose time has come."""
        told = self.plan.source[source]
        self.asked[told.member] += told.worth
        self.sent += 1
        self._row(when)["asked"] += 1

    def on_written(self, lag: float, reach: float) -> None:
        """Its last byte is out: how late this program was, and how long the target took to take it."""
        record(self.lag, lag)
        record(self.reach, reach)

    def on_end(self, source: int, when: float, outcome: str, took: float) -> None:
        """The first try and all that followed from it is over, so long after it was meant to be sent."""
        told = self.plan.source[source]
        record(self.latency[told.member, told.job_class, outcome], took)
        row = self._row(when)
        row[outcome] += 1
        if outcome == "served":
            share = 1.0 if took <= told.wanted else told.late_share
            self.earned[told.member] += told.worth * share
            row["in_time"] += took <= told.wanted
            row["latency"].append(took)

    def _row(self, when: float) -> dict[str, Any]:
        number = int(when / self.plan.interval)
        if number not in self.rows:
            self.rows[number] = {
                "from": number * self.plan.interval,
                "asked": 0,
                "in_time": 0,
                **dict.fromkeys(OUTCOMES, 0),
                "latency": [],
            }
        return self.rows[number]

    @property
    def late(self) -> bool:
        """Whether this program fell behind by more than the plan's bound."""
        return bool(self.lag.get_total_count()) and self.lag.get_value_at_percentile(99.0) / 1e6 > self.plan.lag_bound

    def merge(self, others: Iterable[Result]) -> None:
        """Take in what other senders of the same plan found."""
        for other in others:
            for key, found in other.latency.items():
                self.latency[key].add(found)
            self.lag.add(other.lag)
            self.reach.add(other.reach)
            for mine, theirs in ((self.asked, other.asked), (self.earned, other.earned)):
                for member, worth in theirs.items():
                    mine[member] += worth
            for trouble, count in other.troubles.items():
                self.troubles[trouble] += count
            for number, row in other.rows.items():
                into = self._row(number * self.plan.interval)
                for column, value in row.items():
                    if column != "from":
                        into[column] = into[column] + value
            self.sent, self.tries = self.sent + other.sent, self.tries + other.tries
            self.partial = self.partial or other.partial

    def told(self) -> dict[str, Any]:
        """Everything, for JSON."""
        served = histogram()
        for (_, _, outcome), found in self.latency.items():
            if outcome == "served":
                served.add(found)
        service = {member: self.earned[member] / asked for member, asked in sorted(self.asked.items()) if asked}
        outcomes = [
            {
                "member": member,
                "class": job_class,
                "outcome": outcome,
                "count": found.get_total_count(),
                "ms": percentiles(found),
            }
            for (member, job_class, outcome), found in sorted(self.latency.items())
        ]
        return {
            "late": self.late,
            "partial": self.partial,
            "requests": self.sent,
            "tries": self.tries,
            "lag_ms": percentiles(self.lag),
            "reach_ms": percentiles(self.reach),
            "served_ms": percentiles(served),
            "service": {member: round(value, 6) for member, value in service.items()},
            "outcomes": outcomes,
            "troubles": dict(self.troubles),
        }

    def table(self) -> str:
        """The intervals as CSV."""
        into = io.StringIO()
        writer = csv.writer(into, lineterminator="\n")
        writer.writerow(("from", "asked", "in_time", *OUTCOMES, "p50_ms", "p99_ms", "late"))
        for number in sorted(self.rows):
            row = self.rows[number]
            found = sorted(row["latency"])
            last = len(found) - 1
            middle = [round(1000 * found[min(last, int(len(found) * p))], 3) if found else "" for p in (0.5, 0.99)]
            counts = (row[outcome] for outcome in OUTCOMES)
            writer.writerow((row["from"], row["asked"], row["in_time"], *counts, *middle, int(self.late)))
        return into.getvalue()

    def summary(self) -> str:
        """A page in Markdown."""
        told = self.told()
        lines = [f"# Load on {self.plan.target}", ""]
        if told["late"]:
            bound = f"{1000 * self.plan.lag_bound:g} ms"
            lines += [
                f"**Late: this program sent 1 of 100 requests over {bound} after its time, and so another load "
                "than the plan's.**",
                "",
            ]
        if told["partial"]:
            lines += ["**Partial: the run was ended before its plan was.**", ""]
        lines.append(
            f"{told['requests']} requests in {told['tries']} tries; latencies from when they were meant to be sent."
        )
        lines += ["", "| member | service |", "| --- | --- |"]
        lines += [f"| {member or '-'} | {service:.4f} |" for member, service in told["service"].items()]
        heads = ("member", "class", "outcome", "count", "p50", "p99", "max (ms)")
        lines += ["", f"| {' | '.join(heads)} |", "|" + " --- |" * len(heads)]
        for row in told["outcomes"]:
            ms = [f"{row['ms'][key]:.2f}" for key in ("p50", "p99", "max")]
            cells = (row["member"] or "-", row["class"], row["outcome"], row["count"], *ms)
            lines.append(f"| {' | '.join(map(str, cells))} |")
        lines += ["", f"Own lag: {told['lag_ms']}.  Until the target had taken a request: {told['reach_ms']}."]
        if told["troubles"]:
            lines.append(f"Kept from being sent: {told['troubles']}.")
        return "\n".join(lines) + "\n"

    def write(self, folder: Path) -> None:
        """All of it into a folder: plan, result, table, histograms and summary."""
        folder.mkdir(parents=True, exist_ok=True)
        about = {"version": __version__, "python": platform.python_version(), "plan": msgspec.to_builtins(self.plan)}
        (folder / "plan.json").write_text(json.dumps(about, indent=1) + "\n")
        (folder / "result.json").write_text(json.dumps(self.told(), indent=1) + "\n")
        (folder / "intervals.csv").write_text(self.table())
        (folder / "summary.md").write_text(self.summary())
        lines = [
            json.dumps({"member": m, "class": c, "outcome": o, "hdr": found.encode().decode()})
            for (m, c, o), found in sorted(self.latency.items())
        ]
        (folder / "histograms.jsonl").write_text("\n".join(lines) + "\n")
