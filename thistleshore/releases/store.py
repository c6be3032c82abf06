"""Durable state of a voter: one SQLite file, locked by one process and written before each reply is sent."""

from __future__ import annotations

import fcntl
import os
import sqlite3
import zlib
from collections.abc import Collection
from pathlib import Path
from typing import Protocol

import msgspec

from thistleshore.releases.register import VoterState

FORMAT = 1
FILE, LOCK = "register.sqlite", "register.lock"


class Unusable(Exception):
    """The file is unusable, for the reason in the text.  An operator must reinstall the voter."""


class Busy(Unusable):
    """Another process holds the lock."""


class BodyStore(Protocol):
    """Storage of configuration bodies by digest."""

    def read(self, digest: str) -> bytes | None:
        """Return the body, or None if it is missing or incomplete."""

    def keep(self, digest: str, body: bytes, named: Collection[str]) -> None:
        """Store a body durably; raises Unusable if that fails.  Bodies not in `named` may be dropped."""


class Store:
    """The state file in one folder, locked while it is open."""

    def __init__(self, folder: Path) -> None:
        """Lock the folder.  Raises Busy if another process holds it, and Unusable if the folder cannot be used."""
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as problem:
            raise Unusable(f"its folder cannot be used: {problem.strerror}") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise Busy("another process holds its file") from None

    def close(self) -> None:
        """Release the lock."""
        os.close(self._lock)

    def read(self) -> VoterState | None:
        """Return the stored state, or None if there is none.  Raises Unusable if it is corrupt or of another format."""
        path = self.folder / FILE
        if not path.exists():
            return None
        try:
            with sqlite3.connect(f"file:{path}?mode=rw", uri=True) as connection:
                row = connection.execute("SELECT format, sum, data FROM held").fetchone()
            connection.close()
        except sqlite3.Error as problem:
            raise Unusable(f"its file is corrupt: {problem}") from None
        if row is None:
            raise Unusable("its file is empty")
        format_number, checksum, data = row
        if format_number != FORMAT:
            raise Unusable(f"its file has format {format_number}, and this program reads {FORMAT}")
        if not isinstance(data, bytes) or zlib.crc32(data) != checksum:
            raise Unusable("its file is corrupt: checksum mismatch")
        try:
            return msgspec.msgpack.decode(data, type=VoterState)
        except msgspec.MsgspecError as problem:
            raise Unusable(f"its file is corrupt: {problem}") from None

    def write(self, state: VoterState) -> None:
        """Write the state durably.  Raises Unusable if the write fails; then no reply may be sent."""
        data = msgspec.msgpack.encode(state)
        try:
            connection = sqlite3.connect(self.folder / FILE, isolation_level=None)
            try:
                connection.execute("PRAGMA synchronous = FULL")
                connection.execute("BEGIN IMMEDIATE")
                connection.execute("CREATE TABLE IF NOT EXISTS held (id INTEGER PRIMARY KEY, format, sum, data)")
                connection.execute("INSERT OR REPLACE INTO held VALUES (1, ?, ?, ?)", (FORMAT, zlib.crc32(data), data))
                connection.execute("COMMIT")
            finally:
                connection.close()
        except sqlite3.Error as problem:
            raise Unusable(f"its disk takes nothing: {problem}") from None

    def set_aside(self) -> None:
        """Rename an unusable file, to keep it for inspection."""
        path = self.folder / FILE
        if path.exists():
            os.replace(path, path.with_suffix(".unusable"))
