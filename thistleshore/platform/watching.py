"""When to ask discovery, for what, and when to give a call up: events and time in, the next call out; no I/O.

docs/design/discovery.md sums up the waits: what is told must be known before the limit on drains is over.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from oxbowarch.interface import ListKind, Settings

# The operators' terms: a change counts as told so many s after discovery had it and could be reached, whatever calls
# failed before and whatever one may still wait for; after a move by SIGHUP, so many after the signal.
TOLD_AFTER, TOLD_AFTER_MOVE = 6.0, 4.0
WAIT_MOST = 10.0  # s that a discovery that is shared may hold a call: each, with an empty answer too, is work for it
BRIEF = 1.0  # s that it may after a failed call: one that was made before its return must not take long to be given up
HELD = 1.0  # s that the agent of this machine may: all that this costs is the work of an empty answer here
# s in which a start, or a move, makes its first call there: for each dispatcher that may ask at the same time, at most.
FIRST_EACH, FIRST_MOST = 0.1, 2.0
CARRIED = 0.1  # s from a list that has come to the last request that was sent by the one before
# s before a call to a discovery that is overbooked is made again: for each dispatcher, and at least.
AGAIN_EACH, AGAIN_LEAST = 0.05, 0.1
APART = 0.75  # share of that wait by which it is shorter or longer, by chance: what fails in step comes back spread
SOON_LEAST = 0.75  # s of spread before a call after a watch that broke, where the fleet is large


@dataclass(frozen=True, slots=True)
class Pace:
    """Seconds."""

    wait: float  # that discovery may hold a call
    brief: float  # and one that follows a failed call
    silence: float  # beyond that, until the first byte of the list
    connect: float  # for a connection
    reach: float  # until the first byte, where the call is to be answered at once
    answer: float  # from the first byte of a list to its last
    first: float  # spread of first calls
    soon: float  # spread of the first two calls after a watch that broke
    again: float  # mean wait before a further one, doubled with each up to the last
    again_most: float
    whole: bool  # a list that may have been missed is asked for as a whole


def _between(low: float, wanted: float, high: float) -> float:
    return min(high, max(low, wanted))


def pace_of(settings: Settings) -> Pace:
    limit, fleet = settings.drain_within, settings.balancers
    if not settings.list_on_request:
        # The agent on this machine has been sent all, and what it has counts as told at once: asking it costs it
        # nothing, however many dispatchers there are.  The floors are what a dispatcher's own share of a core allows.
        reach = _between(0.08, limit / 6, 0.5)
        return Pace(
            HELD,
            HELD,
            _between(0.25, limit / 8, 0.5),
            reach,
            reach,
            _between(0.25, limit / 4, 1.0),
            0.0,
            0.0,
            max(0.01, limit / 60),
            _between(0.05, limit / 12, 0.25),
            True,
        )
    silence, connect, reach, answer = 0.5, 0.5, 1.0, 0.5
    known = TOLD_AFTER + limit - CARRIED  # when a change must be, at the latest
    serves = connect + reach + answer  # the longest call that tells it
    # A watch that falls silent as it is opened, and one more loss: two tries fit behind it, with a spread before each.
    tries = 2 * (connect + 0.75)
    wait = min(WAIT_MOST, known - silence - tries - 2 * SOON_LEAST)
    soon = (known - wait - silence - tries) / 2.2
    # Discovery is back just after a call was made that is cut off at its very end: that one, a wait, one that serves.
    most = (known - (connect + BRIEF + silence + answer) - serves) / (1.0 + APART)
    first = min(FIRST_MOST, TOLD_AFTER_MOVE + limit - serves, FIRST_EACH * (fleet - 1))
    return Pace(
        wait,
        min(wait, BRIEF),
        silence,
        connect,
        reach,
        answer,
        first,
        min(AGAIN_EACH * (fleet - 1), soon),
        min(most, max(AGAIN_LEAST, AGAIN_EACH * fleet)),
        most,
        False,
    )


class Call(NamedTuple):
    """The next call: when, for what, and how long for each part of it."""

    at: float
    target: str
    connect: float
    silence: float
    answer: float


class Refused(Exception):
    """A list that is well formed and can't be taken."""


class Watch:
    """One dispatcher's watch on discovery."""

    def __init__(self, settings: Settings, seed: int, now: float, seq: int | None, listed: bool) -> None:
        self.pace, self._random = pace_of(settings), Random(seed)
        self.seq = seq  # None: the next call asks for the whole list
        self._listed = listed  # hosts are known
        self._failed = 0  # calls in a row
        self._answered = False  # one was
        self._called = now  # when the call which is out was made
        self._hold = self.pace.wait  # how long it may be held
        self._asked: int | None = None  # the version that the call which is out is to go on from
        self._faults = set[str]()  # of lines that can't be read, as the last whole list and its changes have them
        self._back: int | None = None  # an older version that was turned down, and may be said again
        self._relist = False  # hosts in hand were read by names that have changed since
        # Herd: a fleet that was killed at once starts at once; its first calls must not come at once as well.
        self._at = now + self.pace.first * self._random.random() * listed

    def on_settings(self, settings: Settings) -> None:
        self.pace = pace_of(settings)

    def on_names(self, now: float) -> None:
        """Names of kinds or localities are new: hosts that were listed under them are to be read again."""
        self._relist = True
        self._at = now + self.pace.first * self._random.random()

    def on_move(self, now: float) -> None:
        """Discovery is elsewhere from now on: versions of the old one mean nothing there."""
        self.seq = self._back = None
        self._failed = 0
        self._at = now + self.pace.first * self._random.random()

    def next(self, now: float) -> Call:
        pace, at = self.pace, max(now, self._at)
        self._called = at
        # What was missed meanwhile may be more than changes; a start waits for what its agent has.  To a discovery
        # that is shared each line is work: it is asked for what is new.
        whole = pace.whole and (self._failed or not self._answered) or self._back is not None or self._relist
        self._asked = None if whole else self.seq
        if self._asked is None:
            return Call(at, "/api/targets", pace.connect, pace.reach, pace.answer)
        self._hold = pace.brief if self._failed else pace.wait
        target = f"/api/targets?after={self._asked}&wait_ms={int(self._hold * 1000)}"
        return Call(at, target, pace.connect, self._hold + pace.silence, pace.answer)

    def on_list(self, seq: int, kind: ListKind, hosts: int, now: float, faults: Sequence[str] = ()) -> None:
        """A list has come; Refused where it can't be taken.  The next call follows at once."""
        if not self._failed and (new := set(faults) - self._faults):
            raise Refused(min(new))  # spoilt on its way, or what discovery has: then it says so again
        if kind is ListKind.FULL and not hosts and self._listed:
            raise Refused("a whole list of no host")  # it would refuse every stream while the hosts serve
        if self.seq is not None and seq < self.seq:
            # One late answer would bring back hosts that are gone; a discovery that has begun anew says it again.
            again = kind is ListKind.FULL and self._asked is None and self._back is not None
            self._back = seq
            if not again:
                raise Refused(f"version {seq} after version {self.seq}")
        self._faults = set(faults) if kind is ListKind.FULL else self._faults.union(faults)
        self.seq, self._back, self._listed = seq, None, self._listed or hosts > 0
        self._relist = self._relist and kind is not ListKind.FULL
        self._failed, self._answered, self._at = 0, True, now

    def on_failed(self, overbooked: bool, now: float) -> None:
        """The call came to nothing; `overbooked`: discovery said so."""
        self._failed += 1
        pace, chance = self.pace, self._random.random()
        if pace.whole:  # no herd: each asks the agent of its own machine
            wait = min(pace.again_most, pace.again * 2 ** min(self._failed - 2, 9)) if self._failed > 1 else 0.0
        elif (self._answered or now - self._called >= self._hold) and self._failed <= 2 and not overbooked:
            wait = pace.soon * chance  # a watch that broke is no sign of a discovery that is overbooked
        else:
            # A fleet of dispatchers that ask on would keep a discovery down that is overbooked.
            wait = min(pace.again_most, pace.again * 2 ** min(self._failed - 1, 9))
            wait *= 1.0 - APART + 2 * APART * chance
        self._at = now + wait
