"""`thistleshore completion`."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from thistleshore.cli import commands


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def command(shell: str) -> None:
    """Print the completion script of a SHELL.

    For bash: `eval "$(thistleshore completion bash)"`.
    """
    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(commands, {}, "thistleshore", "_THISTLESHORE_COMPLETE").source())
