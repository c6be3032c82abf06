"""Small tests of guards: the pool, discovery, the gate, the broker and the program itself."""

from __future__ import annotations

import errno
import json
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import h11
import pytest
import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import Effect, Entry, JobClass, ListKind, Settings, State, Status
from oxbowarch.notes import NoteCodec
from tests.standins import Http, Told
from tests.support import ROOT, Lines, free_port, listening, play, program, read_all, socket_pair
from tests.test_config import PLATFORM
from thistleshore import invariants
from thistleshore.core import model
from thistleshore.core.broker import Broker
from thistleshore.gate import Gate
from thistleshore.platform import upstream
from thistleshore.platform.messages import Ask
from thistleshore.platform.peer import Peer
from thistleshore.platform.peers import Peers

ANSWER = b'{"id":"t","state":"done","result":"ok"}\n'


def host_at(port: int, state: State = State.READY) -> model.UpstreamHost:
    return model.UpstreamHost(b"h", ("127.0.0.1", port), Entry(b"h", state))


def request_to(host: model.UpstreamHost) -> model.UpstreamRequest:
    stream = model.Stream("t", 0, trio.current_time() + 9, Ask(b"/x", (), b"body"))
    return model.UpstreamRequest(stream, 0, host, stream.deadline)


async def carried(pool: upstream.Upstreams, request: model.UpstreamRequest) -> model.UpstreamOutcome:
    inbox, _keep = trio.open_memory_channel[model.Event](9)
    return await pool.carry(request, inbox)


async def with_host(scenario: Any, answers: list[bytes], hang_up: bool = False) -> tuple[Any, list[bytes]]:
    """Run the scenario against one host that gives these answers; returns what it was sent, too."""
    seen: list[bytes] = []

    async def handle(stream: trio.SocketStream) -> None:
        lines = Lines(stream)
        try:
            while True:
                _, headers = await lines.head()
                seen.append(await lines.exactly(int(headers[b"content-length"])))
                await stream.send_all(answers[min(len(seen), len(answers)) - 1])
                if hang_up:
                    return
        except (EOFError, trio.BrokenResourceError):
            pass

    pool = upstream.Upstreams(upstream.ConnectionLimits(0.2, 5.0, 4))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pool.run)
        found = await scenario(pool, host_at(await listening(nursery, handle)))
        nursery.cancel_scope.cancel()
    return found, seen


FULL = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(ANSWER), ANSWER)


def test_a_connection_that_its_host_closed_is_not_used_again() -> None:
    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> list[Status]:
        found = []
        for _ in range(3):
            found.append((await carried(pool, request_to(host))).status)
            await trio.sleep(0.5)
        assert pool.open <= 1
        return found

    found, seen = play(with_host, scenario, [FULL], True)
    assert found == [Status.OK] * 3 and len(seen) == 3


def test_an_idle_connection_is_used_again_then_retired() -> None:
    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> list[int]:
        opened = []
        for wait in (0.5, 4.0, 6.0):
            await carried(pool, request_to(host))
            await trio.sleep(wait)
            opened.append(pool.open)
        return opened

    found, _ = play(with_host, scenario, [FULL])
    assert found == [1, 1, 0]


def test_a_second_copy_of_a_refusal_proves_nothing_about_the_next_request() -> None:
    """It names no stream: taken for the answer to the next request it would say that this never ran."""
    full, ran = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", list[int]()

    async def handle(stream: trio.SocketStream) -> None:
        lines = Lines(stream)
        with suppress(EOFError, trio.BrokenResourceError):
            _, headers = await lines.head()
            await lines.exactly(int(headers[b"content-length"]))
            ran.append(len(ran))
            if len(ran) == 1:
                await stream.send_all(full)
                await trio.sleep(0.02)
                await stream.send_all(full)
                await trio.sleep_forever()
            await stream.send_all(FULL)

    async def scenario() -> list[Status]:
        pool = upstream.Upstreams(upstream.ConnectionLimits(0.2, 5.0, 4))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.run)
            host = host_at(await listening(nursery, handle))
            first = (await carried(pool, request_to(host))).status
            await trio.sleep(0.01)
            found = [first, (await carried(pool, request_to(host))).status]
            nursery.cancel_scope.cancel()
        return found

    assert play(scenario) == [Status.FULL, Status.OK] and len(ran) == 2


def test_a_host_that_drains_while_it_is_connected_to_gets_no_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    dial = upstream._dial

    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> Status:
        async def slow(address: object) -> trio.SocketStream:
            host.entry = host.entry._replace(state=State.DRAINING)
            return await dial(address)

        monkeypatch.setattr(upstream, "_dial", slow)
        return (await carried(pool, request_to(host))).status

    found, seen = play(with_host, scenario, [FULL])
    assert found is Status.NOT_SENT and not seen


@pytest.mark.parametrize(
    ("problem", "status"), [(errno.EMFILE, Status.NOT_SENT), (errno.ECONNREFUSED, Status.CONNECT_FAILED)]
)
def test_no_socket_left_is_no_fault_of_the_host(monkeypatch: pytest.MonkeyPatch, problem: int, status: Status) -> None:
    async def fail(address: object) -> trio.SocketStream:
        raise OSError(problem, "no")

    async def scenario() -> None:
        pool = upstream.Upstreams(upstream.ConnectionLimits(0.2, 5.0, 4))
        monkeypatch.setattr(upstream, "_dial", fail)
        assert (await carried(pool, request_to(host_at(1)))).status is status and pool.open == 0

    play(scenario)


def test_a_connection_that_never_comes_up_is_given_up_at_its_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def silent(address: object) -> trio.SocketStream:
        await trio.sleep_forever()
        raise AssertionError

    async def scenario() -> float:
        monkeypatch.setattr(upstream, "_dial", silent)
        begun = trio.current_time()
        request = request_to(host_at(1))
        found = await carried(upstream.Upstreams(upstream.ConnectionLimits(0.2, 5.0, 4)), request)
        assert found.status is Status.CONNECT_FAILED and not request.sent
        return trio.current_time() - begun

    assert play(scenario) == pytest.approx(0.2, abs=0.01)


def test_the_pool_is_bounded() -> None:
    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> list[Status]:
        pool.open = pool.limits.max_connections  # all in use
        return [(await carried(pool, request_to(host))).status]

    assert play(with_host, scenario, [FULL])[0] == [Status.NOT_SENT]


def test_datagrams_of_strangers_and_of_the_wrong_size_change_nothing() -> None:
    async def scenario() -> tuple[list[model.Event], Counter[str]]:
        counts, inbox = Counter[str](), trio.open_memory_channel[model.Event](9)
        ends = [trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) for _ in range(2)]
        for end in ends:
            await end.bind(("127.0.0.1", 0))
        peer, stranger = [end.getsockname() for end in ends]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            here = probe.getsockname()
        peers = Peers(here, (here, peer), peer, counts)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peers.run, inbox[0])
            await ends[1].sendto(b"bad", here)
            await ends[0].sendto(b"x" * 300, here)
            await ends[0].sendto(b"good", here)
            found = [await inbox[1].receive() for _ in range(2)]
            peers.send(b"to one", (1, 7))
            peers.send(b"to all", None)
            assert [(await ends[0].recvfrom(99))[0] for _ in range(2)] == [b"to one", b"to all"]
            nursery.cancel_scope.cancel()
        return found, counts

    found, counts = trio.run(scenario)
    assert found == [model.NotesReceived(1, b"x" * 257), model.NotesReceived(1, b"good")]
    assert counts == {"stranger": 1, "heard": 2, "told": 2}
    assert NoteCodec().read(1, found[0].data, 0.0) == ()  # type: ignore[union-attr]


def test_of_two_processes_on_one_datagram_socket_the_one_that_leaves_neither_hears_nor_tells() -> None:
    async def scenario() -> tuple[list[model.Event], Counter[str], Counter[str]]:
        end = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await end.bind(("127.0.0.1", 0))
        peer, here = end.getsockname(), ("127.0.0.1", free_port())
        inbox = trio.open_memory_channel[model.Event](99)
        counts = Counter[str](), Counter[str]()
        old = Peers(here, (here, peer), peer, counts[0], shared=True)
        new = Peers(here, (here, peer), peer, counts[1], inherited=old.socket.dup())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(old.run, inbox[0])
            nursery.start_soon(new.run, inbox[0])
            await trio.sleep(0.05)
            old.step_aside(True)
            old.send(b"contradiction", None)
            for n in range(20):
                await end.sendto(b"%d" % n, here)
            found = [await inbox[1].receive() for _ in range(20)]
            old.step_aside(False)  # the one that took over has gone
            old.send(b"again", None)
            assert (await end.recvfrom(99))[0] == b"again"
            nursery.cancel_scope.cancel()
        return found, *counts

    found, old, new = trio.run(scenario)
    assert found == [model.NotesReceived(1, b"%d" % n) for n in range(20)]
    assert (old["heard"], old["told"], new["heard"]) == (0, 1, 20)


def test_the_gate_survives_a_lack_of_descriptors_and_bounds_its_connections() -> None:
    class Listener:
        def __init__(self) -> None:
            self.left = 2

        async def accept(self) -> trio.SocketStream:
            self.left -= 1
            if self.left >= 0:
                raise OSError(errno.EMFILE, "too many")
            await trio.sleep_forever()
            raise AssertionError

    async def scenario() -> None:
        gate, listener = Gate(1), Listener()
        with trio.move_on_after(1.0):
            async with trio.open_nursery() as nursery:
                await gate._accept(listener, nursery, lambda stream: trio.sleep(0))  # type: ignore[arg-type]
        assert listener.left == -1
        gate.connections = 1
        with trio.move_on_after(1.0), gate.waiting(socket_pair()[0], None) as idle:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(gate._accept, listener, nursery, trio.sleep)
                await trio.sleep_forever()
        assert idle.cancel_called  # the longest idle made room

    play(scenario)


def test_a_fault_in_the_module_answers_its_stream_and_the_broker_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        broker = Broker(Brain(Settings(balancers=1, zone=0, classes=(JobClass(Effect.SAFE),)), 1, 0.0))
        monkeypatch.setattr("thistleshore.core.broker.invariant", lambda holds, name: holds)  # as a release build
        async with trio.open_nursery() as nursery:
            nursery.start_soon(broker.run)
            await broker.inbox.send(model.HostListReceived(ListKind.CACHED, ()))
            streams = [model.Stream(str(n), n, trio.current_time() + 2) for n in range(2)]
            with monkeypatch.context() as broken:
                broken.setattr(broker.brain, "on_request", lambda ask, now: 1 / 0)
                await broker.inbox.send(model.StreamOpened(streams[0]))
                await streams[0].answered.wait()
            streams[1].job_class = 0
            await broker.inbox.send(model.StreamOpened(streams[1]))
            await streams[1].answered.wait()
            nursery.cancel_scope.cancel()
        assert isinstance(streams[0].answer, model.Failed) and isinstance(streams[1].answer, model.LocalReply)

    play(scenario)


def test_invariants_are_asserted_in_debug_and_counted_in_release() -> None:
    with pytest.raises(AssertionError, match="it holds"):
        invariants.invariant(False, "it holds")
    program = "from thistleshore.invariants import *; print(invariant(False, 'x'), invariant(True, 'x'), broken['x'])"
    ran = subprocess.run([sys.executable, "-O", "-c", program], capture_output=True, text=True, cwd=ROOT, check=True)
    assert ran.stdout.split() == ["False", "True", "1"] and "invariant broken: x" in ran.stderr


def test_the_program_gets_ready_and_ends_with_0_on_sigterm(tmp_path: Path) -> None:
    port = free_port()
    conf = {**PLATFORM, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{free_port()}"}
    (tmp_path / "config.json").write_text(json.dumps(conf))

    async def ready() -> bytes:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream:
            await Peer(stream, h11.CLIENT).send(
                h11.Request(method="GET", target="/-/ready", headers=[("host", "s"), ("connection", "close")]),
                h11.EndOfMessage())  # fmt: skip
            return await read_all(stream)

    with program({"PROXY_CONFIG": str(tmp_path / "config.json")}, port) as started:
        assert trio.run(ready).startswith(b"HTTP/1.1 200")
        started.send_signal(signal.SIGTERM)
        assert started.wait(10) == 0
        assert started.stderr is not None and b"drained" in started.stderr.read()


def test_a_faulty_configuration_ends_the_program_with_a_message() -> None:
    command = [sys.executable, "-m", "thistleshore"]
    ran = subprocess.run(command, env={}, cwd=ROOT, capture_output=True, text=True, check=False)
    assert ran.returncode == 2 and "PROXY_CONFIG" in ran.stderr


def test_an_id_that_is_open_is_not_taken_twice() -> None:
    async def scenario(at: Http) -> list[Told]:
        found: list[Told] = []

        async def ask() -> None:
            found.append(await at.submit("seat-search", b"job"))

        at.numbers = iter([5, 5])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.05)
            nursery.start_soon(ask)
        return found

    at = Http()
    assert [told.kind for told in play(at.run, scenario)] == ["failed", "served"]
    assert len(at.runs[b"job"]) == 1


def test_sighup_moves_discovery_and_never_ends_the_program(tmp_path: Path) -> None:
    port, called = free_port(), [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    ports = [server.getsockname()[1] for server in called]
    file = tmp_path / "config.json"

    def write(more: dict[str, Any]) -> None:
        file.write_text(json.dumps({**PLATFORM, "listen": f"127.0.0.1:{port}", **more}))

    def first_line(server: socket.socket) -> bytes:
        server.settimeout(5)
        with server.accept()[0] as link:
            return link.recv(999).partition(b"\r\n")[0]

    write({"discovery": f"127.0.0.1:{ports[0]}"})
    environ = {"PROXY_CONFIG": str(file), "PROXY_DISCOVERY": f"127.0.0.1:{ports[0]}"}
    with program(environ, port) as started:
        assert first_line(called[0]) == b"GET /api/targets HTTP/1.1"
        file.write_text("{")
        started.send_signal(signal.SIGHUP)
        write({"discovery": f"127.0.0.1:{ports[1]}", "limits": {"sockets": 999}})
        for _ in range(2):
            time.sleep(0.2)
            started.send_signal(signal.SIGHUP)
        assert first_line(called[1]) == b"GET /api/targets HTTP/1.1"
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            started.send_signal(number)
            time.sleep(0.1)
        assert started.wait(10) == 0
        assert started.stderr is not None
        log = started.stderr.read()
    assert b"a restart is needed for limits" in log and b"discovery moves to 127.0.0.1" in log
    assert b"discovery stays" in log and b"drained" in log
    for server in called:
        server.close()


def test_no_module_of_a_front_imports_one_that_imports_it() -> None:
    """Also not for its types alone: whoever reads the one must not need the other."""
    import ast

    folder = ROOT / "thistleshore" / "platform"
    seen: dict[str, set[str]] = {}
    for file in folder.glob("*.py"):
        found_here = [node for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, ast.ImportFrom)]
        names = [node.module or "" for node in found_here]
        seen[file.stem] = {name.rpartition(".")[2] for name in names if name.startswith("thistleshore.platform.")}
    for name, needs in seen.items():
        found, queue = set(), list(needs)
        while queue:
            if (other := queue.pop()) not in found:
                found.add(other)
                queue += seen.get(other, ())
        assert name not in found, name
