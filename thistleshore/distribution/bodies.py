"""Bodies that are kept in the memory, and how they are compressed for the wire: whole, or as a difference."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import zstandard

from thistleshore.distribution.model import MAX_BODY_BYTES, NO_VERSION, Stamp, digest_of

LEVEL = 3  # of the compression
ENCODINGS_KEPT = 8
ENCODED_SLACK = 1024  # bytes by which a compressed body may be longer than the body


class Mismatch(Exception):
    """What came is not the body of the version."""


class Encoding(NamedTuple):
    """A body as it is sent."""

    base: int  # the version that it is a difference to; 0: whole
    data: bytes


def encoded_most(stamp: Stamp) -> int:
    """The most bytes that the body of a version may take on the wire."""
    return stamp.size + ENCODED_SLACK


def encode(body: bytes, base: bytes | None) -> bytes:
    """Compress a body, as a difference where there is a base."""
    if not base:
        return zstandard.ZstdCompressor(level=LEVEL).compress(body)
    return zstandard.ZstdCompressor(level=LEVEL, dict_data=_dictionary(base)).compress(body)


def decode(data: bytes, base: bytes | None, stamp: Stamp) -> bytes:
    """The body of a version from what was sent, checked; nothing is allocated beyond its size."""
    if stamp.size > MAX_BODY_BYTES or len(data) > encoded_most(stamp):
        raise Mismatch("size")
    try:
        if zstandard.frame_content_size(data) != stamp.size:
            raise Mismatch("size")
        dictionary = _dictionary(base) if base else None
        decompressor = zstandard.ZstdDecompressor(dict_data=dictionary)
        body = decompressor.decompress(data, max_output_size=stamp.size) if stamp.size else b""
    except zstandard.ZstdError:
        raise Mismatch("compression") from None
    if not fits(stamp, body):
        raise Mismatch("digest")
    return body


def fits(stamp: Stamp, body: bytes) -> bool:
    """Whether this is the body of the version."""
    return len(body) == stamp.size and digest_of(body) == stamp.digest


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


class Bodies:
    """The newest bodies that were checked, and the one in force; a cache, except for the latter."""

    def __init__(self, most: int) -> None:
        """`most` bodies are kept, and that in force."""
        self._most = most
        self._kept: dict[int, tuple[Stamp, bytes]] = {}
        self._encodings: OrderedDict[tuple[int, int], Encoding] = OrderedDict()
        self.newest: Stamp = NO_VERSION  # of those kept

    def add(self, stamp: Stamp, body: bytes, in_force: int) -> None:
        """Keep a checked body; the oldest beyond the bound goes, unless it is in force."""
        self._kept[stamp.number] = (stamp, body)
        for number in sorted(self._kept)[: -self._most]:
            if number not in (in_force, stamp.number):
                del self._kept[number]
        self.newest = stamp

    def get(self, number: int) -> tuple[Stamp, bytes] | None:
        """A kept version with its body."""
        return self._kept.get(number)

    def has(self, number: int, digest: str) -> bool:
        """Whether the body of that version with that digest is kept."""
        found = self._kept.get(number)
        return found is not None and found[0].digest == digest

    def encoding(self, number: int, base: int) -> Encoding:
        """The kept version as it is sent to one that has the base; whole where `base` is 0."""
        key = (number, base)
        if (found := self._encodings.get(key)) is not None:
            self._encodings.move_to_end(key)
            return found
        base_body = self._kept[base][1] if base else None
        made = Encoding(base if base_body else 0, encode(self._kept[number][1], base_body))
        self._encodings[key] = made
        if len(self._encodings) > ENCODINGS_KEPT:
            self._encodings.popitem(last=False)
        return made
