"""What hostile clients do.  A behaviour runs for some seconds, and returns what it saw that must not be, or ""."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count
from typing import Any, NamedTuple

import trio

from benchmarks.hostile.connections import Connections, close, unread
from benchmarks.hostile.usual import PUT, http_answer, http_request
from benchmarks.hostile.workers import BROKEN, HELD, Arrivals

CLOSED_SLACK = 0.1  # s after a client's close in which an attempt may still begin
LARGE = 64 * 1024  # bytes of the largest body
WAVE_PAUSE = 0.1  # s between two waves of clients that leave
CROWD = 620  # connections at once
FIELDS = 3900  # of a head of 16 KB

Behaviour = Callable[[Connections, float], Awaitable[str]]
Write = Callable[[Any, list[str]], Awaitable[list[str]]]  # what is written by these names; those not to be sent on


class Known(NamedTuple):
    """A behaviour, the picture of the operators that it belongs to, and the front that it is played at."""

    picture: str
    front: str
    run: Behaviour


# -- (a) clients that leave, and ids that come again ----------------------------------------------------------------


async def _sent_on(arrivals: Arrivals, closed: dict[str, float]) -> str:
    """Which of these requests went to a worker later after their client's close than they may."""
    await trio.sleep(2.0)
    late = [at - closed[name] for name, times in arrivals.items() if name in closed for at in times]
    late = [after for after in late if after > CLOSED_SLACK]
    return f"{len(late)} of {len(closed)} sent on after the close, up to {max(late):.2f} s" if late else ""


def leave_unread(write: Write, number: int, at_once: int, reset: bool) -> Behaviour:
    """Clients that write so many requests at once, so many clients at a time, and close with most of them unread."""

    async def run(connections: Connections, seconds: float) -> str:
        closed = dict[str, float]()
        limit = trio.current_time() + seconds
        numbers = count()

        async def leave() -> None:
            reader = await connections.open()
            names = await write(reader, [f"left-{next(numbers)}" for _ in range(number)])
            closed.update(dict.fromkeys(names, close(reader, reset)))

        while trio.current_time() < limit:
            async with trio.open_nursery() as nursery:
                for _ in range(at_once):
                    nursery.start_soon(leave)
            await trio.sleep(WAVE_PAUSE)
        return await _sent_on(connections.site.workers.arrivals, closed)

    return run


def requests(body: bytes) -> Write:
    """Requests over HTTP; none of them may be sent on after the close."""

    async def write(reader: Any, names: list[str]) -> list[str]:
        with trio.move_on_after(0.3), suppress(*BROKEN):
            await reader.stream.send_all(b"".join(http_request(name, "search", body) for name in names))
        return names

    return write


async def jobs(reader: Any, names: list[str]) -> list[str]:
    """Jobs of the beanstalkd front; those that are acknowledged before the close may be sent on."""
    replies = list[bytes]()
    with trio.move_on_after(0.1), suppress(*BROKEN):
        async with trio.open_nursery() as nursery:
            said = b"use seat-search\r\n" + b"".join(_put(name, b"x" * 2000) for name in names)
            nursery.start_soon(reader.stream.send_all, said)
            while True:
                replies.append(await reader.line())
    with suppress(*BROKEN):
        replies += (reader.take_held() + unread(reader)).split(b"\r\n")[:-1]
    taken = {name for name, reply in zip(names, replies[1:], strict=False) if reply.startswith(b"INSERTED")}
    return [name for name in names if name not in taken]


def come_again(flood: int, leave_at_new: bool = False, come_to_new: bool = False) -> Behaviour:
    """Clients that leave, and come again with their ids after another one has sent so many requests of new ids.

    In an upgrade they use the process before, but where it says the new one.
    """

    async def run(connections: Connections, seconds: float) -> str:
        arrivals = connections.site.workers.arrivals
        names = [f"{HELD}-again-{n}" for n in range(10)]
        gone = await _open(connections, len(names), leave_at_new)
        back = await _open(connections, len(names), come_to_new) if connections.kept else []
        for reader, name in zip(gone, names, strict=True):
            await reader.stream.send_all(http_request(name, "issue"))
        await trio.sleep(0.5)
        for n, reader in enumerate(gone):
            close(reader, bool(n % 2))
        await _ask_on(connections, flood, leave_at_new)
        await trio.sleep(1.0)
        back = back or await _open(connections, len(names), come_to_new)
        return await _send_again(back, names, arrivals)

    return run


async def _open(connections: Connections, number: int, at_new: bool) -> list[Any]:
    return [await (connections.open_new() if at_new else connections.open()) for _ in range(number)]


async def _ask_on(connections: Connections, number: int, at_new: bool) -> None:
    """So many requests of new ids, 16 at a time."""
    numbers = iter(range(number))

    async def ask() -> None:
        (reader,) = await _open(connections, 1, at_new)
        for n in numbers:
            await reader.stream.send_all(http_request(f"new-{n}", "search"))
            await http_answer(reader)

    async with trio.open_nursery() as nursery:
        for _ in range(16):
            nursery.start_soon(ask)


async def _send_again(readers: list[Any], names: list[str], arrivals: dict[str, list[float]]) -> str:
    for reader, name in zip(readers, names, strict=True):
        await reader.stream.send_all(http_request(name, "issue"))
    await trio.sleep(1.0)
    twice = [name for name in names if len(arrivals[name]) > 1]
    for reader in readers:
        close(reader, False)
    return f"{len(twice)} of {len(names)} ids ran twice" if twice else ""


# -- (b) hundreds of clients at once --------------------------------------------------------------------------------


def crowd(first: bytes, piece: bytes = b"", pause: float = 0.05) -> Behaviour:
    """Clients that write this, then a piece again and again, and come back when they are closed."""

    async def run(connections: Connections, seconds: float) -> str:
        numbers = count()

        async def write(reader: Any) -> None:
            await reader.stream.send_all(first.replace(b"NAME", b"crowd-%d" % next(numbers)))
            while piece:
                await trio.sleep(pause)
                await reader.stream.send_all(piece)
            await trio.sleep_forever()

        async def one() -> None:
            while True:
                with suppress(*BROKEN):
                    reader = await connections.open()
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(_read_on, reader, nursery.cancel_scope)
                        with suppress(*BROKEN):
                            await write(reader)
                await trio.sleep(0.02)

        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for _ in range(CROWD):
                    nursery.start_soon(one)
        return ""

    return run


async def _read_on(reader: Any, scope: trio.CancelScope) -> None:
    with suppress(*BROKEN):
        while await reader.stream.receive_some(65536):
            pass
    reader.stream.socket.close()
    scope.cancel()


# -- (c) one client at full speed -----------------------------------------------------------------------------------


def flood(make: Callable[[int], bytes], answered: bool) -> Behaviour:
    """One connection at a time on which requests follow at full speed; `answered`: each after the answer before."""

    async def run(connections: Connections, seconds: float) -> str:
        numbers = count()
        sent = 0

        async def one(reader: Any) -> None:
            nonlocal sent
            while True:
                batch = 1 if answered else 50
                await reader.stream.send_all(b"".join(make(next(numbers)) for _ in range(batch)))
                sent += batch
                if answered:
                    await http_answer(reader)

        async def again_and_again() -> None:
            while True:
                reader = await connections.open()
                async with trio.open_nursery() as nursery:
                    if not answered:
                        nursery.start_soon(_read_on, reader, nursery.cancel_scope)
                    with suppress(*BROKEN):
                        await one(reader)
                    reader.stream.socket.close()
                    nursery.cancel_scope.cancel()

        with trio.move_on_after(seconds):
            await again_and_again()
        connections.sent = sent
        return ""

    return run


def _fields(number: int) -> bytes:
    return b"a:\r\n" * number


def _head(name: bytes, more: bytes = b"", length: int = 2) -> bytes:
    return b"POST /search HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nContent-Length: %d\r\n%s\r\n" % (name, length, more)


def _put(name: str, body: bytes = b"") -> bytes:
    text = name.encode() + b" " + body
    return PUT % (len(text), text)


BEHAVIOURS: dict[str, Known] = {
    "leave-large-fin": Known("a", "http", leave_unread(requests(b"x" * 60_000), 40, 60, False)),
    "leave-large-rst": Known("a", "http", leave_unread(requests(b"x" * 60_000), 40, 60, True)),
    "leave-one-fin": Known("a", "http", leave_unread(requests(b"x" * 60_000), 1, 60, False)),
    "leave-one-rst": Known("a", "http", leave_unread(requests(b"x" * 60_000), 1, 60, True)),
    "leave-small-fin": Known("a", "http", leave_unread(requests(b"{}"), 40, 60, False)),
    "leave-small-rst": Known("a", "http", leave_unread(requests(b"{}"), 40, 60, True)),
    "come-again": Known("a", "http", come_again(0)),
    "come-again-after-3000": Known("a", "http", come_again(3000)),
    "come-again-old-to-new": Known("a", "http", come_again(0, come_to_new=True)),
    "come-again-new-to-old": Known("a", "http", come_again(0, leave_at_new=True)),
    "come-again-old-to-new-after-3000": Known("a", "http", come_again(3000, come_to_new=True)),
    "come-again-new-to-old-after-3000": Known("a", "http", come_again(3000, leave_at_new=True)),
    "slow-heads": Known("b", "http", crowd(b"POST /search HTTP/1.1\r\nHost: s\r\n", b"a: b\r\n")),
    "half-bodies": Known("b", "http", crowd(_head(b"NAME", length=LARGE) + b"x" * (LARGE - 1))),
    "short-fields-half": Known("b", "http", crowd(b"POST /search HTTP/1.1\r\n" + _fields(FIELDS))),
    "short-fields-held": Known("b", "http", crowd(_head(b"NAME", _fields(FIELDS)) + b"x")),
    "short-fields-whole": Known("b", "http", crowd(_head(b"NAME", _fields(FIELDS)) + b"xx")),
    "large-held": Known("b", "http", crowd(_head(b"held-NAME", length=LARGE) + b"x" * LARGE)),
    "flood-same-name": Known("c", "http", flood(lambda n: http_request("same", "search"), True)),
    "flood-new-names": Known("c", "http", flood(
        lambda n: http_request(f"n-{n:0120}", "search").replace(b"Ms: 5000", b"Ms: 1"), True)),
    "flood-new-keys": Known("c", "http", flood(
        lambda n: http_request(f"n-{n}", "search", more=f"Cookie: k={n:x}\r\nX-Org: org-{n}\r\n"), True)),
    "flood-ready": Known("c", "http", flood(lambda n: b"GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n", True)),
    "flood-pipelined": Known("c", "http", flood(lambda n: http_request(f"p-{n}", "search"), False)),
    "flood-unsound": Known("c", "http", flood(lambda n: b"NONSENSE %d\r\n\r\n" % n, False)),
    "flood-no-class": Known("c", "http", flood(lambda n: http_request(f"u-{n}", f"none-{n}"), True)),
    "flood-fields": Known("c", "http", flood(lambda n: _head(b"f-%d" % n, _fields(FIELDS)) + b"xx", True)),
    "flood-chunks": Known("c", "http", flood(
        lambda n: b"POST /search HTTP/1.1\r\nHost: s\r\nX-Txn: c-%d\r\nTransfer-Encoding: chunked\r\n\r\n" % n
        + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n", True)),
    "flood-trailers": Known("c", "http", flood(
        lambda n: b"POST /search HTTP/1.1\r\nHost: s\r\nX-Txn: t-%d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" % n
        + _fields(FIELDS) + b"\r\n", True)),
    "flood-long-wait": Known("c", "http", flood(
        lambda n: http_request(f"w-{n}", "search").replace(b"Ms: 5000", b"Ms: 3600000"), True)),
    "puts-left-fin": Known("a", "beanstalkd", leave_unread(jobs, 200, 10, False)),
    "puts-left-rst": Known("a", "beanstalkd", leave_unread(jobs, 200, 10, True)),
    "slow-commands": Known("b", "beanstalkd", crowd(b"u", b"s")),
    "half-puts": Known("b", "beanstalkd", crowd(b"use seat-search\r\nput 0 0 60 %d\r\n" % LARGE + b"x" * (LARGE - 1))),
    "many-watches": Known("b", "beanstalkd", crowd(
        b"".join(b"watch %s-%d\r\n" % (b"t" * 190, n) for n in range(1023)))),
    "flood-unknown": Known("c", "beanstalkd", flood(lambda n: b"nonsense %d\r\n" % n, False)),
    "flood-puts": Known("c", "beanstalkd", flood(lambda n: b"use seat-search\r\n" + _put(f"put-{n}"), False)),
    "flood-bad-puts": Known("c", "beanstalkd", flood(lambda n: b"put 0 0 60 1\r\nxxxx\r\n", False)),
    "flood-uses": Known("c", "beanstalkd", flood(lambda n: b"use tube-%d\r\n" % n, False)),
    "flood-watches": Known("c", "beanstalkd", flood(lambda n: b"watch tube-%d\r\n" % n, False)),
    "flood-watch-ignore": Known("c", "beanstalkd", flood(
        lambda n: b"watch tube-%d\r\nignore tube-%d\r\n" % (n, n), False)),
    "flood-stats": Known("c", "beanstalkd", flood(lambda n: b"stats\r\n", False)),
    "flood-reserves": Known("c", "beanstalkd", flood(lambda n: b"reserve-with-timeout 0\r\n", False)),
    "flood-results": Known("c", "beanstalkd", flood(lambda n: b"use reply.%d\r\nput 0 0 9 1\r\nx\r\n" % n, False)),
}  # fmt: skip
