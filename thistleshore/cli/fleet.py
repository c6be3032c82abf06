"""`thistleshore fleet`: the view of the fleet, asked of one member over its admin interface."""

from __future__ import annotations

import json
import time
from typing import Any

import click

from thistleshore.admin import codec
from thistleshore.cli.admin import ask, told
from thistleshore.cli.shared import JSON, echo_json

LOOK = 0.3  # s between two questions of `watch`
CONFIG = click.option(
    "--config",
    "file",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The operator's file of the member that is asked; its [admin] says where.",
)


@click.group()
def command() -> None:
    """Show and follow the view of the fleet, as one member has it.

    Ends with status 0 where the answer is yes, 1 where it is no, and 2 where there is none.
    """


@command.command()
@CONFIG
@JSON
def members(file: str, as_json: bool) -> None:
    """Who is in the fleet, of which life, and how each serves."""
    found = told(ask(file, None, codec.Call("FLEET", "members")))
    if as_json:
        echo_json(found)
        return
    click.echo(
        f"{found['fleet']}, seen by {found['self']}: digest {found['digest']}, "
        f"{'a' if found['majority'] else 'NO'} majority"
    )
    for row in found["members"]:
        age = time.time() - row["since"]
        click.echo(
            f"{row['name']:<20} {row['state']:<8} {row['service']:<9} {row['zone']:<8} {row['address']:<22} "
            f"life {row['life']}.{row['incarnation']}, for {age:.1f} s"
        )


@command.command()
@CONFIG
@JSON
def status(file: str, as_json: bool) -> None:
    """Is the view settled, has it a majority, and how does this member fare?"""
    found = told(ask(file, None, codec.Call("FLEET", "status")))
    if as_json:
        echo_json(found)
        return
    for key, value in found.items():
        if isinstance(value, dict):
            click.echo(f"{key}: " + ", ".join(f"{name} {told_of(count)}" for name, count in value.items()))
        else:
            click.echo(f"{key}: {value}")


def told_of(value: Any) -> str:
    return " ".join(str(part) for part in value.values()) if isinstance(value, dict) else str(value)


@command.command()
@CONFIG
@JSON
@click.option("--seconds", type=float, default=None, help="End after so long; without it, at Ctrl-C.")
def watch(file: str, as_json: bool, seconds: float | None) -> None:
    """Print each event of the view as it comes, in order."""
    after, until = 0, None if seconds is None else time.monotonic() + seconds
    while until is None or time.monotonic() < until:
        for event in told(ask(file, None, codec.Call("FLEET", "events", str(after)))):
            after = event["number"]
            if as_json:
                echo_json(event)
            else:
                click.echo(
                    f"{event['what']:<10} {event['name']} life {event['life']}.{event['incarnation']} "
                    f"{event['told']}".rstrip()
                )
        time.sleep(LOOK)


@command.command()
@CONFIG
@JSON
def leave(file: str, as_json: bool) -> None:
    """Have the member leave the view; it goes on serving, and is in it again after a restart."""
    _done(told(ask(file, None, codec.Call("FLEET", "leave"))), as_json)


@command.command()
@click.argument("name")
@CONFIG
@JSON
def forget(name: str, file: str, as_json: bool) -> None:
    """Say that dead member NAME will not come back: nobody calls it, or counts it, any more."""
    _done(told(ask(file, None, codec.Call("FLEET", "forget", name))), as_json)


def _done(found: Any, as_json: bool) -> None:
    if as_json:
        echo_json(found)
    else:
        click.echo(told_of(found))


# -- who may be out, by agreement

DONE, REFUSED, NO_MAJORITY, LATE = 0, 3, 4, 5
REASON = click.option("--for", "reason", required=True, help="Why; it is kept in the history.")
WAIT = click.option("--wait", type=float, default=None, metavar="SECONDS", help="Wait so long until it is so.")
KIND = click.argument("kind", type=click.Choice(["dispatcher", "host"]))


def _agreed(file: str, *words: str) -> Any:
    """A call that the fleet has to agree on; ends with its status where it did not."""
    return told(ask(file, None, codec.Call("FLEET", words[0], " ".join(words[1:]))))


def _end(found: Any, as_json: bool, late: bool = False) -> None:
    status = {"done": DONE, "refused": REFUSED, "no-majority": NO_MAJORITY}.get(found["status"], REFUSED)
    if as_json:
        echo_json(found)
    elif found["status"] == "done":
        waits = f", waiting for {', '.join(found['waiting_for'])}" if found.get("waiting_for") else ""
        click.echo(f"done: {found.get('state', 'change')}{waits}")
    else:
        click.echo(f"{found['status']}: {found.get('told', '')}", err=True)
    raise SystemExit(LATE if late and status == DONE else status)


@command.command()
@KIND
@click.argument("name")
@REASON
@WAIT
@CONFIG
@JSON
def drain(kind: str, name: str, reason: str, wait: float | None, file: str, as_json: bool) -> None:
    """Ask for a place to be out for dispatcher or host NAME, and have it go out.

    Ends with status 0 where it has the place (with --wait: where it is out), 3 where a limit refuses it, 4 without a
    majority, and 5 where it is not out in time.
    """
    found = _agreed(file, "drain", kind, name, *reason.split())
    until = time.monotonic() + (wait or 0.0)
    while found["status"] == "done" and wait is not None and found["state"] != "out" and time.monotonic() < until:
        time.sleep(LOOK)
        rows = _agreed(file, "out")["places"]
        row = next((row for row in rows if row["kind"] == kind and row["name"] == name), None)
        state, late = (row["state"], row["waiting_for"]) if row is not None else ("back", [])
        found = {**found, "state": state, "waiting_for": late}
    _end(found, as_json, late=wait is not None and found.get("state") != "out")


@command.command("return")
@KIND
@click.argument("name")
@REASON
@CONFIG
@JSON
def give_up(kind: str, name: str, reason: str, file: str, as_json: bool) -> None:
    """Give the place of dispatcher or host NAME up: it is back, or never went.

    A dispatcher that serves again gives its place up itself.
    """
    _end(_agreed(file, "return", kind, name, *reason.split()), as_json)


@command.command()
@CONFIG
@JSON
def out(file: str, as_json: bool) -> None:
    """Who has a place to be out, for what, and how far; the limits, the voters, and the last changes."""
    found = _agreed(file, "out")
    if as_json:
        echo_json(found)
        return
    word = "agreed now" if found["agreed"] else "as last known: no majority says so now"
    click.echo(
        f"change {found['number']}, {word}; voters {', '.join(found['voters']) or 'none'}; "
        f"votes here: {found.get('votes_here')}"
    )
    for row in found["places"]:
        waits = f", waiting for {', '.join(row['waiting_for'])}" if row["waiting_for"] else ""
        click.echo(f"{row['kind']} {row['name']}: {row['state']}{waits}; {row['reason']} (by {row['by']})")
    for act in found.get("history", [])[-5:]:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(act["when"]))
        click.echo(f"  {act['number']} {when} {act['what']} {act['name']} {act['reason']} (by {act['by']})")


@command.command()
@CONFIG
@JSON
def begin(file: str, as_json: bool) -> None:
    """Begin the register, once, with all voters of the file up and none of them holding one."""
    _end(_agreed(file, "begin"), as_json)


@command.command()
@click.argument("name")
@CONFIG
@JSON
def voter(name: str, file: str, as_json: bool) -> None:
    """Take voter NAME in again, whose file was lost or cannot be used."""
    _end(_agreed(file, "voters", name), as_json)


@command.command()
@click.option("--dispatchers", help="At once: a number, or a share such as 20%.")
@click.option("--hosts", help="Of each service.")
@click.option("--hosts-a-zone", help="Of each service in each zone.")
@CONFIG
@JSON
def limits(dispatchers: str | None, hosts: str | None, hosts_a_zone: str | None, file: str, as_json: bool) -> None:
    """Set the limits of who may be out; those not named stay.  Nobody who is out is called back."""
    found = _agreed(file, "out").get("limits", {})
    for key, value in (("dispatchers", dispatchers), ("hosts", hosts), ("hosts_a_zone", hosts_a_zone)):
        if value is not None:
            found[key] = int(value) if value.isdigit() else value
    _end(_agreed(file, "limits", json.dumps(found, separators=(",", ":"))), as_json)
