"""The register as two sans-IO state machines (CASPaxos): a voter's acceptor and one round of a proposer.

A round asks the voters to promise its ballot, takes the value with the highest accepted ballot among their replies,
changes it, and asks the voters to accept the result.  Any two majorities of one set of voters share a voter, so a round
sees every value that an earlier majority accepted.  A change of voters must be accepted by a majority of both the old
and the new set.

An acceptor makes each promise and acceptance durable before it replies: `on_prepare` and `on_accept` return the state
to write, and the reply to send once it is written.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from thistleshore.releases.model import Refusal, Value

Ballot = tuple[int, str]  # number and proposer
NO_BALLOT: Ballot = (0, "")
Change = Callable[[Value], Value | Refusal]
HasBody = Callable[[str], bool]  # whether this voter stores the body with that digest


class VoterState(msgspec.Struct, frozen=True):
    """A voter's durable state."""

    register: int  # random identifier, drawn when the register is initialized
    voter: str
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value | None = None
    writes: int = 0  # number of state writes of this voter since the register was initialized
    seen: dict[str, int] = {}  # noqa: RUF012 - highest known write count of each other voter


class Prepare(msgspec.Struct, frozen=True, tag=True):
    """Request to promise a ballot (phase 1)."""

    register: int
    ballot: Ballot
    seen: dict[str, int] = {}  # noqa: RUF012


class Accept(msgspec.Struct, frozen=True, tag=True):
    """Request to accept a value with a ballot (phase 2)."""

    register: int
    ballot: Ballot
    value: Value
    seen: dict[str, int] = {}  # noqa: RUF012


class Promise(msgspec.Struct, frozen=True, tag=True):
    """Reply to Prepare: the ballot is promised; carries the last accepted ballot and value."""

    ballot: Ballot
    accepted: Ballot
    value: Value | None
    writes: int
    seen: dict[str, int]


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Reply to Accept: the value is accepted and durable."""

    ballot: Ballot
    writes: int


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """Reply to Prepare or Accept: the voter has promised a higher ballot."""

    promised: Ballot


class Unable(msgspec.Struct, frozen=True, tag=True):
    """Reply of a voter that cannot vote or serve the request, with the reason."""

    why: str


Reply = Promise | Accepted | Rejected | Unable


def merge_write_counts(*tables: dict[str, int]) -> dict[str, int]:
    """Return the highest write count of each voter over all tables."""
    result: dict[str, int] = {}
    for table in tables:
        for name, writes in table.items():
            result[name] = max(writes, result.get(name, 0))
    return result


def has_no_body(digest: str) -> bool:
    """Stand in for the body lookup of a voter that stores no configuration bodies."""
    return False


class Acceptor:
    """The decisions of one voter; `state` is its durable state.

    It accepts a value only if it stores the body of that value's current configuration.  Hence the body of every
    accepted version can be fetched from a majority of the voters.
    """

    def __init__(self, state: VoterState, has_body: HasBody = has_no_body) -> None:
        self.state, self.has_body = state, has_body

    def on_prepare(self, request: Prepare) -> tuple[VoterState | None, Reply]:
        state = self.state
        if problem := self._check_request(request.register, request.seen):
            return None, problem
        if request.ballot < state.promised:
            return None, Rejected(state.promised)
        after = msgspec.structs.replace(state, promised=request.ballot, writes=state.writes + 1,
                                        seen=merge_write_counts(state.seen, request.seen))  # fmt: skip
        return after, Promise(request.ballot, state.accepted, state.value, after.writes, after.seen)

    def on_accept(self, request: Accept) -> tuple[VoterState | None, Reply]:
        state = self.state
        if problem := self._check_request(request.register, request.seen):
            return None, problem
        if request.ballot < state.promised:
            return None, Rejected(state.promised)
        current = request.value.configuration.current
        if current is not None and not self.has_body(current.digest):
            return None, Unable(f"it does not hold the body of version {current.number}")
        after = msgspec.structs.replace(
            state,
            promised=request.ballot,
            accepted=request.ballot,
            value=request.value,
            writes=state.writes + 1,
            seen=merge_write_counts(state.seen, request.seen),
        )
        return after, Accepted(request.ballot, after.writes)

    def _check_request(self, register: int, seen: dict[str, int]) -> Unable | None:
        if register != self.state.register:
            return Unable("its file belongs to another register")
        if seen.get(self.state.voter, 0) > self.state.writes:
            # Others have seen more writes than the file has: promises or acceptances are missing from it.
            return Unable("its file was restored from an older copy")
        return None


class Outcome(NamedTuple):
    """How a round ended: with an agreed value, or with what to do next.  `refusal` is set if the change was refused."""

    # done, again (a voter promised a higher ballot), voters (the value names other voters), lost (no majority possible)
    what: str
    value: Value | None = None
    refusal: Refusal | None = None
    higher: Ballot = NO_BALLOT
    reason: str = ""


class Round:
    """One attempt of a proposer to change the value, with one ballot."""

    def __init__(self, register: int, voters: tuple[str, ...], ballot: Ballot, change: Change,
                 seen: dict[str, int] | None = None) -> None:  # fmt: skip
        self.register, self.voters, self.ballot, self.change = register, frozenset(voters), ballot, change
        self.seen = dict(seen or {})
        self.outcome: Outcome | None = None
        self.unable: dict[str, str] = {}
        self._promises: dict[str, Promise] = {}
        self._accepted: set[str] = set()
        self._value: Value | None = None
        self._refusal: Refusal | None = None
        self._next_voters: frozenset[str] = self.voters

    def start(self) -> dict[str, Prepare | Accept]:
        """Return the first requests, by voter."""
        return {voter: Prepare(self.register, self.ballot, self.seen) for voter in sorted(self.voters)}

    def on_reply(self, voter: str, reply: Reply | None) -> dict[str, Prepare | Accept]:
        """Process a reply (None: it timed out) and return the next requests, by voter.

        `outcome` is set once the round is over.
        """
        if self.outcome is not None:
            return {}
        match reply:
            case Rejected(promised=higher):
                self.outcome = Outcome("again", higher=higher)
            case Promise() if reply.ballot == self.ballot and self._value is None:
                return self._promised(voter, reply)
            case Promise() if reply.ballot == self.ballot:
                pass  # late promise: a majority had promised already, and this voter's reply to Accept is pending
            case Accepted() if reply.ballot == self.ballot and self._value is not None:
                self._accepted.add(voter)
                self.seen = merge_write_counts(self.seen, {voter: reply.writes})
                if self._majority(self._accepted, self.voters) and self._majority(self._accepted, self._next_voters):
                    self.outcome = Outcome("done", self._value, self._refusal)
            case _:
                self.unable[voter] = reply.why if isinstance(reply, Unable) else "no answer"
                self._check_lost()
        return {}

    def _promised(self, voter: str, reply: Promise) -> dict[str, Prepare | Accept]:
        self._promises[voter] = reply
        self.seen = merge_write_counts(self.seen, reply.seen)
        for name, promise in list(self._promises.items()):
            if self.seen.get(name, 0) > promise.writes:
                del self._promises[name]  # restored from an older copy: its promise does not count
                self.unable[name] = "its file was restored from an older copy"
        if not self._majority(set(self._promises), self.voters):
            self._check_lost()
            return {}
        self.seen = merge_write_counts(self.seen, {name: promise.writes for name, promise in self._promises.items()})
        latest = max(self._promises.values(), key=lambda promise: promise.accepted)
        if latest.value is None:
            self.outcome = Outcome("lost", reason="the register was never begun")
            return {}
        if frozenset(latest.value.voters) != self.voters:
            self.outcome = Outcome("voters", latest.value)
            return {}
        changed = self.change(latest.value)
        # A refusal writes the value back unchanged, to confirm that it rests on the current value.
        self._refusal = changed if isinstance(changed, Refusal) else None
        self._value = latest.value if isinstance(changed, Refusal) else changed
        self._next_voters = frozenset(self._value.voters)
        self.unable = {name: why for name, why in self.unable.items() if name not in self._promises}
        message = Accept(self.register, self.ballot, self._value, self.seen)
        return dict.fromkeys(sorted(self.voters | self._next_voters), message)

    def _check_lost(self) -> None:
        """End the round if too many voters are unavailable for a majority of the old or new voters."""
        for voters in (self.voters, self._next_voters):
            if 2 * len(voters - self.unable.keys()) <= len(voters):
                reason = "; ".join(f"{name}: {why}" for name, why in sorted(self.unable.items()))
                self.outcome = Outcome("lost", reason=reason)

    @staticmethod
    def _majority(subset: set[str], voters: frozenset[str]) -> bool:
        return 2 * len(subset & voters) > len(voters)
