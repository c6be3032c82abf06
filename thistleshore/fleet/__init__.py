"""The view of the fleet: who is there, of which life, and how each serves."""

from thistleshore.fleet.machine import Fleet
from thistleshore.fleet.model import Record, Service, State, Terms

__all__ = ["Fleet", "Record", "Service", "State", "Terms"]
