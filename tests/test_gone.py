"""A client that has closed, or has taken its job back, has gone: no upstream request begins for it from then on.

Each crossing is forced by events: the broker is held back until the client's end has come.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import Effect, Entry, JobClass, ListKind, Settings, State, Status
from tests.standins import Beanstalkd
from tests.support import Lines, end, free_port, listening, play, read_all
from thistleshore.beanstalkd import upstream as tubes
from thistleshore.core import model
from thistleshore.core.broker import Broker
from thistleshore.platform import upstream
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.messages import Ask, Routes

HEAD = b"POST /c HTTP/1.1\r\nHost: s\r\nX-Txn: %d\r\nX-Lane: c\r\nX-Remaining-Ms: 5000\r\nContent-Length: 1\r\n\r\n"
TURNED = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


class Inbox:
    """The broker's inbox as the downstream side has it; withdrawals wait there, as behind a long queue."""

    def __init__(self, broker: Broker) -> None:
        self.broker, self.opened, self.left = broker, trio.Event(), trio.Event()
        self.number, self.most = 0, 1

    async def send(self, event: model.Event) -> None:
        if isinstance(event, model.StreamWithdrawn):
            self.left.set()
            await trio.sleep_forever()
        await self.broker.inbox.send(event)
        self.number += 1
        if self.number == self.most:
            self.opened.set()


class Tier:
    """One dispatcher of the platform, its parts put together by hand, before one host."""

    def __init__(self, copies: bool = False) -> None:
        rule = JobClass(Effect.SAFE, give_up=5.0)
        of = Settings(1, 0, (rule,), max_attempts=3, hedging=copies, tells_start=copies, can_cancel=False)
        self.broker = Broker(Brain(of, 1, trio.current_time()), ("c",))
        self.pool = upstream.Upstreams(upstream.ConnectionLimits(1.5, 5.0, 400))
        self.broker.carriers[tuple] = self.pool
        self.inbox = Inbox(self.broker)
        self.front = Downstream(Routes({"c": 0}, [5.0]), trio.Event(), self.inbox, 800)  # type: ignore[arg-type]
        self.heads: list[bytes] = []  # of requests that reached the host
        self.answer: Callable[[Lines], Any] = self.refuse

    async def refuse(self, lines: Lines) -> None:
        await lines.stream.send_all(TURNED)

    async def _host(self, stream: trio.SocketStream) -> None:
        lines = Lines(stream)
        with suppress(EOFError, trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                first, _ = await lines.head()
                self.heads.append(first)
                await lines.exactly(1)
                await self.answer(lines)

    async def start(self, nursery: trio.Nursery) -> None:
        self.port = free_port()
        await nursery.start(self.front.run, ("127.0.0.1", self.port))
        nursery.start_soon(self.pool.run)
        self.host = await listening(nursery, self._host)

    def list_host(self, state: State = State.READY) -> None:
        line = model.HostLine(Entry(b"h", state), ("127.0.0.1", self.host))
        self.broker.post(model.HostListReceived(ListKind.FULL, (line,)))

    async def ask(self, number: int = 1, more: bytes = b"") -> trio.SocketStream:
        client = await trio.open_tcp_stream("127.0.0.1", self.port)
        await client.send_all(HEAD % number + b"x" + more)
        return client


async def quiet() -> None:
    """Until nothing on loopback moves any more: mock time passes only then."""
    await trio.sleep(3.0)


@pytest.mark.parametrize("how", ["FIN", "RST", "FIN behind another request", "FIN behind bytes"])
@pytest.mark.parametrize("crowd", [1, 300])
def test_nothing_is_sent_for_clients_that_went_while_their_requests_were_queued(how: str, crowd: int) -> None:
    async def scenario() -> list[bytes]:
        tier = Tier()
        tier.inbox.most = crowd
        more = {"FIN behind another request": HEAD % 9999 + b"x", "FIN behind bytes": b"more"}.get(how, b"")
        async with trio.open_nursery() as nursery:
            await tier.start(nursery)
            tier.list_host()
            # Bytes behind a request are turned down before it is handed over, where they come in one piece with it.
            clients = [await tier.ask(n) for n in range(crowd)]
            await tier.inbox.opened.wait()
            for client in clients:
                if more:
                    await client.send_all(more)
                end(client, how)
            await trio.sleep(0.1)
            nursery.start_soon(tier.broker.run)
            await quiet()
            assert tier.broker.open_streams == 0 and tier.broker.event_counts["withdrawn"] == crowd
            nursery.cancel_scope.cancel()
        return tier.heads

    assert play(scenario) == []


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_nothing_is_sent_for_a_client_that_went_while_its_job_was_held(how: str) -> None:
    async def scenario() -> list[bytes]:
        tier = Tier()
        async with trio.open_nursery() as nursery:
            await tier.start(nursery)
            nursery.start_soon(tier.broker.run)
            line = model.HostLine(Entry(b"h", State.DRAINING), ("127.0.0.1", tier.host))
            tier.broker.post(model.HostListReceived(ListKind.FULL, (line,)))
            client = await tier.ask()
            await tier.inbox.opened.wait()
            await trio.sleep(0.1)
            assert tier.broker.brain.queued
            end(client, how)
            await tier.inbox.left.wait()  # it is noticed, and the broker has not heard
            tier.list_host()
            await quiet()
            assert tier.broker.open_streams == 0
            nursery.cancel_scope.cancel()
        return tier.heads

    assert play(scenario) == []


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("answer", ["turned away", "failed", "reset"])
def test_no_further_attempt_begins_for_a_client_that_went_as_the_first_one_ended(how: str, answer: str) -> None:
    async def scenario() -> list[bytes]:
        tier, begun, go = Tier(), trio.Event(), trio.Event()

        async def end_late(lines: Lines) -> None:
            begun.set()
            await go.wait()
            if answer == "reset":
                end(lines.stream, "RST")
            else:
                await lines.stream.send_all(TURNED if answer == "turned away" else TURNED.replace(b": 1", b": 0"))

        tier.answer = end_late
        async with trio.open_nursery() as nursery:
            await tier.start(nursery)
            nursery.start_soon(tier.broker.run)
            tier.list_host()
            client = await tier.ask()
            await begun.wait()
            end(client, how)
            await tier.inbox.left.wait()
            go.set()
            await quiet()
            assert tier.broker.open_streams == 0
            nursery.cancel_scope.cancel()
        return tier.heads

    assert len(play(scenario)) == 1


def test_a_connection_that_comes_up_after_its_client_went_gets_no_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    """Also where the settings let nothing that was sent be called off: this was not."""
    dial = upstream._dial

    async def scenario() -> tuple[list[bytes], int]:
        tier, dialling, go = Tier(), trio.Event(), trio.Event()

        async def slow(address: object) -> trio.SocketStream:
            dialling.set()
            await go.wait()
            return await dial(address)

        monkeypatch.setattr(upstream, "_dial", slow)
        async with trio.open_nursery() as nursery:
            await tier.start(nursery)
            nursery.start_soon(tier.broker.run)
            tier.list_host()
            client = await tier.ask()
            await dialling.wait()
            stream = next(iter(tier.broker._streams.values()))
            end(client, "FIN")
            await tier.inbox.left.wait()
            await tier.broker.inbox.send(model.StreamWithdrawn(stream))
            await stream.answered.wait()
            go.set()
            await quiet()
            open_now = tier.pool.open
            nursery.cancel_scope.cancel()
        return tier.heads, open_now

    assert play(scenario) == ([], 0)


def test_a_second_copy_that_is_still_connecting_is_not_written_once_the_first_has_served() -> None:
    async def scenario() -> tuple[bool, Status]:
        stream = model.Stream("t", 0, trio.current_time() + 9, Ask(b"/x", (), b"body"))
        host = model.UpstreamHost(b"h", ("127.0.0.1", 9), Entry(b"h", State.READY))
        request = model.UpstreamRequest(stream, 1, host, stream.deadline)
        stream.answer = model.Served(b"")
        inbox, _keep = trio.open_memory_channel[model.Event](9)
        return request.sent, (
            await upstream.Upstreams(upstream.ConnectionLimits(0.2, 5.0, 4)).carry(request, inbox)
        ).status

    assert play(scenario) == (False, Status.NOT_SENT)


def test_what_a_client_sends_on_while_it_waits_is_answered_as_an_error_also_where_the_broker_saw_it_first() -> None:
    """The stream has ended, and the client is still there: it has to get an answer."""

    async def scenario() -> tuple[bytes, list[bytes]]:
        tier = Tier()
        async with trio.open_nursery() as nursery:
            await tier.start(nursery)
            client = await tier.ask()
            await tier.inbox.opened.wait()
            stream = tier.broker._events.receive_nowait()
            assert isinstance(stream, model.StreamOpened)
            tier.broker._on_opened(stream.stream, trio.current_time())
            await client.send_all(b"POST")
            tier.broker._on_withdrawn(stream.stream, trio.current_time())
            said = await read_all(client)
            nursery.cancel_scope.cancel()
        return said, tier.heads

    said, heads = play(scenario)
    assert said.startswith(b"HTTP/1.1 400") and heads == []


def test_a_job_that_its_client_has_deleted_goes_to_no_host_though_the_broker_has_not_heard() -> None:
    async def scenario(at: Beanstalkd) -> tuple[bytes, int]:
        lines = await at.connect()
        await at.say(lines, b"use seat-search")
        inserted = await at.say(lines, b"put 0 0 9 3\r\njob")
        assert inserted.startswith(b"INSERTED")
        await trio.sleep(0.05)  # it waits for a slot
        return await at.say(lines, b"delete " + inserted.split()[1]), len(at.runs)

    at = Beanstalkd()
    offered, take = trio.Event(), tubes.Hosts._take

    async def late(self: tubes.Hosts, crew: tubes.Crew) -> tubes.Slot | None:
        found = await take(self, crew)
        await offered.wait()
        return found

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(tubes.Hosts, "_take", late)
        withdrawn = Broker._on_withdrawn

        def unheard(self: Broker, stream: model.Stream, now: float) -> list[Any]:
            if not offered.is_set():
                offered.set()  # this is the withdrawal: it is lost, and the slot comes
                return []
            return withdrawn(self, stream, now)

        patch.setattr(Broker, "_on_withdrawn", unheard)
        deleted, runs = play(at.run, scenario)
    assert deleted == b"DELETED" and runs == 0 and not at.runs
