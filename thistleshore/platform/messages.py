"""What the platform's HTTP messages say: pure functions from headers and lines to the core's terms."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import h11

from oxbowarch.interface import UNNAMED_TENANT, Entry, ListKind, Report, State, Status
from thistleshore.core.model import HostLine
from thistleshore.platform.start_times import StartOf

if TYPE_CHECKING:  # the platform has no rules, and imports none of what they need
    from thistleshore.routing import RouteDecision

BODY_MOST = 64 * 1024  # bytes of any body
LINE_MOST = 6 * BODY_MOST + 1024  # a result of that size, every byte of it escaped, in its JSON object
HEAD_MOST = 16 * 1024
FIELDS_MOST = 128  # lines of a head, or of the trailers of a body: parsed, each takes some 200 bytes
STATES = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}
FREE, QUEUED, HELD = ("x0",), ("q", "queue"), ("rif", "inflight")  # names of a load report's values


class Rejected(Exception):
    """A downstream's message that is answered with a 4xx."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Malformed(Exception):
    """An upstream host or discovery sent what the protocol does not know."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A stream's payload: what passes on unchanged."""

    target: bytes
    passed: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Terms(NamedTuple):
    """A stream as its headers word it."""

    name: str
    job_class: int
    tenant: int
    key: int
    remaining: float
    repeat: bool
    member: str = ""


END_OF_HEAD = re.compile(rb"\n\r?\n")
FRAMING = re.compile(rb"^(content-length|transfer-encoding)[ \t]*:[ \t]*([^\r\n]*)", re.IGNORECASE | re.MULTILINE)
ONCE = (b"x-txn", b"x-lane", b"x-remaining-ms", b"idempotency-key")


def check_framing(head: bytes) -> None:
    """Rejected where a head does not say once, and in one way, how long its body is.

    h11 takes a length beside an encoding, or the same length twice.  Whoever stands before or behind us may read
    the other one, and find a second request inside the body.
    """
    said = FRAMING.findall(head.replace(b"\r\n", b"\n").partition(b"\n\n")[0])
    if len(said) > 1 or any(b"," in value for _, value in said):
        raise Rejected(400, "the length of the body is said twice")


def has_too_many_fields(text: bytes) -> bool:
    """Whether a head, or trailers, have too many lines up to the empty one: parsed, they would fill the memory."""
    if text.count(b"\n") <= FIELDS_MOST:
        return False
    end = END_OF_HEAD.search(text)
    return text.count(b"\n", 0, end.start() if end else len(text)) > FIELDS_MOST


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


def key_number(cookie: str) -> int:
    """The cookie `k` as the module's number for a key; 0: none."""
    for part in cookie.split(";"):
        name, _, value = part.strip().partition("=")
        if name == "k" and value:
            try:
                return int(value, 16) % 2**64
            except ValueError:
                return int.from_bytes(value.encode("latin-1", "replace")[:8], "big")
    return 0


class Router(Protocol):
    """An operator's rules, as far as this front needs them."""

    def route(self, request: h11.Request, size: int, address: int) -> RouteDecision | None:
        """The contract that a request falls under; `size` in bytes of its body; None: no rule fits."""
        ...


class Routes(NamedTuple):
    """What the settings call classes and tenants, and how long each class's clients wait."""

    classes: Mapping[str, int]
    give_up: Sequence[float]
    tenants: Mapping[str, int] | None = None  # None: a contract is class and tenant in one
    router: Router | None = None  # an operator's rules, which name the contract instead


def read_terms(request: h11.Request, routes: Routes, size: int = 0, address: int = 0) -> Terms:
    """What a request asks for, or Rejected; `size` of its body and the client's `address` are for the rules."""
    headers = list(request.headers)
    names = [name for name, _ in headers]
    if any(names.count(name) > 1 for name in ONCE):
        raise Rejected(400, "a header that may stand once is doubled")  # a host may read the other one
    path = request.target.split(b"?")[0].decode("latin-1")
    routed = None
    if routes.router is not None:
        routed = routes.router.route(request, size, address)
        if routed is None:
            raise Rejected(404, "no such class")
        job_class = routed.contract
    else:
        lane = header(headers, b"x-lane") or path.split("/")[1 if path.startswith("/") else 0]
        if lane not in routes.classes:
            raise Rejected(404, "no such class")
        job_class = routes.classes[lane]
        if path.split("/")[1:2] != [lane]:
            raise Rejected(400, "path and X-Lane name different classes")  # a host would go by the other one
    if request.method != b"POST":
        raise Rejected(405, "every job comes by POST")
    name = header(headers, b"x-txn")
    if not name or len(name) > 128:
        raise Rejected(400, "X-Txn is missing or too long")
    left = header(headers, b"x-remaining-ms")
    if left is not None and not (left.isascii() and left.isdigit() and len(left) < 12):
        raise Rejected(400, "X-Remaining-Ms is not a whole number")
    remaining = routes.give_up[job_class] if left is None else int(left) / 1000
    if not 0 < remaining <= 3600:
        raise Rejected(400, "X-Remaining-Ms is out of range")
    tenant = job_class
    if routes.tenants is not None:
        tenant = routes.tenants.get(header(headers, b"x-org") or "", UNNAMED_TENANT)
    key = key_number(header(headers, b"cookie") or "")
    repeat = header(headers, b"x-resent") == "1"
    if routed is None:
        return Terms(name, job_class, tenant, key, remaining, repeat)
    return Terms(name, job_class, tenant, routed.key or key, remaining, repeat, routed.member)


PASSED = frozenset((b"x-txn", b"idempotency-key", b"x-lane", b"x-org", b"cookie", b"content-type", b"x-labels"))


def read_report(values: Mapping[str, Any]) -> Report | None:
    """A load report's values, None for each that is absent or out of all reason."""

    def value(names: tuple[str, ...]) -> float | None:
        found = next((values[name] for name in names if name in values), None)
        sound = isinstance(found, int | float) and not isinstance(found, bool) and isfinite(found)
        return float(found) if sound and 0 <= found <= 1e9 else None  # type: ignore[arg-type, operator]

    report = Report(value(FREE), value(QUEUED), value(HELD))
    return None if report == Report() else report


def read_pressure(text: str | None) -> Report | None:
    """The load report of a header: `TEXT inflight=7, queue=2, util=0.61`."""
    values: dict[str, float] = {}
    for part in (text or "").removeprefix("TEXT ").split(","):
        name, _, value = part.strip().partition("=")
        try:
            values[name] = float(value)
        except ValueError:
            continue
    return read_report(values)


class Line(NamedTuple):
    """One line of a ticket worker's answer; `status` None: the job goes on."""

    status: Status | None
    started: bool = False
    result: bytes | None = None
    report: Report | None = None


class AnswerLines:
    """Cuts the body of a host's answer into its lines, however many parts it comes in."""

    def __init__(self) -> None:
        self._unended = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that end with this part, but for empty ones; Malformed where one has no end."""
        self._unended += data
        found = list[bytes]()
        if b"\n" in data:  # else a line in very many parts would be copied with each
            *lines, rest = bytes(self._unended).split(b"\n")
            found = [line for line in lines if line.strip()]
            self._unended = bytearray(rest)
        if len(self._unended) > LINE_MOST:
            raise Malformed("a line has no end")  # it would fill the memory
        return found


ENDS = {"done": Status.OK, "failed": Status.ERROR, "returned": Status.FULL, "lost": Status.RESET}


def read_line(text: bytes, name: str) -> Line:
    """One JSON object about the stream of that name, or Malformed."""
    try:
        found = json.loads(text)
    except (ValueError, RecursionError):
        raise Malformed("a line is not JSON") from None
    if not isinstance(found, dict) or not isinstance(found.get("state"), str):
        raise Malformed("a line has no state")
    if found.get("id") != name:
        # An answer that belongs to another stream must never be served for this one.
        raise Malformed("a line is about another stream")
    state, load = found["state"], found.get("load")
    report = read_report(load) if isinstance(load, dict) else None
    if state not in ENDS:
        return Line(None, state == "started", report=report)
    if ENDS[state] is not Status.OK:
        return Line(ENDS[state], report=report)
    result = found.get("result")
    if not isinstance(result, str) or len(body := result.encode("utf-8", "surrogatepass")) > BODY_MOST:
        raise Malformed("a result is missing, no text or too large")
    return Line(Status.OK, result=body, report=report)


class ListNames(NamedTuple):
    """The settings' names, by which a list names places and kinds."""

    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    unnamed_zone: int = 0  # of hosts whose place has no name there
    unnamed_kind: int = 0


def read_hosts(
    body: bytes | Mapping[str, Any], names: ListNames, start_of: StartOf, faults: list[str] | None = None
) -> tuple[int, ListKind, tuple[HostLine, ...]]:
    """Discovery's list: its version, whether it is whole, and its lines; or Malformed.

    `start_of` places the Unix time of a host's start on the caller's clock.  Where `faults` are collected, a line that
    can't be read costs that host alone: it gets nothing new.
    """
    try:
        found = json.loads(body) if isinstance(body, bytes) else body
        seq, kind = int(found["seq"]), ListKind.FULL if found["whole"] else ListKind.CHANGES
        lines = [_read_host(host, names, start_of, faults) for host in found["hosts"]]
    except NOT_AS_SAID as problem:
        raise Malformed(f"list of hosts: {type(problem).__name__}: {problem}") from None
    return seq, kind, tuple(line for line in lines if line is not None)


NOT_AS_SAID = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)


def _read_host(host: Any, names: ListNames, start_of: StartOf, faults: list[str] | None) -> HostLine | None:
    try:
        return _host_line(host, names, start_of)
    except NOT_AS_SAID as problem:
        if faults is None:
            raise
        name = host.get("host") if isinstance(host, dict) else None
        faults.append(f"{str(name)[:64]}: {type(problem).__name__}: {problem}")
        if not isinstance(name, str) or not name:
            return None
        return HostLine(Entry(name.encode("utf-8", "replace"), State.DRAINING), None)


def _host_line(host: Mapping[str, Any], names: ListNames, start_of: StartOf) -> HostLine:
    born, weight = float(host.get("born_ms", 0)), float(host.get("share", 1.0))
    if not (isfinite(born) and isfinite(weight)):
        raise ValueError("born_ms and share are finite")
    if not host["host"]:
        raise ValueError("a host has a name")
    # A health that is not known yet must not cost the whole list: such a host gets nothing new.
    state = STATES.get(host["health"], State.DRAINING)
    name = host["host"].encode()
    entry = Entry(
        worker=name,
        state=state,
        zone=names.zones.get(host.get("site", ""), names.unnamed_zone),
        kind=names.kinds.get(host.get("class", ""), names.unnamed_kind),
        cell=int(host.get("block", 0)),
        started_at=start_of(name, born / 1000),
        weight=weight,
    )
    return HostLine(entry, None if state is State.GONE and "dial" not in host else read_address(host["dial"]))


def read_address(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{text!r} is no address of the form HOST:PORT")
    return host.strip("[]"), int(port)
