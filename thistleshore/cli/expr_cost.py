"""`thistleshore expr cost`."""

from __future__ import annotations

from pathlib import Path

import click

from thistleshore.cli.shared import JSON, REQUEST, echo_json, plain, refuse, request_of, table_of
from thistleshore.expressions import ExpressionError, Limits, Source, request_environment
from thistleshore.expressions.check import Checker
from thistleshore.expressions.evaluate import Evaluator, Step


@click.command()
@click.argument("subject", metavar="EXPR|FILE")
@click.option("--trace", is_flag=True, help="Evaluate it for a request, and list what each step costs.")
@REQUEST
@JSON
def command(subject: str, trace: bool, asked: str | None, as_json: bool) -> None:
    """Say what an expression, or each rule of an operator's file, may cost at worst, in units.

    With --trace the units that one request really costs stand beside it; they never exceed the bound.
    """
    is_file = len(subject) < 4096 and "\n" not in subject and Path(subject).is_file()
    if is_file:
        rules = table_of(subject).rules
        named = [
            (f"{rule.name}.{what}", node)
            for rule, checked in zip(rules.rules, rules.checked, strict=True)
            for what, node in zip(
                ("when", *(kind.name for kind in rules.kinds)), (checked.when, *checked.values), strict=True
            )
            if node is not None
        ]
        texts = {
            f"{rule.name}.{what}": source.text
            for rule in rules.rules
            for what, source in {"when": rule.when, **rule.values}.items()
        }
    else:
        try:
            # What it costs is asked here, not whether that is allowed.
            checker = Checker(request_environment(), Limits(2**62, 2**62))
            named, texts = [("expression", checker.check(Source(subject)))], {"expression": subject}
        except ExpressionError as problem:
            refuse(problem, 1)
    request = request_of(asked) if trace else None
    told = []
    for name, node in named:
        row: dict[str, object] = {"name": name, "bound": node.units}
        if request is not None:
            steps: list[Step] = []
            at = Evaluator(request.read, steps)
            value = at.value(node)
            parts = [{"part": texts[name][slice(*step.node.span)], "units": step.units} for step in steps]
            row |= {"value": plain(value, node.type), "units": at.units, "steps": parts}
        told.append(row)
    total = sum(node.units for _, node in named)
    if as_json:
        echo_json({"expressions": told, "total": total})
        return
    for row in told:
        click.echo(f"{row['bound']:>8}  {row['name']}" + (f": {row['units']} spent" if trace else ""))
        steps_told = row.get("steps", [])
        assert isinstance(steps_told, list)
        for step in steps_told:
            click.echo(f"          {step['units']:>6}  {step['part']}")
    click.echo(f"{total:>8}  all")
