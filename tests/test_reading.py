"""What one request may cost: header fields and trailers, and a body in very many parts."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import h11
import pytest
import trio

from oxbowarch.interface import Status
from tests.support import free_port, pieces, play, read_all, socket_pair
from tests.test_edges import ANSWER, carried, request_to, with_host
from thistleshore.core.model import UpstreamHost
from thistleshore.metrics import Page
from thistleshore.platform.messages import FIELDS_MOST, Rejected
from thistleshore.platform.peer import Peer
from thistleshore.platform.reading import WholeRequest, read_request
from thistleshore.platform.upstream import Upstreams

LINE = b"POST /render HTTP/1.1\r\nHost: s\r\n"
PATIENCE = 30.0  # s of mock time
CHUNKED = LINE + b"Transfer-Encoding: chunked\r\n\r\n"


async def read(parts: list[bytes], meanwhile: Callable[[], Any] | None = None) -> WholeRequest | int:
    """The request that these parts make, or the status with which it is rejected."""
    ours, theirs = socket_pair()
    peer, found = Peer(theirs, h11.SERVER), list[WholeRequest | int]()

    async def receive() -> None:
        try:
            whole = await read_request(peer)
            assert whole is not None
            found.append(whole)
        except Rejected as problem:
            found.append(problem.status)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(receive)
        if meanwhile is not None:
            nursery.start_soon(meanwhile)
        with suppress(trio.BrokenResourceError):
            for part in parts:
                await ours.send_all(part)
                await trio.sleep(0 if len(parts) == 1 else 0.001)
            await trio.sleep(PATIENCE)
            raise AssertionError("the request is neither taken nor turned down")
    theirs.socket.close()
    ours.socket.close()
    return found[0]


@pytest.mark.parametrize("cuts", [[], [3000], list(range(0, 16_000, 100))])
@pytest.mark.parametrize("ended", [True, False])
def test_a_head_of_very_many_short_fields_is_turned_down_before_it_is_parsed(cuts: list[int], ended: bool) -> None:
    # picture (b) of issue 58: 620 such heads took 219 MB and all of the processor
    data = LINE + b"a:\r\n" * 3900 + (b"Content-Length: 0\r\n\r\n" if ended else b"")
    assert play(read, pieces(data, cuts)) == 431


@pytest.mark.parametrize("cuts", [[], list(range(0, 16_000, 100))])
def test_trailers_of_very_many_short_fields_are_turned_down_before_they_are_parsed(cuts: list[int]) -> None:
    # related to picture (b): trailers are parsed as a head is
    data = CHUNKED + b"2\r\nab\r\n0\r\n" + b"a:\r\n" * 3900 + b"\r\n"
    assert play(read, pieces(data, cuts)) == 431


@pytest.mark.parametrize(("fields", "status"), [(3900, Status.ERROR), (60, Status.OK)])
def test_a_host_s_answer_of_very_many_short_fields_is_turned_down_before_it_is_parsed(
    fields: int, status: Status
) -> None:
    # related to picture (b): each of hundreds of attempts would hold some 800 KB
    async def scenario(pool: Upstreams, host: UpstreamHost) -> list[Status]:
        return [(await carried(pool, request_to(host))).status for _ in range(2)]

    head = b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * fields + b"Content-Length: %d\r\n\r\n" % len(ANSWER)
    assert play(with_host, scenario, [head + ANSWER])[0] == [status, status]


def test_a_host_s_answer_in_very_many_parts_leaves_other_connections_their_turns() -> None:
    # picture (c) at the other side: what stands in one step there keeps all clients waiting
    turns = 0

    async def scenario(pool: Upstreams, host: UpstreamHost) -> Status:
        async def count() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(count)
            status = (await carried(pool, request_to(host))).status
            nursery.cancel_scope.cancel()
        return status

    text = b'{"id":"t","state":"done","result":"%s"}\n' % (b"x" * 20_000)
    body = b"".join(b"1\r\n%c\r\n" % byte for byte in text) + b"0\r\n\r\n"
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body
    assert play(with_host, scenario, [answer])[0] is Status.OK
    assert turns > 20_000 / 64


@pytest.mark.parametrize("cuts", [[], list(range(0, 3000, 7))])
@pytest.mark.parametrize(
    ("data", "body"),
    [
        (LINE + b"a: b\r\n" * (FIELDS_MOST - 4) + b"Content-Length: 2\r\n\r\nab", b"ab"),
        (LINE + b"Content-Length: 303\r\n\r\n0\r\n" + b"\n" * 300, b"0\r\n" + b"\n" * 300),
        (CHUNKED + b"12f\r\n0\r\n" + b"\n" * 300 + b"\r\n0\r\na: b\r\n\r\n", b"0\r\n" + b"\n" * 300),
        (CHUNKED + b"0;x=y\r\n\r\n", b""),
    ],
)
def test_usual_heads_trailers_and_bodies_of_many_lines_are_taken(data: bytes, body: bytes, cuts: list[int]) -> None:
    found = play(read, pieces(data, cuts))
    assert isinstance(found, WholeRequest) and found.body == body


def test_a_body_in_very_many_parts_leaves_other_connections_their_turns() -> None:
    # picture (c) of issue 58: one client's parts kept usual clients waiting for 0.6 s
    turns = 0

    async def count() -> None:
        nonlocal turns
        while True:
            turns += 1
            await trio.lowlevel.checkpoint()

    found = play(read, [CHUNKED + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"], count)
    assert isinstance(found, WholeRequest) and len(found.body) == 20_000
    assert turns > 20_000 / 64


def test_a_scraper_with_very_many_fields_ends_its_own_connection_alone() -> None:
    # the head that is turned down was nobody's to answer there, and would have ended the process
    async def scenario() -> tuple[bytes, bytes]:
        port, found = free_port(), list[bytes]()
        async with trio.open_nursery() as nursery:
            await nursery.start(Page().run, ("127.0.0.1", port))
            await trio.sleep(0.1)
            for more in (b"a:\r\n" * 3900, b""):
                scraper = await trio.open_tcp_stream("127.0.0.1", port)
                await scraper.send_all(b"GET /metrics HTTP/1.1\r\nHost: s\r\n" + more + b"\r\n")
                found.append(await read_all(scraper))
            nursery.cancel_scope.cancel()
        return found[0], found[1][:12]

    assert play(scenario) == (b"", b"HTTP/1.1 200")
