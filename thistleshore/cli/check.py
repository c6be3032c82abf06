"""`thistleshore check`."""

from __future__ import annotations

import sys

import click

from thistleshore import config


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def command(file: str) -> None:
    """Name everything that is wrong with an operator's FILE, at once.

    Nothing is started.  Ends with status 0 where the file can be used, and with 2 where it cannot.
    """
    try:
        plan = config.operator_file(file, 0.0)
    except config.ConfigError as problem:
        for text in problem.problems:
            click.echo(text, err=True)
        click.echo(f"{file}: {len(problem.problems)} fault(s)", err=True)
        sys.exit(2)
    assert plan.live is not None
    table = plan.live.table
    click.echo(f"{file}: sound: {len(table.contracts)} contracts, {len(table.rules.rules)} rules, "
               f"at most {table.units} units a request")  # fmt: skip
