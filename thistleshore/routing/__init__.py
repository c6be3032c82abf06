"""Which contract, member and key a stream gets: the operator's rules, tied to the contracts that they name."""

from thistleshore.routing.table import ActiveRouteTable, RouteDecision, RouteTable, RouteTableError, Terms

__all__ = ["ActiveRouteTable", "RouteDecision", "RouteTable", "RouteTableError", "Terms"]
