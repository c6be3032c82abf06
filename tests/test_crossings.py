"""What if it comes just here?  Crossings of requests, answers, ends, signals and lists, forced by events.

docs/design/crossings.md lists them, each with its verdict and its test.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import Entry, ListKind, Settings, State, Status
from tests.support import Lines, end, free_port, listening, play, program, read_all
from tests.test_config import PLATFORM
from tests.test_discovery import list_of, settings, watching
from tests.test_edges import ANSWER, FULL, carried, host_at, request_to
from thistleshore.core import model
from thistleshore.core.broker import Broker
from thistleshore.platform import upstream
from thistleshore.wiring.http import wait_for_hosts

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


Handle = Callable[[Lines, int], Any]


async def at_host(handle: Handle, scenario: Callable[[upstream.Upstreams, model.UpstreamHost], Any]) -> tuple[Any, int]:
    """What comes of a scenario with one host; `handle` is asked request by request.  And how many reached it."""
    seen = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal seen
        lines = Lines(stream)
        with suppress(EOFError, trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                _, headers = await lines.head()
                await lines.exactly(int(headers[b"content-length"]))
                seen += 1
                await handle(lines, seen)

    pool = upstream.Upstreams(upstream.ConnectionLimits(0.2, 5.0, 4))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pool.run)
        found = await scenario(pool, host_at(await listening(nursery, serve)))
        nursery.cancel_scope.cancel()
    return found, seen


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize(
    "said",
    [
        CHUNKED + chunk(ANSWER[:20]),
        CHUNKED + chunk(ANSWER)[:-9],
        FULL[:-9],
        b"HTTP/1.1 200 OK\r\n\r\n" + ANSWER[:20],
        CHUNKED,
        FULL[:12],
        b"",
    ],
)
def test_half_an_answer_before_an_end_may_have_run_and_is_never_served(said: bytes, how: str) -> None:
    async def handle(lines: Lines, _: int) -> None:
        if said:
            await lines.stream.send_all(said)
        end(lines.stream, how)

    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> tuple[Status, bytes | None, bool, int]:
        request = request_to(host)
        found = await carried(pool, request)
        await trio.sleep(1.0)
        return found.status, found.result, request.sent, pool.open

    assert play(at_host, handle, scenario) == ((Status.RESET, None, True, 0), 1)


def test_an_answer_whose_end_is_reset_after_its_last_line_is_served_and_its_connection_is_not_kept() -> None:
    async def handle(lines: Lines, _: int) -> None:
        await lines.stream.send_all(CHUNKED + chunk(ANSWER))
        await trio.sleep(0.01)
        end(lines.stream, "RST")

    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> tuple[list[Status], int]:
        found = []
        for _ in range(2):
            found.append((await carried(pool, request_to(host))).status)
            await trio.sleep(0.5)
        return found, pool.open

    assert play(at_host, handle, scenario) == (([Status.OK, Status.OK], 0), 2)


@pytest.mark.parametrize("late", ["before the next request", "after the next request"])
def test_a_second_answer_is_never_served_for_the_next_request(late: str) -> None:
    """It names another stream.  Where it comes before the next request, that goes by another connection."""
    again, sent = trio.Event(), trio.Event()

    async def handle(lines: Lines, number: int) -> None:
        if number == 1:
            await lines.stream.send_all(FULL)
            if late.startswith("before"):
                await lines.stream.send_all(FULL)
                again.set()
        elif late.startswith("after"):
            await lines.stream.send_all(FULL)  # the first one's, once more
        else:
            await lines.stream.send_all(FULL.replace(b'"t"', b'"u"'))
        sent.set()

    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> list[tuple[Status, bytes | None]]:
        first = await carried(pool, request_to(host))
        if late.startswith("before"):
            await again.wait()
        await trio.sleep(0.1)
        second = request_to(host)
        second.stream.name = "u"
        found = await carried(pool, second)
        return [(first.status, first.result), (found.status, found.result)]

    found, seen = play(at_host, handle, scenario)
    # After it: what the host did with it is not known, and that is said; it may have run.
    assert found == [(Status.OK, b"ok"), (Status.OK, b"ok") if late.startswith("before") else (Status.ERROR, None)]
    assert seen == 2


def test_an_end_of_an_idle_connection_that_crosses_a_request_is_one_that_may_have_run() -> None:
    """It comes between the look at the connection and the last byte: that it never ran can't be proved."""

    async def handle(lines: Lines, number: int) -> None:
        await lines.stream.send_all(FULL)

    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> tuple[Status, bool]:
        await carried(pool, request_to(host))
        await trio.sleep(0.1)
        kept = pool._idle[host.id][0].peer
        kept.stirs = lambda: False  # type: ignore[method-assign]  # the look, and then the end
        await kept.socket.send_eof()  # the host ends its side
        await trio.sleep(0.1)
        request = request_to(host)
        return (await carried(pool, request)).status, request.sent

    (status, sent), seen = play(at_host, handle, scenario)
    assert (status, seen) in ((Status.RESET, 1), (Status.CONNECT_FAILED, 1)) and sent == (status is Status.RESET)


def test_a_list_that_drains_the_host_while_it_answers_leaves_the_answer_and_keeps_no_connection() -> None:
    begun, go = trio.Event(), trio.Event()

    async def handle(lines: Lines, _: int) -> None:
        begun.set()
        await go.wait()
        await lines.stream.send_all(FULL)

    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> tuple[Status, int]:
        found: list[Status] = []

        async def ask() -> None:
            found.append((await carried(pool, request_to(host))).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await begun.wait()
            host.entry = host.entry._replace(state=State.DRAINING)
            pool.close_idle(host)
            go.set()
        await trio.sleep(0.2)
        return found[0], pool.open

    assert play(at_host, handle, scenario) == ((Status.OK, 0), 1)


@pytest.mark.parametrize("where", ["connecting", "nothing said yet", "in the head", "in the list", "the list is whole"])
def test_sighup_in_a_call_to_discovery_moves_it_and_the_old_address_is_not_heard_again(
    where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    dial = trio.open_tcp_stream

    async def scenario() -> tuple[list[str], list[bytes]]:
        inbox, told = trio.open_memory_channel[model.HostListReceived](9)
        there, go, calls = trio.Event(), trio.Event(), list[bytes]()
        says = {"in the head": 20, "in the list": 70, "the list is whole": 9999}.get(where, 0)

        async def old(stream: trio.SocketStream) -> None:
            with suppress(EOFError, trio.BrokenResourceError):
                await Lines(stream).head()
                await stream.send_all(list_of(8, "old")[:says])
                there.set()
                await go.wait()
                await stream.send_all(list_of(8, "old")[says:])
                await trio.sleep_forever()

        async def new(stream: trio.SocketStream) -> None:
            lines = Lines(stream)
            with suppress(EOFError, trio.BrokenResourceError):
                calls.append((await lines.head())[0])
                await stream.send_all(list_of(3, "new"))
                calls.append((await lines.head())[0])
                await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            at, to = [await listening(nursery, handle) for handle in (old, new)]

            async def slow(host: str, port: int) -> trio.SocketStream:
                if where == "connecting" and port == at:
                    there.set()
                    await go.wait()
                return await dial(host, port)

            monkeypatch.setattr(trio, "open_tcp_stream", slow)
            watch = watching(at, of=settings(40))
            call = watch._call

            async def called(*what: Any) -> model.HostListReceived:
                found = await call(*what)
                if where == "the list is whole" and not go.is_set():
                    watch.move(("127.0.0.1", to))  # the signal's task ran in the step that read the last byte
                    go.set()
                return found

            monkeypatch.setattr(watch, "_call", called)
            nursery.start_soon(watch.run, inbox.send_nowait)
            if where != "the list is whole":
                await there.wait()
                watch.move(("127.0.0.1", to))
                go.set()
            first = await told.receive()
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        return [line.entry.worker.decode() for line in first.lines], calls

    names, calls = play(scenario)
    assert names == ["new"] and calls[0].startswith(b"GET /api/targets HTTP") and b"after=3&" in calls[1]


@pytest.mark.parametrize("balancers", [1, 200, 1024])
@pytest.mark.parametrize("asked", [False, True])
@pytest.mark.parametrize(
    "how", ["refuses", "never connects", "is silent", "says 503", "says a byte at a time", "is slow"]
)
def test_a_start_is_ready_within_10_s_whatever_discovery_does(
    how: str, asked: bool, balancers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The module's and the watch's part of it: the rest is the processor's.  200 at once: 40 of them, by chance."""

    async def never(host: str, port: int) -> trio.SocketStream:
        await trio.sleep_forever()
        raise AssertionError

    async def handle(stream: trio.SocketStream) -> None:
        with suppress(EOFError, trio.BrokenResourceError):
            lines = Lines(stream)
            while True:
                await lines.head()
                if how == "is silent":
                    await trio.sleep_forever()
                if how == "says 503":
                    await stream.send_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    continue
                await trio.sleep(0.4 if how == "is slow" else 0.0)
                for byte in list_of(8, "h") if how == "says a byte at a time" else [0]:
                    await stream.send_all(bytes((byte,)) if byte else list_of(8, "h"))
                    await trio.sleep(0.3)

    async def ready(of: Settings, seed: int) -> float:
        broker, listed = Broker(Brain(of, 1, trio.current_time())), trio.Event()
        async with trio.open_nursery() as nursery:
            port = free_port() if how == "refuses" else await listening(nursery, handle)
            watch = watching(port, of=of, seed=seed)
            nursery.start_soon(broker.run)
            line = model.HostLine(Entry(b"h", State.READY), ("127.0.0.1", 9))
            broker.post(model.HostListReceived(ListKind.CACHED, (line,)))
            nursery.start_soon(wait_for_hosts, broker, None if asked else watch, listed)
            nursery.start_soon(watch.run, broker.post)
            begun = trio.current_time()
            await listed.wait()
            took = trio.current_time() - begun
            nursery.cancel_scope.cancel()
        return took

    if how == "never connects":
        monkeypatch.setattr(trio, "open_tcp_stream", never)
    assert play(ready, settings(balancers, asked), 3) < 2.5


def spent(pid: int) -> float:
    """Seconds of processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


@pytest.mark.parametrize("granted", [256, 128])
def test_idle_clients_that_fill_the_descriptors_keep_neither_discovery_nor_hosts_from_being_reached(
    granted: int, tmp_path: Path
) -> None:
    """Of 256 descriptors, or of fewer than the file states, all that clients may have are taken, by some that have
    spoken and by some that never do, while discovery is down; nor is the processor spent on accepting what there is
    no room for."""
    port, agent, worker = free_port(), free_port(), free_port()
    known = {
        "seq": 1,
        "whole": True,
        "hosts": [{"host": "old", "dial": f"127.0.0.1:{free_port()}", "class": "m2", "health": "active"}],
    }
    conf = {
        **PLATFORM,
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{agent}",
        "known": known,
        "limits": {"sockets": 256},
    }
    (tmp_path / "config.json").write_text(json.dumps(conf))

    async def host(stream: trio.SocketStream) -> None:
        lines = Lines(stream)
        with suppress(EOFError, trio.BrokenResourceError):
            while True:
                _, headers = await lines.head()
                await lines.exactly(int(headers[b"content-length"]))
                text = json.dumps({"id": headers[b"x-txn"].decode(), "state": "done", "result": "ok"}).encode() + b"\n"
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))

    async def discover(stream: trio.SocketStream) -> None:
        lines, dial = Lines(stream), f"127.0.0.1:{worker}"
        listed = [{"host": "new", "dial": dial, "class": "m2", "health": "active"}]
        with suppress(EOFError, trio.BrokenResourceError):
            while True:
                first, _ = await lines.head()
                if b"after=2&" in first:
                    await trio.sleep_forever()
                text = json.dumps({"seq": 2, "whole": True, "hosts": listed}).encode()
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                told.set()

    told = trio.Event()

    async def scenario(pid: int) -> tuple[int, float, float, list[bytes]]:
        crowd = []
        for n in range(300):
            crowd.append(await trio.open_tcp_stream("127.0.0.1", port))
            if n % 2:
                with suppress(trio.BrokenResourceError):
                    await crowd[-1].send_all(b"GET /-/healthy HTTP/1.1\r\nHost: s\r\n\r\n")
        await trio.sleep(0.5)
        held, before = len(list(Path(f"/proc/{pid}/fd").iterdir())), spent(pid)
        await trio.sleep(1.0)
        busy, answers = spent(pid) - before, []
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_tcp, host, worker)
            back = trio.current_time()
            await nursery.start(trio.serve_tcp, discover, agent)
            with trio.fail_after(9):
                await told.wait()
            took = trio.current_time() - back
            await trio.sleep(0.2)
            for n in range(20):
                async with await trio.open_tcp_stream("127.0.0.1", port) as client:
                    await client.send_all(
                        b"POST /render HTTP/1.1\r\nHost: s\r\nX-Lane: render\r\nX-Txn: %x\r\n"
                        b"Connection: close\r\nContent-Length: 0\r\n\r\n" % n
                    )
                    answers.append((await read_all(client)).split()[1])
            nursery.cancel_scope.cancel()
        for stream in crowd:
            await stream.aclose()
        return held, busy, took, answers

    async def within(pid: int) -> tuple[int, float, float, list[bytes]]:
        with trio.fail_after(30):
            return await scenario(pid)

    with program({"PROXY_CONFIG": str(tmp_path / "config.json")}, port, granted) as started:
        held, busy, took, answers = trio.run(within, started.pid)
        assert started.poll() is None
    assert granted / 4 < held < granted - 30 and busy < 0.3 and took < 1.0, (held, busy, took)
    assert answers == [b"200"] * 20
