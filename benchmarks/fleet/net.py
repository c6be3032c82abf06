"""Many members' machines in one process, in virtual time, with a network between them that breaks: from one seed."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count

from thistleshore.fleet import Fleet, Record, Service, State, Terms
from thistleshore.fleet.model import Changed, Send

DELAY = (0.0005, 0.003)  # s of a datagram


class Node:
    """One member: its machine while it lives, and what has come while it was stopped."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.machine: Fleet | None = None
        self.stopped_until: float | None = None
        self.waiting: list[tuple[bytes, str]] = []
        self.slow = 0.0  # s that each datagram and each timer comes late
        self.waked = 0  # of the timer in force
        self.events: list[tuple[float, Changed]] = []


class Net:
    """A fleet of so many, and the faults between them.  `cut(a, b)` says whether a's datagrams to b are lost."""

    def __init__(
        self,
        names: Iterable[str],
        terms: Terms,
        seed: int,
        loss: float = 0.0,
        kind: type[Fleet] = Fleet,
        versions: dict[str, int] | None = None,
    ) -> None:
        self.terms, self.kind, self.loss = terms, kind, loss
        self.random, self.now = random.Random(seed), 0.0
        self.nodes = {name: Node(name, ("127.0.0.1", 8000 + n)) for n, name in enumerate(names)}
        self._by_address = {node.address: node for node in self.nodes.values()}
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.repeat = 0.0
        self.lives, self.versions = count(1), versions or {}
        self.counts: Counter[str] = Counter()
        self._queue: list[tuple[float, int, str, object]] = []
        self._order = count()

    def start(self, name: str, seeds: Iterable[str], generation: int = 0, called: str = "") -> Fleet:
        """A new life of a member; `called`: by a name that another node may have, too."""
        node = self.nodes[name]
        me = Record(
            called or name,
            *node.address,
            "a",
            generation or next(self.lives),
            0,
            int(State.ALIVE),
            int(Service.READY),
            self.versions.get(name, 2),
            "1",
        )
        node.machine = self.kind(
            "f", me, self.terms, [self.nodes[seed].address for seed in seeds], self.now, self.random.getrandbits(32)
        )
        node.stopped_until, node.waiting = None, []
        self._arm(node)
        return node.machine

    def kill(self, name: str) -> None:
        self.nodes[name].machine = None

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        if node.machine is not None:
            self._carry(node, node.machine.on_leave(self.now))
            node.machine = None

    def stop(self, name: str, seconds: float) -> None:
        """As by SIGSTOP: nothing is done, and what comes waits."""
        node = self.nodes[name]
        node.stopped_until = self.now + seconds
        self._push(node.stopped_until, "wake", node)

    def live(self) -> list[Fleet]:
        return [node.machine for node in self.nodes.values() if node.machine is not None]

    def settled(self, among: Iterable[str] | None = None) -> bool:
        """Whether all that live (of these) have the same view, and it is the truth."""
        names = sorted(n for n in (self.nodes if among is None else among) if self.nodes[n].machine is not None)
        machines = [m for n in names if (m := self.nodes[n].machine) is not None]
        if len({m.digest for m in machines}) > 1 or sorted(r.name for r in machines[0].living()) != names:
            return False  # equal digests are equal views: one of them tells for all
        return not any(x.record.state == State.SUSPECT for m in machines for x in m.members.values())

    def run(self, until: float) -> None:
        """Play to that time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what, found = heapq.heappop(self._queue)
            self._do(what, found)
        self.now = until

    def run_until(self, holds: Callable[[], bool], most: float, step: float = 0.05) -> float | None:
        """Play until it holds; the time it took, or None where it does not within `most` seconds."""
        begun = self.now
        while self.now < begun + most:
            if holds():
                return self.now - begun
            self.run(self.now + step)
        return self.now - begun if holds() else None

    def _do(self, what: str, found: object) -> None:
        if what == "datagram":
            address, data, host = found  # type: ignore[misc]
            node = self._by_address.get(address)
            if node is not None and node.machine is not None:
                if node.stopped_until is not None:
                    node.waiting.append((data, host))
                    del node.waiting[:-200]  # a socket's buffer
                else:
                    self._carry(node, node.machine.on_datagram(data, host, self.now))
        elif what == "timer":
            node, number = found  # type: ignore[misc]
            if node.machine is not None and number == node.waked and node.stopped_until is None:
                self._carry(node, node.machine.on_time(self.now))
        elif what == "wake" and isinstance(found, Node) and found.stopped_until == self.now:
            found.stopped_until = None
            waiting, found.waiting = found.waiting, []
            if found.machine is not None:
                self._carry(found, found.machine.on_time(self.now))
                for data, host in waiting:
                    self._carry(found, found.machine.on_datagram(data, host, self.now))
        elif what == "call":
            found()  # type: ignore[operator]

    def at(self, when: float, act: Callable[[], object]) -> None:
        self._push(when, "call", act)

    def _carry(self, node: Node, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.counts["sent"] += 1
                self.counts["bytes"] += len(action.data)
                other = self._by_address.get(action.address)
                if other is None or self.cut(node.name, other.name) or self.random.random() < self.loss:
                    continue
                for _ in range(2 if self.random.random() < self.repeat else 1):
                    self._push(
                        self.now + self.random.uniform(*DELAY) + node.slow + other.slow,
                        "datagram",
                        (action.address, action.data, node.address[0]),
                    )
            elif isinstance(action, Changed):
                node.events.append((self.now, action))
        self._arm(node)

    def _arm(self, node: Node) -> None:
        if node.machine is not None:
            node.waked += 1
            self._push(max(self.now, node.machine.due) + node.slow, "timer", (node, node.waked))

    def _push(self, when: float, what: str, found: object) -> None:
        heapq.heappush(self._queue, (when, next(self._order), what, found))


def halves(names: Iterable[str], parts: int = 2) -> Callable[[str, str], bool]:
    """A cut into so many parts, dealt out in turn."""
    part = {name: n % parts for n, name in enumerate(names)}
    return lambda a, b: part[a] != part[b]
