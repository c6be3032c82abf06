"""The time from agreed to in force at every living, reachable instance, measured from outside the machine.

An instance that ends or is cut off is excused from the versions that it has not yet in force.  When it returns, a clock
of its own begins: until it has in force what was agreed by then.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

BOUND = 18.0  # s from agreed to in force everywhere, the operators' word


class Quantiles(msgspec.Struct, frozen=True):
    """Of times in seconds."""

    n: int
    p50: float | None = None
    p99: float | None = None
    worst: float | None = None
    never: int = 0  # not in force when the run ended
    beyond: int = 0  # over the bound, those that never came to it among them


class Sample(msgspec.Struct):
    """Times in seconds, and how many never came to an end."""

    times: list[float] = []
    never: int = 0

    def add(self, other: Sample) -> None:
        """Take in another sample."""
        self.times = self.times + other.times
        self.never += other.never

    def quantiles(self) -> Quantiles:
        """p50, p99 and the worst of those that came to an end."""
        if not self.times:
            return Quantiles(self.never, never=self.never, beyond=self.never)
        rows = sorted(self.times)
        last = len(rows) - 1
        return Quantiles(
            n=len(rows) + self.never,
            p50=round(rows[last // 2], 3),
            p99=round(rows[min(last, len(rows) * 99 // 100)], 3),
            worst=round(rows[-1], 3),
            never=self.never,
            beyond=self.never + sum(value > BOUND for value in rows),
        )


class Miss(NamedTuple):
    """A version that was not in force somewhere within the bound."""

    number: int
    instance: str
    seconds: float | None  # None: never


class Return(NamedTuple):
    """An instance came back, by a start or because a cut ended."""

    instance: str
    when: float
    target: int  # the last version agreed by then
    seconds: float | None = None  # until that was in force


@dataclass
class _Version:
    """One agreed version and who still has to put it in force."""

    number: int
    when: float
    waiting: set[str]
    last: float = 0.0  # s until the last one so far


@dataclass
class InForceTimes:
    """Follows every version to every instance that it counts for."""

    done: list[float] = field(default_factory=list)
    misses: list[Miss] = field(default_factory=list)
    returns: list[Return] = field(default_factory=list)
    agreed: int = 0
    _standing: dict[str, int] = field(default_factory=dict)  # the version in force at those that count
    _open: dict[int, _Version] = field(default_factory=dict)
    _returning: dict[str, Return] = field(default_factory=dict)

    @property
    def settled(self) -> bool:
        """Whether every version is in force at everyone that it counts for."""
        return not self._open and not self._returning

    def on_agreed(self, number: int, now: float) -> None:
        """A version is agreed on."""
        self.agreed = max(self.agreed, number)
        behind = {name for name, standing in self._standing.items() if standing < number}
        self._open[number] = _Version(number, now, behind)
        self._close([number])

    def on_return(self, instance: str, number: int, now: float) -> None:
        """It starts, or can be reached again, with this version in force."""
        self._standing[instance] = number
        if number < self.agreed:
            self._returning[instance] = Return(instance, now, self.agreed)
        elif self.agreed:
            self.returns.append(Return(instance, now, self.agreed, 0.0))

    def on_gone(self, instance: str) -> None:
        """It ended, or cannot be reached any more."""
        if self._standing.pop(instance, None) is None:
            return
        self._returning.pop(instance, None)
        for version in self._open.values():
            version.waiting.discard(instance)
        self._close(list(self._open))

    def on_in_force(self, instance: str, number: int, now: float) -> None:
        """It says that this version is in force there."""
        if instance not in self._standing:
            return
        self._standing[instance] = number
        for version in self._open.values():
            if version.number <= number and instance in version.waiting:
                version.waiting.discard(instance)
                version.last = now - version.when
                if version.last > BOUND:
                    self.misses.append(Miss(version.number, instance, round(version.last, 3)))
        self._close([open_number for open_number in self._open if open_number <= number])
        returning = self._returning.get(instance)
        if returning is not None and number >= returning.target:
            del self._returning[instance]
            self.returns.append(returning._replace(seconds=round(now - returning.when, 3)))

    def end(self) -> None:
        """The run is over: whoever is still waited for has missed it."""
        for version in self._open.values():
            self.misses += [Miss(version.number, name, None) for name in sorted(version.waiting)]
        self.returns += self._returning.values()

    def everywhere(self) -> Sample:
        """From agreed to in force everywhere, a version each."""
        return Sample(list(self.done), len(self._open))

    def returned(self) -> Sample:
        """From a return to in force, a return each."""
        times = [row.seconds for row in self.returns if row.seconds is not None]
        return Sample(times, len(self.returns) - len(times))

    def _close(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            if not self._open[number].waiting:
                self.done.append(self._open.pop(number).last)
