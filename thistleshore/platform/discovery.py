"""Carries the watch on discovery: makes the calls that `watching` decides, and tells the broker each list."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import h11
import trio

from oxbowarch.interface import Settings
from thistleshore.core.model import HostListReceived
from thistleshore.platform.messages import ListNames, Malformed, read_hosts
from thistleshore.platform.peer import Peer
from thistleshore.platform.start_times import StartTimes
from thistleshore.platform.watching import Call, Refused, Watch

log = logging.getLogger("thistleshore")

LIST_MOST = 2 * 1024 * 1024  # bytes of a list, some thousand hosts; more, or one without end, would fill the memory
OVERBOOKED = (429, 503, 504)  # what discovery answers where it has too much to do


class NoList(Exception):
    """Discovery answered, and not with a list."""

    def __init__(self, status: int | None) -> None:
        super().__init__(f"the answer is no list: {status or 'no answer'}")
        self.overbooked = status in OVERBOOKED


class Discovery:
    def __init__(
        self,
        address: tuple[str, int],
        names: ListNames,
        epoch: float,
        settings: Settings,
        seq: int | None,
        seed: int = 0,
        listed: bool = False,
    ) -> None:
        self.address, self.names = address, names
        self.starts = StartTimes(epoch)
        self.watch = Watch(settings, seed, trio.current_time(), seq, listed)
        self.asked = trio.Event()  # the first call has ended, with a list or without
        self._peer: Peer | None = None
        self._at = address  # where that peer is
        self._lost = False
        self._scope = trio.CancelScope()  # the call that is out, or the wait before it

    def on_settings(self, settings: Settings, names: ListNames) -> None:
        """Go by these settings from now on, and read lists by these names."""
        self.watch.on_settings(settings)
        if names != self.names:
            self.names = names
            self.watch.on_names(trio.current_time())
            self._scope.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Watch there from now on."""
        self.address = address
        self.watch.on_move(trio.current_time())
        self._scope.cancel()

    async def run(self, tell: Callable[[HostListReceived], None]) -> None:
        """Watch until cancelled.  `tell` does not wait: a watch goes on only where the next call follows at once."""
        try:
            while True:
                with trio.CancelScope() as self._scope:
                    await self._step(tell)
                if self._scope.cancelled_caught:
                    self._hang_up()  # what the old address still says, or by old names, must not pass for the new
        finally:
            self._hang_up()

    async def _step(self, tell: Callable[[HostListReceived], None]) -> None:
        """One call, and what has come of it."""
        call = self.watch.next(trio.current_time())
        await trio.sleep_until(call.at)
        try:
            faults = list[str]()
            told = await self._call(call, faults)
            if self._scope.cancel_called:
                return
            assert told.version is not None
            self.watch.on_list(told.version, told.kind, len(told.lines), trio.current_time(), faults)
        except (
            OSError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
            Malformed,
            Refused,
            NoList,
        ) as problem:
            # Discovery may be down for long: the list in hand serves on, and the log says so once.
            if not self._lost:
                log.warning("discovery lost: %s: %s", type(problem).__name__, problem)
            self._lost = True
            self._hang_up()
            self.watch.on_failed(isinstance(problem, NoList) and problem.overbooked, trio.current_time())
            self.asked.set()
            return
        if self._lost:
            log.info("discovery regained at version %d", told.version)
            if faults:  # each later list may have them as well
                log.warning("a list is taken without %d of its hosts: %s", len(faults), faults[0])
        self._lost = False
        tell(told)
        self.asked.set()

    def _hang_up(self) -> None:
        if self._peer is not None:
            self._peer.close()
        self._peer = None

    async def _call(self, call: Call, faults: list[str]) -> HostListReceived:
        if self._at != self.address:
            self._hang_up()  # moved while an answer was being told: the next call must not go to the old address
        elif self._peer is not None and self._peer.stirs():
            self._hang_up()  # closed between two calls: no sign of trouble there, and no call has failed
        if self._peer is None:
            self._at = self.address
            with trio.fail_after(call.connect):
                self._peer = Peer(await trio.open_tcp_stream(*self.address), h11.CLIENT)
        peer, body = self._peer, bytearray()
        with trio.fail_after(call.silence):
            request = h11.Request(method="GET", target=call.target, headers=[("host", "discovery")])
            await peer.send(request, h11.EndOfMessage())
            response = await peer.event()
            event = await peer.event() if isinstance(response, h11.Response) else None
        # A head that is followed by nothing is silence; a list that has begun has this long to come whole.
        with trio.fail_after(call.answer):
            while isinstance(event, h11.Data):
                body += event.data
                if len(body) > LIST_MOST:
                    raise Malformed("the list is too long")
                event = await peer.event()
        if not isinstance(response, h11.Response) or response.status_code != 200:
            raise NoList(getattr(response, "status_code", None))
        self.starts.on_clock(trio.current_time() - time.time())
        seq, kind, lines = read_hosts(bytes(body), self.names, self._started_at, faults)
        if peer.reusable:
            peer.http.start_next_cycle()
        else:
            self._hang_up()
        return HostListReceived(kind, lines, seq)

    def _started_at(self, host: bytes, born: float) -> float:
        return self.starts.started_at(host, born, trio.current_time())
