"""A keeper's decisions: one dispatcher, started and started again, and replaced as the fleet has agreed.

Sans-IO: what ended, what answers and what is ordered come in with the time; out come actions, and the state that has to
be on the disk before they are carried out.  A process is known by its id and its time of birth.
"""

from __future__ import annotations

from collections import deque
from math import inf
from typing import Literal, NamedTuple

import msgspec

from thistleshore.releases.model import BASE, Version

BACK_OFF = (0.5, 30.0)  # s before a crashed dispatcher is started again: the first, and the most
AGAIN = 1.0  # s before the fleet is told once more what it has not taken

Phase = Literal["down", "alone", "beside", "trial", "ending", "back", "over"]


class Child(msgspec.Struct, frozen=True):
    """A process that was started: its id and birth (0: it is being started), and what it was started as."""

    version: Version | None  # None: the keeper's own
    pid: int = 0
    born: int = 0

    @property
    def name(self) -> str:
        return BASE if self.version is None else self.version.name


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
    hard: bool = False  # SIGKILL; else SIGTERM, and it drains


class FleetCall(NamedTuple):
    """To the fleet, by the dispatcher that serves: takes, arrived or failed."""

    what: str
    words: tuple[str, ...]


Action = Start | End | FleetCall


class Keeper:
    """One dispatcher's.  `kept` is to be written whenever it has changed, before the actions are carried out."""

    def __init__(self, plan: Plan, kept: KeeperState | None, alive: frozenset[int], now: float) -> None:
        """`kept` is what the keeper before left, and `alive` which of its processes live."""
        self.plan, self.now = plan, now
        self.kept = kept or KeeperState(Child(None))
        self.over = False  # it is told to end
        self.lost = ""  # why it does not go on
        self._crashes: deque[float] = deque()
        self._start_at, self._pause = now, BACK_OFF[0]
        self._ready = False  # whoever is waited for has answered
        self._until = inf  # when the phase is over
        self._say: FleetCall | None = None  # until the fleet has taken it
        self._say_at = -inf
        self._asked: Order | None = None
        self._starting = False
        self._owed: list[Action] = []
        if kept is not None:
            self._adopt(kept, alive)

    def _adopt(self, kept: KeeperState, alive: frozenset[int]) -> None:
        old, new = kept.serving.pid in alive, kept.newcomer is not None and kept.newcomer.pid in alive
        if old and new and kept.newcomer is not None:
            self._phase(kept.phase, kept.serving, kept.newcomer)
            self._ready = kept.phase != "beside"
            if kept.phase in ("ending", "back"):
                # What was on the disk may not have been done.
                self._owed = [End(kept.serving.pid if kept.phase == "ending" else kept.newcomer.pid)]
        elif new and kept.newcomer is not None:
            self._alone(kept.newcomer, "arrived")  # the one before has gone meanwhile
        elif old:
            # One that was not ready, or had not even begun, is begun again, by the place that is held.
            word = {"back": "arrived", "trial": "failed", "ending": "failed"}.get(kept.phase, "")
            self._alone(kept.serving, word, "its keeper found it gone")
        else:
            self._down(kept.serving, "failed" if kept.newcomer is not None else "", "all of it was gone")

    # -- steps

    def _phase(self, phase: Phase, serving: Child, newcomer: Child | None) -> None:
        self.kept = KeeperState(serving, newcomer, phase)
        lasts = {"beside": self.plan.ready, "trial": self.plan.trial, "ending": self.plan.end, "back": self.plan.end}
        self._until = self.now + lasts.get(phase, inf)

    def _alone(self, child: Child, word: str = "", why: str = "") -> None:
        self._phase("alone", child, None)
        self._ready = False
        if word:
            self._tell(word, child, why)

    def _down(self, child: Child, word: str = "", why: str = "") -> None:
        self._phase("down", Child(child.version), None)
        self._start_at = max(self._start_at, self.now)
        if word:
            self._tell(word, child, why)

    def _tell(self, what: str, child: Child, why: str = "") -> None:
        self._say, self._say_at = FleetCall(what, (f"-{child.name}", *why.split())), -inf

    # -- what happens

    def on_time(self, now: float) -> list[Action]:
        """Whatever is due."""
        self.now, actions, self._owed = now, self._owed, []
        kept = self.kept
        if self.over and now >= self._until:
            # One that hangs in its drain must not keep its keeper, and whoever waits for that, for ever.
            self._until = inf
            both = (kept.serving, kept.newcomer)
            return [End(child.pid, hard=True) for child in both if child is not None and child.pid]
        if self.over or self.lost:
            return actions
        if kept.phase == "down" and not self._starting and now >= self._start_at:
            self._starting = True
            actions.append(Start(kept.serving, False))
        elif kept.phase == "beside" and kept.newcomer is not None and now >= self._until:
            actions.append(End(kept.newcomer.pid, hard=True))  # its end is heard of, and is a failure
            self._until = inf
        elif kept.phase == "trial" and now >= self._until:
            self._phase("ending", kept.serving, kept.newcomer)
            actions.append(End(kept.serving.pid))
        elif kept.phase in ("ending", "back") and now >= self._until:
            late = kept.serving if kept.phase == "ending" else kept.newcomer
            assert late is not None
            actions.append(End(late.pid, hard=True))
            self._until = inf
        if self._say is not None and kept.phase != "down" and now >= self._say_at:
            self._say_at = now + AGAIN
            actions.append(self._say)
        return actions

    def on_started(self, child: Child, beside: bool, now: float) -> list[Action]:
        """A process has been started."""
        self.now, self._starting, self._ready = now, False, False
        if beside:
            self._phase("beside", self.kept.serving, child)
        else:
            self._phase("alone", child, None)
        return []

    def on_not_started(self, beside: bool, why: str, now: float) -> list[Action]:
        """Its command could not be run."""
        self.now, self._starting = now, False
        if beside:
            self._tell("failed", self.kept.serving, why)
        else:
            self._crashed(now)
        return []

    def on_ready(self, pid: int, now: float) -> list[Action]:
        """The process of that id answers PING with yes."""
        self.now, kept = now, self.kept
        if kept.phase == "beside" and kept.newcomer is not None and kept.newcomer.pid == pid:
            self._phase("trial", kept.serving, kept.newcomer)
        elif kept.phase == "alone" and kept.serving.pid == pid and not self._ready:
            self._ready, self._pause = True, BACK_OFF[0]
        return []

    def on_ended(self, pid: int, status: int | None, now: float) -> list[Action]:
        """A process has gone; its status where it was this keeper's own child."""
        self.now, kept = now, self.kept
        told = "it ended" if status is None else f"it ended with status {status}"
        if kept.newcomer is not None and pid == kept.newcomer.pid:
            if kept.phase == "back":
                self._alone(kept.serving, "arrived")
            elif kept.phase == "ending":
                # The one before drains by now and cannot serve again.
                self._down(kept.serving, "failed", f"{told} after its trial")
            else:
                when = "before it was ready" if kept.phase == "beside" else "within its trial"
                self._alone(kept.serving, "failed", f"{told} {when}")
        elif pid == kept.serving.pid:
            if kept.newcomer is not None and kept.phase in ("trial", "ending"):
                self._alone(kept.newcomer, "arrived")
            elif kept.newcomer is not None:
                # It died before the newcomer had served, or while that drains: start anew, beside nobody.
                self._down(kept.serving, "failed", "the one before it ended meanwhile")
                return [End(kept.newcomer.pid, hard=True)]
            elif status == 0:
                self._down(kept.serving)  # it was asked to drain: whoever asked has it back
            else:
                self._down(kept.serving)
                self._crashed(now)
        return []

    def _crashed(self, now: float) -> None:
        """A pause before the next start that grows; too many and there is none."""
        self._crashes.append(now)
        while self._crashes and self._crashes[0] < now - self.plan.span:
            self._crashes.popleft()
        if len(self._crashes) >= self.plan.crashes:
            self.lost = f"{len(self._crashes)} crashes within {self.plan.span:g} s"
        self._start_at = now + self._pause
        self._pause = min(BACK_OFF[1], 2 * self._pause)

    def on_order(self, order: Order, now: float) -> list[Action]:
        """What the fleet has agreed on, heard from the dispatcher that serves."""
        self.now, kept = now, self.kept
        wanted = BASE if order.version is None else order.version.name
        if self.over or self.lost or self._say is not None or self._starting:
            return []
        if kept.phase == "alone":
            if wanted == kept.serving.name:
                if order.place:
                    self._tell("arrived", kept.serving)  # it has what it is to have: no place is needed
            elif order.place and not order.begun:
                self._asked, self._say = order, FleetCall("takes", (str(order.place),))
                self._say_at = now + AGAIN
                return [self._say]
            elif order.place:
                return self._begin(order)  # a keeper before this one took it
        elif kept.phase in ("beside", "trial") and kept.newcomer is not None and wanted == kept.serving.name:
            if kept.newcomer.name != wanted and order.place:
                # Undone while it is on trial: the one before serves again.
                newcomer = kept.newcomer
                self._phase("back", kept.serving, newcomer)
                return [End(newcomer.pid)]
        return []

    def _begin(self, order: Order) -> list[Action]:
        self._starting = True
        return [Start(Child(order.version), True)]

    def on_said(self, say: FleetCall, status: str, now: float) -> list[Action]:
        """The fleet's answer: done, refused, or none for lack of a majority (then it is told again)."""
        self.now = now
        if say != self._say or status not in ("done", "refused"):
            return []
        self._say = None
        if say.what == "takes" and status == "done" and self.kept.phase == "alone" and self._asked is not None:
            return self._begin(self._asked)
        return []

    def on_end(self, now: float) -> list[Action]:
        """This keeper and its dispatcher are to end: all drain."""
        self.now, self.over, kept = now, True, self.kept
        self._until = now + self.plan.end
        ends: list[Action] = [End(kept.serving.pid)] if kept.serving.pid else []
        return ends + ([End(kept.newcomer.pid)] if kept.newcomer is not None else [])
