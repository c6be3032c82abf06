"""beanstalkd's published protocol, the server's side, as a pure codec: bytes in, commands out.

A `put` is a command only once its whole body and the line end behind it have come.
"""

from __future__ import annotations

import re
from typing import NamedTuple

LINE_MOST = 224  # bytes of a command line, its end included, as published
NUMBER_MOST = 2**64 - 1
NAME = re.compile(rb"[A-Za-z0-9+/;.$_()][A-Za-z0-9+/;.$_()\-]{0,199}")
NUMBER = re.compile(rb"[0-9]{1,20}")


class Command(NamedTuple):
    """One sound command: its word, its numbers in order, its tube and its body."""

    word: str
    numbers: tuple[int, ...] = ()
    tube: str = ""
    body: bytes = b""


class Fault(NamedTuple):
    """What came is answered with this line; the connection goes on."""

    reply: bytes


# What follows each word: n a number, t a tube's name.  The body of `put` is announced by its last number.
SHAPES = {
    "put": "nnnn",
    "use": "t",
    "reserve": "",
    "reserve-with-timeout": "n",
    "reserve-job": "n",
    "delete": "n",
    "release": "nnn",
    "bury": "nn",
    "touch": "n",
    "watch": "t",
    "ignore": "t",
    "peek": "n",
    "peek-ready": "",
    "peek-delayed": "",
    "peek-buried": "",
    "kick": "n",
    "kick-job": "n",
    "stats-job": "n",
    "stats-tube": "t",
    "stats": "",
    "list-tubes": "",
    "list-tube-used": "",
    "list-tubes-watched": "",
    "pause-tube": "tn",
    "quit": "",
}

BAD_FORMAT, UNKNOWN_COMMAND = Fault(b"BAD_FORMAT"), Fault(b"UNKNOWN_COMMAND")
JOB_TOO_BIG, EXPECTED_CRLF = Fault(b"JOB_TOO_BIG"), Fault(b"EXPECTED_CRLF")


def read_command(line: bytes) -> Command | Fault:
    """One command line, without its end."""
    word, *parts = line.split(b" ")
    try:
        shape = SHAPES.get(word.decode("ascii"))
    except UnicodeDecodeError:
        shape = None
    if shape is None:
        return UNKNOWN_COMMAND
    if len(parts) != len(shape):
        return BAD_FORMAT
    numbers, tube = [], ""
    for kind, part in zip(shape, parts, strict=True):
        if kind == "t" and NAME.fullmatch(part):
            tube = part.decode("ascii")
        elif kind == "n" and NUMBER.fullmatch(part) and int(part) <= NUMBER_MOST:
            numbers.append(int(part))
        else:
            return BAD_FORMAT
    return Command(word.decode("ascii"), tuple(numbers), tube)


class Decoder:
    """Takes bytes as they come and gives the commands in them, in order."""

    def __init__(self, body_most: int) -> None:
        self.body_most = body_most
        self._held = bytearray()
        self._put: Command | None = None  # a put whose body has not all come
        self._skipping = 0  # bytes of a body that is too big, and its line end
        self._lost: Fault | None = None  # what to say once the next line end has come

    @property
    def begun(self) -> bool:
        """A command has come in part."""
        return bool(self._held or self._put or self._skipping or self._lost)

    def feed(self, data: bytes) -> None:
        self._held += data

    def next(self) -> Command | Fault | None:
        """The next command, or None until more bytes come."""
        if self._skipping:
            # A body over the limit is passed over as it comes: held, it would fill the memory.
            dropped = min(self._skipping, len(self._held))
            del self._held[:dropped]
            self._skipping -= dropped
            return None if self._skipping else JOB_TOO_BIG
        if self._put is not None:
            return self._body(self._put)
        if self._lost is not None:
            return self._resume(self._lost)
        end = self._held.find(b"\r\n", 0, LINE_MOST)
        if end < 0:
            # A line without an end would fill the memory: what is too long is dropped up to the next end.
            return None if len(self._held) < LINE_MOST else self._resume(BAD_FORMAT)
        line = bytes(self._held[:end])
        del self._held[: end + 2]
        command = read_command(line)
        if not isinstance(command, Command) or command.word != "put":
            return command
        if command.numbers[3] > self.body_most:
            self._skipping = command.numbers[3] + 2
        else:
            self._put = command
        return self.next()

    def _body(self, put: Command) -> Command | Fault | None:
        size = put.numbers[3]
        if len(self._held) < size + 2:
            return None
        body, end = bytes(self._held[:size]), bytes(self._held[size : size + 2])
        self._put = None
        if end != b"\r\n":
            # The body's size was wrong: what follows up to a line end is no command.
            del self._held[:size]
            return self._resume(EXPECTED_CRLF)
        del self._held[: size + 2]
        return put._replace(body=body)

    def _resume(self, fault: Fault) -> Fault | None:
        """Pass over what comes up to a line end, then answer with the fault."""
        end = self._held.find(b"\r\n")
        self._lost = fault if end < 0 else None
        del self._held[: end + 2 if end >= 0 else max(0, len(self._held) - 1)]
        return None if end < 0 else fault


def line(*parts: object) -> bytes:
    """One reply line."""
    return b" ".join(part if isinstance(part, bytes) else str(part).encode() for part in parts) + b"\r\n"


def with_body(body: bytes, *parts: object) -> bytes:
    """A reply that announces and carries a body."""
    return line(*parts, len(body)) + body + b"\r\n"


def yaml_map(items: dict[str, object]) -> bytes:
    return ("---\n" + "".join(f"{key}: {value}\n" for key, value in items.items())).encode()


def yaml_list(items: list[str]) -> bytes:
    return ("---\n" + "".join(f"- {item}\n" for item in items)).encode()
