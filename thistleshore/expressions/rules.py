"""An ordered set of rules: checked together, compiled once, and explained one by one.

The first rule whose condition holds decides.  A rule gives values by name; what it does not say is None.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thistleshore.expressions.check import Checker
from thistleshore.expressions.compiler import CheckedRule, Compiled, compile_rules
from thistleshore.expressions.diagnostics import ExpressionError, Source, Span
from thistleshore.expressions.evaluate import Evaluator
from thistleshore.expressions.model import Environment, Limits, Node
from thistleshore.expressions.types import Bool, Int, Str


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule as written: its name, its condition, and its values by name."""

    name: str
    when: Source
    values: dict[str, Source] = field(default_factory=dict)


class Kind(NamedTuple):
    """A value that rules may give, and the types that will do for it."""

    name: str
    types: type[Any] | tuple[type[Any], ...] = Str


class RuleErrors(ValueError):
    """All that is wrong with a set of rules, in the order of the rules."""

    def __init__(self, problems: Sequence[ExpressionError]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)


class Looked(NamedTuple):
    """What one rule said to one request."""

    rule: Rule
    held: bool
    values: dict[str, Any]
    units: int
    because: str  # the first part of the condition that did not hold


class RuleSet:
    """Rules that are sound together.  RuleErrors names all that are not."""

    def __init__(
        self,
        rules: Sequence[Rule],
        kinds: Sequence[Kind],
        environment: Environment,
        limits: Limits,
        name: str = "match",
        indexing: bool = True,
    ) -> None:
        self.rules, self.kinds, self.environment, self.limits = tuple(rules), tuple(kinds), environment, limits
        checker, problems = Checker(environment, limits), list[ExpressionError]()
        checked: list[CheckedRule] = []
        for rule in self.rules:
            try:
                checked.append(self._checked(checker, rule, problems))
            except ExpressionError as problem:
                problems.append(problem)
        self.checked = tuple(checked)
        self.units = sum(self.cost(number) for number in range(len(checked)))
        if not problems and self.units > limits.total:
            number = max(range(len(checked)), key=self.cost)
            problems.append(
                ExpressionError(
                    f"all rules together may cost {self.units} units, {limits.total} at most",
                    Span(0, 1),
                    f"this rule may cost most of them, {self.cost(number)}",
                    self.rules[number].when,
                )
            )
        if problems:
            raise RuleErrors(problems)
        self.compiled: Compiled = compile_rules(self.checked, name, indexing)

    def _checked(self, checker: Checker, rule: Rule, problems: list[ExpressionError]) -> CheckedRule:
        when = checker.check(rule.when, Bool)
        facts = checker.assume(when, True)  # values are asked for only where the condition has held
        values: list[Node | None] = []
        for kind in self.kinds:
            source = rule.values.get(kind.name)
            try:
                values.append(None if source is None else checker.check(source, kind.types, facts))
            except ExpressionError as problem:
                problems.append(problem)
        return CheckedRule(when, tuple(values))

    def cost(self, number: int) -> int:
        """The most units that one rule can cost, its values included."""
        rule = self.checked[number]
        return rule.when.units + sum(value.units for value in rule.values if value is not None)

    @property
    def decide(self) -> Callable[[Any], tuple[Any, ...] | None]:
        """`decide(request)`: the first rule's number and its values, or None where none fits."""
        return self.compiled.decide

    def walk(self, read: Callable[[str], Any]) -> tuple[tuple[Any, ...] | None, int]:
        """The same by the plain evaluator, and the units it cost."""
        at = Evaluator(read)
        for number, rule in enumerate(self.checked):
            if at.value(rule.when):
                return (number, *(None if value is None else at.value(value) for value in rule.values)), at.units
        return None, at.units

    def explain(self, read: Callable[[str], Any]) -> list[Looked]:
        """Each rule up to the one that decides, and why the earlier ones did not."""
        told = []
        for rule, checked in zip(self.rules, self.checked, strict=True):
            at = Evaluator(read)
            parts = checked.when.args if checked.when.op == "and" else (checked.when,)
            failed = next((part for part in parts if not at.value(part)), None)
            values: dict[str, Any] = {}
            if failed is None:
                given = zip(self.kinds, checked.values, strict=True)
                values = {kind.name: at.value(node) for kind, node in given if node is not None}
            because = "" if failed is None else rule.when.text[slice(*failed.span)]
            told.append(Looked(rule, failed is None, values, at.units, because))
            if failed is None:
                break
        return told


KEY_TYPES = (Str, Int)
__all__ = ["KEY_TYPES", "Kind", "Looked", "Rule", "RuleErrors", "RuleSet"]
