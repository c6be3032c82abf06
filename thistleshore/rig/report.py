"""What a run came to, for people: a table in Markdown, and what each process believed of each other over time."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from thistleshore.rig.truth import Row, of, read

STATES = ("alive", "suspect", "dead", "left")
COLOURS = {"alive": "#7fbf7b", "suspect": "#fdc863", "dead": "#d6604d", "left": "#9e9ac8", "": "#eeeeee"}
SERVED_BIN = 0.5  # s


def beliefs(rows: Sequence[Row], end: float) -> dict[tuple[str, str], list[tuple[float, float, str]]]:
    """By who believes and of whom: from when to when which state."""
    found: dict[tuple[str, str], list[tuple[float, float, str]]] = defaultdict(list)
    now: dict[tuple[str, str], tuple[float, str]] = {}
    for row in of(rows, "view"):
        for member in row["members"]:
            pair = row["by"], member["name"]
            since, state = now.get(pair, (row["t"], member["state"]))
            if state != member["state"]:
                found[pair].append((since, row["t"], state))
                since = row["t"]
            now[pair] = since, member["state"]
    for pair, (since, state) in now.items():
        found[pair].append((since, end, state))
    return found


def table(summary: dict[str, Any], rows: Sequence[Row]) -> str:
    """The run in Markdown."""
    took = summary["took"]
    how = "NOT settled" if took is None else f"settled {took:.2f} s after the last of them"
    lines = [
        f"# {summary['world']}, seed {summary['seed']}",
        "",
        f"{summary['processes']} processes, {summary['faults']} faults; {how} (bound {summary['bound']:.2f} s).",
        "",
        "| from s | to s | fault | of | to | amount |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {row['t']:.2f} | {row['until']:.2f} | {row['kind']} | {' '.join(row['who'])} | "
        f"{' '.join(row['to'])} | {row['amount']:g} |"
        for row in of(rows, "fault")
    ]
    lines += [
        "",
        "| " + " | ".join(summary["served"]) + " |",
        "|" + " --- |" * len(summary["served"]),
        "| " + " | ".join(map(str, summary["served"].values())) + " |",
        "",
    ]
    if summary["findings"]:
        lines += ["| check | s | what |", "| --- | --- | --- |"]
        lines += [f"| {found['check']} | {found['t']:.2f} | {found['told']} |" for found in summary["findings"]]
    else:
        lines.append("Every check holds.")
    return "\n".join(lines) + "\n"


def chart(rows: Sequence[Row], file: Path) -> None:
    """Beliefs above, faults shaded, and the service below."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import patches, pyplot

    end = rows[-1]["t"] if rows else 1.0
    told = beliefs(rows, end)
    pairs = sorted(told)
    figure, (above, below) = pyplot.subplots(
        2, 1, sharex=True, figsize=(11, 2.5 + 0.16 * max(10, len(pairs))), height_ratios=(max(10, len(pairs)), 10)
    )
    for n, pair in enumerate(pairs):
        for since, until, state in told[pair]:
            above.barh(n, until - since, left=since, height=0.8, color=COLOURS[state])
    above.set_yticks(range(len(pairs)), [f"{by}: {of_whom}" for by, of_whom in pairs], fontsize=6)
    above.invert_yaxis()
    above.set_title("what each process believes of each member; faults shaded", fontsize=9)
    above.legend(
        handles=[patches.Rectangle((0, 0), 1, 1, color=COLOURS[state], label=state) for state in STATES],
        fontsize=7,
        loc="upper right",
        ncols=4,
    )
    for row in of(rows, "fault"):
        for axis in (above, below):
            axis.axvspan(row["t"], max(row["until"], row["t"] + 0.02), color="#4393c3", alpha=0.12)
        above.annotate(f"{row['kind']} {' '.join(row['who'])}", (row["t"], -0.6), fontsize=6, rotation=20)
    bins = [n * SERVED_BIN for n in range(int(end / SERVED_BIN) + 2)]
    for name, colour, wanted in (("served", "#1b7837", ("200",)), ("refused", "#b2182b", ("429", "503"))):
        times = [row["t"] for row in of(rows, "answered") if row["told"] in wanted]
        if times:
            below.hist(times, bins=bins, histtype="step", color=colour, label=name)
    below.set_xlabel("s")
    below.set_ylabel(f"answers in {SERVED_BIN:g} s", fontsize=7)
    if below.get_legend_handles_labels()[0]:
        below.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file, dpi=110)
    pyplot.close(figure)


def write(folder: Path) -> str:
    """`report.md` and `chart.png` of a run that lies in the folder; the table.  OSError, ValueError where none does."""
    summary, rows = json.loads((folder / "summary.json").read_text()), read(folder / "record.jsonl")
    text = table(summary, rows)
    (folder / "report.md").write_text(text + "\n![beliefs](chart.png)\n")
    chart(rows, folder / "chart.png")
    return text
