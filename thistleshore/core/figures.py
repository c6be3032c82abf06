"""The figures of one process, counted where each fact arises; a call walks over the classes, never over streams."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(slots=True)
class ClassFigures:
    """What became of a class's streams since the process began."""

    succeeded: int = 0
    declined: int = 0  # refused
    aborted: int = 0  # failed
    forwards: int = 0  # upstream requests written whole


@dataclass(slots=True)
class ProcessFigures:
    """One record for the admin interface and the page of metrics."""

    results: dict[str, ClassFigures] = field(default_factory=dict)  # by class; one that is dropped keeps what it has
    outstanding: int = 0  # streams taken and not yet ended
    sighup_applied: int = 0
    sighup_rejected: int = 0

    def of(self, name: str) -> ClassFigures:
        """The figures of a class, begun where there are none yet."""
        return self.results.setdefault(name, ClassFigures())

    def snapshot(self, discovered: int, ejected: int) -> dict[str, Any]:
        """As the admin interface tells them; what is known of hosts is the broker's to say."""
        return {
            "results": {name: asdict(counts) for name, counts in self.results.items()},
            "forwards": sum(counts.forwards for counts in self.results.values()),
            "outstanding": self.outstanding,
            "discovered": discovered,
            "ejected": ejected,
            "sighup_applied": self.sighup_applied,
            "sighup_rejected": self.sighup_rejected,
        }
