"""Weighted max-min sharing, by water-filling."""

from __future__ import annotations

from collections.abc import Sequence


def share_max_min(room: float, demands: Sequence[float], weights: Sequence[float]) -> list[float]:
    """How much each gets of the room: nobody more than asked for, and what is left by weight.

    Weighted max-min: no part can grow without one that is smaller by weight shrinking.  Parts sum to the room, or to
    all demands where these are less.
    """
    # Weights matter only among themselves: as small as floats can be, they would make the level infinite.
    most = max(weights, default=0.0)
    weights = [weight / most for weight in weights] if most > 0.0 else weights
    parts = [0.0] * len(demands)
    asking = [n for n in range(len(demands)) if demands[n] > 0.0 and weights[n] > 0.0]
    # Who is content with the least by weight is filled first; the level rises for the others.
    asking.sort(key=lambda n: demands[n] / weights[n])
    heavy = sum(weights[n] for n in asking)
    for n in asking:
        level = max(0.0, room) / heavy if heavy > 0.0 else 0.0
        parts[n] = min(demands[n], level * weights[n])
        room -= parts[n]
        heavy -= weights[n]
    return parts


def lend(room: float, guarantees: Sequence[float], demands: Sequence[float], ceilings: Sequence[float]) -> list[float]:
    """Allotments where each has a guarantee: first that, as far as asked for, then what is unused, by guarantee.

    A guarantee of 0 weighs a little, so that idle room reaches it too.
    """
    wanted = [min(demand, ceiling) for demand, ceiling in zip(demands, ceilings, strict=True)]
    first = [min(guarantee, want) for guarantee, want in zip(guarantees, wanted, strict=True)]
    least = 0.01 * max((guarantee for guarantee in guarantees if guarantee > 0.0), default=1.0)
    more = share_max_min(
        room - sum(first),
        [want - part for want, part in zip(wanted, first, strict=True)],
        [max(guarantee, least) for guarantee in guarantees],
    )
    return [a + b for a, b in zip(first, more, strict=True)]
