"""Datagram encoding: magic `tC`, wire version, CRC-32 of the payload, and a payload of MessagePack arrays.

Unknown fields at the end of a message, added by a later version, are ignored.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import Annotated
from zlib import crc32

import msgspec

from thistleshore.distribution.model import DIGEST_BYTES, NO_VERSION, MAX_REASON_CHARS, MemberReport, Stamp

MAGIC = b"tC"
VERSION = 1
HEADER = struct.Struct("!2sBI")  # magic, version, checksum
MAX_NAME_CHARS = 64  # characters of a name
NUMBER_BITS = 63
MAX_PARTS = 4096  # parts of one body
MAX_WINDOW_PARTS = 64  # parts in one request
MAX_ROWS = 256  # whole rows in one datagram
MAX_AGE_MS = 65535  # ms
ENVELOPE_BYTES = 64  # bytes reserved for all numbers of an envelope and message, and the array headers

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << NUMBER_BITS) - 1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
Digest = Annotated[str, msgspec.Meta(max_length=2 * DIGEST_BYTES)]
Index = Annotated[int, msgspec.Meta(ge=0, lt=MAX_PARTS)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]


class InvalidDatagram(Exception):
    """The datagram is invalid or from another fleet; the message is the counter to increment."""


class Report(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """The sender's own state; answered by an `Answer`."""

    number: Number  # echoed in the answer; 0: no answer is awaited
    register: Number  # register of `applied`
    applied: Number
    refused: Number
    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_CHARS)]
    held: Stamp  # the newest version whose body the sender has


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The answer to a report."""

    number: Number
    held: Stamp  # the newest version whose body the sender has


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The sender has the body of this version; answered by an `Acknowledge`."""

    stamp: Stamp


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Confirms an offer."""

    number: Number  # of the version


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A request for parts of a body; answered by those parts, `Busy` or `BodyUnavailable`."""

    transfer: Number  # echoed in the answers
    number: Number
    digest: Digest
    base: Number  # the version that the sender has as a base for a delta; 0: none
    base_digest: Digest
    parts: Annotated[tuple[Index, ...], msgspec.Meta(max_length=MAX_WINDOW_PARTS)]


class Part(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """One part of an encoded body."""

    transfer: Number
    base: Number  # the version that it is a delta to; 0: whole
    size: Number  # bytes of all parts together
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]
    index: Index
    data: Annotated[bytes, msgspec.Meta(min_length=1)]


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Too many transfers are running; retry after `after`."""

    transfer: Number
    after: Milliseconds


class BodyUnavailable(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The sender does not have the requested body."""

    transfer: Number


class ReportsRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A request for the fresh reports that the receiver has; answered by `ReportBatch`."""


class AgedReport(msgspec.Struct, frozen=True, array_like=True):
    """A report that the sender received, with its age."""

    row: MemberReport
    register: Number  # register of `row.applied`
    age: Milliseconds  # since it was received


class ReportBatch(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Fresh reports: `members` are identical ones in compact form, `rows` are the others in full."""

    register: Number  # register of `applied`
    applied: Number  # version in force at all of `members`
    members: bytes  # the token of each and the age of its report, see `reports.py`
    rows: Annotated[tuple[AgedReport, ...], msgspec.Meta(max_length=MAX_ROWS)]


Message = Report | Answer | Offer | Acknowledge | Fetch | Part | Busy | BodyUnavailable | ReportsRequest | ReportBatch


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender."""

    fleet: str
    sender: Name
    generation: Number
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def write(fleet: str, sender: str, generation: int, message: Message) -> bytes:
    """Encode a message as a datagram."""
    body = _encoder.encode(Envelope(fleet, sender, generation, message))
    return HEADER.pack(MAGIC, VERSION, crc32(body)) + body


def read(data: bytes, fleet: str, most: int) -> Envelope:
    """Decode a datagram, or raise InvalidDatagram.

    Cheap checks come first, as the sender is not authenticated.
    """
    if not HEADER.size < len(data) <= most:
        raise InvalidDatagram("size")
    magic, version, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise InvalidDatagram("garbage")
    if version != VERSION:
        raise InvalidDatagram("version")
    body = memoryview(data)[HEADER.size :]
    if crc32(body) != checksum:
        raise InvalidDatagram("garbage")
    try:
        envelope = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidDatagram("garbage") from None
    if envelope.fleet != fleet:
        raise InvalidDatagram("fleet")
    if not _is_valid(envelope.message):
        raise InvalidDatagram("garbage")
    return envelope


def payload_capacity(fleet: str, sender: str, most: int) -> int:
    """Return the payload bytes besides a message's numbers in a datagram of at most `most` bytes."""
    return most - HEADER.size - ENVELOPE_BYTES - len(fleet.encode()) - len(sender.encode())


def row_size(row: AgedReport) -> int:
    """Return the encoded size of a row, in bytes."""
    return len(_encoder.encode(row))


def _is_valid(message: Message) -> bool:
    """Return whether the fields of types declared in other modules are within their bounds."""
    if isinstance(message, Report | Answer):
        return _is_valid_stamp(message.held)
    if isinstance(message, Offer):
        return message.stamp.number > 0 and _is_valid_stamp(message.stamp)
    if isinstance(message, ReportBatch):
        return _are_valid_rows(message.rows)
    return True


def _is_valid_stamp(stamp: Stamp) -> bool:
    if stamp.number == 0:
        return stamp == NO_VERSION
    numbers = (stamp.register, stamp.number, stamp.format)
    return (
        all(0 < number < 1 << NUMBER_BITS for number in numbers)
        and 0 <= stamp.size < 1 << NUMBER_BITS
        and len(stamp.digest) == 2 * DIGEST_BYTES
        and stamp.digest.isalnum()
    )


def _are_valid_rows(rows: Sequence[AgedReport]) -> bool:
    return all(
        0 < len(row.name) <= MAX_NAME_CHARS
        and len(row.reason) <= MAX_REASON_CHARS
        and all(0 <= number < 1 << NUMBER_BITS for number in (row.generation, row.applied, row.refused))
        for row in (aged.row for aged in rows)
    )
