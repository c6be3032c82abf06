"""The ledger: who is within its share, in which order what waits is served, and who pays for further attempts.

No I/O, no clock: events with their time go in, stamps and actions come out.  The ledger refuses nothing.  What it
stamps goes to the decision module in `Request`, and the module alone decides server, retry and refusal.

Rules, each decided here and nowhere else:

- A member's guarantee is its share of what the pool can do now, in slots.  Among its contracts it is filled by weight,
  and what one of them leaves the others have.  Per member and contract it flows into a bucket of slot-seconds.
- A stream is within share where its bucket holds anything, and takes its expected work out of it.  What it really
  took is settled when its attempts end: jobs that are heavier than their neighbours' cost their own member.
- A stream keeps its standing until its final answer: it is never stamped upward while it waits.
- What is within share is offered to the module at once; the module lets the earliest wanted time go first.
- What is beyond share waits here, and is offered into room that nobody within share wants, in fair-queueing order by
  share.  A few free slots are kept back, so that what comes within share next finds room: that is how lent share is
  taken back, within the time that it takes a job to end.
- It waits as long as its aim, and no more than the bounds allow; over them the member that has been over its share
  longest gives way, its latest first.  Then it is offered without `spare`, and the module refuses it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
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

REFRESH_EVERY, REFRESH_PER_SHARE = 0.1, 1e-4  # s between two computations, and at least so much for each share
DEMAND_FADE = log(2) / 2.0  # 1/s; demand of two seconds ago counts half
RUN_PART = 0.1  # of a job's work in the estimate of the next one's
LONG_FADE = log(2) / 8.0  # the same for what other instances are told: parts must not follow chance
DEMAND_MARGIN = 1.25  # what a contract seems to need is rounded up so, before its siblings share the rest
DEBT_MOST = 5.0  # s of its guarantee that a bucket may be in debt: one giant must not bar its member for good
LEAST_WEIGHT = 0.01  # by which a member without a share borrows
KEPT_BACK, KEPT_BESIDE = 0.08, 0.08  # of a service's slots that are not lent, and more for each instance beside
ROOM_AGE = 0.01  # s for which a sum of free slots counts; what is offered meanwhile is taken off it
STEP = 0.02  # s between two looks while something waits
REPEAT_LAST = 1e9  # added to the rank of a marked repeat that no budget pays for


class _ShareState:
    """One member under one contract."""

    __slots__ = (
        "born",
        "bucket",
        "contract",
        "counts",
        "demand",
        "demand_at",
        "allotment",
        "lately",
        "member",
        "over",
        "retries",
        "run",
        "refilled_at",
        "usual",
        "waiting",
    )

    def __init__(self, member: _Member, contract: ContractTerms, now: float) -> None:
        self.member, self.contract = member, contract
        self.allotment = 0.0  # slots that flow into the bucket
        self.bucket = inf  # until the first guarantee is known
        self.refilled_at = now
        self.demand, self.demand_at = 0.0, now  # decayed slot-seconds asked for
        self.usual = contract.run  # the same of the contract's middle member: heavy jobs must not mean a larger burst
        self.lately, self.born = 0.0, now  # as `demand`, for longer
        self.run = contract.run  # s that a job is expected to take
        self.over = inf  # since when it has been beyond its share
        self.waiting: dict[int, int] = {}  # streams that wait, and their bytes, the latest last
        self.retries = RetryBudget(member.terms.retries, now)
        self.counts = dict.fromkeys(
            ("offered", "within", "beyond", "served", "in_time", "late", "refused", "failed"), 0
        )

    def asked(self, now: float) -> float:
        """Slots that are asked for: work a second, lately."""
        return self.demand * exp(DEMAND_FADE * min(0.0, self.demand_at - now)) * DEMAND_FADE

    def asked_lately(self, now: float) -> float:
        """The same over a longer time; right after the start it is still filling, and would read low."""
        filled = 1.0 - exp(LONG_FADE * min(-0.5, self.born - now))
        return self.lately * exp(LONG_FADE * min(0.0, self.demand_at - now)) * LONG_FADE / filled

    def ask(self, work: float, now: float) -> None:
        self.lately = self.lately * exp(LONG_FADE * min(0.0, self.demand_at - now)) + work
        self.demand = self.demand * exp(DEMAND_FADE * min(0.0, self.demand_at - now)) + work
        self.demand_at = max(now, self.demand_at)

    def cap(self) -> float:
        """What a bucket holds."""
        return max(self.member.terms.burst * self.allotment, self.member.terms.jobs * min(self.run, 2 * self.usual))


class _Member:
    """One member: its retry budget, its fair-queueing tag, and its ceiling's bucket."""

    __slots__ = ("ceiling", "refilled_at", "retries", "tag", "terms")

    def __init__(self, terms: MemberTerms, now: float) -> None:
        self.terms = terms
        self.retries = RetryBudget(terms.retries, now)
        self.tag = 0.0
        self.ceiling, self.refilled_at = inf, now


class Guarantee(NamedTuple):
    """A row of the agreement tree: slots."""

    share: ShareKey
    member: str
    contract: str
    guaranteed: float
    allotted: float  # with what is lent, by present demand
    demand: float


class _Open:
    """A stream that has no final answer yet, or attempts out."""

    __slots__ = ("charged", "offered", "opened", "sent", "stamp", "state", "until", "worked")

    def __init__(self, state: _ShareState, stamp: Stamp, charged: float, opened: float, until: float) -> None:
        self.state, self.stamp, self.charged, self.opened = state, stamp, charged, opened
        self.until = until  # it waits here no longer than that
        self.offered = False
        self.sent = 0  # attempts
        self.worked = 0.0  # slot-seconds that have ended


class Ledger:
    """All agreements of one dispatcher.

    `capacity()` gives the slots of each service's hosts that are ready now, 0 where that is not known, and `room()`
    those of them that are free.
    `part(share)` is the part of a share's guarantee that this instance has, 0 to 1.
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
        self._queue: list[tuple[float, int]] = []  # what waits beyond share, by rank
        # Shares of which something waits, also of agreements that are gone.
        self._backlogged: dict[_ShareState, None] = {}
        self._offers: list[Offer] = []  # what is to be offered at once
        self._free: list[float] = []
        self._room_at = -inf
        self._unsent_within = 0  # streams within share that are offered and not out yet
        self.slots: Sequence[float] = ()
        self._open: dict[int, _Open] = {}
        self._virtual_time = 0.0
        self._refreshed_at = -inf
        self._members: dict[str, _Member] = {}
        self._states: dict[ShareKey, _ShareState] = {}
        self.agreements = agreements
        self.adopt(agreements, now)

    # -- agreements ---------------------------------------------------------------------------

    def adopt(self, agreements: Agreements, now: float) -> None:
        """New terms in place of the old; counters, estimates and budgets of what goes on are kept.

        A contract that vanishes drains: its streams keep their standing to the end, and none joins them.
        """
        before = {(state.member.terms.name, state.contract.name): state for state in self._states.values()}
        members, self._members, self._states = self._members, {}, {}
        self._siblings: dict[tuple[int, int], list[tuple[ShareKey, _ShareState]]] = {}  # by member and service
        self._by_contract: dict[int, list[_ShareState]] = {}  # by contract
        for m, terms in enumerate(agreements.members):
            member = members.get(terms.name) or _Member(terms, now)
            member.terms, member.retries.terms = terms, terms.retries
            self._members[terms.name] = member
            for c, contract in enumerate(agreements.contracts):
                state = before.get((terms.name, contract.name)) or _ShareState(member, contract, now)
                state.member, state.contract, state.retries.terms = member, contract, terms.retries
                self._states[ShareKey(m, c)] = state
                self._by_contract.setdefault(c, []).append(state)
                self._siblings.setdefault((m, contract.service), []).append((ShareKey(m, c), state))
        self.agreements = agreements
        self._numbers = {terms.name: m for m, terms in enumerate(agreements.members)}
        self._refreshed_at = -inf

    def _refresh(self, now: float) -> None:
        """Bring guarantees up to date, a few times a second; buckets are filled when they are looked at."""
        # Thousands of members must not cost more than a small part of a core.
        if (
            now - self._refreshed_at < max(REFRESH_EVERY, REFRESH_PER_SHARE * len(self._states))
            and now >= self._refreshed_at
        ):
            return
        self._refreshed_at = now
        self.slots = self.capacity()
        for alike in self._by_contract.values():
            usual = sorted(state.run for state in alike)[len(alike) // 2]
            for state in alike:
                state.usual = usual
        for (m, service), shares in self._siblings.items():
            member = self.agreements.members[m]
            room = member.share * self.agreements.scale * self._slots(service)
            weights = [member.weights.get(state.contract.name, 1.0) for _, state in shares]
            parts = share_max_min(room, [DEMAND_MARGIN * state.asked(now) for _, state in shares], weights)
            spare, heavy = max(0.0, room - sum(parts)), sum(weights) or 1.0
            for (key, state), part, weight in zip(shares, parts, weights, strict=True):
                self._refill(state, now)
                state.allotment = (part + spare * weight / heavy) * self.part(key)
                if state.allotment <= 0.0 < self._slots(service):
                    state.bucket = min(state.bucket, 0.0)  # no share: what was open while nothing was known ends

    def _service(self, key: ShareKey) -> int:
        return self.agreements.contracts[key.contract].service

    def _slots(self, service: int) -> float:
        return self.slots[service] if service < len(self.slots) else 0.0

    def _refill(self, state: _ShareState, now: float) -> None:
        # A clock that jumped back fills nothing; one that jumped ahead fills a burst, which is all a bucket holds.
        if state.allotment:
            state.bucket = min(state.cap(), state.bucket + state.allotment * max(0.0, now - state.refilled_at))
        state.refilled_at = now

    def _over_ceiling(self, member: _Member, service: int, work: float, now: float) -> bool:
        """Is the member over its ceiling?  If not, the work is taken out of its bucket."""
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
        """A stream has come: its standing and rank, which it keeps, and the budget of its further attempts.

        `size` in bytes; `repeat`: its client marks it as a repeat; `patience`: s that the client waits.  A member that
        has no agreement counts as OTHERS, or, where that has none, is beyond share whatever it asks.
        """
        self._refresh(now)
        name = member if member in self._numbers else OTHER_MEMBERS
        number = self._numbers.get(name, -1)
        state = self._states.get(ShareKey(number, contract)) or self._uncovered(contract, now)
        self._refill(state, now)
        state.counts["offered"] += 1
        work, service = state.run, state.contract.service
        state.ask(work, now)
        budget = CombinedRetryBudget(state.retries, state.member.retries)
        unpaid = False
        if not repeat:
            state.retries.earn(now)
            state.member.retries.earn(now)
        elif budget.left(now) >= 1.0:
            budget.pay(now)
        else:
            unpaid = True  # repeats beyond the budget are served last: a storm of them is nobody's share
        barred = self._over_ceiling(state.member, service, work, now)
        payer = state if state.bucket > 0.0 else self._sibling(number, state, work, now)
        within = number >= 0 and payer is not None and not unpaid and not barred
        charged = 0.0
        if within and payer is not None:
            state.counts["within"] += 1
            charged, state.over = work, inf
            payer.bucket -= work
            rank = now + state.contract.aim + state.contract.stretch * work
        else:
            state.counts["beyond"] += 1
            state.over = min(state.over, now)
            weight = max(LEAST_WEIGHT, state.member.terms.share)
            rank = max(self._virtual_time, state.member.tag)
            state.member.tag = rank + work / weight
            rank += REPEAT_LAST if unpaid else 0.0
        stamp = Stamp(ShareKey(number, contract), not within, rank, barred)
        # Offered for refusal well before its client gives up, so that the answer is in time.
        until = now + min(state.contract.aim, 0.8 * patience)
        self._open[stream] = _Open(state, stamp, charged, now, until)
        if within or barred:
            self._offer(stream, 0.0 if barred else 1.0)
        else:
            state.waiting[stream] = size
            self._backlogged[state] = None
            heappush(self._queue, (rank, stream))
        return stamp, budget

    def _offer(self, stream: int, spare: float = 1.0) -> None:
        """Hand it to the module; from then on it is the module's."""
        found = self._open[stream]
        found.state.waiting.pop(stream, None)
        found.offered = True
        if not found.stamp.beyond and spare:
            self._unsent_within += 1
        self._offers.append(Offer(stream, spare))

    def due(self, now: float) -> list[Offer]:
        """What is to be offered now, in order; to be asked after every event, and each `STEP` while something waits."""
        self._shed_excess()
        self._offer_overdue(now)
        kept: list[tuple[float, int]] = []
        while self._queue:
            rank, stream = self._queue[0]
            found = self._open.get(stream)
            if found is None or found.offered:
                heappop(self._queue)  # answered, withdrawn, or given way
            elif self._lendable(found.state.contract.service, now):
                heappop(self._queue)
                self._virtual_time = max(self._virtual_time, rank if rank < REPEAT_LAST else 0.0)
                if self._slots(found.state.contract.service):  # else nothing is known that could be taken off
                    self._free[found.state.contract.service] -= 1.0
                self._offer(stream)
            elif self.agreements.services > 1:
                kept.append(heappop(self._queue))  # another service may have room
            else:
                break
        for item in kept:
            heappush(self._queue, item)
        told, self._offers = self._offers, []
        return told

    def _lendable(self, service: int, now: float) -> bool:
        """Is there room that nobody within share wants?"""
        if not self._slots(service):
            return True  # nothing is known of the pool: the module looks for itself
        if now - self._room_at > ROOM_AGE or now < self._room_at:
            # All instances see the same free slots, and late, and none sees what the others are about to send.
            share = KEPT_BACK + KEPT_BESIDE * (self.agreements.instances - 1)
            kept = [max(1.0, share * slots) for slots in self.slots]
            free = zip(self.room(), kept, strict=True)
            self._free = [(room - back) / self.agreements.instances for room, back in free]
            self._room_at = now
        return self._free[service] - self._unsent_within >= 1.0

    def _offer_overdue(self, now: float) -> None:
        """What has waited for its aim is the module's to refuse: a late answer would take a slot and earn little."""
        for state in list(self._backlogged):
            if not state.waiting:
                del self._backlogged[state]
            for stream in list(state.waiting):
                if now >= self._open[stream].until:
                    self._offer(stream, 0.0)

    @property
    def waiting(self) -> int:
        """Streams that wait here."""
        return sum(len(state.waiting) for state in self._backlogged)

    def _sibling(self, member: int, state: _ShareState, work: float, now: float) -> _ShareState | None:
        """A contract of the same member that has more than half of its bucket left, and so can pay for another:
        the member is within its share, though chance has it ask for one class more than usual."""
        best, most = None, 0.0
        for _, other in self._siblings.get((member, state.contract.service), ()):
            if other is not state:
                self._refill(other, now)
                if (spare := other.bucket - work - other.cap() / 2) > most:
                    best, most = other, spare
        return best

    def _uncovered(self, contract: int, now: float) -> _ShareState:
        """The state of streams without an agreement."""
        return self._states.setdefault(
            ShareKey(-1, contract),
            _ShareState(_Member(MemberTerms(OTHER_MEMBERS, 0.0), now), self.agreements.contracts[contract], now),
        )

    def on_sent(self, stream: int, now: float) -> None:
        """An attempt goes out: the stream waits no more."""
        found = self._open.get(stream)
        if found is None:
            return
        if not found.sent and not found.stamp.beyond:
            self._unsent_within -= 1
        found.sent += 1

    def on_attempt_ended(self, stream: int, worked: float, now: float) -> None:
        """An attempt has ended after so many seconds in a host's slot; 0: it never ran."""
        found = self._open.get(stream)
        if found is None or worked <= 0.0:
            return
        state = found.state
        state.run += RUN_PART * (worked - state.run)
        found.worked += worked
        if not found.stamp.beyond:  # what is borrowed is nobody's guarantee, and is not paid back
            self._refill(state, now)
            state.bucket = max(-DEBT_MOST * state.allotment, state.bucket - (worked - found.charged))
            found.charged = 0.0  # a further attempt is paid whole

    def on_answered(self, stream: int, kind: str, now: float) -> None:
        """The final answer: `served`, `refused`, `failed`, or `withdrawn` by the client."""
        found = self._open.get(stream)
        if found is None:
            return
        state = found.state
        state.waiting.pop(stream, None)
        if found.offered and not found.sent and not found.stamp.beyond:
            self._unsent_within -= 1
        never, found.sent = not found.sent, max(1, found.sent)  # it wants nothing any more
        if kind in state.counts:
            state.counts[kind] += 1
        if kind == "served":
            run = found.worked or state.run
            fine = now - found.opened <= state.contract.aim + state.contract.stretch * run
            state.counts["in_time" if fine else "late"] += 1
        if never and found.charged:  # it took nobody's slot
            state.bucket = min(state.cap(), state.bucket + found.charged)
            found.charged = 0.0

    def on_forgotten(self, stream: int) -> None:
        """The stream is answered and has nothing out."""
        self._open.pop(stream, None)

    # -- what waits ---------------------------------------------------------------------------

    def _shed_excess(self) -> None:
        """Let some give way where more waits than the bounds allow."""
        states = [state for state in self._backlogged if state.waiting]
        while states:
            full = [state for state in states if len(state.waiting) > self.agreements.max_waiting_per_share]
            size = sum(sum(state.waiting.values()) for state in states)
            over = sum(len(state.waiting) for state in states) > self.agreements.max_waiting
            if not full and not over and size <= self.agreements.max_waiting_bytes:
                return
            # Whoever has been over its share longest; of that the latest, which has waited least.
            longest = min(full or states, key=lambda state: state.over)
            self._offer(next(reversed(longest.waiting)), 0.0)
            states = [state for state in states if state.waiting]

    # -- to see it ----------------------------------------------------------------------------

    def demands(self, now: float) -> dict[ShareKey, float]:
        """Slots that each share asks for here, as a part of what its member is guaranteed over all instances."""
        told = {}
        for key, state in self._states.items():
            if key.member >= 0:
                room = (
                    self.agreements.members[key.member].share * self.agreements.scale * self._slots(self._service(key))
                )
                told[key] = state.asked_lately(now) / room if room > 0.0 else 0.0
        return told

    def tree(self, now: float) -> list[Guarantee]:
        """The agreement tree with the shares as they are now."""
        self._refresh(now)
        keys = [key for key in self._states if key.member >= 0]
        told: list[Guarantee] = []
        for service in range(self.agreements.services):
            here = [key for key in keys if self._service(key) == service]
            states = [self._states[key] for key in here]
            asked = [state.asked(now) for state in states]
            ceilings = [
                inf if (c := self.agreements.members[key.member].ceiling) is None else c * self._slots(service)
                for key in here
            ]
            lent = lend(self._slots(service), [state.allotment for state in states], asked, ceilings)
            for key, state, allotted, demand in zip(here, states, lent, asked, strict=True):
                told.append(
                    Guarantee(key, state.member.terms.name, state.contract.name, state.allotment, allotted, demand)
                )
        return told

    def figures(self, now: float) -> list[ShareFigures]:
        """Counts and state of every member under every contract that has had a stream."""
        self._refresh(now)
        return [
            ShareFigures(
                state.member.terms.name,
                state.contract.name,
                **state.counts,
                retries_paid=state.retries.spent,
                budget_left=CombinedRetryBudget(state.retries, state.member.retries).left(now),
                allotment=state.allotment,
                demand=state.asked(now),
                waiting=len(state.waiting),
            )
            for state in self._states.values()
            if state.counts["offered"]
        ]

    @property
    def open(self) -> int:
        return len(self._open)
