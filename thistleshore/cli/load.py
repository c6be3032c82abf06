"""`thistleshore load`."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

LATE = 3  # the exit status of a run in which this program fell behind


@click.group()
def command() -> None:
    """Open-loop load that tells the truth."""


@command.command()
@click.argument("plan", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="A folder for plan, result, table and summary."
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def run(plan: Path, out: Path | None, as_json: bool) -> None:
    """Send the requests of a PLAN at their times, and tell what came of them.

    Latency counts from when a request was meant to be sent.  Ends with status 3 where this program itself fell behind
    by more than the plan's bound, with 2 where the plan is faulty, and with 130 after Ctrl-C, with what is known.
    """
    import trio

    from thistleshore.cli.stopping import until_stopped
    from thistleshore.load.plan import PlanError, read
    from thistleshore.load.run import Sender

    try:
        sender = Sender(read(plan))
    except PlanError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)

    async def play() -> bool:
        await sender.run()
        return True

    whole = trio.run(until_stopped, play)
    result = sender.result
    if out is not None:
        result.write(out)
    click.echo(json.dumps(result.told()) if as_json else result.summary())
    sys.exit(130 if not whole or result.partial else LATE if result.late else 0)
