"""Reads one request from a client's connection, within limits on what it may cost."""

from __future__ import annotations

import re
from typing import NamedTuple

import h11
import trio

from thistleshore.platform.messages import (
    BODY_MOST,
    TOO_MANY_FIELDS,
    Peer,
    Rejected,
    check_framing,
    has_too_many_fields,
    header,
)

CHUNKS_AT_ONCE = 32  # parts of a body that are taken before other connections have their turn
LAST_CHUNK = re.compile(rb"(?:\r?\n)?0+[ \t]*(?:;[^\n]*)?\r?\n")
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
    chunked = header(head.headers, b"transfer-encoding") is not None
    body = await (_read_chunks(peer) if chunked else _read_body(peer))
    if peer.http.trailing_data[0]:
        # One request at a time: what follows stands inside a body whose length was said too short.
        raise Rejected(400, "more has come than one request")
    return WholeRequest(head, body)


async def _read_body(peer: Peer) -> bytes:
    body = bytearray()
    while isinstance(event := await peer.event(), h11.Data):
        body += event.data
    return bytes(body)


async def _read_chunks(peer: Peer) -> bytes:
    """Read a body whose length is said nowhere, and which may come in very many parts, or with very many trailers."""
    body, parts, boundary, trailers = bytearray(), 0, True, False
    while True:
        if boundary:
            rest = peer.http.trailing_data[0]
            trailers = trailers or LAST_CHUNK.match(rest) is not None
            if trailers and has_too_many_fields(rest):
                raise Rejected(431, TOO_MANY_FIELDS)
        event = peer.http.next_event()
        if event is h11.NEED_DATA:
            await peer.receive()
            continue
        if not isinstance(event, h11.Data):
            return bytes(body)
        body += event.data
        boundary = event.chunk_end
        if len(body) > BODY_MOST:
            raise Rejected(413, TOO_LARGE)
        parts += 1
        if parts % CHUNKS_AT_ONCE == 0:
            await trio.lowlevel.checkpoint()
