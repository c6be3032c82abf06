"""Agreements between the consortium, its members and their contracts; records in and out of the ledger.

Shares are by work.  Work is measured in slot-seconds: one slot of an upstream host, busy for one second.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

OTHER_MEMBERS = ""  # the member of streams whose member the file does not name


@dataclass(frozen=True, slots=True)
class Retries:
    """What may go out beyond first tries, in any `span` seconds: `floor`, and `share` of the first tries."""

    share: float = 0.2
    floor: float = 3.0
    span: float = 10.0


@dataclass(frozen=True, slots=True)
class MemberTerms:
    """A member's agreement.

    `share` of what the pool can do is guaranteed; `ceiling`, also a share of it, is never passed, however idle the
    pool.  `burst` seconds of its share may come at once, or `jobs` of each of its contracts where that is more:
    arrivals of a small member are uneven by chance alone.  `weights` part the share among its contracts, by name; a
    contract that is not named weighs 1.
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
    """What the ledger needs to know of a contract; times in seconds.  `run` is a first guess of a job's run time."""

    name: str
    service: int
    aim: float
    stretch: float = 0.0
    run: float = 0.5


@dataclass(frozen=True, slots=True)
class Agreements:
    """The whole tree: members with their shares, contracts, and the bounds on what waits."""

    members: tuple[MemberTerms, ...]
    contracts: tuple[ContractTerms, ...]
    services: int = 1
    instances: int = 1  # that share the pool
    max_waiting: int = 256  # streams that wait, in all
    max_waiting_bytes: int = 4 * 1024 * 1024
    max_waiting_per_share: int = 64  # of one member under one contract

    @property
    def share_keys(self) -> tuple[ShareKey, ...]:
        """Every member under every contract, in an order that all instances share."""
        return tuple(ShareKey(m, c) for m in range(len(self.members)) for c in range(len(self.contracts)))

    @property
    def names(self) -> str:
        """What the shares are called, in their order: instances that differ in it must not read each other's."""
        members, contracts = (in_order(terms) for terms in (self.members, self.contracts))
        return f"{members}|{contracts}"

    @property
    def scale(self) -> float:
        """What shares are multiplied by: below 1 where they sum to more than the pool."""
        return min(1.0, 1.0 / max(1e-9, sum(member.share for member in self.members)))


def in_order(terms: Sequence[MemberTerms] | Sequence[ContractTerms]) -> str:
    """Names in the order in which they are numbered."""
    return ",".join(each.name for each in terms)


class ShareKey(NamedTuple):
    """A member under a contract: what shares are kept for.  Numbers are places in the agreements."""

    member: int
    contract: int


class Stamp(NamedTuple):
    """What a stream is told at intake, and keeps until its final answer.

    `rank` orders what waits, the lowest first: for what is within share the time by which it is wanted, for what is
    beyond a fair-queueing tag.  `barred`: over its ceiling.
    """

    share: ShareKey
    beyond: bool
    rank: float
    barred: bool = False


class Offer(NamedTuple):
    """A stream is handed to the decision module now.

    `spare` 0: there is no room for it to wait in, or its time to wait is over, or its member is over its ceiling; the
    module refuses it at once, and says when to come back.
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
    budget_left: float  # further attempts that may go out now
    allotment: float  # slots that are within share here, now
    demand: float  # slots that are asked for here
    waiting: int
