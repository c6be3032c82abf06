"""Is a new version worse?  Those with it against those without it in the same intervals, by a sequential test.

Sans-IO: counts of both groups in, a verdict out.  A surge, a slow pool or a bad link hits both groups in the same
interval, so that only the difference between them counts.  Each stratum (a class, a member, or all together) has tests
of its own; a regression of one class only would drown in the whole.

The test is a mixture sequential probability ratio test of the difference of two shares (normal approximation): it
may be looked at after every interval, and stopped at any time, and still the chance of calling a version worse that is
not, over the whole life of a wave, is at most `error`, divided among the strata (Bonferroni).  A version counts as
worse only where its share is lower by more than `margin`: a difference that nobody would undo a release for is none.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from math import exp, inf, sqrt
from typing import NamedTuple


class GateSettings(NamedTuple):
    """What counts as worse, and with what chance of being wrong."""

    error: float = 0.01  # over all strata, and over the whole wave
    margin: float = 0.02  # of a share: so much worse is not yet worse
    typical_difference: float = 0.08  # the difference that the test is tuned for; others are found too, later
    min_tries: int = 50  # tries in each group before a stratum says anything
    min_duration: float = 30.0  # s after which a wave that nothing speaks against may go on
    max_duration: float = 300.0  # s after which it is said that too few came to tell


class Tally(NamedTuple):
    """Tries of one group in one stratum and interval: how many, and how many were good (in time, first answer, ...)."""

    tries: int
    good: int


class Verdict(Enum):
    WAIT = "too little to tell yet"
    FINE = "nothing speaks against it"
    WORSE = "worse"
    UNTOLD = "too few tries to tell, up to the bound"


class GateResult(NamedTuple):
    verdict: Verdict
    stratum: str = ""
    old: float = 0.0  # share of good tries without the new version
    new: float = 0.0  # and with it
    tries: int = 0  # with it
    chance: float = 1.0  # of as much where it is no worse


class Stratum:
    """Sums of both groups, pooled over intervals by the weight of the smaller group in each.

    Shares are compared interval by interval, so that a change that comes to both does not count, whatever part of the
    tries each group has before and after it.
    """

    __slots__ = ("difference", "members", "new", "old", "p_value", "settings", "variance", "weight")

    def __init__(self, settings: GateSettings) -> None:
        self.settings = settings
        self.old, self.new = Tally(0, 0), Tally(0, 0)
        self.members: dict[str, Tally] = {}  # of those without the new version, one by one
        self.weight = self.difference = self.variance = 0.0
        self.p_value = 1.0

    def add(self, old: Tally, new: Tally) -> None:
        """One interval of both groups; one in which either had nothing tells nothing."""
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
        """One interval of one that has the old version."""
        before = self.members.get(name, Tally(0, 0))
        self.members[name] = Tally(before.tries + tally.tries, before.good + tally.good)

    def overdispersion(self) -> float:
        """How far those with the old version differ from one another, over what chance gives: 1 is as by chance.

        Requests of one process are not independent (it refuses in bursts, by its own view of the pressure): what tells
        equals apart so far is no fault of a version."""
        rows = [row for row in self.members.values() if row.tries >= self.settings.min_tries // 2]
        tries, good = sum(row.tries for row in rows), sum(row.good for row in rows)
        if len(rows) < 2 or not 0 < good < tries:
            return 1.0
        mean = good / tries
        chi_square = sum((row.good - row.tries * mean) ** 2 / (row.tries * mean * (1.0 - mean)) for row in rows)
        return max(1.0, chi_square / (len(rows) - 1))

    def update_p_value(self) -> float:
        """The chance of a difference such as this, or greater at any look, where the new one is no worse."""
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
            # Half of the mixture lies on the side of worse: the ratio of that half alone is at most twice this.
            self.p_value = min(self.p_value, 1.0 / ratio if ratio > 0.0 else inf)
        return self.p_value


class Gate:
    """One wave's gate.  `on_interval` takes the tallies of one interval by stratum, and says what they come to."""

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
        """Tallies without and with the new version, and those without it member by member.

        Once worse, always worse: a wave is not gated twice."""
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
