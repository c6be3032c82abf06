"""`thistleshore rig`: several real processes with faults between them, and what came of it."""

from __future__ import annotations

import sys
import tempfile
from importlib.resources import files
from pathlib import Path
from typing import Any

import click

from thistleshore.cli.shared import JSON, echo_json, refuse

WORLDS = Path(str(files("thistleshore.rig"))) / "worlds"


@click.group()
def command() -> None:
    """Start several processes of the program on loopback, break what lies between them, and check what came of it."""


@command.command("list")
@JSON
def listed(as_json: bool) -> None:
    """The worlds that come with the program."""
    from thistleshore.rig.world import read

    worlds = [read(file) for file in sorted(WORLDS.glob("*.toml"))]
    if as_json:
        echo_json([{"name": world.name, "told": world.told, "processes": world.processes} for world in worlds])
        return
    for world in worlds:
        click.echo(f"{world.name:<10} {world.processes:>2} processes: {world.told}")


@command.command()
@click.argument("world")
@click.option("--seed", type=int, default=1, help="Of the faults that are drawn, of the links and of the load.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="A folder for the record and the report.")
@click.option("--processes", type=click.IntRange(1, 40), help="So many, in place of the world's.")
@JSON
def run(world: str, seed: int, out: Path | None, processes: int | None, as_json: bool) -> None:
    """Play WORLD: a file, or the name of one that comes with the program (`rig list`).

    Ends with status 1 where a check fails, 2 where the world is faulty, and 130 after Ctrl-C; no process is left.
    """
    import msgspec
    import trio
    from rich.console import Console

    from thistleshore.cli.stopping import until_stopped
    from thistleshore.rig import run as runs
    from thistleshore.rig.world import WorldError, read

    file = Path(world) if Path(world).is_file() else WORLDS / f"{world}.toml"
    try:
        found = read(file)
    except WorldError as problem:
        refuse(problem, 2)
    if processes is not None:
        found = msgspec.structs.replace(found, processes=processes)
    folder = out or Path(tempfile.mkdtemp(prefix="rig-"))

    with Console(stderr=True).status(f"{found.name}: starting") as status:

        async def play() -> dict[str, Any]:
            return await runs.play(found, seed, folder, told=lambda text: status.update(f"{found.name}: {text}"))

        summary = trio.run(until_stopped, play)
    if summary is None:
        sys.exit(130)
    if as_json:
        echo_json(summary)
    else:
        from thistleshore.rig.report import write

        click.echo(write(folder))
        click.echo(f"record, report and logs: {folder}")
    sys.exit(1 if summary["findings"] else 0)


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@JSON
def report(folder: Path, as_json: bool) -> None:
    """Judge a run that lies in FOLDER anew; write its table and chart.  Status 1 where a check fails."""
    import json

    from thistleshore.rig import checks
    from thistleshore.rig.report import write
    from thistleshore.rig.truth import read

    try:
        rows = read(folder / "record.jsonl")
        text = write(folder)
    except (OSError, ValueError) as problem:
        refuse(f"{folder}: {problem}", 2)
    findings = [found._asdict() for found in checks.judge(rows)]
    if as_json:
        echo_json({**json.loads((folder / "summary.json").read_text()), "findings": findings})
    else:
        click.echo(text)
    sys.exit(1 if findings else 0)
