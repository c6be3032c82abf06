"""The command line that the model checkers share: bounds in, findings out as JSON, and a status."""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable
from typing import Any

FLAWED = "flawed"  # the key under which each flawed form has what was found, "" where nothing was
Findings = dict[str, Any]  # by part: of sound forms a table whose "broken" is "" where nothing was found


def run(description: str | None, check: Callable[[int, int], Findings], states: int, walks: int) -> int:
    """Check with so many states and walks, unless the command line names others; the status to exit with.

    0 where nothing is found in the sound forms, and something in every flawed one.
    """
    parser = argparse.ArgumentParser(description=(description or "").split("\n")[0])
    parser.add_argument("--states", type=int, default=states)
    parser.add_argument("--walks", type=int, default=walks)
    parser.add_argument("--json", action="store_true", help="on one line")
    given = parser.parse_args()
    begun = time.monotonic()
    findings = check(given.states, given.walks)
    seconds = round(time.monotonic() - begun, 1)
    print(json.dumps({**findings, "seconds": seconds}, indent=None if given.json else 1))
    return 0 if as_expected(findings) else 1


def as_expected(findings: Findings) -> bool:
    """Whether nothing is broken in the sound forms, and something in every flawed one."""
    sound = not any(found["broken"] for part, found in findings.items() if part != FLAWED)
    return sound and all(findings[FLAWED].values())
