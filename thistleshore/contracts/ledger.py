"""The ledger: which streams are within their member's share, the order of service, and who pays for retries.

Pure state: events with their times go in, stamps and offers come out; no I/O and no clock.  The ledger refuses nothing.
Its stamps go to the decision module in `Request`, and the module alone decides on host, retry and refusal.

Rules, each implemented only here:

- A member is guaranteed its share of the pool's present capacity, in slots.  The share is divided among the member's
  contracts by weight, and what one contract leaves unused goes to the others.  Each member and contract has a token
  bucket of slot-seconds that the guarantee fills.
- A stream is within share if its bucket is not empty; its expected work is taken from the bucket.  The difference from
  the real work is settled when its attempts end, so jobs heavier than usual are charged to their own member.
- A stream keeps its standing until its final answer: it is not promoted while it waits.
- Streams within share are offered to the module at once; the module serves the earliest target time first.
- Streams beyond share wait here, in fair-queueing order by share, and are offered into slots that no stream
  within share needs.  A few free slots are held in reserve, so that streams within share find room at once: lent
  capacity returns to its owner within the time of one job.
- They wait no longer than their aim, within the limits on waiting streams.  Over these limits the member that has been
  beyond its share longest loses its latest stream.  Such streams are offered with `spare` 0, and the module refuses
  them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from heapq import heappop, heappush
from math import exp, inf, log
from typing import NamedTuple

from thistleshore.contracts.model import (
    OTHER_MEMBERS,
    Agreements,
    ContractTerms,
    MemberTerms,
    Offer,
    ShareFigures,
    ShareKey,
    Stamp,
)
from thistleshore.contracts.retry_budget import CombinedRetryBudget, RetryBudget
from thistleshore.contracts.sharing import share_max_min, lend

REFRESH_INTERVAL = 0.1  # seconds between two computations of guarantees
REFRESH_PER_SHARE = 1e-4  # seconds for each share, where that is more, so that many members cost little CPU
DEMAND_DECAY = log(2) / 2.0  # 1/s; half-life of 2 s
RUN_WEIGHT = 0.1  # weight of the latest job in the moving average of run times
SLOW_DEMAND_DECAY = log(2) / 8.0  # 1/s; for the demand sent to other instances, so that leases do not follow noise
DEMAND_MARGIN = 1.25  # factor on a contract's estimated demand before its siblings share the rest
MAX_DEBT = 5.0  # seconds of the guarantee; one very long job must not lock its member out for good
MIN_WEIGHT = 0.01  # fair-queueing weight of a member without a share
RESERVED_PART = 0.08  # part of a service's slots that is not lent
RESERVED_PER_PEER = 0.08  # further part for each other instance, which sees the same free slots
FREE_SLOTS_AGE = 0.01  # seconds for which a count of free slots is used, less what is offered meanwhile
STEP = 0.02  # seconds between two calls of `due` while streams wait
WITHOUT_AGREEMENT = -1  # number of a member that the agreements do not name
UNPAID_REPEAT_RANK = 1e9  # added to the rank of a marked repeat beyond the retry budget


class _ShareState:
    """State of one member under one contract."""

    __slots__ = (
        "started_at",
        "bucket",
        "contract",
        "counts",
        "demand",
        "demand_at",
        "allotment",
        "slow_demand",
        "member",
        "beyond_since",
        "retries",
        "run",
        "refilled_at",
        "median_run",
        "waiting",
    )

    def __init__(self, member: _Member, contract: ContractTerms, now: float) -> None:
        self.member, self.contract = member, contract
        self.allotment = 0.0  # guaranteed slots, the rate at which the bucket fills
        self.bucket = inf  # until the first guarantee is known
        self.refilled_at = now
        self.demand, self.demand_at = 0.0, now  # slot-seconds requested, with exponential decay
        # The median of `run` over the contract's members, so that heavy jobs do not allow a larger burst.
        self.median_run = contract.run
        self.slow_demand, self.started_at = 0.0, now  # as `demand`, with slower decay; and when counting began
        self.run = contract.run  # expected run time of a job, seconds
        self.beyond_since = inf  # when it went beyond its share; inf: it is within
        self.waiting: dict[int, int] = {}  # bytes of each waiting stream, latest last
        self.retries = RetryBudget(member.terms.retries, now)
        self.counts = dict.fromkeys(
            ("offered", "within", "beyond", "served", "in_time", "late", "refused", "failed"), 0
        )

    def demanded_slots(self, now: float) -> float:
        """Return the slots requested lately: work per second."""
        return self.demand * exp(DEMAND_DECAY * min(0.0, self.demand_at - now)) * DEMAND_DECAY

    def slow_demanded_slots(self, now: float) -> float:
        """Return the slots requested over a longer time, corrected for the short history after the start."""
        filled = 1.0 - exp(SLOW_DEMAND_DECAY * min(-0.5, self.started_at - now))
        return self.slow_demand * exp(SLOW_DEMAND_DECAY * min(0.0, self.demand_at - now)) * SLOW_DEMAND_DECAY / filled

    def add_demand(self, work: float, now: float) -> None:
        """Add the expected work of a new stream, slot-seconds."""
        self.slow_demand = self.slow_demand * exp(SLOW_DEMAND_DECAY * min(0.0, self.demand_at - now)) + work
        self.demand = self.demand * exp(DEMAND_DECAY * min(0.0, self.demand_at - now)) + work
        self.demand_at = max(now, self.demand_at)

    def bucket_capacity(self) -> float:
        """Return the capacity of the bucket, slot-seconds."""
        return max(
            self.member.terms.burst * self.allotment, self.member.terms.jobs * min(self.run, 2 * self.median_run)
        )


class _Member:
    """One member: its retry budget, its fair-queueing tag, and the token bucket of its ceiling."""

    __slots__ = ("ceiling", "refilled_at", "retries", "tag", "terms")

    def __init__(self, terms: MemberTerms, now: float) -> None:
        self.terms = terms
        self.retries = RetryBudget(terms.retries, now)
        self.tag = 0.0
        self.ceiling, self.refilled_at = inf, now


class Guarantee(NamedTuple):
    """The guarantee, allotment and demand of one member under one contract, in slots."""

    share: ShareKey
    member: str
    contract: str
    guaranteed: float
    allotted: float  # including borrowed slots, by present demand
    demand: float


class _OpenStream:
    """A stream without a final answer, or with attempts in flight."""

    __slots__ = ("charged", "offered", "opened", "sent", "stamp", "state", "wait_until", "worked")

    def __init__(self, state: _ShareState, stamp: Stamp, charged: float, opened: float, wait_until: float) -> None:
        self.state, self.stamp, self.charged, self.opened = state, stamp, charged, opened
        self.wait_until = wait_until  # when its wait in the ledger ends
        self.offered = False
        self.sent = 0  # attempts
        self.worked = 0.0  # slot-seconds of attempts that have ended


class Ledger:
    """All agreements of one dispatcher.

    `capacity()` returns the slots of each service's ready hosts, 0 where unknown, and `room()` the free ones.
    `part(share)` returns the part of a share's guarantee that this instance may use, 0 to 1.
    """

    step = STEP

    def __init__(
        self,
        agreements: Agreements,
        now: float,
        capacity: Callable[[], Sequence[float]],
        room: Callable[[], Sequence[float]],
        part: Callable[[ShareKey], float] = lambda share: 1.0,
    ) -> None:
        self.capacity, self.room, self.part = capacity, room, part
        self._queue: list[tuple[float, int]] = []  # streams waiting beyond share, by rank
        # Shares with waiting streams, including those of removed agreements.
        self._backlogged: dict[_ShareState, None] = {}
        self._offers: list[Offer] = []  # to be returned by the next call of `due`
        self._free_slots: list[float] = []
        self._free_slots_at = -inf
        self._unsent_within = 0  # streams within share that are offered and not sent yet
        self.slots: Sequence[float] = ()
        self._streams: dict[int, _OpenStream] = {}
        self._virtual_time = 0.0
        self._refreshed_at = -inf
        self._members: dict[str, _Member] = {}
        self._states: dict[ShareKey, _ShareState] = {}
        self.agreements = agreements
        self.adopt(agreements, now)

    # -- agreements ---------------------------------------------------------------------------

    def adopt(self, agreements: Agreements, now: float) -> None:
        """Replace the terms; counters, estimates and budgets of members and contracts that remain are kept.

        A removed contract drains: its streams keep their standing to the end, and no new ones join.
        """
        previous = {(state.member.terms.name, state.contract.name): state for state in self._states.values()}
        former_members, self._members, self._states = self._members, {}, {}
        self._siblings: dict[tuple[int, int], list[tuple[ShareKey, _ShareState]]] = {}  # by member and service
        self._by_contract: dict[int, list[_ShareState]] = {}  # by contract
        for member_number, terms in enumerate(agreements.members):
            member = former_members.get(terms.name) or _Member(terms, now)
            member.terms = terms
            member.retries.adopt(terms.retries, now)
            self._members[terms.name] = member
            for contract_number, contract in enumerate(agreements.contracts):
                state = previous.get((terms.name, contract.name)) or _ShareState(member, contract, now)
                state.member, state.contract = member, contract
                state.retries.adopt(terms.retries, now)
                self._states[ShareKey(member_number, contract_number)] = state
                self._by_contract.setdefault(contract_number, []).append(state)
                self._siblings.setdefault((member_number, contract.service), []).append(
                    (ShareKey(member_number, contract_number), state)
                )
        if OTHER_MEMBERS not in self._members:
            self._keep_states_without_agreement(agreements, previous, now)
        self.agreements = agreements
        self._numbers = {terms.name: member_number for member_number, terms in enumerate(agreements.members)}
        self._refreshed_at = -inf

    def _keep_states_without_agreement(
        self, agreements: Agreements, previous: Mapping[tuple[str, str], _ShareState], now: float
    ) -> None:
        """Keep what members without an agreement have spent, and nothing of an agreement that all of them had."""
        terms = MemberTerms(OTHER_MEMBERS, 0.0)
        for contract_number, contract in enumerate(agreements.contracts):
            if (state := previous.get((OTHER_MEMBERS, contract.name))) is not None:
                state.contract, state.member.terms, state.allotment = contract, terms, 0.0
                state.retries.adopt(terms.retries, now)
                state.member.retries.adopt(terms.retries, now)
                self._states[ShareKey(WITHOUT_AGREEMENT, contract_number)] = state

    def _refresh(self, now: float) -> None:
        """Recompute guarantees a few times a second; buckets are filled when they are read."""
        # The interval grows with the number of shares: thousands of members may cost only a small part of a core.
        if (
            now - self._refreshed_at < max(REFRESH_INTERVAL, REFRESH_PER_SHARE * len(self._states))
            and now >= self._refreshed_at
        ):
            return
        self._refreshed_at = now
        self.slots = self.capacity()
        for states in self._by_contract.values():
            median_run = sorted(state.run for state in states)[len(states) // 2]
            for state in states:
                state.median_run = median_run
        for (member_number, service), shares in self._siblings.items():
            member = self.agreements.members[member_number]
            guaranteed = member.share * self.agreements.scale * self._slots(service)
            weights = [member.weights.get(state.contract.name, 1.0) for _, state in shares]
            parts = share_max_min(
                guaranteed, [DEMAND_MARGIN * state.demanded_slots(now) for _, state in shares], weights
            )
            left_over, total_weight = max(0.0, guaranteed - sum(parts)), sum(weights) or 1.0
            for (key, state), part, weight in zip(shares, parts, weights, strict=True):
                self._refill(state, now)
                state.allotment = (part + left_over * weight / total_weight) * self.part(key)
                if state.allotment <= 0.0 < self._slots(service):
                    # No guarantee: end the unlimited bucket of the time before the capacity was known.
                    state.bucket = min(state.bucket, 0.0)

    def _service(self, key: ShareKey) -> int:
        return self.agreements.contracts[key.contract].service

    def _slots(self, service: int) -> float:
        return self.slots[service] if service < len(self.slots) else 0.0

    def _refill(self, state: _ShareState, now: float) -> None:
        # A clock that jumps back adds nothing; one that jumps ahead fills the bucket, at most one burst.
        if state.allotment:
            state.bucket = min(
                state.bucket_capacity(), state.bucket + state.allotment * max(0.0, now - state.refilled_at)
            )
        state.refilled_at = now

    def _over_ceiling(self, member: _Member, service: int, work: float, now: float) -> bool:
        """Return whether the work would pass the member's ceiling; if not, take it from the ceiling's bucket."""
        if member.terms.ceiling is None or not self._slots(service):
            return False
        rate = (
            member.terms.ceiling
            * self._slots(service)
            * self.part(ShareKey(self._numbers.get(member.terms.name, 0), 0))
        )
        cap = max(rate * member.terms.burst, work)
        member.ceiling = min(cap, member.ceiling + rate * max(0.0, now - member.refilled_at))
        member.refilled_at = now
        if member.ceiling < work:
            return True
        member.ceiling -= work
        return False

    # -- streams ------------------------------------------------------------------------------

    def on_open(
        self, stream: int, contract: int, member: str, size: int, repeat: bool, now: float, patience: float = inf
    ) -> tuple[Stamp, CombinedRetryBudget]:
        """Register a new stream; return its standing and rank, which are final, and the budget of its retries.

        `size`: bytes; `repeat`: its client marks it as a repeat; `patience`: seconds for which the client waits.  A
        member without an agreement counts as OTHER_MEMBERS; if that has none either, the stream is beyond share.
        """
        self._refresh(now)
        name = member if member in self._numbers else OTHER_MEMBERS
        number = self._numbers.get(name, WITHOUT_AGREEMENT)
        state = self._states.get(ShareKey(number, contract)) or self._state_without_agreement(contract, now)
        self._refill(state, now)
        state.counts["offered"] += 1
        work, service = state.run, state.contract.service
        state.add_demand(work, now)
        budget = CombinedRetryBudget(state.retries, state.member.retries)
        unpaid = False
        if not repeat:
            state.retries.earn(now)
            state.member.retries.earn(now)
        elif budget.left(now) >= 1.0:
            budget.pay(now)
        else:
            unpaid = True  # repeats beyond the budget are served last: a retry storm must not use anyone's share
        barred = self._over_ceiling(state.member, service, work, now)
        payer = state if state.bucket > 0.0 else self._paying_sibling(number, state, work, now)
        within = number >= 0 and payer is not None and not unpaid and not barred
        charged = 0.0
        if within and payer is not None:
            state.counts["within"] += 1
            charged, state.beyond_since = work, inf
            payer.bucket -= work
            rank = now + state.contract.aim + state.contract.stretch * work
        else:
            state.counts["beyond"] += 1
            state.beyond_since = min(state.beyond_since, now)
            weight = max(MIN_WEIGHT, state.member.terms.share)
            rank = max(self._virtual_time, state.member.tag)
            state.member.tag = rank + work / weight
            rank += UNPAID_REPEAT_RANK if unpaid else 0.0
        stamp = Stamp(ShareKey(number, contract), not within, rank, barred)
        # Offered for refusal well before the client gives up, so that the answer arrives in time.
        wait_until = now + min(state.contract.aim, 0.8 * patience)
        self._streams[stream] = _OpenStream(state, stamp, charged, now, wait_until)
        if within or barred:
            self._offer(stream, 0.0 if barred else 1.0)
        else:
            state.waiting[stream] = size
            self._backlogged[state] = None
            heappush(self._queue, (rank, stream))
        return stamp, budget

    def _offer(self, stream: int, spare: float = 1.0) -> None:
        """Queue a stream to be offered to the module, which is responsible for it from then on."""
        open_stream = self._streams[stream]
        open_stream.state.waiting.pop(stream, None)
        open_stream.offered = True
        if not open_stream.stamp.beyond and spare:
            self._unsent_within += 1
        self._offers.append(Offer(stream, spare))

    def due(self, now: float) -> list[Offer]:
        """Return what to offer now, in order; called after every event, and every `STEP` while streams wait."""
        self._shed_excess()
        self._offer_overdue(now)
        postponed: list[tuple[float, int]] = []
        while self._queue:
            rank, stream = self._queue[0]
            open_stream = self._streams.get(stream)
            if open_stream is None or open_stream.offered:
                heappop(self._queue)  # answered, withdrawn or shed
            elif self._lendable(open_stream.state.contract.service, now):
                heappop(self._queue)
                self._virtual_time = max(self._virtual_time, rank if rank < UNPAID_REPEAT_RANK else 0.0)
                if self._slots(open_stream.state.contract.service):  # with unknown capacity there is no count to lower
                    self._free_slots[open_stream.state.contract.service] -= 1.0
                self._offer(stream)
            elif self.agreements.services > 1:
                postponed.append(heappop(self._queue))  # another service may have free slots
            else:
                break
        for item in postponed:
            heappush(self._queue, item)
        offers, self._offers = self._offers, []
        return offers

    def _lendable(self, service: int, now: float) -> bool:
        """Return whether a slot is free that no stream within share needs."""
        if not self._slots(service):
            return True  # capacity unknown: the module decides
        if now - self._free_slots_at > FREE_SLOTS_AGE or now < self._free_slots_at:
            # All instances see the same free slots, with a delay, and none sees what the others are about to send.
            share = RESERVED_PART + RESERVED_PER_PEER * (self.agreements.instances - 1)
            reserved = [max(1.0, share * slots) for slots in self.slots]
            pairs = zip(self.room(), reserved, strict=True)
            self._free_slots = [(free - held) / self.agreements.instances for free, held in pairs]
            self._free_slots_at = now
        return self._free_slots[service] - self._unsent_within >= 1.0

    def _offer_overdue(self, now: float) -> None:
        """Offer overdue streams for refusal: a late answer would occupy a slot and be of little use."""
        for state in list(self._backlogged):
            if not state.waiting:
                del self._backlogged[state]
            for stream in list(state.waiting):
                if now >= self._streams[stream].wait_until:
                    self._offer(stream, 0.0)

    @property
    def waiting(self) -> int:
        """How many streams wait here."""
        return sum(len(state.waiting) for state in self._backlogged)

    def _paying_sibling(self, member: int, state: _ShareState, work: float, now: float) -> _ShareState | None:
        """Return another contract of the member that can pay: the one with most left beyond half of its bucket.

        The member as a whole is within its share then, although one contract has more arrivals than usual.
        """
        best, max_spare = None, 0.0
        for _, other in self._siblings.get((member, state.contract.service), ()):
            if other is not state:
                self._refill(other, now)
                if (left_over := other.bucket - work - other.bucket_capacity() / 2) > max_spare:
                    best, max_spare = other, left_over
        return best

    def _state_without_agreement(self, contract: int, now: float) -> _ShareState:
        """Return the state of streams without an agreement."""
        return self._states.setdefault(
            ShareKey(WITHOUT_AGREEMENT, contract),
            _ShareState(_Member(MemberTerms(OTHER_MEMBERS, 0.0), now), self.agreements.contracts[contract], now),
        )

    def on_sent(self, stream: int, now: float) -> None:
        """Record that an attempt is sent: the stream waits no more."""
        open_stream = self._streams.get(stream)
        if open_stream is None:
            return
        if not open_stream.sent and not open_stream.stamp.beyond:
            self._unsent_within -= 1
        open_stream.sent += 1

    def on_attempt_ended(self, stream: int, worked: float, now: float) -> None:
        """Record the end of an attempt that occupied a slot for `worked` seconds; 0: it never ran."""
        open_stream = self._streams.get(stream)
        if open_stream is None or worked <= 0.0:
            return
        state = open_stream.state
        state.run += RUN_WEIGHT * (worked - state.run)
        open_stream.worked += worked
        if not open_stream.stamp.beyond:  # borrowed slots are charged to no guarantee
            self._refill(state, now)
            state.bucket = max(-MAX_DEBT * state.allotment, state.bucket - (worked - open_stream.charged))
            open_stream.charged = 0.0  # further attempts are charged in full

    def on_answered(self, stream: int, kind: str, now: float) -> None:
        """Record the final answer: `served`, `refused`, `failed`, or `withdrawn` by the client."""
        open_stream = self._streams.get(stream)
        if open_stream is None:
            return
        state = open_stream.state
        state.waiting.pop(stream, None)
        if open_stream.offered and not open_stream.sent and not open_stream.stamp.beyond:
            self._unsent_within -= 1
        never_sent, open_stream.sent = not open_stream.sent, max(1, open_stream.sent)  # it needs no slot any more
        if kind in state.counts:
            state.counts[kind] += 1
        if kind == "served":
            run = open_stream.worked or state.run
            in_time = now - open_stream.opened <= state.contract.aim + state.contract.stretch * run
            state.counts["in_time" if in_time else "late"] += 1
        if never_sent and open_stream.charged:  # it used no slot: give its charge back
            state.bucket = min(state.bucket_capacity(), state.bucket + open_stream.charged)
            open_stream.charged = 0.0

    def on_forgotten(self, stream: int) -> None:
        """Drop a stream that is answered and has no attempts in flight."""
        self._streams.pop(stream, None)

    # -- waiting streams ---------------------------------------------------------------------------

    def _shed_excess(self) -> None:
        """Offer streams for refusal while more wait than the limits allow."""
        states = [state for state in self._backlogged if state.waiting]
        while states:
            over_limit = [state for state in states if len(state.waiting) > self.agreements.max_waiting_per_share]
            size = sum(sum(state.waiting.values()) for state in states)
            over = sum(len(state.waiting) for state in states) > self.agreements.max_waiting
            if not over_limit and not over and size <= self.agreements.max_waiting_bytes:
                return
            # The share that has been exceeded longest loses its latest stream, which has waited least.
            longest_beyond = min(over_limit or states, key=lambda state: state.beyond_since)
            self._offer(next(reversed(longest_beyond.waiting)), 0.0)
            states = [state for state in states if state.waiting]

    # -- reports ----------------------------------------------------------------------------

    def demands(self, now: float) -> dict[ShareKey, float]:
        """Return the demand of each share here, as a part of the member's guarantee over all instances."""
        demands = {}
        for key, state in self._states.items():
            if key.member >= 0:
                guaranteed = (
                    self.agreements.members[key.member].share * self.agreements.scale * self._slots(self._service(key))
                )
                demands[key] = state.slow_demanded_slots(now) / guaranteed if guaranteed > 0.0 else 0.0
        return demands

    def tree(self, now: float) -> list[Guarantee]:
        """Return the present guarantees, allotments and demands of all members and contracts."""
        self._refresh(now)
        keys = [key for key in self._states if key.member >= 0]
        rows: list[Guarantee] = []
        for service in range(self.agreements.services):
            here = [key for key in keys if self._service(key) == service]
            states = [self._states[key] for key in here]
            demanded_slots = [state.demanded_slots(now) for state in states]
            ceilings = [
                inf if (c := self.agreements.members[key.member].ceiling) is None else c * self._slots(service)
                for key in here
            ]
            lent = lend(self._slots(service), [state.allotment for state in states], demanded_slots, ceilings)
            for key, state, allotted, demand in zip(here, states, lent, demanded_slots, strict=True):
                rows.append(
                    Guarantee(key, state.member.terms.name, state.contract.name, state.allotment, allotted, demand)
                )
        return rows

    def figures(self, now: float) -> list[ShareFigures]:
        """Return counts and state of every member under every contract that has had a stream."""
        self._refresh(now)
        return [
            ShareFigures(
                state.member.terms.name,
                state.contract.name,
                **state.counts,
                retries_paid=state.retries.spent,
                budget_left=CombinedRetryBudget(state.retries, state.member.retries).left(now),
                allotment=state.allotment,
                demand=state.demanded_slots(now),
                waiting=len(state.waiting),
            )
            for state in self._states.values()
            if state.counts["offered"]
        ]

    @property
    def open(self) -> int:
        """How many streams are registered."""
        return len(self._streams)
