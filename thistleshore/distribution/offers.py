"""Offers of the newest version to the children in the tree, with retransmission until acknowledged."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from thistleshore.distribution.model import NO_VERSION, Peer, Stamp, ProtocolSettings


class Offers:
    """Tracks the children that have not yet acknowledged the offered version."""

    def __init__(self, settings: ProtocolSettings) -> None:
        self._settings = settings
        self._unacknowledged: dict[str, Peer] = {}
        self._retries = 0
        self.stamp: Stamp = NO_VERSION
        self.due: float = inf

    def start(self, stamp: Stamp, children: Iterable[Peer], now: float) -> list[Peer]:
        """Offer a version in place of any earlier one; return the peers to send it to now."""
        self.stamp = stamp
        self._unacknowledged = {peer.name: peer for peer in children}
        return self._restart(now)

    def extend(self, children: Iterable[Peer], now: float) -> list[Peer]:
        """Offer the same version to new children as well; return the peers to send it to now."""
        new = list(children)
        if new:
            self._unacknowledged.update((peer.name, peer) for peer in new)
            self._restart(now)
        return new

    def retain_children(self, children: Iterable[Peer]) -> None:
        """Drop peers that are no longer children, and update the addresses of the others."""
        self._unacknowledged = {peer.name: peer for peer in children if peer.name in self._unacknowledged}
        if not self._unacknowledged:
            self.due = inf

    def on_acknowledge(self, name: str, number: int) -> None:
        """Handle a child's acknowledgement."""
        if number == self.stamp.number:
            self._unacknowledged.pop(name, None)
            if not self._unacknowledged:
                self.due = inf

    def on_time(self, now: float) -> list[Peer]:
        """Return the peers to resend the offer to; the delay doubles with each retry."""
        if now < self.due:
            return []
        if self._retries >= self._settings.retries:
            self._unacknowledged.clear()
            self.due = inf
            return []
        self._retries += 1
        self.due = now + self._settings.answer_timeout * 2**self._retries
        return list(self._unacknowledged.values())

    def _restart(self, now: float) -> list[Peer]:
        self._retries = 0
        self.due = now + self._settings.answer_timeout if self._unacknowledged else inf
        return list(self._unacknowledged.values())
