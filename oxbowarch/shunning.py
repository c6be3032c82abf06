"""For how long a worker gets nothing after calls there have failed."""

from __future__ import annotations

SHUN_BASE = 0.25  # s without calls, doubled by each failure in a row
STRIKES_MOST = 6  # failures in a row that count
COMMON_FAILURE = 4.0  # how much of the shunning the share of failures everywhere takes away


def after_failure(strikes: int, failing: float, chance: float) -> float:
    """Seconds without calls after so many failures in a row, spread by `chance` (0 to 1).

    What befalls a share `failing` of all calls is no news of one worker: shunning each would leave none.  But that many
    failures in a row befall a worker by chance the less, the more they are.
    """
    alone = max(0.0, 1.0 - COMMON_FAILURE * failing**strikes)
    return SHUN_BASE * 2.0**strikes * (0.5 + chance) * alone
