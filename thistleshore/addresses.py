"""Addresses of sockets, and IP addresses as integers.

An integer has 128 bits; IPv4 lies in ::ffff:0:0/96, so that a client that comes by an IPv6 socket is the same client.
"""

from __future__ import annotations

import socket

Address = tuple[str, int]  # host and port

MAPPED = 0xFFFF << 32  # ::ffff:0:0


def address_text(address: Address) -> str:
    """HOST:PORT, an IPv6 host in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def ip_number(text: str) -> int | None:
    """An address as an integer; None where the text is none.  A zone (`fe80::1%eth0`) is no part of it."""
    try:
        if ":" in text:
            return int.from_bytes(socket.inet_pton(socket.AF_INET6, text.partition("%")[0]), "big")
        return MAPPED | int.from_bytes(socket.inet_pton(socket.AF_INET, text), "big")
    except (OSError, ValueError):  # ValueError: a NUL within
        return None


def ip_text(number: int) -> str:
    """An address as text, IPv4 in its own form."""
    if number >> 32 == 0xFFFF:
        return socket.inet_ntop(socket.AF_INET, (number & 0xFFFFFFFF).to_bytes(4, "big"))
    return socket.inet_ntop(socket.AF_INET6, number.to_bytes(16, "big"))
