"""Reassembles bodies that operators upload in pieces, as the size of one admin call is limited."""

from __future__ import annotations

import base64
import binascii
import io
import re
from dataclasses import dataclass, field

import zstandard

from thistleshore.distribution.model import MAX_BODY_BYTES

MAX_UPLOADS = 8  # concurrent uploads
MAX_PIECES = 160  # pieces per upload; an incompressible body needs 117
MAX_PIECE_CHARS = 3000  # characters per piece
UPLOAD_TIMEOUT = 30.0  # seconds after the last piece
MAX_WINDOW_BYTES = 1 << 23  # bytes of the decompressor's window
NAME = re.compile(r"[0-9a-zA-Z_-]{1,32}")


class UploadError(ValueError):
    """A piece or an upload is invalid."""


@dataclass(slots=True)
class Upload:
    """The pieces of one body received so far."""

    count: int
    last_received: float
    pieces: dict[int, str] = field(default_factory=dict)


class Uploads:
    """All uploads in progress, bounded in number and size; idle ones expire."""

    def __init__(self) -> None:
        self._uploads: dict[str, Upload] = {}

    def add(self, name: str, index: str, count: str, data: str, now: float) -> None:
        """Store a piece; a repeated piece replaces the earlier one."""
        self._expire(now)
        if not NAME.fullmatch(name):
            raise UploadError("the name of an upload has 1 to 32 letters and digits")
        number, pieces = _parse_number(index), _parse_number(count)
        if not 1 <= pieces <= MAX_PIECES or not 0 <= number < pieces:
            raise UploadError(f"piece {index} of {count}: at most {MAX_PIECES} are taken")
        if len(data) > MAX_PIECE_CHARS:
            raise UploadError(f"a piece has at most {MAX_PIECE_CHARS} characters")
        upload = self._uploads.get(name)
        if upload is None:
            if len(self._uploads) >= MAX_UPLOADS:
                raise UploadError(f"{MAX_UPLOADS} uploads are under way; try again in {UPLOAD_TIMEOUT:g} s")
            upload = self._uploads[name] = Upload(pieces, now)
        if upload.count != pieces:
            raise UploadError(f"upload {name} has {upload.count} pieces")
        upload.pieces[number], upload.last_received = data, now

    def take(self, name: str, now: float) -> bytes:
        """Return the body of a complete upload, and forget the upload."""
        self._expire(now)
        upload = self._uploads.get(name)
        if upload is None:
            raise UploadError(f"no upload {name} is here: it has expired, or was brought to another member")
        if missing := upload.count - len(upload.pieces):
            raise UploadError(f"{missing} of {upload.count} pieces of upload {name} are missing")
        del self._uploads[name]
        return decode_upload("".join(upload.pieces[number] for number in range(upload.count)))

    def _expire(self, now: float) -> None:
        self._uploads = {
            name: upload for name, upload in self._uploads.items() if now - upload.last_received <= UPLOAD_TIMEOUT
        }


def _parse_number(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 6):
        raise UploadError(f"a whole number is wanted, not {text!r}")
    return int(text)


def decode_upload(text: str) -> bytes:
    """Decode and decompress the text of a complete upload."""
    try:
        data = base64.b64decode(text, altchars=b"-_", validate=True)
        size = zstandard.get_frame_parameters(data).content_size
        with zstandard.ZstdDecompressor(max_window_size=MAX_WINDOW_BYTES).stream_reader(io.BytesIO(data)) as reader:
            body = reader.read(MAX_BODY_BYTES + 1)
    except (binascii.Error, ValueError, zstandard.ZstdError) as problem:
        raise UploadError(f"the upload is spoilt: {problem}") from None
    if len(body) > MAX_BODY_BYTES:
        raise UploadError(f"a body has at most {MAX_BODY_BYTES} bytes")
    if len(body) != size:
        raise UploadError("the upload is spoilt: it is cut off")
    return body
