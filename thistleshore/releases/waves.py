"""A release as pure functions from one value to the next, or to a refusal: start, give, take, arrive, halt, undo."""

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
    """What an operator asks for: the plan's file.  Waves are how many have the new version once each is through."""

    version: Version
    reason: str = ""
    service: str = ""  # for the ticket workers of this service; for the dispatchers where there is none
    act: tuple[str, ...] = ()  # of ticket workers: the command that brings {version} to {host}
    former: str = INITIAL_VERSION  # of ticket workers: what those run whose version was never told
    waves: tuple[Limit, ...] = (1, "5%", "20%", "100%")
    worse: str = "undo"
    within: float = 90.0
    enough: float = 30.0
    bound: float = 300.0
    margin: float = 0.02
    error: float = 0.01


class PlanError(ValueError):
    """A plan that cannot be carried out; the text names the key."""


def read_plan(tables: Any) -> Plan:
    """A plan from its file's tables, or PlanError."""
    try:
        plan = msgspec.convert(tables, Plan, strict=False)
    except msgspec.ValidationError as problem:
        raise PlanError(str(problem)) from None
    if plan.worse not in ("undo", "halt"):
        raise PlanError(f"worse: undo or halt is wanted, not {plan.worse!r}")
    if plan.service and (plan.version.command or plan.version.file):
        raise PlanError("version: ticket workers have no command or file of ours; `act` brings it to them")
    if not plan.service and (plan.act or plan.former):
        raise PlanError("act: it is for ticket workers, and `service` names none")
    if not plan.waves:
        raise PlanError("waves: at least one is wanted")
    for key, least, most in (
        ("within", 1.0, 3600.0),
        ("enough", 0.0, 86400.0),
        ("bound", 1.0, 86400.0),
        ("margin", 0.0, 1.0),
        ("error", 1e-6, 0.5),
    ):
        if not least <= getattr(plan, key) <= most:
            raise PlanError(f"{key}: {least:g} to {most:g} is wanted, not {getattr(plan, key):g}")
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
    """Begin a release for those that the asking instance knows, with their zones."""
    kind: Kind = "host" if plan.service else "dispatcher"
    before = value.release
    if before is not None and before.state in ACTIVE_STATES:
        return Refusal("release", 1, (), f"release {before.number} is {before.state}: halt it, or wait for its end")
    if with_place := [place.name for place in value.places if place.release]:
        return Refusal("release", 0, tuple(with_place), f"of the last release {', '.join(with_place)} are still midway")
    known = value.versions.get(plan.version.name)
    if known is not None and known != plan.version:
        return Refusal("version", 0, (), f"version {plan.version.name} is known with another command or file")
    if not zones:
        return Refusal("known", 0, (), f"no {kind} of it is known")
    former = {name: value.version_of(kind, name) or plan.former for name in zones}
    if all(version == plan.version.name for version in former.values()):
        return Refusal("version", 0, (), f"all of them have version {plan.version.name}")
    if strange := sorted(
        name
        for name, version in former.items()
        if kind == "dispatcher" and version not in (INITIAL_VERSION, *value.versions)
    ):
        # There would be no way back: a keeper is told a version's command by the register.
        return Refusal("version", 0, tuple(strange), f"what {', '.join(strange)} run is not known to the register")
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
    """Halt, resume, undo, or end the release of that number; whoever has a place and has not begun gives it back."""
    release = value.release
    if release is None or release.number != number:
        return Refusal("release", 0, (), f"release {number} is not the one under way")
    wanted = release.halted_in if state == "resume" else state
    if wanted == release.state:
        return value  # asked twice is asked once
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
    release = value.release
    if release is None or release.number != number or release.state != "going" or release.wave != wave:
        return Refusal("release", 0, (), "another has carried it on")
    after = msgspec.structs.replace(release, wave=wave + 1, told=told)
    return places.with_change(value, f"release wave {wave + 2}", release.version.name, told, by, when, release=after)


def target(value: Value, name: str, kind: Kind = "dispatcher") -> str:
    """The version that it is to have, by the release that is live; else what it has."""
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
    """Who is still to change, in order: in the wave under way, or of the latest wave that is not back."""
    release = value.release
    if release is None or release.state not in ACTIVE_STATES:
        return ()
    kind = release.kind

    def is_remaining(name: str) -> bool:
        # One that has a place is midway, whatever it last ran.
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


def grant(value: Value, number: int, name: str, by: str, seen: FleetObservation, when: float) -> Value | Refusal:
    """A place for one that is to change."""
    release = value.release
    if release is None or release.number != number or name not in remaining(value):
        return Refusal("release", 0, (), "another has carried it on")
    return places.grant(value, release.kind, name, f"release of {release.version.name}", by, seen, when, number)


class Order(NamedTuple):
    """What a keeper is told: the version its dispatcher is to have, and the number of the place to do it by (0: not
    yet)."""

    version: Version | None  # None: the keeper's own
    place: int
    begun: bool


def order(value: Value, name: str) -> Order:
    wanted, place = target(value, name), _release_place(value, name)
    version = value.versions.get(wanted) if wanted != INITIAL_VERSION else None
    return Order(version, place.number if place is not None else 0, place is not None and place.begun)


def arrived(value: Value, name: str, version: str, by: str, when: float, kind: Kind = "dispatcher") -> Value | Refusal:
    """Whoever changed it says what it runs now: a place of the release has served its purpose."""
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
    """The change did not come about: it serves on with `version`, and the release halts."""
    after = arrived(value, name, version, by, when, kind)
    release = value.release
    if isinstance(after, Refusal) or release is None or release.state not in ACTIVE_STATES:
        return after
    return change_state(after, release.number, "halted", f"{name}: {told}", by, when)
