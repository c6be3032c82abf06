"""The network between dispatchers: each datagram comes late, out of order or never."""

from __future__ import annotations

from random import Random

import trio

Address = tuple[str, int]


class Datagrams:
    """Relays what dispatchers send to one another's addresses, and to the address of all."""

    def __init__(self, listen: list[Address], random: Random) -> None:
        """`listen`: where each dispatcher hears."""
        self.listen, self.random = listen, random
        self.lost = 0.05  # share of the datagrams
        self.late = (0.0011, 0.024)  # s
        self.cut: set[int] = set()  # nodes that neither hear nor are heard
        self.addresses: list[Address] = []
        self.everyone: Address = ("", 0)
        self._sockets: list[trio.socket.SocketType] = []

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(len(self.listen) + 1):
                one = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
                await one.bind(("127.0.0.1", 0))
                self._sockets.append(one)
            names = [one.getsockname() for one in self._sockets]
            self.addresses, self.everyone = names[:-1], names[-1]
            for number, one in enumerate(self._sockets):
                nursery.start_soon(self._relay, one, number, nursery)
            task_status.started()

    async def _relay(self, one: trio.socket.SocketType, to: int, nursery: trio.Nursery) -> None:
        while True:
            try:
                data, sender = await one.recvfrom(4096)
            except OSError:  # a dispatcher is down
                continue
            if sender[:2] not in self.listen:
                continue
            node = self.listen.index(sender[:2])
            targets = [to] if to < len(self.listen) else range(len(self.listen))
            for target in targets:
                if target != node and not {target, node} & self.cut and self.random.random() >= self.lost:
                    nursery.start_soon(self._deliver, data, node, target)

    async def _deliver(self, data: bytes, node: int, target: int) -> None:
        await trio.sleep(self.random.uniform(*self.late))
        try:
            await self._sockets[node].sendto(data, self.listen[target])
        except OSError:
            return
