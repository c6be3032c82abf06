"""oxbowarch: the decisions of a dispatcher that pushes jobs to workers."""

from oxbowarch.brain import Brain
from oxbowarch.interface import Settings

__all__ = ["Brain", "Settings"]
