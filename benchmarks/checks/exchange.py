"""Model checking of the exchange between instances: allotments never sum to more than the whole.

    python -m benchmarks.checks.exchange [--instances 2] [--states 20000] [--json]

Two parts.  **z3** proves, over all real numbers, that a receiver's lease never outlasts its owner's, whatever the
clocks' rates within the drift and whatever the delays, and that parts sum to no more than 1 where each is used only
so.  **Explicit states** drive the real code through every interleaving, as far as the number of states allows: each
message is lost, delivered, delayed by a step (and so overtaken) or delivered twice; either instance is hungry; any
one may restart.  Each part is also run on a flawed form, and must find it out.
"""

from __future__ import annotations

import argparse
import copy
import itertools
import json
import pickle
import random
import sys
import time
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

import z3

from thistleshore.contracts.exchange import CEDE_STEP, Exchange, Terms
from thistleshore.contracts.model import ShareKey

SHARE = ShareKey(0, 0)
TERMS = Terms(message_interval=1.0, lease=2.5, drift=0.0)  # a step is a second: a lease outlasts two of them
FATES = ("lost", "now", "later", "twice")
SLACK = 1e-9


class Flawed(Exchange):
    """Takes a lease from when the message came, not from when it last said something itself."""

    def on_datagram(self, data: bytes, now: float) -> bool:
        taken = super().on_datagram(data, now)
        if taken:
            for peer in self._peers.values():
                peer.received_steps = [(steps, now + self.terms.lease) for steps, _ in peer.received_steps]
        return taken


class State(NamedTuple):
    """Instances, and datagrams on their way: to whom, and what."""

    nodes: tuple[Exchange, ...]
    late: tuple[tuple[int, bytes], ...]
    lives: tuple[int, ...]


def start(kind: type[Exchange], instances: int) -> State:
    nodes = tuple(kind(n, instances, (SHARE,), TERMS, 1, -10.0) for n in range(instances))
    return State(nodes, (), (1,) * instances)


def parts(state: State, now: float) -> float:
    return sum(node.part(SHARE, now) for node in state.nodes)


def steps(state: State, now: float, kind: type[Exchange]) -> Iterator[tuple[str, State]]:
    """Every state that may follow within one step."""
    count = len(state.nodes)
    for hungry, restart in itertools.product(range(count), range(-1, count)):
        base = copy.deepcopy(state)
        nodes, lives = list(base.nodes), list(base.lives)
        if restart >= 0:
            if lives[restart] > 1:
                continue  # one restart of each is enough to forget what it ceded
            lives[restart] += 1
            nodes[restart] = kind(restart, count, (SHARE,), TERMS, lives[restart], now)
        sent: list[tuple[int, bytes]] = []
        for number, node in enumerate(nodes):
            node.on_demand({SHARE: 1.0 if number == hungry else 0.0})
            sent += node.due(now)
        for fates in itertools.product(FATES, repeat=len(sent)):
            after = copy.deepcopy(nodes)
            later = []
            for (to, data), fate in zip(sent, fates, strict=True):
                if fate in ("now", "twice"):
                    after[to].on_datagram(data, now)
                if fate in ("later", "twice"):
                    later.append((to, data))
            for to, data in base.late:  # overtaken by those of this step
                after[to].on_datagram(data, now)
            told = f"hungry {hungry}, restart {restart}, {' '.join(fates)}"
            yield told, State(tuple(after), tuple(later), tuple(lives))


def shape(state: State, now: float) -> bytes:
    """What tells states apart: times as ages, so that the same story an hour later is the same."""
    told: list[Any] = [state.lives, len(state.late)]
    for node in state.nodes:
        told.append(round(now - node._started_at, 1) if now - node._started_at < TERMS.lease else None)
        for peer in node._peers.values():
            age = round(now - peer.received_at, 1) if now - peer.received_at < 2 * TERMS.lease else None
            taken = [(s, round(until - now, 1)) for s, until in peer.received_steps if until > now]
            ceded = [(given.rows, round(given.until - now, 1)) for given in peer.ceded if given.until > now]
            heard = [round(now - at, 1) for number, at in peer.sent.items() if now - at < TERMS.lease]
            told.append((age, peer.demand, taken, ceded, heard))
    return pickle.dumps(told)


def explore(kind: type[Exchange], instances: int, most: int) -> dict[str, Any]:
    """Breadth first from the start; stops at the first broken sum, or at so many states."""
    first = start(kind, instances)
    seen = {shape(first, 0.0)}
    queue: deque[tuple[State, float, tuple[str, ...]]] = deque([(first, 0.0, ())])
    worst, deepest, transitions = 0.0, 0, 0
    while queue and len(seen) < most:
        state, now, path = queue.popleft()
        for told, after in steps(state, now, kind):
            transitions += 1
            for when in (now, now + 0.5, now + 0.99):  # a lease may end between two steps
                worst = max(worst, parts(after, when))
            if worst > 1.0 + SLACK:
                return {"states": len(seen), "transitions": transitions, "worst": worst, "broken": [*path, told]}
            key = shape(after, now + 1.0)
            if key not in seen:
                seen.add(key)
                deepest = max(deepest, len(path) + 1)
                queue.append((after, now + 1.0, (*path, told)))
    return {
        "states": len(seen),
        "transitions": transitions,
        "depth": deepest,
        "worst": round(worst, 6),
        "broken": None,
        "whole": not queue,
    }


def walk(kind: type[Exchange], instances: int, walks: int, seed: int, length: int = 16) -> dict[str, Any]:
    """Random stories far longer than any that can all be tried."""
    at, worst = random.Random(seed), 0.0
    for number in range(walks):
        state, now, path = start(kind, instances), 0.0, []
        nodes, late, lives = list(state.nodes), list[tuple[int, bytes]](), list(state.lives)
        for _ in range(length):
            hungry, restart = at.randrange(instances), at.randrange(instances) if at.random() < 0.08 else -1
            if restart >= 0:
                lives[restart] += 1
                nodes[restart] = kind(restart, instances, (SHARE,), TERMS, lives[restart], now)
            # Silence comes in spells, as in a network that is cut: single losses are made good by the next message.
            fate = at.choice(FATES)
            told = []
            arriving, late = late, []
            for n, node in enumerate(nodes):
                node.on_demand({SHARE: 1.0 if n == hungry else 0.0})
                for to, data in node.due(now):
                    mine = fate if at.random() < 0.7 else at.choice(FATES)
                    told.append(mine)
                    if mine in ("now", "twice"):
                        nodes[to].on_datagram(data, now)
                    if mine in ("later", "twice"):
                        late.append((to, data))
            for to, data in arriving:
                nodes[to].on_datagram(data, now)
            path.append(f"hungry {hungry}, restart {restart}, {' '.join(told)}")
            for when in (now, now + 0.49, now + 0.51, now + 0.99):
                worst = max(worst, sum(node.part(SHARE, when) for node in nodes))
            if worst > 1.0 + SLACK:
                return {"walks": number + 1, "worst": round(worst, 6), "broken": path}
            now += 1.0
    return {"walks": walks, "steps": walks * length, "worst": round(worst, 6), "broken": None}


def prove_lease(from_receipt: bool = False) -> bool:
    """Can a receiver's lease outlast its owner's?  True where z3 shows that it cannot."""
    asked, heard, sent, got, lease, drift, fast, slow = z3.Reals("asked heard sent got lease drift fast slow")
    solver = z3.Solver()
    solver.add(lease > 0, drift >= 0, drift < 0.5)
    solver.add(asked <= heard, heard <= sent, sent <= got)  # true times: the receiver's word, its owner's, and back
    # Clocks run at rates that differ by no more than the drift: the owner's may be fast, the receiver's slow.
    solver.add(fast > 0, slow > 0, fast * (1 - drift) <= slow)
    owner_until = sent + lease / fast
    receiver_until = (got if from_receipt else asked) + lease * (1 - drift) / slow
    solver.add(receiver_until > owner_until)
    return bool(solver.check() == z3.unsat)


def prove_sum(instances: int, forget: bool = False) -> bool:
    """Can parts sum to more than 1 where nobody uses more than its owner counts as ceded?"""
    ceded = [[z3.Real(f"ceded_{i}_{j}") for j in range(instances)] for i in range(instances)]
    used = [[z3.Real(f"used_{i}_{j}") for j in range(instances)] for i in range(instances)]
    solver = z3.Solver()
    for i, j in itertools.product(range(instances), repeat=2):
        solver.add(ceded[i][j] >= 0, used[i][j] >= 0, used[i][j] <= ceded[i][j])
        if i == j:
            solver.add(ceded[i][j] == 0)
    for i in range(instances):
        solver.add(z3.Sum(ceded[i]) <= 1 - z3.RealVal(str(TERMS.reserved_part)))
    total = z3.Sum(
        [
            (1 - (0 if forget and i == 0 else z3.Sum(ceded[i])) + z3.Sum([row[i] for row in used])) / instances
            for i in range(instances)
        ]
    )
    solver.add(total > 1)
    return bool(solver.check() == z3.unsat)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--instances", type=int, default=2)
    parser.add_argument("--states", type=int, default=20000)
    parser.add_argument("--walks", type=int, default=20000)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    begun = time.monotonic()
    told: dict[str, Any] = {
        "lease_proved": prove_lease(),
        "lease_from_receipt_refuted": not prove_lease(from_receipt=True),
        "sum_proved": [n for n in range(2, 6) if prove_sum(n)],
        "forgetful_sum_refuted": not prove_sum(2, forget=True),
        "explored": explore(Exchange, asked.instances, asked.states),
        "walked": [walk(Exchange, n, asked.walks, 1) for n in (2, 3)],
        "flaw_found": walk(Flawed, 2, asked.walks, 1)["broken"],
        "step": round(CEDE_STEP, 5),
    }
    told["seconds"] = round(time.monotonic() - begun, 1)
    print(json.dumps(told) if asked.json else told)
    fine = told["lease_proved"] and told["explored"]["broken"] is None
    fine = fine and told["flaw_found"] is not None and all(found["broken"] is None for found in told["walked"])
    return 0 if fine else 1


if __name__ == "__main__":
    sys.exit(main())
