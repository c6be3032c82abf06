"""The route table: rules of the operator's file first, then the `path` and `tube` keys of the contracts.

No wire, no file, no clock: requests in, what they are routed to out.  A table never changes; `Live` holds the one in
force, and swapping it is one assignment, so that no stream is routed by parts of two.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from thistleshore.expressions import Kind, Limits, Request, Rule, RuleErrors, RuleSet, Source
from thistleshore.expressions.diagnostics import ExpressionError, Span
from thistleshore.expressions.functions import hash64
from thistleshore.expressions.model import Environment, Node
from thistleshore.expressions.literal import quoted
from thistleshore.expressions.rules import KEY_TYPES, Looked
from thistleshore.expressions.types import Str

KINDS = (Kind("contract"), Kind("class"), Kind("member"), Kind("key", KEY_TYPES))
CONTRACT, CLASS, MEMBER, KEY = range(1, 5)  # places in what a set of rules decides; 0 is the rule's number


class Terms(NamedTuple):
    """What a table needs to know of a contract, whose number is its place in the file."""

    name: str
    job_class: str
    team: str
    deadline: float  # s
    path: str = ""
    tube: str = ""


class RouteDecision(NamedTuple):
    """What a stream was given at intake.  It keeps it, whatever table comes later."""

    contract: int
    deadline: float  # s that its client waits
    member: str = ""
    key: int = 0  # 0: none
    rule: str = ""


class RouteTableError(ValueError):
    """All that is wrong with a table's rules."""

    def __init__(self, problems: Sequence[ExpressionError]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)


def key_number(found: str | int | None) -> int:
    """A key as the module's number for it; 0: none.  A text is hashed, an int taken as it is."""
    if isinstance(found, int):
        return found % 2**64
    return (hash64(found) or 1) if found else 0


@dataclass(frozen=True, slots=True)
class _Classes:
    """Contracts by class, where several teams have it by class and member."""

    by_class: Mapping[str, tuple[int, ...]]
    by_team: Mapping[tuple[str, str], int]

    def find(self, job_class: str, member: str) -> int | None:
        numbers = self.by_class.get(job_class, ())
        return numbers[0] if len(numbers) == 1 else self.by_team.get((job_class, member))


class RouteTable:
    """Rules tied to contracts; TableError where they are not sound, or name what is not there."""

    def __init__(
        self, contracts: Sequence[Terms], rules: Sequence[Rule], environment: Environment, limits: Limits | None = None
    ) -> None:
        limits = limits or Limits()
        self.contracts = tuple(contracts)
        self.names: dict[str, list[int]] = {}
        by_class: dict[str, tuple[int, ...]] = {}
        by_team: dict[tuple[str, str], int] = {}
        for number, terms in enumerate(contracts):
            self.names.setdefault(terms.name, []).append(number)
            by_class[terms.job_class] = (*by_class.get(terms.job_class, ()), number)
            by_team.setdefault((terms.job_class, terms.team), number)
        self._classes = _Classes(by_class, by_team)
        self._plain_contracts, plain = _plain_rules(contracts)
        try:
            self.rules = RuleSet((*rules, *plain), KINDS, environment, limits)
            # A rule that names no contract leaves that to the paths and tubes.
            self.plain = RuleSet(plain, KINDS, environment, limits, "paths and tubes")
        except RuleErrors as problems:
            raise RouteTableError(problems.problems) from None
        if found := [problem for n in range(len(rules)) for problem in self._unknown(n)]:
            raise RouteTableError(found)
        self.fields = self.rules.compiled.fields

    def _unknown(self, number: int) -> list[ExpressionError]:
        """Contracts and classes that a rule may name and that are not there."""
        rule, checked = self.rules.rules[number], self.rules.checked[number]
        contract, job_class, member, _ = checked.values
        if contract is not None and job_class is not None:
            return [
                ExpressionError(
                    "contract and class are both given: one of them is enough", Span(0, 1), source=rule.values["class"]
                )
            ]
        if contract is not None:
            return self._names_unknown(rule.values["contract"], contract, self.names, "contract")
        if job_class is None:
            return []
        problems = self._names_unknown(rule.values["class"], job_class, self._classes.by_class, "class")
        if not problems and member is None:
            assert isinstance(job_class.type, Str)
            for name in sorted(job_class.type.values or ()):
                if len(self._classes.by_class[name]) > 1:
                    reason = f"several teams have a contract of class {name!r}"
                    hint = "give the rule a `member`, or name the contract by `contract`"
                    problems.append(ExpressionError(reason, job_class.span, hint, rule.values["class"]))
        return problems

    @staticmethod
    def _names_unknown(source: Source, node: Node, known: Mapping[str, Any], what: str) -> list[ExpressionError]:
        assert isinstance(node.type, Str)
        if node.type.values is None:
            hint = (
                'list what it may be: `x in [..] ? x : ".."`, or `{"a": ".."}[?x].orValue("..")`; there are '
                + ", ".join(known)
            )
            return [ExpressionError(f"it may be any text, and must be the name of a {what}", node.span, hint, source)]
        problems = []
        for name in sorted(node.type.values):
            if name not in known:
                problems.append(
                    ExpressionError(f"no {what} is called {name!r}", node.span, f"there are {', '.join(known)}", source)
                )
            elif what == "contract" and len(known[name]) > 1:
                problems.append(
                    ExpressionError(
                        f"{len(known[name])} contracts are called {name!r}",
                        node.span,
                        "give each a `name` of its own",
                        source,
                    )
                )
        return problems

    @property
    def units(self) -> int:
        """The most units that routing one request can cost."""
        return self.rules.units + self.plain.units

    def route(self, request: Request) -> RouteDecision | None:
        """What the first rule that fits says, or None where none fits or names a contract."""
        found = self.rules.decide(request)
        return None if found is None else self._tied(found, request)

    def _tied(self, found: tuple[Any, ...], request: Request) -> RouteDecision | None:
        name, member = found[CONTRACT], found[MEMBER] or ""
        number: int | None
        if name is not None:
            number = self.names[name][0]
        elif found[CLASS] is not None:
            number = self._classes.find(found[CLASS], member)
        else:
            plain = self.plain.decide(request)
            number = None if plain is None else self._plain_contracts[plain[0]]
        if number is None:
            return None
        return RouteDecision(
            number, self.contracts[number].deadline, member, key_number(found[KEY]), self.rules.rules[found[0]].name
        )

    def explain(self, request: Request) -> tuple[list[Looked], RouteDecision | None]:
        """Each rule up to the one that decides, and what comes of it."""
        return self.rules.explain(request.read), self.route(request)


def _plain_rules(contracts: Sequence[Terms]) -> tuple[list[int], list[Rule]]:
    """The `path` and `tube` keys as rules, and whose each is; the longest path is asked first."""
    numbers: list[int] = []
    rules: list[Rule] = []

    def add(number: int, key: str, when: str) -> None:
        name = f"contract[{number}].{key}"
        numbers.append(number)
        rules.append(Rule(name, Source(when, "", name)))

    paths = [(terms.path, n) for n, terms in enumerate(contracts) if terms.path]
    for path, number in sorted(paths, key=lambda item: (-len(item[0]), item[1])):
        add(number, "path", f'request.front == "http" && request.path.startsWith({quoted(path)})')
    for number, terms in enumerate(contracts):
        if terms.tube:
            add(number, "tube", f'request.front == "beanstalkd" && request.tube == {quoted(terms.tube)}')
    return numbers, rules


class ActiveRouteTable:
    """The table in force; whoever routes a request reads it once."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table

    def swap(self, table: RouteTable) -> None:
        """Put another in force, for streams that come from now on."""
        self.table = table
