"""How the beanstalkd front asks an operator's route table."""

from __future__ import annotations

from thistleshore.expressions.model import PRIORITY_MOST
from thistleshore.expressions.record import UNKNOWN, Request
from thistleshore.routing import ActiveRouteTable, RouteDecision


class TubeRouter:
    def __init__(self, live: ActiveRouteTable) -> None:
        self.live = live

    def route(self, tube: str, size: int, priority: int, address: int = UNKNOWN) -> RouteDecision | None:
        """`size` in bytes of the body; a priority above the protocol's 32 bits counts as the least urgent."""
        made = Request("beanstalkd", size=size, tube=tube, priority=min(priority, PRIORITY_MOST), address=address)
        return self.live.table.route(made)

    @property
    def tubes(self) -> list[str]:
        """The tubes that contracts name; rules may take jobs by others too."""
        return [terms.tube for terms in self.live.table.contracts if terms.tube]
