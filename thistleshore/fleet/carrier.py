"""I/O of fleet membership: the UDP socket, the task that owns the state machine, and the subscribers to its events."""

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

SERVICE_CHECK_INTERVAL = 0.1  # seconds between two checks of this process's service state
MAX_QUEUED_DATAGRAMS = 512  # datagrams that are queued for the state machine; further ones are dropped and counted
BASE_RATE = 500.0  # datagrams that are processed per second
RATE_PER_MEMBER = 40.0  # increase of that rate for each member
FLOOD_PAUSE = 0.01  # seconds without reading from the socket once the rate is exceeded
LEAVE_TRANSMISSIONS = 3  # as datagrams may be lost
LEAVE_INTERVAL = 0.02  # seconds after each transmission
BIND_RETRY_INTERVAL = 1.0  # seconds before another attempt to bind the socket
INCARNATION_GAP = 64  # incarnations by which the successor of a hot restart starts above its predecessor
DISTRIBUTION_MAGIC = b"tC"  # magic of the datagrams that distribute configuration; they share the socket
# Sequence numbers by which it starts above its predecessor, which sends until the successor serves.
SEQUENCE_GAP = 100_000


class Carrier:
    """Runs the membership state machine on a UDP socket and executes its actions."""

    def __init__(
        self,
        plan: FleetPlan,
        name: str,
        service: Callable[[], Service],
        fingerprint: str,
        predecessor: Mapping[str, Any] | None = None,
        inherited: sockets.socket | None = None,
    ) -> None:
        """Prepare the membership; `run` begins it.

        `service` returns the service state of this process, `fingerprint` is that of its settings file.  After a hot
        restart, `predecessor` is the other process's `handover_state`, whose generation continues here, and
        `inherited` is its socket.
        """
        self.plan, self.service = plan, service
        networks = address_set("fleet.from", plan.networks)
        self._allowed: dict[str, bool] = {}

        def allowed(host: str) -> bool:
            if (is_in_networks := self._allowed.get(host)) is None:
                number = ip_number(host)
                is_in_networks = number is not None and networks.has(number)
                if len(self._allowed) < 4096:  # bounds the memory that forged sender addresses can use
                    self._allowed[host] = is_in_networks
            return is_in_networks

        generation, incarnation, number = int(time.time() * 1000), 0, 0
        if predecessor is not None and all(
            isinstance(predecessor.get(key), int) for key in ("life", "incarnation", "number")
        ):
            generation, incarnation = predecessor["life"], predecessor["incarnation"] + INCARNATION_GAP
            number = predecessor["number"] + SEQUENCE_GAP
        host, port = plan.advertise
        me = Record(name, host, port, plan.zone, max(1, generation), incarnation, int(State.ALIVE), int(service()),
                    wire.NEWEST_VERSION, __version__, print=fingerprint)  # fmt: skip
        now = trio.current_time()
        self.machine = Fleet(plan.name, me, plan.terms, plan.seeds, now, int.from_bytes(os.urandom(8), "big"), allowed,
                             number)  # fmt: skip
        # Answers the operators' calls to the register: a name and its arguments.  None: no register here.
        self.register_call: Callable[[str, tuple[str, ...]], Awaitable[Any]] | None = None
        self.is_allowed = allowed
        # Receives the datagrams of the configuration's distribution, which arrive on the same socket.
        self.on_distribution: Callable[[bytes, Address], None] | None = None
        self.configuration_call: Callable[[str, tuple[str, ...]], Awaitable[Any]] | None = None
        self.subscribers: list[trio.MemorySendChannel[Changed]] = []
        self.socket: trio.socket.SocketType | None = (
            trio.socket.from_stdlib_socket(inherited) if inherited is not None else None
        )
        self._send, self._inbox = trio.open_memory_channel[tuple[bytes, str] | None](MAX_QUEUED_DATAGRAMS)
        self._suspension, self._resuming = Aside(), False

    def subscribe(self) -> trio.MemoryReceiveChannel[Changed]:
        """Return a channel that receives all events from now on, in order."""
        made = trio.open_memory_channel[Changed](inf)
        self.subscribers.append(made[0])
        return made[1]

    def unsubscribe(self, events: trio.MemoryReceiveChannel[Changed]) -> None:
        """Close a channel that `subscribe` returned."""
        events.close()
        self.subscribers = [channel for channel in self.subscribers if channel.statistics().open_receive_channels]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Be a member until cancelled.

        Cancelling sends no leave; `leave` does.  Binding an address that is in use is tried again.
        """
        task_status.started()
        await self._suspension.run(self._run_member)

    async def _run_member(self) -> None:
        if self.socket is None:
            await self._bind()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._run_machine)

    def step_aside(self, aside: bool) -> None:
        """Suspend membership while the successor of a hot restart has it; False resumes it after its failure."""
        self._resuming = self._resuming or self._suspension.aside and not aside
        self._suspension.turn(aside)

    def handover_state(self) -> dict[str, Any]:
        """Return what the successor of a hot restart needs to continue this generation."""
        me = self.machine.own_record
        return {"life": me.generation, "incarnation": me.incarnation, "number": self.machine.number}

    def on_settings(self, settings: Mapping[str, Any]) -> None:
        """Publish the fingerprint of settings that have come into force."""
        self.machine.on_print(fingerprint(settings), trio.current_time())

    async def leave(self) -> None:
        """Leave the fleet; the datagrams are sent several times, as they may be lost."""
        if self._suspension.aside or self.machine.leaving:
            return
        actions = self.machine.on_leave(trio.current_time())
        for n in range(LEAVE_TRANSMISSIONS):
            await self._carry_out(actions if n == 0 else [a for a in actions if isinstance(a, Send)])
            await trio.sleep(LEAVE_INTERVAL)

    async def _bind(self) -> None:
        host, port = self.plan.listen
        while True:
            sock = trio.socket.socket(trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET,
                                      trio.socket.SOCK_DGRAM)  # fmt: skip
            try:
                await sock.bind((host, port))
            except OSError as problem:
                sock.close()
                log.error("cannot bind fleet address %s:%d, retrying: %s", host, port, problem)
                await trio.sleep(BIND_RETRY_INTERVAL)
                continue
            self.socket = sock
            log.info("fleet %s listens on %s:%d", self.plan.name, host, port)
            return

    async def _receive(self) -> None:
        """Queue received datagrams, up to the rate that a fleet of this size may send."""
        assert self.socket is not None
        tokens, since, counts = BASE_RATE, trio.current_time(), self.machine.counts
        while True:
            try:
                # One byte more than the limit, so that a longer datagram is recognised.
                data, sender = await self.socket.recvfrom(self.plan.terms.datagram + 1)
            except OSError:  # an ICMP error in answer to a datagram that was sent
                counts["unreachable"] += 1
                await trio.sleep(0)
                continue
            now = trio.current_time()
            rate = BASE_RATE + RATE_PER_MEMBER * len(self.machine.members)
            tokens, since = min(rate, tokens + (now - since) * rate), now
            if tokens < 1.0:
                counts["flood"] += 1
                await trio.sleep(FLOOD_PAUSE)
                continue
            tokens -= 1.0
            if self.on_distribution is not None and data.startswith(DISTRIBUTION_MAGIC):
                self._hand_to_distribution(self.on_distribution, data, sender)
                continue
            try:
                self._send.send_nowait((data, sender[0]))
            except trio.WouldBlock:
                counts["flood"] += 1

    def _hand_to_distribution(self, hand: Callable[[bytes, Address], None], data: bytes, sender: Address) -> None:
        """Pass a datagram on if its sender is in an allowed network and its size within the limit."""
        if not self.is_allowed(sender[0]):
            self.machine.counts["network"] += 1
        elif len(data) > self.plan.terms.datagram:
            self.machine.counts["garbage"] += 1
        else:
            hand(data, (sender[0], sender[1]))

    async def _run_machine(self) -> None:
        """Run the state machine; this is the only task that passes datagrams and time to it."""
        machine = self.machine
        service_checked_at = trio.current_time()
        if self._resuming:
            self._resuming = False
            await self._carry_out(machine.on_return(2 * INCARNATION_GAP, 2 * SEQUENCE_GAP, service_checked_at))
        while True:
            datagram = None
            with trio.move_on_at(
                max(trio.current_time(), min(machine.due, service_checked_at + SERVICE_CHECK_INTERVAL))
            ):
                datagram = await self._inbox.receive()
            now = trio.current_time()
            # Timers first: a process that was stopped must detect that before it processes queued datagrams.
            if now >= machine.due:
                await self._carry_out(machine.on_time(now))
            if now >= service_checked_at + SERVICE_CHECK_INTERVAL:
                service_checked_at = now
                await self._carry_out(machine.on_service(self.service(), now))
            if datagram is not None:
                await self._carry_out(machine.on_datagram(*datagram, now))

    async def send(self, address: Address, data: bytes) -> None:
        """Send a datagram; failures are counted and not raised."""
        try:
            if self.socket is not None:
                await self.socket.sendto(data, address)
        except OSError:  # host unreachable or no buffer space; the protocol repeats what matters
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

    # -- operators' calls -------------------------------------------------------------------------

    async def on_call(self, name: str, argument: str) -> tuple[bool, Any]:
        """Execute a FLEET call of the admin interface; return whether it succeeded, and the answer or the error."""
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
        """Return the answer to the call `members`: the view and its members."""
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
        """Return the answer to the call `status`: the convergence of the view and the state of this instance."""
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


def fingerprint(settings: Mapping[str, Any]) -> str:
    """Return the fingerprint of settings; it does not depend on the order of keys."""
    import xxhash

    return xxhash.xxh32_hexdigest(json.dumps(settings, sort_keys=True, default=str).encode())
