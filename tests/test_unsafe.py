"""A class that may not be repeated, over real sockets: sent again only where it surely never ran, never twice out."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import pytest
import trio

from tests.standins import DEADLINE, Platform, Told
from tests.support import Lines, play


def chunked(*lines: dict[str, Any]) -> bytes:
    parts = [json.dumps(line).encode() + b"\n" for line in lines]
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in parts
    )


class Rough(Platform):
    """Hosts that answer badly; second copies are allowed, and starts are told."""

    def __init__(self, steps: tuple[str, ...]) -> None:
        super().__init__(steps)
        self.out, self.most = Counter[bytes](), 0  # attempts of a job on open connections, and the most at once

    def conf(self) -> dict[str, Any]:
        conf = super().conf()
        conf["settings"]["limits"] |= {"secondCopies": True, "cancelling": True}
        conf["settings"]["familyInfo"] = {"tellsStart": True}
        return conf

    async def _host(self, name: str, stream: trio.SocketStream, lines: Lines) -> bool:
        _, headers = await lines.head()
        job = await lines.exactly(int(headers[b"content-length"]))
        assert b"idempotency-key" not in headers
        self.out[job] += 1
        self.most = max(self.most, self.out[job])
        try:
            return await self._answer(self.step(name, job), headers[b"x-txn"].decode(), job, stream)
        finally:
            self.out[job] -= 1

    async def _answer(self, step: str, txn: str, job: bytes, stream: trio.SocketStream) -> bool:
        begun = {"id": txn, "state": "started"}
        done = {"id": txn, "state": "done", "result": "R" + job.decode()}
        end = b"0\r\n\r\n"
        await trio.sleep(0.05)
        if step == "full":
            await stream.send_all(b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
        elif step == "busy":  # and does not say that it was turned away
            await stream.send_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        elif step in ("returned", "lost", "failed"):
            await stream.send_all(chunked(begun, {"id": txn, "state": step}) + end)
        elif step == "another's":
            await stream.send_all(chunked(begun, {**done, "id": "0"}) + end)
        elif step == "another's return":
            await stream.send_all(chunked({"id": "0", "state": "returned"}) + end)
        elif step == "garbage":
            await stream.send_all(chunked(begun) + b"5\r\n{]}!\n\r\n" + end)
        elif step == "no HTTP":
            await stream.send_all(b"\x00\xff\x01 nothing\r\n\r\n")
        elif step == "cut":
            await stream.send_all((chunked(begun, done))[:-9])
            return False
        elif step == "cut in its head":
            await stream.send_all(b"HTTP/1.1 503 Full\r\nX-Turned")
            return False
        elif step == "hang":
            await stream.send_all(chunked(begun))
            await stream.receive_some(1)  # until it is given up
            return False
        elif step == "endless":
            await stream.send_all(chunked(begun))
            while True:
                await stream.send_all(chunked({"id": txn, "state": "running", "share": 0.1}).partition(b"\r\n\r\n")[2])
                await trio.sleep(0.1)
        else:
            await stream.send_all(chunked(begun, done) + end)
            if step == "doubled":
                await trio.sleep(0.005)
                await stream.send_all(chunked(begun, done) + end)
        return True


@pytest.mark.parametrize(
    ("steps", "kind", "runs"),
    [
        (("full", "serve"), "served", 2),
        (("returned", "serve"), "served", 2),
        (("full", "returned", "serve"), "served", 3),
        (("full",), "refused", 3),
        (("busy", "serve"), "failed", 1),
        (("lost", "serve"), "failed", 1),
        (("failed", "serve"), "failed", 1),
        (("another's", "serve"), "failed", 1),
        (("another's return", "serve"), "failed", 1),
        (("garbage", "serve"), "failed", 1),
        (("no HTTP", "serve"), "failed", 1),
        (("cut", "serve"), "failed", 1),
        (("cut in its head", "serve"), "failed", 1),
        (("hang", "serve"), "failed", 1),
        (("endless", "serve"), "failed", 1),
        (("doubled",), "served", 1),
        (("full", "hang", "serve"), "failed", 2),
    ],
)
def test_it_is_sent_again_only_where_it_surely_never_ran(steps: tuple[str, ...], kind: str, runs: int) -> None:
    async def scenario(at: Rough) -> tuple[Told, float, list[str]]:
        begun = trio.current_time()
        told = await at.submit("pay-out", b"job")
        took = trio.current_time() - begun
        if steps == ("doubled",):  # the second answer is not taken for the next job's
            return told, took, [(await at.submit("pay-out", b"%d" % n)).kind for n in range(8)]
        return told, took, []

    at = Rough(steps)
    told, took, later = play(at.run, scenario)
    assert (told.kind, len(at.runs[b"job"])) == (kind, runs) and at.most == 1 and took < DEADLINE
    assert told.result == (b"Rjob" if kind == "served" else b"")
    assert set(later) <= {"served", "failed"} and all(len(found) == 1 for found in at.runs.values() if later)


def test_a_host_that_drains_with_it_finishes_it() -> None:
    async def scenario(at: Platform) -> Told:
        found: list[Told] = []

        async def ask() -> None:
            found.append(await at.submit("pay-out", b"job"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.3)
            for host in at.health:
                await at.drain_host(host)
        return found[0]

    at = Platform(["slow"])
    assert play(at.run, scenario) == Told("served", b"Rjob") and len(at.runs[b"job"]) == 1


def test_new_settings_that_make_a_class_unsafe_bind_what_comes_after_them() -> None:
    async def scenario(at: Platform) -> tuple[Told, Told]:
        before, found = at.plan(), list[Told]()

        async def ask() -> None:
            found.append(await at.submit("seat-search", b"old"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.3)  # it runs, and will fail
            at.lanes[0]["effect"] = "fragile"
            await at.reread(before)
        return found[0], await at.submit("seat-search", b"new")

    at = Slow(("fail", "serve"))
    old, new = play(at.run, scenario)
    assert (old.kind, len(at.runs[b"old"])) == ("served", 2)  # an open job keeps the class that it came by
    assert (new.kind, len(at.runs[b"new"])) == ("failed", 1)


class Slow(Platform):
    """Each job takes a second, also one that fails."""

    async def _host(self, name: str, stream: trio.SocketStream, lines: Lines) -> bool:
        _, headers = await lines.head()
        job = await lines.exactly(int(headers[b"content-length"]))
        step = self.step(name, job)
        await trio.sleep(1.0)
        end = {"state": "failed"} if step == "fail" else {"state": "done", "result": "R" + job.decode()}
        await stream.send_all(chunked({"id": headers[b"x-txn"].decode(), **end}) + b"0\r\n\r\n")
        return True
