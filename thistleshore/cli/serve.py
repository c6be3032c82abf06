"""`thistleshore serve`."""

from __future__ import annotations

import os
import sys

import click


@click.command()
@click.option(
    "--config", "file", required=True, type=click.Path(exists=True, dir_okay=False), help="An operator's file."
)
def command(file: str) -> None:
    """Serve by an operator's file until SIGTERM; SIGHUP reads the file again.

    Ends with status 0 after a drain, and with 2 where the file cannot be used.
    """
    from thistleshore.process import run

    sys.exit(run({**os.environ, "PROXY_OPERATOR": file}))
