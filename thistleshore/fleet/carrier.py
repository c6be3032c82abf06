"""One process's part in the fleet: a UDP socket, the one task that owns the machine, and who is told of its events."""

from __future__ import annotations

import json
import logging
import os
import socket as sockets
import time
from collections.abc import Awaitable, Callable, Mapping
from math import inf
from typing import Any

import trio

from thistleshore import __version__
from thistleshore.addresses import Address, address_text, ip_number
from thistleshore.expressions.networks import address_set
from thistleshore.fleet import wire
from thistleshore.fleet.machine import Fleet
from thistleshore.fleet.model import Action, Changed, Record, Send, Service, State
from thistleshore.fleet.plan import FleetPlan
from thistleshore.listening import Aside

log = logging.getLogger("thistleshore")

LOOK = 0.1  # s between two looks at how this process serves
WAITING_MOST = 512  # datagrams that wait for the machine; beyond that they are dropped and counted, as by a full buffer
RATE, RATE_EACH = 500.0, 40.0  # datagrams a second that are looked at, and for each member more
FLOODED = 0.01  # s for which a flood is left to the kernel's buffer
GOODBYES, GOODBYE_GAP = 3, 0.02  # a goodbye may be lost
BOUND_AGAIN = 1.0  # s before an address that is taken is tried again
APART = 64  # incarnations that the next process of a hot restart begins above those of the one before
DISTRIBUTION = b"tC"  # how datagrams begin that are of the distribution of configuration, not of the view
NUMBERS_APART = 100_000  # and numbers of datagrams: the one before goes on sending until the next one serves


class Carrier:
    """Carries the machine's actions out.  `service` says how this process serves; `fingerprint` is of its file."""

    def __init__(self, plan: FleetPlan, name: str, service: Callable[[], Service], fingerprint: str,
                 before: Mapping[str, Any] | None = None, inherited: sockets.socket | None = None) -> None:  # fmt: skip
        """`before` and `inherited` are what a hot restart leaves: the same life goes on, on the same socket."""
        self.plan, self.service = plan, service
        networks = address_set("fleet.from", plan.networks)
        self._allowed: dict[str, bool] = {}

        def allowed(host: str) -> bool:
            if (found := self._allowed.get(host)) is None:
                number = ip_number(host)
                found = number is not None and networks.has(number)
                if len(self._allowed) < 4096:  # a flood of false senders must not fill the memory
                    self._allowed[host] = found
            return found

        generation, incarnation, number = int(time.time() * 1000), 0, 0
        if before is not None and all(isinstance(before.get(key), int) for key in ("life", "incarnation", "number")):
            generation, incarnation = before["life"], before["incarnation"] + APART
            number = before["number"] + NUMBERS_APART
        host, port = plan.advertise
        me = Record(name, host, port, plan.zone, max(1, generation), incarnation, int(State.ALIVE), int(service()),
                    wire.NEWEST, __version__, print=fingerprint)  # fmt: skip
        now = trio.current_time()
        self.machine = Fleet(plan.name, me, plan.terms, plan.seeds, now, int.from_bytes(os.urandom(8), "big"), allowed,
                             number)  # fmt: skip
        # Answers the calls of what the fleet agrees on: a name and its arguments.
        self.register_call: Callable[[str, tuple[str, ...]], Awaitable[Any]] | None = None
        self.is_allowed = allowed
        # Takes the datagrams of the distribution of configuration, which come in on the same socket.
        self.on_distribution: Callable[[bytes, Address], None] | None = None
        self.configuration_call: Callable[[str, tuple[str, ...]], Awaitable[Any]] | None = None
        self.subscribers: list[trio.MemorySendChannel[Changed]] = []
        self.socket: trio.socket.SocketType | None = (
            trio.socket.from_stdlib_socket(inherited) if inherited is not None else None
        )
        self._send, self._inbox = trio.open_memory_channel[tuple[bytes, str] | None](WAITING_MOST)
        self._aside, self._returns = Aside(), False

    def subscribe(self) -> trio.MemoryReceiveChannel[Changed]:
        """Every event from now on, in order."""
        made = trio.open_memory_channel[Changed](inf)
        self.subscribers.append(made[0])
        return made[1]

    def unsubscribe(self, events: trio.MemoryReceiveChannel[Changed]) -> None:
        """Tell no more; the channel is closed."""
        events.close()
        self.subscribers = [channel for channel in self.subscribers if channel.statistics().open_receive_channels]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled, which says no goodbye: `leave` does.  An address that is taken is tried again."""
        task_status.started()
        await self._aside.run(self._take_part)

    async def _take_part(self) -> None:
        if self.socket is None:
            await self._bind()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._own)

    def step_aside(self, aside: bool) -> None:
        """The next process of a hot restart takes part in this one's place; or it has gone."""
        self._returns = self._returns or self._aside.aside and not aside
        self._aside.turn(aside)

    def handover_state(self) -> dict[str, Any]:
        """What the next process of a hot restart goes on with."""
        me = self.machine.own_record
        return {"life": me.generation, "incarnation": me.incarnation, "number": self.machine.number}

    def on_settings(self, told: Mapping[str, Any]) -> None:
        """Another file is in force: its fingerprint is told with what is sent next."""
        self.machine.on_print(fingerprint(told), trio.current_time())

    async def leave(self) -> None:
        """Say goodbye; at once, and again for those that it may not have reached."""
        if self._aside.aside or self.machine.leaving:
            return
        actions = self.machine.on_leave(trio.current_time())
        for n in range(GOODBYES):
            await self._carry_out(actions if n == 0 else [a for a in actions if isinstance(a, Send)])
            await trio.sleep(GOODBYE_GAP)

    async def _bind(self) -> None:
        host, port = self.plan.listen
        while True:
            made = trio.socket.socket(trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET,
                                      trio.socket.SOCK_DGRAM)  # fmt: skip
            try:
                await made.bind((host, port))
            except OSError as problem:
                made.close()
                log.error("no part in the fleet on %s:%d yet: %s", host, port, problem)
                await trio.sleep(BOUND_AGAIN)
                continue
            self.socket = made
            log.info("fleet %s on %s:%d", self.plan.name, host, port)
            return

    async def _receive(self) -> None:
        """Hand on what comes, no more a second than a fleet of this size may send."""
        assert self.socket is not None
        tokens, since, counts = RATE, trio.current_time(), self.machine.counts
        while True:
            try:
                # One byte more than is allowed, so that what is longer is seen to be.
                data, sender = await self.socket.recvfrom(self.plan.terms.datagram + 1)
            except OSError:  # an ICMP answer to one of ours
                counts["unreachable"] += 1
                await trio.sleep(0)
                continue
            now = trio.current_time()
            rate = RATE + RATE_EACH * len(self.machine.members)
            tokens, since = min(rate, tokens + (now - since) * rate), now
            if tokens < 1.0:
                counts["flood"] += 1
                await trio.sleep(FLOODED)
                continue
            tokens -= 1.0
            if self.on_distribution is not None and data.startswith(DISTRIBUTION):
                self._hand_to_distribution(self.on_distribution, data, sender)
                continue
            try:
                self._send.send_nowait((data, sender[0]))
            except trio.WouldBlock:
                counts["flood"] += 1

    def _hand_to_distribution(self, hand: Callable[[bytes, Address], None], data: bytes, sender: Address) -> None:
        """Hand a datagram on that comes from one of the fleet's networks and is no longer than it may be."""
        if not self.is_allowed(sender[0]):
            self.machine.counts["network"] += 1
        elif len(data) > self.plan.terms.datagram:
            self.machine.counts["garbage"] += 1
        else:
            hand(data, (sender[0], sender[1]))

    async def _own(self) -> None:
        """The one task that owns the machine."""
        machine = self.machine
        looked = trio.current_time()
        if self._returns:
            self._returns = False
            await self._carry_out(machine.on_return(2 * APART, 2 * NUMBERS_APART, looked))
        while True:
            found = None
            with trio.move_on_at(max(trio.current_time(), min(machine.due, looked + LOOK))):
                found = await self._inbox.receive()
            now = trio.current_time()
            # Time first: whoever was stopped has to know it before it takes in what was said meanwhile.
            if now >= machine.due:
                await self._carry_out(machine.on_time(now))
            if now >= looked + LOOK:
                looked = now
                await self._carry_out(machine.on_service(self.service(), now))
            if found is not None:
                await self._carry_out(machine.on_datagram(*found, now))

    async def send(self, address: Address, data: bytes) -> None:
        """Send a datagram; one that cannot be sent is counted."""
        try:
            if self.socket is not None:
                await self.socket.sendto(data, address)
        except OSError:  # its host is down, or no buffer is left: it is told again
            self.machine.counts["unsent"] += 1

    async def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                await self.send(action.address, action.data)
            else:
                log.info("fleet: %s %s", action.what, action.name, extra={
                    "life": action.life, "incarnation": action.incarnation, "told": action.told})  # fmt: skip
                for channel in self.subscribers:
                    channel.send_nowait(action)

    # -- what operators ask --------------------------------------------------------------------------

    async def on_call(self, name: str, argument: str) -> tuple[bool, Any]:
        """One call of the admin interface: whether it was done, and what there is to say."""
        if name.startswith("config-"):
            if self.configuration_call is None:
                return False, "no [fleet.configuration] in the file"
            return True, await self.configuration_call(name, tuple(argument.split()))
        if name not in ("members", "status", "events", "leave", "forget"):
            if self.register_call is None:
                return False, "no [fleet.register] in the file"
            return True, await self.register_call(name, tuple(argument.split()))
        if name == "members":
            return True, self.members()
        if name == "status":
            return True, self.status()
        if name == "events":
            after = int(argument) if argument.isdigit() else 0
            told = [(number, change) for number, _, change in self.machine.recent_events if number > after]
            return True, [{"number": number, **change._asdict()} for number, change in told]
        if name == "leave":
            await self.leave()
            return True, {"left": self.machine.own_record.name}
        done, actions = self.machine.on_forget(argument, trio.current_time())
        await self._carry_out(actions)
        return done, {"forgotten": argument} if done else "no dead member has that name"

    def members(self) -> dict[str, Any]:
        """The view, in the form that other programs read."""
        machine, now = self.machine, trio.current_time()
        rows = [(machine.own_record, machine.born)] + [(m.record, m.since) for m in machine.members.values()]
        return {
            "fleet": machine.fleet, "self": machine.own_record.name, "digest": f"{machine.digest:08x}",
            "majority": machine.majority,
            "members": [
                {"name": record.name, "zone": record.zone, "life": record.generation,
                 "state": State(record.state).name.lower(), "service": Service(record.service).name.lower(),
                 "address": address_text(record.address), "since": round(time.time() - (now - since), 3),
                 "incarnation": record.incarnation}
                for record, since in sorted(rows, key=lambda row: row[0].name)
            ],
        }  # fmt: skip

    def status(self) -> dict[str, Any]:
        """Beside the view: whether it is settled, and how this instance fares."""
        machine = self.machine
        return {
            "fleet": machine.fleet, "self": machine.own_record.name, "life": machine.own_record.generation,
            "takes_part": not machine.observing and not machine.leaving,
            "name_taken_by": None if machine.rival is None else address_text(machine.rival.address),
            "digest": f"{machine.digest:08x}", "settled": machine.settled, "majority": machine.majority,
            "seen": machine.alive_count, "known": machine.known_count, "health": machine.health,
            "unchanged": round(trio.current_time() - machine.changed_at, 3),
            "bound": round(machine.bound(), 3), "counts": dict(sorted(machine.counts.items())),
            "pid": os.getpid(),
            "programs": {m.name: {"program": m.program, "wire": m.wire, "print": m.print}
                         for m in sorted(machine.living(), key=lambda m: m.name)},
        }  # fmt: skip


def fingerprint(told: Mapping[str, Any]) -> str:
    """Of a file's tables, whatever their order."""
    import xxhash

    return xxhash.xxh32_hexdigest(json.dumps(told, sort_keys=True, default=str).encode())
