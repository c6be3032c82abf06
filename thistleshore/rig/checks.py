"""Judges of a run's record.  They know nothing of the program's code: only what workers, clients and the rig saw."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from thistleshore.rig.truth import Row, of

WINDOW = 7.5  # s in which a keyed job must not run twice
DRAIN = 3.0  # s after which nothing new goes to a host that was taken out
STARTS = 10.0  # s within which a process that was started again serves
SLACK = 0.25  # s that a datagram, a line and a scheduler may take beside


class Finding(NamedTuple):
    """What broke a check, and when."""

    check: str
    t: float
    told: str


def answers(rows: Sequence[Row]) -> list[Finding]:
    """Each try has one final answer; none only where its process died, was stopped or was cut off meanwhile."""
    found, asked, ended = [], {}, defaultdict(list)
    for row in of(rows, "asked", "answered", "abandoned"):
        if row["what"] == "asked":
            asked[row["job"]] = row
        else:
            ended[row["job"]].append(row)
    excused = _excused(rows)
    for job, first in asked.items():
        ends = ended[job]
        answered = [row for row in ends if row["what"] == "answered"]
        if len(answered) > 1:
            found.append(Finding("answers", answered[1]["t"], f"{job} has {len(answered)} answers"))
        if not answered:
            until = ends[-1]["t"] if ends else rows[-1]["t"]
            if not any(who == first["to"] and a <= until and first["t"] <= b for who, a, b in excused):
                found.append(Finding("answers", first["t"], f"{job} at {first['to']} has no answer"))
    return found


def _excused(rows: Sequence[Row]) -> list[tuple[str, float, float]]:
    """When a process could not answer by no fault of its own: it was killed, stopped, or its clients were cut off."""
    found = []
    answered = defaultdict(list)
    for row in of(rows, "answered"):
        answered[row.get("to", "")].append(row["t"])
    for row in of(rows, "fault"):
        if row["kind"] in ("stop", "hog"):
            found += [(who, row["t"], row["until"] + 2.0) for who in row["who"]]
        if row["kind"] in ("kill", "restart", "term"):
            for who in row["who"]:  # it has to start again, which takes a busy machine a while
                again = next((t for t in answered[who] if t > row["until"]), row["until"])
                found.append((who, row["t"], min(max(again, row["until"] + 2.0), row["until"] + STARTS)))
        if row["kind"] in ("reset", "cut", "silence", "delay") and "load" in (*row["who"], *row["to"]):
            found += [(who, row["t"], row["until"] + 2.0) for who in (*row["who"], *row["to"])]
    return found


def keyed(rows: Sequence[Row], window: float = WINDOW) -> list[Finding]:
    """No keyed job runs twice within its window."""
    found, last = [], dict[str, Row]()
    for row in of(rows, "job"):
        if row["key"]:
            before = last.get(row["key"])
            if before is not None and row["t"] - before["t"] < window:
                after = row["t"] - before["t"]
                told = f"{row['key']} ran at {before['worker']} and {after:.3f} s later at {row['worker']}"
                found.append(Finding("keyed", row["t"], told))
            last[row["key"]] = row
    return found


def drained(rows: Sequence[Row]) -> list[Finding]:
    """Nothing new goes to a worker from 3 s after it was taken out until it is called back."""
    found = []
    for row in of(rows, "fault"):
        if row["kind"] == "detach":
            for worker in row["who"]:
                found += [
                    Finding("drained", sent["t"], f"{sent['job']} was sent to {worker} by {sent['by']} "
                                                  f"{sent['t'] - row['t']:.2f} s after it was taken out")
                    for sent in of(rows, "sent")
                    if sent["worker"] == worker and row["t"] + DRAIN + SLACK < sent["t"] < row["until"]
                ]  # fmt: skip
    return found


def settled(rows: Sequence[Row]) -> list[Finding]:
    """After each time that the rig waited for it, all that lived told the same view, and it was the truth."""
    return [Finding("settled", row["t"], f"not within {row['bound']:.2f} s: {row['told']}")
            for row in of(rows, "settled") if row["took"] is None]  # fmt: skip


def living(rows: Sequence[Row]) -> list[Finding]:
    """In the last word of each process, before any is told to end, no live process is dead."""
    alive, last = set[str](), dict[str, Row]()
    for row in of(rows, "view", "alive"):
        if row["what"] == "alive":
            alive = set(row["names"])
            break
        last[row["by"]] = row
    return [Finding("living", row["t"], f"{by} holds {member['name']} for {member['state']}")
            for by, row in last.items() if row["self"] in alive for member in row["members"]
            if member["state"] in ("dead", "left") and member["name"] in alive]  # fmt: skip


def limited(rows: Sequence[Row]) -> list[Finding]:
    """By the fleet's own doing never more dispatchers are out than the limit, by who answered PING with yes."""
    limit = next((row["limit"] for row in of(rows, "limit")), None)
    if limit is None:
        return []
    found, out, served = [], set[str](), set[str]()
    for row in of(rows, "serves", "began"):
        if row["what"] == "began":
            served.discard(row["name"])
        elif row["yes"]:
            out.discard(row["name"])
            served.add(row["name"])
        elif row["own"] and row["name"] in served:  # one that starts is no more out than before
            out.add(row["name"])
            if len(out) > limit:
                found.append(Finding("limited", row["t"], f"{', '.join(sorted(out))} are out, and {limit} may be"))
    return found


def clean(rows: Sequence[Row]) -> list[Finding]:
    """A process that was told to end by SIGTERM ends with status 0, in time."""
    return [Finding("clean", row["t"], f"{row['name']} ended with {row['status']}")
            for row in of(rows, "exit") if row["asked"] and row["status"] != 0]  # fmt: skip


CHECKS: Mapping[str, Callable[[Sequence[Row]], list[Finding]]] = {
    "answers": answers, "keyed": keyed, "drained": drained, "settled": settled, "living": living, "clean": clean,
    "limited": limited,
}  # fmt: skip


def judge(rows: Sequence[Row], names: Iterable[str] = CHECKS) -> list[Finding]:
    """Everything that breaks a check, by time."""
    return sorted((finding for name in names for finding in CHECKS[name](rows)), key=lambda found: found.t)


def served(rows: Sequence[Row]) -> dict[str, Any]:
    """How many tries were asked, answered 200, refused, answered otherwise and abandoned."""
    told = [row["told"] for row in of(rows, "answered")]
    return {"asked": len(of(rows, "asked")), "served": told.count("200"),
            "refused": sum(told.count(status) for status in ("429", "503")),
            "otherwise": sum(status not in ("200", "429", "503") for status in told),
            "abandoned": len(of(rows, "abandoned"))}  # fmt: skip
