"""`thistleshore import`."""

from __future__ import annotations

import sys

import click


@click.group()
def command() -> None:
    """Turn another program's configuration into an operator's file."""


@command.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--team", required=True, help="The consumer team of the contracts.")
@click.option("--leave-out", multiple=True, metavar="DIRECTIVE", help="A directive that may be lost; repeatable.")
def nginx(file: str, team: str, leave_out: tuple[str, ...]) -> None:
    """Turn the upstream and location blocks of an nginx FILE into an operator's file on standard output.

    What cannot be carried over is refused with file, line and directive, and nothing is written; status 1.
    """
    from thistleshore import nginx as importer

    sys.exit(importer.convert(file, team, frozenset(leave_out)))
