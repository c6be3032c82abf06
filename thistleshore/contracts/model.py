"""Agreements with members about their contracts, and the records that go in and out of the ledger.

Shares are shares of work.  Work is measured in slot-seconds: one slot of an upstream host, busy for one second.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

OTHER_MEMBERS = ""  # stands for all members that the file does not name


@dataclass(frozen=True, slots=True)
class Retries:
    """Terms of a retry budget: in any `span` seconds `floor` retries, plus `share` of the first tries."""

    share: float = 0.2
    floor: float = 3.0
    span: float = 10.0


@dataclass(frozen=True, slots=True)
class MemberTerms:
    """A member's agreement.

    `share` of the pool's capacity is guaranteed; `ceiling`, also a share of the capacity, is never exceeded, even in an
    idle pool.  `burst` seconds of its share may arrive at once, or `jobs` jobs of each contract if that is more, since
    arrivals of a small member are uneven by chance.  `weights` divide the share among its contracts, by name; a
    contract that is not named has weight 1.
    """

    name: str
    share: float
    ceiling: float | None = None
    burst: float = 0.5
    jobs: float = 24.0
    retries: Retries = Retries()
    weights: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ContractTerms:
    """The part of a contract that the ledger uses; times in seconds.  `run`: initial estimate of a job's run time."""

    name: str
    service: int
    aim: float
    stretch: float = 0.0
    run: float = 0.5


@dataclass(frozen=True, slots=True)
class Agreements:
    """All agreements: members with their shares, contracts, and the limits on waiting streams."""

    members: tuple[MemberTerms, ...]
    contracts: tuple[ContractTerms, ...]
    services: int = 1
    instances: int = 1  # that share the pool
    max_waiting: int = 256  # waiting streams in total
    max_waiting_bytes: int = 4 * 1024 * 1024
    max_waiting_per_share: int = 64  # waiting streams of one member under one contract

    @property
    def share_keys(self) -> tuple[ShareKey, ...]:
        """Every member under every contract, in the same order on all instances."""
        return tuple(ShareKey(m, c) for m in range(len(self.members)) for c in range(len(self.contracts)))

    @property
    def names(self) -> str:
        """The names behind the shares, in order; instances that differ in it must not read each other's messages."""
        members, contracts = (in_order(terms) for terms in (self.members, self.contracts))
        return f"{members}|{contracts}"

    @property
    def scale(self) -> float:
        """The factor on all shares: below 1 if they sum to more than the pool."""
        return min(1.0, 1.0 / max(1e-9, sum(member.share for member in self.members)))


def in_order(terms: Sequence[MemberTerms] | Sequence[ContractTerms]) -> str:
    """Return the names in the order of their numbers, joined by commas."""
    return ",".join(each.name for each in terms)


class ShareKey(NamedTuple):
    """A member under a contract, as indexes into the agreements."""

    member: int
    contract: int


class Stamp(NamedTuple):
    """The standing of a stream, set at intake and kept until its final answer.

    `rank` orders waiting streams, lowest first: the target time for a stream within share, a fair-queueing tag for one
    beyond.  `barred`: its member is over its ceiling.
    """

    share: ShareKey
    beyond: bool
    rank: float
    barred: bool = False


class Offer(NamedTuple):
    """A stream to pass to the decision module now.

    `spare` 0: too many streams wait, it has waited too long, or its member is over its ceiling; the module then refuses
    it at once, with advice on when to retry.
    """

    stream: int
    spare: float = 1.0


class ShareFigures(NamedTuple):
    """Counts since the start, and the state now, of one member under one contract."""

    member: str
    contract: str
    offered: int
    within: int
    beyond: int
    served: int
    in_time: int
    late: int
    refused: int
    failed: int
    retries_paid: int
    budget_left: float  # retries that may be sent now
    allotment: float  # slots guaranteed here now
    demand: float  # slots requested here
    waiting: int
