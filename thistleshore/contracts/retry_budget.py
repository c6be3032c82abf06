"""Retry budgets: what pays for attempts and repeats beyond first tries."""

from __future__ import annotations

from thistleshore.contracts.model import Retries

PARTS = 10  # of a span: a sum over parts forgets a part at a time, never the whole


class SlidingCounter:
    """Counts within the last span, forgotten a tenth at a time; what is forgotten late errs to the strict side."""

    __slots__ = ("_at", "_counts", "_step")

    def __init__(self, span: float, now: float) -> None:
        self._step, self._counts, self._at = span / PARTS, [0.0] * (PARTS + 1), now

    def _turn(self, now: float) -> None:
        # A clock that jumps far ahead forgets all, once; one that jumps back forgets nothing.
        steps = int((now - self._at) / self._step) if now > self._at else 0
        if steps > PARTS:
            self._counts, self._at = [0.0] * (PARTS + 1), now
            return
        for _ in range(steps):
            self._counts = [0.0, *self._counts[:-1]]
        self._at += steps * self._step

    def add(self, amount: float, now: float) -> None:
        self._turn(now)
        self._counts[0] = max(0.0, self._counts[0] + amount)

    def sum(self, now: float) -> float:
        self._turn(now)
        return sum(self._counts)

    def whole(self, now: float) -> float:
        """Without the oldest part, which may reach behind the span: for what earns."""
        self._turn(now)
        return sum(self._counts[:-1])


class RetryBudget:
    """One budget: first tries earn, further ones pay."""

    __slots__ = ("earned", "paid", "spent", "terms")

    def __init__(self, terms: Retries, now: float) -> None:
        self.terms = terms
        self.earned, self.paid = SlidingCounter(terms.span, now), SlidingCounter(terms.span, now)
        self.spent = 0  # since the start

    def earn(self, now: float) -> None:
        self.earned.add(1.0, now)

    def left(self, now: float) -> float:
        """Further attempts that may go out now; never below 0."""
        granted = self.terms.floor + self.terms.share * self.earned.whole(now)
        return max(0.0, granted - self.paid.sum(now))


class CombinedRetryBudget:
    """What pays for a stream's further attempts: the budget of its share and that of its member.  Both must have it, so
    that one contract cannot spend all that its member has, and no member what is another's."""

    __slots__ = ("budgets",)

    def __init__(self, *budgets: RetryBudget) -> None:
        self.budgets = budgets

    def left(self, now: float) -> float:
        return min(budget.left(now) for budget in self.budgets)

    def pay(self, now: float) -> None:
        for budget in self.budgets:
            budget.paid.add(1.0, now)
            budget.spent += 1

    def give_back(self, now: float) -> None:
        """An attempt that was paid for was never sent."""
        for budget in self.budgets:
            budget.paid.add(-1.0, now)
            budget.spent -= 1
