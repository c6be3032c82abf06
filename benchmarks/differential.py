"""The expressions against cel-python, on the subset that both have.

    python -m benchmarks.differential [--cases 20000] [--seed 1] [--json]

Grown expressions that are accepted here are evaluated by both, for a request grown from the same bytes; each must give
the same value.  What cel-python cannot parse or evaluate is counted beside, by reason, and is no agreement.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import celpy

from benchmarks.grow import Grow
from thistleshore.expressions import ExpressionError, Limits, Request, Source, request_environment
from thistleshore.expressions.check import Checker
from thistleshore.expressions.evaluate import evaluate
from thistleshore.expressions.plain import write
from thistleshore.expressions.syntax import parse

FIELDS = ("front", "method", "host", "path", "query", "headers", "size", "tube", "priority")
ENVIRONMENT = request_environment()
PEER = celpy.Environment()


def bare(value: Any) -> Any:
    """A value of cel-python's as plain Python.  It gives some errors back as values."""
    if isinstance(value, celpy.CELEvalError):
        raise value
    if isinstance(value, celpy.celtypes.BoolType):
        return bool(value)
    if isinstance(value, str):
        return str(value)
    if isinstance(value, float):
        return float(value)
    if isinstance(value, int):
        return int(value)
    if isinstance(value, dict):
        return {bare(key): bare(entry) for key, entry in value.items()}
    return [bare(entry) for entry in value]


def same(a: Any, b: Any) -> bool:
    if isinstance(a, float) and isinstance(b, float) and math.isnan(a):
        return math.isnan(b)
    return type(a) is type(b) and bool(a == b)


def record(request: Request) -> dict[str, Any]:
    return {"request": celpy.json_to_cel({field: getattr(request, field) for field in FIELDS})}


def compare(data: bytes) -> tuple[str, str]:
    """What came of one case, and the expression: `refused`, `agree`, `differ: ..`, or why the peer has no value."""
    grow = Grow(data, plain=True)
    text = grow.expression()
    try:
        node = Checker(ENVIRONMENT, Limits(10**6, 10**9)).check(Source(text))
    except ExpressionError:
        return "refused", text
    request = grow.request()
    value = evaluate(node, request.read)[0]
    try:
        there = bare(PEER.program(PEER.compile(write(parse(Source(text))))).evaluate(record(request)))
    except (celpy.CELParseError, celpy.CELEvalError) as problem:
        return f"no value there: {type(problem).__name__}", text
    return ("agree", text) if same(value, there) else (f"differ: here {value!r}, there {there!r}", text)


def run(cases: int, seed: int, told: Callable[[str, str], None] = lambda what, text: None) -> dict[str, Any]:
    """So many cases that are accepted here."""
    at, counts, begun = random.Random(seed), Counter[str](), time.monotonic()
    while sum(counts.values()) - counts["refused"] < cases:
        what, text = compare(at.randbytes(at.randrange(8, 160)))
        counts[what.partition(": ")[0] if what.startswith("differ") else what] += 1
        told(what, text)
    return {"cases": cases, "seed": seed, "seconds": round(time.monotonic() - begun, 1), **counts}


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--cases", type=int, default=20000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    differ: list[str] = []

    def told(what: str, text: str) -> None:
        if what.startswith(("differ", "no value")):
            differ.append(f"{text}: {what}")

    found = run(asked.cases, asked.seed, told)
    for line in differ[:10]:
        print(line, file=sys.stderr)
    print(json.dumps(found) if asked.json else found)
    return 1 if found.get("differ") else 0


if __name__ == "__main__":
    sys.exit(main())
