"""The checked form of an expression, which both evaluators and the compiler read; and what it may name."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from thistleshore.expressions.diagnostics import Span
from thistleshore.expressions.networks import AddressSet
from thistleshore.expressions.types import Bool, Int, Ip, List, Map, Record, Str, Type

HEAD_MOST = 16 * 1024  # bytes of a request's head on the HTTP front, hence characters of anything in it
TUBE_MOST = 200
BODY_MOST = 64 * 1024
PRIORITY_MOST = 2**32 - 1


@dataclass(slots=True, eq=False)
class Node:
    """One checked operation.

    `op` is `const`, `var`, `bound`, `not`, `and`, `or`, `cond`, `or_value`, `exists`, `all`, `exists_one`, `list`,
    `map`, `matches`, `in_net`, or a key of `functions.OPERATIONS`.  `id` is equal for equal expressions of one set.
    `units` is the most that evaluating it can cost, its parts included.
    """

    op: str
    args: tuple[Node, ...]
    type: Type
    span: Span
    id: int
    units: int
    value: Any = None  # a literal, a variable's name, a bound variable's level, a pattern, an address set
    guarded: bool = False  # safe only behind a guard: must not be evaluated anywhere else
    levels: frozenset[int] = frozenset()  # bound variables that it reads from outside


@dataclass(frozen=True, slots=True)
class Limits:
    """What an expression and a set of them may cost, in units."""

    expression: int = 20_000
    total: int = 200_000


@dataclass(frozen=True, slots=True)
class Environment:
    """What expressions may name: variables by type, and address sets."""

    variables: Mapping[str, Type]
    sets: Mapping[str, AddressSet] = field(default_factory=dict)
    later: Mapping[str, str] = field(default_factory=dict)  # names that exist elsewhere, and why not here


_TEXT = Str(HEAD_MOST)
_PAIRS = Map(_TEXT, _TEXT, HEAD_MOST // 4)
REQUEST = Record(
    "request",
    {
        "front": Str(10, frozenset(("http", "beanstalkd"))),
        "method": _TEXT,
        "host": _TEXT,
        "path": _TEXT,
        "query": _PAIRS,
        "headers": _PAIRS,
        "size": Int(0, BODY_MOST),
        "tube": Str(TUBE_MOST),
        "priority": Int(0, PRIORITY_MOST),
    },
)
CLIENT = Record("client", {"address": Ip()})
ROUTED = ("class", "member", "service", "key")
_WHY = "it is what the rules compute, and known only behind them"


def request_environment(sets: Mapping[str, AddressSet] | None = None) -> Environment:
    """What `[[match]]` may name: the request and its client."""
    return Environment({"request": REQUEST, "client": CLIENT}, sets or {}, dict.fromkeys(ROUTED, _WHY))


def routed_environment(sets: Mapping[str, AddressSet] | None = None) -> Environment:
    """What rules behind the routing may name as well: class, member, service and key."""
    names = dict.fromkeys(ROUTED, Str(HEAD_MOST))
    return Environment({"request": REQUEST, "client": CLIENT, **names}, sets or {})


__all__ = ["BODY_MOST", "Bool", "Environment", "Limits", "List", "Node", "request_environment", "routed_environment"]
