"""`thistleshore keep`."""

from __future__ import annotations

import logging
import signal
import sys

import click

from thistleshore import config
from thistleshore.cli.shared import refuse


@click.command()
@click.option(
    "--config",
    "file",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="The operator's file of the dispatcher, with a [keep] in it.",
)
def command(file: str) -> None:
    """Keep a dispatcher: start it, start it again when it crashes, replace it as the fleet has agreed.

    SIGTERM drains the dispatcher and ends with status 0.  Where the keeper dies the dispatcher serves on, and the next
    keeper adopts it.  Ends with status 2 where the file cannot be used or another keeper has the folder, and with 3
    after a loop of crashes.
    """
    import trio

    from thistleshore.releases import keeping

    try:
        plan = config.operator_file(file, 0.0)
    except config.ConfigError as problem:
        refuse("\n".join(problem.problems), 2)
    if plan.keep is None or plan.admin is None:
        refuse(f"{file}: there is no [keep] in it", 2)
    keep, admin = plan.keep, plan.admin
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")

    async def run() -> int | str:
        ends = trio.Event()
        try:
            runner = keeping.KeeperRunner(keep, file, admin)
        except (keeping.Busy, ValueError, OSError) as problem:
            return str(problem)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:

                async def obey() -> None:
                    async for _ in signals:
                        ends.set()

                nursery.start_soon(obey)
                status = await runner.run(ends)
                nursery.cancel_scope.cancel()
        return status

    status = trio.run(run)
    if isinstance(status, str):
        refuse(status, 2)
    sys.exit(status)
