"""`thistleshore config`: push a configuration to the whole fleet, follow it, and take it back."""

from __future__ import annotations

import base64
import os
import time
from pathlib import Path
from typing import Any, NoReturn

import click

from thistleshore.admin import codec
from thistleshore.cli.admin import address_of, ask_at, told
from thistleshore.cli.fleet import CONFIG, DONE, LATE, NO_MAJORITY, REFUSED
from thistleshore.addresses import Address
from thistleshore.cli.shared import JSON, echo_json, refuse
from thistleshore.distribution.model import MAX_BODY_BYTES, digest_of

POLL = 0.3  # s between two questions of --wait
ANSWER_WITHIN = 12.0  # s for a push: its check, its deposit and the rounds of the register
NO_ANSWER = 2  # exit status, as that of the other commands
SOURCE = "configuration"  # what a member calls the body that it was brought
PIECE = 3000  # characters of a body that one call carries
STATUSES = {"done": DONE, "refused": REFUSED, "no-majority": NO_MAJORITY}

SOURCES = {
    "fleet": "what the fleet agrees on",
    "disk": "the version on its disk, which no majority has confirmed since it started",
    "file": "its own file alone",
}

AGAINST = click.option(
    "--against",
    type=click.IntRange(min=0),
    default=None,
    metavar="VERSION",
    help="Refuse unless this is still the newest version; 0: none was pushed yet.",
)
REASON = click.option("--for", "reason", default="", help="Why; it is kept in the history.")
WAIT = click.option(
    "--wait",
    type=click.FloatRange(min=0.0),
    default=None,
    metavar="SECONDS",
    help="Wait so long until every member has it in force.",
)


@click.group()
def command() -> None:
    """Push a configuration to the fleet, follow it, and take it back.

    Exit status: 0 agreed (with --wait: in force everywhere), 2 no answer, 3 refused, 4 no majority, 5 agreed and not
    in force everywhere in time.
    """


@command.command()
@click.argument("body", metavar="FILE", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@AGAINST
@REASON
@WAIT
@CONFIG
@JSON
def push(body: Path, against: int | None, reason: str, wait: float | None, file: str, as_json: bool) -> None:
    """Have the fleet agree on the tables of FILE, which replace those of every member's own file."""
    data = body.read_bytes()
    if len(data) > MAX_BODY_BYTES:
        refuse(f"{body}: {len(data)} bytes, and at most {MAX_BODY_BYTES} are allowed", REFUSED)
    member = address_of(file, None)
    upload = _upload(member, data)
    found = _call(member, "config-push", upload, digest_of(data), _against(against), *reason.split())
    if "problems" in found:
        found["problems"] = [_with_path(problem, body) for problem in found["problems"]]
    _finish(found, wait, member, as_json)


@command.command()
@click.argument("version", type=click.IntRange(min=1))
@AGAINST
@REASON
@WAIT
@CONFIG
@JSON
def rollback(version: int, against: int | None, reason: str, wait: float | None, file: str, as_json: bool) -> None:
    """Have the fleet agree on the content of an earlier VERSION, under a new number."""
    member = address_of(file, None)
    found = _call(member, "config-rollback", str(version), _against(against), *reason.split())
    _finish(found, wait, member, as_json)


@command.command()
@CONFIG
@JSON
def status(file: str, as_json: bool) -> None:
    """The newest version, which one is in force at the member that is asked, and how far each zone is."""
    found = _call(address_of(file, None), "config-status")
    if as_json:
        echo_json(found)
        return
    word = "agreed now" if found["agreed"] else "as last known: no majority says so now"
    click.echo(f"version {found['number']}, {word}; in force here: {found['in_force_here']}")
    click.echo(f"this member serves from {SOURCES[found['serving_from']]}")
    click.echo("in force everywhere" if found["everywhere"] else "not known to be in force everywhere")
    for zone in found["zones"]:
        click.echo(f"  {zone['zone'] or '-'}: {zone['applied']} of {zone['members']}")
    for line in laggards(found):
        click.echo(f"  {line}")


@command.command()
@CONFIG
@JSON
def history(file: str, as_json: bool) -> None:
    """The versions that were agreed, the oldest first: who, when, why, and what each restored."""
    found = _call(address_of(file, None), "config-history")
    if as_json:
        echo_json(found)
        return
    for entry in found["entries"]:
        click.echo(_written(entry))


def _upload(member: Address, data: bytes) -> str:
    """Bring a body to the member in pieces; the name of the upload."""
    import zstandard

    upload = os.urandom(8).hex()
    text = base64.urlsafe_b64encode(zstandard.ZstdCompressor(level=9).compress(data)).decode()
    pieces = [text[start : start + PIECE] for start in range(0, len(text), PIECE)]
    for index, piece in enumerate(pieces):
        found = _call(member, "config-piece", upload, str(index), str(len(pieces)), piece)
        if found["status"] != "done":
            refuse(f"refused: {found['told']}", REFUSED)
    return upload


def _with_path(problem: str, body: Path) -> str:
    """A problem of the pushed file with its path."""
    source, _, text = problem.partition(": ")
    return f"{body}: {text}" if source == SOURCE else problem


def _against(version: int | None) -> str:
    return "-" if version is None else str(version)


def _call(member: Address, *words: str) -> Any:
    """The answer to one call; ends with status 1 where it is no, and with 2 where there is none."""
    return told(ask_at(member, codec.Call("FLEET", words[0], " ".join(words[1:])), ANSWER_WITHIN))


def _finish(found: Any, wait: float | None, member: Address, as_json: bool) -> NoReturn:
    """Tell what came of a change, after waiting for it where that is asked for, and end."""
    if found["status"] != "done":
        _fail(found, as_json)
    number = found["number"]
    if wait is None:
        _say(found, as_json, f"version {number} is agreed")
        raise SystemExit(DONE)
    spread = _wait(number, wait, member)
    found = {**found, "spread": spread}
    if spread["everywhere"]:
        _say(found, as_json, f"version {number} is in force everywhere")
        raise SystemExit(DONE)
    lines = [f"version {number} is agreed and not in force everywhere", *(f"  {line}" for line in laggards(spread))]
    _say(found, as_json, "\n".join(lines), err=True)
    raise SystemExit(LATE)


def _wait(number: int, seconds: float, member: Address) -> Any:
    """What the member says of the version, once it is in force everywhere or the time is over."""
    until = time.monotonic() + seconds
    try:
        while True:
            spread = _call(member, "config-status", str(number))
            if spread["everywhere"] or time.monotonic() + POLL > until:
                return spread
            time.sleep(POLL)
    except SystemExit:
        click.echo(f"version {number} is agreed; how far it is cannot be told", err=True)
        raise SystemExit(NO_ANSWER) from None


def _fail(found: Any, as_json: bool) -> NoReturn:
    if as_json:
        echo_json(found)
    else:
        click.echo(f"{found['status']}: {found.get('told', '')}", err=True)
        for problem in found.get("problems", []):
            click.echo(f"  {problem}", err=True)
        for entry in found.get("entries", []):
            click.echo(f"  {_written(entry)}", err=True)
    raise SystemExit(STATUSES.get(found["status"], REFUSED))


def _say(found: Any, as_json: bool, text: str, err: bool = False) -> None:
    if as_json:
        echo_json(found)
    else:
        click.echo(text, err=err)


def laggards(found: Any) -> list[str]:
    """Who is not known to have the version in force, a line each, by zone."""
    lines = []
    for zone in found["zones"]:
        place = zone["zone"] or "-"
        for row in zone["behind"]:
            why = f", refused {row['refused']}: {row['reason']}" if row["refused"] else ""
            lines.append(f"{place}: {row['name']} behind, at {row['applied']}{why}")
        lines += [f"{place}: {name} unknown: no fresh report" for name in zone["unknown"]]
    if found["unlisted"]:
        lines.append(f"{found['unlisted']} more, known to others and not to the member that was asked")
    return lines


def _written(entry: Any) -> str:
    """A version of the history on a line."""
    when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry["when"]))
    restored = f"restores {entry['restored']}, " if entry["restored"] else ""
    content = f"{entry['digest'][:12]}, {entry['size']} bytes"
    return f"{entry['number']} {when} {content}: {restored}{entry['reason'] or 'no reason given'} (by {entry['by']})"
