"""Coverage-guided fuzzing of the expression language by atheris (the extra `fuzz`).

    python -m benchmarks.expressions.fuzz [--seconds 600] [--seed 1] [--json FILE]

Holds for every text: it is refused by an ExpressionError, or it is accepted and then, for every request: no exception,
no cost over its bound, and the compiled form gives what the tree-walker gives.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import atheris

with atheris.instrument_imports(include=["thistleshore.expressions"]):
    from benchmarks.expressions.grow import SETS, Grow
    from thistleshore.expressions.check import Checker
    from thistleshore.expressions.compiler import CheckedRule, compile_rules
    from thistleshore.expressions.diagnostics import ExpressionError, Source
    from thistleshore.expressions.evaluate import evaluate
    from thistleshore.expressions.functions import equal
    from thistleshore.expressions.model import Limits, Node, request_environment
    from thistleshore.expressions.types import Bool

ENVIRONMENT = request_environment(SETS)
LIMITS = Limits(200_000, 10**9)
counts: Counter[str] = Counter()


def same(a: Any, b: Any) -> bool:
    """Equal, NaN being the same as NaN here."""
    if isinstance(a, float) and isinstance(b, float):
        return a == b or a != a and b != b
    if isinstance(a, list | tuple) and isinstance(b, list | tuple):
        return len(a) == len(b) and all(map(same, a, b))
    return type(a) is type(b) and (equal(a, b) or not equal(a, a))


def hold(node: Node, grow: Grow, times: int = 3) -> None:
    """What must hold of an accepted expression."""
    always = Checker(ENVIRONMENT, LIMITS).check(Source("true"), Bool)
    decide = compile_rules([CheckedRule(always, (node,))]).decide
    for _ in range(times):
        request = grow.request()
        value, units = evaluate(node, request.read)
        counts["evaluated"] += 1
        if units > node.units:
            raise AssertionError(f"{units} units spent, {node.units} declared")
        found = decide(request)
        if found is None or not same(found[1], value):
            raise AssertionError(f"compiled {found!r}, walked {value!r}")


def one(data: bytes) -> None:
    counts["executions"] += 1
    if data[:1] < b"\x20":  # the text itself
        text, grow = data[1:].decode("utf-8", "replace"), Grow(data[::-1])
    else:
        grow = Grow(data[1:])
        text = grow.expression()
    try:
        node = Checker(ENVIRONMENT, LIMITS).check(Source(text))
    except ExpressionError as problem:
        str(problem)
        counts["refused"] += 1
        return
    counts["accepted"] += 1
    try:
        hold(node, grow)
    except Exception:
        print(f"expression: {text!r}", file=sys.stderr)
        raise


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seconds", type=int, default=600)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="where the counts are written")
    asked = parser.parse_args()
    begun = time.monotonic()

    def told(data: bytes) -> None:
        one(data)
        if asked.json is not None and counts["executions"] % 2000 == 0:
            figures = {"seconds": round(time.monotonic() - begun, 1), "seed": asked.seed, **counts}
            asked.json.write_text(json.dumps(figures) + "\n")

    atheris.Setup(
        [
            sys.argv[0],
            f"-max_total_time={asked.seconds}",
            f"-seed={asked.seed}",
            "-max_len=400",
            "-rss_limit_mb=2048",
            "-timeout=20",
        ],
        told,
    )
    atheris.Fuzz()


if __name__ == "__main__":
    main()
