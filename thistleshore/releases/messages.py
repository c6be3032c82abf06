"""What goes between instances and the voters of the register: the messages, and their form in a stream.

A message is four bytes of length and MessagePack.  A field that is added has a default, so that older programs, which
pass over what they do not know, and newer ones understand each other.
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
    """What an instance says of itself with each look: up to which change it has acted, and where it sends no more."""

    name: str
    generation: int = msgspec.field(name="life")
    applied: int
    clear: tuple[str, ...] = ()  # hosts that are out and at which nothing of it is left
    figures: Figures | None = None


class Learn(msgspec.Struct, frozen=True, tag=True):
    """What do you hold?  With a report, where the asker is an instance that follows."""

    report: Report | None = None
    seen: dict[str, int] = {}  # noqa: RUF012 - how many writes of each voter the asker knows of
    register: int = 0  # that the asker follows; 0: none yet
    holds: Ballot = NO_BALLOT  # the ballot whose accepted value the asker has: it need not be sent again
    wants_reports: bool = True


class Known(msgspec.Struct, frozen=True, tag=True):
    """What a voter holds, whether it votes, and what instances reported to it lately."""

    accepted: Ballot
    value: Value | None
    register: int
    writes: int
    why: str  # "" where it votes
    reports: tuple[Report, ...] = ()
    seen: dict[str, int] = {}  # noqa: RUF012 - how many writes of each voter this one knows of
    unchanged: bool = False  # the value is the one that the asker has, and is left out


class Install(msgspec.Struct, frozen=True, tag=True):
    """Begin the register, or take a voter in again: all that it is to hold."""

    held: VoterState
    begin: bool  # only where nothing ever was


class Deposit(msgspec.Struct, frozen=True, tag=True):
    """Keep this body of configuration; answered by Deposited, or by Unable."""

    digest: str
    body: bytes


class Deposited(msgspec.Struct, frozen=True, tag=True):
    """The body is durable at this voter."""

    digest: str


class FetchBody(msgspec.Struct, frozen=True, tag=True):
    """Give the body of that digest; answered by Body, or by Unable."""

    digest: str


class Body(msgspec.Struct, frozen=True, tag=True):
    """A body of configuration as a voter holds it."""

    digest: str
    body: bytes


Question = Prepare | Accept | Learn | Install | Deposit | FetchBody
Answer = Reply | Known | Deposited | Body
questions = msgspec.msgpack.Decoder(Question)
answers: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)


async def read(stream: trio.SocketStream) -> bytes:
    """The next message, undecoded; EOFError where the stream ends, or the message is too long."""
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
    """Send a message."""
    data = msgspec.msgpack.encode(message)
    await stream.send_all(FRAME.pack(len(data)) + data)
