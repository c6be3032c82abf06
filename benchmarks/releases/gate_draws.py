"""The gate of releases over drawn waves: how often a clean version is called worse, and a worse one found, and when.

    python -m benchmarks.releases.gate_draws [--draws 10000] [--seed 1] [--json]

Each draw is one wave of 30 s: one of nine dispatchers has the new version, at `rate` tries a second in all, in three
classes.  In `surge` all tries grow 2.4-fold for 8 s and both groups serve worse meanwhile; in `herd` service of both
falls to a half at a drawn time.  Regressions begin with the wave.
"""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

import numpy as np

from thistleshore.releases.gate import Gate, GateSettings, Tally, Verdict

CLASSES = {"seat-search": 0.7, "ticket-issue": 0.2, "refund": 0.1}  # of the tries
GOOD = 0.97  # share of tries that are good in quiet times
SECONDS = 30
DRAWS: dict[str, dict[str, Any]] = {
    "clean, quiet": {},
    "clean, surge": {"surge": True},
    "clean, herd": {"herd": True},
    "clean, worse by half the margin": {"loss": 0.01},
    "slow: a fifth too late": {"loss": 0.2},
    "failing: one in ten": {"loss": 0.1},
    "failing: one in ten, in a surge": {"loss": 0.1, "surge": True},
    "one class only: half of ticket-issue": {"loss": 0.5, "of": "ticket-issue"},
    "slightly: one in twenty": {"loss": 0.05},
}


def wave(
    at: np.random.Generator, rate: float, surge: bool = False, herd: bool = False, loss: float = 0.0, of: str = ""
) -> tuple[Verdict, int]:
    """What the gate says of one drawn wave, and after how many seconds."""
    gate = Gate(["all", *CLASSES], GateSettings(), 0.0)
    begins, told = at.uniform(2, 15), None
    for second in range(1, SECONDS + 1):
        times, good = 1.0, GOOD
        if surge and begins <= second < begins + 8:
            times, good = 2.4, GOOD * at.uniform(0.5, 0.9)
        if herd and second >= begins:
            good = GOOD * 0.5
        tallies: dict[str, tuple[Tally, Tally]] = {}
        totals = np.zeros(4, dtype=int)
        for name, part in CLASSES.items():
            worse = good * (1 - loss) if not of or of == name else good
            old, new = at.poisson(rate * times * part * 8 / 9), at.poisson(rate * times * part / 9)
            row = (old, at.binomial(old, good), new, at.binomial(new, worse))
            totals += row
            tallies[name] = Tally(int(row[0]), int(row[1])), Tally(int(row[2]), int(row[3]))
        tallies["all"] = Tally(int(totals[0]), int(totals[1])), Tally(int(totals[2]), int(totals[3]))
        told = gate.on_interval(tallies, float(second))
        if told.verdict is Verdict.WORSE:
            return told.verdict, second
    assert told is not None
    return told.verdict, SECONDS


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--draws", type=int, default=10000)
    parser.add_argument("--rate", type=float, default=270.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    told: dict[str, Any] = {"draws": asked.draws, "rate": asked.rate, "error": GateSettings().error}
    for name, how in DRAWS.items():
        at = np.random.default_rng((asked.seed, len(name)))
        rows = [wave(at, asked.rate, **how) for _ in range(asked.draws)]
        seconds = sorted(second for verdict, second in rows if verdict is Verdict.WORSE)
        told[name] = {"worse": round(len(seconds) / len(rows), 5)}
        if seconds:
            told[name] |= {"p50 s": seconds[len(seconds) // 2], "p99 s": seconds[len(seconds) * 99 // 100]}
    print(json.dumps(told) if asked.json else json.dumps(told, indent=1))
    return 0 if all(told[name]["worse"] <= GateSettings().error for name in DRAWS if name.startswith("clean")) else 1


if __name__ == "__main__":
    sys.exit(main())
