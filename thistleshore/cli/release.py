"""`thistleshore release`: another version for the dispatchers, wave by wave, asked of any instance."""

from __future__ import annotations

import json
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

import click

from thistleshore.cli.fleet import CONFIG, LATE, REASON, _agreed, _end
from thistleshore.cli.shared import JSON, echo_json, refuse

LOOK = 0.5  # s between two questions of --watch and --wait
OVER = ("done", "undone", "halted")


@click.group()
def command() -> None:
    """Bring another version to the dispatchers in waves; halt it, take it back.

    Exit status: 0 done, 3 refused, 4 no majority, 5 not over in time.
    """


@command.command()
@click.argument("plan", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@CONFIG
@JSON
@click.option("--wait", type=float, default=None, metavar="SECONDS", help="Wait so long for its outcome.")
def start(plan: Path, file: str, as_json: bool, wait: float | None) -> None:
    """Start the release of PLAN, a TOML file."""
    from thistleshore.releases import waves

    try:
        tables = tomllib.loads(plan.read_text())
        waves.read_plan(tables)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, waves.PlanError) as problem:
        refuse(f"{plan}: {problem}", 2)
    found = _agreed(file, "start", json.dumps(tables, separators=(",", ":")))
    if found["status"] != "done" or wait is None:
        return _end(found, as_json)
    until = time.monotonic() + wait
    while (told := _agreed(file, "release"))["release"] is None or told["release"]["state"] not in OVER:
        if time.monotonic() > until:
            _show(told, as_json)
            raise SystemExit(LATE)
        time.sleep(LOOK)
    _show(told, as_json)
    raise SystemExit(0 if told["release"]["state"] == "done" else 3)


@command.command()
@CONFIG
@JSON
@click.option("--watch", is_flag=True, help="Print it whenever it has changed, until it is over.")
def status(file: str, as_json: bool, watch: bool) -> None:
    """How far the release is, what holds it, and who runs what."""
    before: Any = None
    while True:
        told = _agreed(file, "release")
        if told != before:
            _show(told, as_json)
        before = told
        if not watch or told["release"] is None or told["release"]["state"] in OVER:
            return
        time.sleep(LOOK)


def _show(told: dict[str, Any], as_json: bool) -> None:
    if as_json:
        echo_json(told)
        return
    release = told["release"]
    word = "" if told["agreed"] else " (as last known: no majority says so now)"
    if release is None:
        click.echo(f"no release{word}")
        return
    wave = f"wave {release['wave'] + 1} of {len(release['waves'])}"
    click.echo(
        f"release {release['number']} of {release['version']['name']}: {release['state']}, {wave}{word}; "
        f"{release['told'] or told['held']}"
    )
    if told["gate"] is not None:
        gate = told["gate"]
        click.echo(f"gate: {gate['told']} {gate['stratum']}".rstrip())
    for name, version in told["runs"].items():
        out = ", out" if name in told["out"] else ""
        click.echo(f"  {name}: {version or 'its first version'}{out}")


@command.command()
@CONFIG
@click.option("--seconds", type=float, default=None, help="End after so long; without it, once the release is over.")
def carry(file: str, seconds: float | None) -> None:
    """Bring the version to each ticket worker that the release has taken out: by the plan's `act`, or by hand.

    It can be ended and begun again, on any machine.  What was begun and not told of is done again.  A command that
    ends with another status than 0, or a no at the prompt, halts the release.

    An instance hears of a change a little after the one that was asked for it.  So this ends only on an answer that
    cannot be from before it began: 2.5 s or more after that.
    """
    began_at = time.monotonic()
    until = None if seconds is None else began_at + seconds
    under_way = False
    while until is None or time.monotonic() < until:
        current = time.monotonic() > began_at + _answer_age()
        told = _agreed(file, "release")
        release = told["release"]
        under_way = release is not None and release["kind"] == "host"
        over = under_way and release["state"] in OVER and not told["hosts"]
        if current and not under_way:
            break
        if current and over and told["agreed"]:
            return
        for row in told["hosts"] if under_way else ():
            if told["agreed"] and row["state"] == "out":
                _carry(file, row, release["act"], told["runs"][row["host"]])
        time.sleep(LOOK)
    if not under_way:
        refuse("no release of ticket workers is under way", 3)


def _answer_age() -> float:
    """Return the seconds by which what an instance tells as agreed can be older than its answer."""
    from thistleshore.releases import carrier

    return carrier.MAJORITY_VALIDITY + carrier.ANSWER_TIMEOUT


def _carry(file: str, row: dict[str, Any], act: list[str], has: str) -> None:
    host, version = row["host"], row["version"]
    if not row["begun"] and _agreed(file, "host-takes", host, str(row["place"]))["status"] != "done":
        return  # it was halted meanwhile
    if act:
        words = [word.replace("{host}", host).replace("{version}", version) for word in act]
        click.echo(f"{host}: {' '.join(words)}")
        try:
            status = subprocess.run(words, stdin=subprocess.DEVNULL, check=False).returncode
            why = f"its command ended with status {status}"
        except OSError as problem:
            status, why = 1, f"its command cannot be run: {problem.strerror}"
    else:
        fine = click.confirm(f"{host}: bring it to version {version or 'its first version'}; is it there and sound?")
        status, why = 0 if fine else 1, "an operator says no"
    words = ["host-arrived", host, f"-{version}"] if status == 0 else ["host-failed", host, f"-{has}", *why.split()]
    while _agreed(file, *words)["status"] == "no-majority":
        time.sleep(LOOK)


@command.command()
@CONFIG
@JSON
def history(file: str, as_json: bool) -> None:
    """Who changed what, when and why: the last changes, the oldest first."""
    acts = _agreed(file, "release").get("history", [])
    if as_json:
        echo_json(acts)
        return
    for act in acts:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(act["when"]))
        click.echo(f"{act['number']} {when} {act['what']} {act['name']} {act['reason']} (by {act['by']})")


def _turn(word: str, told: str) -> None:
    @command.command(word, help=told)
    @REASON
    @CONFIG
    @JSON
    def turn(reason: str, file: str, as_json: bool) -> None:
        _end(_agreed(file, word, *reason.split()), as_json)


_turn("halt", "Nothing new goes out; who is midway comes back to the version it had.")
_turn("resume", "Go on with what was halted.")
_turn("undo", "Put back what was released, the newest wave first, under the same limits.")
