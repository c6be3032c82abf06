"""Datagrams as bytes: `tF`, the version, a checksum of the rest, and MessagePack arrays.

Version 1 has no fingerprint in its records; version 2 has.  Whoever sends uses the newest version that the receiver is
known to read, and the oldest to one that it knows nothing of.  Fields that a later version adds at the end of a record
are passed over.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from functools import lru_cache
from zlib import crc32

import msgspec

from thistleshore.fleet.model import MAX_NAME_LENGTH, Record

MAGIC = b"tF"
OLDEST, NEWEST = 1, 2
HEAD = struct.Struct("!2sBI")
FIELDS = {1: 11, 2: 12}  # of a record
RECORDS_MOST = 64  # in one datagram

PING, ACK, ASK, NACK, SYNC, REPLY, RECORDS = range(7)


class DatagramError(Exception):
    """What came is no datagram of ours; the text is the kind that is counted."""


class Message(msgspec.Struct, array_like=True):
    """One datagram."""

    fleet: str
    to: str  # "": whoever is at the address
    to_generation: int  # 0: of whatever life
    observing: bool  # its sender is not a member: it is answered, and not taken in
    kind: int
    number: int  # of this sender's life; none counts twice
    probe: int  # which probe it belongs to
    digest: int  # of the sender's view
    sender: Record
    target: str = ""  # ASK: whom to probe
    buckets: bytes = b""  # SYNC, REPLY: checksums of parts of the view
    records: Sequence[Record] = ()
    known_count: int = 0  # how many members the sender knows, dead ones too


class _Written(msgspec.Struct, array_like=True):
    """The same, with records that are bytes already."""

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
    """A record as the version writes it."""
    return _encoder.encode(msgspec.structs.astuple(record)[: FIELDS[version]])


def write(message: Message, records: Sequence[Record], version: int, most: int) -> tuple[bytes, int]:
    """The datagram with as many of the records, from the first, as `most` bytes hold, and how many those are."""
    sender = record_bytes(message.sender, version)
    # 48 bytes hold all numbers and every head of MessagePack around them.
    room = (
        most
        - HEAD.size
        - 48
        - len(sender)
        - sum(len(text.encode()) + 3 for text in (message.fleet, message.to, message.target))
        - len(message.buckets)
    )
    raw: list[msgspec.Raw] = []
    for record in records[:RECORDS_MOST]:
        data = record_bytes(record, version)
        if len(data) > room:
            break
        room -= len(data)
        raw.append(msgspec.Raw(data))
    body = _encoder.encode(
        _Written(
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
            raw,
            message.known_count,
        )
    )
    return HEAD.pack(MAGIC, version, crc32(body)) + body, len(raw)


def read(data: bytes, fleet: str, most: int) -> Message:
    """What a datagram says, or Spoilt; the cheap checks come first, as anybody may send anything."""
    if len(data) > most or len(data) <= HEAD.size:
        raise DatagramError("size")
    magic, version, told = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise DatagramError("garbage")
    if not OLDEST <= version <= NEWEST:
        raise DatagramError("version")
    body = data[HEAD.size :]
    if crc32(body) != told:
        raise DatagramError("garbage")
    try:
        message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise DatagramError("garbage") from None
    if message.fleet != fleet:
        raise DatagramError("fleet")
    if not (
        PING <= message.kind <= RECORDS
        and message.sender.sound()
        and len(message.records) <= RECORDS_MOST
        and all(record.sound() for record in message.records)
        and len(message.target) <= MAX_NAME_LENGTH
        and len(message.to) <= MAX_NAME_LENGTH
        and 0 <= message.known_count < 1 << 31
        and 0 <= message.number < 1 << 63
        and 0 <= message.probe < 1 << 63
    ):
        raise DatagramError("garbage")
    return message
