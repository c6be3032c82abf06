"""Weighted max-min sharing, by water-filling."""

from __future__ import annotations

from collections.abc import Sequence


def share_max_min(room: float, demands: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Divide `room` among demands by weighted max-min fairness; no part exceeds its demand.

    No part can grow unless one that is smaller relative to its weight shrinks.  Parts sum to the room, or to all
    demands if these are less.
    """
    # Only the ratios of weights matter; normalize them, because denormal weights would make the level infinite.
    max_weight = max(weights, default=0.0)
    weights = [weight / max_weight for weight in weights] if max_weight > 0.0 else weights
    parts = [0.0] * len(demands)
    unmet = [n for n in range(len(demands)) if demands[n] > 0.0 and weights[n] > 0.0]
    # The smallest demand relative to its weight is met first; the level rises for the others.
    unmet.sort(key=lambda n: demands[n] / weights[n])
    total_weight = sum(weights[n] for n in unmet)
    for n in unmet:
        level = max(0.0, room) / total_weight if total_weight > 0.0 else 0.0
        parts[n] = min(demands[n], level * weights[n])
        room -= parts[n]
        total_weight -= weights[n]
    return parts


def lend(room: float, guarantees: Sequence[float], demands: Sequence[float], ceilings: Sequence[float]) -> list[float]:
    """Return allotments: first each guarantee, up to the demand, then what is unused, weighted by guarantee.

    A guarantee of 0 has a small weight, so that idle capacity reaches it too.
    """
    capped_demands = [min(demand, ceiling) for demand, ceiling in zip(demands, ceilings, strict=True)]
    guaranteed_parts = [min(guarantee, want) for guarantee, want in zip(guarantees, capped_demands, strict=True)]
    min_weight = 0.01 * max((guarantee for guarantee in guarantees if guarantee > 0.0), default=1.0)
    extra = share_max_min(
        room - sum(guaranteed_parts),
        [want - part for want, part in zip(capped_demands, guaranteed_parts, strict=True)],
        [max(guarantee, min_weight) for guarantee in guarantees],
    )
    return [a + b for a, b in zip(guaranteed_parts, extra, strict=True)]
