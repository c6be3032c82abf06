"""What happened in one run: the ground truth that the checks judge.

Times are seconds on the driver's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf


@dataclass(slots=True)
class Arrival:
    """A request whose last byte has reached a server."""

    at: float
    server: str
    node: int
    txn: str
    remaining: float  # s, as the dispatcher told the server
    work: float  # s on one core
    ran: bool = False  # it was not turned away unseen


@dataclass(slots=True)
class Start:
    """A server process starts; `told` has when each node's agent had a list that says so."""

    at: float
    server: str
    told: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Drain:
    """A server is to get nothing new; `told` as above."""

    server: str
    told: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Request:
    """One try of a client, on one connection."""

    txn: str
    node: int
    life: int  # which process of that node
    job_class: str
    sent: float  # its last byte was written
    deadline: float
    fresh: bool  # on a new connection
    closed: float = inf  # the client closed
    ended: float = inf  # the answer's last byte, or the end of the connection
    status: int = 0  # 0: no answer


@dataclass(slots=True)
class Life:
    """One process of a dispatcher."""

    node: int
    began: float
    terminated: float = inf  # SIGTERM
    killed: float = inf  # SIGKILL, or its own end
    status: int | None = None


@dataclass(slots=True)
class Retune:
    """A dispatcher is told to read other settings."""

    node: int
    at: float


@dataclass(slots=True)
class Record:
    """All of one run."""

    arrivals: list[Arrival] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    retunes: list[Retune] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)  # when the driver itself was late, and by how much

    def lag(self, begin: float, end: float) -> float:
        """How late the driver was at most in a span; what it measured there may be wrong by as much."""
        return max((late for at, late in self.lags if begin - late <= at <= end + late), default=0.0)
