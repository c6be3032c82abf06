"""For how long a worker gets nothing after calls there have failed."""

from __future__ import annotations

SHUN_BASE = 0.25  # s without calls, doubled by each failure in a row
MAX_FAILURES = 6  # failures in a row that count
COMMON_FAILURE = 4.0  # how much of the shunning the share of failures everywhere takes away
FULL_BASE = 0.2  # s without calls after a second rejection in a row, doubled by each further one
FULLS_MOST = 5  # rejections in a row that count


def after_rejections(rejections: int) -> float:
    """Seconds without calls after a worker has turned so many away in a row, whatever room it seemed to have."""
    return FULL_BASE * 2.0 ** (min(rejections, FULLS_MOST) - 1) if rejections > 1 else 0.0


def after_failure(failures: int, failing: float, chance: float) -> float:
    """Seconds without calls after so many failures in a row, spread by `chance` (0 to 1).

    What befalls a share `failing` of all calls is no news of one worker: shunning each would leave none.  But that many
    failures in a row befall a worker by chance the less, the more they are.
    """
    alone = max(0.0, 1.0 - COMMON_FAILURE * failing**failures)
    return SHUN_BASE * 2.0**failures * (0.5 + chance) * alone
