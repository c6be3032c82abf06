"""A baseline for the view: heartbeats of all to all.

It plays on `fleet_net.Net` in the place of the machine: the same fields, as far as the network and the measures need
them.  A heartbeat goes from each to each every period; who is silent for `suspicion` periods is dead until heard again.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Sequence
from zlib import crc32

import msgspec

from thistleshore.addresses import Address
from thistleshore.fleet.model import Action, Changed, Record, Send, Service, State, Terms


class _Other:
    def __init__(self, record: Record, now: float) -> None:
        self.record, self.heard = record, now


class Beats:
    """Heartbeats of all to all; each carries the sender's own record and the addresses that it knows."""

    def __init__(
        self, fleet: str, me: Record, terms: Terms, seeds: Sequence[Address], now: float, seed: int = 0
    ) -> None:
        self.fleet, self.own_record, self.terms, self.seeds = fleet, me, terms, [s for s in seeds if s != me.address]
        self.members: dict[str, _Other] = {}
        self.counts: Counter[str] = Counter()
        self.due = now
        self.observing = False

    @property
    def digest(self) -> int:
        return crc32(repr(sorted((r.name, r.generation, r.service) for r in self.living())).encode())

    @property
    def majority(self) -> bool:
        return 2 * len(self.living()) > len(self.members) + 1

    def living(self) -> list[Record]:
        return [self.own_record, *(m.record for m in self.members.values() if m.record.state == State.ALIVE)]

    def on_time(self, now: float) -> list[Action]:
        out: list[Action] = []
        for member in self.members.values():
            silent = now - member.heard > self.terms.suspicion * self.terms.period
            if silent and member.record.state == State.ALIVE:
                member.record = msgspec.structs.replace(member.record, state=int(State.DEAD))
                out.append(Changed("died", member.record.name))
        known = {member.record.address for member in self.members.values()}
        data = json.dumps(
            [msgspec.structs.astuple(self.own_record), sorted(known | {self.own_record.address})]
        ).encode()
        out += [Send(address, data) for address in known | set(self.seeds)]
        self.due = now + self.terms.period
        return out

    def on_datagram(self, data: bytes, host: str, now: float) -> list[Action]:
        fields, addresses = json.loads(data)
        record = Record(*fields)
        out: list[Action] = []
        member = self.members.get(record.name)
        if member is None or member.record.generation <= record.generation:
            if member is None or member.record.state != State.ALIVE:
                out.append(Changed("joined" if member is None else "returned", record.name))
            self.members[record.name] = _Other(record, now)
        known = {m.record.address for m in self.members.values()} | set(self.seeds) | {self.own_record.address}
        self.seeds += [address for address in map(tuple, addresses) if address not in known]
        return out

    def on_leave(self, now: float) -> list[Action]:
        return []

    def on_service(self, service: Service, now: float) -> list[Action]:
        return []
