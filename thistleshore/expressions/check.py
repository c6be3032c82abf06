"""The checker: types, bounds, guards and the worst cost.  What it accepts cannot fail at run time.

Each operation that could fail (a missing key, an index, a division, an overflow, a conversion) must be shown safe:
by the bounds of its operands, or by a guard.  Guards are followed through `&&`, `||`, `!` and `? :` as facts about
expressions, which are pure, so that a fact once tested holds wherever the test dominates.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from difflib import get_close_matches
from typing import Any

from thistleshore.addresses import ip_number
from thistleshore.expressions import functions, networks, patterns, types
from thistleshore.expressions.diagnostics import ExpressionError, Source, Span
from thistleshore.expressions.functions import OPERATIONS
from thistleshore.expressions.model import Environment, Limits, Node
from thistleshore.expressions.syntax import Syntax, parse
from thistleshore.expressions.types import (
    INT_LEAST,
    INT_MOST,
    Bool,
    Double,
    Int,
    Ip,
    List,
    Map,
    Never,
    Optional,
    Record,
    Str,
    Type,
    join,
    meet,
    same_kind,
    weight,
)

# What is known at a place: ("key", map, key) and ("ip", node) are True; ("type", node) is a narrower type;
# ("digits", node) the bounds of an integer that a string spells.
Facts = Mapping[tuple[Any, ...], Any]
NONE: Facts = {}
TEXT_MOST = 1 << 20  # characters that a joined string may have
ENTRIES_MOST = 1 << 20
BUCKETS_MOST = 1_000_000
MACROS = ("exists", "all", "exists_one")
ORDER = {"<": "lt", "<=": "le", ">": "gt", ">=": "ge"}
CALLED: Mapping[type[Any], str] = {
    Bool: "bool",
    Int: "int",
    Double: "double",
    Str: "string",
    Ip: "ip",
    List: "list",
    Map: "map",
    Optional: "optional",
}
CONTRARY = {"lt": "ge", "le": "gt", "gt": "le", "ge": "lt", "eq": "ne", "ne": "eq"}


def constant(value: Any) -> Type:
    """The type of a literal, bounds and all."""
    if isinstance(value, bool):
        return Bool()
    if isinstance(value, int):
        return Int(value, value)
    if isinstance(value, float):
        return Double()
    if isinstance(value, str):
        return Str(len(value), frozenset((value,)))
    if isinstance(value, tuple):  # an optional
        return Optional(constant(value[0]) if value else Never())
    if isinstance(value, list):
        listed: Type = Never()
        for each in value:
            listed = join(listed, constant(each))
        return List(listed, len(value), len(value))
    entry: Type = Never()
    key: Type = Never()
    for name, each in value.items():
        key, entry = join(key, constant(name)), join(entry, constant(each))
    return Map(key, entry, len(value), frozenset(value))


def holds_ip(found: Type) -> bool:
    """Addresses are integers at run time: their type cannot be read off a value."""
    if isinstance(found, List | Map | Optional):
        inner = found.entry if isinstance(found, List) else found.value if isinstance(found, Map) else found.inner
        return holds_ip(inner)
    return isinstance(found, Ip)


def largest(found: Type) -> int:
    """The largest size of a value: characters or entries."""
    return found.most if isinstance(found, Str | List | Map) else 0


class Checker:
    """Checks the expressions of one set; equal parts of them get equal ids."""

    def __init__(self, environment: Environment, limits: Limits | None = None) -> None:
        self.environment, self.limits = environment, limits or Limits()
        self._ids: dict[tuple[Any, ...], int] = {}
        self._bound: list[tuple[str, Type]] = []  # variables of macros, outermost first
        self._functions: dict[str, Callable[[Syntax, Sequence[Syntax], Facts], Node]] = {
            "has": self._has,
            "size": self._size,
            "int": self._int,
            "double": self._double,
            "string": self._string,
            "hash": self._hash,
            "bucket": self._bucket,
            "ip": self._ip,
            "isIP": self._is_ip,
            "inNet": self._in_net,
        }
        self._methods: dict[str, Callable[[Syntax, Sequence[Syntax], Facts], Node]] = {
            "size": self._size,
            "startsWith": self._text_test,
            "endsWith": self._text_test,
            "contains": self._text_test,
            "matches": self._matches,
            "lowerAscii": self._lower,
            "split": self._split,
            "orValue": self._or_value,
            "hasValue": self._has_value,
            **dict.fromkeys(MACROS, self._macro),
        }

    def check(self, source: Source, wanted: type[Any] | tuple[type[Any], ...] = (), facts: Facts = NONE) -> Node:
        """The checked form of a text; ExpressionError says what is wrong and what would be right.

        `wanted` names the types that will do, none of them any; `facts` hold wherever the value will be asked for.
        """
        try:
            tree = parse(source)
            node = self.walk(tree, facts)
            if isinstance(node.type, Optional | Record | Never):
                hint = "end it with `.orValue(..)`" if isinstance(node.type, Optional) else ""
                raise ExpressionError(f"the result is no value but {node.type}", tree.span, hint)
            kinds = wanted if isinstance(wanted, tuple) else (wanted,)
            if kinds and not isinstance(node.type, kinds):
                names = " or ".join(CALLED.get(kind, "value") for kind in kinds)
                raise ExpressionError(f"the result is {node.type}, {names} is wanted", tree.span)
            if node.units > self.limits.expression:
                raise ExpressionError(
                    f"it may cost {node.units} units, {self.limits.expression} at most", tree.span, self._dearest(node)
                )
            return node
        except ExpressionError as problem:
            raise problem.at(source) from None
        finally:
            self._bound.clear()

    def _dearest(self, node: Node) -> str:
        """Where the cost comes from: the deepest part that still holds most of it."""
        while node.args and max(part.units for part in node.args) * 2 > node.units:
            node = max(node.args, key=lambda part: part.units)
        advice = {
            "split": "; give it a most: `.split(sep, 8)`",
            "exists": "; bound the list: `.split(sep, 8)`",
            "all": "; bound the list: `.split(sep, 8)`",
            "exists_one": "; bound the list: `.split(sep, 8)`",
            "matches": "; use a smaller pattern, or guard by `size(..) < 200 &&`",
        }.get(node.op, "")
        return f"most of it, {node.units}, is what stands at character {node.span.start + 1}{advice}"

    # -- nodes --------------------------------------------------------------------------------

    def _id(self, *shape: Any) -> int:
        return self._ids.setdefault(shape, len(self._ids))

    def _constant(self, value: Any, span: Span, found: Type | None = None) -> Node:
        # By repr and type: 1, 1.0 and True are equal to Python, as are 0.0 and -0.0.
        found = found or constant(value)
        return Node("const", (), found, span, self._id("const", str(found), repr(value)), 0, value)

    def _node(
        self,
        op: str,
        args: Sequence[Node],
        found: Type,
        span: Span,
        units: int,
        facts: Facts,
        value: Any = None,
        guarded: bool = False,
        label: Any = None,
    ) -> Node:
        """A node with its own cost on top of that of its parts; `label` tells its value from others'."""
        number = self._id(op, label, *(arg.id for arg in args))
        levels = frozenset[int]().union(*(arg.levels for arg in args))
        node = Node(
            op,
            tuple(args),
            found,
            span,
            number,
            units + sum(arg.units for arg in args),
            value,
            guarded or any(arg.guarded for arg in args),
            levels,
        )
        return self._known(node, facts)

    def _known(self, node: Node, facts: Facts) -> Node:
        if (fact := facts.get(("type", node.id))) is not None:
            node.type = meet(node.type, fact)
        return node

    def _operation(
        self, op: str, args: Sequence[Node], found: Type, span: Span, facts: Facts, guarded: bool = False
    ) -> Node:
        operation = OPERATIONS[op]
        if all(arg.op == "const" for arg in args):  # folded: shown safe, so it cannot fail here either
            value = operation.run(*(arg.value for arg in args))
            return self._constant(value, span, found if holds_ip(found) else None)
        sizes = [weight(arg.type) if operation.weighs else largest(arg.type) for arg in args]
        return self._node(op, args, found, span, operation.units(*sizes), facts, guarded=guarded)

    # -- the tree -----------------------------------------------------------------------------

    def walk(self, tree: Syntax, facts: Facts) -> Node:
        return getattr(self, f"_on_{tree.kind}")(tree, facts)  # type: ignore[no-any-return]

    def _on_int(self, tree: Syntax, facts: Facts) -> Node:
        if not INT_LEAST <= tree.value <= INT_MOST:
            raise ExpressionError("the integer does not fit 64 bits", tree.span)
        return self._constant(tree.value, tree.span)

    def _on_double(self, tree: Syntax, facts: Facts) -> Node:
        return self._constant(tree.value, tree.span)

    _on_string = _on_bool = _on_double

    def _on_name(self, tree: Syntax, facts: Facts) -> Node:
        for level in reversed(range(len(self._bound))):
            name, found = self._bound[level]
            if name == tree.value:
                node = Node(
                    "bound", (), found, tree.span, self._id("bound", level), 1, level, levels=frozenset((level,))
                )
                return self._known(node, facts)
        return self._variable(tree.value, tree.span, self.environment.variables, "", facts)

    def _variable(self, name: str, span: Span, known: Mapping[str, Type], above: str, facts: Facts) -> Node:
        if name not in known:
            if not above and name in self.environment.later:
                raise ExpressionError(f"{name!r} is not known here: {self.environment.later[name]}", span)
            near = get_close_matches(name, known, 1)
            what = f"{above} has no field {name!r}" if above else f"nothing is called {name!r}"
            raise ExpressionError(what, span, f"did you mean `{near[0]}`?" if near else f"there are {', '.join(known)}")
        path = f"{above}.{name}" if above else name
        return self._known(Node("var", (), known[name], span, self._id("var", path), 1, path), facts)

    def _on_select(self, tree: Syntax, facts: Facts) -> Node:
        over = self.walk(tree.parts[0], facts)
        if isinstance(over.type, Record):
            return self._variable(tree.value, tree.span, over.type.fields, over.value, facts)
        if isinstance(over.type, Map):
            return self._get(over, self._constant(tree.value, tree.span), tree, facts)
        raise ExpressionError(f"{over.type} has no fields", tree.span)

    def _on_index(self, tree: Syntax, facts: Facts) -> Node:
        over, at = (self.walk(part, facts) for part in tree.parts)
        if isinstance(over.type, Map):
            return self._get(over, at, tree, facts)
        if not isinstance(over.type, List):
            raise ExpressionError(f"{over.type} has no entries", tree.span, "only lists and maps have")
        if not isinstance(at.type, Int):
            raise ExpressionError(f"a list is indexed by an int, not {at.type}", at.span)
        counted = facts.get(("type", self._id("size", None, over.id)))
        least = max(over.type.least, counted.least if isinstance(counted, Int) else 0)
        if at.type.least < 0 or at.type.most >= least:
            shown = "the list may be shorter" if at.type.least >= 0 else "the index may be negative"
            raise ExpressionError(shown, tree.span, "write `list[?i].orValue(..)`, or guard it: `size(list) > i && ..`")
        guarded = least > over.type.least or self._narrowed(at, facts)
        return self._operation("at", (over, at), over.type.entry, tree.span, facts, guarded)

    def _get(self, over: Node, key: Node, tree: Syntax, facts: Facts) -> Node:
        assert isinstance(over.type, Map)
        self._key(over.type, key)
        sure = key.op == "const" and key.value in over.type.keys
        listed = isinstance(key.type, Str) and key.type.values is not None and key.type.values <= over.type.keys
        if not (sure or listed or ("key", over.id, key.id) in facts):
            text = self._shown(tree)
            instead = f"{text[0]}[?{text[1]}].orValue({self._empty(over.type.value)})"
            raise ExpressionError(
                f"`{text[0]}[{text[1]}]` may be missing",
                tree.span,
                f"write `{instead}`, or guard it: `{text[1]} in {text[0]} && ..`",
            )
        return self._operation("get", (over, key), over.type.value, tree.span, facts, guarded=not sure)

    def _key(self, over: Map, key: Node) -> None:
        if not same_kind(over.key, key.type):
            raise ExpressionError(f"a key is {over.key}, not {key.type}", key.span)

    @staticmethod
    def _empty(found: Type) -> str:
        return {Str: '""', Int: "0", Bool: "false", Double: "0.0"}.get(type(found), "..")

    def _shown(self, tree: Syntax) -> tuple[str, str]:
        """Map and key as source text, for a hint."""
        key = f'"{tree.value}"' if tree.kind == "select" else _text(tree.parts[1])
        return _text(tree.parts[0]), key

    def _on_opt_index(self, tree: Syntax, facts: Facts) -> Node:
        over, at = (self.walk(part, facts) for part in tree.parts)
        if isinstance(over.type, Map):
            self._key(over.type, at)
            return self._operation("get_optional", (over, at), Optional(over.type.value), tree.span, facts)
        if isinstance(over.type, List):
            if not isinstance(at.type, Int):
                raise ExpressionError(f"a list is indexed by an int, not {at.type}", at.span)
            return self._operation("at_optional", (over, at), Optional(over.type.entry), tree.span, facts)
        raise ExpressionError(f"{over.type} has no entries", tree.span, "only lists and maps have")

    def _on_list(self, tree: Syntax, facts: Facts) -> Node:
        parts = [self.walk(part, facts) for part in tree.parts]
        entry = self._common(parts, "the entries of a list")
        if all(part.op == "const" for part in parts):
            found = List(entry, len(parts), len(parts))
            return self._constant([part.value for part in parts], tree.span, found)
        return self._node("list", parts, List(entry, len(parts), len(parts)), tree.span, 1 + len(parts), facts)

    def _on_map(self, tree: Syntax, facts: Facts) -> Node:
        parts = [self.walk(part, facts) for part in tree.parts]
        keys, values = parts[::2], parts[1::2]
        seen: set[Any] = set()
        for key in keys:
            if key.op != "const" or not isinstance(key.type, Str | Int | Bool):
                raise ExpressionError("a key of a map is a literal string, int or bool", key.span)
            if key.value in seen:
                raise ExpressionError(f"the key {key.value!r} stands twice", key.span)
            seen.add(key.value)
        key_type = self._common(keys, "the keys of a map")
        found = Map(key_type, self._common(values, "the values of a map"), len(keys), frozenset(seen))
        if all(value.op == "const" for value in values):
            made = {key.value: value.value for key, value in zip(keys, values, strict=True)}
            return self._constant(made, tree.span, found)
        return self._node("map", parts, found, tree.span, 1 + len(keys), facts)

    def _common(self, parts: Sequence[Node], what: str) -> Type:
        found: Type = Never()
        for part in parts:
            if isinstance(part.type, Record | Optional) or not same_kind(found, part.type):
                raise ExpressionError(f"{what} are of one type: here {found} and {part.type}", part.span)
            found = join(found, part.type)
        return found

    def _on_not(self, tree: Syntax, facts: Facts) -> Node:
        inner = self._bool(self.walk(tree.parts[0], facts), "`!`")
        if inner.op == "const":
            return self._constant(not inner.value, tree.span)
        return self._node("not", (inner,), Bool(), tree.span, 1, facts)

    def _bool(self, node: Node, what: str) -> Node:
        if not isinstance(node.type, Bool):
            hint = "compare it: `.. == ..`" if isinstance(node.type, Str | Int) else ""
            raise ExpressionError(f"{what} takes bool, not {node.type}", node.span, hint)
        return node

    def _junction(self, tree: Syntax, facts: Facts) -> Node:
        """`&&` or `||`: what the left parts tell holds in those to their right."""
        going = tree.kind == "and"  # the outcome of a part with which the next is looked at
        parts: list[Node] = []
        for part in tree.parts:
            node = self._bool(self.walk(part, facts), "`&&`" if going else "`||`")
            parts.append(node)
            facts = merged(facts, self.assume(node, going))
        left = [part for part in parts if not (part.op == "const" and part.value is going)]
        if any(part.op == "const" for part in left):
            return self._constant(not going, tree.span)  # each part is total, so the others need not run
        if len(left) < 2:
            return left[0] if left else self._constant(going, tree.span)
        return self._node(tree.kind, left, Bool(), tree.span, 1, NONE)

    _on_and = _on_or = _junction

    def _on_cond(self, tree: Syntax, facts: Facts) -> Node:
        test = self._bool(self.walk(tree.parts[0], facts), "`? :`")
        yes = self.walk(tree.parts[1], merged(facts, self.assume(test, True)))
        no = self.walk(tree.parts[2], merged(facts, self.assume(test, False)))
        found = self._common((yes, no), "both outcomes of `? :`") if not isinstance(yes.type, Optional) else yes.type
        if isinstance(yes.type, Optional):
            if not same_kind(yes.type, no.type):
                raise ExpressionError(f"both outcomes of `? :` are of one type: here {yes.type} and {no.type}", no.span)
            found = join(yes.type, no.type)
        if test.op == "const":
            return yes if test.value else no
        node = self._node("cond", (test, yes, no), found, tree.span, 1, facts)
        node.units = 1 + test.units + max(yes.units, no.units)
        return node

    def _on_negate(self, tree: Syntax, facts: Facts) -> Node:
        inner = self.walk(tree.parts[0], facts)
        if isinstance(inner.type, Int):
            found = self._within(-inner.type.most, -inner.type.least, tree.span)
            return self._operation("neg", (inner,), found, tree.span, facts, self._narrowed(inner, facts))
        if not isinstance(inner.type, Double):
            raise ExpressionError(f"`-` takes an int or a double, not {inner.type}", tree.span)
        return self._operation("neg", (inner,), Double(), tree.span, facts)

    def _within(self, least: int, most: int, span: Span) -> Int:
        if least < INT_LEAST or most > INT_MOST:
            raise ExpressionError(
                "the result may not fit 64 bits",
                span,
                "bound the operands first: `x < 1000000 && ..`, or use `bucket(..)`",
            )
        return Int(least, most)

    def _on_binary(self, tree: Syntax, facts: Facts) -> Node:
        left, right = (self.walk(part, facts) for part in tree.parts)
        word = tree.value
        if word == "in":
            return self._in(left, right, tree, facts)
        if isinstance(left.type, Record | Optional) or not same_kind(left.type, right.type):
            hint = ""
            kinds = {type(left.type), type(right.type)}
            if kinds == {Int, Double}:
                hint = "write `double(..)` around the int"
            elif Str in kinds and Int in kinds:
                hint = "write `string(..)` around the int"
            elif Str in kinds and Ip in kinds:
                hint = 'write `ip("..")` around the text, or use `inNet`'
            elif Optional in kinds:
                hint = "end the optional with `.orValue(..)`"
            reason = f"`{word}` takes two values of one type, not {left.type} and {right.type}"
            raise ExpressionError(reason, tree.span, hint)
        if word in ("==", "!="):
            return self._operation("eq" if word == "==" else "ne", (left, right), Bool(), tree.span, facts)
        if word in ORDER:
            if not isinstance(left.type, Int | Double | Str | Bool):
                raise ExpressionError(f"`{word}` takes ints, doubles, strings or bools, not {left.type}", tree.span)
            return self._operation(ORDER[word], (left, right), Bool(), tree.span, facts)
        return self._arithmetic(word, left, right, tree, facts)

    def _arithmetic(self, word: str, left: Node, right: Node, tree: Syntax, facts: Facts) -> Node:
        a, b, span = left.type, right.type, tree.span
        if isinstance(a, Int) and isinstance(b, Int):
            return self._integers(word, left, right, tree, facts)
        if isinstance(a, Double) and word != "%":
            op = {"+": "add", "-": "sub", "*": "mul", "/": "div_double"}[word]
            return self._operation(op, (left, right), Double(), span, facts)
        if isinstance(a, Str) and isinstance(b, Str) and word == "+":
            if a.most + b.most > TEXT_MOST:
                raise ExpressionError(f"the string may have over {TEXT_MOST} characters", span)
            values = None
            if a.values and b.values and len(a.values) * len(b.values) <= types.VALUES_MOST:
                values = frozenset(x + y for x in a.values for y in b.values)
            return self._operation("join_string", (left, right), Str(a.most + b.most, values), span, facts)
        if isinstance(a, List | Never) and isinstance(b, List) and word == "+":
            found = List(join(getattr(a, "entry", Never()), b.entry), largest_least(a) + b.least, largest(a) + b.most)
            if found.most > ENTRIES_MOST:
                raise ExpressionError(f"the list may have over {ENTRIES_MOST} entries", span)
            return self._operation("join_list", (left, right), found, span, facts)
        raise ExpressionError(f"`{word}` does not work on {a}", span)

    def _integers(self, word: str, left: Node, right: Node, tree: Syntax, facts: Facts) -> Node:
        a, b = left.type, right.type
        assert isinstance(a, Int) and isinstance(b, Int)
        if word in "/%" and b.may_be_zero:
            raise ExpressionError(
                "the divisor may be 0", right.span, f"guard it: `{_text(tree.parts[1])} != 0 ? .. : ..`"
            )
        if word in "/%" and b.least <= -1 <= b.most and a.least == INT_LEAST:
            raise ExpressionError("the result may not fit 64 bits", tree.span, "bound the operands first")
        if word in "*+-":
            corners = [{"*": x * y, "+": x + y, "-": x - y}[word] for x in (a.least, a.most) for y in (b.least, b.most)]
            found = self._within(min(corners), max(corners), tree.span)
            op = {"*": "mul", "+": "add", "-": "sub"}[word]
        elif word == "/":
            # A quotient is never larger than its dividend, and towards zero; by a divisor of one sign it is monotone.
            nearest = min(abs(b.least), abs(b.most)) if b.least * b.most > 0 else 1
            reach = max(abs(a.least), abs(a.most)) // max(1, nearest)
            negative = a.least < 0 or b.least < 0
            positive = a.most > 0 and b.most > 0 or a.least < 0 and b.least < 0
            found, op = Int(-reach if negative else 0, min(reach, INT_MOST) if positive else 0), "div_int"
        else:
            reach = max(abs(b.least), abs(b.most)) - 1
            reach = min(reach, max(abs(a.least), abs(a.most)))
            found, op = Int(-reach if a.least < 0 else 0, min(reach, INT_MOST) if a.most > 0 else 0), "mod_int"
        # Bounds may come of guards: then the operation is safe only behind them.
        guarded = self._narrowed(left, facts) or self._narrowed(right, facts)
        return self._operation(op, (left, right), found, tree.span, facts, guarded)

    def _narrowed(self, node: Node, facts: Facts) -> bool:
        return ("type", node.id) in facts or any(self._narrowed(arg, facts) for arg in node.args)

    def _in(self, left: Node, right: Node, tree: Syntax, facts: Facts) -> Node:
        over = right.type
        if isinstance(over, Map):
            self._key(over, left)
            return self._operation("has_key", (left, right), Bool(), tree.span, facts)
        if not isinstance(over, List):
            hint = "write `text.contains(part)`" if isinstance(over, Str) else ""
            raise ExpressionError(f"`in` looks into a list or a map, not {over}", right.span, hint)
        if not same_kind(over.entry, left.type) or isinstance(left.type, Record | Optional):
            raise ExpressionError(f"the list holds {over.entry}, not {left.type}", left.span)
        hashable = isinstance(over.entry, Str | Int | Bool | Ip | Never)
        return self._operation(
            "in_set" if right.op == "const" and hashable else "in_list", (left, right), Bool(), tree.span, facts
        )

    # -- functions ----------------------------------------------------------------------------

    def _on_call(self, tree: Syntax, facts: Facts) -> Node:
        return self._called(tree, tree.parts, self._functions, self._methods, facts)

    def _on_method(self, tree: Syntax, facts: Facts) -> Node:
        return self._called(tree, tree.parts, self._methods, self._functions, facts)

    def _called(
        self, tree: Syntax, parts: Sequence[Syntax], known: Mapping[str, Any], other: Mapping[str, Any], facts: Facts
    ) -> Node:
        if tree.value not in known:
            if tree.value in other:
                form = f"x.{tree.value}(..)" if tree.kind == "call" else f"{tree.value}(x, ..)"
                raise ExpressionError(f"{tree.value} is written `{form}`", tree.span)
            near = get_close_matches(tree.value, [*known, *other], 1)
            hint = f"did you mean `{near[0]}`?" if near else f"there are {', '.join(sorted(known))}"
            raise ExpressionError(f"there is no function {tree.value!r}", tree.span, hint)
        return known[tree.value](tree, parts, facts)  # type: ignore[no-any-return]

    def _args(
        self,
        tree: Syntax,
        parts: Sequence[Syntax],
        facts: Facts,
        *wanted: type[Any] | tuple[type[Any], ...],
        least: int = -1,
    ) -> list[Node]:
        """The operands, of the wanted number and types."""
        if not (len(wanted) if least < 0 else least) <= len(parts) <= len(wanted):
            raise ExpressionError(f"{tree.value} does not take {len(parts)} operands", tree.span)
        found = [self.walk(part, facts) for part in parts]
        for node, kind in zip(found, wanted, strict=False):
            if not isinstance(node.type, kind):
                names = " or ".join(CALLED.get(k, "value") for k in (kind if isinstance(kind, tuple) else (kind,)))
                hint = "end the optional with `.orValue(..)`" if isinstance(node.type, Optional) else ""
                raise ExpressionError(f"{tree.value} takes {names} here, not {node.type}", node.span, hint)
        return found

    def _literal(self, node: Node, what: str) -> Any:
        if node.op != "const":
            raise ExpressionError(f"{what} is a literal", node.span)
        return node.value

    def _has(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        if len(parts) != 1 or parts[0].kind not in ("select", "index"):
            raise ExpressionError("has takes a field or an entry: `has(m.k)`", tree.span)
        over = self.walk(parts[0].parts[0], facts)
        if isinstance(over.type, Record):
            self.walk(parts[0], facts)
            return self._constant(True, tree.span)
        if not isinstance(over.type, Map):
            raise ExpressionError(f"{over.type} has no fields", tree.span)
        if parts[0].kind == "index":
            hint = f"write `{_text(parts[0].parts[1])} in {_text(parts[0].parts[0])}`"
            raise ExpressionError("has takes a field", tree.span, hint)
        key = self._constant(parts[0].value, parts[0].span)
        self._key(over.type, key)
        return self._operation("has_key", (key, over), Bool(), tree.span, facts)

    def _size(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        (over,) = self._args(tree, parts, facts, (Str, List, Map))
        least = largest_least(over.type) if not isinstance(over.type, Map) else len(over.type.keys)
        return self._operation("size", (over,), Int(least, largest(over.type)), tree.span, facts)

    def _int(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        (over,) = self._args(tree, parts, facts, (Str, Int))
        if isinstance(over.type, Int):
            return over
        bounds = facts.get(("digits", over.id))
        if (
            over.op == "const"
            and (spelt := patterns.digits(f"^{over.value}$"))
            and len(str(over.value)) < 19
            and (str(over.value).lstrip("-").isdigit())
        ):
            bounds = spelt
        if bounds is None:
            text = _text(parts[0])
            raise ExpressionError(
                "the text may be no integer",
                tree.span,
                f'guard it: `{text}.matches("^[0-9]{{1,9}}$") ? int({text}) : 0`',
            )
        return self._operation("to_int", (over,), Int(*bounds), tree.span, facts, guarded=over.op != "const")

    def _double(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        (over,) = self._args(tree, parts, facts, (Int, Double))
        return (
            over if isinstance(over.type, Double) else self._operation("to_double", (over,), Double(), tree.span, facts)
        )

    def _string(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        (over,) = self._args(tree, parts, facts, (Str, Int, Bool, Ip))
        if isinstance(over.type, Str):
            return over
        if isinstance(over.type, Ip):
            return self._operation("ip_to_string", (over,), Str(networks.ADDRESS_MOST), tree.span, facts)
        found = Str(20) if isinstance(over.type, Int) else Str(5, frozenset(("true", "false")))
        return self._operation("to_string", (over,), found, tree.span, facts)

    def _hash(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        return self._operation("hash", self._args(tree, parts, facts, Str), Int(0, INT_MOST), tree.span, facts)

    def _bucket(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        text, count = self._args(tree, parts, facts, Str, Int)
        buckets = self._literal(count, "the number of buckets")
        if not 1 <= buckets <= BUCKETS_MOST:
            raise ExpressionError(f"there are 1 to {BUCKETS_MOST} buckets, not {buckets}", count.span)
        return self._operation("bucket", (text, count), Int(0, buckets - 1), tree.span, facts)

    def _ip(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        (over,) = self._args(tree, parts, facts, (Str, Ip))
        if isinstance(over.type, Ip):
            return over
        if not (over.op == "const" and ip_number(over.value) is not None or ("ip", over.id) in facts):
            text = _text(parts[0])
            raise ExpressionError(
                "the text may be no address", tree.span, f"guard it: `isIP({text}) && .. ip({text}) ..`"
            )
        return self._operation("to_ip", (over,), Ip(), tree.span, facts, guarded=over.op != "const")

    def _is_ip(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        return self._operation("is_ip", self._args(tree, parts, facts, Str), Bool(), tree.span, facts)

    def _in_net(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        over, named = self._args(tree, parts, facts, Ip, Str)
        name = self._literal(named, "the network or set")
        found = self.environment.sets.get(name)
        if found is None:
            try:
                found = networks.address_set(name, [name])
            except networks.NetworkError as problem:
                near = get_close_matches(name, self.environment.sets, 1)
                hint = f"did you mean `{near[0]}`?" if near else "add an [[address_set]], or write a network"
                reason = f"no address set is called {name!r}, and {problem}"
                raise ExpressionError(reason, named.span, hint) from None
        if over.op == "const":
            return self._constant(found.has(over.value), tree.span)
        return self._node(
            "in_net", (over,), Bool(), tree.span, functions.network_units(found), facts, found, label=name
        )

    def _text_test(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        op = {"startsWith": "starts", "endsWith": "ends", "contains": "contains"}[tree.value]
        return self._operation(op, self._args(tree, parts, facts, Str, Str), Bool(), tree.span, facts)

    def _matches(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        over, wanted = self._args(tree, parts, facts, Str, Str)
        text = self._literal(wanted, "a pattern")
        try:
            found = patterns.pattern(text)
        except patterns.PatternError as problem:
            # Within the literal, behind its quotes; escapes may shift the caret by a little.
            start = min(parts[1].span.start + 1 + problem.offset, parts[1].span.end - 1)
            raise ExpressionError(
                f"the pattern is refused at character {problem.offset + 1}: {problem.reason}",
                Span(start, max(start + 1, min(start + problem.size, parts[1].span.end - 1))),
                problem.hint,
            ) from None
        if over.op == "const":
            return self._constant(found.found_in(over.value), tree.span)
        units = functions.matches_units(found, largest(over.type))
        return self._node("matches", (over,), Bool(), tree.span, units, facts, found, label=text)

    def _lower(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        (over,) = self._args(tree, parts, facts, Str)
        assert isinstance(over.type, Str)
        values = over.type.values and frozenset(value.translate(functions.LOWER) for value in over.type.values)
        return self._operation("lower", (over,), Str(over.type.most, values), tree.span, facts)

    def _split(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        args = self._args(tree, parts, facts, Str, Str, Int, least=2)
        over, sep = args[:2]
        assert isinstance(over.type, Str)
        text = self._literal(sep, "what separates the parts")
        limit = self._literal(args[2], "the most parts") if len(args) > 2 else -1
        found = List(Str(over.type.most), 1 if text and limit else 0, functions.parts_most(over.type.most, text, limit))
        if over.op == "const":
            return self._constant(functions.split(over.value, text, limit), tree.span)
        units = functions.split_units(over.type.most, text, limit)
        return self._node("split", (over,), found, tree.span, units, facts, (text, limit), label=(text, limit))

    def _or_value(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        over, other = self._args(tree, parts, facts, Optional, object)
        assert isinstance(over.type, Optional)
        if isinstance(other.type, Record | Optional) or not same_kind(over.type.inner, other.type):
            raise ExpressionError(f"the value is {over.type.inner}, in its place stands {other.type}", other.span)
        if over.op == "const":
            inner = over.type.inner
            return self._constant(over.value[0], tree.span, inner if holds_ip(inner) else None) if over.value else other
        return self._node("or_value", (over, other), join(over.type.inner, other.type), tree.span, 1, facts)

    def _has_value(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        return self._operation("has_value", self._args(tree, parts, facts, Optional), Bool(), tree.span, facts)

    def _macro(self, tree: Syntax, parts: Sequence[Syntax], facts: Facts) -> Node:
        if len(parts) != 3 or parts[1].kind != "name":
            raise ExpressionError(f"{tree.value} is written `list.{tree.value}(x, test of x)`", tree.span)
        over = self.walk(parts[0], facts)
        if not isinstance(over.type, List):
            hint = 'look a key up: `"k" in m`' if isinstance(over.type, Map) else ""
            raise ExpressionError(f"{tree.value} goes over a list, not {over.type}", parts[0].span, hint)
        name, level = parts[1].value, len(self._bound)
        if name in self.environment.variables:
            raise ExpressionError(f"{name!r} has a meaning already", parts[1].span)
        self._bound.append((name, over.type.entry))
        try:
            # Facts about a bound variable arise within its macro and never leave it, so a level's name is safe.
            test = self._bool(self.walk(parts[2], facts), f"the test of {tree.value}")
        finally:
            self._bound.pop()
        node = self._node(tree.value, (over, test), Bool(), tree.span, 0, facts, level)
        node.units = 1 + over.units + over.type.most * (1 + test.units)
        node.levels = over.levels | (test.levels - {level})
        return node

    # -- facts --------------------------------------------------------------------------------

    def assume(self, node: Node, truth: bool) -> Facts:
        """What is known where the node has turned out so."""
        if node.op == "not":
            return self.assume(node.args[0], not truth)
        if node.op in ("and", "or"):
            if (node.op == "and") == truth:  # all parts turned out so
                told: Facts = NONE
                for part in node.args:
                    told = merged(told, self.assume(part, truth))
                return told
            return self._common_facts([self.assume(part, truth) for part in node.args])
        if node.op in ("eq", "ne", "lt", "le", "gt", "ge"):
            return self._compared(node.op if truth else CONTRARY[node.op], *node.args)
        if not truth:
            return NONE
        if node.op == "has_key":
            key, over = node.args
            return {("key", over.id, key.id): True}
        if node.op == "has_value" and node.args[0].op == "get_optional":
            over, key = node.args[0].args
            return {("key", over.id, key.id): True}
        if node.op == "in_set":
            entry = node.args[1].type
            assert isinstance(entry, List)
            return {} if isinstance(entry.entry, Never) else {("type", node.args[0].id): entry.entry}
        if node.op == "matches" and node.value.digits is not None:
            return {("digits", node.args[0].id): node.value.digits}
        if node.op == "is_ip":
            return {("ip", node.args[0].id): True}
        return NONE

    @staticmethod
    def _common_facts(all_facts: list[Facts]) -> Facts:
        first, *others = all_facts
        told = {}
        for key, fact in first.items():
            if all(key in other for other in others):
                for other in others:
                    if key[0] == "type":
                        fact = join(fact, other[key])
                    elif key[0] == "digits":
                        fact = (min(fact[0], other[key][0]), max(fact[1], other[key][1]))
                told[key] = fact
        return told

    def _compared(self, op: str, a: Node, b: Node) -> Facts:
        told: dict[tuple[Any, ...], Any] = {}
        x, y = a.type, b.type
        if op == "eq":
            for node, other in ((a, b), (b, a)):
                if node.op != "const" and isinstance(other.type, Str | Int):
                    told["type", node.id] = other.type
        elif isinstance(x, Int) and isinstance(y, Int):
            strict = 1 if op in ("lt", "gt") else 0
            for node, low, high in ((a, x, y), (b, y, x)):
                if node.op == "const":
                    continue
                below = (op in ("lt", "le")) == (node is a)
                if op == "ne":
                    if other_value(high) == 0:
                        told["type", node.id] = Int(zero=False)
                    elif high.least == high.most and high.least == low.least < low.most:
                        told["type", node.id] = Int(low.least + 1, low.most)
                elif below and high.most - strict >= INT_LEAST:
                    told["type", node.id] = Int(INT_LEAST, high.most - strict)
                elif not below and high.least + strict <= INT_MOST:
                    told["type", node.id] = Int(high.least + strict, INT_MOST)
        return told


def merged(facts: Facts, more: Facts) -> Facts:
    """Both together; what each says of a type is narrowed by the other."""
    if not more:
        return facts
    told = dict(facts)
    for key, fact in more.items():
        told[key] = meet(told[key], fact) if key[0] == "type" and key in told else fact
    return told


def other_value(found: Int) -> int | None:
    return found.least if found.least == found.most else None


def largest_least(found: Type) -> int:
    return found.least if isinstance(found, List) else 0


def _text(tree: Syntax) -> str:
    """A short form of the source of a part, for hints."""
    if tree.kind == "name":
        return str(tree.value)
    if tree.kind == "select":
        return f"{_text(tree.parts[0])}.{tree.value}"
    if tree.kind == "string":
        plain = len(tree.value) < 60 and tree.value.isprintable() and '"' not in tree.value
        return f'"{tree.value}"' if plain else '".."'
    if tree.kind == "int":
        return str(tree.value)
    if tree.kind in ("index", "opt_index"):
        mark = "?" if tree.kind == "opt_index" else ""
        return f"{_text(tree.parts[0])}[{mark}{_text(tree.parts[1])}]"
    if tree.kind in ("method", "call"):
        first = f"{_text(tree.parts[0])}." if tree.kind == "method" else ""
        rest = tree.parts[1:] if tree.kind == "method" else tree.parts
        return f"{first}{tree.value}({', '.join(_text(part) for part in rest)})"
    return "x"


__all__ = ["Checker", "Facts", "NONE", "constant"]
