"""Encoding of datagrams: the magic `tF`, the version, a CRC-32 of the body, and the body as MessagePack arrays.

Records of version 2 have a fingerprint, those of version 1 have none.  A sender uses the newest version that the
receiver is known to read, and the oldest version towards an unknown receiver.  Fields that a later version appends to a
record or a message are ignored.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from functools import lru_cache
from zlib import crc32

import msgspec

from thistleshore.fleet.model import MAX_NAME_LENGTH, Record

MAGIC = b"tF"
OLDEST_VERSION, NEWEST_VERSION = 1, 2
HEADER = struct.Struct("!2sBI")
FIELD_COUNTS = {1: 11, 2: 12}  # number of fields of a record by version
MAX_RECORDS = 64  # records in one datagram

PING, ACK, ASK, NACK, SYNC, REPLY, RECORDS = range(7)


class DatagramError(Exception):
    """The bytes are no valid datagram of this fleet; the text is the name of the counter to increment."""


class Message(msgspec.Struct, array_like=True):
    """The body of a datagram, encoded by position."""

    fleet: str
    to: str  # name of the receiver; "": whichever member has the address
    to_generation: int  # 0: any generation
    observing: bool  # the sender is not a member yet, or no longer: it is answered but not merged into the view
    kind: int
    number: int  # sequence number within the sender's generation, for discarding duplicates
    probe: int  # identifies the probe that this message is part of
    digest: int  # digest of the sender's view
    sender: Record
    target: str = ""  # ASK: the member to probe; ACK: the member that answered an indirect probe
    buckets: bytes = b""  # SYNC, REPLY: checksums of the buckets of the sender's view
    records: Sequence[Record] = ()
    known_count: int = 0  # number of members that the sender knows, including dead ones


class _EncodedMessage(msgspec.Struct, array_like=True):
    """The same fields as Message, with records that are encoded already."""

    fleet: str
    to: str
    to_generation: int
    observing: bool
    kind: int
    number: int
    probe: int
    digest: int
    sender: msgspec.Raw
    target: str
    buckets: bytes
    records: list[msgspec.Raw]
    known_count: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


@lru_cache(maxsize=4096)
def record_bytes(record: Record, version: int) -> bytes:
    """Return the encoding of a record in that version."""
    return _encoder.encode(msgspec.structs.astuple(record)[: FIELD_COUNTS[version]])


def write(message: Message, records: Sequence[Record], version: int, max_bytes: int) -> tuple[bytes, int]:
    """Return a datagram of at most `max_bytes` bytes with as many leading records as fit, and the number of those."""
    sender = record_bytes(message.sender, version)
    # 48 bytes suffice for all numbers and the MessagePack headers of all fields.
    room = (
        max_bytes
        - HEADER.size
        - 48
        - len(sender)
        - sum(len(text.encode()) + 3 for text in (message.fleet, message.to, message.target))
        - len(message.buckets)
    )
    encoded: list[msgspec.Raw] = []
    for record in records[:MAX_RECORDS]:
        data = record_bytes(record, version)
        if len(data) > room:
            break
        room -= len(data)
        encoded.append(msgspec.Raw(data))
    body = _encoder.encode(
        _EncodedMessage(
            message.fleet,
            message.to,
            message.to_generation,
            message.observing,
            message.kind,
            message.number,
            message.probe,
            message.digest,
            msgspec.Raw(sender),
            message.target,
            message.buckets,
            encoded,
            message.known_count,
        )
    )
    return HEADER.pack(MAGIC, version, crc32(body)) + body, len(encoded)


def read(data: bytes, fleet: str, max_bytes: int) -> Message:
    """Return the decoded datagram.

    Raises DatagramError.  The cheap checks come first, as any host may send any bytes.
    """
    if len(data) > max_bytes or len(data) <= HEADER.size:
        raise DatagramError("size")
    magic, version, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise DatagramError("garbage")
    if not OLDEST_VERSION <= version <= NEWEST_VERSION:
        raise DatagramError("version")
    body = data[HEADER.size :]
    if crc32(body) != checksum:
        raise DatagramError("garbage")
    try:
        message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise DatagramError("garbage") from None
    if message.fleet != fleet:
        raise DatagramError("fleet")
    if not (
        PING <= message.kind <= RECORDS
        and message.sender.is_valid()
        and len(message.records) <= MAX_RECORDS
        and all(record.is_valid() for record in message.records)
        and len(message.target) <= MAX_NAME_LENGTH
        and len(message.to) <= MAX_NAME_LENGTH
        and 0 <= message.known_count < 1 << 31
        and 0 <= message.number < 1 << 63
        and 0 <= message.probe < 1 << 63
    ):
        raise DatagramError("garbage")
    return message
