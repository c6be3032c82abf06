"""A load plan, TOML: what is sent, by whom, how often, and how clients behave; one typed schema checks it."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import merge
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
import numpy as np

from thistleshore.config import typed
from thistleshore.load.arrivals import Process, times
from thistleshore.load.shapes import AnyShape, factor, peak

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Zero = Annotated[float, msgspec.Meta(ge=0.0)]
Part = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class PlanError(ValueError):
    """A plan that cannot be used; the text names the faulty key."""


class Again(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How clients ask again after a refusal: how often at most, after how long, and whether they obey `Retry-After`."""

    most: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    wait: Zero = 0.0  # s
    obey: bool = True  # Retry-After, where it is told
    marked: bool = True  # X-Resent: 1


class Source(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one member and class.  Times in seconds, rates a second."""

    job_class: str = msgspec.field(name="class")
    rate: Positive
    member: str = ""
    process: Process = "poisson"
    shapes: list[AnyShape] = []  # noqa: RUF012 - msgspec copies it
    path: str = ""  # "": a slash and the class
    size: Annotated[int, msgspec.Meta(ge=0, le=65536)] = 16  # bytes of a body
    deadline: Positive = 10.0  # a client waits so long for one try
    patience: Zero = 0.0  # s beyond it for which an answer is still heard, to tell late from never
    wanted: Positive = 1.0  # answered within this, from when it was meant to be sent, it earns its worth
    worth: Zero = 1.0
    late_share: Part = 0.2  # of the worth, for what is answered later
    fresh: Part = 0.0  # of the requests that take a connection of their own
    again: Again = Again()
    keyed: bool = False  # each first try and its repeats have a key of their own


class LoadPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole of a run."""

    target: str
    source: Annotated[list[Source], msgspec.Meta(min_length=1)]
    seconds: Positive = 30.0
    seed: int = 1
    lag_bound: Positive = 0.01  # s that requests may be sent late, 99 of 100; beyond it the result is marked late
    interval: Positive = 1.0  # s of one row in the table
    requests_most: Annotated[int, msgspec.Meta(ge=1)] = 1_000_000

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.target.rpartition(":")
        return host.strip("[]"), int(port)


class Arrival(NamedTuple):
    """A request as it is meant to be: when, from the start, and of which source."""

    when: float
    source: int
    number: int  # among its source's
    fresh: bool


def read(path: Path) -> LoadPlan:
    """The plan of a file, or PlanError with the key."""
    return convert(typed.read(path, PlanError))


def convert(found: Any) -> LoadPlan:
    """The plan of tables that were read."""
    plan = typed.convert(found, LoadPlan, PlanError)
    host, colon, port = plan.target.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise PlanError(f"target: {plan.target!r} is no address of the form HOST:PORT")
    return plan


def arrivals(plan: LoadPlan, part: int = 0, parts: int = 1) -> Iterator[Arrival]:
    """All requests in order of their times; of several senders, each takes every so-manieth of a source.

    Splitting changes nothing: the times are drawn whole by everyone, and dealt out.
    """
    return merge(*(_of(plan, number, part, parts) for number in range(len(plan.source))))


def _of(plan: LoadPlan, number: int, part: int, parts: int) -> Iterator[Arrival]:
    source, random = plan.source[number], np.random.default_rng((plan.seed, number))
    shapes = tuple(source.shapes)
    drawn = times(
        source.process, lambda t: source.rate * factor(shapes, t), source.rate * peak(shapes), plan.seconds, random
    )
    choose = np.random.default_rng((plan.seed, number, 1))
    for count, when in enumerate(drawn):
        fresh = bool(choose.random() < source.fresh)
        if count % parts == part:
            yield Arrival(when, number, count, fresh)
