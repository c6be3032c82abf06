"""How several instances share out their members' guarantees: leases over datagrams that may be lost.

Each instance owns an equal part of every guarantee.  What it does not need it cedes to peers that do, for the time of
a lease.  A peer uses what it was ceded only while it can be sure that the owner still counts it as ceded:

- A message says which of the peer's messages its sender has heard last (`heard`).  The lease runs, for the receiver,
  from when it sent *that* message: earlier than the sender's own reading, so never longer than for the owner.
- The owner counts as ceded the most that any message of the last lease ceded, whether it arrived or not.

So the parts in use never sum to more than the whole: whatever is lost, repeated, reordered or late, with clocks that
agree on nothing but their rate (`drift` is taken off).  After a lease of silence a receiver uses nothing of it any
more, and after two its owner has its equal part again.  An instance that starts does not know what it had ceded: for
one lease it uses only what it can never have ceded.

Beside the leases a message tells how many attempts its sender has out at each host: free slots that hosts report come
late, and two instances that go by the same report would meet at the same slot.

State is idempotent and monotone: a message holds the whole state of its sender for its receiver, and only one with a
higher number counts.  A number begins with its sender's life, so that no instance takes what is said of an earlier
life's message for word of its own.
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
# Version, from, to, instances, fingerprint of the agreements, number, heard, first share, how many shares.
HEAD = struct.Struct("!BBBBHQQHB")
LIFE = 1 << 32  # numbers of one life; the next begins above them all
ROW = struct.Struct("!BB")  # demand, ceded
HOST = struct.Struct("!IB")  # crc32 of a host's name, and our attempts that are out there
ROWS_MOST = 64  # shares in one message; what is left of it tells of hosts
OUT_AGE = 0.5  # s for which it counts what a peer has out at a host
HOSTS_KEPT = 4096
DEMAND_STEP = 1 / 64  # of a guarantee; 255 steps are four times it
CEDE_STEP = 1 / 255  # of an equal part


class Terms(NamedTuple):
    """Times in seconds."""

    message_interval: float = 0.1  # between two messages to a peer
    lease: float = 1.0
    drift: float = 0.01  # by how much clocks may run apart, of a lease
    reserved_part: float = 0.2  # of its equal part that an instance never cedes
    demand_margin: float = 1.3  # what it seems to need is rounded up so before the rest is ceded


class _Ceded(NamedTuple):
    """What one message gave away."""

    until: float
    rows: tuple[int, ...]  # steps by share
    first: int


class _Peer:
    """What is known of one other instance."""

    __slots__ = ("ceded", "demand", "heard", "out", "sent", "taken", "received_at")

    def __init__(self, shares: int) -> None:
        self.heard = 0  # of its messages the latest
        self.received_at = float("-inf")  # when it was last heard
        self.demand = [0.0] * shares  # parts of the guarantee that it asks for
        self.taken: list[tuple[int, float]] = [(0, float("-inf"))] * shares  # steps ceded to us, and until when
        self.out: dict[int, tuple[int, float]] = {}  # its attempts out, by host, and when it said so
        self.ceded: deque[_Ceded] = deque()  # by us to it, the latest last
        self.sent: dict[int, float] = {}  # when our messages to it went out, by number


class Exchange:
    """One instance's side; `life`, below 2^32, grows with each start.

    `due` gives the datagrams to send, `on_datagram` takes what comes.
    """

    def __init__(
        self, me: int, instances: int, shares: Sequence[ShareKey], terms: Terms, life: int, now: float, names: str = ""
    ) -> None:
        if not 0 <= me < instances <= 255:
            raise ValueError("an instance is numbered among at most 255")
        self.me, self.instances, self.terms = me, instances, terms
        self.counts: Counter[str] = Counter()
        self._number = life * LIFE
        self._out: list[tuple[int, int]] = []  # our attempts out, by host
        self._host_turn = 0
        self._peers: dict[int, _Peer] = {n: _Peer(0) for n in range(instances) if n != me}
        self._begin(shares, names, now)

    def _begin(self, shares: Sequence[ShareKey], names: str, now: float) -> None:
        """Know nothing of any share; what was heard of each peer last is kept, so that old messages stay old."""
        self.shares, self._print, self._born, self._turn = tuple(shares), crc32(names.encode()) & 0xFFFF, now, 0
        self.numbers = {share: n for n, share in enumerate(self.shares)}
        self._demand = [0.0] * len(self.shares)
        for number, before in self._peers.items():
            self._peers[number] = peer = _Peer(len(self.shares))
            peer.heard = before.heard

    def adopt(self, shares: Sequence[ShareKey], names: str, now: float) -> None:
        """Other agreements: shares mean something else from now on, and what was ceded of the old ones lapses.

        Until the others have them too, their messages are of strangers, and each comes to its equal part.
        """
        if crc32(names.encode()) & 0xFFFF != self._print or tuple(shares) != self.shares:
            self._begin(shares, names, now)

    # -- what is in use -------------------------------------------------------------------------

    @property
    def equal_part(self) -> float:
        return 1.0 / self.instances

    def part(self, share: ShareKey, now: float) -> float:
        """The part of a share's guarantee that this instance may use now, 0 to 1."""
        number = self.numbers.get(share)
        if number is None:
            return self.equal_part
        return max(0.0, self.equal_part * (1.0 - self._given(number, now) + self._got(number, now)))

    def _given(self, index: int, now: float) -> float:
        """Of the equal part, what may be in others' use."""
        if now < self._born + self.terms.lease:
            # What an earlier life of this instance ceded is not known, and may still be in use.
            return 1.0 - self.terms.reserved_part
        return sum(self._ceded(peer, index, now) for peer in self._peers.values()) * CEDE_STEP

    def _ceded(self, peer: _Peer, index: int, now: float) -> int:
        while peer.ceded and peer.ceded[0].until <= now:
            peer.ceded.popleft()
        return max(
            (
                given.rows[index - given.first]
                for given in peer.ceded
                if given.first <= index < given.first + len(given.rows)
            ),
            default=0,
        )

    def _got(self, index: int, now: float) -> float:
        return (
            sum(steps for peer in self._peers.values() for steps, until in (peer.taken[index],) if now < until)
            * CEDE_STEP
        )

    def silent_peers(self, now: float) -> list[int]:
        """Peers that have not been heard for a lease."""
        return [n for n, peer in self._peers.items() if now - peer.received_at > self.terms.lease]

    # -- messages out ---------------------------------------------------------------------------

    def on_demand(self, demands: Mapping[ShareKey, float]) -> None:
        """What is asked for here, as parts of each share's whole guarantee."""
        for share, demand in demands.items():
            if share in self.numbers:
                self._demand[self.numbers[share]] = demand

    def on_attempts_in_flight(self, out: Mapping[bytes, int]) -> None:
        """How many attempts of ours are out, by host."""
        self._out = [(crc32(host), min(255, count)) for host, count in sorted(out.items())]

    def peers_in_flight(self, host: bytes, now: float) -> int | None:
        """Attempts that the others have out at a host, as far as they said so lately; None where any is silent."""
        number, total = crc32(host), 0
        for peer in self._peers.values():
            count, at = peer.out.get(number, (0, float("-inf")))
            if now - at > OUT_AGE:
                return None
            total += count
        return total

    def report(self, host: bytes, size: float, out: int, now: float) -> Report | None:
        """What that says of a host of so many slots where so many attempts are ours; None where nothing is known."""
        peers_in_flight = self.peers_in_flight(host, now)
        if peers_in_flight is None or not size:
            return None
        return Report(max(0.0, size - out - peers_in_flight), 0.0, float(out + peers_in_flight))

    def due(self, now: float) -> list[tuple[int, bytes]]:
        """The messages to send now, one for each peer; where shares do not fit one, they take turns."""
        first = self._turn if self._turn < len(self.shares) else 0
        rows = range(first, min(first + ROWS_MOST, len(self.shares)))
        self._turn = rows.stop if rows.stop < len(self.shares) else 0
        ceding = {index: self._cede(index, now) for index in rows}
        hosts = self._hosts(MAX_DATAGRAM_BYTES - HEAD.size - len(rows) * ROW.size)
        told = []
        for number, peer in self._peers.items():
            self._number += 1
            peer.sent[self._number] = now
            while len(peer.sent) > 64:
                del peer.sent[next(iter(peer.sent))]
            steps = tuple(ceding[index].get(number, 0) for index in rows)
            peer.ceded.append(_Ceded(now + self.terms.lease, steps, first))
            head = HEAD.pack(
                VERSION, self.me, number, self.instances, self._print, self._number, peer.heard, first, len(steps)
            )
            body = b"".join(
                ROW.pack(min(255, round(self._demand[index] / DEMAND_STEP)), step)
                for index, step in zip(rows, steps, strict=True)
            )
            told.append((number, head + body + hosts))
        return told

    def _hosts(self, room: int) -> bytes:
        """As many hosts as fit; where not all do, they take turns."""
        most = room // HOST.size
        if len(self._out) <= most:
            return b"".join(HOST.pack(*row) for row in self._out)
        self._host_turn = self._host_turn % len(self._out)
        rows = (self._out[self._host_turn :] + self._out[: self._host_turn])[:most]
        self._host_turn += most
        return b"".join(HOST.pack(*row) for row in rows)

    def _cede(self, index: int, now: float) -> dict[int, int]:
        """Steps of the equal part to give to each peer: by what it lacks, of what is spare here."""
        if now < self._born + self.terms.lease:
            return {}  # what an earlier life gave may still be in use, beside which nothing more may go
        heard = {n: peer for n, peer in self._peers.items() if now - peer.received_at <= self.terms.lease}
        need = self._demand[index] * self.terms.demand_margin / self.equal_part
        spare = min(1.0 - self.terms.reserved_part, 1.0 - need)
        lacking = {
            n: max(0.0, peer.demand[index] * self.terms.demand_margin / self.equal_part - 1.0)
            for n, peer in heard.items()
        }
        if spare <= 0.0 or not any(lacking.values()):
            return {}
        # Beside what is out already under older leases, which may not have been taken back.
        others = {n: self._ceded(peer, index, now) for n, peer in self._peers.items()}
        parts = share_max_min(spare, list(lacking.values()), [1.0] * len(lacking))
        wanted = {n: int(part / CEDE_STEP) for n, part in zip(lacking, parts, strict=True)}
        most = int((1.0 - self.terms.reserved_part) / CEDE_STEP)
        room = most - sum(others.values())
        told = {}
        for n, steps in wanted.items():
            more = max(0, steps - others[n])
            more = min(more, max(0, room))
            room -= more
            told[n] = min(steps, others[n] + more)
        return told

    # -- messages in ----------------------------------------------------------------------------

    def on_datagram(self, data: bytes, now: float) -> bool:
        """Take a message in; one that is garbage, old or not for us is counted and changes nothing."""
        if not HEAD.size <= len(data) <= MAX_DATAGRAM_BYTES:
            return self._ignore("garbage")
        version, sender, to, instances, names, number, heard, first, count = HEAD.unpack_from(data)
        end = HEAD.size + count * ROW.size
        if end > len(data) or (len(data) - end) % HOST.size:
            return self._ignore("garbage")
        rows = list(ROW.iter_unpack(data[HEAD.size : end]))
        if version != VERSION:
            return self._ignore("version")
        if names != self._print:
            return self._ignore("agreements")
        if (
            to != self.me
            or instances != self.instances
            or sender not in self._peers
            or first + len(rows) > len(self.shares)
        ):
            return self._ignore("stranger")
        peer = self._peers[sender]
        if number <= peer.heard:
            return self._ignore("old")  # repeated, or overtaken by a later one
        peer.heard, peer.received_at = number, now
        sent = peer.sent.get(heard)
        until = sent + self.terms.lease * (1.0 - self.terms.drift) if sent is not None else float("-inf")
        for index, (demand, steps) in enumerate(rows, first):
            peer.demand[index] = demand * DEMAND_STEP
            peer.taken[index] = (steps, until)
        peer.out.update((host, (out, now)) for host, out in HOST.iter_unpack(data[end:]))
        if len(peer.out) > HOSTS_KEPT:  # a year of deploys must not fill the memory
            peer.out = {host: told for host, told in peer.out.items() if now - told[1] <= OUT_AGE}
        self.counts["taken"] += 1
        return True

    def _ignore(self, why: str) -> bool:
        self.counts[why] += 1
        return False
