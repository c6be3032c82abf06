"""Reads one request from a client's connection, within limits on what it may cost."""

from __future__ import annotations

from typing import NamedTuple

import h11

from thistleshore.platform.messages import BODY_MOST, Rejected, check_framing, header
from thistleshore.platform.peer import Peer

TOO_LARGE = "a body holds 64 KiB at most"


class WholeRequest(NamedTuple):
    """A request whose last byte has come."""

    head: h11.Request
    body: bytes


async def read_request(peer: Peer) -> WholeRequest | None:
    """Read a whole request; None where the client went away in its midst, Rejected where it is not to be had."""
    head = await peer.event()
    if not isinstance(head, h11.Request):
        return None
    check_framing(peer.head)
    peer.head = b""
    if head.method == b"HEAD":
        raise Rejected(405, "")  # any body behind its answer would break the connection's framing
    length = header(head.headers, b"content-length")
    if length is not None and int(length) > BODY_MOST:
        raise Rejected(413, TOO_LARGE)
    if peer.http.they_are_waiting_for_100_continue:
        await peer.send(h11.InformationalResponse(status_code=100, headers=[]))
    body = await _read_body(peer)
    if peer.http.trailing_data[0]:
        # One request at a time: what follows stands inside a body whose length was said too short.
        raise Rejected(400, "more has come than one request")
    return WholeRequest(head, body)


async def _read_body(peer: Peer) -> bytes:
    body = bytearray()
    while isinstance(event := await peer.event(), h11.Data):
        body += event.data
        if len(body) > BODY_MOST:  # a body in chunks says its length nowhere
            raise Rejected(413, TOO_LARGE)
    return bytes(body)
