"""Fleet membership: the members, their generations, and the service state of each."""

from thistleshore.fleet.machine import Fleet
from thistleshore.fleet.model import Record, Service, State, Terms

__all__ = ["Fleet", "Record", "Service", "State", "Terms"]
