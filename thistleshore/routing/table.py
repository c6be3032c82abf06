"""The route table: the rules of the operator's file first, then the `path` and `tube` keys of the contracts.

Pure: no wire, file or clock.  A table is immutable; `ActiveRouteTable` holds the one in force and replaces it by one
assignment, so that no stream is routed by parts of two tables.
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
CONTRACT, CLASS, MEMBER, KEY = range(1, 5)  # indexes into the result of a rule set; index 0 is the number of the rule


class Terms(NamedTuple):
    """The part of a contract that a table uses; a contract's number is its index in the file."""

    name: str
    job_class: str
    team: str
    deadline: float  # seconds
    path: str = ""
    tube: str = ""


class RouteDecision(NamedTuple):
    """The route of a stream, decided at intake; later tables do not change it."""

    contract: int
    deadline: float  # seconds for which the client waits
    member: str = ""
    key: int = 0  # 0: none
    rule: str = ""


class RouteTableError(ValueError):
    """All problems of a table's rules."""

    def __init__(self, problems: Sequence[ExpressionError]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)


def key_number(key: str | int | None) -> int:
    """Return the decision module's number for a key, 0 for none; a text is hashed, an int taken modulo 2^64."""
    if isinstance(key, int):
        return key % 2**64
    return (hash64(key) or 1) if key else 0


@dataclass(frozen=True, slots=True)
class _Classes:
    """Contracts by class, or by class and member for classes of several teams."""

    by_class: Mapping[str, tuple[int, ...]]
    by_team: Mapping[tuple[str, str], int]

    def find(self, job_class: str, member: str) -> int | None:
        numbers = self.by_class.get(job_class, ())
        return numbers[0] if len(numbers) == 1 else self.by_team.get((job_class, member))


class RouteTable:
    """Rules bound to contracts; raises RouteTableError if rules are invalid or name unknown contracts or classes."""

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
            # Used after a rule that decides no contract and no class.
            self.plain = RuleSet(plain, KINDS, environment, limits, "paths and tubes")
        except RuleErrors as errors:
            raise RouteTableError(errors.problems) from None
        if problems := [problem for n in range(len(rules)) for problem in self._rule_problems(n)]:
            raise RouteTableError(problems)
        self.fields = self.rules.compiled.fields

    def _rule_problems(self, number: int) -> list[ExpressionError]:
        """Return the problems with the contracts and classes that a rule may name."""
        rule, checked = self.rules.rules[number], self.rules.checked[number]
        contract, job_class, member, _ = checked.values
        if contract is not None and job_class is not None:
            return [
                ExpressionError(
                    "contract and class are both given: one of them is enough", Span(0, 1), source=rule.values["class"]
                )
            ]
        if contract is not None:
            return self._name_problems(rule.values["contract"], contract, self.names, "contract")
        if job_class is None:
            return []
        problems = self._name_problems(rule.values["class"], job_class, self._classes.by_class, "class")
        if not problems and member is None:
            assert isinstance(job_class.type, Str)
            for name in sorted(job_class.type.values or ()):
                if len(self._classes.by_class[name]) > 1:
                    reason = f"several teams have a contract of class {name!r}"
                    hint = "give the rule a `member`, or name the contract by `contract`"
                    problems.append(ExpressionError(reason, job_class.span, hint, rule.values["class"]))
        return problems

    @staticmethod
    def _name_problems(source: Source, node: Node, known: Mapping[str, Any], what: str) -> list[ExpressionError]:
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
        """The maximum cost of routing one request, in units of the expression evaluator."""
        return self.rules.units + self.plain.units

    def route(self, request: Request) -> RouteDecision | None:
        """Return the route by the first matching rule; None if no rule matches or no contract results."""
        decided = self.rules.decide(request)
        return None if decided is None else self._bind(decided, request)

    def _bind(self, decided: tuple[Any, ...], request: Request) -> RouteDecision | None:
        name, member = decided[CONTRACT], decided[MEMBER] or ""
        number: int | None
        if name is not None:
            number = self.names[name][0]
        elif decided[CLASS] is not None:
            number = self._classes.find(decided[CLASS], member)
        else:
            plain = self.plain.decide(request)
            number = None if plain is None else self._plain_contracts[plain[0]]
        if number is None:
            return None
        return RouteDecision(
            number, self.contracts[number].deadline, member, key_number(decided[KEY]), self.rules.rules[decided[0]].name
        )

    def explain(self, request: Request) -> tuple[list[Looked], RouteDecision | None]:
        """Return the evaluation of each rule up to the deciding one, and the route."""
        return self.rules.explain(request.read), self.route(request)


def _plain_rules(contracts: Sequence[Terms]) -> tuple[list[int], list[Rule]]:
    """Return the `path` and `tube` keys as rules, longest path first, and the contract number of each rule."""
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
    """Holds the table in force; each routing of a request reads it once."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table

    def swap(self, table: RouteTable) -> None:
        """Replace the table, for streams that arrive from now on."""
        self.table = table
