"""`thistleshore check`."""

from __future__ import annotations

import sys

import click

from thistleshore import config


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
def command(files: tuple[str, ...]) -> None:
    """Name everything that is wrong with operator's FILES, at once, and where members of one fleet clash.

    Nothing is started.  Ends with status 0 where all can be used, and with 2 where one cannot, or two clash.
    """
    plans: dict[str, config.Plan] = {}
    for file in files:
        try:
            plan = plans[file] = config.operator_file(file, 0.0)
        except config.ConfigError as problem:
            for text in problem.problems:
                click.echo(text, err=True)
            click.echo(f"{file}: {len(problem.problems)} fault(s)", err=True)
            continue
        assert plan.live is not None
        table = plan.live.table
        click.echo(
            f"{file}: sound: {len(table.contracts)} contracts, {len(table.rules.rules)} rules, "
            f"at most {table.units} units a request"
        )
    from thistleshore.config.fleets import clashes

    found = clashes(plans)
    for text in found:
        click.echo(text, err=True)
    if len(plans) < len(files) or found:
        sys.exit(2)
