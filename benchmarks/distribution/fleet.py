"""A virtual fleet whose spread of configuration is measured from outside: times, traffic, and deaths at single steps.

It adds to the `World` of `distribution_net` what the measurements need: the size and shape of the operators' fleet, the
time from agreed to in force, bytes and datagrams of each instance, outages that may overlap, and a view that still
knows those as living that others can reach (as indirect probes do).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec

from benchmarks.distribution.net import Node, World, zones_of
from benchmarks.distribution.times import InForceTimes
from thistleshore.distribution.machine import Distributor
from thistleshore.distribution.model import Apply

HEADER_BYTES = 28  # of IP and UDP, on each datagram
SMALL = 15  # fewer instances than this: three regions of a zone each, and three voters
REGIONS, ZONES_A_REGION, VOTERS = 5, 3, 5
SMALL_REGIONS, SMALL_VOTERS = 3, 3

Kind = Callable[..., Distributor]


class Traffic(msgspec.Struct, frozen=True):
    """What instances sent and heard, with the headers of IP and UDP; averages of the run a second."""

    seconds: float
    instance_bytes: float  # mean of those that are no voters
    instance_bytes_worst: float
    voter_bytes: float
    voter_bytes_worst: float
    instance_datagrams: float
    voter_datagrams: float
    busiest: int  # datagrams that one instance heard in one second, at most


class _Sum:
    """What one instance sent and heard so far."""

    def __init__(self) -> None:
        self.bytes = self.datagrams = self.busiest = 0

    def add(self, node: Node) -> None:
        datagrams = node.sent + node.heard
        self.bytes += node.sent_bytes + node.heard_bytes + HEADER_BYTES * datagrams
        self.datagrams += datagrams
        self.busiest = max(self.busiest, node.busiest)


class Fleet(World):
    """A measured world of so many instances in the shape of the operators' fleet."""

    def __init__(
        self, size: int, seed: int, loss: float = 0.0, kind: Kind = Distributor, recorded: bool = False, **more: float
    ) -> None:
        small = size < SMALL
        zones = zones_of(SMALL_REGIONS, 1) if small else zones_of(REGIONS, ZONES_A_REGION)
        voters = SMALL_VOTERS if small else VOTERS
        self.times = InForceTimes()
        self.cut_off: set[str] = set()
        self.no_majority = 0  # pushes that found none
        self.on_durable: Callable[[str], None] = lambda name: None
        self._down_until: dict[str, float] = {}
        super().__init__(size, zones, seed, loss=loss, voters=voters, kind=kind, recorded=recorded, **more)  # type: ignore[arg-type]
        self._sums = {name: _Sum() for name in self.nodes}
        self._counted_from = self.now
        for name in self.nodes:
            self.times.on_return(name, 0, self.now)

    @property
    def scheduled(self) -> int:
        """Events that were scheduled so far."""
        return next(self._order)

    @property
    def by_zone(self) -> dict[str, list[str]]:
        """Names of the instances of each zone."""
        zones: dict[str, list[str]] = {}
        for node in self.nodes.values():
            zones.setdefault(node.zone, []).append(node.name)
        return zones

    def of_region(self, region: str) -> list[str]:
        """Names of the instances of a region."""
        return [node.name for node in self.nodes.values() if node.region == region]

    # -- configuration and lives -----------------------------------------------------------------

    def push(self, body: bytes, format: int = 1) -> int:
        """Agree on a version, and begin to measure it; 0 where there is no majority."""
        number = super().push(body, format)
        if number:
            self.times.on_agreed(number, self.now)
        else:
            self.no_majority += 1
        return number

    def hand_over(self, name: str, action: Apply) -> None:
        """Give an instance a version by hand, past the network."""
        self._carry(self.nodes[name], [action])

    def kill(self, name: str) -> None:
        """End an instance, and count it no more."""
        super().kill(name)
        self.times.on_gone(name)

    def restart(self, name: str) -> None:
        """Start an instance; it counts from now on, unless it is cut off."""
        super().restart(name)
        if name not in self.cut_off:
            self.times.on_return(name, self.nodes[name].in_force.number, self.now)

    def outage(self, names: Iterable[str], seconds: float) -> None:
        """End instances, and start each again after its last outage that overlaps."""
        for name in names:
            until = self.now + seconds
            self._down_until[name] = max(until, self._down_until.get(name, until))
            if self.nodes[name].alive:
                self.kill(name)
            self.at(until, lambda name=name: self._back(name))  # type: ignore[misc]

    def isolate(self, names: Iterable[str]) -> Callable[[], None]:
        """Cut instances off from all others; call what comes back to heal it."""
        away = set(names)
        cut = self.cut(lambda a, b: (a in away) != (b in away))
        self.cut_off |= away
        for name in away:
            self.times.on_gone(name)

        def heal() -> None:
            self.heal(cut)
            self.cut_off -= away
            for name in sorted(away):
                if self.nodes[name].alive:
                    self.times.on_return(name, self.nodes[name].in_force.number, self.now)

        return heal

    def part(self, one: str, other: str) -> Callable[[], None]:
        """Lose every datagram between two regions; call what comes back to heal it."""
        ends = {one, other}
        region = {node.name: node.region for node in self.nodes.values()}
        cut = self.cut(lambda a, b: region[a] != region[b] and {region[a], region[b]} == ends)
        return lambda: self.heal(cut)

    def _back(self, name: str) -> None:
        if not self.nodes[name].alive and self.now >= self._down_until[name]:
            self.restart(name)

    def _durable(self, node: Node, generation: int, action: Apply) -> None:
        super()._durable(node, generation, action)
        if node.machine is not None and node.generation == generation:
            self.on_durable(node.name)

    def _put(self, node: Node, generation: int, action: Apply) -> None:
        super()._put(node, generation, action)
        if node.machine is not None and node.generation == generation:
            self.times.on_in_force(node.name, node.in_force.number, self.now)

    # -- the view and the register ----------------------------------------------------------------

    def _majority(self) -> list[Node]:
        """Voters that reach the first of them without others between."""
        living = [self.nodes[name] for name in sorted(self.voters) if self.nodes[name].alive]
        for first in living:
            together = [voter for voter in living if voter is first or super(Fleet, self)._linked(first, voter)]
            if 2 * len(together) > len(self.voters):
                return together
        return []

    def _linked(self, a: Node, b: Node, starting: bool = False) -> bool:
        """Whether they reach one another, or a voter reaches both: the view probes through others."""
        direct = super()._linked
        if direct(a, b, starting):
            return True
        if not self._cuts or not b.alive or not (a.alive or starting):
            return False
        between = (self.nodes[name] for name in sorted(self.voters))
        return any(direct(a, other, starting) and direct(other, b) for other in between if other not in (a, b))

    # -- traffic -------------------------------------------------------------------------------------

    def clear_counts(self) -> None:
        """Begin a new count of the busiest second; the sums go on."""
        self._add_up()
        super().clear_counts()

    def count_anew(self) -> None:
        """Begin to count traffic from here."""
        super().clear_counts()
        self._sums = {name: _Sum() for name in self.nodes}
        self._counted_from = self.now

    def busiest(self) -> int:
        """Datagrams that one instance heard in one second at most, since the last `clear_counts`."""
        return max(node.busiest for node in self.nodes.values())

    def traffic(self) -> Traffic:
        """Since `count_anew`."""
        self.clear_counts()
        seconds = max(self.now - self._counted_from, 1e-9)
        voters = [self._sums[name] for name in sorted(self.voters)]
        others = [found for name, found in self._sums.items() if name not in self.voters] or voters
        return Traffic(
            seconds=round(seconds, 1),
            instance_bytes=_mean((found.bytes for found in others), seconds),
            instance_bytes_worst=round(max(found.bytes for found in others) / seconds, 1),
            voter_bytes=_mean((found.bytes for found in voters), seconds),
            voter_bytes_worst=round(max(found.bytes for found in voters) / seconds, 1),
            instance_datagrams=_mean((found.datagrams for found in others), seconds),
            voter_datagrams=_mean((found.datagrams for found in voters), seconds),
            busiest=max(found.busiest for found in self._sums.values()),
        )

    def _add_up(self) -> None:
        for name, node in self.nodes.items():
            self._sums[name].add(node)


def _mean(values: Iterable[int], seconds: float) -> float:
    found = list(values)
    return round(sum(found) / len(found) / seconds, 1)


def traffic_of_runs(runs: Sequence[Traffic]) -> Traffic:
    """The mean of the means, and the worst of the worst."""

    def mean(values: Iterable[float]) -> float:
        return round(sum(values) / len(runs), 1)

    return Traffic(
        seconds=mean(run.seconds for run in runs),
        instance_bytes=mean(run.instance_bytes for run in runs),
        instance_bytes_worst=max(run.instance_bytes_worst for run in runs),
        voter_bytes=mean(run.voter_bytes for run in runs),
        voter_bytes_worst=max(run.voter_bytes_worst for run in runs),
        instance_datagrams=mean(run.instance_datagrams for run in runs),
        voter_datagrams=mean(run.voter_datagrams for run in runs),
        busiest=max(run.busiest for run in runs),
    )
