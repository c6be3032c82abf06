"""The beanstalkd commands, one by one, as a stock client would have them answered."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import greenstalk
import pytest
import trio

from tests.standins import Beanstalkd
from tests.support import ROOT, Lines, free_port, play, program


class Quiet(Beanstalkd):
    """A dispatcher whose hosts the test plays itself."""

    async def start(self, nursery: trio.Nursery) -> None:
        return None

    async def reserve(self, lines: Lines, command: bytes = b"reserve-with-timeout 9") -> tuple[bytes, bytes]:
        reply = await self.say(lines, command)
        return await self.body(lines, reply)

    @staticmethod
    async def body(lines: Lines, reply: bytes) -> tuple[bytes, bytes]:
        words = reply.split()
        return b" ".join(words[:-1]), (await lines.exactly(int(words[-1]) + 2))[:-2]

    async def pair(self) -> tuple[Lines, Lines]:
        """A client that uses the ticket tube, and a host."""
        client, host = await self.connect(), await self.connect()
        assert await self.say(client, b"use pay-out") == b"USING pay-out"
        assert await self.say(host, b"watch worker.h1") == b"WATCHING 2"
        return client, host


def test_a_host_and_a_client_from_put_to_answer() -> None:
    async def scenario(at: Quiet) -> None:
        client, host = await at.pair()
        await host.stream.send_all(b"reserve\r\n")
        assert await at.say(client, b"put 7 0 9 3\r\njob") == b"INSERTED 1"
        assert await at.body(host, await host.line()) == (b"RESERVED 1", b"job")
        assert b"state: reserved" in (await at.body(client, await at.say(client, b"stats-job 1")))[1]
        assert await at.say(client, b"delete 1") == b"NOT_FOUND"  # it is in a host's hands
        assert await at.say(client, b"touch 1") == b"NOT_FOUND"
        assert await at.say(host, b"touch 1") == b"TOUCHED"
        assert (await at.say(host, b"use reply.1", b"put 0 0 9 2\r\nok")).startswith(b"INSERTED")
        assert await at.say(host, b"delete 1") == b"DELETED"
        assert await at.say(host, b"delete 1") == b"NOT_FOUND"
        await at.say(client, b"watch reply.1")
        (reserved, body) = await at.reserve(client)
        assert body == b"served\nok"
        number = reserved.split()[1]
        assert await at.say(client, b"release " + number + b" 0 0") == b"RELEASED"
        assert (await at.reserve(client, b"reserve-job " + number))[1] == b"served\nok"
        assert await at.say(client, b"delete " + number) == b"DELETED"
        assert await at.say(client, b"reserve-with-timeout 1") == b"TIMED_OUT"

    play(Quiet().run, scenario)


@pytest.mark.parametrize(("word", "reply"), [(b"bury 1 0", b"BURIED"), (b"release 1 0 0", b"RELEASED")])
def test_bury_and_release_may_have_run(word: bytes, reply: bytes) -> None:
    async def scenario(at: Quiet) -> None:
        client, host = await at.pair()
        await host.stream.send_all(b"reserve\r\n")
        await at.say(client, b"put 0 0 9 3\r\njob")
        await at.body(host, await host.line())
        assert await at.say(host, word) == reply
        await at.say(client, b"watch reply.1")
        assert (await at.reserve(client))[1].startswith(b"failed ")  # unsafe: it goes to no other host

    play(Quiet().run, scenario)


def test_a_holder_is_told_before_its_reservation_lapses() -> None:
    async def scenario(at: Quiet) -> None:
        client, host = await at.pair()
        await host.stream.send_all(b"reserve\r\n")
        await at.say(client, b"put 0 0 2 3\r\njob")
        await at.body(host, await host.line())
        begun = trio.current_time()
        assert await at.say(host, b"reserve-with-timeout 9") == b"DEADLINE_SOON"
        assert trio.current_time() - begun == pytest.approx(1.0, abs=0.1)
        assert await at.say(host, b"touch 1") == b"TOUCHED"
        assert await at.say(host, b"reserve-with-timeout 0") == b"TIMED_OUT"

    play(Quiet().run, scenario)


def test_a_job_that_nobody_holds_is_withdrawn_by_delete() -> None:
    async def scenario(at: Quiet) -> None:
        client, _ = await at.pair()
        await at.say(client, b"put 0 0 9 3\r\njob")
        assert (await at.body(client, await at.say(client, b"peek-ready"))) == (b"FOUND 1", b"job")
        assert (await at.body(client, await at.say(client, b"peek 1")))[1] == b"job"
        assert await at.say(client, b"delete 1") == b"DELETED"
        await trio.sleep(0.1)
        assert await at.say(client, b"peek 1") == b"NOT_FOUND"

    play(Quiet().run, scenario)


def test_a_job_that_no_host_takes_is_refused_with_a_time_to_come_back() -> None:
    async def scenario(at: Quiet) -> None:
        client = await at.connect()
        await at.say(client, b"use pay-out", b"put 0 0 9 3\r\njob", b"watch reply.1")
        word, seconds = (await at.reserve(client))[1].split()
        assert word == b"refused" and 0 < float(seconds) <= 2

    play(Quiet().run, scenario)


@pytest.mark.parametrize(
    ("command", "reply"),
    [(b"put 0 0 9 1\r\nx", b"BAD_FORMAT"), (b"use pay-out\r\nput 0 5 9 1\r\nx", b"BAD_FORMAT"),
     (b"watch worker.nobody", b"BAD_FORMAT"), (b"ignore default", b"NOT_IGNORED"), (b"kick 3", b"KICKED 0"),
     (b"kick-job 3", b"NOT_FOUND"), (b"pause-tube pay-out 1", b"NOT_FOUND"), (b"peek-delayed", b"NOT_FOUND"),
     (b"peek-buried", b"NOT_FOUND"), (b"reserve-job 3", b"NOT_FOUND"), (b"stats-job 3", b"NOT_FOUND"),
     (b"stats-tube nowhere", b"NOT_FOUND"), (b"list-tube-used", b"USING default"), (b"dance", b"UNKNOWN_COMMAND")],
)  # fmt: skip
def test_what_is_not_carried_out_answers_by_the_protocol(command: bytes, reply: bytes) -> None:
    async def scenario(at: Quiet) -> None:
        lines = await at.connect()
        *before, last = command.split(b"\r\n", 1) if command.startswith(b"use") else [command]
        assert await at.say(lines, *before, last) == reply
        assert (await at.say(lines, b"list-tubes-watched")).startswith(b"OK")  # the connection goes on

    play(Quiet().run, scenario)


@pytest.mark.parametrize("command", [b"stats", b"stats-tube pay-out", b"list-tubes", b"list-tubes-watched"])
def test_listings_are_yaml(command: bytes) -> None:
    async def scenario(at: Quiet) -> None:
        lines = await at.connect()
        head, body = await at.body(lines, await at.say(lines, command))
        assert head == b"OK" and body.startswith(b"---\n")
        assert all(b": " in item or item.startswith(b"- ") for item in body.split(b"\n")[1:-1])

    play(Quiet().run, scenario)


def test_jobs_are_bounded_in_number() -> None:
    async def scenario(at: Quiet) -> list[bytes]:
        lines = await at.connect()
        await at.say(lines, b"use pay-out")
        return [await at.say(lines, b"put 0 0 9 1\r\nx") for _ in range(3)]

    at = Quiet()
    file = at.file()
    at.file = lambda: {**file, "streams": 2}  # type: ignore[method-assign]
    assert play(at.run, scenario) == [b"INSERTED 1", b"INSERTED 2", b"OUT_OF_MEMORY"]


def test_a_stock_client_works_against_the_real_program(tmp_path: Path) -> None:
    port = free_port()
    example = (ROOT / "deploy" / "operator.toml").read_text().replace("11300", str(port))
    (tmp_path / "operator.toml").write_text(example)
    with program({"PROXY_OPERATOR": str(tmp_path / "operator.toml")}, port) as started:
        at = ("127.0.0.1", port)
        host = greenstalk.Client(at, watch=["worker.counter-1"])
        with host, greenstalk.Client(at, use="ticket-issue") as client:
            number = client.put("seat 7")
            job = host.reserve(timeout=5)
            assert (job.id, job.body) == (number, "seat 7")
            host.touch(job)
            host.use(f"reply.{number}")
            host.put("ticket 7")
            host.delete(job)
            client.watch(f"reply.{number}")
            answer = client.reserve(timeout=5)
            assert answer.body == "served\nticket 7"
            client.delete(answer)
            with pytest.raises(greenstalk.NotFoundError):
                host.delete(job)
            started.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            with pytest.raises(greenstalk.DrainingError):
                client.put("seat 8")
        assert started.wait(10) == 0
