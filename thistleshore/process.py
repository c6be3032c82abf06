"""The serving process: start-up, signals, and the configuration that SIGHUP has read again."""

from __future__ import annotations

import gc
import logging
import signal
import sys
import time
from collections.abc import AsyncIterator, Mapping
from math import inf

import trio

from thistleshore import config
from thistleshore.dispatcher import serve

log = logging.getLogger("thistleshore")


async def _obey(
    signals: AsyncIterator[int],
    drain: trio.Event,
    environ: Mapping[str, str],
    plan: config.Plan,
    rereads: trio.MemorySendChannel[config.Plan | None],
) -> None:
    """SIGHUP reads the file again, also in a drain; a second SIGTERM changes nothing: SIGKILL is what ends it early."""
    reader = Rereader(environ, plan, rereads)
    async with trio.open_nursery() as nursery:
        async for number in signals:
            if number == signal.SIGHUP:
                nursery.start_soon(reader.reread)
            else:
                drain.set()


class Rereader:
    """Reads the configuration again, one at a time: if one overtook another, the older file would be left in force."""

    def __init__(
        self, environ: Mapping[str, str], plan: config.Plan, rereads: trio.MemorySendChannel[config.Plan | None]
    ) -> None:
        self.environ, self.plan, self.rereads, self._in_turn = environ, plan, rereads, trio.Lock()

    async def reread(self) -> None:
        """Hand on the new plan whole, or None and a line in the log where anything is wrong with the file."""
        async with self._in_turn:
            try:
                self.plan = await self._load(trio.current_time() - time.time())
                self.rereads.send_nowait(self.plan)
                return
            except config.ConfigError as problem:
                log.error("configuration not reread, the old one holds: %s", problem.in_a_line)
            except Exception as problem:
                # A file that is faulty, or half written, must not end a dispatcher that serves.
                log.error("configuration not reread, the old one holds: %s", problem)
            self.rereads.send_nowait(None)

    async def _load(self, epoch: float) -> config.Plan:
        if self.environ.get("PROXY_OPERATOR"):
            # A thousand rules take a third of a second to compile: streams must not wait for that.
            return await trio.to_thread.run_sync(config.load, self.environ, epoch, self.plan)
        return config.load(self.environ, epoch, self.plan)  # small, and memory for a thread may lack there


def run(environ: Mapping[str, str]) -> int:
    """Serve until a signal ends it; the exit status: 0 after a drain, 2 for configuration that cannot be used."""
    # Until the program listens to it, and while it ends, SIGHUP would end it as it ends any program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")

    async def start() -> None:
        drain = trio.Event()
        rereads = trio.open_memory_channel[config.Plan | None](inf)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            plan = config.load(environ, trio.current_time() - time.time())
            if plan.log_format != "plain":
                from thistleshore import logs  # an operator's; the platform keeps its plain lines

                logs.configure(plan.log_format)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_obey, signals, drain, environ, plan, rereads[0])
                await serve(plan, drain, rereads=rereads[1])
                nursery.cancel_scope.cancel()

    try:
        # What start-up made stays: a collection that walked it would stall every stream for as long.
        gc.collect()
        gc.freeze()
        trio.run(start)
    except config.ConfigError as problem:
        print(f"thistleshore: configuration: {problem}", file=sys.stderr)
        return 2
    return 0
