"""Parses and checks the body of a version, TOML tables shared by all instances, and overlays it on an instance's file.

A document may only have tables that a process can put in force without a restart.  All others are rejected by name, at
the push and again on each instance, as the document has to fit that instance's own file.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from typing import Any, NamedTuple

from thistleshore import config
from thistleshore.config.platform import MOVES
from thistleshore.distribution.model import MAX_BODY_BYTES, FORMAT

DISTRIBUTED_TABLES = ("match", "address_set", "expressions", "member", "contracts", "host")
MAX_NESTING = 16  # nesting depth of tables and lists, and parts of a dotted key
SOURCE = "configuration"  # source named in errors of a document without a file
OWN_FILE = "this instance's file"

_KEY_PART = r"""(?:[\w-]+|"(?:[^"\\\n]|\\.)*"|'[^'\n]*')"""
_DEEP_KEY = re.compile(rf"(?<![\w-])(?:{_KEY_PART}[ \t]*\.[ \t]*){{{MAX_NESTING}}}")
_FIRST_KEY = re.compile(r"(?:\d+:\d+: )?(\w+)")  # first key in an error, after its position in an expression


class DocumentError(ValueError):
    """A document that cannot be put in force; each of `problems` names the file and the key."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class Document(NamedTuple):
    """Tables that replace those of an instance's own file; `source` names their origin in errors."""

    tables: Mapping[str, Any]
    source: str = SOURCE


def parse(body: bytes, source: str = SOURCE, body_format: int = FORMAT) -> Document:
    """Parse a body; raise DocumentError with all its problems apart from any instance's file."""
    if body_format > FORMAT:
        raise DocumentError((f"{source}: it has format {body_format}, and this program reads {FORMAT}",))
    tables = _tables(body, source)
    if problems := (*_find_undistributed(tables), *_hosts_without_address(tables)):
        raise DocumentError(tuple(f"{source}: {problem}" for problem in problems))
    return Document(tables, source)


def overlay(file_tables: Mapping[str, Any], document: Document) -> dict[str, Any]:
    """Return an instance's own tables, each replaced whole by the document's table of that name, if any."""
    return {**file_tables, **document.tables}


def build_plan(file_tables: Mapping[str, Any], document: Document, epoch: float) -> config.Plan:
    """Return the plan of the document over an instance's own tables `file_tables`, as parsed from its file.

    Raises DocumentError if they conflict, or if the instance cannot put the plan in force without a restart.
    """
    if problems := _find_restart_needed(file_tables, document):
        raise DocumentError(tuple(f"{document.source}: {problem}" for problem in problems))
    try:
        return config.operator_plan(overlay(file_tables, document), epoch)
    except config.ConfigError as problem:
        raise DocumentError(tuple(_with_source(text, document) for text in problem.problems)) from None


def _tables(body: bytes, source: str) -> dict[str, Any]:
    if len(body) > MAX_BODY_BYTES:
        raise DocumentError((f"{source}: it has over {MAX_BODY_BYTES} bytes",))
    too_deep = DocumentError((f"{source}: it is nested deeper than {MAX_NESTING}",))
    try:
        text = body.decode()
    except UnicodeDecodeError as problem:
        raise DocumentError((f"{source}: {problem}",)) from None
    if _DEEP_KEY.search(text):  # the parser's time is quadratic in the parts of one key
        raise too_deep
    try:
        tables = tomllib.loads(text)
    except RecursionError:
        raise too_deep from None
    except ValueError as problem:
        raise DocumentError((f"{source}: {problem}",)) from None
    if _depth(tables) > MAX_NESTING:
        raise too_deep
    return tables


def _depth(tables: Mapping[str, Any]) -> int:
    """Return the nesting depth; iterative, as a hostile document could exhaust the stack."""
    depth, level = 0, list[Any]([tables])
    while level:
        depth += 1
        values = [value for found in level for value in (found.values() if isinstance(found, Mapping) else found)]
        level = [value for value in values if isinstance(value, Mapping | list)]
    return depth


def _find_undistributed(tables: Mapping[str, Any]) -> list[str]:
    return [
        f"{key}: not a table that is distributed: it takes a restart" for key in tables if key not in DISTRIBUTED_TABLES
    ]


def _hosts_without_address(tables: Mapping[str, Any]) -> list[str]:
    """Hosts without an address are seats of a beanstalkd front, which cannot change without a restart."""
    hosts = tables.get("host", [])
    if not isinstance(hosts, list):
        return ["host: tables of the form [[host]] are wanted"]
    return [f"host[{n}].address: missing" for n, host in enumerate(hosts) if not _has_address(host)]


def _has_address(host: Any) -> bool:
    return isinstance(host, Mapping) and "address" in host


def _find_restart_needed(file_tables: Mapping[str, Any], document: Document) -> list[str]:
    """Return what this instance cannot put in force without a restart; a list of hosts can be replaced whole.

    `Plan.changed` is not used, as it requires a restart for a change of hosts, which SIGHUP does not apply.
    """
    problems = [
        f"{key}: it takes a restart"
        for key, found in document.tables.items()
        if key != "host" and key not in MOVES and file_tables.get(key) != found
    ]
    if "member" in document.tables and "member" not in file_tables:
        problems.append(f"member: {OWN_FILE} has none, and to begin keeping shares takes a restart")
    seats = [host for host in file_tables.get("host", []) if not _has_address(host)]
    if "host" in document.tables and seats:
        problems.append(f"host: {OWN_FILE} has hosts without an address, and those hold until a restart")
    return problems


def _with_source(problem: str, document: Document) -> str:
    """Prefix an error of the plan with the source of the table that it is in."""
    first = _FIRST_KEY.match(problem)
    from_document = first is not None and first.group(1) in document.tables
    return f"{document.source if from_document else OWN_FILE}: {problem}"
