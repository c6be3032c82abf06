"""Final answers that wait in their reply tubes for their clients."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from thistleshore.beanstalkd.quotas import Share, SharedQuota

if TYPE_CHECKING:
    from thistleshore.beanstalkd.downstream import Connection

KEPT = 60.0  # seconds that a final answer waits for its client
BYTES_MOST = 32 * 1024 * 1024  # of all that wait; no job is taken beyond that, as dropping one early breaks a promise
BYTES_LEAST = 16 * 1024  # that answers to the jobs of one connection may take in any case
OBJECTS = 1024  # bytes that one takes beside its body


@dataclass(slots=True, eq=False)
class Reply:
    """A final answer that waits in its reply tube."""

    id: int
    tube: str
    body: bytes
    share: Share  # of the connection that put the job
    until: float  # trio clock, seconds
    holder: Connection | None = None  # that has reserved it

    @property
    def size(self) -> int:
        """The bytes that it counts for."""
        return len(self.body) + OBJECTS


class Replies:
    """All replies of one front, each kept for its time, whatever others come after it."""

    def __init__(self) -> None:
        self.quota = SharedQuota(BYTES_MOST)
        self._by_id: dict[int, Reply] = {}  # in the order in which they end
        self._by_tube: dict[str, dict[int, Reply]] = {}
        self._added = trio.Event()

    def new_share(self) -> Share:
        """The share of a connection that puts jobs."""
        return Share(self.quota, BYTES_LEAST)

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Reply]:
        return iter(list(self._by_id.values()))

    def get(self, number: int) -> Reply | None:
        """The reply of that number."""
        return self._by_id.get(number)

    def in_tube(self, tube: str) -> list[Reply]:
        """The replies in a tube, the first to be reserved first."""
        return list(self._by_tube.get(tube, {}).values())

    def free_in(self, tubes: Iterable[str]) -> Reply | None:
        """A reply in these tubes that nobody has reserved, the longest waiting first."""
        found = (reply for tube in tubes for reply in self._by_tube.get(tube, {}).values() if reply.holder is None)
        return min(found, key=lambda reply: reply.id, default=None)

    @property
    def tubes(self) -> list[str]:
        """The tubes that have replies."""
        return list(self._by_tube)

    def add(self, number: int, tube: str, body: bytes, share: Share) -> Reply:
        """Keep a final answer for its client."""
        reply = Reply(number, tube, body, share, trio.current_time() + KEPT)
        self._by_id[number] = reply
        self._by_tube.setdefault(tube, {})[number] = reply
        share.take(reply.size)
        self._added.set()
        return reply

    def drop(self, reply: Reply) -> None:
        """Its client has it, or its time is over."""
        if self._by_id.pop(reply.id, None) is None:
            return
        reply.share.give_back(reply.size)
        del self._by_tube[reply.tube][reply.id]
        if not self._by_tube[reply.tube]:
            del self._by_tube[reply.tube]

    async def expire(self) -> None:
        """Drop replies whose time is over, until cancelled."""
        while True:
            first = next(iter(self._by_id.values()), None)
            if first is None:
                self._added = trio.Event()
                await self._added.wait()
            elif first.until > trio.current_time():
                await trio.sleep_until(first.until)
            else:
                self.drop(first)
