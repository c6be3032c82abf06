"""The simulator's binary wire: frames, records, and the conversion of its settings.

Layouts follow the interface page of the simulator, little-endian, packed.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator
from struct import Struct, error as StructError
from typing import Any, NamedTuple

from oxbowarch import interface as api
from oxbowarch.interface import Effect, Entry, Group, JobClass, ListKind, Outcome, Report, Reports, Settings
from oxbowarch.interface import State, Status

LENGTH = Struct("<I")
BATCH = Struct("<dI")
RECORD = Struct("<BI")
HELLO = Struct("<HQI")
UPDATE = Struct("<HBQB")
CALL = Struct("<HQQfdfBdHI")
ACCEPTED = Struct("<HQH6sd")
RETURNED = Struct("<HQH6sHdBBB")
WITHDRAWN = Struct("<HQ")
FIRED = Struct("<HQ")
CHECKED = Struct("<HH6sdB")
MAIL = Struct("<HIH")
SHUTDOWN = Struct("<H")
NOTICE = Struct("<HQH6sBf")
PAGE = Struct("<BI")
ENTRY = Struct("<HdHBBf6s")
FLOATS = tuple(Struct(f"<{n}f") for n in range(256))

STATUSES = {
    100: Status.OK, 301: Status.ERROR, 302: Status.FULL, 303: Status.TIMEOUT,
    304: Status.CONNECT_FAILED, 305: Status.RESET, 306: Status.CANCELLED, 307: Status.NOT_SENT,
}  # fmt: skip
STATES = {0: State.GONE, 1: State.READY, 2: State.DRAINING}
LIST_KINDS = {0: ListKind.FAILED, 1: ListKind.CACHED, 2: ListKind.CHANGES, 3: ListKind.FULL}
EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
REPORTS = {"piggyback": Reports.WITH_ANSWERS, "pull": Reports.BY_PROBE, "silent": Reports.NONE}
REPEAT_BIT = 2


class WireError(Exception):
    """The input is not a valid frame."""


class Hello(NamedTuple):
    seed: int
    settings: bytes


class Update(NamedTuple):
    kind: ListKind
    version: int
    entries: tuple[Entry, ...]


class Accepted(NamedTuple):
    id: int
    attempt: int
    worker: bytes


class Notice(NamedTuple):
    id: int
    attempt: int
    worker: bytes
    started: bool
    share: float


class Withdrawn(NamedTuple):
    id: int


class Fired(NamedTuple):
    token: int


class Checked(NamedTuple):
    worker: bytes
    status: Status
    took: float
    report: Report | None


class Mail(NamedTuple):
    sender: int
    data: bytes


class Shutdown(NamedTuple):
    pass


def sane(value: float, low: float = 0.0, high: float = 1e9) -> float | None:
    """Return a report's value, or None if it is not a number or out of bounds."""
    return value if low <= value <= high else None


class Codec:
    """Decodes batches; stores the numbered pages of the process and each instance's report layout."""

    def __init__(self) -> None:
        self.pages: dict[int, tuple[Entry, ...]] = {}
        self.places: dict[int, tuple[int, int, int]] = {}

    def place(self, instance: int, names: list[str]) -> None:
        """Set the positions of free slots, queue and requests in flight in an instance's load reports."""
        wanted = ("x0", "q", "rif")
        first, second, third = (names.index(name) if name in names else -1 for name in wanted)
        self.places[instance] = (first, second, third)

    def report(self, instance: int, values: tuple[float, ...]) -> Report | None:
        if not values:
            return None
        free, queue, held = (
            sane(values[at]) if 0 <= at < len(values) else None for at in self.places.get(instance, (-1, -1, -1))
        )
        return Report(free, queue, held)

    def batch(self, body: bytes) -> tuple[float, Iterator[tuple[int, Any]]]:
        """Return the clock and the events (instance, event) of one frame's body, in order."""
        try:
            now, count = BATCH.unpack_from(body)
        except StructError as problem:
            raise WireError(f"batch header: {problem}") from None
        return now, self._events(body, count)

    def _events(self, body: bytes, count: int) -> Iterator[tuple[int, Any]]:
        at = BATCH.size
        total = len(body)
        for _ in range(count):
            if at + RECORD.size > total:
                raise WireError("a record's header is cut off")
            code, size = RECORD.unpack_from(body, at)
            at += RECORD.size
            end = at + size
            if end > total:
                raise WireError("a record is longer than its frame")
            decode = DECODERS.get(code)
            if decode is not None:
                try:
                    event = decode(self, body, at, end)
                except (StructError, IndexError) as problem:
                    raise WireError(f"record of code {code}: {problem}") from None
                if event is not None:
                    yield event
            at = end
        if at != total:
            raise WireError("bytes are left over behind the last record")


def _check(at: int, end: int) -> None:
    if at > end:
        raise WireError("a record's content runs past its end")


def _hello(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    instance, seed, size = HELLO.unpack_from(body, at)
    at += HELLO.size
    _check(at + size, end)
    return instance, Hello(seed, bytes(body[at : at + size]))


def _update(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + UPDATE.size, end)
    instance, kind, version, page = UPDATE.unpack_from(body, at)
    if kind not in LIST_KINDS:
        raise WireError(f"list kind {kind} is unknown")
    entries: tuple[Entry, ...] = ()
    if kind:
        if page not in codec.pages:
            raise WireError(f"page {page} was never given")
        entries = codec.pages[page]
    return instance, Update(LIST_KINDS[kind], version, entries)


def _call(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + CALL.size, end)
    instance, txn, key, slots, _hint, _memory, flags, budget, grade, tenant = CALL.unpack_from(body, at)
    return instance, api.Request(txn, grade, budget, tenant, key, slots, bool(flags & REPEAT_BIT))


def _accepted(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + ACCEPTED.size, end)
    instance, txn, attempt, worker, _took = ACCEPTED.unpack_from(body, at)
    return instance, Accepted(txn, attempt, worker)


def _load(codec: Codec, instance: int, body: bytes, at: int, end: int, n: int) -> Report | None:
    if n == 0:
        return None
    _check(at + 4 * n, end)
    return codec.report(instance, FLOATS[n].unpack_from(body, at))


def _returned(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + RETURNED.size, end)
    instance, txn, attempt, worker, code, took, settled, _remark, n = RETURNED.unpack_from(body, at)
    report = _load(codec, instance, body, at + RETURNED.size, end, n)
    status = STATUSES.get(code, Status.ERROR)
    return instance, Outcome(txn, attempt, worker, status, took, bool(settled), report)


def _withdrawn(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + WITHDRAWN.size, end)
    instance, txn = WITHDRAWN.unpack_from(body, at)
    return instance, Withdrawn(txn)


def _fired(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + FIRED.size, end)
    instance, token = FIRED.unpack_from(body, at)
    return instance, Fired(token)


def _checked(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + CHECKED.size, end)
    instance, code, worker, took, n = CHECKED.unpack_from(body, at)
    report = _load(codec, instance, body, at + CHECKED.size, end, n)
    return instance, Checked(worker, STATUSES.get(code, Status.ERROR), took, report)


def _mail(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    instance, sender, size = MAIL.unpack_from(body, at)
    at += MAIL.size
    _check(at + size, end)
    return instance, Mail(sender, bytes(body[at : at + size]))


def _shutdown(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + SHUTDOWN.size, end)
    return SHUTDOWN.unpack_from(body, at)[0], Shutdown()


def _notice(codec: Codec, body: bytes, at: int, end: int) -> tuple[int, Any]:
    _check(at + NOTICE.size, end)
    instance, txn, attempt, worker, kind, share = NOTICE.unpack_from(body, at)
    return instance, Notice(txn, attempt, worker, kind == 1, share)


def _page(codec: Codec, body: bytes, at: int, end: int) -> None:
    number, count = PAGE.unpack_from(body, at)
    at += PAGE.size
    _check(at + ENTRY.size * count, end)
    entries = []
    for cell, came_up, zone, mode, kind, weight, worker in ENTRY.iter_unpack(body[at : at + ENTRY.size * count]):
        state = STATES.get(mode, State.GONE)
        entries.append(Entry(worker, state, zone, kind, cell, came_up if math.isfinite(came_up) else 0.0, weight))
    codec.pages[number] = tuple(entries)


DECODERS: dict[int, Callable[[Codec, bytes, int, int], tuple[int, Any] | None]] = {
    1: _hello, 2: _update, 3: _call, 4: _accepted, 5: _returned, 6: _withdrawn,
    7: _fired, 8: _checked, 9: _mail, 10: _shutdown, 11: _page, 12: _notice,
}  # fmt: skip

BROADCAST_OUT = Struct("<BIHHH")
EVERYONE = 0xFFFF
LOG_OUT = Struct("<BIHH")
CANCEL_OUT = Struct("<BIHQH")
WATCH_OUT = Struct("<BIHB")
FAIL_OUT = Struct("<BIHQ")
SEND_OUT = Struct("<BIHQd6s")
REFUSE_OUT = Struct("<BIHQd")
TIMER_OUT = Struct("<BIHdQ")


def text_record(code: int, instance: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:65535]
    return LOG_OUT.pack(code, 4 + len(data), instance, len(data)) + data


def fault(instance: int, text: str) -> bytes:
    """Return the record that reports an instance's failure."""
    return text_record(7, instance, text)


ENCODERS: dict[type, Callable[[int, Any], bytes]] = {
    api.Send: lambda i, a: SEND_OUT.pack(9, 24, i, a.id, a.timeout, a.worker),
    api.Refuse: lambda i, a: REFUSE_OUT.pack(10, 18, i, a.id, a.retry_after),
    api.Fail: lambda i, a: FAIL_OUT.pack(8, 10, i, a.id),
    api.Cancel: lambda i, a: CANCEL_OUT.pack(5, 12, i, a.id, a.attempt),
    api.Timer: lambda i, a: TIMER_OUT.pack(11, 18, i, a.at, a.token),
    api.Watch: lambda i, a: WATCH_OUT.pack(6, 3, i, 1),
    api.Log: lambda i, a: text_record(2, i, a.text),
}


def broadcast(instance: int, peer: int, data: bytes) -> bytes:
    """Return the record that sends a datagram to another instance, or to all."""
    return BROADCAST_OUT.pack(4, 6 + len(data), instance, peer, len(data)) + data


def encode(instance: int, action: api.Action) -> bytes:
    return ENCODERS[type(action)](instance, action)


def frame(records: list[bytes]) -> bytes:
    body = b"".join(records)
    return LENGTH.pack(len(body)) + body


def need(conf: dict[str, Any], *path: str) -> Any:
    """Return a required setting; raise ValueError with its key if it is missing."""
    value: Any = conf
    for step, key in enumerate(path):
        if not isinstance(value, dict) or key not in value:
            raise ValueError("settings: required key " + ".".join(path[: step + 1]) + " is missing")
        value = value[key]
    return value


def choose(table: dict[str, Any], word: Any, key: str) -> Any:
    if not isinstance(word, str) or word not in table:
        raise ValueError(f"settings: {key} must be one of {', '.join(sorted(table))}")
    return table[word]


def number(table: dict[str, Any], key: str) -> float:
    """Return a number under `rules`; raise ValueError if it is not finite or is below 0."""
    value = table[key]
    if isinstance(value, bool) or not isinstance(value, int | float) or not (math.isfinite(value) and value >= 0):
        raise ValueError(f"settings: rules.{key} must be a finite number of at least 0")
    return float(value)


def attempt_budget(rules: dict[str, Any]) -> api.AttemptBudget | None:
    """Return the retry budget; None if no part of it is set."""
    keys = ("minExtra", "furtherRatio", "budgetSpan")
    missing = [key for key in keys if key not in rules]
    if len(missing) == len(keys):
        return None
    if missing:
        raise ValueError(f"settings: rules.{missing[0]} is missing; all of {', '.join(keys)} are wanted, or none")
    budget = api.AttemptBudget(*(number(rules, key) for key in keys))
    if budget.span <= 0:
        raise ValueError("settings: rules.budgetSpan must be a finite number above 0")
    return budget


def flag(table: dict[str, Any], key: str) -> bool:
    if not isinstance(table.get(key, False), bool):
        raise ValueError(f"settings: rules.{key} must be true or false")
    return bool(table.get(key, False))


def places(lane: dict[str, Any], key: str) -> tuple[int, ...] | None:
    """Return the numbers of kinds or zones that a class is bound to; None if it is not bound."""
    if key not in lane:
        return None
    found = lane[key]
    if not isinstance(found, list) or not all(type(n) is int and n >= 0 for n in found):
        raise ValueError(f"settings: lanes[].{key} must be a list of whole numbers of at least 0")
    return tuple(sorted(found))


def job_class(lane: dict[str, Any], stretch: float, kind: int) -> JobClass:
    kinds = places(lane, "boundTo")
    if kind >= 0:  # machines of other kinds cannot run it, so both restrictions apply
        kinds = (kind,) if kinds is None or kind in kinds else ()
    return JobClass(
        effect=choose(EFFECTS, need(lane, "effect"), "lanes[].effect"),
        group=choose({g.value: g for g in Group}, lane.get("group", "all"), "lanes[].group"),
        repeat_window=float(lane.get("repeatWindow", 0.0)),
        aim=float(need(lane, "aim")),
        stretch=float(lane.get("aimStretch", stretch)),
        give_up=float(need(lane, "giveUp")),
        late_share=float(lane.get("lateShare", 0.0)),
        worth=float(lane.get("worth", 1.0)),
        stream=bool(lane.get("stream", False)),
        kinds=kinds,
        zones=places(lane, "localitiesAllowed"),
    )


def settings(conf: dict[str, Any]) -> Settings:
    """Convert the site's settings; unknown keys are ignored."""
    lanes = need(conf, "lanes")
    limits = need(conf, "limits")
    rules = need(conf, "rules")
    info = conf.get("familyInfo", {})
    stretches = info.get("classStretch", [])
    kinds = info.get("classKind", [])
    classes = tuple(
        job_class(lane, stretches[n] if n < len(stretches) else 0.0, int(kinds[n]) if n < len(kinds) else -1)
        for n, lane in enumerate(lanes)
    )
    how = choose(REPORTS, conf.get("stats", {}).get("how", "silent"), "stats.how")
    discovery = choose({"pushed": False, "on_request": True}, conf.get("discovery", "pushed"), "discovery")
    advice = float(limits.get("maxRetryAfter", 0.0)) if limits.get("retryAfter") else 0.0
    return Settings(
        balancers=int(need(conf, "balancers")),
        zone=int(conf.get("locality", 0)),
        classes=classes,
        limits=tuple(float(need(tenant, "quotaPerS")) for tenant in conf.get("tenants", [])),
        reports=how,
        me=int(conf.get("me", 0)),
        shares_notes=bool(limits.get("peers", False)),
        list_on_request=discovery,
        max_list_retry=float(rules.get("askWithin", 10.0)),
        drain_within=float(rules.get("stopSendingWithin", 3.0)),
        can_cancel=bool(limits.get("cancelling", False)),
        hedging=bool(limits.get("secondCopies", False)),
        max_attempts=int(need(conf, "limits", "maxAttempts")),
        max_retry_after=advice,
        tells_start=bool(info.get("tellsStart", False)),
        tick=float(need(conf, "quantum")),
        cold_from=float(rules.get("coldFrom", 1.0)),
        warm_up=float(rules.get("warmUp", 0.0)),
        cold_factor=float(rules.get("overloadFactor", 4.0)),
        cold_span=float(rules.get("overloadFor", 2.0)),
        budget=attempt_budget(rules),
        full_never_ran=not flag(rules, "fullUnproven"),
    )


def parse_settings(text: bytes) -> tuple[Settings, list[str]]:
    """Return the settings and the names of the values in a load report."""
    conf = json.loads(text)
    if not isinstance(conf, dict):
        raise ValueError("settings: a JSON object is wanted")
    info = conf.get("familyInfo", {})
    names = list(conf.get("stats", {}).get("names", []))
    free = [key.lower()[-2:] for key in ("reportX0", "reportX1") if info.get(key) == "free slots"]
    if free and free[0] != "x0" and free[0] in names:
        names = ["x0" if name == free[0] else "-" if name == "x0" else name for name in names]
    return settings(conf), names
