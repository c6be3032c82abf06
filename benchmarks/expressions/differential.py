"""The compiled form of expressions against the tree-walker, which is the reference.

    python -m benchmarks.expressions.differential [--cases 20000] [--seed 1] [--json]

Grown expressions that are accepted are evaluated by both, for a request grown from the same bytes; each must give the
same value, and the walker's count of units must keep to the checker's bound.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
import time
from collections import Counter
from typing import Any

from benchmarks.expressions.grow import SETS, Grow
from thistleshore.expressions import ExpressionError, Limits, Request, Source, request_environment
from thistleshore.expressions.check import Checker
from thistleshore.expressions.compiler import CheckedRule, compile_rules
from thistleshore.expressions.evaluate import evaluate
from thistleshore.expressions.model import Node
from thistleshore.expressions.types import Bool

ENVIRONMENT = request_environment(SETS)


def compiled(node: Node, request: Request) -> Any:
    """The node's value by the compiled form: as the one value of a rule that always fits."""
    always = Checker(ENVIRONMENT).check(Source("true"), Bool)
    found = compile_rules([CheckedRule(always, (node,))]).decide(request)
    assert found is not None
    return found[1]


def same(a: Any, b: Any) -> bool:
    if isinstance(a, list) and isinstance(b, list):
        return len(a) == len(b) and all(map(same, a, b))
    if isinstance(a, float) and isinstance(b, float) and math.isnan(a):
        return math.isnan(b)
    return type(a) is type(b) and bool(a == b)


def compare(data: bytes) -> tuple[str, str]:
    """What came of one case, and the expression: `refused`, `agree`, `differ: ..` or `over its bound`."""
    grow = Grow(data)
    text = grow.expression()
    try:
        node = Checker(ENVIRONMENT, Limits(10**6, 10**9)).check(Source(text))
    except ExpressionError:
        return "refused", text
    request = grow.request()
    value, units = evaluate(node, request.read)
    there = compiled(node, request)
    if units > node.units:
        return "over its bound", text
    return ("agree", text) if same(value, there) else (f"differ: walked {value!r}, compiled {there!r}", text)


def run(cases: int, seed: int) -> tuple[dict[str, Any], list[str]]:
    """So many cases that are accepted here; their counts, and those that do not agree."""
    at, counts, begun, wrong = random.Random(seed), Counter[str](), time.monotonic(), list[str]()
    while sum(counts.values()) - counts["refused"] < cases:
        what, text = compare(at.randbytes(at.randrange(8, 160)))
        counts[what.partition(": ")[0]] += 1
        if what not in ("agree", "refused"):
            wrong.append(f"{text}: {what}")
    return {"cases": cases, "seed": seed, "seconds": round(time.monotonic() - begun, 1), **counts}, wrong


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--cases", type=int, default=20000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    found, wrong = run(asked.cases, asked.seed)
    for line in wrong[:10]:
        print(line, file=sys.stderr)
    print(json.dumps(found) if asked.json else found)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
