"""What must always hold: asserted in debug builds, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger("thistleshore")
broken: Counter[str] = Counter()


def invariant(holds: bool, name: str) -> bool:
    """True where it holds.  A release build goes on: one wrong stream must not end all the others."""
    if holds:
        return True
    if __debug__:
        raise AssertionError(name)
    broken[name] += 1
    if broken[name] in (1, 10, 100) or broken[name] % 1000 == 0:  # a broken loop must not flood the log
        log.error("invariant broken: %s (%d times)", name, broken[name])
    return False
