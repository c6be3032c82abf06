"""Offers of the newest version to the children in the tree, sent again until they are acknowledged."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from thistleshore.distribution.model import NO_VERSION, Peer, Stamp, ProtocolSettings


class Offers:
    """Who has not yet acknowledged the version that is offered."""

    def __init__(self, settings: ProtocolSettings) -> None:
        self._settings = settings
        self._waiting: dict[str, Peer] = {}
        self._repeated = 0
        self.stamp: Stamp = NO_VERSION
        self.due: float = inf

    def start(self, stamp: Stamp, children: Iterable[Peer], now: float) -> list[Peer]:
        """Offer a version in place of any earlier one; whom to send it to now."""
        self.stamp = stamp
        self._waiting = {peer.name: peer for peer in children}
        return self._restart(now)

    def extend(self, children: Iterable[Peer], now: float) -> list[Peer]:
        """Offer the same version to new children, too; whom to send it to now."""
        new = list(children)
        if new:
            self._waiting.update((peer.name, peer) for peer in new)
            self._restart(now)
        return new

    def keep_only(self, children: Iterable[Peer]) -> None:
        """Drop those that are no children any more, and learn the present addresses of the others."""
        self._waiting = {peer.name: peer for peer in children if peer.name in self._waiting}
        if not self._waiting:
            self.due = inf

    def on_acknowledge(self, name: str, number: int) -> None:
        """A child has heard an offer."""
        if number == self.stamp.number:
            self._waiting.pop(name, None)
            if not self._waiting:
                self.due = inf

    def on_time(self, now: float) -> list[Peer]:
        """Whom to send the offer to again."""
        if now < self.due:
            return []
        if self._repeated >= self._settings.retries:
            self._waiting.clear()
            self.due = inf
            return []
        self._repeated += 1
        self.due = now + self._settings.answer_timeout * 2**self._repeated
        return list(self._waiting.values())

    def _restart(self, now: float) -> list[Peer]:
        self._repeated = 0
        self.due = now + self._settings.answer_timeout if self._waiting else inf
        return list(self._waiting.values())
