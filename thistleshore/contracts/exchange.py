"""Leases that share members' guarantees among several instances, over datagrams that may be lost.

Each instance owns an equal part of every guarantee.  It cedes what it does not need to peers that do, for the time of a
lease.  A peer uses a ceded part only while it is certain that the owner still counts it as ceded:

- A message acknowledges the latest message received from the peer.  For the receiver the lease runs from the
  time at which it sent *that* message: this is before the sender's own time of sending, so the lease never lasts longer
  than for the owner.
- The owner counts as ceded the most that any message of the last lease ceded, whether it arrived or not.

So the parts in use never sum to more than the whole, although messages may be lost, repeated, reordered or late and
clocks agree only on their rate (`drift` is subtracted).  After one lease without a message a receiver uses nothing that
it was ceded, and after two its owner has its equal part back.  A restarted instance does not know what it had ceded:
for one lease it uses only the part that it never cedes.

A message also tells how many attempts its sender has in flight at each host: reports of free slots arrive late, and two
instances that relied on the same report would choose the same slot.

State is idempotent and monotone: a message holds its sender's whole state for the receiver, and only a message with a
higher number is applied.  Numbers begin with the sender's generation, so that an acknowledgement of a message of an
earlier generation is not mistaken for one of this generation.
"""

from __future__ import annotations

import struct
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple
from zlib import crc32

from oxbowarch.interface import Report
from thistleshore.contracts.model import ShareKey
from thistleshore.contracts.sharing import share_max_min

VERSION = 1
MAX_DATAGRAM_BYTES = 256
# Version, sender, receiver, instances, fingerprint of the agreements, message number, number acknowledged, first share,
# count of shares.
HEAD = struct.Struct("!BBBBHQQHB")
NUMBERS_PER_GENERATION = 1 << 32  # the next generation's numbers are above them all
ROW = struct.Struct("!BB")  # demand, ceded
HOST = struct.Struct("!IB")  # crc32 of a host's name, and own attempts in flight there
MAX_ROWS = 64  # shares in one message; hosts fill the rest of it
IN_FLIGHT_AGE = 0.5  # seconds for which a peer's count of attempts in flight is used
MAX_HOSTS = 4096  # hosts stored for a peer before old ones are dropped
DEMAND_STEP = 1 / 64  # of a guarantee; 255 steps are about four guarantees
CEDE_STEP = 1 / 255  # of an equal part


class Terms(NamedTuple):
    """Parameters of the exchange; times in seconds."""

    message_interval: float = 0.1  # between two messages to a peer
    lease: float = 1.0
    drift: float = 0.01  # part of a lease by which clock rates may differ
    reserved_part: float = 0.2  # part of its equal part that an instance never cedes
    demand_margin: float = 1.3  # factor on the estimated demand before the rest is ceded


class _Ceded(NamedTuple):
    """What one message ceded."""

    until: float
    rows: tuple[int, ...]  # steps ceded, by share from `first`
    first: int


class _Peer:
    """State about one other instance."""

    __slots__ = ("ceded", "demand", "in_flight", "last_number", "received_at", "received_steps", "sent")

    def __init__(self, shares: int) -> None:
        self.last_number = 0  # number of its latest message
        self.received_at = float("-inf")  # when that arrived
        self.demand = [0.0] * shares  # its demand of each share, as a part of the guarantee
        self.received_steps: list[tuple[int, float]] = [
            (0, float("-inf"))
        ] * shares  # steps ceded to this instance, and until when
        self.in_flight: dict[int, tuple[int, float]] = {}  # its attempts in flight by host, and when it reported them
        self.ceded: deque[_Ceded] = deque()  # ceded by this instance to it, latest last
        self.sent: dict[int, float] = {}  # when messages to it were sent, by number


class Exchange:
    """One instance's side of the exchange; `generation`, below 2^32, grows with each start.

    `due` returns the datagrams to send, `on_datagram` takes a datagram received.
    """

    def __init__(
        self,
        own_number: int,
        instances: int,
        shares: Sequence[ShareKey],
        terms: Terms,
        generation: int,
        now: float,
        names: str = "",
    ) -> None:
        if not 0 <= own_number < instances <= 255:
            raise ValueError("the instance number must be from 0 to below the count of instances, which is at most 255")
        self.own_number, self.instances, self.terms = own_number, instances, terms
        self.counts: Counter[str] = Counter()
        self._number = generation * NUMBERS_PER_GENERATION
        self._in_flight: list[tuple[int, int]] = []  # own attempts in flight, by host
        self._host_turn = 0
        self._peers: dict[int, _Peer] = {n: _Peer(0) for n in range(instances) if n != own_number}
        self._begin(shares, names, now)

    def _begin(self, shares: Sequence[ShareKey], names: str, now: float) -> None:
        """Reset all shares; the latest message number of each peer is kept, so that old messages remain old."""
        self.shares, self._fingerprint = tuple(shares), crc32(names.encode()) & 0xFFFF
        self._started_at, self._first_row = now, 0
        self.numbers = {share: n for n, share in enumerate(self.shares)}
        self._demand = [0.0] * len(self.shares)
        for number, previous in self._peers.items():
            self._peers[number] = peer = _Peer(len(self.shares))
            peer.last_number = previous.last_number

    def adopt(self, shares: Sequence[ShareKey], names: str, now: float) -> None:
        """Take new agreements; parts ceded under the old ones lapse.

        Messages of peers with other agreements are ignored, so each instance uses its equal part until they agree.
        """
        if crc32(names.encode()) & 0xFFFF != self._fingerprint or tuple(shares) != self.shares:
            self._begin(shares, names, now)

    # -- parts in use -------------------------------------------------------------------------

    @property
    def equal_part(self) -> float:
        """The part of each guarantee that every instance owns."""
        return 1.0 / self.instances

    def part(self, share: ShareKey, now: float) -> float:
        """Return the part of a share's guarantee that this instance may use now, 0 to 1."""
        number = self.numbers.get(share)
        if number is None:
            return self.equal_part
        return max(0.0, self.equal_part * (1.0 - self._ceded_part(number, now) + self._received_part(number, now)))

    def _ceded_part(self, index: int, now: float) -> float:
        """Return how much of the equal part peers may be using."""
        if now < self._started_at + self.terms.lease:
            # What an earlier generation ceded is unknown, and may still be in use.
            return 1.0 - self.terms.reserved_part
        return sum(self._ceded_steps(peer, index, now) for peer in self._peers.values()) * CEDE_STEP

    def _ceded_steps(self, peer: _Peer, index: int, now: float) -> int:
        while peer.ceded and peer.ceded[0].until <= now:
            peer.ceded.popleft()
        return max(
            (
                message.rows[index - message.first]
                for message in peer.ceded
                if message.first <= index < message.first + len(message.rows)
            ),
            default=0,
        )

    def _received_part(self, index: int, now: float) -> float:
        return (
            sum(steps for peer in self._peers.values() for steps, until in (peer.received_steps[index],) if now < until)
            * CEDE_STEP
        )

    def silent_peers(self, now: float) -> list[int]:
        """Return the peers from which nothing arrived for a lease."""
        return [number for number, peer in self._peers.items() if now - peer.received_at > self.terms.lease]

    # -- messages out ---------------------------------------------------------------------------

    def on_demand(self, demands: Mapping[ShareKey, float]) -> None:
        """Set the demand here, as a part of each share's whole guarantee."""
        for share, demand in demands.items():
            if share in self.numbers:
                self._demand[self.numbers[share]] = demand

    def on_attempts_in_flight(self, out: Mapping[bytes, int]) -> None:
        """Set the number of own attempts in flight, by host."""
        self._in_flight = [(crc32(host), min(255, count)) for host, count in sorted(out.items())]

    def peers_in_flight(self, host: bytes, now: float) -> int | None:
        """Return the peers' attempts in flight at a host; None if any peer has not reported lately."""
        number, total = crc32(host), 0
        for peer in self._peers.values():
            count, at = peer.in_flight.get(number, (0, float("-inf")))
            if now - at > IN_FLIGHT_AGE:
                return None
            total += count
        return total

    def report(self, host: bytes, size: float, out: int, now: float) -> Report | None:
        """Return a report on a host with `size` slots and `out` own attempts; None if the peers' are unknown."""
        in_flight_at_peers = self.peers_in_flight(host, now)
        if in_flight_at_peers is None or not size:
            return None
        return Report(max(0.0, size - out - in_flight_at_peers), 0.0, float(out + in_flight_at_peers))

    def due(self, now: float) -> list[tuple[int, bytes]]:
        """Return the messages to send now, one for each peer; shares that do not fit take turns."""
        first = self._first_row if self._first_row < len(self.shares) else 0
        rows = range(first, min(first + MAX_ROWS, len(self.shares)))
        self._first_row = rows.stop if rows.stop < len(self.shares) else 0
        ceding = {index: self._cede(index, now) for index in rows}
        hosts = self._hosts(MAX_DATAGRAM_BYTES - HEAD.size - len(rows) * ROW.size)
        datagrams = []
        for number, peer in self._peers.items():
            self._number += 1
            peer.sent[self._number] = now
            while len(peer.sent) > 64:
                del peer.sent[next(iter(peer.sent))]
            steps = tuple(ceding[index].get(number, 0) for index in rows)
            peer.ceded.append(_Ceded(now + self.terms.lease, steps, first))
            head = HEAD.pack(
                VERSION,
                self.own_number,
                number,
                self.instances,
                self._fingerprint,
                self._number,
                peer.last_number,
                first,
                len(steps),
            )
            body = b"".join(
                ROW.pack(min(255, round(self._demand[index] / DEMAND_STEP)), step)
                for index, step in zip(rows, steps, strict=True)
            )
            datagrams.append((number, head + body + hosts))
        return datagrams

    def _hosts(self, room: int) -> bytes:
        """Encode as many hosts as fit in `room` bytes; if not all do, they take turns."""
        max_hosts = room // HOST.size
        if len(self._in_flight) <= max_hosts:
            return b"".join(HOST.pack(*row) for row in self._in_flight)
        self._host_turn = self._host_turn % len(self._in_flight)
        rows = (self._in_flight[self._host_turn :] + self._in_flight[: self._host_turn])[:max_hosts]
        self._host_turn += max_hosts
        return b"".join(HOST.pack(*row) for row in rows)

    def _cede(self, index: int, now: float) -> dict[int, int]:
        """Return the steps to cede to each peer, sharing what is spare here by what each lacks."""
        if now < self._started_at + self.terms.lease:
            return {}  # what an earlier generation ceded may still be in use, so nothing more may be ceded
        live_peers = {n: peer for n, peer in self._peers.items() if now - peer.received_at <= self.terms.lease}
        needed = self._demand[index] * self.terms.demand_margin / self.equal_part
        spare = min(1.0 - self.terms.reserved_part, 1.0 - needed)
        lacking = {
            n: max(0.0, peer.demand[index] * self.terms.demand_margin / self.equal_part - 1.0)
            for n, peer in live_peers.items()
        }
        if spare <= 0.0 or not any(lacking.values()):
            return {}
        # Parts under older leases may still be in use, and count against the limit.
        ceded_already = {n: self._ceded_steps(peer, index, now) for n, peer in self._peers.items()}
        parts = share_max_min(spare, list(lacking.values()), [1.0] * len(lacking))
        wanted = {n: int(part / CEDE_STEP) for n, part in zip(lacking, parts, strict=True)}
        max_steps = int((1.0 - self.terms.reserved_part) / CEDE_STEP)
        remaining = max_steps - sum(ceded_already.values())
        ceded = {}
        for n, steps in wanted.items():
            more = max(0, steps - ceded_already[n])
            more = min(more, max(0, remaining))
            remaining -= more
            ceded[n] = min(steps, ceded_already[n] + more)
        return ceded

    # -- messages in ----------------------------------------------------------------------------

    def on_datagram(self, data: bytes, now: float) -> bool:
        """Apply a message and return True; one that is malformed, old or not for this instance is only counted."""
        if not HEAD.size <= len(data) <= MAX_DATAGRAM_BYTES:
            return self._ignore("garbage")
        version, sender, to, instances, fingerprint, number, acknowledged, first, count = HEAD.unpack_from(data)
        end = HEAD.size + count * ROW.size
        if end > len(data) or (len(data) - end) % HOST.size:
            return self._ignore("garbage")
        rows = list(ROW.iter_unpack(data[HEAD.size : end]))
        if version != VERSION:
            return self._ignore("version")
        if fingerprint != self._fingerprint:
            return self._ignore("agreements")
        if (
            to != self.own_number
            or instances != self.instances
            or sender not in self._peers
            or first + len(rows) > len(self.shares)
        ):
            return self._ignore("stranger")
        peer = self._peers[sender]
        if number <= peer.last_number:
            return self._ignore("old")  # a repetition, or overtaken by a later message
        peer.last_number, peer.received_at = number, now
        sent = peer.sent.get(acknowledged)
        until = sent + self.terms.lease * (1.0 - self.terms.drift) if sent is not None else float("-inf")
        for index, (demand, steps) in enumerate(rows, first):
            peer.demand[index] = demand * DEMAND_STEP
            peer.received_steps[index] = (steps, until)
        peer.in_flight.update((host, (out, now)) for host, out in HOST.iter_unpack(data[end:]))
        if len(peer.in_flight) > MAX_HOSTS:  # memory must not grow with every deploy
            peer.in_flight = {
                host: in_flight for host, in_flight in peer.in_flight.items() if now - in_flight[1] <= IN_FLIGHT_AGE
            }
        self.counts["taken"] += 1
        return True

    def _ignore(self, reason: str) -> bool:
        self.counts[reason] += 1
        return False
