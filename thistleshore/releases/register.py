"""The register as two sans-IO machines: a voter's acceptor, and one proposer's round (CASPaxos).

A round asks the voters to promise its ballot, takes the value of the highest ballot that any of them has accepted,
changes it, and asks them to accept the result.  Two majorities of one set of voters share a voter, so whatever was
accepted by one is seen by the next.  A change of voters is accepted by a majority of the old and of the new set.

What an acceptor has promised or accepted is durable before it answers: `on_*` return the state to be written, and the
answer that may leave only then.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from thistleshore.releases.model import Refusal, Value

Ballot = tuple[int, str]  # a number, and who proposes
NO_BALLOT: Ballot = (0, "")
Change = Callable[[Value], Value | Refusal]
HasBody = Callable[[str], bool]  # whether the body of that digest is on this voter's disk


class VoterState(msgspec.Struct, frozen=True):
    """A voter's durable state."""

    register: int  # drawn when the register was begun
    voter: str
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value | None = None
    writes: int = 0  # of this voter, ever
    seen: dict[str, int] = {}  # noqa: RUF012 - how many writes of each other voter are known of


class Prepare(msgspec.Struct, frozen=True, tag=True):
    register: int
    ballot: Ballot
    seen: dict[str, int] = {}  # noqa: RUF012


class Accept(msgspec.Struct, frozen=True, tag=True):
    register: int
    ballot: Ballot
    value: Value
    seen: dict[str, int] = {}  # noqa: RUF012


class Promise(msgspec.Struct, frozen=True, tag=True):
    ballot: Ballot
    accepted: Ballot
    value: Value | None
    writes: int
    seen: dict[str, int]


class Accepted(msgspec.Struct, frozen=True, tag=True):
    ballot: Ballot
    writes: int


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """Another ballot was promised meanwhile."""

    promised: Ballot


class Unable(msgspec.Struct, frozen=True, tag=True):
    """It does not vote, and why."""

    why: str


Reply = Promise | Accepted | Rejected | Unable


def merge_write_counts(*tables: dict[str, int]) -> dict[str, int]:
    """The most that any table says of each."""
    result: dict[str, int] = {}
    for table in tables:
        for name, writes in table.items():
            result[name] = max(writes, result.get(name, 0))
    return result


def has_no_body(digest: str) -> bool:
    """Of a voter that keeps no bodies of configuration."""
    return False


class Acceptor:
    """One voter's decisions; `held` is what is on its disk.

    It accepts no value whose configuration it does not hold the body of: so a majority that has accepted a version is a
    majority from which its body can be fetched.
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
            return Unable("its file is of another register")
        if seen.get(self.state.voter, 0) > self.state.writes:
            # It has promised or accepted what it no longer knows of.
            return Unable("its file was set back to an older copy")
        return None


class Outcome(NamedTuple):
    """How a round ended: `done` with a value, and the refusal where the change was none; or what to do next."""

    what: str  # done, again (another ballot is higher), voters (the value names others), lost (no majority can come)
    value: Value | None = None
    refusal: Refusal | None = None
    higher: Ballot = NO_BALLOT
    reason: str = ""


class Round:
    """One proposer's attempt with one ballot."""

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
        """What to send to whom."""
        return {voter: Prepare(self.register, self.ballot, self.seen) for voter in sorted(self.voters)}

    def on_reply(self, voter: str, reply: Reply | None) -> dict[str, Prepare | Accept]:
        """Take an answer in (None: none came); what to send to whom next.  `outcome` is set once the round is over."""
        if self.outcome is not None:
            return {}
        match reply:
            case Rejected(promised=higher):
                self.outcome = Outcome("again", higher=higher)
            case Promise() if reply.ballot == self.ballot and self._value is None:
                return self._promised(voter, reply)
            case Promise() if reply.ballot == self.ballot:
                pass  # a majority was there before it; this voter's answer to the Accept is still to come
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
                del self._promises[name]  # set back: its word is not worth a vote
                self.unable[name] = "its file was set back to an older copy"
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
        # A refusal is agreed as well, by writing the value back: else it might rest on one that is no longer in force.
        self._refusal = changed if isinstance(changed, Refusal) else None
        self._value = latest.value if isinstance(changed, Refusal) else changed
        self._next_voters = frozenset(self._value.voters)
        self.unable = {name: why for name, why in self.unable.items() if name not in self._promises}
        message = Accept(self.register, self.ballot, self._value, self.seen)
        return dict.fromkeys(sorted(self.voters | self._next_voters), message)

    def _check_lost(self) -> None:
        """Whether too many cannot vote for a majority still to come."""
        for voters in (self.voters, self._next_voters):
            if 2 * len(voters - self.unable.keys()) <= len(voters):
                reason = "; ".join(f"{name}: {why}" for name, why in sorted(self.unable.items()))
                self.outcome = Outcome("lost", reason=reason)

    @staticmethod
    def _majority(some: set[str], voters: frozenset[str]) -> bool:
        return 2 * len(some & voters) > len(voters)
