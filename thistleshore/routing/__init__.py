"""Which contract, member and key a stream gets: the operator's rules, tied to the contracts that they name."""

from thistleshore.routing.table import Live, Routed, RouteTable, TableError, Terms

__all__ = ["Live", "RouteTable", "Routed", "TableError", "Terms"]
