"""Model checking of agreed configuration: bodies, deposits and pushes over the register's own stories.

    python -m benchmarks.checks.configuration [--states 30000] [--walks 20000] [--json]

The stories are those of `check_register`: three voters, up to three proposers, messages that come at any time or never,
a crash between any two steps, one lost disk.  Here each proposer pushes a version, the last one rolls back; it deposits
the body with all voters, and proposes once a majority has answered.  In every state:

- the body of a version that a majority has accepted is on the disks of a majority, a lost disk counted in;
- one content under one number;
- a round that begins later has no older version.

Flawed forms must be found out: a version that counts before its body is on a majority (nobody waits for deposits, and
voters accept without the body), a voter that accepts without the body although deposits are waited for, a deposit
answered before the write, and a store that drops the body in force.  A proposer that does not wait is no such form:
voters that refuse without the body are enough.
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any


from benchmarks.checks.command import FLAWED, Findings, run
from benchmarks.checks.register import VOTERS, Story, explore, walk
from thistleshore.configuration import agreement
from thistleshore.distribution.model import digest_of
from thistleshore.releases.messages import Deposit
from thistleshore.releases.model import Value
from thistleshore.releases.register import Round

BODIES = (b"# the first", b"# the second")
MAJORITY = 2
WITHOUT_BODY, VOTER_ALONE, BEFORE_WRITE, DROPPED = (
    "a version counts before its body is on a majority",
    "a voter accepts without the body",
    "a deposit is answered before the write",
    "the body in force is dropped",
)
FLAWS = (WITHOUT_BODY, VOTER_ALONE, BEFORE_WRITE, DROPPED)
IMPATIENT = "a proposer does not wait for deposits"  # sound by the voters' rule alone


class ConfigurationStory(Story):
    """The register's story with bodies at the voters, and proposers that deposit before they propose."""

    def __init__(self, flaw: str) -> None:
        super().__init__(flaw)
        self.bodies = dict.fromkeys(VOTERS, frozenset[str]())  # as each voter sees its disk
        self.durable = dict.fromkeys(VOTERS, frozenset[str]())  # what a crash leaves of it
        self.deposited: list[frozenset[str]] = []  # voters that have answered, by round
        self.started: list[bool] = []
        self.lost_disks = frozenset[str]()

    def change(self, number: int) -> Any:
        proposer = f"p{number}"
        if number == len(BODIES):  # the last one
            return lambda value: agreement.rollback(value, 1, None, proposer, "", 0.0)
        body = BODIES[number]
        return lambda value: agreement.push(value, None, digest_of(body), len(body), proposer, "", 0.0)

    def begin(self) -> None:
        number = len(self.rounds)
        self.rounds.append(Round(7, VOTERS, (2 + number, f"p{number}"), self.change(number)))
        self.over.append(False)
        self.floors.append(max((value.number for value in self.done), default=1))
        self.deposited.append(frozenset())
        self.started.append(False)
        body = BODIES[number % len(BODIES)]
        self.waiting += [(number, voter, Deposit(digest_of(body), body)) for voter in VOTERS]
        if self.flaw in (WITHOUT_BODY, IMPATIENT):
            self._propose(number)

    def _propose(self, number: int) -> None:
        self.started[number] = True
        self.waiting += [(number, voter, message) for voter, message in self.rounds[number].start().items()]

    def deliver(self, at: int) -> None:
        number, voter, message = self.waiting[at]
        acceptor = self.acceptors[voter]
        if not isinstance(message, Deposit):
            if acceptor is not None:
                acceptor.has_body = lambda digest: self._accepts(voter, digest)
            super().deliver(at)
            return
        del self.waiting[at]
        if acceptor is not None:
            self._keep(voter, message.digest, acceptor.state.value)
            self.deposited[number] |= {voter}
        if len(self.deposited[number]) >= MAJORITY and not self.started[number]:
            self._propose(number)

    def _accepts(self, voter: str, digest: str) -> bool:
        return self.flaw in (WITHOUT_BODY, VOTER_ALONE) or digest in self.bodies[voter]

    def _keep(self, voter: str, digest: str, value: Value | None) -> None:
        """As a voter's store does, which drops other bodies at once."""
        history = value.configuration.history if value is not None else ()
        named = frozenset() if self.flaw == DROPPED else {entry.digest for entry in history}
        before = self.bodies[voter]
        self.bodies[voter] = (before & named) | {digest}
        # The flaw: the answer leaves, and the disk has it only with the write after it.
        self.durable[voter] = before if self.flaw == BEFORE_WRITE else self.bodies[voter]

    def crash(self, voter: str, disk: bool) -> None:
        super().crash(voter, disk)
        if disk:
            self.durable[voter] = frozenset()
            self.lost_disks |= {voter}
        self.bodies[voter] = self.durable[voter]

    def broken(self) -> str:
        return self._forgotten() or self._without_body() or self._two_contents()

    def _forgotten(self) -> str:
        for this, floor in zip(self.rounds, self.floors, strict=True):
            outcome = this.outcome
            if outcome is not None and outcome.what == "done" and outcome.value is not None:
                if outcome.value.number < floor:
                    return f"a round has value {outcome.value.number}, and {floor} was done before it began"
        return ""

    def _without_body(self) -> str:
        """A version that a majority has accepted, whether or not its proposer knows of it."""
        held = [acceptor.state for acceptor in self.acceptors.values() if acceptor is not None]
        for ballot, count in Counter(one.accepted for one in held).items():
            value = next(one.value for one in held if one.accepted == ballot)
            entry = value.configuration.current if value is not None else None
            if count < MAJORITY or entry is None:
                continue
            holders = {voter for voter in VOTERS if entry.digest in self.bodies[voter]} | self.lost_disks
            if len(holders) < MAJORITY:
                return f"the body of version {entry.number} is at {', '.join(sorted(holders)) or 'no voter'} alone"
        return ""

    def _two_contents(self) -> str:
        contents: dict[int, str] = {}
        for value in self.done:
            for entry in value.configuration.history:
                if contents.setdefault(entry.number, entry.digest) != entry.digest:
                    return f"two contents under number {entry.number}"
        return ""

    def twin(self) -> Story:
        made = super().twin()
        assert isinstance(made, ConfigurationStory)
        made.bodies, made.durable = dict(self.bodies), dict(self.durable)
        made.deposited, made.started = list(self.deposited), list(self.started)
        return made

    def shape(self) -> Any:
        contents = tuple(
            None if acceptor is None or acceptor.state.value is None else acceptor.state.value.configuration
            for acceptor in self.acceptors.values()
        )
        bodies = tuple((self.bodies[voter], self.durable[voter]) for voter in VOTERS)
        proposed = tuple(this._value and this._value.configuration for this in self.rounds)
        return super().shape(), contents, bodies, tuple(self.deposited), proposed, self.lost_disks


def check(states: int, walks: int) -> Findings:
    """The sound form, one whose proposers do not wait, and each flawed one."""
    return {
        "explored": explore("", states, ConfigurationStory),
        "walked": walk("", walks, 1, kind=ConfigurationStory),
        "impatient": walk(IMPATIENT, walks, 1, kind=ConfigurationStory),
        FLAWED: {flaw: walk(flaw, walks, 2, kind=ConfigurationStory)["broken"] for flaw in FLAWS},
    }


def main() -> int:
    return run(__doc__, check, states=30_000, walks=20_000)


if __name__ == "__main__":
    sys.exit(main())
