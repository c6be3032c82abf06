"""The environment of one run: everything but the dispatchers, and the faults of its plan."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from random import Random
from typing import Any

import trio

from benchmarks.soak.clients import Client
from benchmarks.soak.datagrams import Datagrams
from benchmarks.soak.discovery import Agent, Line, publish
from benchmarks.soak.nodes import Node
from benchmarks.soak.plan import Fault, Plan
from benchmarks.soak.record import Drain, Record
from benchmarks.soak.servers import Ids, Server, node_host
from benchmarks.soak.terms import CORES, MEAN_WORK
from thistleshore.rig.ports import free_ports

HEARTBEAT = 0.01  # s between two looks at the driver's own lateness
NOTICED = 0.02  # s of it from which it is written down
CONNECTS_ON = 0.3  # s after SIGTERM in which new connections come


def written(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


class World:
    """One run's servers, agents, clients and dispatchers."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.terms, self.record = plan, plan.terms, Record()
        self.random = Random(plan.seed * 7919 + 1)
        self.ids = Ids(Random(plan.seed * 7919 + 2))
        self.offset = time.time() - time.monotonic()
        nodes = range(plan.terms.nodes)
        ports = free_ports(3 * plan.terms.nodes)
        self.agents = [Agent(n, ports[3 * n], self.record) for n in nodes]
        listen = [("127.0.0.1", ports[3 * n + 1]) for n in nodes]
        self.datagrams = Datagrams(listen, Random(plan.seed * 7919 + 3))
        self.servers = [self._server(n % 3) for n in range(plan.servers)]
        self.listed = {server.name: server for server in self.servers}
        self.leaving: set[str] = set()
        self.nodes = [Node(n, self._config(n, ports[3 * n + 2]), folder, self.record) for n in nodes]
        self.clients = [Client(node, plan.terms, self.record, Random(plan.seed * 7919 + 10 + node.number), plan.leave)
                        for node in self.nodes]  # fmt: skip
        self.begun = 0.0

    def _server(self, bay: int) -> Server:
        return Server(self.ids.draw(), bay, free_ports(1)[0], self.terms, self.record,
                      Random(self.random.getrandbits(32)))  # fmt: skip

    def _config(self, node: int, port: int) -> dict[str, Any]:
        return {
            "name": f"n{node}",
            "listen": f"{node_host(node)}:{port}",
            "discovery": f"{node_host(node)}:{self.agents[node].port}",
            "seed": self.plan.seed * 100 + node,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "peer_listen": written(self.datagrams.listen[node]),
            "settings": self.terms.settings(node),
        }

    def snapshot(self, node: int) -> dict[str, Line]:
        """The truth as a list for one dispatcher: of health only whether it drains."""
        return {name: self._line(server, node) for name, server in self.listed.items()}

    def _line(self, server: Server, node: int) -> Line:
        born = int((server.started_at + self.offset) * 1000) if server.started_at else 0
        health = "leaving" if server.name in self.leaving else "active"
        dial = f"{node_host(node)}:{server.port}"
        return {"host": server.name, "dial": dial, "site": "room", "class": "std", "block": server.bay,
                "health": health, "share": 1.0, "born_ms": born, "born": server.started_at}  # fmt: skip

    def _known(self, node: int) -> dict[str, Any]:
        lines = [{k: v for k, v in line.items() if k != "born"} for line in self.agents[node].lines.values()]
        return {"seq": self.agents[node].seq, "whole": True, "hosts": lines}

    async def run(self) -> Record:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await nursery.start(self.datagrams.run)
            for server in self.servers:
                await nursery.start(server.run)
            for agent in self.agents:
                agent.take(self.snapshot(agent.node))
                await nursery.start(agent.run)
            low, high = self.plan.lateness
            lags = [self.random.uniform(low, high) for _ in self.agents]
            nursery.start_soon(publish, self.agents, self.snapshot, self.plan.period, lags)
            nursery.start_soon(self._heartbeat)
            try:
                await self._play(nursery)
            finally:
                for node in self.nodes:
                    node.end()
            nursery.cancel_scope.cancel()
        return self.record

    async def _play(self, nursery: trio.Nursery) -> None:
        peers = [written(address) for address in self.datagrams.addresses]
        for node in self.nodes:
            node.config.update(peers=peers, peers_all=written(self.datagrams.everyone))
            node.start(self._known(node.number))
            nursery.start_soon(node.watch)
        for node in self.nodes:
            if not await node.ready():
                raise RuntimeError(f"n{node.number} is not ready; see {node.log}")
        self.begun = trio.current_time()
        self._spread_load()
        for client in self.clients:
            nursery.start_soon(client.run)
        for fault in self.plan.faults:
            await trio.sleep_until(self.begun + fault.at)
            nursery.start_soon(self._fault, fault)
        await trio.sleep_until(self.begun + self.plan.seconds)
        for client in self.clients:
            client.rate = 0.0
        await trio.sleep(max(self.terms.deadlines) / 2 + 1.0)

    def _spread_load(self) -> None:
        total = self.plan.load * self.plan.servers * CORES / MEAN_WORK
        count, skew = len(self.clients), self.plan.skew if len(self.clients) > 1 else 0.0
        for client in self.clients:
            client.rate = total * (1 - skew) / count
        self.clients[0].rate += total * skew

    async def _heartbeat(self) -> None:
        while True:
            before = trio.current_time()
            await trio.sleep(HEARTBEAT)
            late = trio.current_time() - before - HEARTBEAT
            if late > NOTICED:
                self.record.lags.append((trio.current_time(), late))

    async def _fault(self, fault: Fault) -> None:
        await getattr(self, f"_fault_{fault.kind}")(fault)

    async def _restart(self, server: Server, seconds: float) -> None:
        """The process dies, and another one starts in its place after so long; lists tell its start later."""
        if not server.runs:
            return
        server.kill()
        await trio.sleep(max(0.01, seconds))
        await self.nursery.start(server.run)
        server.restarted()

    async def _fault_restart(self, fault: Fault) -> None:
        await self._restart(self.servers[fault.target], fault.seconds)

    async def _fault_replace(self, fault: Fault) -> None:
        """Another server takes its place, with a name of its own; it serves before it is listed."""
        old, new = self.servers[fault.target], self._server(fault.target % 3)
        await self.nursery.start(new.run)
        new.restarted()
        new.reset_share, new.full_share, new.accept_late = old.reset_share, old.full_share, old.accept_late
        self.servers[fault.target] = new
        self.listed[new.name] = new
        self.listed.pop(old.name, None)
        self.record.drains.append(Drain(old.name))

    async def _trouble(self, fault: Fault, name: str, value: float) -> None:
        """Something befalls the requests at one server for a while."""
        server = self.servers[fault.target]
        await trio.sleep(0.001)
        setattr(server, name, value)
        setattr(self.servers[fault.target], name, value)
        await trio.sleep(fault.seconds)
        for one in (server, self.servers[fault.target]):
            setattr(one, name, 0.0)

    async def _fault_resets(self, fault: Fault) -> None:
        await self._trouble(fault, "reset_share", fault.share)

    async def _fault_rejects(self, fault: Fault) -> None:
        await self._trouble(fault, "full_share", fault.share)

    async def _fault_late(self, fault: Fault) -> None:
        await self._trouble(fault, "accept_late", 1.0)

    async def _fault_down(self, fault: Fault) -> None:
        """A share of the servers is down, and listed all the same."""
        many = int(fault.share * len(self.servers))
        down = [self.servers[(fault.target + n) % len(self.servers)] for n in range(many)]
        async with trio.open_nursery() as nursery:
            for server in down:
                nursery.start_soon(self._restart, server, fault.seconds)

    async def _fault_drain(self, fault: Fault) -> None:
        server = self.servers[fault.target]
        if server.name in self.leaving or server.name not in self.listed:
            return
        drain = Drain(server.name)
        self.record.drains.append(drain)
        self.leaving.add(server.name)
        await trio.sleep(fault.seconds + self.plan.lateness[1] + 2.0)

    async def _fault_terminate(self, fault: Fault) -> None:
        """SIGTERM, clients go on, SIGKILL at the earliest moment; then a new process."""
        node, client = self.nodes[fault.target], self.clients[fault.target]
        if node.life is None or node.life.terminated < trio.current_time():
            return
        kill_after = self.terms.kill_after(node.wider)
        node.signal(signal.SIGTERM)
        await trio.sleep(CONNECTS_ON)
        client.connecting = False
        await trio.sleep(kill_after - CONNECTS_ON)
        await self._start_again(node, client)

    async def _fault_kill(self, fault: Fault) -> None:
        node, client = self.nodes[fault.target], self.clients[fault.target]
        if node.life is None or node.life.terminated < trio.current_time():
            return
        client.connecting = False
        await self._start_again(node, client)

    async def _start_again(self, node: Node, client: Client) -> None:
        node.signal(signal.SIGKILL)
        while node.child is not None and node.child.poll() is None:
            await trio.sleep(0.005)
        await trio.sleep(0.05)
        node.start(self._known(node.number))
        if await node.ready():
            client.connecting = True

    async def _fault_stall(self, fault: Fault) -> None:
        node = self.nodes[fault.target]
        node.signal(signal.SIGSTOP)
        await trio.sleep(fault.seconds)
        node.signal(signal.SIGCONT)

    async def _fault_reread(self, fault: Fault) -> None:
        """Signals in series."""
        for _ in range(5):
            self.nodes[fault.target].rewrite()
            self.nodes[fault.target].signal(signal.SIGHUP)
            await trio.sleep(0.03)

    async def _fault_retune(self, fault: Fault) -> None:
        """New settings have more classes, kinds and tenants; later ones drop these again."""
        node = self.nodes[fault.target]
        for wider in (True, False):
            await node.retune(self.terms.settings(node.number, wider), wider)
            await trio.sleep(fault.seconds)

    async def _fault_silent(self, fault: Fault) -> None:
        agent = self.agents[fault.target]
        agent.silent = True
        await trio.sleep(fault.seconds)
        agent.silent = False

    async def _fault_cut(self, fault: Fault) -> None:
        """That dispatcher neither hears the others nor is heard."""
        self.datagrams.cut.add(fault.target)
        await trio.sleep(fault.seconds)
        self.datagrams.cut.discard(fault.target)

    async def _fault_crowd(self, fault: Fault) -> None:
        await self.clients[fault.target].crowd(int(fault.share), fault.seconds)
