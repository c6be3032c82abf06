"""Counts of one process for the gate: per class since its start, updated when each answer is written."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from oxbowarch.interface import JobClass, Status
from thistleshore.core.model import LocalReply, Served, Stream, UpstreamRequest
from thistleshore.releases.driver import Counts, Figures, HostCounts


class Counter:
    """Counters of one process, labelled with the version that its keeper has set."""

    def __init__(self, name: str, boot: int, version: str, names: Sequence[str], classes: Sequence[JobClass]) -> None:
        self.name, self.boot, self.version, self.names, self.classes = name, boot, version, names, classes
        self.counts = {name: [0, 0, 0, 0, 0] for name in names}
        self.hosts: dict[str, list[int]] = {}

    def add(self, stream: Stream, began: float) -> None:
        """Count a stream that has ended: answered, or abandoned by its client."""
        if stream.job_class >= len(self.names):
            return  # a class added by a later settings file
        row, now = self.counts[self.names[stream.job_class]], trio.current_time()
        row[0] += 1
        if isinstance(stream.answer, Served) and now <= stream.deadline:
            row[1] += 1
            row[3] += now - began <= self.classes[stream.job_class].aim
            row[4] += stream.forwards <= 1
        row[2] += isinstance(stream.answer, LocalReply)

    def add_attempt(self, request: UpstreamRequest, status: Status, took: float) -> None:
        """Count an upstream request that has ended, unless it was cancelled."""
        if request.cancelled or request.stream.job_class >= len(self.classes):
            return
        row = self.hosts.setdefault(request.host.id.decode(), [0, 0, 0])
        row[0] += 1
        if status is Status.OK:
            row[1] += 1
            row[2] += took <= self.classes[request.stream.job_class].aim

    def figures(self) -> Figures:
        """Return the current counts."""
        classes: dict[str, Counts] = {
            name: (row[0], row[1], row[2], row[3], row[4]) for name, row in self.counts.items()
        }
        hosts: dict[str, HostCounts] = {name: (row[0], row[1], row[2]) for name, row in self.hosts.items()}
        return Figures(self.name, self.boot, self.version, classes, hosts)
