"""thistleshore: a job dispatcher on sockets, around the decisions of oxbowarch."""

__version__ = "0.1.0"
