"""In-memory cache of bodies, and their compression for the wire: whole, or as a delta to an earlier body."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import zstandard

from thistleshore.distribution.model import MAX_BODY_BYTES, NO_VERSION, Stamp, digest_of

COMPRESSION_LEVEL = 3  # Zstandard compression level
MAX_CACHED_ENCODINGS = 8
MAX_ENCODED_OVERHEAD = 1024  # bytes by which an encoded body may exceed the body


class BodyMismatch(Exception):
    """The received data does not decode to the body of the version."""


class Encoding(NamedTuple):
    """A body as encoded for the wire."""

    base: int  # the version that it is a delta to; 0: whole
    data: bytes


def max_encoded_size(stamp: Stamp) -> int:
    """Return the maximum encoded size of a version's body, in bytes."""
    return stamp.size + MAX_ENCODED_OVERHEAD


def encode(body: bytes, base: bytes | None) -> bytes:
    """Compress a body, as a delta if a base is given."""
    if not base:
        return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(body)
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL, dict_data=_dictionary(base)).compress(body)


def decode(data: bytes, base: bytes | None, stamp: Stamp) -> bytes:
    """Decode and verify the body of a version, without allocating more than its size.

    Raises BodyMismatch if the size, the compression or the digest is wrong.
    """
    if stamp.size > MAX_BODY_BYTES or len(data) > max_encoded_size(stamp):
        raise BodyMismatch("size")
    try:
        if zstandard.frame_content_size(data) != stamp.size:
            raise BodyMismatch("size")
        dictionary = _dictionary(base) if base else None
        decompressor = zstandard.ZstdDecompressor(dict_data=dictionary)
        body = decompressor.decompress(data, max_output_size=stamp.size) if stamp.size else b""
    except zstandard.ZstdError:
        raise BodyMismatch("compression") from None
    if not fits(stamp, body):
        raise BodyMismatch("digest")
    return body


def fits(stamp: Stamp, body: bytes) -> bool:
    """Return whether the body matches the size and digest of the version."""
    return len(body) == stamp.size and digest_of(body) == stamp.digest


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


class BodyCache:
    """Verified bodies in memory: the newest few, and always the one in force."""

    def __init__(self, most: int) -> None:
        """`most` is how many of the newest bodies are kept besides the one in force."""
        self._max_bodies = most
        self._bodies: dict[int, tuple[Stamp, bytes]] = {}
        self._encodings: OrderedDict[tuple[int, int], Encoding] = OrderedDict()
        self.newest: Stamp = NO_VERSION  # the version added last

    def add(self, stamp: Stamp, body: bytes, in_force: int) -> None:
        """Add a verified body, and evict the oldest ones beyond the limit unless in force."""
        self._bodies[stamp.number] = (stamp, body)
        for number in sorted(self._bodies)[: -self._max_bodies]:
            if number not in (in_force, stamp.number):
                del self._bodies[number]
        self.newest = stamp

    def get(self, number: int) -> tuple[Stamp, bytes] | None:
        """Return a version with its body, or None if it is not in memory."""
        return self._bodies.get(number)

    def has(self, number: int, digest: str) -> bool:
        """Return whether the body of that version with that digest is in memory."""
        found = self._bodies.get(number)
        return found is not None and found[0].digest == digest

    def encoding(self, number: int, base: int) -> Encoding:
        """Return the cached encoding of a version as a delta to `base`, or whole if `base` is 0."""
        key = (number, base)
        if (found := self._encodings.get(key)) is not None:
            self._encodings.move_to_end(key)
            return found
        base_body = self._bodies[base][1] if base else None
        made = Encoding(base if base_body else 0, encode(self._bodies[number][1], base_body))
        self._encodings[key] = made
        if len(self._encodings) > MAX_CACHED_ENCODINGS:
            self._encodings.popitem(last=False)
        return made
