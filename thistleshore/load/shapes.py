"""How a rate changes over time: factors of a base rate, and their products.  No I/O, no clock."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Share = Annotated[float, msgspec.Meta(ge=0.0)]


class Shape(msgspec.Struct, frozen=True, tag_field="kind", forbid_unknown_fields=True):
    """A factor over time; `at(t)` gives it, `peak` the most it ever is.  Times in seconds from the start."""

    def at(self, when: float) -> float:
        raise NotImplementedError

    @property
    def peak(self) -> float:
        raise NotImplementedError


class Constant(Shape, tag="constant", frozen=True):
    factor: Share = 1.0

    def at(self, when: float) -> float:
        return self.factor

    @property
    def peak(self) -> float:
        return self.factor


class Ramp(Shape, tag="ramp", frozen=True):
    """From one factor to another in a straight line; before and behind it stays at the ends."""

    first: Share
    last: Share
    begin: Share = 0.0
    length: Positive = 10.0

    def at(self, when: float) -> float:
        part = min(1.0, max(0.0, (when - self.begin) / self.length))
        return self.first + (self.last - self.first) * part

    @property
    def peak(self) -> float:
        return max(self.first, self.last)


class Step(Shape, tag="step", frozen=True):
    """A jump, such as 2.4 for 8 s, and back."""

    factor: Share
    begin: Share
    length: Positive = math.inf

    def at(self, when: float) -> float:
        return self.factor if self.begin <= when < self.begin + self.length else 1.0

    @property
    def peak(self) -> float:
        return max(1.0, self.factor)


class Sine(Shape, tag="sine", frozen=True):
    """Around 1 by `swing`, which is at most 1."""

    swing: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
    period: Positive
    phase: float = 0.0  # s

    def at(self, when: float) -> float:
        return 1.0 + self.swing * math.sin(2 * math.pi * (when + self.phase) / self.period)

    @property
    def peak(self) -> float:
        return 1.0 + self.swing


class Spikes(Shape, tag="spikes", frozen=True):
    """A spike of `width` at the start of every `period`."""

    factor: Share
    period: Positive
    width: Positive

    def at(self, when: float) -> float:
        return self.factor if when % self.period < self.width else 1.0

    @property
    def peak(self) -> float:
        return max(1.0, self.factor)


AnyShape = Constant | Ramp | Step | Sine | Spikes


def factor(shapes: Sequence[AnyShape], when: float) -> float:
    """The product of shapes at a time."""
    return math.prod(shape.at(when) for shape in shapes)


def peak(shapes: Sequence[AnyShape]) -> float:
    """No less than the product ever is."""
    return math.prod(shape.peak for shape in shapes)
