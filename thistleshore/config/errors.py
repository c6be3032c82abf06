"""The one error of configuration."""

from __future__ import annotations

from collections.abc import Sequence


class ConfigError(ValueError):
    """Configuration that cannot be used; the text names the faulty keys, `problems` has one text for each."""

    def __init__(self, *problems: str) -> None:
        super().__init__("\n".join(problems))
        self.problems: Sequence[str] = problems

    @property
    def in_a_line(self) -> str:
        """For a log, where an event is a line: each problem, its place and what would be right."""
        return "; ".join(" ".join(filter(None, map(str.strip, problem.split("\n")))) for problem in self.problems)
