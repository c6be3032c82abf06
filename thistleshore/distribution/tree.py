"""The distribution tree over the living members, computed alike by all instances that share the same view.

Relays are chosen by rendezvous hashing: each member has a weight in its zone and one in its region, and the living
members with the highest weights are the relays.  When a relay dies, only that relay is replaced.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from functools import lru_cache

import xxhash

from thistleshore.distribution.model import RELAYS, Peer, region_of

MAX_CACHED_WEIGHTS = 8192


@lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def weight(scope: str, name: str) -> int:
    """Return the rendezvous weight of a member in a zone or region."""
    return xxhash.xxh3_64_intdigest(f"{scope}\0{name}".encode())


def select_relays(scope: str, peers: Iterable[Peer]) -> tuple[Peer, ...]:
    """Return the relays among these peers, the highest weight first."""
    return tuple(heapq.nlargest(RELAYS, peers, key=lambda peer: (weight(scope, peer.name), peer.name)))


class Tree:
    """The tree from one member's position: `parents` above it by level, nearest first, and `children` below it."""

    def __init__(self, local_peer: Peer, others: Mapping[str, Peer], voters: frozenset[str]) -> None:
        living = [local_peer, *(peer for peer in others.values() if peer.alive)]
        self.local_peer = local_peer
        self.zone_relays = _zone_relays(living)
        self.region_relays = _region_relays(self.zone_relays)
        self._voters = _reachable_voters(voters, local_peer, others)
        self.is_voter = local_peer.name in voters
        self.is_zone_relay = local_peer in self.zone_relays[local_peer.zone]
        self.is_region_relay = local_peer in self.region_relays[local_peer.region]
        self.parents: tuple[tuple[Peer, ...], ...] = self._parents()
        self.children: tuple[Peer, ...] = self._children(living)

    @property
    def own_zone_relays(self) -> tuple[Peer, ...]:
        """The relays of this member's zone, except itself."""
        return self._except_self(self.zone_relays[self.local_peer.zone])

    def _parents(self) -> tuple[tuple[Peer, ...], ...]:
        levels = [self._voters]
        if not self.is_voter and not self.is_region_relay:
            levels.insert(0, self._except_self(self.region_relays[self.local_peer.region]))
            if not self.is_zone_relay:
                levels.insert(0, self.own_zone_relays)
        return tuple(level for level in levels if level)

    def _children(self, living: Iterable[Peer]) -> tuple[Peer, ...]:
        found: dict[str, Peer] = {}
        if self.is_voter:
            for relays in self.region_relays.values():
                found.update((peer.name, peer) for peer in relays)
        if self.is_region_relay:
            for zone, relays in self.zone_relays.items():
                if region_of(zone) == self.local_peer.region:
                    found.update((peer.name, peer) for peer in relays)
        if self.is_zone_relay:
            found.update((peer.name, peer) for peer in living if peer.zone == self.local_peer.zone)
        return self._except_self(found.values())

    def _except_self(self, peers: Iterable[Peer]) -> tuple[Peer, ...]:
        return tuple(peer for peer in peers if peer.name != self.local_peer.name)


def _zone_relays(living: Iterable[Peer]) -> dict[str, tuple[Peer, ...]]:
    by_zone: dict[str, list[Peer]] = {}
    for peer in living:
        by_zone.setdefault(peer.zone, []).append(peer)
    return {zone: select_relays(f"zone {zone}", peers) for zone, peers in by_zone.items()}


def _region_relays(zone_relays: Mapping[str, tuple[Peer, ...]]) -> dict[str, tuple[Peer, ...]]:
    by_region: dict[str, list[Peer]] = {}
    for zone, relays in zone_relays.items():
        by_region.setdefault(region_of(zone), []).extend(relays)
    return {region: select_relays(f"region {region}", peers) for region, peers in by_region.items()}


def _reachable_voters(voters: frozenset[str], local_peer: Peer, others: Mapping[str, Peer]) -> tuple[Peer, ...]:
    """Return the living voters, or all known ones if none is alive, as the view may lag behind their return."""
    known = [others[name] for name in sorted(voters) if name in others and name != local_peer.name]
    living = tuple(peer for peer in known if peer.alive)
    return living or tuple(known)
