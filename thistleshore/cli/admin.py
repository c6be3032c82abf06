"""`thistleshore admin`: the calls of the admin interface, for an operator's own installation."""

from __future__ import annotations

import json
import socket
from typing import Any

import click

from thistleshore import config
from thistleshore.addresses import Address
from thistleshore.admin import codec
from thistleshore.cli.shared import JSON, echo_json, refuse

ANSWER_WITHIN = 2.0  # s for a whole call; the dispatcher answers within 1 s
ANSWER_MOST = 16 * 1024 * 1024  # bytes

WHERE = [
    click.option("--config", "file", type=click.Path(exists=True, dir_okay=False), help="An operator's file."),
    click.option("--address", default=None, metavar="HOST:PORT", help="Where it listens, in place of a file."),
    JSON,
]


def _where(command: Any) -> Any:
    for option in reversed(WHERE):
        command = option(command)
    return command


@click.group()
def command() -> None:
    """Ask a dispatcher that runs, or take a host out and call it back.

    Ends with status 0 where the answer is yes, 1 where it is no, and 2 where there is none.
    """


@command.command()
@_where
def ping(file: str | None, address: str | None, as_json: bool) -> None:
    """Is it ready to serve?"""
    _say(ask(file, address, codec.Call("PING")), as_json)


@command.command()
@_where
def info(file: str | None, address: str | None, as_json: bool) -> None:
    """Print its figures."""
    found = told(ask(file, address, codec.Call("INFO")))
    if as_json:
        echo_json(found)
        return
    for key, value in found.items():
        if key != "results":
            click.echo(f"{key}: {value}")
    for name, counts in found.get("results", {}).items():
        click.echo(f"{name}: " + ", ".join(f"{count} {kind}" for kind, count in counts.items()))


@command.command()
@click.argument("host")
@_where
def detach(host: str, file: str | None, address: str | None, as_json: bool) -> None:
    """Take HOST out: nothing new goes there until it is called back."""
    _say(ask(file, address, codec.Call("DETACH", host)), as_json)


@command.command()
@click.argument("host")
@_where
def attach(host: str, file: str | None, address: str | None, as_json: bool) -> None:
    """Call HOST back: it may serve again, as a cold one."""
    _say(ask(file, address, codec.Call("ATTACH", host)), as_json)


def told(answer: str) -> Any:
    """The JSON of an answer that has some; ends with status 1 where the answer is no, and with 2 where it is none."""
    line, end, _ = (*answer.split("\n", 2), "", "")[:3]
    if line.startswith("ERR "):
        refuse(line.removeprefix("ERR "), 1)
    try:
        if end == "END":
            return json.loads(line)
    except ValueError:
        pass
    refuse(f"the answer is none: {answer[:80]!r}", 2)


def _say(answer: str, as_json: bool) -> None:
    word, _, reason = answer.strip().partition(" ")
    if word not in ("OK", "ERR"):
        refuse(f"the answer is none: {answer[:80]!r}", 2)
    if as_json:
        echo_json({"ok": word == "OK", "reason": reason})
    elif reason:
        click.echo(reason, err=word == "ERR")
    if word != "OK":
        raise SystemExit(1)


def ask(file: str | None, named: str | None, call: codec.Call) -> str:
    """The whole answer to one call; ends with status 2 where there is none."""
    return ask_at(address_of(file, named), call, ANSWER_WITHIN)


def address_of(file: str | None, named: str | None) -> Address:
    """Where the dispatcher of an operator's file is asked, or the address that was named; ends with status 2."""
    try:
        if named is not None:
            return config.address(named, "--address")
        where = config.operator_file(file, 0.0).admin if file is not None else None
    except config.ConfigError as problem:
        refuse("\n".join(problem.problems), 2)
    if where is None:
        refuse("--address, or --config with an [admin] in it, is wanted", 2)
    return where


def ask_at(where: Address, call: codec.Call, within: float) -> str:
    """The whole answer to one call there; ends with status 2 where there is none within so many seconds."""
    line = codec.written(call)
    try:
        codec.LineReader().feed(line)
    except codec.BadCall as problem:
        refuse(problem, 2)
    try:
        with socket.create_connection(where, within) as made:
            made.sendall(line)
            parts: list[bytes] = []
            while (part := made.recv(65536)) and sum(map(len, parts)) < ANSWER_MOST:
                parts.append(part)
    except OSError as problem:
        refuse(f"no answer from {where[0]}:{where[1]}: {problem}", 2)
    return b"".join(parts).decode(errors="replace")
