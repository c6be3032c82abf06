"""Seeded mutants of the program, one for each check of the rig: `python -m tests.mutants NAME serve --config FILE`."""

from __future__ import annotations

import os
import sys
from typing import Any


def twice() -> None:
    """Keyed jobs are taken for ones that may run anywhere, again: `keyed`."""
    from oxbowarch.interface import Effect
    from thistleshore.config import operator

    operator.EFFECTS["keyed"] = Effect.SAFE


def deaf() -> None:
    """Nobody refutes what is said of it: `settled`, `living`."""
    from thistleshore.fleet.machine import Fleet

    Fleet._on_own_record = lambda self, record, now: None  # type: ignore[method-assign]


def silent() -> None:
    """Some answers are never sent: `answers`."""
    from thistleshore.platform.downstream import Downstream

    spoken = Downstream._answer  # type: ignore[attr-defined]
    count = 0

    async def answer(self: Any, *args: Any, **kwargs: Any) -> Any:
        nonlocal count
        count += 1
        if count % 7 == 0:
            import trio

            await trio.sleep_forever()
        return await spoken(self, *args, **kwargs)

    Downstream._answer = answer  # type: ignore[attr-defined]


def unheeding() -> None:
    """Hosts that are taken out by hand go on: `drained`."""
    from thistleshore.admin import codec, listener

    carry_out = listener.Admin._carry_out

    async def carried_out(self: Any, call: codec.Call) -> bytes:
        return codec.yes() if call.name == "DETACH" else await carry_out(self, call)

    listener.Admin._carry_out = carried_out  # type: ignore[method-assign]


def rough() -> None:
    """It ends with another status: `clean`."""
    from thistleshore import dispatcher

    serve = dispatcher.serve

    async def served(*args: Any, **kwargs: Any) -> None:
        await serve(*args, **kwargs)
        os._exit(3)

    from thistleshore import process

    process.serve = served


def _served(change: Any) -> None:
    """Each answer passes there first: `change(self, answer)` gives the one that is sent."""
    from thistleshore.platform.downstream import Downstream

    spoken = Downstream._answer

    async def answer(self: Any, peer: Any, answer: Any) -> Any:
        return await spoken(self, peer, await change(self, answer))

    Downstream._answer = answer  # type: ignore[method-assign]


def sluggish() -> None:
    """A version that answers, and late: half a second more."""
    import trio

    async def change(self: Any, answer: Any) -> Any:
        await trio.sleep(0.6)
        return answer

    _served(change)


def refusing() -> None:
    """A version that refuses one request in three."""
    from thistleshore.core.broker import Broker
    from thistleshore.core.model import LocalReply

    finish, count = Broker._finish, 0

    def finished(self: Any, stream: Any, answer: Any) -> None:
        nonlocal count
        count += 1
        finish(self, stream, LocalReply(0.0) if count % 3 == 0 else answer)

    Broker._finish = finished  # type: ignore[method-assign]


def refusing_tickets() -> None:
    """A version that refuses one request in two of the second class only."""
    from thistleshore.core.broker import Broker
    from thistleshore.core.model import LocalReply

    finish, count = Broker._finish, 0

    def finished(self: Any, stream: Any, answer: Any) -> None:
        nonlocal count
        count += stream.job_class == 1
        finish(self, stream, LocalReply(0.0) if stream.job_class == 1 and count % 2 else answer)

    Broker._finish = finished  # type: ignore[method-assign]


def never_ready() -> None:
    """A version that starts and never serves."""
    import time

    time.sleep(600.0)


def crashing() -> None:
    """A version that serves, and dies 0.4 s after it has first said so."""
    import threading

    from thistleshore.admin.listener import Admin

    carry_out = Admin._carry_out

    async def carried_out(self: Any, call: Any) -> bytes:
        if call.name == "PING" and self.ready():
            threading.Timer(0.4, lambda: os._exit(9)).start()
        return await carry_out(self, call)

    Admin._carry_out = carried_out  # type: ignore[method-assign]


def unlimited() -> None:
    """Whoever asks may go out, however many are: `limited`."""
    from thistleshore.releases import places

    places._limit_refusal = lambda *args: None


def uncounted_bodies() -> None:
    """A version counts before its body is on a majority, and only its pusher has it: `kept`."""
    from thistleshore.releases.carrier import Releases
    from thistleshore.releases.voter import Voter

    async def deposit(self: Any, body: bytes) -> int:
        return 0

    Releases.deposit = deposit  # type: ignore[method-assign]
    Voter._has_body = lambda self, digest: True  # type: ignore[method-assign]


def never_durable() -> None:
    """Versions are put in force and reported, and are on no disk: `forward`."""
    from thistleshore.configuration.store import VersionStore

    VersionStore.write = lambda self, stamp, body: None  # type: ignore[method-assign]


def believing_old() -> None:
    """Whatever another tells of last is believed, also an older version: `forward`."""
    from thistleshore.configuration.carrier import Applied, Distribution
    from thistleshore.distribution.machine import Distributor

    async def apply(self: Any, action: Any) -> None:
        await self.applier.apply(action.stamp, action.body)
        self._events.send_nowait(Applied(action.stamp))

    Distribution._apply = apply  # type: ignore[method-assign]
    Distributor._newer = staticmethod(lambda stamp, than: stamp != than)  # type: ignore[method-assign]


def clock_back() -> None:
    """No fault: this machine's wall clock is an hour behind."""
    import time

    now = time.time
    time.time = lambda: now() - 3600.0


MUTANTS = {"clock_back": clock_back, "twice": twice, "deaf": deaf, "silent": silent, "unheeding": unheeding,
           "rough": rough, "sluggish": sluggish, "refusing": refusing, "refusing_tickets": refusing_tickets,
           "never_ready": never_ready, "crashing": crashing, "unlimited": unlimited,
           "uncounted_bodies": uncounted_bodies, "never_durable": never_durable,
           "believing_old": believing_old}  # fmt: skip

if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    from thistleshore.cli import main

    sys.exit(main())
