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

    Fleet._about_me = lambda self, record, now: None  # type: ignore[method-assign]


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

    from thistleshore import __main__

    __main__.serve = served


def clock_back() -> None:
    """No fault: this machine's wall clock is an hour behind."""
    import time

    now = time.time
    time.time = lambda: now() - 3600.0


MUTANTS = {"clock_back": clock_back, "twice": twice, "deaf": deaf, "silent": silent, "unheeding": unheeding,
           "rough": rough}  # fmt: skip

if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    from thistleshore.cli import main

    sys.exit(main())
