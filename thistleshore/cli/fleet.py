"""`thistleshore fleet`: the view of the fleet, asked of one member over its admin interface."""

from __future__ import annotations

import time
from typing import Any

import click

from thistleshore.admin import codec
from thistleshore.cli.admin import ask, told
from thistleshore.cli.shared import JSON, echo_json

LOOK = 0.3  # s between two questions of `watch`
CONFIG = click.option("--config", "file", required=True, type=click.Path(exists=True, dir_okay=False),
                      help="The operator's file of the member that is asked; its [admin] says where.")  # fmt: skip


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
    click.echo(f"{found['fleet']}, seen by {found['self']}: digest {found['digest']}, "
               f"{'a' if found['majority'] else 'NO'} majority")  # fmt: skip
    for row in found["members"]:
        age = time.time() - row["since"]
        click.echo(f"{row['name']:<20} {row['state']:<8} {row['service']:<9} {row['zone']:<8} {row['address']:<22} "
                   f"life {row['life']}.{row['incarnation']}, for {age:.1f} s")  # fmt: skip


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
                click.echo(f"{event['what']:<10} {event['name']} life {event['life']}.{event['incarnation']} "
                           f"{event['told']}".rstrip())  # fmt: skip
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
