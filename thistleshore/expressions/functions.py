"""Operators and functions: what each does to values, what it costs, and how the reference table describes it.

An operation's cost is one formula over the sizes of its operands.  The checker puts the largest sizes in, the
counting evaluator the real ones; every formula grows with each size, so the second never exceeds the first.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple

import xxhash

from thistleshore.addresses import ip_number, ip_text
from thistleshore.expressions.networks import AddressSet
from thistleshore.expressions.patterns import Pattern
from thistleshore.expressions.types import scan

LOWER = {n: n + 32 for n in range(ord("A"), ord("Z") + 1)}


class Operation(NamedTuple):
    """`run` works on values; `units` on their sizes: characters, entries, or (`weighs`) units for reading them whole.

    An operation never fails on what the checker lets pass.
    """

    run: Callable[..., Any]
    units: Callable[..., int]
    weighs: bool = False


def size(value: Any) -> int:
    return len(value) if isinstance(value, str | list | tuple | dict | frozenset) else 0


def hash64(text: str) -> int:
    """xxhash64 of the UTF-8 form without its top bit, so that it is a positive int."""
    return xxhash.xxh64_intdigest(text.encode()) & 0x7FFF_FFFF_FFFF_FFFF


def bucket(text: str, count: int) -> int:
    return hash64(text) % count


def quotient(a: int, b: int) -> int:
    """CEL's integers divide towards zero, Python's downwards."""
    found = abs(a) // abs(b)
    return found if (a < 0) == (b < 0) else -found


def remainder(a: int, b: int) -> int:
    found = abs(a) % abs(b)
    return -found if a < 0 else found


def divide(a: float, b: float) -> float:
    """As IEEE 754 has it; Python would raise."""
    if b:
        return a / b
    if not a or math.isnan(a) or math.isnan(b):
        return math.nan
    return math.copysign(math.inf, a) * math.copysign(1.0, b)


def lower(text: str) -> str:
    return text.lower() if text.isascii() else text.translate(LOWER)


def split(text: str, sep: str, most: int = -1) -> list[str]:
    if most == 0:
        return []
    if sep:
        return text.split(sep, most - 1 if most > 0 else -1)
    letters = list(text)
    return letters if most < 0 or len(letters) <= most else [*letters[: most - 1], text[most - 1 :]]


def equal(a: Any, b: Any) -> bool:
    """CEL's equality: NaN equals nothing, itself included, also within lists."""
    if isinstance(a, list | tuple):
        return len(a) == len(b) and all(map(equal, a, b))
    if isinstance(a, dict):
        return len(a) == len(b) and all(key in b and equal(value, b[key]) for key, value in a.items())
    return bool(a == b)


def among(value: Any, entries: Any) -> bool:
    if isinstance(value, float | list | dict):
        return any(equal(value, entry) for entry in entries)
    return value in entries


def text_of(value: Any) -> str:
    return ("true" if value else "false") if isinstance(value, bool) else str(value)


def _one(*_: int) -> int:
    return 1


def _read(n: int, *_: int) -> int:
    return 1 + scan(n)


def _less(a: int, b: int) -> int:
    return 1 + min(scan(a), scan(b))


def _both(a: int, b: int) -> int:
    return 1 + scan(a) + scan(b)


OPERATIONS: dict[str, Operation] = {
    "eq": Operation(equal, lambda a, b: 1 + min(a, b), weighs=True),
    "ne": Operation(lambda a, b: not equal(a, b), lambda a, b: 1 + min(a, b), weighs=True),
    "lt": Operation(lambda a, b: a < b, _less),
    "le": Operation(lambda a, b: a <= b, _less),
    "gt": Operation(lambda a, b: a > b, _less),
    "ge": Operation(lambda a, b: a >= b, _less),
    "add": Operation(lambda a, b: a + b, _one),
    "sub": Operation(lambda a, b: a - b, _one),
    "mul": Operation(lambda a, b: a * b, _one),
    "neg": Operation(lambda a: -a, _one),
    "div_int": Operation(quotient, _one),
    "mod_int": Operation(remainder, _one),
    "div_double": Operation(divide, _one),
    "join_string": Operation(lambda a, b: a + b, _both),
    "join_list": Operation(lambda a, b: [*a, *b], lambda a, b: 1 + a + b),
    "size": Operation(len, _one),
    "get": Operation(lambda m, key: m[key], lambda m, key: 1 + scan(key)),
    "get_optional": Operation(lambda m, key: (m[key],) if key in m else (), lambda m, key: 1 + scan(key)),
    "at": Operation(lambda entries, n: entries[n], _one),
    "at_optional": Operation(lambda entries, n: (entries[n],) if 0 <= n < len(entries) else (), _one),
    "has_value": Operation(lambda found: bool(found), _one),
    "has_key": Operation(lambda key, m: key in m, lambda key, m: 1 + scan(key)),
    # Entries of a literal list are hashed at load; of any other they are read one by one.
    "in_set": Operation(among, _read),
    "in_list": Operation(among, lambda a, b: 1 + b, weighs=True),
    "starts": Operation(str.startswith, _less),
    "ends": Operation(str.endswith, _less),
    "contains": Operation(lambda text, part: part in text, _both),
    "lower": Operation(lower, _read),
    "to_int": Operation(int, _read),
    "to_double": Operation(float, _one),
    "to_string": Operation(text_of, _one),
    "ip_to_string": Operation(ip_text, lambda _: 2),
    "hash": Operation(hash64, _read),
    "bucket": Operation(bucket, _read),
    "to_ip": Operation(ip_number, lambda n: 2 + scan(n)),
    "is_ip": Operation(lambda text: ip_number(text) is not None, lambda n: 2 + scan(n)),
}


def matches_units(found: Pattern, characters: int) -> int:
    return 1 + scan(characters) * found.factor


def parts_most(characters: int, sep: str, most: int) -> int:
    """How many parts a text of that size can fall into."""
    parts = characters + 1 if sep else characters
    return parts if most < 0 else min(parts, most)


def split_units(characters: int, sep: str, most: int) -> int:
    return 1 + scan(characters) + parts_most(characters, sep, most)


def network_units(found: AddressSet) -> int:
    return found.units


class Entry(NamedTuple):
    """A row of the reference table."""

    form: str
    result: str
    cost: str
    meaning: str


# n, m: sizes of the operands; n/32 is rounded up.  The operators' rows are grouped where they share a cost.
REFERENCE: tuple[Entry, ...] = (
    Entry("literal", "its type", "0", "int, double, string, bool; folded with all that is computed from them alone"),
    Entry("name, `request.path`", "declared", "1", "a variable"),
    Entry("`[a, b]`, `{k: v}`", "list, map", "1 + n", "entries of one type; keys of a map are literals, each once"),
    Entry("`!a`", "bool", "1", "not"),
    Entry("`a && b`, `a || b`", "bool", "1 + the parts", "from left to right, as far as needed; `a` guards `b`"),
    Entry("`c ? a : b`", "that of a and b", "1 + c + the dearer", "`c` guards `a`, its contrary `b`"),
    Entry("`==` `!=`", "bool", "1 + reading the smaller", "two values of one type"),
    Entry("`<` `<=` `>` `>=`", "bool", "1 + min(n, m)/32", "two ints, doubles, strings or bools"),
    Entry("`+` `-` `*` `/` `%`, `-a`", "int or double", "1", "`/` towards zero; a divisor must not be 0; `%` on ints"),
    Entry("`a + b`", "string", "1 + n/32 + m/32", "joined"),
    Entry("`a + b`", "list", "1 + n + m", "joined"),
    Entry("`a in [..]`", "bool", "1 + n/32", "among literals, however many"),
    Entry("`a in list`", "bool", "1 + reading the list", "among entries"),
    Entry("`k in map`, `has(m.k)`", "bool", "1 + n/32", "is the key there; guards `m[k]` and `m.k`"),
    Entry("`m[k]`, `m.k`", "the value", "1 + n/32", "needs a guard, or a key that is surely there"),
    Entry("`list[i]`", "the entry", "1", "needs a guard, or an index that is surely within"),
    Entry("`m[?k]`, `m.?k`, `list[?i]`", "optional", "1 + n/32", "may be absent"),
    Entry("`o.orValue(d)`", "the value", "1 + both", "the value, or `d` where it is absent"),
    Entry("`o.hasValue()`", "bool", "1", "is it there; guards like `in`"),
    Entry("`size(s)`, `s.size()`", "int", "1", "characters, or entries"),
    Entry("`s.startsWith(t)`, `s.endsWith(t)`", "bool", "1 + min(n, m)/32", ""),
    Entry("`s.contains(t)`", "bool", "1 + n/32 + m/32", ""),
    Entry('`s.matches("..")`', "bool", "1 + n/32 · (1 + program/16)", "RE2, anywhere in s; a literal pattern"),
    Entry("`s.lowerAscii()`", "string", "1 + n/32", "A to Z alone"),
    Entry(
        "`s.split(sep)`, `s.split(sep, most)`",
        "list(string)",
        "1 + n/32 + parts",
        "sep and most are literals; the last part holds the rest",
    ),
    Entry("`list.exists(x, p)`, `.all`, `.exists_one`", "bool", "1 + list + n · (1 + p)", "ends once it is decided"),
    Entry("`int(s)`", "int", "1 + n/32", 'of a string that a guard such as `s.matches("^[0-9]{1,9}$")` has let pass'),
    Entry("`double(i)`", "double", "1", "of an int"),
    Entry("`string(v)`", "string", "1 (ip: 2)", "of an int, bool, string or ip"),
    Entry("`hash(s)`", "int", "1 + n/32", "**addition**: xxhash64 of UTF-8, without its top bit"),
    Entry("`bucket(s, n)`", "int", "1 + n/32", "**addition**: `hash(s) % n`, 0 to n - 1; n at least 1"),
    Entry("`isIP(s)`", "bool", "2 + n/32", "**addition**: is it an address; guards `ip(s)`"),
    Entry("`ip(s)`", "ip", "2 + n/32", "**addition**: an address, IPv4 or IPv6"),
    Entry(
        '`inNet(a, "10.0.0.0/8")`, `inNet(a, "set")`',
        "bool",
        "2 + log2(networks)",
        "**addition**: a network, or a set of the file by its name",
    ),
)


def reference() -> str:
    """The table as Markdown, as docs/operate/expressions.md holds it."""
    rows = [(entry.form, entry.result, entry.cost, entry.meaning) for entry in REFERENCE]
    cells = [[cell.replace("|", "\\|") for cell in row] for row in (("form", "result", "units", "meaning"), *rows)]
    lines = ["| " + " | ".join(row) + " |" for row in cells]
    return "\n".join([lines[0], "| --- | --- | --- | --- |", *lines[1:]])
