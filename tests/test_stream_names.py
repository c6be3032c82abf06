"""One id, one stream: however many others follow, and at both processes of an upgrade."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest
import trio

from tests.standins import HOSTS, Http, Told
from tests.support import Lines, end, free_port, play
from tests.test_restart import Site
from thistleshore.core import model
from thistleshore.platform import stream_names
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.messages import Routes
from thistleshore.platform.stream_names import KEPT, StreamNames
from thistleshore.restart import frame
from thistleshore.restart.link import Link

HEAD = b"POST /render HTTP/1.1\r\nHost: s\r\nX-Lane: render\r\nContent-Length: 0\r\n"
POST = HEAD + b"X-Remaining-Ms: %d\r\nX-Txn: %s\r\n\r\n"
GIVE_UP = 60.0  # s, of the class


class Front:
    """A downstream side that serves all but what is called `held` or `queued`, and refuses what is called `refused`.

    What is called `queued` goes to no host, and what is called `held` is not answered by one.
    """

    def __init__(self) -> None:
        self.inbox, self.events = trio.open_memory_channel[model.Event](99)
        self.downstream = Downstream(Routes({"render": 0}, [GIVE_UP]), trio.Event(), self.inbox, 99)
        self.port = free_port()

    async def serve(self) -> None:
        async for event in self.events:
            if isinstance(event, model.StreamWithdrawn):
                event.stream.withdrawn = True
                event.stream.answered.set()
            if isinstance(event, model.StreamOpened):
                event.stream.attempted = event.stream.name not in ("refused", "queued")
            if isinstance(event, model.StreamOpened) and event.stream.name not in ("held", "queued"):
                refused = event.stream.name == "refused"
                event.stream.answer = model.LocalReply(0.0) if refused else model.Served(b"ok")
                event.stream.answered.set()

    async def connect(self) -> Lines:
        return Lines(await trio.open_tcp_stream("127.0.0.1", self.port))

    async def ask(self, lines: Lines, name: bytes) -> bytes:
        with trio.fail_after(GIVE_UP):
            await lines.stream.send_all(POST % (30_000, name))
            first, headers = await lines.head()
            await lines.exactly(int(headers[b"content-length"]))
        return first.split()[1]

    async def leave(self, name: bytes, remaining: float) -> None:
        """Ask, and close before the answer."""
        lines = await self.connect()
        await lines.stream.send_all(POST % (int(remaining * 1000), name))
        await trio.sleep(0.1)
        end(lines.stream, "FIN")
        await trio.sleep(0.1)


async def with_front(scenario: Any) -> Any:
    front = Front()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(front.serve)
        await nursery.start(front.downstream.run, ("127.0.0.1", front.port))
        found = await scenario(front)
        nursery.cancel_scope.cancel()
    return found


def test_an_id_whose_client_left_is_not_taken_again_after_thousands_of_others() -> None:
    # operators' records of issue 58: 2,048 later ids pushed it out of the list, and its job ran twice
    async def scenario(front: Front) -> tuple[bytes, bytes]:
        await front.leave(b"held", 5.0)
        served, lines = await front.ask(await front.connect(), b"first"), await front.connect()
        for n in range(2100):
            assert await front.ask(lines, b"new-%d" % n) == b"200"
        assert served == b"200"
        return await front.ask(await front.connect(), b"held"), await front.ask(await front.connect(), b"first")

    assert play(with_front, scenario) == (b"409", b"409")


@pytest.mark.parametrize(("remaining", "after", "answer"), [(30.0, 29.0, b"409"), (5.0, KEPT - 1.0, b"409")])
def test_an_id_is_known_as_long_as_its_client_may_come_again(remaining: float, after: float, answer: bytes) -> None:
    # it was known for 10 s after its end, whatever its client's deadline
    async def scenario(front: Front) -> bytes:
        await front.leave(b"held", remaining)
        await trio.sleep(after - 0.2)
        return await front.ask(await front.connect(), b"held")

    assert play(with_front, scenario) == answer


def test_where_no_further_id_can_be_known_requests_are_refused_and_no_id_is_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_names, "MOST", 3)

    async def scenario(front: Front) -> list[bytes]:
        found = [await front.ask(await front.connect(), name) for name in (b"a", b"b", b"c", b"d", b"a")]
        await trio.sleep(KEPT)
        return [*found, await front.ask(await front.connect(), b"d")]

    assert play(with_front, scenario) == [b"200", b"200", b"200", b"503", b"409", b"200"]


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_client_that_left_before_its_job_went_to_a_host_is_served_when_it_comes_again(how: str) -> None:
    # its connection broke while the job waited: it got an error for an id that had never run
    async def scenario(at: Http) -> list[Told]:
        for host in HOSTS:
            at.tell(host, "leaving")
        await trio.sleep(0.1)
        client = await trio.open_tcp_stream("127.0.0.1", at.port)
        head = b"POST /seat-search HTTP/1.1\r\nHost: s\r\nX-Txn: 5\r\nX-Remaining-Ms: 5000\r\nContent-Length: 3\r\n\r\n"
        await client.send_all(head + b"job")
        await trio.sleep(0.1)
        end(client, how)
        await trio.sleep(0.1)
        for host in HOSTS:
            at.tell(host, "active")
        await trio.sleep(0.1)
        return [await at.submit("seat-search", b"job") for _ in range(2)]

    at = Http()
    at.numbers = iter([5, 5])
    found = play(at.run, scenario)
    assert [told.kind for told in found] == ["served", "failed"] and len(at.runs[b"job"]) == 1


def test_names_of_streams_that_never_ran_are_free_at_the_other_process_too() -> None:
    told = list[tuple[str, tuple[str, ...]]]()

    class Others:
        def tell_streams(self, names: Sequence[str], left: float) -> None:
            told.append(("opened", tuple(names)))

        def tell_unused(self, names: Sequence[str]) -> None:
            told.append(("unused", tuple(names)))

        def hear_streams(self) -> None:
            pass

    async def scenario(front: Front) -> None:
        front.downstream.others = Others()
        await front.leave(b"queued", 5.0)
        await front.leave(b"held", 5.0)
        assert await front.ask(await front.connect(), b"refused") == b"503"

    play(with_front, scenario)
    assert told == [
        ("opened", ("queued",)), ("unused", ("queued",)), ("opened", ("held",)), ("opened", ("refused",)),
        ("unused", ("refused",)),
    ]  # fmt: skip
    names = StreamNames()
    names.open("ran here", 5.0)
    names.end("ran here", 1.0, answered=True)
    for name in ("queued", "ran here"):
        names.learn(name, 9.0)
    assert [names.unlearn(name) for name in ("queued", "ran here", "other")] == [True, True, False]
    assert [names.knows(name, 2.0) for name in ("queued", "ran here")] == [False, True]


def test_an_id_that_was_refused_and_never_ran_fills_no_memory() -> None:
    async def scenario(front: Front) -> tuple[list[bytes], int]:
        found = [await front.ask(await front.connect(), b"refused") for _ in range(2)]
        return found, len(front.downstream.names)

    assert play(with_front, scenario) == ([b"503", b"503"], 0)


def test_names_pass_to_another_process_with_their_time_and_end_there() -> None:
    first, second = StreamNames(), StreamNames()
    first.open("open", 30.0)
    first.open("served", 30.0)
    first.end("served", 5.0, answered=True)
    second.take_over(first.export(10.0), 110.0)
    assert [second.knows(name, 110.0 + 4.9) for name in ("open", "served", "other")] == [True, True, False]
    assert [second.knows(name, 110.0 + 6.0) for name in ("open", "served")] == [True, False]
    assert second.knows("open", 110.0 + 20.0 + KEPT - 0.1) and not second.knows("open", 110.0 + 21.0 + KEPT)
    for malformed in ("?", "AAAA"):
        with pytest.raises(ValueError):
            second.take_over(malformed, 0.0)


def test_a_hand_over_with_as_many_names_as_there_may_be_fits_its_frame() -> None:
    names = StreamNames()
    for n in range(stream_names.MOST):
        names.open(f"{n:\xff>128}", 30.0)
    values = {"names": list(names.latest), "streams": names.export(0.0)}
    rest = 2 * 1024 * 1024  # bytes, twice what 3,200 hosts take
    assert names.full(0.0) and len(frame.framed(values)) + rest < frame.BODY_MOST


def test_a_name_that_is_heard_twice_is_known_for_the_longer_time() -> None:
    names = StreamNames()
    assert names.learn("a", 5.0) and not names.learn("a", 9.0) and not names.learn("a", 7.0)
    assert names.knows("a", 8.9) and not names.knows("a", 9.1) and len(names) == 0


def test_what_is_told_is_there_at_once_and_heard_once_in_order() -> None:
    async def scenario() -> tuple[list[Any], list[Any], list[Any]]:
        ours, theirs = (trio.socket.from_stdlib_socket(one) for one in socket.socketpair())
        says, hears = Link(ours, held=True), Link(theirs, heard=b'{"names":["early"]}\n')
        says.tell(names=["a"])
        before = hears.look_ahead()
        says.release()
        says.tell(names=["b" * 3000])
        ahead = hears.look_ahead()
        heard = list[Any]()
        says.close()
        async for values in hears.heard():
            heard.append(values)
        hears.close()
        return before, ahead, heard

    before, ahead, heard = play(scenario)
    assert before == [] and [len(values["names"][0]) for values in ahead] == [5, 1, 3000] and heard == ahead


def test_a_process_that_does_not_read_holds_nobody_up_and_hears_all_once_it_reads() -> None:
    async def scenario() -> int:
        ours, theirs = (trio.socket.from_stdlib_socket(one) for one in socket.socketpair())
        says, hears, heard = Link(ours), Link(theirs), 0
        for _ in range(600):
            says.tell(names=["x" * 3000])  # more than a socket takes
        async with trio.open_nursery() as nursery:
            nursery.start_soon(says.run_writer)
            async for _ in hears.heard():
                heard += 1
                if heard == 600:
                    break
            nursery.cancel_scope.cancel()
        return heard

    assert play(scenario) == 600


@pytest.mark.parametrize("again_at", ["the one before", "the new one"])
def test_an_id_that_ran_at_one_process_of_an_upgrade_is_not_run_again_at_the_other(
    tmp_path: Path, again_at: str
) -> None:
    # the process before was not told of the streams that the new one opened
    site = Site(tmp_path)
    ask = b"POST /pay HTTP/1.1\r\nHost: s\r\nX-Txn: again\r\nX-Lane: pay\r\nContent-Length: 1\r\n\r\na"
    with site.upgrade() as (kept, other):
        left, back = (other, kept) if again_at == "the one before" else (kept, other)
        left.sendall(ask)
        time.sleep(0.02)  # its worker has it, and has not answered
        left.close()
        back.sendall(ask)
        assert back.recv(4096).startswith(b"HTTP/1.1 409")
    assert sum(len(host.runs) for host in site.hosts) == 1


def test_an_id_that_never_ran_may_come_again_at_either_process_of_an_upgrade(tmp_path: Path) -> None:
    site = Site(tmp_path)
    ask = b"POST /pay HTTP/1.1\r\nHost: s\r\nX-Txn: again\r\nX-Lane: pay\r\nContent-Length: 1\r\n\r\na"
    with site.upgrade() as (kept, other):
        for host in site.hosts:
            assert site.call(b"DETACH " + host.name.encode()) == b"OK\n"
        time.sleep(0.1)
        for connection in (kept, other, kept):
            connection.sendall(ask)
            assert connection.recv(4096).startswith(b"HTTP/1.1 503")
        for host in site.hosts:
            assert site.call(b"ATTACH " + host.name.encode()) == b"OK\n"
        time.sleep(0.1)
        other.sendall(ask)
        assert other.recv(4096).startswith(b"HTTP/1.1 200")
    assert sum(len(host.runs) for host in site.hosts) == 1
