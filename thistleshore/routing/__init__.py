"""Routing: the operator's rules assign a contract, a member and a key to each stream."""

from thistleshore.routing.table import ActiveRouteTable, RouteDecision, RouteTable, RouteTableError, Terms

__all__ = ["ActiveRouteTable", "RouteDecision", "RouteTable", "RouteTableError", "Terms"]
