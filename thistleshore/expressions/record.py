"""What an expression sees of a request; both fronts, and the command line's JSON, fill the same record.

Doubled headers and query fields: the first one counts.  Bytes that are no UTF-8 read as U+FFFD.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from thistleshore.addresses import ip_number
from thistleshore.expressions.model import BODY_MOST, HEAD_MOST, PRIORITY_MOST, TUBE_MOST

UNKNOWN = 0  # the address `::`, where the transport names none


class Request:
    """One request.  Fields are those of `request` and `client`, flat."""

    __slots__ = ("address", "front", "headers", "host", "method", "path", "priority", "query", "size", "tube")

    def __init__(
        self,
        front: str = "http",
        method: str = "",
        host: str = "",
        path: str = "",
        query: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        size: int = 0,
        tube: str = "",
        priority: int = 0,
        address: int = UNKNOWN,
    ) -> None:
        self.front, self.method, self.host, self.path = front, method, host, path
        self.query, self.headers = query or {}, headers or {}
        self.size, self.tube, self.priority, self.address = size, tube, priority, address

    def read(self, name: str) -> Any:
        """The value of a variable by its path, such as `request.host`."""
        return getattr(self, name.rpartition(".")[2])


_CODED = re.compile(r"%([0-9a-fA-F]{2})")
_UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")


def _decode(match: re.Match[str]) -> str:
    letter = chr(int(match[1], 16))
    return letter if letter in _UNRESERVED else match[0].upper()


def normal_path(path: str) -> str:
    """A path in the one form that rules see, by RFC 3986: escapes of unreserved characters are undone, once, the
    others written in capitals (`%2f` stays an escape, as `%2F`); then `.` and `..` are resolved.  `//` stays."""
    if "%" in path:
        path = _CODED.sub(_decode, path)
    if "/." not in path:
        return path
    kept: list[str] = []
    parts = path.split("/")
    for n, part in enumerate(parts):
        if part in (".", ".."):
            if part == ".." and len(kept) > 1:
                kept.pop()
            if n == len(parts) - 1:
                kept.append("")
        else:
            kept.append(part)
    return "/".join(kept) if kept != [""] else "/"


def normal_host(text: str) -> str:
    """A Host header's name: lower case, without port and final dot."""
    if text.startswith("["):
        return text.partition("]")[0].lower() + "]"
    return text.partition(":")[0].rstrip(".").lower()


def text(data: bytes) -> str:
    try:
        return data.decode("ascii")
    except UnicodeDecodeError:
        return data.decode("utf-8", "replace")


def split_target(target: bytes) -> tuple[str, str, str]:
    """Authority ("" unless the target is a whole URI), normal path and query of a request's target."""
    path, _, query = text(target).partition("?")
    authority = ""
    if not path.startswith("/") and "://" in path:
        authority, slash, rest = path.partition("://")[2].partition("/")
        path = slash + rest or "/"
    return authority, normal_path(path), query.partition("#")[0]


def read_query(query: str) -> dict[str, str]:
    """Fields of a query, percent-decoded; the first of a name counts."""
    found: dict[str, str] = {}
    for name, value in parse_qsl(query, keep_blank_values=True, errors="replace"):
        found.setdefault(name, value)
    return found


def first_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Headers by name in lower case, as h11 gives them; the first of a name counts."""
    found: dict[str, str] = {}
    for name, value in headers:
        found.setdefault(text(name), text(value))
    return found


class RequestError(ValueError):
    """A request in JSON that cannot be read; the text names the field."""


class _Asked(msgspec.Struct, forbid_unknown_fields=True):
    front: str = "http"
    method: str = ""
    host: str = ""
    path: str = ""
    query: dict[str, str] = {}  # noqa: RUF012 - msgspec copies it
    headers: dict[str, str] = {}  # noqa: RUF012
    size: int = 0
    client: str = ""
    tube: str = ""
    priority: int = 0


def from_json(data: bytes | str) -> Request:
    """A request as `expr` takes it, every key optional, normalised as a front would; RequestError otherwise."""
    try:
        asked = msgspec.json.decode(data, type=_Asked)
    except (msgspec.ValidationError, msgspec.DecodeError) as problem:
        raise RequestError(f"request: {problem}") from None
    if asked.front not in ("http", "beanstalkd"):
        raise RequestError(f"request.front: http or beanstalkd is wanted, not {asked.front!r}")
    address = ip_number(asked.client) if asked.client else UNKNOWN
    if address is None:
        raise RequestError(f"request.client: {asked.client!r} is no address")
    headers: dict[str, str] = {}
    for name, value in asked.headers.items():
        headers.setdefault(name.lower(), value)
    for field, number, most in (("size", asked.size, BODY_MOST), ("priority", asked.priority, PRIORITY_MOST)):
        if not 0 <= number <= most:
            raise RequestError(f"request.{field}: 0 to {most} is wanted, not {number}")
    texts = {"method": asked.method, "host": asked.host, "path": asked.path}
    texts |= {f"headers[{name!r}]": value for name, value in headers.items()}
    texts |= {f"query[{name!r}]": value for name, value in asked.query.items()}
    for field, found in texts.items():
        # A front refuses a longer head before any rule sees it: bounds of cost rest on that.
        if len(found.encode()) > HEAD_MOST:
            raise RequestError(f"request.{field}: {HEAD_MOST} bytes at most")
    if sum(map(len, texts.values())) > 2 * HEAD_MOST or len(headers) + len(asked.query) > HEAD_MOST // 4:
        raise RequestError("request: more than a head can hold")
    if len(asked.tube) > TUBE_MOST:
        raise RequestError(f"request.tube: {TUBE_MOST} bytes at most")
    return Request(
        asked.front,
        asked.method,
        normal_host(asked.host),
        normal_path(asked.path),
        dict(asked.query),
        headers,
        asked.size,
        asked.tube,
        asked.priority,
        address,
    )
