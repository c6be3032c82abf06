"""The steps of a release, as pure functions from one value to the next or to a refusal."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from thistleshore.releases import places
from thistleshore.releases.model import (
    INITIAL_VERSION,
    MAX_REASON_LENGTH,
    FleetObservation,
    Kind,
    Limit,
    Place,
    Refusal,
    Release,
    Value,
    Version,
    version_key,
)

ACTIVE_STATES = ("going", "undoing")
FINAL_STATES = ("done", "undone")


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's release plan.  `waves` gives the total number or share with the new version after each wave."""

    version: Version
    reason: str = ""
    service: str = ""  # the service whose ticket workers are released; empty: the dispatchers
    act: tuple[str, ...] = ()  # of ticket workers: the command that installs {version} on {host}
    former: str = INITIAL_VERSION  # of ticket workers: version of those that have reported none
    waves: tuple[Limit, ...] = (1, "5%", "20%", "100%")
    worse: str = "undo"
    within: float = 90.0
    enough: float = 30.0
    bound: float = 300.0
    margin: float = 0.02
    error: float = 0.01


class PlanError(ValueError):
    """An invalid plan; the text names the key."""


def read_plan(tables: Any) -> Plan:
    """Return the plan in a parsed TOML document.  Raises PlanError if it is invalid."""
    try:
        plan = msgspec.convert(tables, Plan, strict=False)
    except msgspec.ValidationError as problem:
        raise PlanError(str(problem)) from None
    if plan.worse not in ("undo", "halt"):
        raise PlanError(f"worse: must be undo or halt, not {plan.worse!r}")
    if plan.service and (plan.version.command or plan.version.file):
        raise PlanError("version: command and file are for dispatchers only; ticket workers are changed by `act`")
    if not plan.service and (plan.act or plan.former):
        raise PlanError("act: act and former are for ticket workers only, and `service` is empty")
    if not plan.waves:
        raise PlanError("waves: must have at least one entry")
    for key, minimum, maximum in (
        ("within", 1.0, 3600.0),
        ("enough", 0.0, 86400.0),
        ("bound", 1.0, 86400.0),
        ("margin", 0.0, 1.0),
        ("error", 1e-6, 0.5),
    ):
        if not minimum <= getattr(plan, key) <= maximum:
            raise PlanError(f"{key}: must be from {minimum:g} to {maximum:g}, not {getattr(plan, key):g}")
    return plan


def waves(shares: Iterable[Limit], zones: Mapping[str, str]) -> tuple[tuple[str, ...], ...]:
    """Who goes in which wave: zone after zone, and all at the end whatever the last share says."""
    order = sorted(zones, key=lambda name: (zones[name], name))
    result, count = [], 0
    for share in (*shares, "100%"):
        maximum = min(len(order), places.max_allowed(share, len(order)))
        if maximum > count:
            result.append(tuple(order[count:maximum]))
            count = maximum
    return tuple(result)


def start(value: Value, plan: Plan, zones: Mapping[str, str], by: str, when: float) -> Value | Refusal:
    """Start a release for the members in `zones` (name to zone), those that the requesting instance knows."""
    kind: Kind = "host" if plan.service else "dispatcher"
    before = value.release
    if before is not None and before.state in ACTIVE_STATES:
        return Refusal("release", 1, (), f"release {before.number} is {before.state}: halt it or wait until it ends")
    if with_place := [place.name for place in value.places if place.release]:
        return Refusal("release", 0, tuple(with_place), f"still changing in the last release: {', '.join(with_place)}")
    known = value.versions.get(plan.version.name)
    if known is not None and known != plan.version:
        return Refusal("version", 0, (), f"version {plan.version.name} exists with another command or file")
    if not zones:
        return Refusal("known", 0, (), f"no {kind} is known for this release")
    former = {name: value.version_of(kind, name) or plan.former for name in zones}
    if all(version == plan.version.name for version in former.values()):
        return Refusal("version", 0, (), f"all members run version {plan.version.name} already")
    if strange := sorted(
        name
        for name, version in former.items()
        if kind == "dispatcher" and version not in (INITIAL_VERSION, *value.versions)
    ):
        # They could not be rolled back, as keepers get the command of a version from the register.
        return Refusal(
            "version", 0, tuple(strange), f"the register does not know the versions of: {', '.join(strange)}"
        )
    release = Release(
        value.number + 1,
        plan.version,
        waves(plan.waves, zones),
        former,
        by,
        plan.reason[:MAX_REASON_LENGTH],
        worse="halt" if plan.worse == "halt" else "undo",
        within=plan.within,
        enough=plan.enough,
        bound=plan.bound,
        margin=plan.margin,
        error=plan.error,
        kind=kind,
        act=plan.act,
    )
    used = {*value.runs.values()}
    versions = {name: version for name, version in value.versions.items() if name in used}
    versions[plan.version.name] = plan.version
    return places.with_change(
        value, "release starts", plan.version.name, plan.reason, by, when, release=release, versions=versions
    )


def change_state(value: Value, number: int, state: str, told: str, by: str, when: float) -> Value | Refusal:
    """Halt, resume, undo or end release `number`; its places that have not begun are freed."""
    release = value.release
    if release is None or release.number != number:
        return Refusal("release", 0, (), f"release {number} is not the current one")
    wanted = release.halted_in if state == "resume" else state
    if wanted == release.state:
        return value  # repeated requests change nothing
    allowed = {
        "halted": ACTIVE_STATES,
        "resume": ("halted",),
        "undoing": ("going", "halted", "done"),
        "done": ("going",),
        "undone": ("undoing",),
    }[state]
    if release.state not in allowed:
        return Refusal("release", 0, (), f"release {number} is {release.state}")
    halted_in = release.state if state == "halted" else "undoing" if wanted == "undoing" else "going"
    after = msgspec.structs.replace(release, state=wanted, told=told[:MAX_REASON_LENGTH], halted_in=halted_in)
    kept = tuple(place for place in value.places if not place.release or place.begun)
    return places.with_change(
        value, f"release {wanted}", release.version.name, told, by, when, release=after, places=kept
    )


def next_wave(value: Value, number: int, wave: int, told: str, by: str, when: float) -> Value | Refusal:
    """Advance the release from `wave` to the next one."""
    release = value.release
    if release is None or release.number != number or release.state != "going" or release.wave != wave:
        return Refusal("release", 0, (), "another instance has advanced it already")
    after = msgspec.structs.replace(release, wave=wave + 1, told=told)
    return places.with_change(value, f"release wave {wave + 2}", release.version.name, told, by, when, release=after)


def target(value: Value, name: str, kind: Kind = "dispatcher") -> str:
    """Return the version that a member is to run by the active release, or the one that it runs."""
    release, current = value.release, value.version_of(kind, name)
    if release is None or release.kind != kind:
        return current
    current = current or release.former.get(name, current)
    if release.state not in ACTIVE_STATES:
        return current
    if release.state == "undoing":
        return release.former.get(name, current)
    return release.version.name if any(name in wave for wave in release.waves[: release.wave + 1]) else current


def remaining(value: Value) -> tuple[str, ...]:
    """Return who is still to change, in order: of the current wave, or on undo of the latest wave not yet reverted."""
    release = value.release
    if release is None or release.state not in ACTIVE_STATES:
        return ()
    kind = release.kind

    def is_remaining(name: str) -> bool:
        # A member with a place is still changing, whatever version it last reported.
        current = value.version_of(kind, name) or release.former.get(name, INITIAL_VERSION)
        return current != target(value, name, kind) or _release_place(value, name, kind) is not None

    if release.state == "going":
        return tuple(name for name in release.waves[release.wave] if is_remaining(name))
    for wave in reversed(release.waves):
        if reverting := tuple(name for name in reversed(wave) if is_remaining(name)):
            return reverting
    return ()


def _release_place(value: Value, name: str, kind: Kind = "dispatcher") -> Place | None:
    place = value.place(kind, name)
    return place if place is not None and place.release else None


def grant(value: Value, number: int, name: str, by: str, observed: FleetObservation, when: float) -> Value | Refusal:
    """Grant a place to a member that is to change."""
    release = value.release
    if release is None or release.number != number or name not in remaining(value):
        return Refusal("release", 0, (), "another instance has advanced it already")
    return places.grant(value, release.kind, name, f"release of {release.version.name}", by, observed, when, number)


class Order(NamedTuple):
    """Instructions to a keeper: its dispatcher's version, and the number of the place to change by (0: none yet)."""

    version: Version | None  # None: that of the keeper's settings
    place: int
    begun: bool


def order(value: Value, name: str) -> Order:
    """Return the instructions to the keeper of a dispatcher."""
    wanted, place = target(value, name), _release_place(value, name)
    version = value.versions.get(wanted) if wanted != INITIAL_VERSION else None
    return Order(version, place.number if place is not None else 0, place is not None and place.begun)


def arrived(value: Value, name: str, version: str, by: str, when: float, kind: Kind = "dispatcher") -> Value | Refusal:
    """Record the version that a member runs now, and free its place of the release."""
    place = _release_place(value, name, kind)
    if place is None and value.version_of(kind, name) == version:
        return value
    kept = tuple(p for p in value.places if p is not place)
    return places.with_change(
        value,
        "runs",
        name,
        version or "its first version",
        by,
        when,
        places=kept,
        runs={**value.runs, version_key(kind, name): version},
    )


def failed(
    value: Value, name: str, version: str, told: str, by: str, when: float, kind: Kind = "dispatcher"
) -> Value | Refusal:
    """Record that a change failed: the member still runs `version`, and the release halts."""
    after = arrived(value, name, version, by, when, kind)
    release = value.release
    if isinstance(after, Refusal) or release is None or release.state not in ACTIVE_STATES:
        return after
    return change_state(after, release.number, "halted", f"{name}: {told}", by, when)
