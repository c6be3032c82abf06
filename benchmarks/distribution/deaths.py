"""Instances that die between any two steps of passing a version on.

`Mortal` is the distributor with a hook at each step.  A death at a step loses the actions that belong after it: what
was to be sent is not sent, and what was to be written is not on the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from benchmarks.distribution.fleet import Fleet
from thistleshore.distribution import wire
from thistleshore.distribution.machine import Distributor
from thistleshore.addresses import Address
from thistleshore.distribution.model import Action, Apply, Send, Stamp


class Step(Enum):
    """Where an instance dies."""

    AGREED = "told by the register, no offer sent"
    OFFERED = "told by the register, its offers sent, nobody has fetched"
    HEARD = "an offer came, neither acknowledged nor fetched"
    ACKNOWLEDGED = "an offer came, acknowledged, the fetch sent"
    FETCHING = "some parts came"
    HELD = "the body is complete, no offer sent, nothing written"
    PASSED_ON = "the body is complete, its offers sent, nothing durable"
    ASKED = "a fetch came, no part sent"
    HALF_SENT = "a fetch came, half of the parts sent"
    DURABLE = "durable, not in force"
    IN_FORCE = "in force, not reported"
    REPORTED = "in force and reported"


VOTER_STEPS = (
    Step.AGREED,
    Step.OFFERED,
    Step.ASKED,
    Step.HALF_SENT,
    Step.DURABLE,
    Step.IN_FORCE,
    Step.REPORTED,
)
RELAY_STEPS = tuple(step for step in Step if step not in (Step.AGREED, Step.OFFERED))


class Deaths:
    """Who is to die at which step; filled before a version is pushed."""

    def __init__(self) -> None:
        self.planned: dict[str, Step] = {}
        self.happened: list[str] = []
        self.kill: Callable[[str], None] = lambda name: None

    def takes(self, name: str, step: Step) -> bool:
        """Whether this is the step; then the instance dies at this moment."""
        if self.planned.get(name) is not step:
            return False
        del self.planned[name]
        self.happened.append(name)
        self.kill(name)
        return True


class Mortal(Distributor):
    """A distributor that dies where its `deaths` say."""

    deaths: Deaths

    def on_agreed(self, stamp: Stamp, body: bytes | None, now: float) -> list[Action]:
        """The register's word."""
        newer = stamp.number > self.known.number
        actions = super().on_agreed(stamp, body, now)
        if not newer:
            return actions
        if self._dies(Step.AGREED):
            return []
        self._dies(Step.OFFERED)
        return actions

    def on_datagram(self, data: bytes, sender: Address, now: float) -> list[Action]:
        """A datagram; its kind tells the step."""
        step = self.deaths.planned.get(self.local_peer.name)
        if step is None:
            return super().on_datagram(data, sender, now)
        known = self.known.number
        actions = super().on_datagram(data, sender, now)
        return self._after(wire.read(data, self.fleet, self.settings.max_datagram_bytes).message, known, actions)

    def on_applied(self, stamp: Stamp, now: float) -> list[Action]:
        """The carrier's word."""
        actions = super().on_applied(stamp, now)
        if self._dies(Step.IN_FORCE):
            return []
        self._dies(Step.REPORTED)
        return actions

    def _after(self, message: wire.Message, known: int, actions: list[Action]) -> list[Action]:
        if isinstance(message, wire.Offer) and message.stamp.number > known:
            if self._dies(Step.HEARD):
                return []
            self._dies(Step.ACKNOWLEDGED)
        elif isinstance(message, wire.Fetch):
            if self._dies(Step.ASKED):
                return []
            if self._dies(Step.HALF_SENT):
                return actions[: len(actions) // 2]
        elif isinstance(message, wire.Part):
            return self._after_part(actions)
        return actions

    def _after_part(self, actions: list[Action]) -> list[Action]:
        complete = any(isinstance(action, Apply) for action in actions)
        if not complete:
            return [] if self._dies(Step.FETCHING) else actions
        if self._dies(Step.HELD):
            return []
        if self._dies(Step.PASSED_ON):
            return [action for action in actions if isinstance(action, Send)]
        return actions

    def _dies(self, step: Step) -> bool:
        return self.deaths.takes(self.local_peer.name, step)


def mortal_fleet(size: int, seed: int, loss: float = 0.0) -> tuple[Fleet, Deaths]:
    """A fleet whose instances can be told to die at a step, and where to tell it."""
    deaths = Deaths()

    def made(*given: Any) -> Distributor:
        machine = Mortal(*given)
        machine.deaths = deaths
        return machine

    fleet = Fleet(size, seed, loss=loss, kind=made, recorded=True)
    # At the same moment, but after the call that the machine is in.
    deaths.kill = lambda name: fleet.at(fleet.now, lambda: fleet.kill(name))
    fleet.on_durable = lambda name: _durable(deaths, name)
    return fleet, deaths


def _durable(deaths: Deaths, name: str) -> None:
    deaths.takes(name, Step.DURABLE)
