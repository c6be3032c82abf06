"""Agreed configuration in virtual time, from seeds: how soon it is in force everywhere, and what that costs.

    python -m benchmarks.distribution.virtual [--nodes 9 60 200] [--seeds 5] [--json] [--keep FILE]
    python -m benchmarks.distribution.virtual --deaths [--nodes 60]         # between any two steps
    python -m benchmarks.distribution.virtual --day [--nodes 60] [--seed 1] [--share 1.0] [--profile]
    python -m benchmarks.distribution.virtual --stories 200                 # drawn stories, sound and flawed forms
    python -m benchmarks.distribution.virtual --cost [--nodes 9 60 200]     # CPU and bytes by role, memory of the state

Scenarios are played by the tree and by two baselines (`--ways`).  `--keep` puts the results into a JSON file under
"virtual", beside what is there.  Ends with 1 where the checker found a fault in the sound form, or a change was not in
force everywhere within the bound where it should have been, or the worst instance is beyond the budget.
"""

from __future__ import annotations

import argparse
import cProfile
import json
import platform
import pstats
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.distribution.cost import CostReport, measure_cost
from benchmarks.distribution.day import DayReport, play_day
from benchmarks.distribution.scenarios import SCENARIOS, DeathRow, Measured, Way, deaths_at_steps, over_seeds
from benchmarks.distribution.stories import FORMS, SOUND, FormReport, stories
from benchmarks.distribution.times import BOUND

PROFILE_LINES = 25
WAYS = {way.name.lower().replace("_", "-"): way for way in Way}


class Outcome(msgspec.Struct, frozen=True):
    """What a command came to: a section of the results, and whether all is as it has to be."""

    section: str
    found: Any
    fine: bool


def played_scenarios(asked: argparse.Namespace) -> Outcome:
    """Each scenario at each size, by each way."""
    found: dict[str, dict[str, dict[str, Any]]] = {}
    fine = True
    for way in asked.ways:
        for size in asked.nodes:
            for name in asked.scenarios:
                row = over_seeds(name, size, asked.seeds, WAYS[way])
                found.setdefault(WAYS[way].value, {}).setdefault(str(size), {})[name] = msgspec.to_builtins(row)
                _tell(f"{way}, {size}, {name}", row)
                fine = fine and (WAYS[way] is not Way.TREE or _fine_scenario(row))
    return Outcome("scenarios", found, fine)


def _fine_scenario(row: Measured) -> bool:
    return not row.faults and row.everywhere.beyond == 0 and row.returned.beyond == 0


def played_deaths(asked: argparse.Namespace) -> Outcome:
    """Voters and relays die at each step."""
    found: dict[str, Any] = {}
    fine = True
    for size in asked.nodes:
        rows, broken = deaths_at_steps(size, asked.seeds)
        for row in rows:
            _tell(str(size), row)
        found[str(size)] = {"rows": msgspec.to_builtins(rows), "faults": broken, "seeds": asked.seeds}
        fine = fine and not broken and all(_fine_deaths(row) for row in rows)
    return Outcome("deaths between steps", found, fine)


def _fine_deaths(row: DeathRow) -> bool:
    return row.everywhere.beyond == 0 and row.returned.beyond == 0


def played_day(asked: argparse.Namespace) -> Outcome:
    """One day."""
    report = play_day(asked.nodes[0], asked.seed, asked.share)
    _tell("day", report)
    key = f"{report.instances} instances, seed {report.seed}, {report.share} of a day"
    return Outcome("days", {key: msgspec.to_builtins(report)}, _fine_day(report))


def _fine_day(report: DayReport) -> bool:
    late = report.agreed - report.within_bound + report.returned.beyond
    return not report.faults and not report.behind and late == 0


def played_stories(asked: argparse.Namespace) -> Outcome:
    """Drawn stories of the sound and the flawed forms."""
    reports: dict[str, FormReport] = {}
    for form in asked.forms:
        reports[form] = stories(form, range(asked.seed, asked.seed + asked.stories))
        _tell("stories", reports[form])
    return Outcome("stories", msgspec.to_builtins(reports), all(_fine_form(report) for report in reports.values()))


def _fine_form(report: FormReport) -> bool:
    return (report.found == 0) if report.form == SOUND else (report.found > 0)


def played_cost(asked: argparse.Namespace) -> Outcome:
    """What the machine costs by role, at each size."""
    reports = {str(size): measure_cost(size, asked.seed) for size in asked.nodes}
    for report in reports.values():
        _tell("cost", report)
    return Outcome("cost", msgspec.to_builtins(reports), all(_fine_cost(report) for report in reports.values()))


def _fine_cost(report: CostReport) -> bool:
    return all(row.within_budget for row in report.rows.values())


def _tell(told: str, row: msgspec.Struct) -> None:
    print(told, msgspec.json.encode(row).decode(), file=sys.stderr, flush=True)


def keep(path: Path, outcome: Outcome) -> None:
    """Put a section into the file of results; sections and keys that it does not have stay."""
    results: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    virtual = results.setdefault("virtual", {})
    virtual["bound"] = BOUND
    virtual["python"] = platform.python_version()
    if isinstance(outcome.found, Mapping):
        _merge(virtual.setdefault(outcome.section, {}), outcome.found)
    else:
        virtual[outcome.section] = outcome.found
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(results, indent=1) + "\n")


def _merge(into: dict[str, Any], found: Mapping[str, Any]) -> None:
    for key, value in found.items():
        if isinstance(value, Mapping) and isinstance(into.get(key), dict) and key not in SCENARIOS:
            _merge(into[key], value)
        else:
            into[key] = value


def _profiled(play: Callable[[argparse.Namespace], Outcome], asked: argparse.Namespace) -> Outcome:
    profile = cProfile.Profile()
    outcome = profile.runcall(play, asked)
    pstats.Stats(profile, stream=sys.stderr).sort_stats("tottime").print_stats(PROFILE_LINES)
    return outcome


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--nodes", type=int, nargs="+")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ways", nargs="+", choices=sorted(WAYS), default=sorted(WAYS, reverse=True))
    parser.add_argument("--scenarios", nargs="+", choices=list(SCENARIOS), default=list(SCENARIOS))
    parser.add_argument("--deaths", action="store_true")
    parser.add_argument("--day", action="store_true")
    parser.add_argument("--share", type=float, default=1.0)
    parser.add_argument("--stories", type=int, default=0)
    parser.add_argument("--forms", nargs="+", choices=list(FORMS), default=list(FORMS))
    parser.add_argument("--cost", action="store_true")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--keep", type=Path)
    asked = parser.parse_args()
    if asked.nodes is None:
        asked.nodes = [60] if asked.day or asked.deaths else [9, 60, 200]
    return asked


def main() -> int:
    asked = _read_arguments()
    play = played_scenarios
    if asked.day:
        play = played_day
    elif asked.deaths:
        play = played_deaths
    elif asked.cost:
        play = played_cost
    elif asked.stories:
        play = played_stories
    outcome = _profiled(play, asked) if asked.profile else play(asked)
    if asked.keep:
        keep(asked.keep, outcome)
    print(json.dumps({outcome.section: outcome.found}, indent=None if asked.json else 1))
    return 0 if outcome.fine else 1


if __name__ == "__main__":
    sys.exit(main())
