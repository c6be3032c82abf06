"""Back-off of a worker: for how long it gets no attempts after failures or rejections."""

from __future__ import annotations

SHUN_BASE = 0.25  # seconds, doubled by each failure in a row
MAX_FAILURES = 6  # failures in a row that count
COMMON_FAILURE = 4.0  # factor of the overall failure share by which the back-off shrinks
FULL_BASE = 0.2  # seconds after a second rejection in a row, doubled by each further one
MAX_REJECTIONS = 5  # rejections in a row that count


def after_rejections(rejections: int) -> float:
    """Return the back-off in seconds after so many rejections in a row, whatever free slots were reported."""
    return FULL_BASE * 2.0 ** (min(rejections, MAX_REJECTIONS) - 1) if rejections > 1 else 0.0


def after_failure(failures: int, failing: float, chance: float) -> float:
    """Return the back-off in seconds after so many failures in a row, with jitter by `chance` (0 to 1).

    Where a share `failing` of all attempts fails, failures say little of one worker, and excluding each would leave
    none.  But a longer run of failures is less likely to be chance, so the share counts by its power `failures`.
    """
    alone = max(0.0, 1.0 - COMMON_FAILURE * failing**failures)
    return SHUN_BASE * 2.0**failures * (0.5 + chance) * alone
