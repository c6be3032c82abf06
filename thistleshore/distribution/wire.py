"""Datagrams as bytes: `tC`, the version, a checksum of the rest, and MessagePack arrays.

Fields that a later version adds at the end of a message are passed over.
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
HEAD = struct.Struct("!2sBI")  # magic, version, checksum
NAME_MOST = 64  # characters of a name
NUMBER_BITS = 63
PARTS_MOST = 4096  # parts of one body
WINDOW_MOST = 64  # parts in one request
ROWS_MOST = 256  # whole rows in one datagram
AGE_MOST = 65535  # ms
ENVELOPE_ROOM = 64  # bytes that hold all numbers of an envelope and a message, and the heads around them

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << NUMBER_BITS) - 1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MOST)]
Digest = Annotated[str, msgspec.Meta(max_length=2 * DIGEST_BYTES)]
Index = Annotated[int, msgspec.Meta(ge=0, lt=PARTS_MOST)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=AGE_MOST)]


class InvalidDatagram(Exception):
    """What came is no datagram of ours; the text is the kind that is counted."""


class Report(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """What the sender says of itself; answered by an `Answer`."""

    number: Number  # repeated in the answer; 0: it waits for none
    register: Number  # that of `applied`
    applied: Number
    refused: Number
    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_CHARS)]
    held: Stamp  # the newest version whose body the sender can send


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The answer to a report."""

    number: Number
    held: Stamp  # the newest version whose body the sender can send


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The sender has the body of this version; answered by an `Acknowledge`."""

    stamp: Stamp


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An offer was heard."""

    number: Number  # of the version


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A request for parts of a body; answered by those parts, `Busy` or `BodyUnavailable`."""

    transfer: Number  # repeated in the answers
    number: Number
    digest: Digest
    base: Number  # the version that the sender has, for a difference; 0: none
    base_digest: Digest
    parts: Annotated[tuple[Index, ...], msgspec.Meta(max_length=WINDOW_MOST)]


class Part(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """One part of a body as it is sent."""

    transfer: Number
    base: Number  # it is the difference to this version; 0: whole
    size: Number  # bytes of all parts together
    count: Annotated[int, msgspec.Meta(ge=1, le=PARTS_MOST)]
    index: Index
    data: Annotated[bytes, msgspec.Meta(min_length=1)]


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Too many transfers run; come back later."""

    transfer: Number
    after: Milliseconds


class BodyUnavailable(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The sender has no body of the version that was asked for."""

    transfer: Number


class ReportsRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A request for the fresh reports that the receiver holds; answered by `ReportBatch`."""


class AgedReport(msgspec.Struct, frozen=True, array_like=True):
    """A report that another instance sent to the sender."""

    row: MemberReport
    register: Number  # that of `row.applied`
    age: Milliseconds  # since it was heard


class ReportBatch(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Fresh reports: `members` are those that say the same, in short, and `rows` are others, whole."""

    register: Number  # that of `applied`
    applied: Number  # by all of `members`
    members: bytes  # of each its token and the age of its report, see `reports.py`
    rows: Annotated[tuple[AgedReport, ...], msgspec.Meta(max_length=ROWS_MOST)]


Message = Report | Answer | Offer | Acknowledge | Fetch | Part | Busy | BodyUnavailable | ReportsRequest | ReportBatch


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message, and who sent it."""

    fleet: str
    sender: Name
    generation: Number
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def write(fleet: str, sender: str, generation: int, message: Message) -> bytes:
    """The datagram of a message."""
    body = _encoder.encode(Envelope(fleet, sender, generation, message))
    return HEAD.pack(MAGIC, VERSION, crc32(body)) + body


def read(data: bytes, fleet: str, most: int) -> Envelope:
    """What a datagram says, or InvalidDatagram; the cheap checks come first, as anybody may send anything."""
    if not HEAD.size < len(data) <= most:
        raise InvalidDatagram("size")
    magic, version, checksum = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise InvalidDatagram("garbage")
    if version != VERSION:
        raise InvalidDatagram("version")
    body = memoryview(data)[HEAD.size :]
    if crc32(body) != checksum:
        raise InvalidDatagram("garbage")
    try:
        envelope = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidDatagram("garbage") from None
    if envelope.fleet != fleet:
        raise InvalidDatagram("fleet")
    if not _sound(envelope.message):
        raise InvalidDatagram("garbage")
    return envelope


def room(fleet: str, sender: str, most: int) -> int:
    """Bytes for what a message carries beyond its numbers, in a datagram of at most so many bytes."""
    return most - HEAD.size - ENVELOPE_ROOM - len(fleet.encode()) - len(sender.encode())


def row_size(row: AgedReport) -> int:
    """Bytes of a row in a datagram."""
    return len(_encoder.encode(row))


def _sound(message: Message) -> bool:
    """Whether the parts of a message that other modules declare are within their bounds."""
    if isinstance(message, Report | Answer):
        return _sound_stamp(message.held)
    if isinstance(message, Offer):
        return message.stamp.number > 0 and _sound_stamp(message.stamp)
    if isinstance(message, ReportBatch):
        return _sound_rows(message.rows)
    return True


def _sound_stamp(stamp: Stamp) -> bool:
    if stamp.number == 0:
        return stamp == NO_VERSION
    numbers = (stamp.register, stamp.number, stamp.format)
    return (
        all(0 < number < 1 << NUMBER_BITS for number in numbers)
        and 0 <= stamp.size < 1 << NUMBER_BITS
        and len(stamp.digest) == 2 * DIGEST_BYTES
        and stamp.digest.isalnum()
    )


def _sound_rows(rows: Sequence[AgedReport]) -> bool:
    return all(
        0 < len(row.name) <= NAME_MOST
        and len(row.reason) <= MAX_REASON_CHARS
        and all(0 <= number < 1 << NUMBER_BITS for number in (row.generation, row.applied, row.refused))
        for row in (aged.row for aged in rows)
    )
