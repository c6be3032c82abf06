"""What may still be written once time has passed since it was decided: a late connection, or a hold-up."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
import trio

from oxbowarch.brain import Brain
from oxbowarch.interface import Effect, Entry, JobClass, ListKind, Outcome, Request, Send, Settings, State, Status
from tests.standins import Beanstalkd
from tests.support import play
from tests.test_edges import FULL, carried, host_at, request_to, with_host
from thistleshore.beanstalkd import upstream as tubes
from thistleshore.core import model
from thistleshore.platform import upstream
from thistleshore.platform.messages import Ask

HOLD_UP = 0.15  # s, the longest that a dispatcher may be held up between a look at its clock and a write
WINDOW = 1.0  # s


@pytest.mark.parametrize(
    ("ended_at", "again"), [(WINDOW - HOLD_UP - 0.01, True), (WINDOW - HOLD_UP + 0.01, False), (WINDOW + 0.01, False)]
)
def test_a_keyed_repeat_is_not_decided_so_late_that_a_hold_up_takes_it_past_its_window(
    ended_at: float, again: bool
) -> None:
    # review/6: decided with 15 ms to spare, written 0.14 s later, and applied twice
    keyed = JobClass(Effect.KEYED, repeat_window=WINDOW, aim=2.0)
    brain = Brain(Settings(balancers=1, zone=0, classes=(keyed,)), 1, 0.0)
    brain.on_list(ListKind.FULL, tuple(Entry(b"h%d" % n, State.READY) for n in range(3)), 0.0)
    (first,) = (a for a in brain.on_request(Request(1, 0, 5.0), 0.0) if isinstance(a, Send))
    actions = brain.on_outcome(Outcome(1, 0, first.worker, Status.RESET, ended_at, False), ended_at)
    repeats = [a for a in actions if isinstance(a, Send)]
    assert len(repeats) == again
    assert all(repeat.not_after == pytest.approx(WINDOW - HOLD_UP) for repeat in repeats)


@pytest.mark.parametrize("limit", ["send_by", "deadline"])
def test_a_connection_that_comes_up_after_the_time_of_its_request_gets_no_byte(
    monkeypatch: pytest.MonkeyPatch, limit: str
) -> None:
    # related to review/6: connecting took up to its limit between the decision and the write
    dial = upstream._dial

    async def scenario(pool: upstream.Upstreams, host: model.UpstreamHost) -> Status:
        async def slow(address: object) -> trio.SocketStream:
            await trio.sleep(0.1)
            return await dial(address)

        monkeypatch.setattr(upstream, "_dial", slow)
        request = request_to(host)
        setattr(request, limit, trio.current_time() + 0.05)
        return (await carried(pool, request)).status

    assert play(with_host, scenario, [FULL]) == (Status.NOT_SENT, [])


def test_a_request_whose_host_does_not_read_is_given_up_before_its_last_byte_at_the_end_of_its_window() -> None:
    # related to review/6: an attempt counts once its last byte has come, and a full socket holds that back
    async def scenario() -> tuple[Status, bool, float]:
        with trio.socket.socket() as listener:
            await listener.bind(("127.0.0.1", 0))
            listener.listen()
            request = request_to(host_at(listener.getsockname()[1]))
            request.stream.payload = Ask(b"/x", (), b"x" * 50_000_000)
            request.send_by = trio.current_time() + 0.5
            begun = trio.current_time()
            outcome = await carried(upstream.Upstreams(upstream.ConnectionLimits(0.2, 5.0, 4)), request)
            return outcome.status, request.sent, trio.current_time() - begun

    status, sent, took = play(scenario)
    assert (status, sent) == (Status.CONNECT_FAILED, False) and took == pytest.approx(0.5, abs=0.05)


def test_a_slot_that_comes_after_the_window_of_a_job_is_not_given_it() -> None:
    # related to review/6 at the beanstalkd front: the wait for a slot lies between the decision and the write
    async def scenario(at: Beanstalkd) -> str:
        return (await at.submit("ticket-issue", b"job")).kind

    at = Beanstalkd(("drop", "serve"))
    take: Callable[..., Any] = tubes.Hosts._take

    async def late(self: tubes.Hosts, crew: tubes.Crew) -> tubes.Slot | None:
        if at.runs[b"job"]:
            await trio.sleep(2.0)  # the window of the contract
        return await take(self, crew)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(tubes.Hosts, "_take", late)
        kind = play(at.run, scenario)
    assert len(at.runs[b"job"]) == 1 and kind == "failed"
