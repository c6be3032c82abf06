"""`thistleshore expr explain`."""

from __future__ import annotations

from typing import Any

import click

from thistleshore.cli.shared import JSON, REQUEST, echo_json, request_of, table_of


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@REQUEST
@JSON
def command(file: str, asked: str | None, as_json: bool) -> None:
    """Say which rule of FILE takes a request, what it gives, and why the earlier ones did not take it.

    Ends with status 1 where the request fits none.
    """
    table, request = table_of(file), request_of(asked)
    looked, routed = table.explain(request)
    given: dict[str, Any] | None = None
    if routed is not None:
        terms = table.contracts[routed.contract]
        given = {
            "contract": terms.name,
            "team": terms.team,
            "class": terms.job_class,
            "member": routed.member,
            "key": routed.key,
            "rule": routed.rule,
            "deadline": routed.deadline,
        }
    if as_json:
        steps = [
            {
                "rule": step.rule.name,
                "held": step.held,
                "because": step.because,
                "units": step.units,
                "values": step.values,
            }
            for step in looked
        ]
        echo_json({"looked": steps, "routed": given})
    else:
        for step in looked:
            said = "takes it" if step.held else f"not: {step.because}"
            click.echo(f"{step.rule.name}: {said}  ({step.units} units)")
        click.echo("no rule fits" if given is None else " ".join(f"{key}={value}" for key, value in given.items()))
    if routed is None:
        raise SystemExit(1)
