"""The view of the fleet in virtual time, from seeds: how long it takes to settle, who is wrongly dead, what it costs.

    python -m benchmarks.fleet.virtual [--members 3 40 400] [--seeds 20] [--kind fleet|beats] [--json]
    python -m benchmarks.fleet.virtual --worlds 300 [--json]       # drawn worlds of compound faults, 5 to 8 members

A drawn world also tells how much of the time a member's view is wrong (it holds another set for living than those that
live and are reached both ways), beside the fixed list, which holds all for living always.

Times are multiples of the probes' period (`--period`, s).  Each row stands beside the bound that the protocol's named
times give.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from typing import Any

from benchmarks.fleet.heartbeats import Beats
from benchmarks.fleet.net import Net, halves
from thistleshore.fleet import Fleet, Terms

KINDS: dict[str, Any] = {"fleet": Fleet, "beats": Beats}
LOSSES = (0.0, 0.1, 0.3)


def spread(found: list[float | None]) -> dict[str, Any]:
    """p50, p99 and the worst of those that settled, and how many did not."""
    rows = sorted(value for value in found if value is not None)
    if not rows:
        return {"failed": len(found)}
    return {
        "p50": round(rows[len(rows) // 2], 3),
        "p99": round(rows[min(len(rows) - 1, len(rows) * 99 // 100)], 3),
        "worst": round(rows[-1], 3),
        "failed": len(found) - len(rows),
    }


def made(count: int, terms: Terms, seed: int, kind: Any, loss: float = 0.0) -> Net:
    """A fleet that has started, and settled where it can."""
    names = [f"n{n}" for n in range(count)]
    net = Net(names, terms, seed, 0.0, kind)
    for name in names:
        net.start(name, names[:3])
    net.run_until(net.settled, 4 * terms.healing_bound(count))
    net.run(net.now + 3 * terms.period)
    net.loss = loss
    return net


def settling(count: int, terms: Terms, seed: int, kind: Any) -> dict[str, float | None]:
    """s until settled after a crash, a join, a stop with return and a healed cut, one after another."""
    net = made(count, terms, seed, kind)
    names, pick = list(net.nodes), random.Random(seed).choice
    step = terms.period / (20 if count <= 40 else 2)
    most, found = 4 * (terms.detection_bound(count) + terms.healing_bound(count)), dict[str, float | None]()

    def wait(what: str) -> None:
        found[what] = net.run_until(net.settled, most, step)
        net.run(net.now + 3 * terms.period)

    gone = pick(names[3:] or names)
    net.kill(gone)
    wait("crash")
    net.start(gone, names[:3])
    wait("join")
    stopped = pick(names)
    net.stop(stopped, 3.0 * terms.period * 5)
    net.run(net.now + 15 * terms.period)
    wait("stop and return")
    net.cut = halves(names)
    net.run(net.now + terms.detection_bound(count))
    net.cut = lambda a, b: False
    wait("healed cut")
    return found


def false_deaths(
    count: int, terms: Terms, seed: int, kind: Any, loss: float, slow: float = 0.0, seconds: float = 600.0
) -> float:
    """Events an hour in which a member that lives is declared dead by somebody."""
    net = made(count, terms, seed, kind, loss)
    net.nodes["n0"].slow = slow
    begun = net.now
    net.run(begun + seconds)
    died = sum(event.what == "died" and when > begun for node in net.nodes.values() for when, event in node.events)
    return died / seconds * 3600.0


def cost(count: int, terms: Terms, seed: int, kind: Any, seconds: float = 20.0) -> dict[str, float]:
    """Bytes, datagrams and CPU a second of each member in a quiet fleet; CPU with the virtual network's own."""
    net = made(count, terms, seed, kind)
    begun, cpu = net.counts.copy(), time.process_time()
    net.run(net.now + seconds)
    each = seconds * count
    return {
        "bytes_a_second": round((net.counts["bytes"] - begun["bytes"]) / each, 1),
        "datagrams_a_second": round((net.counts["sent"] - begun["sent"]) / each, 2),
        "cpu_ms_a_second": round(1000 * (time.process_time() - cpu) / each, 3),
    }


def world(seed: int, period: float = 0.2, kind: Any = Fleet) -> dict[str, Any]:
    """Compound faults drawn by a seed over 5 to 8 members; how long after the last of them the view is settled."""
    at = random.Random(seed)
    count, terms = at.randint(5, 8), Terms(period=period)
    net = made(count, terms, seed, kind)
    names, ends, told = list(net.nodes), net.now, list[str]()
    cuts: dict[tuple[str, str], int] = {}
    net.cut = lambda a, b: bool(cuts.get((a, b)))

    def cut(pairs: list[tuple[str, str]], by: int) -> None:
        for pair in pairs:
            cuts[pair] = cuts.get(pair, 0) + by

    def set_loss(loss: float) -> None:
        net.loss = loss

    def set_repeat(repeat: float) -> None:
        net.repeat = repeat

    def again(name: str) -> None:
        if net.nodes[name].machine is None:
            net.start(name, names[:2], generation=at.choice([0, 0, 1]))

    for _ in range(at.randint(2, 7)):
        what = at.choice(["kill", "leave", "stop", "cut", "cut", "one-way", "loss", "repeat", "slow"])
        begin, lasts = net.now + at.uniform(0, 6), at.uniform(0.2, 8)
        some = at.sample(names, at.randint(1, count // 2))
        others = [name for name in names if name not in some]
        ends = max(ends, begin + lasts)
        told.append(f"{what} {' '.join(some)} {lasts:.1f} s")
        if what in ("kill", "leave"):
            for name in some:
                net.at(begin, lambda name=name, what=what: net.kill(name) if what == "kill" else net.leave(name))  # type: ignore[misc]
                net.at(begin + lasts, lambda name=name: again(name))  # type: ignore[misc]
        elif what == "stop":
            for name in some:
                net.at(begin, lambda name=name, lasts=lasts: net.stop(name, lasts))  # type: ignore[misc]
        elif what in ("cut", "one-way"):
            pairs = [(a, b) for a in some for b in others] + ([(b, a) for a in some for b in others] * (what == "cut"))
            net.at(begin, lambda pairs=pairs: cut(pairs, 1))  # type: ignore[misc]
            net.at(begin + lasts, lambda pairs=pairs: cut(pairs, -1))  # type: ignore[misc]
        elif what == "loss":
            net.at(begin, lambda: set_loss(0.3))
            net.at(begin + lasts, lambda: set_loss(0.0))
        elif what == "repeat":
            net.at(begin, lambda: set_repeat(0.3))
            net.at(begin + lasts, lambda: set_repeat(0.0))
        else:
            for name in some:
                net.at(begin, lambda name=name: setattr(net.nodes[name], "slow", 0.1))  # type: ignore[misc]
                net.at(begin + lasts, lambda name=name: setattr(net.nodes[name], "slow", 0.0))  # type: ignore[misc]
    samples, wrong, listed = 0, 0, 0

    def sample() -> None:
        nonlocal samples, wrong, listed
        up = [n for n in names if net.nodes[n].machine is not None and net.nodes[n].stopped_until is None]
        for name in up:
            truth = sorted(n for n in up if n == name or not (net.cut(n, name) or net.cut(name, n)))
            samples += 1
            machine = net.nodes[name].machine
            wrong += machine is not None and sorted(record.name for record in machine.living()) != truth
            listed += truth != sorted(names)

    for n in range(int((ends + 3.0 - net.now) / 0.25)):
        net.at(net.now + 0.25 * n, sample)
    net.run(ends + 0.01)
    net.loss = net.repeat = 0.0
    bound = terms.detection_bound(count) + terms.healing_bound(count)
    took = net.run_until(net.settled, 2 * bound, 0.02)
    net.run(net.now + 2.0)
    live = [name for name in names if net.nodes[name].machine is not None]
    dead = [
        (m.own_record.name, name)
        for m in net.live()
        for name, other in m.members.items()
        if other.record.state >= 2 and name in live
    ]
    return {
        "seed": seed,
        "members": count,
        "took": took,
        "bound": round(bound, 2),
        "dead": dead,
        "faults": told,
        "wrong": wrong / max(1, samples),
        "wrong by the fixed list": listed / max(1, samples),
        "fine": took is not None and took <= bound and not dead and net.settled(),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--members", type=int, nargs="+", default=[3, 8, 16, 40, 400])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--period", type=float, default=0.2)
    parser.add_argument("--kind", choices=sorted(KINDS), default="fleet")
    parser.add_argument("--worlds", type=int, default=0)
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    terms, kind, told = Terms(period=asked.period), KINDS[asked.kind], dict[str, Any]()
    if asked.worlds:
        rows = [world(seed, asked.period, kind) for seed in range(asked.worlds)]
        rows.sort(key=lambda row: (row["fine"], -(row["took"] if row["took"] is not None else 1e9)))
        told = {
            "worlds": asked.worlds,
            "fine": sum(row["fine"] for row in rows),
            "worst": rows[:10],
            "took": spread([row["took"] for row in rows]),
            **{
                key: round(sum(row[key] for row in rows) / len(rows), 4) for key in ("wrong", "wrong by the fixed list")
            },
        }
    else:
        for count in asked.members:
            seeds = range(asked.seeds if count <= 40 else max(2, asked.seeds // 10))
            runs = [settling(count, terms, seed, kind) for seed in seeds]
            row: dict[str, Any] = {what: spread([run[what] for run in runs]) for what in runs[0]}
            row["bound"] = {
                "crash": terms.detection_bound(count),
                "join": terms.healing_bound(count),
                "stop and return": terms.healing_bound(count),
                "healed cut": terms.healing_bound(count),
            }
            row["cost"] = cost(count, terms, 1, kind)
            if count <= 40:
                seconds = 600.0 if count <= 8 else 120.0

                def deaths(loss: float, slow: float, count: int = count, seconds: float = seconds) -> float:
                    rows = [false_deaths(count, terms, seed, kind, loss, slow, seconds) for seed in (1, 2, 3)]
                    return round(sum(rows) / len(rows), 1)

                row["false deaths an hour"] = {str(loss): deaths(loss, 0.0) for loss in LOSSES}
                row["false deaths an hour, one slowed"] = deaths(0.0, 0.4 * terms.period)
            told[str(count)] = row
            print(count, json.dumps(row), file=sys.stderr)
    print(json.dumps(told) if asked.json else json.dumps(told, indent=1))
    return 0 if not asked.worlds or told["fine"] == asked.worlds else 1


if __name__ == "__main__":
    sys.exit(main())
