"""Judges of a run's record.  They know nothing of the program's code: only what workers, clients and the rig saw."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from math import inf
from typing import Any, NamedTuple

from thistleshore.rig.truth import Row, of

WINDOW = 7.5  # s in which a keyed job must not run twice
DRAIN = 3.0  # s after which nothing new goes to a host that was taken out
STARTS = 10.0  # s within which a process that was started again serves
SLACK = 0.25  # s that a datagram, a line and a scheduler may take beside
IN_TRANSIT = 0.5  # s that a report of a version in force may be on its way, by a relay and with a delay of the rig


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
                    Finding(
                        "drained",
                        sent["t"],
                        f"{sent['job']} was sent to {worker} by {sent['by']} "
                        f"{sent['t'] - row['t']:.2f} s after it was taken out",
                    )
                    for sent in of(rows, "sent")
                    if sent["worker"] == worker and row["t"] + DRAIN + SLACK < sent["t"] < row["until"]
                ]
    return found


def settled(rows: Sequence[Row]) -> list[Finding]:
    """After each time that the rig waited for it, all that lived told the same view, and it was the truth."""
    return [
        Finding("settled", row["t"], f"not within {row['bound']:.2f} s: {row['told']}")
        for row in of(rows, "settled")
        if row["took"] is None
    ]


def living(rows: Sequence[Row]) -> list[Finding]:
    """In the last word of each process, before any is told to end, no live process is dead."""
    alive, last = set[str](), dict[str, Row]()
    for row in of(rows, "view", "alive"):
        if row["what"] == "alive":
            alive = set(row["names"])
            break
        last[row["by"]] = row
    return [
        Finding("living", row["t"], f"{by} holds {member['name']} for {member['state']}")
        for by, row in last.items()
        if row["self"] in alive
        for member in row["members"]
        if member["state"] in ("dead", "left") and member["name"] in alive
    ]


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
    return [
        Finding("clean", row["t"], f"{row['name']} ended with {row['status']}")
        for row in of(rows, "exit")
        if row["asked"] and row["status"] != 0
    ]


# -- agreed configuration: rows of `thistleshore.rig.configuration`


def one_content(rows: Sequence[Row]) -> list[Finding]:
    """Never two digests under one number, over all that any process has ever told."""
    found, known = [], dict[int, tuple[str, str]]()
    for row in of(rows, "push-answer", "config", "history"):
        for number, digest in _versions(row):
            first, by = known.setdefault(number, (digest, row["by"]))
            if digest != first:
                told = f"version {number} is {first} by {by} and {digest} by {row['by']}"
                found.append(Finding("one_content", row["t"], told))
    return found


def _versions(row: Row) -> list[tuple[int, str]]:
    """The numbers and digests that a row tells of."""
    if row["what"] == "history":
        return [(entry["number"], entry["digest"]) for entry in row["entries"]]
    if row["what"] == "push-answer" and row["status"] != "done":
        return []
    return [(row["number"], row["digest"])] if row["number"] else []


def forward(rows: Sequence[Row]) -> list[Finding]:
    """The version in force at a process never goes down, over all its lives."""
    found = []
    told: dict[str, list[Row]] = defaultdict(list)
    for row in of(rows, "config"):
        before = [earlier["in_force_here"] for earlier in told[row["by"]] if earlier["t"] <= row["asked"]]
        if row["in_force_here"] < max(before, default=0):
            text = f"{row['by']} has {row['in_force_here']} in force after {max(before)}"
            found.append(Finding("forward", row["t"], text))
        told[row["by"]].append(row)
    return found


def kept(rows: Sequence[Row]) -> list[Finding]:
    """What was answered with done stays in the history, and at the end all that live have the last version in force."""
    found = []
    told_of = of(rows, "push-answer", "config", "history")
    last = max((number for row in told_of for number, _ in _versions(row)), default=0)
    histories = of(rows, "history")
    for answer in of(rows, "push-answer"):
        if answer["status"] == "done":
            later = [row["entries"] for row in histories if row["t"] >= answer["t"]]
            if not any(_entry(entries, answer["number"], answer["digest"]) for entries in later):
                told = f"version {answer['number']}, done by {answer['by']}, is in no later history"
                found.append(Finding("kept", answer["t"], told))
    words = {row["by"]: row for row in of(rows, "config")}
    for ending in of(rows, "alive"):
        for name in ending["names"]:
            in_force = words[name]["in_force_here"] if name in words else 0
            if in_force != last:
                told = f"{name} ends with {in_force} in force, and {last} is agreed"
                found.append(Finding("kept", ending["t"], told))
    return found


def _entry(entries: Sequence[Row], number: int, digest: str) -> bool:
    return any(entry["number"] == number and entry["digest"] == digest for entry in entries)


def refusals(rows: Sequence[Row]) -> list[Finding]:
    """What was refused, or is faulty, is never agreed; no push is agreed twice."""
    found = []
    pushes = [row for row in of(rows, "push-answer") if row["kind"] == "push"]
    wrong = {row["sent"]: "was refused" for row in pushes if row["status"] == "refused"}
    wrong |= {row["digest"]: "is faulty" for row in of(rows, "push") if row["faulty"]}
    numbers = dict[str, int]()
    for row in of(rows, "history"):
        for entry in row["entries"]:
            number, digest = entry["number"], entry["digest"]
            if digest in wrong:
                found.append(Finding("refusals", row["t"], f"version {number} {wrong.pop(digest)}: {digest}"))
            if not entry["restored"] and numbers.setdefault(digest, number) != number:
                told = f"one push is agreed as {numbers[digest]} and as {number}: {digest}"
                found.append(Finding("refusals", row["t"], told))
    return found


def honest(rows: Sequence[Row]) -> list[Finding]:
    """Nobody is counted as having a version in force who has not, or who could not have said so lately."""
    fleet = next(iter(of(rows, "distribution")), None)
    if fleet is None:
        return []
    found, answers, silences = [], of(rows, "config"), _silences(rows, set(fleet["zones"]))
    for row in answers:
        since = row["asked"] - fleet["fresh"] - IN_TRANSIT
        unheard = {who for who, by, a, b in silences if by in ("", row["by"]) and a <= since and row["t"] <= b}
        later = [word for word in answers if word["asked"] >= row["t"]]
        without = {word["by"] for word in later if word["in_force_here"] < row["spread_of"]}
        wrong = _miscounted(row, fleet["zones"], unheard - {row["by"]}, without)
        found += [Finding("honest", row["t"], f"{row['by']} of version {row['spread_of']}: {told}") for told in wrong]
    return found


def _miscounted(row: Row, zones: Mapping[str, str], unheard: set[str], without: set[str]) -> list[str]:
    """What is wrong with the counts of one answer, where these could not be heard and these have not the version."""
    told = []
    cannot = unheard | without
    for zone in row["zones"]:
        members = {name for name, its in zones.items() if its == zone["zone"]}
        most = len(members - cannot)
        if zone["applied"] > most:
            told.append(f"{zone['zone']} counts {zone['applied']} and not {most}, without {sorted(members & cannot)}")
        behind = {member["name"] for member in zone["behind"]}
        if behind & unheard:
            told.append(f"{zone['zone']} has reports of {sorted(behind & unheard)}, which could not be heard")
    if row["everywhere"] and cannot:
        told.append(f"in force everywhere, and not so at {sorted(cannot)}")
    return told


def _silences(rows: Sequence[Row], names: set[str]) -> list[tuple[str, str, float, float]]:
    """Who could not be heard by whom ("" is anybody), and from when to when."""
    found, ended = [], dict[str, float]()
    for row in of(rows, "exit", "began"):
        if row["what"] == "exit":
            ended.setdefault(row["name"], row["t"])
        elif row["name"] in ended:
            found.append((row["name"], "", ended.pop(row["name"]), row["t"]))
    found += [(name, "", since, inf) for name, since in ended.items()]
    for row in of(rows, "fault"):
        if row["kind"] == "stop":
            found += [(who, "", row["t"], _goes_on(rows, who, row["t"])) for who in row["who"]]
        if row["kind"] in ("cut", "silence") and {*row["who"], *row["to"]} == names:  # else there is a way round
            found += [(who, to, row["t"], row["until"]) for who in row["who"] for to in row["to"]]
            if row.get("both"):
                found += [(to, who, row["t"], row["until"]) for who in row["who"] for to in row["to"]]
    return found


def _goes_on(rows: Sequence[Row], who: str, since: float) -> float:
    """When a process that was stopped goes on: at the end of any stop of it, or in its next life."""
    ends: list[float] = [row["until"] for row in of(rows, "fault") if row["kind"] == "stop" and who in row["who"]]
    begins: list[float] = [row["t"] for row in of(rows, "began") if row["name"] == who]
    return min(time for time in (*ends, *begins, inf) if time > since)


CHECKS: Mapping[str, Callable[[Sequence[Row]], list[Finding]]] = {
    "answers": answers,
    "keyed": keyed,
    "drained": drained,
    "settled": settled,
    "living": living,
    "clean": clean,
    "limited": limited,
    "one_content": one_content,
    "forward": forward,
    "kept": kept,
    "refusals": refusals,
    "honest": honest,
}


def judge(rows: Sequence[Row], names: Iterable[str] = CHECKS) -> list[Finding]:
    """Everything that breaks a check, by time."""
    return sorted((finding for name in names for finding in CHECKS[name](rows)), key=lambda found: found.t)


def served(rows: Sequence[Row]) -> dict[str, Any]:
    """How many tries were asked, answered 200, refused, answered otherwise and abandoned."""
    told = [row["told"] for row in of(rows, "answered")]
    return {
        "asked": len(of(rows, "asked")),
        "served": told.count("200"),
        "refused": sum(told.count(status) for status in ("429", "503")),
        "otherwise": sum(status not in ("200", "429", "503") for status in told),
        "abandoned": len(of(rows, "abandoned")),
    }
