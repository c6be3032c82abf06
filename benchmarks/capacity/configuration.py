"""Slope of the distribution of configuration: what it costs an instance, quiet and for a change."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity.model import Series
from benchmarks.capacity.slopes import Pace


def by_instances(folder: Path, sizes: Sequence[int], pace: Pace, empty: int) -> Series | None:
    """None until the dispatcher has a part that distributes its configuration."""
    return None
