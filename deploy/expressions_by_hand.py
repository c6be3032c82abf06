"""The rules of expressions.toml written out in Python by hand: the limit that `thistleshore expr bench` compares with.

It returns what the table returns: the rule's name, contract, member and key, or None.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Any

import xxhash

Answer = tuple[str, str, str, int]
MEMBERS = frozenset((
    "ingenzi-coaches", "akagera-express", "isimbi-lines", "kivu-shuttle", "nyanza-travel", "rubavu-road",
    "huye-coaches", "muhazi-bus", "gicumbi-link",
))  # fmt: skip
HOSTS = {
    "ingenzi-coaches.umurongo.example.org": ("host ingenzi", "ingenzi-coaches"),
    "akagera-express.umurongo.example.org": ("host akagera", "akagera-express"),
    "isimbi-lines.umurongo.example.org": ("host isimbi", "isimbi-lines"),
    "kivu-shuttle.umurongo.example.org": ("host kivu", "kivu-shuttle"),
    "kivu.example.org": ("host kivu", "kivu-shuttle"),
}
BULK = frozenset(("/seat-search/bulk", "/seat-search/all", "/export/seats"))
BOOKING = re.compile(r"[0-9]{1,12}\Z")
PARTNER = re.compile(r"/partners/([a-z][a-z0-9-]{1,30})/search\Z")


def ranges(*networks: str) -> list[tuple[int, int]]:
    found = []
    for text in networks:
        net = ipaddress.ip_network(text)
        shift = 0xFFFF << 32 if net.version == 4 else 0
        found.append((shift | int(net.network_address), shift | int(net.broadcast_address)))
    return found


INGENZI = ranges("10.31.0.0/16", "10.32.0.0/17", "2001:db8:31::/48")
AKAGERA = ranges("10.20.0.0/16", "192.0.2.0/25")
ISIMBI = ranges("10.17.0.0/16", "198.51.100.0/24")
OFFICES = ranges("10.0.0.0/8", "192.0.2.0/24", "198.51.100.0/24", "2001:db8::/32")


def within(address: int, networks: list[tuple[int, int]]) -> bool:
    for low, high in networks:  # noqa: SIM110 - any() with a generator is slower
        if low <= address <= high:
            return True
    return False


def number(text: str) -> int:
    return (xxhash.xxh64_intdigest(text.encode()) & 0x7FFFFFFFFFFFFFFF or 1) if text else 0


def decide(request: Any) -> Answer | None:
    path, headers, host, tube = request.path, request.headers, request.host, request.tube
    org = headers.get("x-org", "")
    if path in BULK:
        return "bulk by path", "bulk", org, 0
    searches = path.startswith("/seat-search")
    if searches and request.query.get("bulk", "") == "1":
        return "bulk by query", "bulk", org, 0
    if path.startswith("/partners/"):
        if path.startswith("/partners/jambo-tours/"):
            return "partner jambo", "partners", "jambo-tours", 0
        if path.startswith("/partners/safari-link/") and request.size < 4096:
            return "partner safari", "partners", "safari-link", 0
        if found := PARTNER.match(path):
            return "partner others", "partners", found[1], 0
    booking = headers.get("x-booking", "")
    if host == "tickets.umurongo.example.org":
        if BOOKING.match(booking):
            return "tickets host", "tickets", org, int(booking)
        return "tickets host without a number", "tickets", org, number(path)
    tickets = path.startswith("/ticket-issue")
    contract = "tickets" if tickets else "search"
    if host in HOSTS:
        name, member = HOSTS[host]
        return name, contract, member, number(booking)
    if org in MEMBERS:
        if tickets:
            return "tickets of a named member", "tickets", org, number(booking)
        if searches:
            return "searches of a named member", "search", org, 0
    address = request.address
    if request.front == "http":
        if within(address, INGENZI):
            return "counters of ingenzi", contract, "ingenzi-coaches", 0
        if within(address, AKAGERA):
            return "counters of akagera", contract, "akagera-express", 0
        if within(address, ISIMBI):
            return "counters of isimbi", contract, "isimbi-lines", 0
    if tube:
        if tube.startswith("ticket-issue."):
            return "tube of tickets", "tickets", tube.split(".", 1)[1], 0
        if tube.startswith("seat-search.") and request.priority < 4096:
            return "tube of searches", "search", tube.split(".", 1)[1], 0
        if tube.startswith("seat-search.") or tube == "night":
            return "tube of night work", "bulk", "back-office", 0
    if searches and request.size > 16384:
        return "large searches", "bulk", "", 0
    if headers.get("user-agent", "").lower().startswith("umurongo-app/"):
        return "apps", contract, "app", number(request.query.get("booking", ""))
    if within(address, OFFICES):
        plain = _plain(request)
        return None if plain is None else ("offices", plain[1], "office", 0)
    return _plain(request)


def _plain(request: Any) -> Answer | None:
    if request.front == "http":
        if request.path.startswith("/ticket-issue"):
            return "contract[2].path", "tickets", "", 0
        if request.path.startswith("/seat-search"):
            return "contract[0].path", "search", "", 0
    elif request.tube in ("seat-search", "ticket-issue"):
        first = request.tube == "seat-search"
        return ("contract[0].tube", "search", "", 0) if first else ("contract[2].tube", "tickets", "", 0)
    return None
