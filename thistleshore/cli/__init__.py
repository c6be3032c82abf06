"""The command line.  Each sub-command has a file of its own, which is imported only when it is called."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from importlib import import_module
from typing import Any, NamedTuple

import click

from thistleshore import __version__


class Later(NamedTuple):
    """A sub-command that has not been imported: its module here, and what `--help` says of it."""

    module: str
    told: str


class LazyGroup(click.Group):
    """A group whose commands are imported when they are called; help lists them without importing any."""

    def __init__(self, *args: Any, later: Mapping[str, Later], **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.later = later

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self.later)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in self.later:
            return None
        found = import_module(f"thistleshore.cli.{self.later[cmd_name].module}").command
        assert isinstance(found, click.Command)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, later.told) for name, later in self.later.items()])


COMMANDS = {
    "serve": Later("serve", "Serve by an operator's file until SIGTERM."),
    "check": Later("check", "Name everything that is wrong with operator's files, alone and together."),
    "expr": Later("expr", "Check, evaluate, explain, cost and time expressions."),
    "admin": Later("admin", "Ask a dispatcher that runs; take hosts out and call them back."),
    "fleet": Later("fleet", "Show and follow the view of the fleet; leave it, or have it forget a dead member."),
    "keep": Later("keep", "Keep a dispatcher: start it, start it again, and replace it as the fleet has agreed."),
    "release": Later("release", "Bring another version to the dispatchers in waves; halt it, take it back."),
    "config": Later("configuration", "Push a configuration to the whole fleet; follow it, and take it back."),
    "contracts": Later("contracts", "Show the agreements of an operator's file and their shares."),
    "rig": Later("rig", "Start several processes, break what lies between them, and check what came of it."),
    "load": Later("load", "Send open-loop load, and tell what came of it."),
    "import": Later("imports", "Turn another program's configuration into an operator's file."),
    "completion": Later("completion", "Print the completion script of a shell."),
}


@click.group(cls=LazyGroup, later=COMMANDS, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="thistleshore")
def commands() -> None:
    """thistleshore: a dispatcher between the services of many teams.

    Without arguments, `python -m thistleshore` serves as the environment says: PROXY_OPERATOR names an operator's
    file, PROXY_CONFIG the platform's.
    """


def main() -> int:
    """Run the command line; ends the process with its status."""
    try:
        commands(prog_name="thistleshore")
    except BrokenPipeError:  # `thistleshore .. | head`
        sys.stderr.close()
        return 1
    return 0
