"""How the HTTP front asks an operator's route table; imported only where an operator's file sets one up."""

from __future__ import annotations

from collections.abc import Iterable

import h11

from thistleshore.expressions.record import UNKNOWN, Request, first_headers, normal_host, read_query, split_target, text
from thistleshore.platform.messages import HEAD_MOST, Rejected
from thistleshore.routing import ActiveRouteTable, RouteDecision


class HttpRouter:
    """Fills the record of a request, as far as the rules read it, and routes it."""

    def __init__(self, live: ActiveRouteTable) -> None:
        self.live = live

    def route(self, request: h11.Request, size: int, address: int = UNKNOWN) -> RouteDecision | None:
        """`size` in bytes of the body; `address` as `addresses.ip_number` gives it."""
        table = self.live.table
        return table.route(fill(request.method, request.target, request.headers, size, address, table.fields))


def fill(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    size: int,
    address: int,
    fields: frozenset[str],
) -> Request:
    """The record of an HTTP request; what `fields` does not name stays empty."""
    if len(target) + sum(len(name) + len(value) for name, value in headers) > HEAD_MOST:
        # h11 lets a head pass that is over the limit but came at once: what rules may cost rests on the limit.
        raise Rejected(431, "a head holds 16 KiB at most")
    made = Request("http", method.decode("ascii"), size=size, address=address)
    authority, made.path, query = split_target(target)
    if "request.query" in fields and query:
        made.query = read_query(query)
    if "request.headers" in fields:
        made.headers = first_headers(headers)
    if "request.host" in fields:
        named = authority or next((text(value) for name, value in headers if name == b"host"), "")
        made.host = normal_host(named)
    return made
