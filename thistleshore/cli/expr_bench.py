"""`thistleshore expr bench`: what deciding costs, next to the tree-walker and to Python written by hand."""

from __future__ import annotations

import runpy
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from timeit import Timer
from typing import Any

import click

from thistleshore.cli.shared import JSON, echo_json, refuse, table_of
from thistleshore.expressions import Request, RequestError, RuleSet, Source, request_environment
from thistleshore.expressions.model import Limits
from thistleshore.expressions.record import from_json
from thistleshore.expressions.rules import Kind, Rule
from thistleshore.routing import RouteTable

ROUNDS = 5  # timings of each request, of which the median counts
CALLS = 400  # calls in one timing
GROWTH = (20, 100, 1000)

Figures = dict[str, float]


def timed(act: Callable[[Any], object], requests: Sequence[Any], calls: int = CALLS) -> Figures:
    """Microseconds a request: p50 and p99 over the requests, each by the median of its timings."""
    found = []
    for request in requests:
        timer = Timer("act(request)", globals={"act": act, "request": request})
        found.append(sorted(timer.repeat(ROUNDS, calls))[ROUNDS // 2] / calls * 1e6)
    found.sort()
    return {
        "p50": round(found[len(found) // 2], 3),
        "p99": round(found[min(len(found) - 1, len(found) * 99 // 100)], 3),
    }


def routed(table: RouteTable) -> Callable[[Request], tuple[str, str, str, int] | None]:
    """The table's answer in the form of the one written by hand."""

    def decide(request: Request) -> tuple[str, str, str, int] | None:
        found = table.route(request)
        return None if found is None else (found.rule, table.contracts[found.contract].name, found.member, found.key)

    return decide


def grown(count: int, indexing: bool) -> RuleSet:
    """So many rules of the frequent forms, three kinds in turn."""
    forms = (
        'request.path.startsWith("/team{n}/") && request.size < 65000',
        'request.host == "h{n}.example.org"',
        'request.path in ["/a{n}", "/b{n}"]',
    )
    rules = [Rule(f"r{n}", Source(forms[n % 3].format(n=n)), {"contract": Source(f'"c{n % 9}"')}) for n in range(count)]
    return RuleSet(rules, (Kind("contract"),), request_environment(), Limits(10**6, 10**9), indexing=indexing)


def growth() -> dict[str, dict[str, Figures]]:
    """Of sets of the frequent forms, with and without the index: requests that hit rules spread over the set."""
    told: dict[str, dict[str, Figures]] = {}
    for count in GROWTH:
        step = max(1, count // 40)
        hits = [
            (Request(path=f"/team{n}/x"), Request(host=f"h{n}.example.org"), Request(path=f"/a{n}"))[n % 3]
            for n in range(0, count, step)
        ]
        told[str(count)] = {
            "indexed": timed(grown(count, True).decide, hits, 200),
            "in_turn": timed(grown(count, False).decide, hits, 20),
        }
    return told


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--requests",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="JSON lines; by default FILE with the ending .requests.jsonl.",
)
@click.option(
    "--by-hand",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Python with decide(request) for the same rules; by default FILE_by_hand.py, where it is.",
)
@click.option("--skip-growth", is_flag=True, help="Leave out the sets of 20, 100 and 1,000 rules.")
@JSON
def command(file: Path, requests: Path | None, by_hand: Path | None, skip_growth: bool, as_json: bool) -> None:
    """Time the rules of an operator's FILE over a sample of requests, in microseconds a request.

    In one run: the compiled set, the tree-walker and the same rules by hand in Python; and sets of 20, 100 and 1,000
    rules.  All must give the same answers, or nothing is timed (status 1).
    """
    table = table_of(str(file))
    sample_file = requests or file.with_suffix(".requests.jsonl")
    try:
        sample = [from_json(line) for line in sample_file.read_bytes().splitlines() if line.strip()]
    except (OSError, RequestError) as problem:
        refuse(f"{sample_file}: {problem}", 1)
    if not sample:
        refuse(f"{sample_file}: no request", 1)
    decide = table.rules.decide
    for request in sample:
        if table.rules.walk(request.read)[0] != decide(request):
            refuse(f"the compiled form and the tree-walker differ at {request.path}", 1)
    told: dict[str, Any] = {
        "file": str(file),
        "python": sys.version.split()[0],
        "rules": len(table.rules.rules),
        "requests": len(sample),
        "units": table.units,
        "indexed": table.rules.compiled.indexed,
        "fits": sum(table.route(request) is not None for request in sample),
    }
    told["compiled"] = timed(decide, sample)
    told["routed"] = timed(table.route, sample)
    told["walked"] = timed(lambda request: table.rules.walk(request.read), sample, CALLS // 10)
    hand_file = by_hand or file.with_name(f"{file.stem}_by_hand.py")
    if hand_file.exists():
        hand = runpy.run_path(str(hand_file))["decide"]
        answer = routed(table)
        for request in sample:
            if hand(request) != answer(request):
                refuse(f"by hand {hand(request)!r}, by the rules {answer(request)!r}", 1)
        told["by_hand"] = timed(hand, sample)
        told["times_by_hand"] = round(told["routed"]["p50"] / told["by_hand"]["p50"], 2)
    if not skip_growth:
        told["growth"] = growth()
    if as_json:
        echo_json(told)
        return
    for key, value in told.items():
        if key == "growth":
            for count, figures in value.items():
                click.echo(f"{count:>8} rules: indexed {figures['indexed']}, in turn {figures['in_turn']}")
        else:
            click.echo(f"{key}: {value}")
