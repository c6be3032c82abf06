"""Messages between instances and the voters of the register, and their framing.

A frame is a four-byte length and a MessagePack message.  Added fields must have defaults: older programs ignore fields
that they do not know, and newer ones use the default for missing fields.
"""

from __future__ import annotations

import struct

import msgspec
import trio

from thistleshore.releases.driver import Figures
from thistleshore.releases.model import Value
from thistleshore.releases.register import NO_BALLOT, Accept, Ballot, Prepare, Reply, VoterState

FRAME = struct.Struct("!I")
MAX_FRAME_BYTES = 1 << 20


class Report(msgspec.Struct, frozen=True):
    """Progress of one instance: the last change that it has applied, and the hosts that it no longer uses."""

    name: str
    generation: int = msgspec.field(name="life")
    applied: int
    clear: tuple[str, ...] = ()  # hosts that are out and have no requests of it in flight
    figures: Figures | None = None


class Learn(msgspec.Struct, frozen=True, tag=True):
    """Request for a voter's current value; carries the report of an instance that follows the register."""

    report: Report | None = None
    seen: dict[str, int] = {}  # noqa: RUF012 - highest write count of each voter known to the sender
    register: int = 0  # that the sender follows; 0: none yet
    holds: Ballot = NO_BALLOT  # ballot of the value that the sender has, which need not be sent again
    wants_reports: bool = True


class Known(msgspec.Struct, frozen=True, tag=True):
    """Reply to Learn: the voter's value, whether it votes, and recent reports of instances."""

    accepted: Ballot
    value: Value | None
    register: int
    writes: int
    why: str  # reason for not voting; "" if it votes
    reports: tuple[Report, ...] = ()
    seen: dict[str, int] = {}  # noqa: RUF012 - highest write count of each voter known to this one
    unchanged: bool = False  # the sender has the value already, so it is left out


class Install(msgspec.Struct, frozen=True, tag=True):
    """Request to initialize a voter's state, or to replace it when a voter is reinstalled."""

    held: VoterState
    begin: bool  # initialize: only if the voter never had a state


class Deposit(msgspec.Struct, frozen=True, tag=True):
    """Request to store a configuration body; answered by Deposited or Unable."""

    digest: str
    body: bytes


class Deposited(msgspec.Struct, frozen=True, tag=True):
    """Reply to Deposit: the body is durable at this voter."""

    digest: str


class FetchBody(msgspec.Struct, frozen=True, tag=True):
    """Request for the body with that digest; answered by Body or Unable."""

    digest: str


class Body(msgspec.Struct, frozen=True, tag=True):
    """Reply to FetchBody: a stored configuration body."""

    digest: str
    body: bytes


Question = Prepare | Accept | Learn | Install | Deposit | FetchBody
Answer = Reply | Known | Deposited | Body
questions = msgspec.msgpack.Decoder(Question)
answers: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)


async def read(stream: trio.SocketStream) -> bytes:
    """Return the next message, undecoded.  Raises EOFError if the stream ends or the message is too long."""
    data = b""
    while len(data) < FRAME.size or len(data) < FRAME.size + FRAME.unpack_from(data)[0]:
        if len(data) >= FRAME.size and FRAME.unpack_from(data)[0] > MAX_FRAME_BYTES:
            raise EOFError
        part = await stream.receive_some(65536)
        if not part:
            raise EOFError
        data += part
    return data[FRAME.size :]


async def write(stream: trio.SocketStream, message: object) -> None:
    """Send one framed message."""
    data = msgspec.msgpack.encode(message)
    await stream.send_all(FRAME.pack(len(data)) + data)
