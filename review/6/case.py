"""A keyed job is sent again after its window for repeats, and runs twice."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import SLACK, Arrival, Case, Client, Discovery, Worker, lane, now, play, reset, settings

WINDOW, GIVE_UP = 1.0, 5.0  # s
RUN_TIME = 1.2  # s that a job runs
WORKERS, BAY, SLOTS, JOBS, RESETS = 20, 10, 3, 16, 8  # workers, those of one bay, and what one of them runs
BEFORE_END = 0.065  # s before the end of the window at which the connections break
HOLD = 0.14  # s for which the dispatcher is held up; the pages say up to 0.15
HOLD_AFTER = (0.001, 0.0005, 0.002, 0.0015, 0.003, 0.004, 0.006, 0.008)  # s after the resets, by round
ROUNDS = 24


async def scenario(case: Case) -> None:
    record = case.record
    applied: dict[tuple[int, str], float] = {}  # by bay and key: when the bay has first taken it
    effects: dict[str, list[tuple[str, float]]] = {}  # by key: where its effect was applied, and when

    async def serve(worker: Worker, arrival: Arrival) -> None:
        """One bay: within the window a repeat is dropped, and answered as the first was."""
        first = applied.get((worker.cell, arrival.key))
        if first is None or arrival.at - first > WINDOW + SLACK:
            applied[worker.cell, arrival.key] = arrival.at
            effects.setdefault(arrival.key, []).append((worker.name, arrival.at))
            arrival.applied = True
            record.say(f"worker {worker.name} runs {arrival.name} (key {arrival.key})")
        await worker.head(arrival)
        await asyncio.sleep(RUN_TIME if arrival.applied else 0.05)
        await worker.done(arrival, f"ticket of {arrival.key}")

    workers = [Worker(record, f"s-{n:02}", serve, cell=1 + n // BAY, slots=SLOTS) for n in range(WORKERS)]
    for worker in workers:
        await worker.start()
    discovery = Discovery(record, workers)
    await discovery.start()
    lanes = [lane("ticket-issue", "dedup", group="cell", giveUp=GIVE_UP, repeatWindow=WINDOW, aim=2.0)]
    known = {"seq": 1, "whole": True, "hosts": [worker.line() for worker in workers]}
    conf = {"discovery": f"127.0.0.1:{discovery.port}", "known": known, "settings": settings(lanes)}
    dispatcher = case.dispatcher("n1", conf)
    dispatcher.start()
    await dispatcher.ready()
    clients = [Client(record, dispatcher.address) for _ in range(JOBS)]
    for number in range(ROUNDS):
        sent_at = now()
        asked = [
            asyncio.create_task(client.ask(f"r{number:02}-{n:02}", "ticket-issue", GIVE_UP, key=f"k{number:02}-{n:02}"))
            for n, client in enumerate(clients)
        ]
        await asyncio.sleep(0.3)
        out = sorted((arrival for worker in workers for arrival in worker.open.values()), key=lambda a: a.at)[:RESETS]
        if out:
            sent_at = out[len(out) // 2].at
        await asyncio.sleep(max(0.0, sent_at + WINDOW - BEFORE_END - now()))
        if case.trouble:
            await trouble(case, out, HOLD_AFTER[number % len(HOLD_AFTER)])
        for answer in await asyncio.gather(*asked):
            if answer.status == 0:
                case.violation(f"lost: {answer.name} has no answer")
        check(case, workers, effects)
        if case.broken:
            break
        await asyncio.sleep(0.4)


async def trouble(case: Case, out: list[Arrival], after: float) -> None:
    """Connections are reset under requests that have begun; a moment later the dispatcher is held up."""
    at = now()
    for arrival in out:
        reset(arrival.writer)
    await asyncio.sleep(0)  # the event loop closes them in its next step
    await asyncio.sleep(0)
    case.record.say(f"connections of {len(out)} requests that have begun are reset", at)
    while now() < at + after:
        pass
    case.dispatchers[0].signal(signal.SIGSTOP, quiet=True)
    stopped = now()
    await asyncio.sleep(HOLD - 0.002)
    case.dispatchers[0].signal(signal.SIGCONT, quiet=True)
    case.record.say(f"the dispatcher was held up for {now() - stopped:.3f} s", stopped)


def check(case: Case, workers: list[Worker], effects: dict[str, list[tuple[str, float]]]) -> None:
    """Within the window of the first send, and in time limits 50 ms longer on sockets."""
    by_name: dict[str, list[Arrival]] = {}
    for worker in workers:
        for arrival in worker.arrivals:
            by_name.setdefault(arrival.name, []).append(arrival)
        worker.arrivals.clear()
    for name, found in by_name.items():
        found.sort(key=lambda arrival: arrival.at)
        for later in found[1:]:
            if (late := later.at - found[0].at) > WINDOW + SLACK:
                ran = len(effects[later.key])
                case.violation(
                    f"duplicate: {name} was sent to {found[0].worker}, and {late:.3f} s later to {later.worker}: "
                    f"its window is {WINDOW} s; its effect was applied {ran} times"
                )


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, scenario))
