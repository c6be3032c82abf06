"""`thistleshore expr check`."""

from __future__ import annotations

import click

from thistleshore.cli.shared import JSON, echo_json, table_of


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@JSON
def command(file: str, as_json: bool) -> None:
    """Check the rules of an operator's FILE, and list what each may cost, in units.

    Ends with status 2 and every fault, with its place and what would be right, where there are any.
    """
    rules = table_of(file).rules
    found = [{"rule": rule.name, "units": rules.cost(n), "when": rule.when.text} for n, rule in enumerate(rules.rules)]
    if as_json:
        echo_json(
            {"rules": found, "units": rules.units, "limit": rules.limits.total, "indexed": rules.compiled.indexed}
        )
        return
    for row in found:
        click.echo(f"{row['units']:>8}  {row['rule']}")
    click.echo(f"{rules.units:>8}  all, {rules.limits.total} at most; {rules.compiled.indexed} found by an index")
