"""Model checking of suspicion, refutation and return with three members: explicit states of the real machine.

    python -m benchmarks.checks.fleet [--states 20000] [--walks 3000] [--json]

The network holds every record that was ever told, and delivers any of them to anybody at any time: lost, late, again
and out of order.  Any member may suspect any other, hold it for dead once it does, or start a new life.  In every
state reached:

- nobody holds a record of a life or an incarnation that its member never had (only one's own word makes it younger);
- no view goes back: what a member holds of another is never older than what it held before;
- *it heals*: if from here on nothing is lost and nobody is suspected, all compare views a few times, and then every
  view is the same and holds all three alive.

Flawed forms must each be found out: one that refutes with the incarnation that it had, one that believes whatever came
last, and one that takes its own word for younger than a suspicion of the same incarnation.
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
from thistleshore.fleet import Fleet, Record, Service, State, Terms
from thistleshore.fleet.model import Observation

NAMES = ("a", "b", "c")
BOUNDS = {"incarnations": 2, "lives": 2}  # of the states that are explored


class Stubborn(Fleet):
    """Refutes with the incarnation that it had."""

    def _announce(self, now: float, state: int = 0, service: int | None = None) -> None:
        self._own_record_changed(now)


class Gullible(Fleet):
    """Believes whatever came last."""

    def _merge(self, record: Record, now: float) -> None:
        member = self.members.get(record.name)
        if member is not None and record.name != self.own_record.name:
            member.record = record
            self._digest = self._buckets = None
        else:
            super()._merge(record, now)


class Hasty(Fleet):
    """Takes a member's own word for younger than a suspicion of the same incarnation."""

    def _merge(self, record: Record, now: float) -> None:
        member = self.members.get(record.name)
        if member is not None and record.state == State.ALIVE and record.order[:2] == member.record.order[:2]:
            member.record = record
        super()._merge(record, now)


def cloned(node: Fleet) -> Fleet:
    """A machine that shares nothing which the steps below change."""
    made = copy.copy(node)
    made.members = {name: copy.copy(member) for name, member in node.members.items()}
    for member in made.members.values():
        member.suspected_by = set(member.suspected_by)
    made._not_alive = {name: made.members[name] for name in node._not_alive}
    made._gossip_counts, made.recent_events, made._actions = dict(node._gossip_counts), node.recent_events.copy(), []
    return made


class World:
    """Three machines, and every record that was ever told."""

    def __init__(self, kind: type[Fleet]) -> None:
        self.kind = kind
        self.told: set[Record] = set()
        self.nodes: dict[str, Fleet] = {}
        for n, name in enumerate(NAMES):
            self.nodes[name] = self._made(name, n, 1)
        for name, node in self.nodes.items():
            self.told.add(node.own_record)
            for other in NAMES:
                if other != name:
                    node._merge(self.nodes[other].own_record, 0.0)

    def _made(self, name: str, number: int, generation: int) -> Fleet:
        me = Record(name, "127.0.0.1", 1 + number, "", generation, 0, State.ALIVE, Service.READY, 2, "1")
        made = self.kind("f", me, Terms(), [], 0.0)
        made.observing = False
        made._actions.clear()
        return made

    def steps(self) -> Iterator[tuple[str, World]]:
        """Every world that may follow."""
        for name, node in self.nodes.items():
            for other, member in node.members.items():
                if member.record.state == State.ALIVE:
                    yield f"{name} suspects {other}", self._with(lambda w, n=name, o=other: w.suspect(n, o))  # type: ignore[misc]
                elif member.record.state == State.SUSPECT:
                    yield f"{name} gives {other} up", self._with(lambda w, n=name, o=other: w.give_up(n, o))  # type: ignore[misc]
            if node.own_record.generation < BOUNDS["lives"]:
                yield f"{name} restarts", self._with(lambda w, n=name: w.restart(n))  # type: ignore[misc]
            for record in sorted(self.told, key=lambda r: (r.name, r.order)):
                held = (
                    node.own_record if record.name == name else getattr(node.members.get(record.name), "record", None)
                )
                if held is not None and record != held and not (record.name == name and self._spent(node)):
                    told = f"{name} hears of {record.name} {record.order}"
                    yield told, self._with(lambda w, n=name, r=record: w.deliver(n, r))  # type: ignore[misc]

    @staticmethod
    def _spent(node: Fleet) -> bool:
        return node.own_record.incarnation >= BOUNDS["incarnations"]

    def _with(self, act: Any) -> World:
        made = copy.copy(self)
        made.told = set(self.told)
        made.nodes = {name: cloned(node) for name, node in self.nodes.items()}
        act(made)
        return made

    def suspect(self, name: str, other: str) -> None:
        self._hold(name, other, State.SUSPECT, Observation.UNANSWERED)

    def give_up(self, name: str, other: str) -> None:
        self._hold(name, other, State.DEAD, Observation.EXPIRED)

    def _hold(self, name: str, other: str, state: State, seen: Observation) -> None:
        node = self.nodes[name]
        member = node.members[other]
        node._apply(member, msgspec.structs.replace(member.record, state=int(state), by=name), seen, 0.0)
        self._say(name)

    def restart(self, name: str) -> None:
        """It knows nobody but its seeds, which are the others."""
        before = self.nodes[name]
        made = self._made(name, NAMES.index(name), before.own_record.generation + 1)
        for other in NAMES:
            if other != name:
                made._merge(self.nodes[other].own_record, 0.0)
        self.nodes[name] = made
        self._say(name)

    def deliver(self, name: str, record: Record) -> None:
        self.nodes[name]._merge(record, 0.0)
        self._say(name)

    def _say(self, name: str) -> None:
        node = self.nodes[name]
        node._actions.clear()
        # Who suspects it does not matter to what may follow.
        self.told |= {
            msgspec.structs.replace(r, by="") for r in (node.own_record, *(m.record for m in node.members.values()))
        }

    def shape(self) -> Any:
        views = tuple(
            (node.own_record.order, tuple(sorted((n, m.record.order) for n, m in node.members.items())))
            for node in self.nodes.values()
        )
        return views, frozenset((r.name, r.order) for r in self.told)

    def broken(self, before: World | None) -> str:
        """What does not hold here; "" where all does."""
        for name, node in self.nodes.items():
            for other, member in node.members.items():
                own = self.nodes[other].own_record
                if member.record.order[:2] > own.order[:2]:
                    return f"{name} holds {other} {member.record.order}, which is only {own.order}"
                if before is not None and before.nodes[name].own_record.generation == node.own_record.generation:
                    held = before.nodes[name].members.get(other)
                    if held is not None and held.record.order > member.record.order:
                        return f"{name} goes back on {other}: {held.record.order} to {member.record.order}"
        healed = self._with(lambda w: w.heal())
        for name, node in healed.nodes.items():
            for other, member in node.members.items():
                if member.record.order != healed.nodes[other].own_record.order or member.record.state != State.ALIVE:
                    return f"it does not heal: {name} holds {other} {member.record.order}"
        return ""

    def heal(self) -> None:
        for _ in range(4):
            for node in self.nodes.values():
                for other in self.nodes.values():
                    if other is not node:
                        for record in [other.own_record, *(m.record for m in other.members.values())]:
                            node._merge(record, 0.0)
                        node._actions.clear()


def explore(kind: type[Fleet], most: int) -> dict[str, Any]:
    """Breadth first, as far as the number of states allows."""
    first = World(kind)
    seen, queue, transitions, depth = {first.shape()}, deque([(first, ())]), 0, 0
    path: tuple[str, ...]
    while queue and len(seen) < most:
        world, path = queue.popleft()
        for told, after in world.steps():
            transitions += 1
            key = after.shape()
            if key in seen:
                continue
            seen.add(key)
            if problem := after.broken(world):
                return {"states": len(seen), "transitions": transitions, "broken": problem, "path": [*path, told]}
            depth = max(depth, len(path) + 1)
            queue.append((after, (*path, told)))
    return {"states": len(seen), "transitions": transitions, "depth": depth, "whole": not queue, "broken": ""}


def walk(kind: type[Fleet], walks: int, seed: int, length: int = 24) -> dict[str, Any]:
    """Random stories, far longer than any that can all be tried."""
    at = random.Random(seed)
    for number in range(walks):
        world, path = World(kind), []
        for _ in range(length):
            found = list(world.steps())
            if not found:
                break
            told, after = at.choice(found)
            path.append(told)
            if problem := after.broken(world):
                return {"walks": number + 1, "broken": problem, "path": path}
            world = after
    return {"walks": walks, "steps": walks * length, "broken": ""}


def check(states: int, walks: int) -> Findings:
    """The sound form, again with one life and one refutation, and each flawed one."""
    findings: Findings = {"explored": explore(Fleet, states), "walked": walk(Fleet, walks, 1)}
    BOUNDS.update(incarnations=1, lives=1)
    findings["one life, one refutation"] = explore(Fleet, 4 * states)
    BOUNDS.update(incarnations=2, lives=2)
    findings[FLAWED] = {kind.__name__: explore(kind, states)["broken"] for kind in (Stubborn, Gullible, Hasty)}
    return findings


def main() -> int:
    return run(__doc__, check, states=20_000, walks=100)


if __name__ == "__main__":
    sys.exit(main())
