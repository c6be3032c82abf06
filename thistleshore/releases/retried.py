"""A change of the register that is proposed again after a round whose end is not known."""

from __future__ import annotations

from thistleshore.releases.model import HistoryEntry, Refusal, Value
from thistleshore.releases.register import Change


class RetriedChange:
    """A change for the rounds of one proposer, which makes it once.

    A round that lost may have had its value accepted by some voters, and any later round, also of another proposer, may
    complete it.  A value whose history has such a proposal is left as it is: the change is done, and is neither made
    twice nor refused because of itself.
    """

    def __init__(self, change: Change) -> None:
        self._change = change
        self._proposed: set[HistoryEntry] = set()

    def __call__(self, value: Value) -> Value | Refusal:
        """Return the next value, the value itself if it has the change already, or the refusal."""
        if not self._proposed.isdisjoint(value.history):
            return value
        changed = self._change(value)
        if isinstance(changed, Value) and changed.number > value.number:
            self._proposed.add(changed.history[-1])
        return changed
