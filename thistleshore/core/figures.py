"""Counters of one process, updated as events happen; reading them costs time by class, not by stream."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(slots=True)
class ClassFigures:
    """Outcomes of the streams of one class since the process started."""

    succeeded: int = 0
    declined: int = 0  # refused
    aborted: int = 0  # failed
    forwards: int = 0  # upstream requests written completely


@dataclass(slots=True)
class ProcessFigures:
    """Counters for the admin interface and the metrics page."""

    results: dict[str, ClassFigures] = field(default_factory=dict)  # by class; classes removed from the settings stay
    outstanding: int = 0  # accepted streams that have not ended
    sighup_applied: int = 0
    sighup_rejected: int = 0

    def of(self, name: str) -> ClassFigures:
        """Return the counters of a class, created on first use."""
        return self.results.setdefault(name, ClassFigures())

    def snapshot(self, discovered: int, ejected: int) -> dict[str, Any]:
        """Return the counters under the keys of the admin interface; the caller supplies the counts of hosts."""
        return {
            "results": {name: asdict(counts) for name, counts in self.results.items()},
            "forwards": sum(counts.forwards for counts in self.results.values()),
            "outstanding": self.outstanding,
            "discovered": discovered,
            "ejected": ejected,
            "sighup_applied": self.sighup_applied,
            "sighup_rejected": self.sighup_rejected,
        }
