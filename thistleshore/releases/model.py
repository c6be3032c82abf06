"""The value that the fleet agrees on: limits, places, voters, the release, the configuration and a change history."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

import msgspec

MAX_HISTORY = 64
MAX_REASON_LENGTH = 200  # characters
MAX_PLACES = 256
MAX_CONFIGURATIONS = 32  # versions of the configuration in the history

Kind = Literal["dispatcher", "host"]
Limit = Annotated[int, msgspec.Meta(ge=0)] | Annotated[str, msgspec.Meta(pattern=r"^(100|[0-9]{1,2})%$")]


ReleaseState = Literal["going", "halted", "undoing", "done", "undone"]
VERSION_NAME = r"^[A-Za-z0-9._-]{1,40}$"
INITIAL_VERSION = ""  # the command and file of the keeper's own settings


def version_key(kind: str, name: str) -> str:
    """Return the key in `Value.runs` of a dispatcher or host.  Names contain no space, so the keys are distinct."""
    return name if kind == "dispatcher" else f"{kind} {name}"


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many may be out at once: a number, or a share of the known members, which allows at least one."""

    dispatchers: Limit = 1
    hosts: Limit = "20%"  # of each service
    hosts_a_zone: Limit = "100%"  # of each service in each zone


class Place(msgspec.Struct, frozen=True):
    """Permission for a dispatcher or host to be out.

    `number` is the number of the change that granted it, so later places have greater numbers.
    """

    kind: Kind
    name: str
    reason: str
    by: str  # the instance that requested it
    number: int
    service: str = ""
    zone: str = ""
    generation: int = msgspec.field(name="life", default=0)  # of a dispatcher, when the place was granted
    begun: bool = False
    release: int = 0  # number of its release, 0: none; with one, the keeper replaces the process


class Version(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How to start a dispatcher: the command before `serve --config FILE`, and FILE."""

    name: Annotated[str, msgspec.Meta(pattern=VERSION_NAME)]
    command: tuple[str, ...] = ()  # empty: the command of the keeper's settings
    file: str = ""


class Release(msgspec.Struct, frozen=True):
    """The release in progress, or the last one."""

    number: int  # of the change that started it
    version: Version
    waves: tuple[tuple[str, ...], ...]
    former: dict[str, str]  # version of each member before the release
    by: str
    reason: str
    kind: Kind = "dispatcher"
    act: tuple[str, ...] = ()  # command that installs {version} on {host}; empty: by hand
    state: ReleaseState = "going"
    wave: int = 0
    told: str = ""  # reason for the state
    halted_in: str = "going"  # state to return to on resume
    worse: Literal["undo", "halt"] = "undo"  # reaction to a WORSE verdict of the gate
    within: float = 90.0  # seconds for one dispatcher, from its place to its new version
    enough: float = 30.0  # seconds for which a wave is observed
    bound: float = 300.0  # seconds after which too few requests for a verdict halt it
    margin: float = 0.02  # largest decrease of a share that still passes
    error: float = 0.01  # false positive probability of the gate, per wave


class HistoryEntry(msgspec.Struct, frozen=True):
    """One change of the value; `when` is Unix time by the clock of the proposing instance."""

    number: int
    what: str
    name: str
    reason: str
    by: str
    when: float


class ConfigurationEntry(msgspec.Struct, frozen=True):
    """One version of the configuration, without its body; `when` is Unix time of the pushing instance."""

    number: int
    digest: str  # of the body, see `distribution.model.digest_of`
    size: int  # bytes of the body
    by: str
    reason: str
    when: float
    against: int  # the version in force before it
    restored: int = 0  # the version whose body a rollback restored; 0: not a rollback


class Configuration(msgspec.Struct, frozen=True):
    """The configuration version in force and the latest versions, oldest first.

    Version numbers are independent of `Value.number`.
    """

    number: int = 0  # 0: no version was pushed yet
    history: tuple[ConfigurationEntry, ...] = ()  # at most MAX_CONFIGURATIONS

    @property
    def current(self) -> ConfigurationEntry | None:
        """Return the entry of the version in force."""
        return self.history[-1] if self.history else None


class Value(msgspec.Struct, frozen=True):
    """The agreed value; `number` increases by one with each change.

    Files and messages of programs without `configuration` decode with its default.  Such a program drops the field when
    it writes a value back.  Before the first version is pushed, every voter and proposer (any instance with
    `[fleet.register]`) must therefore run a program that knows the field.
    """

    number: int
    voters: tuple[str, ...]
    limits: Limits = Limits()
    places: tuple[Place, ...] = ()
    history: tuple[HistoryEntry, ...] = ()
    release: Release | None = None
    runs: dict[str, str] = {}  # noqa: RUF012 - version by `version_key`; INITIAL_VERSION if missing
    versions: dict[str, Version] = {}  # noqa: RUF012 - all that `runs` or the release refer to
    configuration: Configuration = Configuration()

    def version_of(self, kind: str, name: str) -> str:
        """Return the last reported version of a dispatcher or host."""
        return self.runs.get(version_key(kind, name), INITIAL_VERSION)

    def place(self, kind: str, name: str) -> Place | None:
        """Return the place of a dispatcher or host, if it has one."""
        return next((place for place in self.places if place.kind == kind and place.name == name), None)


class FleetObservation(NamedTuple):
    """What one instance observes: known members (hosts: service and zone), and who is down."""

    dispatchers: dict[str, int]  # lives by name
    dispatchers_down: frozenset[str]
    hosts: dict[str, tuple[str, str]]
    hosts_down: frozenset[str]


class Refusal(NamedTuple):
    """Why a change was refused: the limit, how many it allows, and who is out under it."""

    limit: str
    allowed: int
    out: tuple[str, ...]
    reason: str
