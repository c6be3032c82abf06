"""The admin calls as bytes: what a connection says, and what it is answered.  No socket and no clock.

A connection carries one line, ended by a line feed, with a carriage return before it or not.  A line that is cut off by
the connection's end is not carried out: `DETACH s-1` may be the beginning of `DETACH s-12`.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

LINE_MOST = 512  # bytes of a line; names of hosts are far shorter
FLEET_MOST = 4096  # of one of FLEET: the longest says what a release is
TAKES_HOST = {"PING": False, "INFO": False, "DETACH": True, "ATTACH": True}


# Calls of the fleet, and how many words they take behind their name.
FLEET = {"members": (0, 0), "status": (0, 0), "events": (1, 1), "leave": (0, 0), "forget": (1, 1),
         "out": (0, 0), "begin": (0, 0), "voters": (1, 1), "limits": (1, 1), "drain": (2, 40),
         "return": (2, 40), "release": (0, 0), "order": (0, 0), "start": (1, 200), "takes": (1, 1),
         "arrived": (1, 1), "failed": (1, 60),
         "host-takes": (2, 2), "host-arrived": (2, 2), "host-failed": (2, 60),
         "halt": (0, 40), "resume": (0, 40), "undo": (0, 40),
         "config-piece": (4, 4), "config-push": (3, 60), "config-rollback": (2, 60),
         "config-status": (0, 1), "config-history": (0, 0)}  # fmt: skip


class Call(NamedTuple):
    name: str
    host: str = ""  # of FLEET: what is asked
    more: str = ""


class BadCall(Exception):
    """What was said is no call; the text is for the caller."""


class LineReader:
    """Collects one line from a connection's bytes."""

    def __init__(self) -> None:
        self._held = b""

    def feed(self, data: bytes) -> Call | None:
        """The call once its line is whole, None before; BadCall where it is none.  b"": the connection's end."""
        if not data:
            raise BadCall("the line has no end" if self._held else "nothing was asked")
        self._held += data
        line, ended, more = self._held.partition(b"\n")
        most = FLEET_MOST if line.startswith(b"FLEET ") else LINE_MOST
        if len(line) > most:
            raise BadCall(f"a line has at most {most} bytes")
        if not ended:
            return None
        if more:
            raise BadCall("one line a connection")
        return read_call(line)


def read_call(line: bytes) -> Call:
    """A call from its line without the line feed, or BadCall."""
    try:
        text = line.decode()
    except UnicodeDecodeError:
        raise BadCall("the line is not text") from None
    text = text.removesuffix("\r")
    if not text.isprintable():
        raise BadCall("the line is not text")
    name, *rest = text.split() or [""]
    if name == "FLEET":
        least, most = FLEET.get(rest[0], (1, 0)) if rest else (1, 0)
        if not least <= len(rest) - 1 <= most:
            raise BadCall(f"FLEET takes one of {', '.join(FLEET)}, with what it is about")
        return Call(name, rest[0], " ".join(rest[1:]))
    if name not in TAKES_HOST:
        raise BadCall(f"unknown call; one of {', '.join(TAKES_HOST)} is wanted")
    if len(rest) != TAKES_HOST[name]:
        raise BadCall(f"{name} takes {'one ID' if TAKES_HOST[name] else 'no argument'}")
    return Call(name, *rest)


def written(call: Call) -> bytes:
    """A call as its line."""
    return " ".join(filter(None, call)).encode() + b"\n"


def yes() -> bytes:
    return b"OK\n"


def no(reason: str) -> bytes:
    return b"ERR " + reason.encode() + b"\n"


def figures(told: Mapping[str, Any] | list[Any]) -> bytes:
    """The answer to INFO and FLEET: one JSON object on a line, and END."""
    return json.dumps(told, separators=(",", ":")).encode() + b"\nEND\n"
