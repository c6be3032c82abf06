"""What one process counts of itself for the gate, once each answer is written: by class, since its start."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from oxbowarch.interface import JobClass, Status
from thistleshore.core.model import LocalReply, Served, Stream, UpstreamRequest
from thistleshore.releases.driver import Counts, Figures, HostCounts


class Counter:
    """One process's counts, under the version that its keeper has named."""

    def __init__(self, name: str, boot: int, version: str, names: Sequence[str], classes: Sequence[JobClass]) -> None:
        self.name, self.boot, self.version, self.names, self.classes = name, boot, version, names, classes
        self.counts = {name: [0, 0, 0, 0, 0] for name in names}
        self.hosts: dict[str, list[int]] = {}

    def add(self, stream: Stream, began: float) -> None:
        """A stream is over: answered, or its client has gone away."""
        if stream.job_class >= len(self.names):
            return  # of a class that came with a later file
        row, now = self.counts[self.names[stream.job_class]], trio.current_time()
        row[0] += 1
        if isinstance(stream.answer, Served) and now <= stream.deadline:
            row[1] += 1
            row[3] += now - began <= self.classes[stream.job_class].aim
            row[4] += stream.forwards <= 1
        row[2] += isinstance(stream.answer, LocalReply)

    def add_attempt(self, request: UpstreamRequest, status: Status, took: float) -> None:
        """An upstream request has ended; one that was called off tells nothing."""
        if request.cancelled or request.stream.job_class >= len(self.classes):
            return
        row = self.hosts.setdefault(request.host.id.decode(), [0, 0, 0])
        row[0] += 1
        if status is Status.OK:
            row[1] += 1
            row[2] += took <= self.classes[request.stream.job_class].aim

    def figures(self) -> Figures:
        """As of now."""
        classes: dict[str, Counts] = {
            name: (row[0], row[1], row[2], row[3], row[4]) for name, row in self.counts.items()
        }
        hosts: dict[str, HostCounts] = {name: (row[0], row[1], row[2]) for name, row in self.hosts.items()}
        return Figures(self.name, self.boot, self.version, classes, hosts)
