"""`thistleshore expr eval`."""

from __future__ import annotations

import click

from thistleshore.cli.shared import REQUEST, echo_json, plain, refuse, request_of, table_of
from thistleshore.expressions import ExpressionError, Source, request_environment
from thistleshore.expressions.check import Checker
from thistleshore.expressions.evaluate import evaluate


@click.command()
@click.argument("expression")
@REQUEST
@click.option(
    "--set",
    "file",
    type=click.Path(exists=True, dir_okay=False),
    help="An operator's file, for its address sets and limits.",
)
def command(expression: str, asked: str | None, file: str | None) -> None:
    """Print the value of EXPRESSION for a request, as JSON.

    Ends with status 1 and says what is wrong and what would be right where the expression is refused.
    """
    request = request_of(asked)
    rules = table_of(file).rules if file is not None else None
    environment = rules.environment if rules is not None else request_environment()
    try:
        node = Checker(environment, rules.limits if rules is not None else None).check(Source(expression))
    except ExpressionError as problem:
        refuse(problem, 1)
    echo_json(plain(evaluate(node, request.read)[0], node.type))
