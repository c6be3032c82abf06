"""`thistleshore expr`: the group; each of its commands has a file of its own."""

from __future__ import annotations

import click

from thistleshore.cli import Later, LazyGroup

COMMANDS = {
    "check": Later("expr_check", "Check the rules of an operator's file, and list what each may cost."),
    "eval": Later("expr_eval", "Evaluate one expression for a request."),
    "explain": Later("expr_explain", "Say which rule takes a request, and why not the earlier ones."),
    "cost": Later("expr_cost", "Say what an expression, or each rule of a file, may cost."),
    "bench": Later("expr_bench", "Time the rules of a file over a sample of requests."),
}


@click.group(cls=LazyGroup, later=COMMANDS)
def command() -> None:
    """Check, evaluate, explain, cost and time expressions.

    Requests are JSON, every key optional:

    \b
    {"front":"http", "method":"POST", "host":"..", "path":"/a/b", "query":{"q":"1"},
     "headers":{"x-org":"acme"}, "size":212, "client":"10.0.0.9", "tube":"", "priority":0}
    """
