"""Expressions and requests grown from bytes, for tests by properties and for fuzzing: the same bytes, the same text.

Most of what grows is well typed, so that much of it is accepted; a part is not, and some is plain garbage.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from thistleshore.addresses import ip_number
from thistleshore.expressions import Request, address_set
from thistleshore.expressions.networks import AddressSet

TEXTS = (
    "",
    "a",
    "b",
    "acme",
    "/a/b",
    "/seat-search",
    "x-org",
    "10.0.0.9",
    "::1",
    "42",
    "-7",
    "007",
    "Zürich",
    "é\u4e2d",
    "a,b,,c",
    "99999999999999999999",
    "A-Z",
    "\n",
    "q",
    "%2F",
    "\U0001f68c",
)
PATTERNS = (
    "^[0-9]{1,9}$",
    "^-?[0-9]{1,18}$",
    "^/a",
    "(a+)+$",
    "[a-z]+",
    "^$",
    "a|b",
    "\\\\d+",
    "(a)\\\\1",
    "a{1000}{1000}",
    "(?i)ACME",
    "^/seat\\\\-search",
    "(.*){9}",
    "x*",
    "\\\\pL+",
    "(?=a)",
    "^[1-9][0-9]{0,3}$",
)
INTS = ("0", "1", "2", "-1", "7", "1000", "9223372036854775807", "-9223372036854775808", "65536", "-3", "0x10")
DOUBLES = ("0.0", "1.5", "-2.25", "1e308", "5e-324", "3.0")
VARIABLES = {
    "string": ("request.path", "request.host", "request.method", "request.tube", "request.front"),
    "int": ("request.size", "request.priority"),
    "ip": ("client.address",),
    "map": ("request.headers", "request.query"),
}
KEYS = ('"x-org"', '"n"', '"q"', '"list"', "request.tube")
SETS: dict[str, AddressSet] = {"offices": address_set("offices", ("10.0.0.0/8", "192.0.2.0/24", "2001:db8::/32"))}


class Grow:
    """Reads bytes as choices; at their end every choice is the first, so that growth ends."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0
        self.bound: list[tuple[str, str]] = []  # variables of macros around, and their types

    def pick(self, count: int) -> int:
        if self.at >= len(self.data):
            return 0
        self.at += 1
        return self.data[self.at - 1] % count

    def of(self, choices: Sequence[str]) -> str:
        return choices[self.pick(len(choices))]

    def expression(self) -> str:
        kind = self.of(("bool", "bool", "string", "int", "double", "list", "map", "ip"))
        text = self.value(kind, 5)
        if self.pick(32) == 31:  # broken on purpose
            cut = self.pick(len(text) + 1)
            text = text[:cut] + self.of((")", "&&", '"', "]", "\\", "\0", "?", ".")) + text[cut:]
        return text

    def value(self, kind: str, depth: int) -> str:
        if self.pick(64) == 63:
            kind = self.of(("bool", "string", "int", "double", "list", "map", "ip"))  # of a wrong type
        if depth <= 0 or self.at >= len(self.data):
            return self.leaf(kind)
        ways: dict[str, Sequence[Callable[[int], str]]] = {
            "bool": (
                self.leaf_bool,
                self.compared,
                self.compared,
                self.logic,
                self.logic,
                self.tested,
                self.member,
                self.macro,
                self.cond("bool"),
                self.guarded,
            ),
            "string": (
                self.leaf_string,
                self.leaf_string,
                self.joined,
                self.header,
                self.part,
                self.lowered,
                self.cond("string"),
                self.to_string,
            ),
            "int": (
                self.leaf_int,
                self.arithmetic,
                self.arithmetic,
                self.sized,
                self.guarded_int,
                self.cond("int"),
                self.hashed,
            ),
            "double": (self.leaf_double, self.doubles, self.doubles, self.cond("double"), self.to_double),
            "list": (self.listed, self.listed, self.split, self.lists, self.cond("list")),
            "map": (self.mapped, self.mapped, self.cond("map")),
            "ip": (self.leaf_ip, self.leaf_ip, self.cond("ip")),
        }
        choices = ways[kind]
        return choices[self.pick(len(choices))](depth - 1)

    # -- leaves ---------------------------------------------------------------------------------

    def leaf(self, kind: str) -> str:
        found = [name for name, its in self.bound if its == kind]
        if found and self.pick(2):
            return self.of(found)
        return str(getattr(self, f"leaf_{kind}")(0))

    def leaf_bool(self, depth: int) -> str:
        return self.of(("true", "false"))

    def quoted(self) -> str:
        text = self.of(TEXTS).replace("\\", "\\\\").replace("\n", "\\n")
        return f'"{text}"'

    def leaf_string(self, depth: int) -> str:
        return self.of(VARIABLES["string"]) if self.pick(2) else self.quoted()

    def leaf_int(self, depth: int) -> str:
        return self.of(VARIABLES["int"]) if self.pick(2) else self.of(INTS)

    def leaf_double(self, depth: int) -> str:
        return self.of(DOUBLES)

    def leaf_list(self, depth: int) -> str:
        return self.of(('["a", "b"]', '["acme"]', '["a", request.path]'))

    def leaf_map(self, depth: int) -> str:
        return self.of(('{"a": "b"}', '{"acme": request.host, "b": ""}')) if self.pick(2) else self.of(VARIABLES["map"])

    def leaf_ip(self, depth: int) -> str:
        return self.of(("client.address", 'ip("10.0.0.9")', 'ip("::1")'))

    # -- by type --------------------------------------------------------------------------------

    def cond(self, kind: str) -> Callable[[int], str]:
        return lambda depth: f"({self.value('bool', depth)} ? {self.value(kind, depth)} : {self.value(kind, depth)})"

    def compared(self, depth: int) -> str:
        kind = self.of(("string", "int", "double", "ip", "list", "map"))
        ops = ("==", "!=") if kind in ("ip", "list", "map", "bool") else ("==", "!=", "<", "<=", ">", ">=")
        return f"({self.value(kind, depth)} {self.of(ops)} {self.value(kind, depth)})"

    def logic(self, depth: int) -> str:
        if self.pick(4) == 3:
            return f"!{self.value('bool', depth)}"
        parts = [self.value("bool", depth) for _ in range(2 + self.pick(2))]
        return "(" + f" {self.of(('&&', '||'))} ".join(parts) + ")"

    def tested(self, depth: int) -> str:
        text = self.value("string", depth)
        if self.pick(2):
            return f"{text}.{self.of(('startsWith', 'endsWith', 'contains'))}({self.value('string', depth)})"
        if self.pick(2):
            return f'{text}.matches("{self.of(PATTERNS)}")'
        net = self.of(('"10.0.0.0/8"', '"offices"', '"2001:db8::/33"'))
        return f"inNet({self.value('ip', depth)}, {net})"

    def member(self, depth: int) -> str:
        if self.pick(2):
            return f"({self.value('string', depth)} in {self.value('list', depth)})"
        return f"({self.of(KEYS)} in {self.value('map', depth)})"

    def macro(self, depth: int) -> str:
        over, name = self.value("list", depth), f"v{len(self.bound)}"
        self.bound.append((name, "string"))
        test = self.value("bool", depth)
        self.bound.pop()
        return f"{over}.{self.of(('exists', 'all', 'exists_one'))}({name}, {test})"

    def guarded(self, depth: int) -> str:
        over, key = self.value("map", 0), self.of(KEYS)
        return f"({key} in {over} && {over}[{key}] == {self.value('string', depth)})"

    def joined(self, depth: int) -> str:
        return f"({self.value('string', depth)} + {self.value('string', depth)})"

    def header(self, depth: int) -> str:
        over, key = self.value("map", 0), self.of(KEYS)
        if self.pick(2):
            return f"({key} in {over} ? {over}[{key}] : {self.value('string', depth)})"
        return f"{over}[?{key}].orValue({self.value('string', depth)})"

    def part(self, depth: int) -> str:
        sep = self.of(('"/"', '""'))
        parts = f"{self.value('string', depth)}.split({sep}, 3)"
        if self.pick(2):
            return f"(size({parts}) > 1 ? {parts}[1] : {self.value('string', depth)})"
        return f"{parts}[?{self.value('int', depth)}].orValue({self.value('string', depth)})"

    def lowered(self, depth: int) -> str:
        return f"{self.value('string', depth)}.lowerAscii()"

    def to_string(self, depth: int) -> str:
        return f"string({self.value(self.of(('int', 'bool', 'ip', 'string')), depth)})"

    def arithmetic(self, depth: int) -> str:
        left, right = self.value("int", depth), self.value("int", depth)
        op = self.of(("+", "-", "*", "/", "%"))
        if op in "/%" and self.pick(2):
            return f"({right} != 0 ? {left} {op} {right} : {left})"
        if self.pick(2):  # bounded, so that it cannot overflow
            return f"({left} % 1000 {op} ({right} % 30 + 31))"
        return f"({left} {op} {right})"

    def sized(self, depth: int) -> str:
        return f"size({self.value(self.of(('string', 'list', 'map')), depth)})"

    def guarded_int(self, depth: int) -> str:
        text = self.value("string", 0)
        return f'({text}.matches("{self.of(PATTERNS[:2])}") ? int({text}) : {self.value("int", depth)})'

    def hashed(self, depth: int) -> str:
        text = self.value("string", depth)
        return f"bucket({text}, {1 + self.pick(9)})" if self.pick(2) else f"hash({text})"

    def doubles(self, depth: int) -> str:
        op = self.of(("+", "-", "*", "/"))
        return f"({self.value('double', depth)} {op} {self.value('double', depth)})"

    def to_double(self, depth: int) -> str:
        return f"double({self.value('int', depth)})"

    def listed(self, depth: int) -> str:
        return f"[{', '.join(self.value('string', depth) for _ in range(self.pick(4)))}]"

    def split(self, depth: int) -> str:
        return f"{self.value('string', depth)}.split(',', {self.pick(5)})"

    def lists(self, depth: int) -> str:
        return f"({self.value('list', depth)} + {self.value('list', depth)})"

    def mapped(self, depth: int) -> str:
        keys = [key for key in ('"a"', '"acme"', '"x-org"', '"n"') if self.pick(2)]
        entries = [f"{key}: {self.value('string', depth)}" for key in keys]
        return "{" + ", ".join(entries) + "}" if keys else '{"a": "b"}'

    # -- requests -------------------------------------------------------------------------------

    def request(self) -> Request:
        names = ("x-org", "n", "q", "list", "a")
        pairs = [{name: self.of(TEXTS) for name in names if self.pick(2)} for _ in range(2)]
        return Request(
            front=self.of(("http", "beanstalkd")),
            method=self.of(("POST", "GET", "")),
            host=self.of(TEXTS),
            path=self.of(TEXTS) * (1 + self.pick(3) * 100),
            headers=pairs[0],
            query=pairs[1],
            size=(0, 1, 212, 65536)[self.pick(4)],
            tube=self.of(TEXTS)[:200],
            priority=(0, 7, 2**32 - 1)[self.pick(3)],
            address=ip_number(self.of(("10.0.0.9", "192.0.2.1", "2001:db8::1", "::1"))) or 0,
        )
