"""Durable files: the version in force on this instance, and the bodies stored by a voter.

Each file is written to a temporary file, synced and renamed, and its folder is synced, so that replacement is atomic
even across a crash.
"""

from __future__ import annotations

import itertools
import os
import re
import time
from collections.abc import Collection
from pathlib import Path

import msgspec

from thistleshore.distribution.model import MAX_BODY_BYTES, FORMAT, Stamp, digest_of
from thistleshore.releases.store import Unusable

VERSION_FILE = "configuration.version"
FILE_FORMAT = 1  # format of VERSION_FILE; the format of the body is in its stamp
MAX_FILE_BYTES = 2 * MAX_BODY_BYTES
BODY_FOLDER = "bodies"  # inside a voter's folder
MAX_UNREFERENCED_BODIES = 8  # stored bodies that no entry of the history names
TEMPORARY_FILE_SECONDS = 600.0  # seconds; age at which leftover temporary files are removed

_MAGIC = b"thistleshore configuration "
_DIGEST = re.compile(r"[0-9a-f]{32}")
_writes = itertools.count()


class StoreError(Exception):
    """The stored version cannot be used; the message says why."""


class CorruptFile(StoreError):
    """The file is truncated or altered."""


class NewerFormat(StoreError):
    """The file or its body has a newer format than this program reads."""


class OtherFleet(StoreError):
    """The file belongs to another fleet."""


class Unreadable(StoreError):
    """The operating system could not read the file."""


class Unwritable(StoreError):
    """The file could not be written; the previous one is intact."""


class _Saved(msgspec.Struct, frozen=True, array_like=True):
    """The content of the file after its header."""

    fleet: str
    stamp: Stamp
    body: bytes


class VersionStore:
    """Stores the version in force on one instance, in one file.

    The file is `thistleshore configuration FORMAT CHECKSUM`, a line feed, and MessagePack.  A file restored
    from an older copy cannot be detected: the instance then starts on the older version, and catches up through its
    relays.

    Two processes of a hot restart may write concurrently: each has its own temporary file, and the last rename wins.
    """

    def __init__(self, folder: Path, fleet: str) -> None:
        self.folder, self.fleet = folder, fleet

    def read(self) -> tuple[Stamp, bytes] | None:
        """Return the stamp and the body, or None if nothing was ever written.

        Raises StoreError if they cannot be used.
        """
        try:
            data = _read_bounded(self.folder / VERSION_FILE, MAX_FILE_BYTES)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise Unreadable(f"the version in force cannot be read: {error.strerror}") from None
        saved = _decode(data)
        if saved.fleet != self.fleet:
            raise OtherFleet(f"the version in force is that of the fleet {saved.fleet!r}, not of {self.fleet!r}")
        if saved.stamp.format > FORMAT:
            message = f"the body in force has format {saved.stamp.format}, and this program reads {FORMAT}"
            raise NewerFormat(message)
        if len(saved.body) != saved.stamp.size or digest_of(saved.body) != saved.stamp.digest:
            raise CorruptFile("the version in force is torn: its body is not that of its stamp")
        return saved.stamp, saved.body

    def write(self, stamp: Stamp, body: bytes) -> None:
        """Write the version durably; raise Unwritable if that fails."""
        data = _encode(_Saved(self.fleet, stamp, body))
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            _replace(self.folder / VERSION_FILE, data)
        except OSError as error:
            raise Unwritable(f"the disk takes nothing: {error.strerror}") from None


class FileBodyStore:
    """The bodies stored by a voter, in files named by digest and verified when read."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def read(self, digest: str) -> bytes | None:
        """Return the body, or None if it is missing or corrupt."""
        if not _DIGEST.fullmatch(digest):
            return None
        try:
            body = _read_bounded(self.folder / digest, MAX_BODY_BYTES)
        except OSError:
            return None
        return body if digest_of(body) == digest else None

    def keep(self, digest: str, body: bytes, named: Collection[str]) -> None:
        """Store a body durably; raise Unusable if it does not match the digest or cannot be written.

        Of the other bodies, those in `named` and the MAX_UNREFERENCED_BODIES newest of the rest are retained.
        """
        if len(body) > MAX_BODY_BYTES:
            raise Unusable(f"the body has over {MAX_BODY_BYTES} bytes")
        if digest_of(body) != digest:
            raise Unusable("the body is not that of its digest")
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            if self.read(digest) is None:
                _replace(self.folder / digest, body)
            else:
                os.utime(self.folder / digest)
                _fsync_folder(self.folder)  # the process that renamed the file may have died before syncing the folder
        except OSError as error:
            raise Unusable(f"its disk takes nothing: {error.strerror}") from None
        self._remove_unreferenced({digest, *named})

    def _remove_unreferenced(self, wanted: Collection[str]) -> None:
        """Remove old unreferenced bodies; failures are ignored, as leftovers are harmless."""
        others: list[tuple[int, Path]] = []
        try:
            for path in self.folder.iterdir():
                if _DIGEST.fullmatch(path.name) and path.name not in wanted:
                    others.append((path.stat().st_mtime_ns, path))
            for _, path in sorted(others, reverse=True)[MAX_UNREFERENCED_BODIES:]:
                path.unlink(missing_ok=True)
        except OSError:
            pass


def _encode(saved: _Saved) -> bytes:
    content = msgspec.msgpack.encode(saved)
    return b"%s%d %s\n%s" % (_MAGIC, FILE_FORMAT, digest_of(content).encode(), content)


def _decode(data: bytes) -> _Saved:
    """Decode the file; raise CorruptFile or NewerFormat if that fails."""
    head, _, content = data.partition(b"\n")
    file_format, _, checksum = head.removeprefix(_MAGIC).partition(b" ")
    if not head.startswith(_MAGIC) or not file_format.isdigit():
        raise CorruptFile("the version in force is torn: it does not begin as such a file does")
    if int(file_format[:9]) > FILE_FORMAT:
        message = f"the version in force has format {int(file_format[:9])}, and this program reads {FILE_FORMAT}"
        raise NewerFormat(message)
    if digest_of(content).encode() != checksum:
        raise CorruptFile("the version in force is torn: the checksum is wrong")
    try:
        return msgspec.msgpack.decode(content, type=_Saved)
    except msgspec.MsgspecError as error:
        raise CorruptFile(f"the version in force is torn: {error}") from None


def _read_bounded(path: Path, max_bytes: int) -> bytes:
    """Read at most `max_bytes` + 1 bytes of a file; the extra byte makes the checks of an oversized file fail."""
    with path.open("rb") as file:
        return file.read(max_bytes + 1)


def _replace(path: Path, data: bytes) -> None:
    """Replace a file atomically and durably; on OSError the previous file is intact."""
    _remove_stale_temporaries(path.parent)
    temporary = path.with_name(f"{path.name}.{os.getpid()}.{next(_writes)}.tmp")
    try:
        _write_synced(temporary, data)
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    _fsync_folder(path.parent)


def _write_synced(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _fsync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _remove_stale_temporaries(folder: Path) -> None:
    """Remove old temporary files left by processes that died."""
    for path in folder.glob("*.tmp"):
        try:
            if time.time() - path.stat().st_mtime > TEMPORARY_FILE_SECONDS:
                path.unlink(missing_ok=True)
        except OSError:
            continue
