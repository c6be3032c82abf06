"""Model checking of the register: three voters, two proposers, crashes with and without lost disks, late messages.

    python -m benchmarks.checks.register [--states 30000] [--walks 3000] [--json]

The real acceptors and rounds are driven through every interleaving as far as the number of states allows, and by
random stories beyond it.  Each message is delivered at any time, or never; a voter may crash between any two steps, and
one disk may be lost.  In every state:

- what one round reports as done is in the value of every round that begins later (nothing agreed is forgotten);
- two done values of one number are the same;
- never more places than the limit.

Flawed forms must be found out: a vote before the write (what was promised last is gone after a crash), a lost disk that
votes as if it were new, a place freed by time, and two voters fewer at a time, accepted by the new ones alone.
"""

from __future__ import annotations

import copy
import random
import sys
from collections import deque
from collections.abc import Iterator
from typing import Any

import msgspec

from benchmarks.checks.command import FLAWED, Findings, run
from thistleshore.releases import places
from thistleshore.releases.model import FleetObservation, Limits, Refusal, Value
from thistleshore.releases.register import Accept, Acceptor, Prepare, Round, VoterState

VOTERS = ("a", "b", "c")
SEEN = FleetObservation({"x": 1, "y": 1}, frozenset(), {}, frozenset())
FIRST = Value(1, VOTERS, Limits(dispatchers=1))
ROUNDS_MOST = 3  # in one story of the exploration


class NewOnly(Round):
    """Accepts a change of voters by a majority of the new ones alone."""

    def on_reply(self, voter: str, reply: Any) -> Any:
        if self._value is not None:
            self.voters = self._next_voters
        return super().on_reply(voter, reply)


class Story:
    """Voters, rounds under way, and messages that may still arrive."""

    def __init__(self, flaw: str) -> None:
        self.flaw = flaw
        self.acceptors: dict[str, Acceptor | None] = {
            name: Acceptor(VoterState(7, name, (1, ""), (1, ""), FIRST, 1)) for name in VOTERS
        }
        self.synced = {name: VoterState(7, name, (1, ""), (1, ""), FIRST, 1) for name in VOTERS}
        self.rounds: list[Round] = []
        self.floors: list[int] = []
        self.over: list[bool] = []
        self.waiting: list[tuple[int, str, Prepare | Accept]] = []
        self.done: list[Value] = []
        self.crashes = self.lost = 0

    def change(self, number: int) -> Any:
        name = "xyz"[number % 3]
        if self.flaw == "new voters alone":
            # a and b leave the voters at once, and c alone says so; then both sides give a place.
            if number == 0:
                return lambda v: msgspec.structs.replace(v, number=v.number + 1, voters=("c",))
            return lambda v: places.grant(v, "dispatcher", "xy"[number % 2], "", name, SEEN, 0.0)
        if self.flaw == "freed by time" and number:

            def late(value: Value) -> Value | Refusal:
                kept = msgspec.structs.replace(value, places=())
                return places.grant(kept, "dispatcher", "xy"[number % 2], "", name, SEEN, 0.0)

            return late
        return lambda v: places.grant(v, "dispatcher", "xy"[number % 2], "", name, SEEN, 0.0)

    def begin(self) -> None:
        number = len(self.rounds)
        kind = NewOnly if self.flaw == "new voters alone" else Round
        voters = ("c",) if self.flaw == "new voters alone" and number == 1 else VOTERS
        this = kind(7, voters, (2 + number, "xyz"[number % 3]), self.change(number))
        self.rounds.append(this)
        self.over.append(False)
        self.floors.append(max((value.number for value in self.done), default=1))
        self.waiting += [(number, voter, message) for voter, message in this.start().items()]

    def deliver(self, at: int) -> None:
        number, voter, message = self.waiting.pop(at)
        acceptor = self.acceptors.get(voter)
        if acceptor is None:
            return
        after, reply = acceptor.on_prepare(message) if isinstance(message, Prepare) else acceptor.on_accept(message)
        if after is not None:
            # The flaw: the answer leaves, and the disk has it only with the write after it.
            self.synced[voter] = acceptor.state if self.flaw == "vote before the write" else after
            acceptor.state = after
        this = self.rounds[number]
        self.waiting += [(number, name, asked) for name, asked in this.on_reply(voter, reply).items()]
        if this.outcome is not None and not self.over[number]:
            self.over[number] = True
            if this.outcome.what == "done" and this.outcome.value is not None:
                self.done.append(this.outcome.value)

    def crash(self, voter: str, disk: bool) -> None:
        self.crashes += 1
        if disk:
            self.lost += 1
            # Without its file a voter does not vote; the flaw: it goes on as a new one.
            blank = VoterState(7, voter, value=FIRST, accepted=(1, ""))
            self.acceptors[voter] = Acceptor(blank) if self.flaw == "a lost disk votes" else None
        elif self.acceptors[voter] is not None:
            self.acceptors[voter] = Acceptor(self.synced[voter])

    def broken(self) -> str:
        for number, this in enumerate(self.rounds):
            if this.outcome is not None and this.outcome.what == "done" and this.outcome.value is not None:
                if this.outcome.value.number < (floor := self.floors[number]):
                    return f"round {number} has value {this.outcome.value.number}, and {floor} was done before"
        for value in self.done:
            if len(value.places) > 1:
                return "more places than the limit"
            if any(other.number == value.number and other != value for other in self.done):
                return f"two values of number {value.number}"
        held = {place.name for value in self.done for place in value.places}
        if len(held) > 1:
            return "a place was given while its holder had not come back"
        return ""

    def steps(self) -> Iterator[tuple[str, Any]]:
        if len(self.rounds) < ROUNDS_MOST:
            yield "a round begins", lambda s: s.begin()
        for at, (number, voter, message) in enumerate(self.waiting):
            told = f"{type(message).__name__} of round {number} reaches {voter}"
            yield told, lambda s, at=at: s.deliver(at)
            yield f"{told}: lost", lambda s, at=at: s.waiting.pop(at)
        if self.crashes < 1:
            for voter in VOTERS:
                yield f"{voter} crashes", lambda s, v=voter: s.crash(v, False)
                if self.lost < 1:
                    yield f"{voter} loses its disk", lambda s, v=voter: s.crash(v, True)

    def then(self, act: Any) -> Story:
        made = self.twin()
        act(made)
        return made

    def twin(self) -> Story:
        made = copy.copy(self)
        made.acceptors = {n: None if a is None else Acceptor(a.state) for n, a in self.acceptors.items()}
        made.synced, made.waiting, made.done = dict(self.synced), list(self.waiting), list(self.done)
        made.floors, made.over, made.rounds = list(self.floors), list(self.over), []
        for this in self.rounds:
            twin = copy.copy(this)
            twin._promises, twin._accepted, twin.unable = dict(this._promises), set(this._accepted), dict(this.unable)
            made.rounds.append(twin)
        return made

    def shape(self) -> Any:
        held = tuple(
            None
            if a is None
            else (
                a.state.promised,
                a.state.accepted,
                a.state.value and a.state.value.number,
                a.state.value and a.state.value.places,
                a.state.value and a.state.value.voters,
            )
            for a in self.acceptors.values()
        )
        rounds = tuple(
            (
                tuple(sorted(r._promises)),
                tuple(sorted(r._accepted)),
                r._value and r._value.number,
                r._value and r._value.places,
                r.outcome and r.outcome.what,
            )
            for r in self.rounds
        )
        waiting = tuple(sorted((n, v, type(m).__name__) for n, v, m in self.waiting))
        synced = tuple(h.promised for h in self.synced.values())
        return held, rounds, waiting, tuple(self.floors), self.crashes, self.lost, synced


def explore(flaw: str, most: int, kind: type[Story] = Story) -> dict[str, Any]:
    """Breadth first, as far as the number of states allows."""
    first = kind(flaw)
    seen, queue, transitions, depth = {first.shape()}, deque([(first, 0)]), 0, 0
    while queue and len(seen) < most:
        story, far = queue.popleft()
        for _, act in story.steps():
            after = story.then(act)
            transitions += 1
            key = after.shape()
            if key in seen:
                continue
            seen.add(key)
            if problem := after.broken():
                return {"states": len(seen), "transitions": transitions, "broken": problem}
            depth = max(depth, far + 1)
            queue.append((after, far + 1))
    return {"states": len(seen), "transitions": transitions, "depth": depth, "whole": not queue, "broken": ""}


def walk(flaw: str, walks: int, seed: int, length: int = 60, kind: type[Story] = Story) -> dict[str, Any]:
    """Random stories to their end."""
    at, finished = random.Random(seed), 0
    for number in range(walks):
        story, path = kind(flaw), list[str]()
        for _ in range(length):
            found = [(told, act) for told, act in story.steps() if "lost" not in told or at.random() < 0.15]
            found = [
                (told, act) for told, act in found if "crashes" not in told and "disk" not in told or at.random() < 0.1
            ]
            if not found:
                break
            told, act = at.choice(found)
            path.append(told)
            act(story)
            if problem := story.broken():
                return {"walks": number + 1, "broken": problem, "path": path}
        finished += len(story.done) > 1
    return {"walks": walks, "with two rounds done": finished, "broken": ""}


FLAWS = ("vote before the write", "a lost disk votes", "freed by time", "new voters alone")


def check(states: int, walks: int) -> Findings:
    """The sound form and each flawed one."""
    return {
        "explored": explore("", states),
        "walked": walk("", walks, 1),
        FLAWED: {flaw: walk(flaw, walks, 2)["broken"] for flaw in FLAWS},
    }


def main() -> int:
    return run(__doc__, check, states=30_000, walks=20_000)


if __name__ == "__main__":
    sys.exit(main())
