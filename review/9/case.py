"""A drain leaves connections open on which a request is half read: what ends there before SIGKILL is lost."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import Case, Client, Discovery, Worker, lane, now, play, read_head, settings

GIVE_UP = 5.0  # s, the longest deadline; for a restart it is counted as 3 s
KILL_AFTER = 3.0 + 0.7  # s after SIGTERM, the earliest that the pages have
HOLD = 0.14  # s for which the dispatcher is held up; the pages say up to 0.15
CLIENTS = 8
FIRST, EVERY = 2.5, 0.05  # s after SIGTERM at which the first client begins, and between two
PIECES, PIECE = 14, 0.06  # pieces of a request, and s between two


async def scenario(case: Case) -> None:
    record = case.record
    workers = [Worker(record, f"s-{n:02}", cell=1) for n in range(4)]
    for worker in workers:
        await worker.start()
    discovery = Discovery(record, workers)
    await discovery.start()
    lanes = [lane("seat-search", "retryable", giveUp=GIVE_UP, worth=3.0)]
    known = {"seq": 1, "whole": True, "hosts": [worker.line() for worker in workers]}
    conf = {"discovery": f"127.0.0.1:{discovery.port}", "known": known, "settings": settings(lanes)}
    dispatcher = case.dispatcher("n1", conf)
    dispatcher.start()
    await dispatcher.ready()
    clients = [Client(record, dispatcher.address) for _ in range(CLIENTS)]
    for n, client in enumerate(clients):
        answer = await client.ask(f"c{n}-1", "seat-search", GIVE_UP)
        if answer.status != 200:
            case.violation(f"lost: {answer.name} was answered {answer.status}")
    began = now()
    if case.trouble:
        dispatcher.signal(signal.SIGTERM)
    slow = [asyncio.create_task(slowly(case, client, n, began)) for n, client in enumerate(clients)]
    if case.trouble:
        await asyncio.sleep(began + KILL_AFTER - HOLD - now())
        dispatcher.signal(signal.SIGSTOP, quiet=True)
        record.say(f"the dispatcher is held up from here, for {HOLD} s at most")
        await asyncio.sleep(began + KILL_AFTER - now())
        dispatcher.signal(signal.SIGKILL)
    await asyncio.gather(*slow)
    for client in clients:
        client.close()


async def slowly(case: Case, client: Client, number: int, began: float) -> None:
    """Write one request in pieces, and wait for its answer."""
    record, name = case.record, f"c{number}-2"
    reader, writer = client.reader, client.writer
    assert reader is not None and writer is not None
    body = b"x" * 400
    text = f"POST /seat-search HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {name}\r\nX-Lane: seat-search\r\n"
    text += f"X-Org: ingenzi-coaches\r\nX-Remaining-Ms: {int(GIVE_UP * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
    data = text.encode() + body
    size = len(data) // PIECES + 1
    await asyncio.sleep(began + FIRST + EVERY * number - now())
    for at in range(0, len(data), size):
        if reader.at_eof() or writer.transport.is_closing():
            record.say(f"client saw the end of its connection before the last byte of {name}")
            return
        writer.write(data[at : at + size])
        if at == 0:
            record.say(f"client began {name}")
        await asyncio.sleep(PIECE if at + size < len(data) else 0)
    sent = now()
    record.say(f"client wrote the last byte of {name}, {sent - began:.3f} s after the start", sent)
    try:
        async with asyncio.timeout(GIVE_UP + 1.0):
            first, headers = await read_head(reader)
            await reader.readexactly(int(headers.get(b"content-length", b"0")))
        record.say(f"client was answered {first.split(b' ')[1].decode()} to {name}")
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as problem:
        record.say(f"client has no answer to {name}: {type(problem).__name__}")
        if not case.trouble or sent < began + KILL_AFTER:
            case.violation(
                f"lost: {name} was whole {sent - began:.3f} s after SIGTERM on a connection that was open, and has no "
                f"answer at SIGKILL, {KILL_AFTER} s after SIGTERM"
            )


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, scenario))
