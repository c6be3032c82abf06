"""Random cuts of valid messages, and random garbage, against every parser."""

from __future__ import annotations

import json
import math

import h11
import pytest
import trio
from hypothesis import example, given, strategies as st

from oxbowarch.interface import ListKind, Report, State, Status
from thistleshore.beanstalkd.codec import (
    BAD_FORMAT,
    EXPECTED_CRLF,
    JOB_TOO_BIG,
    UNKNOWN_COMMAND,
    Command,
    Decoder,
    Fault,
    read_command,
)
from thistleshore.core import model
from thistleshore.platform import messages
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.peer import Peer
from thistleshore.platform.start_times import at_epoch
from thistleshore.platform.upstream import Upstreams, ConnectionLimits
from tests.support import CUTS, GARBAGE, PAUSE, commands, pieces, play, socket_pair, steady, talk

NAMES = messages.ListNames({"a": 0, "b": 1}, {"m2": 0})
ROUTES = messages.Routes({"render": 0}, [5.0], {"acme": 0})
PUTS = b"use mail\r\nput 1 0 60 4\r\na\r\nb\r\nreserve-with-timeout 3\r\nput 0 0 1 0\r\n\r\nquit\r\n"
POST = (
    b"POST /render HTTP/1.1\r\nHost: s\r\nX-Txn: 9b1f\r\nX-Lane: render\r\nX-Remaining-Ms: 480\r\n"
    b"Cookie: k=ff\r\nContent-Length: 3\r\n\r\nabc"
)


# -- beanstalkd


@steady
@given(CUTS)
def test_cut_commands_are_the_same_commands(cuts: list[int]) -> None:
    found = list(commands(pieces(PUTS, cuts), Decoder(100)))
    assert found == [
        Command("use", (), "mail"),
        Command("put", (1, 0, 60, 4), "", b"a\r\nb"),
        Command("reserve-with-timeout", (3,)),
        Command("put", (0, 0, 1, 0)),
        Command("quit"),
    ]


@steady
@given(GARBAGE, CUTS)
@example(b"x" * 300 + b"\r\nquit\r\n", [])
def test_garbage_before_a_command_is_answered_and_held_within_bounds(data: bytes, cuts: list[int]) -> None:
    decoder = Decoder(100)
    found = list(commands(pieces(data, cuts), decoder))
    assert all(isinstance(item, Command | Fault) for item in found)
    assert len(decoder._held) <= 224 + 102


@pytest.mark.parametrize(
    ("sent", "fault"),
    [
        (b"put 0 0 1 101\r\n" + b"z" * 101 + b"\r\n", JOB_TOO_BIG),
        (b"put 0 0 1 2\r\nabcd\r\n", EXPECTED_CRLF),
        (b"put 0 0 1 -1\r\n", BAD_FORMAT),
        (b"use " + b"n" * 201 + b"\r\n", BAD_FORMAT),
        (b"x" * 999 + b"\r\n", BAD_FORMAT),
        (b"dance\r\n", UNKNOWN_COMMAND),
        (b"\xff\r\n", UNKNOWN_COMMAND),
        (b"use -a\r\n", BAD_FORMAT),
        (b"delete 99999999999999999999\r\n", BAD_FORMAT),
    ],
)
def test_faults_have_the_published_names_and_the_next_command_is_sound(sent: bytes, fault: Fault) -> None:
    for step in (1, 7, 1000):
        parts = [sent[n : n + step] for n in range(0, len(sent), step)]
        assert list(commands([*parts, b"quit\r\n"], Decoder(100))) == [fault, Command("quit")]


def test_a_put_cut_off_is_no_command() -> None:
    whole = b"put 0 0 1 3\r\nabc\r\n"
    assert all(not list(commands([whole[:n]], Decoder(100))) for n in range(len(whole)))
    assert read_command(b"use  x") == BAD_FORMAT


# -- the platform's messages


@steady
@given(GARBAGE)
@example(b"[" * 5000)
@example(b'{"hosts":[{"host":"s","dial":"a:1","health":"active","born_ms":1e999}],"seq":1,"whole":true}')
def test_garbage_is_malformed_to_lines_lists_and_reports(data: bytes) -> None:
    with pytest.raises(messages.Malformed):
        messages.read_line(data, "id")
    with pytest.raises(messages.Malformed):
        messages.read_hosts(data, NAMES, at_epoch(0.0))
    assert isinstance(messages.read_pressure(data.decode("latin-1")), Report | None)


@steady
@given(
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=3),
        lambda inner: st.dictionaries(st.sampled_from(["id", "state", "result", "load", "x0"]), inner),
    )
)
def test_any_json_is_a_line_about_this_stream_or_malformed(value: object) -> None:
    try:
        line = messages.read_line(json.dumps(value).encode(), "id")
    except messages.Malformed:
        return
    assert isinstance(value, dict) and value["id"] == "id" and (line.status is not Status.OK or "result" in value)


def test_reports_are_read_by_either_name_and_out_of_reason_is_absent() -> None:
    assert messages.read_pressure("TEXT x0=2, inflight=7, eps=0.1") == Report(2.0, None, 7.0)
    assert messages.read_report({"rif": 3, "q": True, "x0": math.inf}) == Report(None, None, 3.0)
    assert messages.read_report({"x0": -1}) is None


def test_a_list_in_the_core_s_terms() -> None:
    host = {
        "host": "s-1",
        "dial": "127.0.0.1:5",
        "site": "b",
        "class": "m2",
        "block": 3,
        "health": "leaving",
        "share": 0.5,
        "born_ms": 2000,
    }
    seq, kind, (line,) = messages.read_hosts({"seq": 4, "whole": False, "hosts": [host]}, NAMES, at_epoch(10.0))
    assert (seq, kind, line.address) == (4, ListKind.CHANGES, ("127.0.0.1", 5))
    assert line.entry[:6] == (b"s-1", State.DRAINING, 1, 0, 3, 12.0)
    for health, state in (("odd", State.DRAINING), ("left", State.GONE)):
        body = json.dumps({"seq": 4, "whole": False, "hosts": [{**host, "health": health}]}).encode()
        assert messages.read_hosts(body, NAMES, at_epoch(10.0))[2][0].entry.state is state
    lost = {"host": "s-1", "health": "left"}
    assert messages.read_hosts({"seq": 4, "whole": False, "hosts": [lost]}, NAMES, at_epoch(0.0))[2][0].address is None


# -- the downstream side


async def serve_each(downstream: Downstream, events: trio.MemoryReceiveChannel[model.Event]) -> None:
    async for event in events:
        if isinstance(event, model.StreamOpened):
            if event.stream.name == "slow":
                continue  # open until it is withdrawn
            event.stream.answer = model.Served(b"ok")
        event.stream.answered.set()  # type: ignore[union-attr]


async def converse(parts: list[bytes]) -> bytes:
    inbox, events = trio.open_memory_channel[model.Event](9)
    downstream = Downstream(ROUTES, trio.Event(), inbox, 9)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_each, downstream, events)
        said = await talk(downstream._connection, parts)
        nursery.cancel_scope.cancel()
    return said


@steady
@given(CUTS)
def test_cut_requests_get_one_whole_answer_each(cuts: list[int]) -> None:
    said = play(converse, [*pieces(POST, cuts), PAUSE, *pieces(POST.replace(b"9b1f", b"9b20"), cuts)])
    assert said.count(b"HTTP/1.1 200") == 2 and said.count(b"\r\n\r\nok") == 2


HIDDEN = POST.replace(b"9b1f", b"9b20")
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        POST + HIDDEN,
        POST.replace(
            b"Length: 3\r\n\r\nabc",
            b"Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s" % (len(HIDDEN) + 5, HIDDEN),
        ),
        POST.replace(
            b"Content-Length: 3\r\n\r\nabc", CHUNKED.replace(b"\r\n\r\n3", b"\r\nContent-Length: 13\r\n\r\n3")
        ),
        POST.replace(b"Content-Length: 3", b"Content-Length: 3\r\ncontent-length: 3"),
        POST.replace(b"Content-Length: 3", b"Content-Length: 3, 3"),
    ],
)
def test_a_request_that_may_hide_another_is_refused_whole(sent: bytes) -> None:
    said = play(converse, [sent])
    assert said.startswith(b"HTTP/1.1 400") and said.count(b"HTTP/1.1") == 1
    assert b"\r\nconnection: close" in said.lower()


def test_a_request_sent_behind_one_that_is_open_ends_both() -> None:
    said = play(converse, [POST.replace(b"9b1f", b"slow"), PAUSE, HIDDEN])
    assert said.startswith(b"HTTP/1.1 400") and said.count(b"HTTP/1.1") == 1


@steady
@given(GARBAGE, CUTS)
@example(b"GET / HTTP/1.1\r\nA: " + b"x" * 20000, [])
def test_garbage_is_a_4xx_or_nothing(data: bytes, cuts: list[int]) -> None:
    said = play(converse, pieces(data, cuts))
    assert said == b"" or said.startswith(b"HTTP/1.1 4")


@pytest.mark.parametrize(
    ("old", "new", "status"),
    [
        (b"X-Txn: 9b1f\r\n", b"", 400),
        (b"480", b"soon", 400),
        (b"480", b"-1", 400),
        (b"render", b"paint", 404),
        (b"480", b"4_8", 400),
        (b"480", b"\xb2", 400),
        (b"480", b"9" * 5000, 400),
        (b"480", b"1e3", 400),
        (b"480", b"480\r\nX-Remaining-Ms: 9", 400),
        (b"9b1f", b"9b1f\r\nX-Txn: 9b20", 400),
        (b"/render", b"/paint", 400),
        (b"Length: 3", b"Length: -3", 400),
        (b"Length: 3", b"Length: " + b"9" * 5000, 400),
        (b"POST", b"PUT", 405),
        (b"POST", b"HEAD", 405),
        (b"Length: 3", b"Length: 65537", 413),
        (b"Length: 3", b"Length: x", 400),
        (
            b"/render HTTP/1.1\r\nHost: s\r\nX-Txn: 9b1f\r\nX-Lane: render",
            b"/render HTTP/1.1\r\nHost: s\r\nX-Txn: 9",
            200,
        ),
        (b"/render", b"/-/ready", 400),
    ],
)
def test_bad_requests_are_told_apart(old: bytes, new: bytes, status: int) -> None:
    said = play(converse, [POST.replace(old, new)])
    assert said.startswith(b"HTTP/1.1 %d" % status) and (status == 200 or b"\r\nconnection: close" in said.lower())


def test_a_body_in_chunks_is_bounded_too() -> None:
    head = POST.replace(b"Content-Length: 3\r\n\r\nabc", b"Transfer-Encoding: chunked\r\n\r\n")
    assert play(
        converse, [head, b"8000\r\n" + b"a" * 32768 + b"\r\n"] * 1 + [b"8001\r\n" + b"a" * 32769 + b"\r\n"]
    ).startswith(b"HTTP/1.1 413")


# -- the upstream side

DONE = b'{"id":"9b1f","state":"started"}\n{"id":"9b1f","state":"done","result":"caf\\u00e9","load":{"x0":1}}\n'


async def answered(parts: list[bytes]) -> model.UpstreamOutcome:
    ours, theirs = socket_pair()
    peer = Peer(ours, h11.CLIENT)
    request = model.UpstreamRequest(model.Stream("9b1f", 0, 99.0), 0, model.UpstreamHost(b"h", None, None), 99.0)  # type: ignore[arg-type]
    inbox, _keep = trio.open_memory_channel[model.Event](9)
    await peer.send(h11.Request(method="POST", target="/", headers=[("host", "h")]), h11.EndOfMessage())
    for part in parts:
        await theirs.send_all(part)
    theirs.socket.close()
    try:
        return (await Upstreams(ConnectionLimits(0.2, 9.0, 9))._answer(peer, request, inbox))[0]
    except (h11.RemoteProtocolError, trio.BrokenResourceError, messages.Malformed):
        return model.UpstreamOutcome(Status.RESET)
    finally:
        peer.close()


def chunked(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


@steady
@given(CUTS)
def test_a_cut_answer_is_the_same_answer(cuts: list[int]) -> None:
    outcome = play(answered, pieces(chunked(DONE), cuts))
    assert outcome == model.UpstreamOutcome(Status.OK, "café".encode(), Report(1.0))


@steady
@given(st.integers(0, len(chunked(DONE)) - 20))
def test_an_answer_cut_off_before_its_last_line_is_a_reset(size: int) -> None:
    assert play(answered, [chunked(DONE)[:size]]).status is Status.RESET


@steady
@given(GARBAGE)
def test_garbage_from_a_host_serves_nothing(data: bytes) -> None:
    assert play(answered, [data]).result is None
    assert play(answered, [chunked(data)]).result is None


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"500 No", Status.ERROR),
        (b"503 No", Status.ERROR),
        (b"503 No\r\nX-Turned-Away: 1", Status.FULL),
        (b"504 No\r\nX-Turned-Away: 1", Status.FULL),
        (b"500 No\r\nX-Turned-Away: 1", Status.ERROR),
    ],
)
def test_what_comes_back_is_the_protocol_s_outcome(head: bytes, status: Status) -> None:
    outcome = play(answered, [b"HTTP/1.1 " + head + b"\r\nX-Pressure: TEXT x0=2\r\nContent-Length: 0\r\n\r\n"])
    assert outcome == model.UpstreamOutcome(status, None, Report(2.0))


@pytest.mark.parametrize(
    ("state", "status"), [("failed", Status.ERROR), ("returned", Status.FULL), ("lost", Status.RESET)]
)
def test_last_lines_are_the_protocol_s_outcomes(state: str, status: Status) -> None:
    assert play(answered, [chunked(b'{"id":"9b1f","state":"%s"}\n' % state.encode())]).status is status


def test_a_result_for_another_stream_is_never_served() -> None:
    assert play(answered, [chunked(DONE.replace(b"9b1f", b"9b20"))]).result is None
