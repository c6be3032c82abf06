"""Types, with the largest sizes that their values can have: bounds are part of the type.

Sizes of strings are in characters (Unicode scalar values), of lists and maps in entries.  A cost is in units; the
weight of a type is the cost of reading such a value whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

INT_LEAST, INT_MOST = -(2**63), 2**63 - 1
SCAN = 32  # characters of a string that one unit pays for
VALUES_MOST = 256  # possible values that are followed one by one


def scan(size: int) -> int:
    """Units for reading so many characters."""
    return (size + SCAN - 1) // SCAN


@dataclass(frozen=True, slots=True)
class Bool:
    def __str__(self) -> str:
        return "bool"


@dataclass(frozen=True, slots=True)
class Int:
    least: int = INT_LEAST
    most: int = INT_MOST
    zero: bool = True  # False: known not to be 0, which may lie between the bounds

    def __str__(self) -> str:
        return "int"

    @property
    def may_be_zero(self) -> bool:
        return self.zero and self.least <= 0 <= self.most


@dataclass(frozen=True, slots=True)
class Double:
    def __str__(self) -> str:
        return "double"


@dataclass(frozen=True, slots=True)
class Str:
    most: int
    values: frozenset[str] | None = None  # every value it can have, where they are few and known

    def __str__(self) -> str:
        return "string"


@dataclass(frozen=True, slots=True)
class Ip:
    """An address of either family; IPv4 and its IPv6-mapped form are one."""

    def __str__(self) -> str:
        return "ip"


@dataclass(frozen=True, slots=True)
class Never:
    """The type of the entries of an empty list: it fits with any."""

    def __str__(self) -> str:
        return "nothing"


@dataclass(frozen=True, slots=True)
class List:
    entry: Type
    least: int
    most: int

    def __str__(self) -> str:
        return f"list({self.entry})"


@dataclass(frozen=True, slots=True)
class Map:
    key: Type
    value: Type
    most: int
    keys: frozenset[Any] = frozenset()  # keys that are there whatever comes

    def __str__(self) -> str:
        return f"map({self.key}, {self.value})"


@dataclass(frozen=True, slots=True)
class Optional:
    inner: Type

    def __str__(self) -> str:
        return f"optional({self.inner})"


@dataclass(frozen=True, slots=True)
class Record:
    """A structure with named fields; it is only ever selected from."""

    name: str
    fields: Mapping[str, Type] = field(hash=False)

    def __str__(self) -> str:
        return self.name


Type = Bool | Int | Double | Str | Ip | Never | List | Map | Optional | Record


def same_kind(a: Type, b: Type) -> bool:
    """Whether CEL calls both one type; bounds do not matter."""
    if isinstance(a, Never) or isinstance(b, Never):
        return True
    if isinstance(a, List) and isinstance(b, List):
        return same_kind(a.entry, b.entry)
    if isinstance(a, Map) and isinstance(b, Map):
        return same_kind(a.key, b.key) and same_kind(a.value, b.value)
    if isinstance(a, Optional) and isinstance(b, Optional):
        return same_kind(a.inner, b.inner)
    return type(a) is type(b) and not isinstance(a, Record)


def join(a: Type, b: Type) -> Type:
    """The least type that holds the values of both, which are of one kind."""
    if isinstance(a, Never):
        return b
    if isinstance(a, Int) and isinstance(b, Int):
        zero = a.may_be_zero or b.may_be_zero
        return Int(min(a.least, b.least), max(a.most, b.most), zero)
    if isinstance(a, Str) and isinstance(b, Str):
        both = a.values | b.values if a.values is not None and b.values is not None else None
        return Str(max(a.most, b.most), both if both is not None and len(both) <= VALUES_MOST else None)
    if isinstance(a, List) and isinstance(b, List):
        return List(join(a.entry, b.entry), min(a.least, b.least), max(a.most, b.most))
    if isinstance(a, Map) and isinstance(b, Map):
        return Map(join(a.key, b.key), join(a.value, b.value), max(a.most, b.most), a.keys & b.keys)
    if isinstance(a, Optional) and isinstance(b, Optional):
        return Optional(join(a.inner, b.inner))
    return a


def meet(a: Type, b: Type) -> Type:
    """What is known where both are: `b` refines `a`; a contradiction, which no value reaches, leaves `a`."""
    if isinstance(a, Int) and isinstance(b, Int):
        least, most = max(a.least, b.least), min(a.most, b.most)
        return Int(least, most, a.zero and b.zero) if least <= most else a
    if isinstance(a, Str) and isinstance(b, Str):
        values = b.values if a.values is None else a.values if b.values is None else a.values & b.values
        return Str(min(a.most, b.most), values) if values is None or values else a
    if isinstance(a, List) and isinstance(b, List):
        least, most = max(a.least, b.least), min(a.most, b.most)
        return replace(a, least=least, most=most) if least <= most else a
    return a


def weight(found: Type) -> int:
    """The most units that reading a value of the type whole can cost."""
    if isinstance(found, Str):
        return 1 + scan(found.most)
    if isinstance(found, List):
        return 1 + found.most * weight(found.entry)
    if isinstance(found, Map):
        return 1 + found.most * (weight(found.key) + weight(found.value))
    if isinstance(found, Optional):
        return weight(found.inner)
    return 1


def weighed(value: Any) -> int:
    """The units that reading this value whole costs; never more than the weight of its type."""
    if isinstance(value, str):
        return 1 + scan(len(value))
    if isinstance(value, list | tuple):
        return 1 + sum(map(weighed, value))
    if isinstance(value, dict):
        return 1 + sum(weighed(key) + weighed(entry) for key, entry in value.items())
    return 1
