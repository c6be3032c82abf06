"""The beanstalkd front: its tubes, and the hosts that reserve from it."""

from __future__ import annotations

from thistleshore.beanstalkd.downstream import Tubes
from thistleshore.beanstalkd.upstream import Hosts
from thistleshore.wiring.components import BoundFront, Components


def start_front(components: Components) -> None:
    """Make the front and its hosts; it listens once all else is there."""
    plan, broker = components.plan, components.broker
    assert plan.beanstalkd is not None
    hosts = Hosts(plan.beanstalkd.seats, broker.inbox, plan.connect_within)
    broker.carriers[str] = hosts
    tubes = Tubes(plan.beanstalkd.router, hosts, broker.inbox, plan.streams_most, plan.downstream_most)
    components.fronts.append(BoundFront(tubes, plan.beanstalkd.listen))
