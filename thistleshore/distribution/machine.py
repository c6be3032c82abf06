"""One instance's side of the distribution of configuration, with no socket, no disk and no clock.

Every public method takes the time (seconds of a monotonic clock), changes the state and returns actions; none waits.
`due` is when `on_time` wants to be called next.
"""

from __future__ import annotations

import random as randoms
from collections import Counter
from collections.abc import Iterable
from math import inf

from thistleshore.distribution.model import NO_VERSION, Action, Address, Peer, Spread, Stamp, Terms


class Distributor:
    """What one instance knows of agreed versions, and how it passes them on."""

    def __init__(
        self,
        fleet: str,
        me: Peer,
        voters: frozenset[str],
        terms: Terms,
        now: float,
        seed: int = 0,
        held: tuple[Stamp, bytes] | None = None,
    ) -> None:
        """`held` is the version that is in force here, from the disk."""
        self.fleet, self.me, self.voters, self.terms = fleet, me, voters, terms
        self.applied: Stamp = held[0] if held is not None else NO_VERSION
        self.known: Stamp = self.applied
        self.counts: Counter[str] = Counter()
        self.due: float = inf
        self._random = randoms.Random(seed)

    def on_view(self, peers: Iterable[Peer], now: float) -> list[Action]:
        """The other members have changed; `peers` are all that the view knows, dead ones too until forgotten."""
        return []

    def on_agreed(self, stamp: Stamp, body: bytes | None, now: float) -> list[Action]:
        """The register has agreed on a version; `body` where this instance has it."""
        return []

    def on_datagram(self, data: bytes, sender: Address, now: float) -> list[Action]:
        """Take a datagram in; what is no datagram of this fleet changes nothing and is counted."""
        return []

    def on_time(self, now: float) -> list[Action]:
        """Do what is due."""
        return []

    def on_applied(self, stamp: Stamp, now: float) -> list[Action]:
        """The version of an `Apply` is durable and in force."""
        return []

    def on_refused(self, stamp: Stamp, reason: str, now: float) -> list[Action]:
        """The version of an `Apply` could not be put in force; the one before still is."""
        return []

    def ask_spread(self, now: float) -> list[Action]:
        """Ask the zone relays of all zones for the fresh reports that they hold."""
        return []

    def spread(self, number: int, now: float) -> Spread:
        """How far the fleet is with a version, by the fresh reports that are known here now."""
        return Spread(number, ())

    def body(self, number: int) -> bytes | None:
        """The body of a version that is kept here."""
        return None
