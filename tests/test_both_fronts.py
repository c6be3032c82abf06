"""One fault script over both protocols: the same final answers, repeats and drain timing."""

from __future__ import annotations

from contextlib import suppress

import pytest
import trio

from tests.standins import DEADLINE, HOSTS, Beanstalkd, Http, Told, World
from tests.support import play

FRONTS = pytest.mark.parametrize("world", [Http, Beanstalkd])

SCRIPT = [  # class, what hosts do with the job run by run, the final answer, runs
    ("seat-search", ["serve"], "served", 1),
    ("ticket-issue", ["serve"], "served", 1),
    ("seat-search", ["fail", "serve"], "served", 2),
    ("seat-search", ["drop", "fail", "serve"], "served", 3),
    ("seat-search", ["fail"], "refused", 3),
    ("seat-search", ["hang"], "refused", 1),
    ("ticket-issue", ["fail", "serve"], "served", 2),
    ("ticket-issue", ["drop", "serve"], "served", 2),
    ("ticket-issue", ["hang"], "failed", 1),
    ("pay-out", ["serve"], "served", 1),
    ("pay-out", ["fail", "serve"], "failed", 1),
    ("pay-out", ["drop", "serve"], "failed", 1),
    ("pay-out", ["hang"], "failed", 1),
]


@FRONTS
@pytest.mark.parametrize(("job_class", "steps", "kind", "runs"), SCRIPT)
def test_the_script(world: type[World], job_class: str, steps: list[str], kind: str, runs: int) -> None:
    async def scenario(at: World) -> tuple[Told, float]:
        begun = trio.current_time()
        return await at.submit(job_class, b"job"), trio.current_time() - begun

    at = world(steps)
    told, took = play(at.run, scenario)
    assert told.kind == kind and len(at.runs[b"job"]) == runs
    assert told.result == (b"Rjob" if kind == "served" else b"")
    assert (told.retry_after > 0) == (kind == "refused")
    assert took < DEADLINE and ("hang" not in steps or took > DEADLINE - 0.2)
    if job_class == "ticket-issue":  # never outside the bay that drops repeats, nor after its window
        times = [when for _, when in at.runs[b"job"]]
        assert len({HOSTS[host] for host, _ in at.runs[b"job"]}) == 1 and times[-1] - times[0] <= 2.0


@FRONTS
def test_a_drain_finishes_what_was_taken_and_takes_nothing_more(world: type[World]) -> None:
    async def scenario(at: World) -> tuple[Told, str, float]:
        answers: list[Told] = []
        late = "closed"

        async def ask() -> None:
            answers.append(await at.submit("ticket-issue", b"job"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.3)
            begun = trio.current_time()
            at.drain.set()
            await trio.sleep(0.65)  # past the late connections that a front still deals out
            with suppress(OSError):
                late = (await at.submit("ticket-issue", b"late")).kind
        return answers[0], late, begun

    at = world(["slow"])
    told, late, begun = play(at.run, scenario)
    assert told == Told("served", b"Rjob") and late == "closed" and not at.runs[b"late"]
    assert 0.65 < at.ended - begun < 0.95  # the job was due 1 s after its start, 0.3 s before the drain


@FRONTS
def test_an_idle_dispatcher_drains_once_late_connections_are_over(world: type[World]) -> None:
    async def scenario(at: World) -> float:
        return trio.current_time()

    at = world()
    begun = play(at.run, scenario)
    assert 0.5 < at.ended - begun < 0.7


@FRONTS
def test_a_draining_host_gets_nothing_new(world: type[World]) -> None:
    async def scenario(at: World) -> None:
        await at.drain_host("h1")
        await trio.sleep(0.5)
        for n in range(40):
            assert (await at.submit("seat-search", b"%d" % n)).kind == "served"

    at = world()
    play(at.run, scenario)
    assert {host for runs in at.runs.values() for host, _ in runs} == {"h2", "h3", "h4"}


def test_put_is_told_of_the_drain_on_a_connection_that_was_there() -> None:
    async def scenario(at: Beanstalkd) -> bytes:
        lines = await at.connect()
        at.drain.set()
        await trio.sleep(0.1)
        return await at.say(lines, b"use seat-search", b"put 0 0 9 1\r\nx")

    assert play(Beanstalkd().run, scenario) == b"DRAINING"


@pytest.mark.parametrize(("job_class", "kind", "runs"), [("ticket-issue", "served", 2), ("pay-out", "failed", 1)])
def test_a_lapsed_reservation_may_have_run(job_class: str, kind: str, runs: int) -> None:
    async def scenario(at: Beanstalkd) -> Told:
        told = await at.submit(job_class, b"job", ttr=1)
        await trio.sleep(2.0)  # for the first host's late result and its `delete`
        return told

    at = Beanstalkd(["lapse", "serve"])
    told = play(at.run, scenario)
    assert told.kind == kind and len(at.runs[b"job"]) == runs
    assert len({HOSTS[host] for host, _ in at.runs[b"job"]}) == 1 and at.late == b"NOT_FOUND"


def test_a_lapsed_ticket_past_its_window_goes_to_nobody() -> None:
    async def scenario(at: Beanstalkd) -> Told:
        return await at.submit("ticket-issue", b"job", ttr=2)

    at = Beanstalkd(["hang", "serve"])
    assert play(at.run, scenario).kind == "failed" and len(at.runs[b"job"]) == 1


def test_a_client_that_drops_mid_put_has_put_nothing() -> None:
    async def scenario(at: Beanstalkd) -> None:
        lines = await at.connect()
        await at.say(lines, b"use ticket-issue")
        await lines.stream.send_all(b"put 0 0 60 10\r\nhalf")
        await lines.stream.aclose()
        await trio.sleep(1.0)

    at = Beanstalkd()
    play(at.run, scenario)
    assert not at.runs


def test_a_client_that_goes_away_withdraws_its_stream() -> None:
    async def scenario(at: Http) -> None:
        with trio.move_on_after(0.2):
            await at.submit("seat-search", b"job")
        at.drain.set()

    at = Http(["hang"])
    play(at.run, scenario)
    assert len(at.runs[b"job"]) == 1
    assert at.ended < 0.5 + 0.2 + 0.7  # nothing is waited for: the upstream request was called off


def test_connections_to_hosts_are_used_again_and_one_that_was_closed_is_not() -> None:
    async def scenario(at: Http) -> list[Told]:
        return [await at.submit("ticket-issue", b"%d" % n) for n in range(8)]

    at = Http(["serve"])
    opened: list[str] = []
    listen = at._host

    async def host(name: str, stream: trio.SocketStream, lines: object) -> bool:
        opened.append(name)
        await listen(name, stream, lines)  # type: ignore[arg-type]
        return len(opened) % 3 > 0  # every third time it closes behind its answer

    at._host = host  # type: ignore[method-assign]
    assert {told.kind for told in play(at.run, scenario)} == {"served"}
    assert all(len(runs) == 1 for runs in at.runs.values())


@FRONTS
def test_a_fast_failer_does_not_attract_work(world: type[World]) -> None:
    async def scenario(at: World) -> None:
        for n in range(40):
            assert (await at.submit("seat-search", b"%d" % n)).kind == "served"

    at = world()
    step = at.step
    at.step = lambda host, job: "fail" if step(host, job) and host == "h1" else "serve"  # type: ignore[method-assign]
    play(at.run, scenario)
    failed = sum(host == "h1" for runs in at.runs.values() for host, _ in runs)
    assert 0 < failed <= 6  # in some 5 s, shunned for a doubling time after each
