"""`thistleshore contracts`."""

from __future__ import annotations

import click

from thistleshore import config
from thistleshore.cli.shared import JSON, echo_json, refuse
from thistleshore.contracts import Ledger


@click.group()
def command() -> None:
    """Show the agreements of an operator's file and their shares."""


@command.command()
@click.option(
    "--config", "file", required=True, type=click.Path(exists=True, dir_okay=False), help="An operator's file."
)
@click.option("--slots", default=100.0, show_default=True, help="Slots of each service's pool, all together.")
@JSON
def show(file: str, slots: float, as_json: bool) -> None:
    """Print the agreement tree with the shares that come of it, in slots, for a pool of so many.

    Shares of over 100 % together are scaled down, and said to be.  Ends with status 2 where the file is faulty, and
    with 1 where it has no [[member]].
    """
    try:
        plan = config.operator_file(file, 0.0)
    except config.ConfigError as problem:
        refuse("\n".join(problem.problems), 2)
    agreements = plan.agreements
    if agreements is None:
        refuse(f"{file}: no [[member]]: no shares are kept", 1)
    pool = [slots] * agreements.services
    ledger = Ledger(agreements, 0.0, lambda: pool, lambda: pool)
    rows = ledger.tree(0.0)
    total = sum(member.share for member in agreements.members)
    if as_json:
        echo_json(
            {
                "slots": slots,
                "instances": agreements.instances,
                "shares": round(total, 6),
                "scale": round(agreements.scale, 6),
                "members": [
                    {
                        "name": member.name or "others",
                        "share": member.share,
                        "ceiling": member.ceiling,
                        "burst": member.burst,
                        "retry_share": member.retries.share,
                        "retry_floor": member.retries.floor,
                        "contracts": [
                            {"name": row.contract, "slots": round(row.guaranteed, 3)}
                            for row in rows
                            if row.share.member == number
                        ],
                    }
                    for number, member in enumerate(agreements.members)
                ],
            }
        )
        return
    click.echo(f"consortium: {slots:g} slots a service, {agreements.instances} instance(s), {total:.0%} guaranteed")
    if agreements.scale < 0.9995:
        click.echo(f"  shares sum to more than the pool: each is scaled by {agreements.scale:.3f}")
    for number, member in enumerate(agreements.members):
        ceiling = "none" if member.ceiling is None else f"{member.ceiling:.0%}"
        retries = f"{member.retries.floor:g} + {member.retries.share:.0%} in {member.retries.span:g} s"
        click.echo(f"  {member.name or 'others'}: share {member.share:.1%}, ceiling {ceiling}, retries {retries}")
        for row in rows:
            if row.share.member == number:
                click.echo(f"    {row.contract}: {row.guaranteed:.2f} slots")
