"""The state machine of a keeper: starts and restarts one dispatcher, and replaces it as the fleet has agreed.

Sans-IO: takes process exits, readiness and orders with the time, and returns actions; its state must be on disk before
they are carried out.  A process is identified by its id and its start time.
"""

from __future__ import annotations

from collections import deque
from math import inf
from typing import Literal, NamedTuple

import msgspec

from thistleshore.releases.model import INITIAL_VERSION, Version

BACK_OFF = (0.5, 30.0)  # seconds before a crashed dispatcher is started again: first, maximum
REPEAT_CALL_PAUSE = 1.0  # seconds before a call to the fleet without an answer is repeated

Phase = Literal["down", "alone", "beside", "trial", "ending", "back", "over"]


class Child(msgspec.Struct, frozen=True):
    """A process: its version, id and start time in clock ticks since boot (0: not started yet)."""

    version: Version | None  # None: that of the keeper's settings
    pid: int = 0
    born: int = 0

    @property
    def name(self) -> str:
        """Name of its version."""
        return INITIAL_VERSION if self.version is None else self.version.name


class KeeperState(msgspec.Struct, frozen=True):
    """The durable state: the serving process, its replacement if any, and the phase of the replacement."""

    serving: Child
    newcomer: Child | None = None
    phase: Phase = "down"


class Plan(NamedTuple):
    """Time-outs and crash limits, see KeepPlan.  Times are in seconds."""

    ready: float = 15.0
    trial: float = 10.0
    end: float = 15.0
    crashes: int = 5
    span: float = 60.0


class Order(NamedTuple):
    """The fleet's instructions: this dispatcher's version, and the place to change by (0: none yet)."""

    version: Version | None
    place: int
    begun: bool


class Start(NamedTuple):
    """Start a process, alone or beside the serving one."""

    child: Child
    beside: bool


class End(NamedTuple):
    """Signal a process to end."""

    pid: int
    kill: bool = False  # SIGKILL; else SIGTERM, and it drains


class FleetCall(NamedTuple):
    """A call to the fleet through the serving dispatcher: takes, arrived or failed."""

    what: str
    words: tuple[str, ...]


Action = Start | End | FleetCall


class Keeper:
    """Keeps one dispatcher.  `state` must be written whenever it has changed, before the actions are carried out."""

    def __init__(self, plan: Plan, state: KeeperState | None, alive: frozenset[int], now: float) -> None:
        """`state` is that of the previous keeper, and `alive` the ids of its processes that still run."""
        self.plan, self.now = plan, now
        self.state = state or KeeperState(Child(None))
        self.stopping = False  # on_stop was called
        self.failure = ""  # reason for giving up
        self._crashes: deque[float] = deque()
        self._next_start_at, self._back_off = now, BACK_OFF[0]
        self._answered = False  # the awaited process has answered
        self._phase_deadline = inf  # end of the phase
        self._pending_call: FleetCall | None = None  # repeated until the fleet answers
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
                # The state was written, but the signal may not have been sent.
                self._deferred_actions = [End(state.serving.pid if state.phase == "ending" else state.newcomer.pid)]
        elif new_alive and state.newcomer is not None:
            self._enter_alone(state.newcomer, "arrived")  # the old process has exited meanwhile
        elif old_alive:
            # A replacement that was not ready yet is started again with the same place.
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

    # -- events

    def on_time(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        self.now, actions, self._deferred_actions = now, self._deferred_actions, []
        state = self.state
        if self.stopping and now >= self._phase_deadline:
            # A process that hangs in its drain must not block the keeper and whoever waits for it.
            self._phase_deadline = inf
            children = (state.serving, state.newcomer)
            return [End(child.pid, kill=True) for child in children if child is not None and child.pid]
        if self.stopping or self.failure:
            return actions
        if state.phase == "down" and not self._starting and now >= self._next_start_at:
            self._starting = True
            actions.append(Start(state.serving, False))
        elif state.phase == "beside" and state.newcomer is not None and now >= self._phase_deadline:
            actions.append(End(state.newcomer.pid, kill=True))  # on_ended will report the failure
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
        """Handle the start of a process."""
        self.now, self._starting, self._answered = now, False, False
        if beside:
            self._enter_phase("beside", self.state.serving, child)
        else:
            self._enter_phase("alone", child, None)
        return []

    def on_not_started(self, beside: bool, why: str, now: float) -> list[Action]:
        """Handle a command that could not be run."""
        self.now, self._starting = now, False
        if beside:
            self._queue_call("failed", self.state.serving, why)
        else:
            self._crashed(now)
        return []

    def on_ready(self, pid: int, now: float) -> list[Action]:
        """Handle a successful PING of the process with that id."""
        self.now, state = now, self.state
        if state.phase == "beside" and state.newcomer is not None and state.newcomer.pid == pid:
            self._enter_phase("trial", state.serving, state.newcomer)
        elif state.phase == "alone" and state.serving.pid == pid and not self._answered:
            self._answered, self._back_off = True, BACK_OFF[0]
        return []

    def on_ended(self, pid: int, status: int | None, now: float) -> list[Action]:
        """Handle the exit of a process; `status` is None unless it was a child of this keeper."""
        self.now, state = now, self.state
        outcome = "it ended" if status is None else f"it ended with status {status}"
        if state.newcomer is not None and pid == state.newcomer.pid:
            if state.phase == "back":
                self._enter_alone(state.serving, "arrived")
            elif state.phase == "ending":
                # The old process is draining and cannot serve again.
                self._enter_down(state.serving, "failed", f"{outcome} after its trial")
            else:
                when = "before it was ready" if state.phase == "beside" else "within its trial"
                self._enter_alone(state.serving, "failed", f"{outcome} {when}")
        elif pid == state.serving.pid:
            if state.newcomer is not None and state.phase in ("trial", "ending"):
                self._enter_alone(state.newcomer, "arrived")
            elif state.newcomer is not None:
                # It died before the new process served, or while that one drains: start again with neither.
                self._enter_down(state.serving, "failed", "the one before it ended meanwhile")
                return [End(state.newcomer.pid, kill=True)]
            elif status == 0:
                self._enter_down(state.serving)  # it was asked to drain and is started again
            else:
                self._enter_down(state.serving)
                self._crashed(now)
        return []

    def _crashed(self, now: float) -> None:
        """Back off before the next start, or give up after too many crashes."""
        self._crashes.append(now)
        while self._crashes and self._crashes[0] < now - self.plan.span:
            self._crashes.popleft()
        if len(self._crashes) >= self.plan.crashes:
            self.failure = f"{len(self._crashes)} crashes within {self.plan.span:g} s"
        self._next_start_at = now + self._back_off
        self._back_off = min(BACK_OFF[1], 2 * self._back_off)

    def on_order(self, order: Order, now: float) -> list[Action]:
        """Handle the fleet's instructions, as received from the serving dispatcher."""
        self.now, state = now, self.state
        wanted = INITIAL_VERSION if order.version is None else order.version.name
        if self.stopping or self.failure or self._pending_call is not None or self._starting:
            return []
        if state.phase == "alone":
            if wanted == state.serving.name:
                if order.place:
                    self._queue_call("arrived", state.serving)  # it runs the target version: the place can be freed
            elif order.place and not order.begun:
                self._pending_order, self._pending_call = order, FleetCall("takes", (str(order.place),))
                self._next_call_at = now + REPEAT_CALL_PAUSE
                return [self._pending_call]
            elif order.place:
                return self._start_newcomer(order)  # a previous keeper has begun this place
        elif state.phase in ("beside", "trial") and state.newcomer is not None and wanted == state.serving.name:
            if state.newcomer.name != wanted and order.place:
                # The release was undone during the trial: the old process serves again.
                newcomer = state.newcomer
                self._enter_phase("back", state.serving, newcomer)
                return [End(newcomer.pid)]
        return []

    def _start_newcomer(self, order: Order) -> list[Action]:
        self._starting = True
        return [Start(Child(order.version), True)]

    def on_call_result(self, call: FleetCall, status: str, now: float) -> list[Action]:
        """Handle the fleet's answer; the call is repeated unless it is done or refused."""
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
        """End the keeper: drain all its processes."""
        self.now, self.stopping, state = now, True, self.state
        self._phase_deadline = now + self.plan.end
        ends: list[Action] = [End(state.serving.pid)] if state.serving.pid else []
        return ends + ([End(state.newcomer.pid)] if state.newcomer is not None else [])
