"""Compiles a whole set of rules to one Python code object, by `ast`.

What the set repeats is computed once; constants are already folded.  Runs of rules that begin with a comparison of
texts are found by an index, so that their number does not matter: a dictionary for `==` and `in [..]`, a sorted list
for `startsWith`.
"""

from __future__ import annotations

import ast
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from math import isfinite
from typing import Any, NamedTuple

from thistleshore.expressions import functions
from thistleshore.expressions.model import Node
from thistleshore.expressions.types import Double, Int, List, Map, Str

INDEX_FROM = 6  # rules in a run from which an index pays
INDEXES_MOST = 4  # expressions by which one run is indexed: each costs a look-up, whatever fits
SHARED_MOST = 24  # expressions that are kept for the whole call: each costs a little at its start
COMPARED = {"eq": ast.Eq, "ne": ast.NotEq, "lt": ast.Lt, "le": ast.LtE, "gt": ast.Gt, "ge": ast.GtE}
ARITHMETIC = {"add": ast.Add, "sub": ast.Sub, "mul": ast.Mult, "join_string": ast.Add}
UNSET = object()


@dataclass(frozen=True, slots=True)
class CheckedRule:
    """A rule's condition, and the values that it gives, None for what it does not say."""

    when: Node
    values: tuple[Node | None, ...]


class Way(NamedTuple):
    """A test of a rule's condition that an index can answer."""

    over: Node
    prefix: bool
    literals: frozenset[str]
    part: Node  # the conjunct that says so
    whole: bool  # the index answers all of the conjunct, so that it need not be tested again

    @property
    def kind(self) -> tuple[int, bool]:
        return self.over.id, self.prefix


def conjuncts(node: Node) -> tuple[Node, ...]:
    return node.args if node.op == "and" else (node,)


def ways(when: Node) -> list[Way]:
    """The tests by which a rule could be found.  Only what is safe without a guard may run ahead of its turn."""
    found = []
    for part in conjuncts(when):
        way = _way(part)
        if way is not None and not way.over.guarded and not way.over.levels and isinstance(way.over.type, Str):
            found.append(way)
    return found


def _way(part: Node) -> Way | None:
    args = part.args
    if part.op == "eq":
        for over, other in (args, args[::-1]):
            if other.op == "const" and isinstance(other.value, str) and over.op != "const":
                return Way(over, False, frozenset((other.value,)), part, True)
    elif part.op == "in_set" and args[1].value and isinstance(args[1].value[0], str):
        return Way(args[0], False, frozenset(args[1].value), part, True)
    elif part.op == "starts" and args[1].op == "const" and args[0].op != "const":
        return Way(args[0], True, frozenset((args[1].value,)), part, True)
    elif part.op == "matches" and part.value.prefix:
        return Way(args[0], True, frozenset((part.value.prefix,)), part, False)
    elif part.op == "or":
        inner = [_way(alternative) for alternative in args]
        first = inner[0]
        if first is not None and all(way is not None and way.kind == first.kind and way.whole for way in inner):
            literals = frozenset[str]().union(*(way.literals for way in inner if way is not None))
            return Way(first.over, first.prefix, literals, part, True)
    return None


class PrefixIndex:
    """Which numbers stand with a prefix of a text.  `find` costs the logarithm of their count, and a step for each
    prefix that is a prefix of the next."""

    def __init__(self, entries: Iterable[tuple[str, int]]) -> None:
        by_prefix: dict[str, list[int]] = defaultdict(list)
        for prefix, number in entries:
            by_prefix[prefix].append(number)
        self._sorted = sorted(by_prefix)
        self._above: list[int] = []  # the longest shorter prefix of each, -1 without
        self._numbers: list[tuple[int, ...]] = []  # of each and all above it
        chain: list[int] = []
        for at, prefix in enumerate(self._sorted):
            while chain and not prefix.startswith(self._sorted[chain[-1]]):
                chain.pop()
            above = chain[-1] if chain else -1
            self._above.append(above)
            more = self._numbers[above] if above >= 0 else ()
            self._numbers.append(tuple(sorted((*more, *by_prefix[prefix]))))
            chain.append(at)

    def find(self, text: str) -> tuple[int, ...]:
        # Whatever sorts between a prefix of the text and the text begins with that prefix too: so the last one
        # that sorts before the text, or one above it, is the longest that fits.
        at = bisect_right(self._sorted, text) - 1
        while at >= 0 and not text.startswith(self._sorted[at]):
            at = self._above[at]
        return self._numbers[at] if at >= 0 else ()


def exists(entries: Sequence[Any], test: Callable[[Any], bool]) -> bool:
    return any(map(test, entries))


def every(entries: Sequence[Any], test: Callable[[Any], bool]) -> bool:
    return all(map(test, entries))


def exists_one(entries: Sequence[Any], test: Callable[[Any], bool]) -> bool:
    met = 0
    for entry in entries:
        met += test(entry)
        if met > 1:
            return False
    return met == 1


MACROS = {"exists": exists, "all": every, "exists_one": exists_one}


def _name(name: str) -> ast.Name:
    return ast.Name(name, ast.Load())


def _call(function: ast.expr, *args: ast.expr) -> ast.Call:
    return ast.Call(function, list(args), [])


def _compare(left: ast.expr, op: ast.cmpop, right: ast.expr) -> ast.Compare:
    return ast.Compare(left, [op], [right])


def _method(over: ast.expr, name: str, *args: ast.expr) -> ast.Call:
    return _call(ast.Attribute(over, name, ast.Load()), *args)


def _assign(name: str, value: ast.expr) -> ast.stmt:
    return ast.Assign([ast.Name(name, ast.Store())], value, lineno=0)


@dataclass(slots=True)
class _Emitter:
    """Nodes to Python; constants that Python's syntax lacks become globals of the function."""

    names: dict[str, Any] = field(default_factory=lambda: {"UNSET": UNSET})
    fields: dict[str, str] = field(default_factory=dict)  # variables by path, and the locals that hold them
    kept: set[int] = field(default_factory=set)  # ids whose value is kept in a local once it is known
    inside: int = 0  # macros around: within them nothing is kept, their test being a function of its own

    def constant(self, value: Any, word: str = "k") -> ast.expr:
        if isinstance(value, str | int) or isinstance(value, float) and isfinite(value):
            return ast.Constant(value)
        name = f"{word}{len(self.names)}"
        self.names[name] = value
        return _name(name)

    def helper(self, function: Any) -> ast.expr:
        name = f"f_{function.__name__}"
        self.names[name] = function
        return _name(name)

    def emit(self, node: Node) -> ast.expr:
        if node.id in self.kept and not self.inside:
            name = f"m{node.id}"
            fresh = ast.NamedExpr(ast.Name(name, ast.Store()), self._plain(node))
            return ast.IfExp(_compare(_name(name), ast.IsNot(), _name("UNSET")), _name(name), fresh)
        return self._plain(node)

    def _plain(self, node: Node) -> ast.expr:
        op, args = node.op, node.args
        if op == "const":
            return self.constant(node.value)
        if op == "var":
            return _name(self.fields.setdefault(node.value, "v_" + node.value.replace(".", "_")))
        if op == "bound":
            return _name(f"b{node.value}")
        if op in ("and", "or"):
            return ast.BoolOp(ast.And() if op == "and" else ast.Or(), [self.emit(arg) for arg in args])
        if op == "not":
            return ast.UnaryOp(ast.Not(), self.emit(args[0]))
        if op == "cond":
            return ast.IfExp(*(self.emit(arg) for arg in args))
        if op in COMPARED and (op not in ("eq", "ne") or not isinstance(args[0].type, List | Map)):
            return _compare(self.emit(args[0]), COMPARED[op](), self.emit(args[1]))
        if op in ARITHMETIC:
            return ast.BinOp(self.emit(args[0]), ARITHMETIC[op](), self.emit(args[1]))
        if special := getattr(self, f"_{op}", None):
            return special(node)  # type: ignore[no-any-return]
        return _call(self.constant(functions.OPERATIONS[op].run, f"{op}_"), *(self.emit(arg) for arg in args))

    def _neg(self, node: Node) -> ast.expr:
        return ast.UnaryOp(ast.USub(), self.emit(node.args[0]))

    def _towards_zero(self, node: Node, op: ast.operator) -> ast.expr:
        a, b = node.args
        left, right = self.emit(a), self.emit(b)
        if isinstance(a.type, Int) and isinstance(b.type, Int) and a.type.least >= 0 and b.type.least >= 0:
            return ast.BinOp(left, op, right)
        return _call(self.helper(functions.OPERATIONS[node.op].run), left, right)

    def _div_int(self, node: Node) -> ast.expr:
        return self._towards_zero(node, ast.FloorDiv())

    def _mod_int(self, node: Node) -> ast.expr:
        return self._towards_zero(node, ast.Mod())

    def _size(self, node: Node) -> ast.expr:
        return _call(_name("len"), self.emit(node.args[0]))

    def _to_int(self, node: Node) -> ast.expr:
        return _call(_name("int"), self.emit(node.args[0]))

    def _to_double(self, node: Node) -> ast.expr:
        return _call(_name("float"), self.emit(node.args[0]))

    def _get(self, node: Node) -> ast.expr:
        return ast.Subscript(self.emit(node.args[0]), self.emit(node.args[1]), ast.Load())

    _at = _get

    def _or_value(self, node: Node) -> ast.expr:
        over, other = node.args
        if over.op == "get_optional" and other.op in ("const", "var", "bound"):
            return _method(self.emit(over.args[0]), "get", self.emit(over.args[1]), self.emit(other))
        # Computed only where it is wanted: a function's operand would always be.
        return _call(self.helper(_or_else), self.emit(over), self._later((), other))

    def _later(self, names: Sequence[str], body: Node) -> ast.expr:
        self.inside += 1
        inner = self.emit(body)
        self.inside -= 1
        return ast.Lambda(ast.arguments([], [ast.arg(name) for name in names], None, [], [], None, []), inner)

    def _has_value(self, node: Node) -> ast.expr:
        over = node.args[0]
        if over.op == "get_optional":
            return _compare(self.emit(over.args[1]), ast.In(), self.emit(over.args[0]))
        return _call(_name("bool"), self.emit(over))

    def _has_key(self, node: Node) -> ast.expr:
        return _compare(self.emit(node.args[0]), ast.In(), self.emit(node.args[1]))

    def _in_set(self, node: Node) -> ast.expr:
        return _compare(self.emit(node.args[0]), ast.In(), self.constant(frozenset(node.args[1].value)))

    def _starts(self, node: Node) -> ast.expr:
        return _method(self.emit(node.args[0]), "startswith", self.emit(node.args[1]))

    def _ends(self, node: Node) -> ast.expr:
        return _method(self.emit(node.args[0]), "endswith", self.emit(node.args[1]))

    def _contains(self, node: Node) -> ast.expr:
        return _compare(self.emit(node.args[1]), ast.In(), self.emit(node.args[0]))

    def _split(self, node: Node) -> ast.expr:
        sep, most = node.value
        over = self.emit(node.args[0])
        if sep and most:
            return _method(over, "split", ast.Constant(sep), ast.Constant(most - 1 if most > 0 else -1))
        return _call(self.helper(functions.split), over, ast.Constant(sep), ast.Constant(most))

    def _matches(self, node: Node) -> ast.expr:
        over, found = node.args[0], node.value
        if over.op not in ("var", "bound"):
            return _call(self.constant(found.found_in, "match"), self.emit(over))
        text = self.emit(over)
        search = _call(self.constant(found.search, "search"), _method(text, "encode"))
        tested = _compare(search, ast.IsNot(), ast.Constant(None))
        if not found.prefix:
            return tested
        return ast.BoolOp(ast.And(), [_method(text, "startswith", ast.Constant(found.prefix)), tested])

    def _in_net(self, node: Node) -> ast.expr:
        return _call(self.constant(node.value.has, "net"), self.emit(node.args[0]))

    def _list(self, node: Node) -> ast.expr:
        return ast.List([self.emit(arg) for arg in node.args], ast.Load())

    def _map(self, node: Node) -> ast.expr:
        parts = [self.emit(arg) for arg in node.args]
        return ast.Dict(list(parts[::2]), parts[1::2])

    def _macro(self, node: Node) -> ast.expr:
        test = self._later((f"b{node.value}",), node.args[1])
        return _call(self.helper(MACROS[node.op]), self.emit(node.args[0]), test)

    _exists = _all = _exists_one = _macro

    def _in_list(self, node: Node) -> ast.expr:
        left, right = self.emit(node.args[0]), self.emit(node.args[1])
        if isinstance(node.args[0].type, Double | List | Map):
            return _call(self.helper(functions.among), left, right)
        return _compare(left, ast.In(), right)


def _or_else(found: tuple[Any, ...], other: Callable[[], Any]) -> Any:
    return found[0] if found else other()


class Compiled(NamedTuple):
    """`decide(request)`: the number of the first rule that fits and its values, or None.

    `fields` are the variables that it reads; `indexed` the rules that an index finds.
    """

    decide: Callable[[Any], tuple[Any, ...] | None]
    fields: frozenset[str]
    indexed: int


def _shared(rules: Sequence[CheckedRule]) -> tuple[set[int], list[set[int]]]:
    """Ids worth keeping: for the whole call, and for each rule alone."""
    sites: Counter[int] = Counter()
    homes: dict[int, set[int]] = defaultdict(set)
    nodes: dict[int, Node] = {}

    def visit(node: Node, rule: int) -> None:
        first = node.id not in nodes
        nodes[node.id] = node
        if node.op not in ("const", "var", "bound") and not node.levels:
            sites[node.id] += 1
            homes[node.id].add(rule)
        if first:  # again, it is read from where it is kept
            for arg in node.args:
                visit(arg, rule)

    for number, rule in enumerate(rules):
        for node in (rule.when, *rule.values):
            if node is not None:
                visit(node, number)
    repeated = [number for number, count in sites.items() if count > 1 and _worth(nodes[number])]
    across = [number for number in repeated if len(homes[number]) > 1]
    across.sort(key=lambda number: (-sites[number] * min(nodes[number].units, 64), number))
    alone: list[set[int]] = [set() for _ in rules]
    for number in repeated:
        if len(homes[number]) == 1:
            alone[next(iter(homes[number]))].add(number)
    return set(across[:SHARED_MOST]), alone


def _worth(node: Node) -> bool:
    """Is keeping the value cheaper than computing it again?  A comparison of what is at hand is not worth it."""
    cheap = node.op in ("eq", "ne", "lt", "le", "gt", "ge", "in_set", "has_key", "not", "starts", "ends", "add", "sub")
    return not (cheap and all(arg.op in ("const", "var") for arg in node.args))


def compile_rules(rules: Sequence[CheckedRule], name: str = "rules", indexing: bool = True) -> Compiled:
    """One function for all rules, in their order."""
    emitter = _Emitter()
    emitter.kept, alone = _shared(rules)
    shared = sorted(emitter.kept)
    chosen = _choose(rules) if indexing else {}
    body: list[ast.stmt] = []
    for run in _runs(len(rules), chosen):
        if run[0] in chosen:
            body += _indexed(emitter, rules, run, chosen, alone)
        else:
            for number in run:
                body += _straight(emitter, rules[number], number, alone[number])
    body.append(ast.Return(ast.Constant(None)))
    start = [
        _assign(local, ast.Attribute(_name("request"), path.rpartition(".")[2], ast.Load()))
        for path, local in emitter.fields.items()
    ]
    if shared:
        start.append(ast.Assign([ast.Name(f"m{number}", ast.Store()) for number in shared], _name("UNSET"), lineno=0))
    arguments = ast.arguments([], [ast.arg("request")], None, [], [], None, [])
    function = ast.FunctionDef("decide", arguments, [*start, *body], [], None, lineno=0)
    module = ast.fix_missing_locations(ast.Module([function], []))
    scope = dict(emitter.names)
    exec(compile(module, f"<{name}>", "exec"), scope)  # our own tree of checked nodes: no text of the file is run
    return Compiled(scope["decide"], frozenset(emitter.fields), len(chosen))


def _choose(rules: Sequence[CheckedRule]) -> dict[int, Way]:
    """For each rule that an index can find, the way whose literals single it out best."""
    offered = [ways(rule.when) for rule in rules]
    popular = Counter(kind for found in offered for kind in {way.kind for way in found})
    allowed = {kind for kind, _ in popular.most_common(INDEXES_MOST)}
    crowd = Counter((way.kind, text) for found in offered for way in found for text in way.literals)
    chosen = {}
    for number, found in enumerate(offered):
        usable = [way for way in found if way.kind in allowed]
        if usable:
            chosen[number] = min(
                usable,
                key=lambda way: (max(crowd[way.kind, text] for text in way.literals), way.prefix, -popular[way.kind]),
            )
    for run in _runs(len(rules), chosen):
        if run[0] in chosen and len(run) < INDEX_FROM:
            for number in run:
                del chosen[number]
    return chosen


def _runs(count: int, chosen: dict[int, Way]) -> list[list[int]]:
    """Rules in order, cut where those that are indexed meet those that are not."""
    runs: list[list[int]] = []
    for number in range(count):
        if runs and (runs[-1][0] in chosen) == (number in chosen):
            runs[-1].append(number)
        else:
            runs.append([number])
    return runs


def _result(emitter: _Emitter, rule: CheckedRule, number: int) -> ast.expr:
    if all(value is None or value.op == "const" for value in rule.values):
        return emitter.constant((number, *(value.value if value is not None else None for value in rule.values)))
    values = [ast.Constant(None) if value is None else emitter.emit(value) for value in rule.values]
    return ast.Tuple([ast.Constant(number), *values], ast.Load())


def _straight(
    emitter: _Emitter, rule: CheckedRule, number: int, alone: set[int], tests: Sequence[Node] | None = None
) -> list[ast.stmt]:
    """`if when: return ..`, with what the rule alone repeats kept within it."""
    parts = conjuncts(rule.when) if tests is None else tests
    emitter.kept |= alone
    result: list[ast.stmt] = [ast.Return(_result(emitter, rule, number))]
    if parts and not (len(parts) == 1 and parts[0].op == "const" and parts[0].value is True):
        emitted = [emitter.emit(part) for part in parts]
        result = [ast.If(emitted[0] if len(emitted) == 1 else ast.BoolOp(ast.And(), emitted), result, [])]
    emitter.kept -= alone
    if alone:
        result.insert(0, ast.Assign([ast.Name(f"m{n}", ast.Store()) for n in sorted(alone)], _name("UNSET"), lineno=0))
    return result


def _indexed(
    emitter: _Emitter,
    rules: Sequence[CheckedRule],
    run: Sequence[int],
    chosen: dict[int, Way],
    alone: Sequence[set[int]],
) -> list[ast.stmt]:
    """Look up who may fit, then test those in order."""
    kinds: dict[tuple[int, bool], list[tuple[str, int]]] = {}
    over: dict[tuple[int, bool], Node] = {}
    for number in run:
        way = chosen[number]
        over[way.kind] = way.over
        kinds.setdefault(way.kind, []).extend((text, number) for text in way.literals)
    looked: list[ast.expr] = []
    for kind, entries in kinds.items():
        if kind[1]:
            looked.append(_call(emitter.constant(PrefixIndex(entries).find, "prefixes"), emitter.emit(over[kind])))
            continue
        table: dict[str, list[int]] = defaultdict(list)
        for text, number in entries:
            table[text].append(number)
        found = {text: tuple(sorted(numbers)) for text, numbers in table.items()}
        looked.append(
            _call(emitter.constant(found.get, "exactly"), emitter.emit(over[kind]), ast.Tuple([], ast.Load()))
        )
    total = looked[0]
    for more in looked[1:]:
        total = ast.BinOp(total, ast.Add(), more)
    order = _name("found") if len(looked) == 1 else _call(_name("sorted"), _name("found"))

    def leaf(number: int) -> list[ast.stmt]:
        way = chosen[number]
        tests = [part for part in conjuncts(rules[number].when) if not (part is way.part and way.whole)]
        return _straight(emitter, rules[number], number, alone[number], tests)

    def tree(numbers: Sequence[int]) -> list[ast.stmt]:
        if len(numbers) == 1:
            return leaf(numbers[0])
        half = len(numbers) // 2
        test = _compare(_name("n"), ast.Lt(), ast.Constant(numbers[half]))
        return [ast.If(test, tree(numbers[:half]), tree(numbers[half:]))]

    loop = ast.For(ast.Name("n", ast.Store()), order, tree(run), [], lineno=0)
    return [_assign("found", total), ast.If(_name("found"), [loop], [])]
