"""A sequential test of whether a new version is worse than the old one, measured in the same intervals.

Sans-IO: takes the counts of both groups and returns a verdict.  A surge, a slow pool or a bad link affects both groups
in the same interval, so only the difference between them counts.  Each stratum (a class, a member, or all together) is
tested separately, as the total would hide a regression of a single class.

The test is a mixture sequential probability ratio test of the difference of two shares (normal approximation).  It may
be evaluated after every interval and stopped at any time; the false positive probability over a whole wave is at most
`error`, divided among the strata (Bonferroni).  A version counts as worse only if its share is lower by more than
`margin`, as smaller differences do not justify a rollback.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from math import exp, inf, sqrt
from typing import NamedTuple


class GateSettings(NamedTuple):
    """Settings of the test: which difference counts as worse, and the probability of a false positive."""

    error: float = 0.01  # false positive probability over all strata and the whole wave
    margin: float = 0.02  # largest decrease of a share that still passes
    typical_difference: float = 0.08  # difference that is detected fastest; others take longer
    min_tries: int = 50  # tries in each group before a stratum is evaluated
    min_duration: float = 30.0  # seconds before a wave may pass
    max_duration: float = 300.0  # seconds after which too few tries give UNTOLD


class Tally(NamedTuple):
    """Tries of one group in one stratum and interval, and how many were good (in time, at the first attempt, ...)."""

    tries: int
    good: int


class Verdict(Enum):
    """Outcome of the gate so far."""

    WAIT = "too little to tell yet"
    FINE = "nothing speaks against it"
    WORSE = "worse"
    UNTOLD = "too few tries to tell, up to the bound"


class GateResult(NamedTuple):
    """A verdict, and for WORSE the stratum and figures behind it."""

    verdict: Verdict
    stratum: str = ""
    old: float = 0.0  # share of good tries without the new version
    new: float = 0.0  # share of good tries with it
    tries: int = 0  # number of tries with it
    chance: float = 1.0  # p-value of the difference if the version is no worse


class Stratum:
    """Sums of both groups, pooled over intervals with weights limited by the smaller group.

    Shares are compared within each interval, so a change that affects both groups does not count, even if the groups'
    parts of the tries change at the same time.
    """

    __slots__ = ("difference", "members", "new", "old", "p_value", "settings", "variance", "weight")

    def __init__(self, settings: GateSettings) -> None:
        self.settings = settings
        self.old, self.new = Tally(0, 0), Tally(0, 0)
        self.members: dict[str, Tally] = {}  # each member without the new version
        self.weight = self.difference = self.variance = 0.0
        self.p_value = 1.0

    def add(self, old: Tally, new: Tally) -> None:
        """Add one interval of both groups; it has no weight if either group has no tries."""
        self.old = Tally(self.old.tries + old.tries, self.old.good + old.good)
        self.new = Tally(self.new.tries + new.tries, self.new.good + new.good)
        if not old.tries or not new.tries:
            return
        weight = old.tries * new.tries / (old.tries + new.tries)
        pooled = (old.good + new.good + 1.0) / (old.tries + new.tries + 2.0)  # never 0 or 1: their variance would be 0
        self.weight += weight
        self.difference += weight * (old.good / old.tries - new.good / new.tries)
        self.variance += weight * pooled * (1.0 - pooled)

    def add_member(self, name: str, tally: Tally) -> None:
        """Add one interval of one member with the old version."""
        before = self.members.get(name, Tally(0, 0))
        self.members[name] = Tally(before.tries + tally.tries, before.good + tally.good)

    def overdispersion(self) -> float:
        """Return the variance between members with the old version, relative to the binomial variance; at least 1.

        Requests of one process are not independent, as it rejects in bursts by its own view of the pressure.  Members
        with the same version differ that much, so it must not count against the new version.
        """
        rows = [row for row in self.members.values() if row.tries >= self.settings.min_tries // 2]
        tries, good = sum(row.tries for row in rows), sum(row.good for row in rows)
        if len(rows) < 2 or not 0 < good < tries:
            return 1.0
        mean = good / tries
        chi_square = sum((row.good - row.tries * mean) ** 2 / (row.tries * mean * (1.0 - mean)) for row in rows)
        return max(1.0, chi_square / (len(rows) - 1))

    def update_p_value(self) -> float:
        """Update and return the always-valid p-value.

        This is the probability of such a difference at any evaluation if the new version is no worse.
        """
        if min(self.old.tries, self.new.tries) < self.settings.min_tries or not self.weight:
            return self.p_value
        variance = self.variance * self.overdispersion()
        # `difference - margin` is normal with this variance where the shares differ by the margin.
        excess = self.difference - self.settings.margin * self.weight
        if excess > 0.0:
            prior_variance = self.settings.typical_difference**2
            total_variance = variance + prior_variance * self.weight**2
            ratio = sqrt(variance / total_variance) * exp(
                min(700.0, prior_variance * self.weight**2 * excess**2 / (2.0 * variance * total_variance))
            )
            # Half of the mixture lies on the side of worse, so the ratio of that half alone is at most twice this one.
            self.p_value = min(self.p_value, 1.0 / ratio if ratio > 0.0 else inf)
        return self.p_value


class Gate:
    """The gate of one wave.  `on_interval` adds the tallies of one interval and returns the result so far."""

    def __init__(self, strata: Iterable[str], settings: GateSettings, now: float) -> None:
        self.settings, self.started_at = settings, now
        self.strata = {name: Stratum(settings) for name in strata}
        self.worse: GateResult | None = None

    def on_interval(
        self,
        tallies: Mapping[str, tuple[Tally, Tally]],
        now: float,
        members: Mapping[str, Mapping[str, Tally]] | None = None,
    ) -> GateResult:
        """Add tallies without and with the new version, and those without it by member, and return the result.

        WORSE is final for the wave.
        """
        for member, strata in (members or {}).items():
            for name, tally in strata.items():
                if name in self.strata:
                    self.strata[name].add_member(member, tally)
        for name, (old, new) in tallies.items():
            if name in self.strata:
                self.strata[name].add(old, new)
        if self.worse is None:
            for name, stratum in self.strata.items():
                if (p_value := stratum.update_p_value()) < self.settings.error / len(self.strata):
                    self.worse = GateResult(
                        Verdict.WORSE, name, _share(stratum.old), _share(stratum.new), stratum.new.tries, p_value
                    )
                    break
        if self.worse is not None:
            return self.worse
        has_enough_tries = any(min(s.old.tries, s.new.tries) >= self.settings.min_tries for s in self.strata.values())
        if has_enough_tries and now - self.started_at >= self.settings.min_duration:
            return GateResult(Verdict.FINE)
        if not has_enough_tries and now - self.started_at >= self.settings.max_duration:
            return GateResult(Verdict.UNTOLD)
        return GateResult(Verdict.WAIT)


def _share(tally: Tally) -> float:
    return tally.good / tally.tries if tally.tries else 0.0
