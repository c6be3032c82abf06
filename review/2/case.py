"""Case 2: after new settings have dropped the class of the longest deadline, a planned restart loses no request."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import BROKEN, HELD, Client, CouldNotRun, Record, Site, lane, main, ready

DEADLINE = 1.0  # s, of the classes that stay
DROPPED_DEADLINE = 3.0  # s, of the class that is dropped
KILL_AFTER = DEADLINE + 0.7  # s from SIGTERM to SIGKILL
EXCUSED = 0.7  # s after SIGTERM: what came before and is unanswered at SIGKILL is not lost
LIMIT_SLACK = 0.05  # s by which each time limit is longer on sockets
RUN = 0.5  # s that a job runs
CLIENTS = 8
SETTLED_AFTER = 6.0  # s after SIGHUP, so that nothing of a dropped class can be open: none was sent
THINK = 0.05  # s between a client's answer and its next request

SEARCH = lane("seat-search", "retryable", DEADLINE)
ISSUE = lane("ticket-issue", "dedup", DEADLINE, group="cell", worth=10.0)
QUOTE = lane("group-quote", "retryable", DROPPED_DEADLINE)


async def one_client(client: Client, job_class: str, told_to_end: asyncio.Event, killed: asyncio.Event) -> None:
    """Go on on the kept connection for as long as it stays open; new ones only before SIGTERM."""
    while not killed.is_set():
        told = await client.request(job_class, int(DEADLINE * 1000), new_connections=not told_to_end.is_set())
        if told_to_end.is_set() and client.streams is None:
            return  # the dispatcher has ended the connection, and no other one is there
        await asyncio.sleep(0.2 if told == "unreachable" else THINK)


async def play(site: Site, trouble: bool) -> int:
    record = site.record
    site.write_config([SEARCH, QUOTE] if trouble else [SEARCH, ISSUE])
    process = await site.dispatcher("A")
    await ready(site.port, 30.0)
    await asyncio.sleep(1.5)
    if trouble:  # new settings: a class is added, and later another is dropped
        for lanes in ([SEARCH, QUOTE, ISSUE], [SEARCH, ISSUE]):
            site.write_config(lanes)
            process.signal(signal.SIGHUP)
            await asyncio.sleep(SETTLED_AFTER)
    told_to_end, killed = asyncio.Event(), asyncio.Event()
    clients = [Client(site.port, record, site.outcomes) for _ in range(CLIENTS)]
    names = [("seat-search", "ticket-issue")[n % 2] for n in range(CLIENTS)]
    load = [
        asyncio.create_task(one_client(client, name, told_to_end, killed))
        for client, name in zip(clients, names, strict=True)
    ]
    await asyncio.sleep(2.0)
    process.signal(signal.SIGTERM)
    told_at = record.now()
    told_to_end.set()
    ended = asyncio.create_task(process.process.wait())
    await asyncio.wait([ended], timeout=KILL_AFTER)
    record.say("A: has ended by itself" if ended.done() else "A: still there")
    killed.set()
    process.signal(signal.SIGKILL)
    await ended
    await asyncio.gather(*load)
    return judge(site, record, told_at)


def judge(site: Site, record: Record, told_at: float) -> int:
    """What SIGKILL finds unanswered is lost if it came more than 0.7 s after SIGTERM."""
    before = [outcome for outcome in site.outcomes if outcome["sent"] < told_at]
    owed = [outcome for outcome in site.outcomes if outcome["sent"] > told_at + EXCUSED + LIMIT_SLACK]
    # Written to a connection that the dispatcher had open, and taken: a worker has run it.
    run = {txn for worker in site.workers for _, txn in worker.jobs}
    lost = [outcome for outcome in owed if outcome["told"] in ("closed", "nothing") and outcome["id"] in run]
    for outcome in lost:
        record.say(f"lost     {outcome['id']} {outcome['class']} sent {outcome['sent'] - told_at:.3f} s after SIGTERM")
    record.say(
        f"SIGTERM at {told_at:.3f}; {len(before)} requests before it, {len(owed)} owed after it, {len(lost)} lost"
    )
    if sum(outcome["told"] == "200" for outcome in before) < CLIENTS:
        raise CouldNotRun("the dispatcher did not serve before SIGTERM")
    return BROKEN if lost else HELD


main(play, workers=4, run=RUN)
