"""A keeper's decisions: one dispatcher, started and started again, and replaced as the fleet has agreed.

Sans-IO: what ended, what answers and what is ordered come in with the time; out come actions, and the state that has to
be on the disk before they are carried out.  A process is known by its id and its time of birth.
"""

from __future__ import annotations

from collections import deque
from math import inf
from typing import Literal, NamedTuple

import msgspec

from thistleshore.releases.model import INITIAL_VERSION, Version

BACK_OFF = (0.5, 30.0)  # s before a crashed dispatcher is started again: the first, and the most
REPEAT_CALL_PAUSE = 1.0  # s before the fleet is told once more what it has not taken

Phase = Literal["down", "alone", "beside", "trial", "ending", "back", "over"]


class Child(msgspec.Struct, frozen=True):
    """A process that was started: its id and birth (0: it is being started), and what it was started as."""

    version: Version | None  # None: the keeper's own
    pid: int = 0
    born: int = 0

    @property
    def name(self) -> str:
        return INITIAL_VERSION if self.version is None else self.version.name


class KeeperState(msgspec.Struct, frozen=True):
    """What is on the disk: who serves, who comes beside it, and how far that is."""

    serving: Child
    newcomer: Child | None = None
    phase: Phase = "down"


class Plan(NamedTuple):
    """Times in seconds, see [keep]."""

    ready: float = 15.0
    trial: float = 10.0
    end: float = 15.0
    crashes: int = 5
    span: float = 60.0


class Order(NamedTuple):
    """What the fleet has agreed on for this dispatcher: a version, and the place to take it by (0: none yet)."""

    version: Version | None
    place: int
    begun: bool


class Start(NamedTuple):
    child: Child
    beside: bool


class End(NamedTuple):
    pid: int
    kill: bool = False  # SIGKILL; else SIGTERM, and it drains


class FleetCall(NamedTuple):
    """To the fleet, by the dispatcher that serves: takes, arrived or failed."""

    what: str
    words: tuple[str, ...]


Action = Start | End | FleetCall


class Keeper:
    """One dispatcher's.  `kept` is to be written whenever it has changed, before the actions are carried out."""

    def __init__(self, plan: Plan, state: KeeperState | None, alive: frozenset[int], now: float) -> None:
        """`kept` is what the keeper before left, and `alive` which of its processes live."""
        self.plan, self.now = plan, now
        self.state = state or KeeperState(Child(None))
        self.stopping = False  # it is told to end
        self.failure = ""  # why it does not go on
        self._crashes: deque[float] = deque()
        self._next_start_at, self._back_off = now, BACK_OFF[0]
        self._answered = False  # whoever is waited for has answered
        self._phase_deadline = inf  # when the phase is over
        self._pending_call: FleetCall | None = None  # until the fleet has taken it
        self._next_call_at = -inf
        self._pending_order: Order | None = None
        self._starting = False
        self._deferred_actions: list[Action] = []
        if state is not None:
            self._adopt(state, alive)

    def _adopt(self, state: KeeperState, alive: frozenset[int]) -> None:
        old_alive, new_alive = state.serving.pid in alive, state.newcomer is not None and state.newcomer.pid in alive
        if old_alive and new_alive and state.newcomer is not None:
            self._enter_phase(state.phase, state.serving, state.newcomer)
            self._answered = state.phase != "beside"
            if state.phase in ("ending", "back"):
                # What was on the disk may not have been done.
                self._deferred_actions = [End(state.serving.pid if state.phase == "ending" else state.newcomer.pid)]
        elif new_alive and state.newcomer is not None:
            self._enter_alone(state.newcomer, "arrived")  # the one before has gone meanwhile
        elif old_alive:
            # One that was not ready, or had not even begun, is begun again, by the place that is held.
            call = {"back": "arrived", "trial": "failed", "ending": "failed"}.get(state.phase, "")
            self._enter_alone(state.serving, call, "its keeper found it gone")
        else:
            self._enter_down(state.serving, "failed" if state.newcomer is not None else "", "all of it was gone")

    # -- steps

    def _enter_phase(self, phase: Phase, serving: Child, newcomer: Child | None) -> None:
        self.state = KeeperState(serving, newcomer, phase)
        durations = {
            "beside": self.plan.ready,
            "trial": self.plan.trial,
            "ending": self.plan.end,
            "back": self.plan.end,
        }
        self._phase_deadline = self.now + durations.get(phase, inf)

    def _enter_alone(self, child: Child, call: str = "", why: str = "") -> None:
        self._enter_phase("alone", child, None)
        self._answered = False
        if call:
            self._queue_call(call, child, why)

    def _enter_down(self, child: Child, call: str = "", why: str = "") -> None:
        self._enter_phase("down", Child(child.version), None)
        self._next_start_at = max(self._next_start_at, self.now)
        if call:
            self._queue_call(call, child, why)

    def _queue_call(self, what: str, child: Child, why: str = "") -> None:
        self._pending_call, self._next_call_at = FleetCall(what, (f"-{child.name}", *why.split())), -inf

    # -- what happens

    def on_time(self, now: float) -> list[Action]:
        """Whatever is due."""
        self.now, actions, self._deferred_actions = now, self._deferred_actions, []
        state = self.state
        if self.stopping and now >= self._phase_deadline:
            # One that hangs in its drain must not keep its keeper, and whoever waits for that, for ever.
            self._phase_deadline = inf
            children = (state.serving, state.newcomer)
            return [End(child.pid, kill=True) for child in children if child is not None and child.pid]
        if self.stopping or self.failure:
            return actions
        if state.phase == "down" and not self._starting and now >= self._next_start_at:
            self._starting = True
            actions.append(Start(state.serving, False))
        elif state.phase == "beside" and state.newcomer is not None and now >= self._phase_deadline:
            actions.append(End(state.newcomer.pid, kill=True))  # its end is heard of, and is a failure
            self._phase_deadline = inf
        elif state.phase == "trial" and now >= self._phase_deadline:
            self._enter_phase("ending", state.serving, state.newcomer)
            actions.append(End(state.serving.pid))
        elif state.phase in ("ending", "back") and now >= self._phase_deadline:
            late = state.serving if state.phase == "ending" else state.newcomer
            assert late is not None
            actions.append(End(late.pid, kill=True))
            self._phase_deadline = inf
        if self._pending_call is not None and state.phase != "down" and now >= self._next_call_at:
            self._next_call_at = now + REPEAT_CALL_PAUSE
            actions.append(self._pending_call)
        return actions

    def on_started(self, child: Child, beside: bool, now: float) -> list[Action]:
        """A process has been started."""
        self.now, self._starting, self._answered = now, False, False
        if beside:
            self._enter_phase("beside", self.state.serving, child)
        else:
            self._enter_phase("alone", child, None)
        return []

    def on_not_started(self, beside: bool, why: str, now: float) -> list[Action]:
        """Its command could not be run."""
        self.now, self._starting = now, False
        if beside:
            self._queue_call("failed", self.state.serving, why)
        else:
            self._crashed(now)
        return []

    def on_ready(self, pid: int, now: float) -> list[Action]:
        """The process of that id answers PING with yes."""
        self.now, state = now, self.state
        if state.phase == "beside" and state.newcomer is not None and state.newcomer.pid == pid:
            self._enter_phase("trial", state.serving, state.newcomer)
        elif state.phase == "alone" and state.serving.pid == pid and not self._answered:
            self._answered, self._back_off = True, BACK_OFF[0]
        return []

    def on_ended(self, pid: int, status: int | None, now: float) -> list[Action]:
        """A process has gone; its status where it was this keeper's own child."""
        self.now, state = now, self.state
        outcome = "it ended" if status is None else f"it ended with status {status}"
        if state.newcomer is not None and pid == state.newcomer.pid:
            if state.phase == "back":
                self._enter_alone(state.serving, "arrived")
            elif state.phase == "ending":
                # The one before drains by now and cannot serve again.
                self._enter_down(state.serving, "failed", f"{outcome} after its trial")
            else:
                when = "before it was ready" if state.phase == "beside" else "within its trial"
                self._enter_alone(state.serving, "failed", f"{outcome} {when}")
        elif pid == state.serving.pid:
            if state.newcomer is not None and state.phase in ("trial", "ending"):
                self._enter_alone(state.newcomer, "arrived")
            elif state.newcomer is not None:
                # It died before the newcomer had served, or while that drains: start anew, beside nobody.
                self._enter_down(state.serving, "failed", "the one before it ended meanwhile")
                return [End(state.newcomer.pid, kill=True)]
            elif status == 0:
                self._enter_down(state.serving)  # it was asked to drain: whoever asked has it back
            else:
                self._enter_down(state.serving)
                self._crashed(now)
        return []

    def _crashed(self, now: float) -> None:
        """A pause before the next start that grows; too many and there is none."""
        self._crashes.append(now)
        while self._crashes and self._crashes[0] < now - self.plan.span:
            self._crashes.popleft()
        if len(self._crashes) >= self.plan.crashes:
            self.failure = f"{len(self._crashes)} crashes within {self.plan.span:g} s"
        self._next_start_at = now + self._back_off
        self._back_off = min(BACK_OFF[1], 2 * self._back_off)

    def on_order(self, order: Order, now: float) -> list[Action]:
        """What the fleet has agreed on, heard from the dispatcher that serves."""
        self.now, state = now, self.state
        wanted = INITIAL_VERSION if order.version is None else order.version.name
        if self.stopping or self.failure or self._pending_call is not None or self._starting:
            return []
        if state.phase == "alone":
            if wanted == state.serving.name:
                if order.place:
                    self._queue_call("arrived", state.serving)  # it has what it is to have: no place is needed
            elif order.place and not order.begun:
                self._pending_order, self._pending_call = order, FleetCall("takes", (str(order.place),))
                self._next_call_at = now + REPEAT_CALL_PAUSE
                return [self._pending_call]
            elif order.place:
                return self._start_newcomer(order)  # a keeper before this one took it
        elif state.phase in ("beside", "trial") and state.newcomer is not None and wanted == state.serving.name:
            if state.newcomer.name != wanted and order.place:
                # Undone while it is on trial: the one before serves again.
                newcomer = state.newcomer
                self._enter_phase("back", state.serving, newcomer)
                return [End(newcomer.pid)]
        return []

    def _start_newcomer(self, order: Order) -> list[Action]:
        self._starting = True
        return [Start(Child(order.version), True)]

    def on_call_result(self, call: FleetCall, status: str, now: float) -> list[Action]:
        """The fleet's answer: done, refused, or none for lack of a majority (then it is told again)."""
        self.now = now
        if call != self._pending_call or status not in ("done", "refused"):
            return []
        self._pending_call = None
        if (
            call.what == "takes"
            and status == "done"
            and self.state.phase == "alone"
            and self._pending_order is not None
        ):
            return self._start_newcomer(self._pending_order)
        return []

    def on_stop(self, now: float) -> list[Action]:
        """This keeper and its dispatcher are to end: all drain."""
        self.now, self.stopping, state = now, True, self.state
        self._phase_deadline = now + self.plan.end
        ends: list[Action] = [End(state.serving.pid)] if state.serving.pid else []
        return ends + ([End(state.newcomer.pid)] if state.newcomer is not None else [])
