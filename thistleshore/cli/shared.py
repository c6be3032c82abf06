"""What several sub-commands of `expr` read: operator's files, requests, and values as JSON."""

from __future__ import annotations

import json
import math
import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from thistleshore import config
from thistleshore.addresses import ip_text
from thistleshore.expressions import Request, RequestError
from thistleshore.expressions.record import from_json
from thistleshore.expressions.types import Ip, List, Map, Type
from thistleshore.routing import RouteTable

REQUEST = click.option(
    "--request",
    "asked",
    default=None,
    metavar="FILE|-",
    help="A request as JSON; - reads it from standard input.  Without it: an empty request.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")


def refuse(text: object, status: int) -> NoReturn:
    click.echo(str(text), err=True)
    sys.exit(status)


def table_of(file: str) -> RouteTable:
    """The rules of an operator's file; ends with status 2 and every fault where there are any."""
    try:
        plan = config.operator_file(file, 0.0)
    except config.ConfigError as problem:
        refuse("\n".join(problem.problems), 2)
    assert plan.live is not None
    return plan.live.table


def request_of(asked: str | None) -> Request:
    """The request that an option names; ends with status 1 where it cannot be read."""
    try:
        if asked is None:
            return Request()
        return from_json(sys.stdin.buffer.read() if asked == "-" else Path(asked).read_bytes())
    except (OSError, RequestError) as problem:
        refuse(problem, 1)


def plain(value: Any, found: Type) -> Any:
    """A value as JSON has it: addresses as text, and doubles that JSON lacks as text."""
    if isinstance(found, Ip):
        return ip_text(value)
    if isinstance(found, List):
        return [plain(entry, found.entry) for entry in value]
    if isinstance(found, Map):
        return {str(key): plain(entry, found.value) for key, entry in value.items()}
    if isinstance(value, float) and not math.isfinite(value):
        return "NaN" if math.isnan(value) else "Infinity" if value > 0 else "-Infinity"
    return value


def echo_json(value: Any) -> None:
    click.echo(json.dumps(value, ensure_ascii=False))
