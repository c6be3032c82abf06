"""What happened, apart from what the program says: rows with their true times, kept in order and written as JSON lines.

Rows: `began` and `ended` of processes and of faults, `job` and `done` at workers, `asked` and `answered` at clients,
and, marked as the program's own word, `view`.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

Row = dict[str, Any]


class Truth:
    """One run's record; `clock` gives seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock, self.begun = clock, clock()
        self.rows: list[Row] = []

    @property
    def now(self) -> float:
        """s from the start of the record."""
        return self.clock() - self.begun

    def add(self, what: str, /, **fields: Any) -> None:
        self.rows.append({"t": round(self.now, 6), "what": what, **fields})

    def write(self, path: Path) -> None:
        path.write_text("".join(json.dumps(row) + "\n" for row in self.rows))


def read(path: Path) -> list[Row]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def of(rows: Iterable[Row], *what: str) -> list[Row]:
    return [row for row in rows if row["what"] in what]
