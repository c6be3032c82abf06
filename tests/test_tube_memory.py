"""The beanstalkd front beside clients that leave, or that send or watch very much."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from tests.standins import HOSTS, Beanstalkd
from tests.support import Lines, end, play, read_all
from thistleshore.beanstalkd import downstream, replies
from thistleshore.beanstalkd.quotas import Share, SharedQuota
from thistleshore.beanstalkd.replies import Replies

PUT = b"put 0 0 60 4\r\n%04d\r\n"
SEARCH = b"use seat-search\r\n"


async def answer(at: Beanstalkd, lines: Lines, number: bytes) -> bytes:
    """The final answer of a job, or what came in its place."""
    reply = await at.say(lines, b"watch reply." + number, b"reserve-with-timeout 1")
    if not reply.startswith(b"RESERVED"):
        return reply
    _, reserved, size = reply.split()
    found = (await lines.exactly(int(size) + 2))[:-2]
    await at.say(lines, b"delete " + reserved)
    return found


async def put_all(at: Beanstalkd, lines: Lines, count: int) -> list[bytes]:
    """Put so many jobs one after the other; the replies."""
    await at.say(lines, SEARCH.strip())
    return [await at.say(lines, (PUT % n).strip(b"\r\n")) for n in range(count)]


# -- (a) clients that leave


async def write_and_close(at: Beanstalkd, how: str, size: int) -> None:
    """Put 100 jobs of this size at once, called 5000 and so on, and close before one of them is read."""
    client = await at.connect()
    await at.say(client, SEARCH.strip())
    puts = [b"put 0 0 60 %d\r\n%s\r\n" % (size, b"%04d" % (5000 + n) * (size // 4)) for n in range(100)]
    client.stream.socket._sock.send(b"".join(puts))  # type: ignore[attr-defined]
    end(client.stream, how)


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_jobs_of_a_client_that_closed_before_they_were_read_go_to_no_host(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    # picture (a) of issue 58: up to two of them were taken and sent on
    take = downstream.Tubes.take

    async def held_up(*given: Any) -> None:
        await take(*given)
        await trio.sleep(0.01)  # its host has a job that is taken before its client is told

    monkeypatch.setattr(downstream.Tubes, "take", held_up)

    async def scenario(at: Beanstalkd) -> int:
        await write_and_close(at, how, 4)
        await trio.sleep(3)
        return len(at.runs)

    assert play(Beanstalkd().run, scenario) == 0


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_job_whose_client_had_closed_before_it_was_told_is_not_sent_on_later(how: str) -> None:
    # picture (a): the close stands behind so many bytes that nothing shows of it before the job is taken
    async def scenario(at: Beanstalkd) -> list[float]:
        await put_all(at, await at.connect(), 2 * len(HOSTS) * at.SESSIONS + 6)  # for 0.1 s each: the next ones wait
        closed = trio.current_time()
        await write_and_close(at, how, 60_000)
        await trio.sleep(3)
        return [when - closed for job, runs in at.runs.items() if job[:1] == b"5" for _, when in runs]

    assert [after for after in play(Beanstalkd().run, scenario) if after > 0.1] == []


def test_jobs_of_a_client_that_has_ended_its_sending_and_reads_are_taken() -> None:
    # as by `nc -N`: its end alone does not say that it has gone
    async def scenario(at: Beanstalkd) -> tuple[bytes, int]:
        client = await trio.open_tcp_stream("127.0.0.1", at.port)
        await client.send_all(SEARCH + b"".join(PUT % n for n in range(20)))
        await client.send_eof()
        said = await read_all(client)
        await trio.sleep(3)
        return said, len(at.runs)

    said, runs = play(Beanstalkd().run, scenario)
    assert said.count(b"INSERTED") == 20 and runs == 20


def test_a_job_that_its_client_knows_to_be_taken_is_run_though_the_client_has_gone() -> None:
    async def scenario(at: Beanstalkd) -> bytes:
        await put_all(at, await at.connect(), len(HOSTS) * at.SESSIONS + 6)
        client = await at.connect()
        inserted = await at.say(client, SEARCH.strip(), b"put 0 0 60 4\r\nlate")
        assert b"late" not in at.runs
        end(client.stream, "FIN")
        await trio.sleep(4)
        return await answer(at, await at.connect(), inserted.split()[1])

    assert play(Beanstalkd().run, scenario) == b"served\nRlate"


def test_a_connection_that_has_sent_ahead_and_gone_while_it_waits_is_given_up() -> None:
    # related: it was looked at no more, and waited for good
    async def scenario(at: Beanstalkd) -> bytes:
        client = await trio.open_tcp_stream("127.0.0.1", at.port)
        await client.send_all(b"reserve\r\n")
        await trio.sleep(0.1)
        await client.send_all(b"stats\r\n")
        await trio.sleep(0.1)
        end(client, "FIN")
        await trio.sleep(2 * downstream.CLOSED_EVERY)
        lines = await at.connect()
        await lines.stream.send_all(b"stats\r\n")
        size = int((await lines.line()).split()[1])
        return await lines.exactly(size)

    at = Beanstalkd()
    assert b"current-connections: %d\n" % (1 + len(HOSTS) * at.SESSIONS) in play(at.run, scenario)


# -- (b) and (c): memory


def test_answers_wait_for_their_client_whatever_many_jobs_another_one_puts() -> None:
    # review/8: 512 later answers pushed them out
    async def scenario(at: Beanstalkd) -> list[bytes]:
        office, other = await at.connect(), await at.connect()
        numbers = [reply.split()[1] for reply in await put_all(at, office, 3)]
        replies = await put_all(at, other, 300)
        await trio.sleep(4)
        replies += await put_all(at, other, 300)
        end(other.stream, "FIN")
        await trio.sleep(4)
        assert all(reply.startswith(b"INSERTED") for reply in replies)
        return [await answer(at, office, number) for number in numbers]

    assert play(Beanstalkd().run, scenario) == [b"served\nR%04d" % n for n in range(3)]


def test_who_fetches_no_answers_gets_no_more_jobs_taken_and_others_do(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replies, "BYTES_MOST", 20 * replies.OBJECTS)
    monkeypatch.setattr(replies, "BYTES_LEAST", replies.OBJECTS)

    async def scenario(at: Beanstalkd) -> tuple[bytes, bytes, bytes]:
        hoarder, other = await at.connect(), await at.connect()
        for n in range(30):
            last = await at.say(hoarder, SEARCH.strip(), (PUT % n).strip(b"\r\n"))
            await trio.sleep(0.2)
        (inserted,) = await put_all(at, other, 1)
        found = await answer(at, other, inserted.split()[1])
        await trio.sleep(replies.KEPT)
        return last, found, await at.say(hoarder, (PUT % 99).strip(b"\r\n"))

    last, found, later = play(Beanstalkd().run, scenario)
    assert last == b"OUT_OF_MEMORY" and found == b"served\nR0000" and later.startswith(b"INSERTED")


def test_who_watches_very_many_tubes_leaves_others_room_to_watch_theirs(monkeypatch: pytest.MonkeyPatch) -> None:
    # picture (b) at this front: names of watched tubes grew by 2 MB a second
    monkeypatch.setattr(downstream, "WATCHED_BYTES_MOST", 20_000)
    monkeypatch.setattr(downstream, "WATCHED_BYTES_LEAST", 1000)

    async def scenario(at: Beanstalkd) -> tuple[bytes, bytes, bytes]:
        crowd = [await at.connect() for _ in range(8)]
        for lines in crowd:
            last = [await at.say(lines, b"watch %s%d" % (b"t" * 190, n)) for n in range(40)][-1]
        other = await at.connect()
        (inserted,) = await put_all(at, other, 1)
        found = await answer(at, other, inserted.split()[1])
        for lines in crowd:
            end(lines.stream, "FIN")
        await trio.sleep(1)
        return last, found, await at.say(other, b"watch " + b"u" * 190)

    last, found, later = play(Beanstalkd().run, scenario)
    assert last == b"OUT_OF_MEMORY" and found == b"served\nR0000" and later.startswith(b"WATCHING")


def test_who_holds_as_much_as_is_left_gets_no_more_but_for_a_minimum() -> None:
    quota = SharedQuota(1000)
    shares = [Share(quota, minimum=30) for _ in range(50)]
    for share in shares:
        while share.has_room:
            share.take(10)
    assert [share.held for share in shares[:3]] == [500, 250, 130]
    assert all(30 <= share.held <= 500 for share in shares) and shares[-1].held == 30
    for share in shares:
        share.give_back(share.held)
    assert quota.taken == 0


def test_replies_end_at_their_time_and_give_their_room_back() -> None:
    async def scenario() -> tuple[list[int], int, int]:
        kept = Replies()
        share, begun, counts = kept.new_share(), trio.current_time(), list[int]()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kept.expire)
            for n in range(3):
                kept.add(n, "reply.1", b"x" * 100, share)
                await trio.sleep(10)
            for at in (59, 61, 79, 81):
                await trio.sleep_until(begun + at)
                counts.append(len(kept.in_tube("reply.1")))
            nursery.cancel_scope.cancel()
        return counts, share.held, kept.quota.taken

    assert play(scenario) == ([3, 2, 1, 0], 0, 0)


def test_the_reply_to_half_a_command_is_not_lost_with_bytes_that_nobody_read(monkeypatch: pytest.MonkeyPatch) -> None:
    # a close over unread bytes resets the connection
    clients: list[trio.SocketStream] = []
    send = downstream.Connection.send

    async def crossed(self: downstream.Connection, data: bytes) -> None:
        await send(self, data)
        if data == b"BAD_FORMAT\r\n":
            clients[0].socket._sock.send(b"more")  # type: ignore[attr-defined]

    async def scenario(at: Beanstalkd) -> bytes:
        clients.append(await trio.open_tcp_stream("127.0.0.1", at.port))
        await clients[0].send_all(b"put 0 0 60 10\r\nhalf")
        said = b""
        while data := await clients[0].receive_some():  # a reset raises
            said += data
        return said

    monkeypatch.setattr(downstream.Connection, "send", crossed)
    assert play(Beanstalkd().run, scenario) == b"BAD_FORMAT\r\n"
