"""What the two processes of a hot restart say to each other: bytes in, values out, no socket and no clock.

The successor says a line of greeting, which names the version; the old process answers with one frame: a line of
version, length and checksum, then so many bytes of JSON.  From then on either says lines of JSON.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple
from zlib import crc32

VERSION = 1
GREETING = b"thistleshore restart %d\n" % VERSION
HEAD_MOST, BODY_MOST, LINE_MOST = 64, 4 * 1024 * 1024, 4096  # bytes


class Spoilt(Exception):
    """What came is no hand-over, or one of another version."""


def framed(values: Mapping[str, Any]) -> bytes:
    body = json.dumps(values, separators=(",", ":")).encode()
    return b"%d %d %08x\n" % (VERSION, len(body), crc32(body)) + body


class Frame(NamedTuple):
    """One whole frame, and what has come behind it: lines may follow at once."""

    values: dict[str, Any]
    rest: bytes


def read_frame(data: bytes) -> Frame | None:
    """The frame at the front of the data; None while more is to come; Spoilt where it can be none."""
    head, ended, body = data.partition(b"\n")
    if not ended:
        if len(head) > HEAD_MOST:
            raise Spoilt("its head has no end")
        return None
    words = head.split(b" ")
    if len(words) != 3 or not all(word.isalnum() for word in words) or not words[1].isdigit():
        raise Spoilt("its head is none")
    if words[0] != b"%d" % VERSION:
        raise Spoilt(f"version {words[0].decode()} is not {VERSION}")
    size = int(words[1][:9])
    if size > BODY_MOST or len(words[1]) > 9:
        raise Spoilt(f"it has over {BODY_MOST} bytes")
    if len(body) < size:
        return None
    body, rest = body[:size], body[size:]
    if words[2] != b"%08x" % crc32(body):
        raise Spoilt("its checksum is wrong")
    return Frame(_object(body), rest)


def said(**values: Any) -> bytes:
    """One line of what is said after the frame."""
    return json.dumps(values, separators=(",", ":")).encode() + b"\n"


class Lines:
    """Cuts what is heard after the frame into its lines."""

    def __init__(self) -> None:
        self._held = b""

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Take what has come; returns what the whole lines of it say."""
        found, self._held = self._cut(data)
        return found

    def look_ahead(self, data: bytes) -> list[dict[str, Any]]:
        """What `feed` would return for this data, which is not taken."""
        return self._cut(data)[0]

    def _cut(self, data: bytes) -> tuple[list[dict[str, Any]], bytes]:
        *lines, rest = (self._held + data).split(b"\n")
        if max(map(len, (*lines, rest))) > LINE_MOST:
            raise Spoilt("a line has no end")
        return [_object(line) for line in lines], rest


def _object(text: bytes) -> dict[str, Any]:
    try:
        found = json.loads(text)
    except (ValueError, RecursionError):
        raise Spoilt("it is not JSON") from None
    if not isinstance(found, dict):
        raise Spoilt("it is no JSON object")
    return found
