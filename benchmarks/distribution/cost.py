"""What the distributor itself costs an instance and a voter: CPU inside its machine, bytes, and memory of its state.

CPU is that of the machine's own calls.  Not in it are the calls to sockets, the write to the disk, and reading and
putting a body in force; those are measured with real processes.
"""

from __future__ import annotations

import gc
import os
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Concatenate, ParamSpec, TypeVar

import msgspec

from benchmarks.distribution.bodies import Body
from benchmarks.distribution.fleet import Fleet, Traffic
from benchmarks.distribution.plan import CHANGES, DAY
from thistleshore.distribution.machine import Distributor
from thistleshore.addresses import Address
from thistleshore.distribution.model import Action, Peer, Stamp

SECONDS = 120.0  # of each row
WARM_UP = 10.0
CPU_SHARE_MOST = 0.016  # of a core, the operators' word
BYTES_MOST = 5_000.0  # a second, the operators' word
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024

P = ParamSpec("P")
R = TypeVar("R")


class Cost(msgspec.Struct, frozen=True):
    """One rate of changes."""

    changes_a_minute: float
    traffic: Traffic
    instance_cpu_share: float  # of a core, mean of those that are no voters
    instance_cpu_share_worst: float
    voter_cpu_share: float
    voter_cpu_share_worst: float

    @property
    def within_budget(self) -> bool:
        """Whether the worst instance and the worst voter keep to it."""
        bytes_worst = max(self.traffic.instance_bytes_worst, self.traffic.voter_bytes_worst)
        cpu_worst = max(self.instance_cpu_share_worst, self.voter_cpu_share_worst)
        return bytes_worst <= BYTES_MOST and cpu_worst <= CPU_SHARE_MOST


class CostReport(msgspec.Struct, frozen=True):
    """All rates at one size."""

    instances: int
    state_kb: float  # growth of the resident memory an instance, from nothing to the end; no interpreter, no code
    rows: dict[str, Cost]


class CpuTimes:
    """CPU time of each instance inside its machine, in ns."""

    def __init__(self) -> None:
        self.spent: dict[str, int] = defaultdict(int)


def _timed(
    method: Callable[Concatenate[Timed, P], R],
) -> Callable[Concatenate[Timed, P], R]:
    def timed(self: Timed, *args: P.args, **kwargs: P.kwargs) -> R:
        begun = time.thread_time_ns()
        try:
            return method(self, *args, **kwargs)
        finally:
            self.cpu.spent[self.local_peer.name] += time.thread_time_ns() - begun

    return timed


class Timed(Distributor):
    """A distributor whose calls are timed."""

    cpu: CpuTimes

    @_timed
    def on_view(self, peers: Iterable[Peer], now: float) -> list[Action]:
        return super().on_view(peers, now)

    @_timed
    def on_agreed(self, stamp: Stamp, body: bytes | None, now: float) -> list[Action]:
        return super().on_agreed(stamp, body, now)

    @_timed
    def on_datagram(self, data: bytes, sender: Address, now: float) -> list[Action]:
        return super().on_datagram(data, sender, now)

    @_timed
    def on_time(self, now: float) -> list[Action]:
        return super().on_time(now)

    @_timed
    def on_applied(self, stamp: Stamp, now: float) -> list[Action]:
        return super().on_applied(stamp, now)


def measure_cost(size: int, seed: int) -> CostReport:
    """Stand by, change at the mean rate of the day, and change each second."""
    gc.collect()
    memory = _resident_kb()
    cpu = CpuTimes()

    def made(*given: Any) -> Distributor:
        machine = Timed(*given)
        machine.cpu = cpu
        return machine

    fleet = Fleet(size, seed, kind=made)
    body = Body(seed)
    fleet.push(body.text())
    fleet.run(WARM_UP)
    rates = {"idle": 0.0, "mean of the day": CHANGES / DAY * 60.0, "burst": 60.0}
    rows = {name: _row(fleet, body, cpu, rate) for name, rate in rates.items()}
    gc.collect()
    return CostReport(size, round((_resident_kb() - memory) / size, 1), rows)


def _row(fleet: Fleet, body: Body, cpu: CpuTimes, changes_a_minute: float) -> Cost:
    fleet.count_anew()
    cpu.spent.clear()
    for number in range(round(SECONDS / 60.0 * changes_a_minute)):
        fleet.at(fleet.now + number * 60.0 / changes_a_minute, lambda: fleet.push(body.change()))
    fleet.run(fleet.now + SECONDS)
    voters = [_share(cpu, name) for name in sorted(fleet.voters)]
    others = [_share(cpu, name) for name in fleet.nodes if name not in fleet.voters]
    return Cost(
        changes_a_minute=round(changes_a_minute, 2),
        traffic=fleet.traffic(),
        instance_cpu_share=round(sum(others) / len(others), 6),
        instance_cpu_share_worst=round(max(others), 6),
        voter_cpu_share=round(sum(voters) / len(voters), 6),
        voter_cpu_share_worst=round(max(voters), 6),
    )


def _share(cpu: CpuTimes, name: str) -> float:
    return cpu.spent[name] / 1e9 / SECONDS


def _resident_kb() -> float:
    return float(Path("/proc/self/statm").read_text().split()[1]) * PAGE_KB
