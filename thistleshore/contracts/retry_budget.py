"""Retry budgets, which pay for attempts and repeats beyond first tries."""

from __future__ import annotations

from math import ceil

from thistleshore.contracts.model import Retries

PARTS = 10  # of a span; counts expire one part at a time, never all at once


class SlidingCounter:
    """Counts within the last `span` seconds, expiring a tenth at a time; late expiry makes a budget stricter."""

    __slots__ = ("_at", "_counts", "_step")

    def __init__(self, span: float, now: float) -> None:
        self._step, self._counts, self._at = span / PARTS, [0.0] * (PARTS + 1), now

    def _expire(self, now: float) -> None:
        # A clock that jumps far ahead expires everything once; one that jumps back expires nothing.
        steps = int((now - self._at) / self._step) if now > self._at else 0
        if steps > PARTS:
            self._counts, self._at = [0.0] * (PARTS + 1), now
            return
        for _ in range(steps):
            self._counts = [0.0, *self._counts[:-1]]
        self._at += steps * self._step

    def add(self, amount: float, now: float) -> None:
        """Add to the present part; it does not fall below 0."""
        self._expire(now)
        self._counts[0] = max(0.0, self._counts[0] + amount)

    def with_span(self, span: float, now: float, oldest: bool) -> SlidingCounter:
        """Return a counter over another span that goes on from this one.

        A part's counts lie between two ages; they are taken to be all of the higher one if `oldest`, else of the lower.
        """
        self._expire(now)
        made = SlidingCounter(span, now)
        for part, amount in enumerate(self._counts):
            age = max(0.0, now - self._at + (part if oldest else part - 1) * self._step)
            if (place := ceil(age / made._step)) <= PARTS:
                made._counts[place] += amount
        return made

    def sum_with_oldest(self, now: float) -> float:
        """Return the count, including the oldest part, which may reach beyond the span."""
        self._expire(now)
        return sum(self._counts)

    def sum_within_span(self, now: float) -> float:
        """Return the count without the oldest part; used for what earns, so that the budget is never too large."""
        self._expire(now)
        return sum(self._counts[:-1])


class RetryBudget:
    """One budget: first tries earn, retries pay."""

    __slots__ = ("earned", "paid", "spent", "terms")

    def __init__(self, terms: Retries, now: float) -> None:
        self.terms = terms
        self.earned, self.paid = SlidingCounter(terms.span, now), SlidingCounter(terms.span, now)
        self.spent = 0  # retries paid since the start

    def adopt(self, terms: Retries, now: float) -> None:
        """Go by these terms from now on; what was earned and paid counts on, and never makes the budget too large."""
        if terms.span != self.terms.span:
            self.earned = self.earned.with_span(terms.span, now, oldest=True)
            self.paid = self.paid.with_span(terms.span, now, oldest=False)
        self.terms = terms

    def earn(self, now: float) -> None:
        """Count a first try."""
        self.earned.add(1.0, now)

    def left(self, now: float) -> float:
        """Return how many retries may be sent now; never below 0."""
        granted = self.terms.floor + self.terms.share * self.earned.sum_within_span(now)
        return max(0.0, granted - self.paid.sum_with_oldest(now))


class CombinedRetryBudget:
    """The budgets that pay for a stream's retries: that of its share and that of its member.

    Both must have a retry left, so that one contract cannot spend its member's whole budget, nor a member another's.
    """

    __slots__ = ("budgets",)

    def __init__(self, *budgets: RetryBudget) -> None:
        self.budgets = budgets

    def left(self, now: float) -> float:
        """Return how many retries all budgets allow now."""
        return min(budget.left(now) for budget in self.budgets)

    def pay(self, now: float) -> None:
        """Take one retry from each budget."""
        for budget in self.budgets:
            budget.paid.add(1.0, now)
            budget.spent += 1

    def give_back(self, now: float) -> None:
        """Return one retry to each budget: an attempt that was paid for was never sent."""
        for budget in self.budgets:
            budget.paid.add(-1.0, now)
            budget.spent -= 1
