"""The one value that the fleet agrees on: the limits, who is out and for what, who votes, and what was done last."""

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
INITIAL_VERSION = ""  # the version that a keeper's own file names


def version_key(kind: str, name: str) -> str:
    """Under which the version of a dispatcher or host is kept: no name has a space in it."""
    return name if kind == "dispatcher" else f"{kind} {name}"


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many may be out at once: a number, or a share of those that are known, which allows one at least."""

    dispatchers: Limit = 1
    hosts: Limit = "20%"  # of each service
    hosts_a_zone: Limit = "100%"  # of each service in each zone


class Place(msgspec.Struct, frozen=True):
    """Leave to be out.  `number` is that of the change that gave it: a later place has a greater one."""

    kind: Kind
    name: str
    reason: str
    by: str  # the instance that asked
    number: int
    service: str = ""
    zone: str = ""
    generation: int = msgspec.field(name="life", default=0)  # of a dispatcher, when it was given
    begun: bool = False
    release: int = 0  # of the release that it is for: the keeper goes, the dispatcher does not drain by itself


class Version(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a dispatcher is started as: a command in front of `serve --config FILE`, and that file."""

    name: Annotated[str, msgspec.Meta(pattern=VERSION_NAME)]
    command: tuple[str, ...] = ()  # the keeper's own where there is none
    file: str = ""


class Release(msgspec.Struct, frozen=True):
    """The release under way, or the last one."""

    number: int  # of the change that began it
    version: Version
    waves: tuple[tuple[str, ...], ...]
    former: dict[str, str]  # the version that each runs before it
    by: str
    reason: str
    kind: Kind = "dispatcher"
    act: tuple[str, ...] = ()  # of hosts: what brings {version} to {host}; by hand where there is none
    state: ReleaseState = "going"
    wave: int = 0
    told: str = ""  # why it is in that state
    halted_in: str = "going"  # what it goes on with when it is resumed
    worse: Literal["undo", "halt"] = "undo"  # what the gate's word comes to
    within: float = 90.0  # s for one dispatcher, from its place to its new version
    enough: float = 30.0  # s that a wave is looked at
    bound: float = 300.0  # s after which too few requests to tell halt it
    margin: float = 0.02  # of a share: so much worse is not yet worse
    error: float = 0.01  # chance of calling a clean version worse, a wave


class HistoryEntry(msgspec.Struct, frozen=True):
    """One change, for the history; `when` is Unix time by the clock of the instance that made it."""

    number: int
    what: str
    name: str
    reason: str
    by: str
    when: float


class ConfigurationEntry(msgspec.Struct, frozen=True):
    """One version of the configuration, without its body; `when` is Unix time at the instance that pushed it."""

    number: int
    digest: str  # of the body, see `distribution.model.digest_of`
    size: int  # bytes of the body
    by: str
    reason: str
    when: float
    against: int  # the version that was in force before it
    restored: int = 0  # the version whose body a rollback brought back; 0: none


class Configuration(msgspec.Struct, frozen=True):
    """The version in force, and the latest ones, oldest first.  Version numbers are their own, not those of `Value`."""

    number: int = 0  # 0: none was pushed yet
    history: tuple[ConfigurationEntry, ...] = ()  # MAX_CONFIGURATIONS at most

    @property
    def current(self) -> ConfigurationEntry | None:
        """The entry of the version in force."""
        return self.history[-1] if self.history else None


class Value(msgspec.Struct, frozen=True):
    """`number` grows with each change, and with nothing else.

    Files and messages of a program without `configuration` decode with its default.  The other way round, such a
    program drops the field and writes the value back without it: every voter and every proposer (any instance with
    `[fleet.register]`) must run a program that knows it before the first version is pushed.
    """

    number: int
    voters: tuple[str, ...]
    limits: Limits = Limits()
    places: tuple[Place, ...] = ()
    history: tuple[HistoryEntry, ...] = ()
    release: Release | None = None
    runs: dict[str, str] = {}  # noqa: RUF012 - the version of each, by `version_key`; INITIAL_VERSION where it is not named
    versions: dict[str, Version] = {}  # noqa: RUF012 - those that runs, the release or its way back name
    configuration: Configuration = Configuration()

    def version_of(self, kind: str, name: str) -> str:
        """What it runs, as far as it was told."""
        return self.runs.get(version_key(kind, name), INITIAL_VERSION)

    def place(self, kind: str, name: str) -> Place | None:
        return next((place for place in self.places if place.kind == kind and place.name == name), None)


class FleetObservation(NamedTuple):
    """What the asking instance sees: who there is (hosts: service and zone), and who is down without having asked."""

    dispatchers: dict[str, int]  # lives by name
    dispatchers_down: frozenset[str]
    hosts: dict[str, tuple[str, str]]
    hosts_down: frozenset[str]


class Refusal(NamedTuple):
    """Why not: the limit and all who are out under it."""

    limit: str
    allowed: int
    out: tuple[str, ...]
    reason: str
