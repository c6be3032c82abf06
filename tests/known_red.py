"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

Each line names the test, the command with its seed, what was seen, and the issue.

Just these may fail.  The run fails on more than three, on a line that names no test, and on one whose test passes.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import pytest

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


class Red(NamedTuple):
    test: str  # as pytest names it: tests/test_x.py::test_y
    command: str  # with the seed
    seen: str
    issue: str


def read(text: str) -> list[Red]:
    """The lines, of the form TEST; COMMAND; SEEN; ISSUE."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(lines)} lines, {MOST} at most")
    found = []
    for line in lines:
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != len(Red._fields) or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt: not of the form TEST; COMMAND; SEEN; ISSUE: {line}")
        found.append(Red(*parts))
    return found


def mark(items: Sequence[pytest.Item], reds: Sequence[Red]) -> None:
    """Let these fail, and have them fail the run where they pass; a part of the suite has to hold just its own."""
    files = {item.nodeid.partition("::")[0] for item in items}
    for red in reds:
        named = [item for item in items if item.nodeid == red.test]
        for item in named:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{red.seen} ({red.issue})"))
        file = red.test.partition("::")[0]
        if not named and (file in files or not (FILE.parent / file).is_file()):
            raise pytest.UsageError(f"KNOWN-RED.txt: no test is called {red.test}")
