"""The components of one running dispatcher, as the modules that wire them see them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from socket import socket
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from oxbowarch.brain import Brain
from thistleshore.addresses import Address
from thistleshore.config import Plan
from thistleshore.core.broker import Broker
from thistleshore.core.model import HostLine
from thistleshore.follower import Follower
from thistleshore.gate import Gate
from thistleshore.platform.discovery import Discovery
from thistleshore.platform.downstream import Downstream
from thistleshore.platform.peers import Peers
from thistleshore.platform.upstream import Upstreams

if TYPE_CHECKING:  # imported only where the plan has them
    from thistleshore.admin.listener import Admin
    from thistleshore.configuration.applying import Applier
    from thistleshore.configuration.carrier import Distribution
    from thistleshore.fleet.carrier import Carrier
    from thistleshore.releases.carrier import Releases
    from thistleshore.restart.carrier import Inherited
    from thistleshore.restart.handover_state import HandoverState


class Front(Protocol):
    """A downstream side: it serves until its gate drains and what it took is finished."""

    gate: Gate

    @property
    def ready(self) -> bool:
        """Listening, with a list of hosts, and not draining."""
        ...

    async def run(self, address: Address, task_status: trio.TaskStatus[None]) -> None: ...


class BoundFront(NamedTuple):
    """A front and the address that it listens on."""

    front: Front
    address: Address


class InitialState(NamedTuple):
    """What a dispatcher starts from: the plan alone, or what the process before it in a hot restart has left."""

    brain: Brain
    known_hosts: tuple[HostLine, ...]
    list_version: int  # discovery's, of those hosts
    inherited: Inherited | None = None

    @classmethod
    def cold(cls, plan: Plan, inherited: Inherited | None = None) -> InitialState:
        """As the plan says; where what was inherited is no good, its sockets and its line are still of use."""
        list_version = plan.http.known_seq if plan.http is not None else 0
        brain = Brain(plan.settings, plan.seed, trio.current_time())
        return cls(brain, plan.known, list_version, inherited)

    def inherited_socket(self, name: str) -> socket | None:
        """The socket of that name that the process before has handed over."""
        return None if self.inherited is None else self.inherited.sockets.get(name)


@dataclass(slots=True, eq=False)
class Components:
    """Filled in by the modules that wire them, in the order of `thistleshore.dispatcher`."""

    plan: Plan
    drain: trio.Event  # set once this process is to finish what it has taken, and to end
    nursery: trio.Nursery  # of all tasks but those of the fronts; cancelled at the end
    initial: InitialState
    broker: Broker
    upstreams: Upstreams
    applier: Applier | None = None  # of agreed configuration; `plan` has the version on the disk laid over the file
    follower: Follower = field(init=False)  # made once the fronts are
    serving: trio.Event = field(default_factory=trio.Event)  # set once every front listens
    fronts: list[BoundFront] = field(default_factory=list)
    peers: Peers | None = None
    downstream: Downstream | None = None
    discovery: Discovery | None = None
    fleet: Carrier | None = None
    releases: Releases | None = None
    distribution: Distribution | None = None
    admin: Admin | None = None
    handover: HandoverState | None = None
    member_tasks: list[Callable[[], Awaitable[None]]] = field(default_factory=list)  # that wait for `serving`

    def ready(self) -> bool:
        """Whether clients are served: every front listens, and there are hosts to send to."""
        return bool(self.serving.is_set() and self.broker.hosts) and all(bound.front.ready for bound in self.fronts)

    def start_as_member(self, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task of this instance's membership in the fleet.

        In a hot restart it waits until this process serves: until then the process before is the member.
        """
        if self.initial.inherited is None:
            self.nursery.start_soon(run)
        else:
            self.member_tasks.append(run)

    def start_member_tasks(self) -> None:
        """Start the tasks that waited until this process serves."""
        for run in self.member_tasks:
            self.nursery.start_soon(run)
        self.member_tasks.clear()
