"""Two ways to spread a configuration that need no tree, as baselines beside the distributor.

*Asking*: every instance asks a voter, picked by chance, each second, and fetches the whole body when there is a newer
one.  A voter that does not answer is passed over for another in the next second.

*By hand*: one operator copies the file to one instance after another and sends SIGHUP.  Dead instances are skipped, and
stay behind until somebody goes round again.  How long a copy takes is assumed, see `HandTerms`.

Both run in the network of `distribution_net`, under the same faults.  By hand nothing is a datagram: the bytes of the
copies are counted apart.
"""

from __future__ import annotations

import random as randoms
from collections import Counter
from collections.abc import Iterable
from math import ceil, inf
from typing import NamedTuple

import msgspec

from benchmarks.distribution.fleet import Fleet
from thistleshore.addresses import Address
from thistleshore.distribution.model import NO_VERSION, Action, Apply, Peer, Send, Stamp, ProtocolSettings

ASK_EVERY = 1.0  # s
PART_BYTES = 1100  # of a body in one datagram
WINDOW = 8  # parts that are asked for at once
REPEAT_AFTER = 0.4  # s until missing parts are asked for again
REPEATS_MOST = 4  # then the transfer is given up, and another voter is asked
KEPT = 4  # bodies that a voter can still send


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Which version is the newest?"""

    number: int  # that the sender has


class Newest(msgspec.Struct, frozen=True, array_like=True, tag="newest"):
    """The newest version that a voter knows."""

    stamp: Stamp


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Send these parts of this version's body."""

    number: int
    parts: tuple[int, ...]


class Part(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """One part of a body."""

    number: int
    part: int
    data: bytes


Message = Ask | Newest | Fetch | Part

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class Transfer:
    """A body that arrives in parts."""

    def __init__(self, stamp: Stamp, voter: Address) -> None:
        self.stamp, self.voter = stamp, voter
        self.parts: list[bytes | None] = [None] * max(1, ceil(stamp.size / PART_BYTES))
        self.asked = 0.0
        self.repeats = 0
        self._under_way: set[int] = set()

    @property
    def complete(self) -> bool:
        return None not in self.parts

    @property
    def body(self) -> bytes:
        return b"".join(part for part in self.parts if part is not None)

    def take(self, message: Part) -> None:
        """A part has come."""
        self.parts[message.part] = message.data
        self._under_way.discard(message.part)
        self.repeats = 0

    def ask(self, now: float) -> list[Action]:
        """Ask for the next parts as the window allows, one for each that has come."""
        room = WINDOW - len(self._under_way)
        missing = (n for n, part in enumerate(self.parts) if part is None and n not in self._under_way)
        wanted = tuple(part for part, _ in zip(missing, range(room), strict=False))
        if not wanted:
            return []
        self._under_way |= set(wanted)
        self.asked = now
        return [Send(self.voter, _encode(Fetch(self.stamp.number, wanted)))]

    def ask_again(self, now: float) -> list[Action]:
        """What was asked for has not come."""
        self.repeats += 1
        self._under_way.clear()
        return self.ask(now)


class Asker:
    """An instance that asks a voter each second; it has the methods of a `Distributor`."""

    def __init__(
        self,
        fleet: str,
        local_peer: Peer,
        voters: frozenset[str],
        terms: ProtocolSettings,
        now: float,
        seed: int = 0,
        held: tuple[Stamp, bytes] | None = None,
    ) -> None:
        self.local_peer, self.voters = local_peer, voters
        self.applied = held[0] if held is not None else NO_VERSION
        self._bodies = {held[0].number: held[1]} if held is not None else {}
        self.counts: Counter[str] = Counter()
        self._random = randoms.Random(seed)
        self._addresses: dict[str, Address] = {}
        self._transfer: Transfer | None = None
        self._under_way = NO_VERSION  # that the carrier puts in force
        self._next_ask = now + self._random.uniform(0.0, ASK_EVERY)

    @property
    def due(self) -> float:
        repeat = inf if self._transfer is None else self._transfer.asked + REPEAT_AFTER
        return min(self._next_ask, repeat)

    def on_view(self, peers: Iterable[Peer], now: float) -> list[Action]:
        """The voters that can be asked; whether they live is found out by asking."""
        self._addresses = {
            peer.name: peer.address for peer in peers if peer.name in self.voters and peer.name != self.local_peer.name
        }
        return []

    def on_agreed(self, stamp: Stamp, body: bytes | None, now: float) -> list[Action]:
        """This instance is a voter, and has the body."""
        return [] if body is None else self._put_in_force(stamp, body)

    def on_datagram(self, data: bytes, sender: Address, now: float) -> list[Action]:
        """A question of another instance, or an answer."""
        try:
            message = _decode(data)
        except msgspec.MsgspecError:
            self.counts["spoilt"] += 1
            return []
        if isinstance(message, Ask):
            return [Send(sender, _encode(Newest(self.applied)))]
        if isinstance(message, Fetch):
            return self._send_parts(message, sender)
        if isinstance(message, Newest):
            return self._on_newest(message.stamp, sender, now)
        return self._on_part(message, now)

    def on_time(self, now: float) -> list[Action]:
        """Ask a voter; ask again for the parts that are missing."""
        actions: list[Action] = []
        transfer = self._transfer
        if transfer is not None and now >= transfer.asked + REPEAT_AFTER:
            if transfer.repeats >= REPEATS_MOST:
                self._transfer = None
            else:
                actions += transfer.ask_again(now)
        if now >= self._next_ask:
            self._next_ask = now + ASK_EVERY
            if self._addresses and self._transfer is None:
                voter = self._random.choice(sorted(self._addresses))
                actions.append(Send(self._addresses[voter], _encode(Ask(self.applied.number))))
        return actions

    def on_applied(self, stamp: Stamp, now: float) -> list[Action]:
        """The version is durable and in force."""
        if stamp.number > self.applied.number:
            self.applied = stamp
        self._under_way = NO_VERSION
        return []

    def on_refused(self, stamp: Stamp, reason: str, now: float) -> list[Action]:
        """The version before stays in force."""
        self._under_way = NO_VERSION
        return []

    def _on_newest(self, stamp: Stamp, voter: Address, now: float) -> list[Action]:
        if stamp.number <= max(self.applied.number, self._under_way.number) or self._transfer is not None:
            return []
        self._transfer = Transfer(stamp, voter)
        return self._transfer.ask(now)

    def _on_part(self, message: Part, now: float) -> list[Action]:
        transfer = self._transfer
        if transfer is None or transfer.stamp.number != message.number:
            return []
        transfer.take(message)
        if not transfer.complete:
            return transfer.ask(now)
        self._transfer = None
        return self._put_in_force(transfer.stamp, transfer.body)

    def _put_in_force(self, stamp: Stamp, body: bytes) -> list[Action]:
        if stamp.number <= max(self.applied.number, self._under_way.number):
            return []
        self._under_way = stamp
        self._bodies[stamp.number] = body
        while len(self._bodies) > KEPT:
            del self._bodies[min(self._bodies)]
        return [Apply(stamp, body)]

    def _send_parts(self, message: Fetch, sender: Address) -> list[Action]:
        body = self._bodies.get(message.number)
        if body is None:
            return []  # there are newer ones by now: the other will ask again
        return [
            Send(sender, _encode(Part(message.number, part, body[part * PART_BYTES : (part + 1) * PART_BYTES])))
            for part in message.parts
        ]


class HandTerms(NamedTuple):
    """How an operator works by hand.  All of these are assumed, none is measured."""

    copy: float = 3.0  # s to copy the file to one instance, send SIGHUP and look at its log
    give_up: float = 10.0  # s until an instance that does not answer is skipped
    lossy_copy: float = 6.0  # s of a copy where datagrams are lost
    overhead: int = 4_000  # bytes of the session that copies


class FileOnly(Asker):
    """An instance that reads its file at a SIGHUP, and neither asks nor answers anybody."""

    @property
    def due(self) -> float:
        return inf

    def on_agreed(self, stamp: Stamp, body: bytes | None, now: float) -> list[Action]:
        """There is no register: the operator's file is what counts."""
        return []


class Operator:
    """Copies the newest file to one instance after another, round after round until all have been tried with it."""

    def __init__(self, fleet: Fleet, terms: HandTerms) -> None:
        self._fleet, self._terms = fleet, terms
        self._newest: Apply | None = None
        self._remaining: list[str] = []
        self._round: Apply | None = None  # what the round under way brings
        self._busy = False
        self.copied_bytes = 0
        self.skipped = 0

    def push(self, body: bytes) -> int:
        """Write a new file; it is brought to all once the round under way is over."""
        number = self._fleet.push(body)
        if number:
            self._newest = Apply(self._fleet.register, body)
            if not self._busy:
                self._begin_round()
        return number

    def _begin_round(self) -> None:
        self._remaining = list(self._fleet.nodes)
        self._round = self._newest
        self._busy = True
        self._next()

    def _next(self) -> None:
        if not self._remaining:
            self._busy = False
            if self._newest is not self._round:
                self._begin_round()
            return
        name = self._remaining.pop(0)
        reached = self._fleet.nodes[name].alive and name not in self._fleet.cut_off
        copy = self._terms.lossy_copy if self._fleet.loss else self._terms.copy
        seconds = copy if reached else self._terms.give_up
        self._fleet.at(self._fleet.now + seconds, lambda: self._copied(name, reached))

    def _copied(self, name: str, reached: bool) -> None:
        action = self._round
        if reached and action is not None and self._fleet.nodes[name].alive:
            self.copied_bytes += len(action.body) + self._terms.overhead
            self._fleet.hand_over(name, action)
        else:
            self.skipped += 1
        self._next()
