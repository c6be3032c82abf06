"""The one place where configuration is read, checked and given defaults.

The platform tells a dispatcher by `PROXY_*` and a JSON file, in which unknown keys are ignored: the platform may
add some.  An operator's own TOML file is named by `PROXY_OPERATOR`; there an unknown key is an error.
"""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from math import isfinite
from pathlib import Path
from typing import Any

from oxbowarch import wire
from oxbowarch.interface import Effect, Entry, Group, Settings, State
from thistleshore.beanstalkd.codec import NAME
from thistleshore.beanstalkd.downstream import REPLY_PREFIX, TubeTerms
from thistleshore.beanstalkd.upstream import HOST_PREFIX, HostSeat
from thistleshore.core.contracts import Book, Budget, Contract
from thistleshore.core.model import HostLine
from thistleshore.platform.messages import ListNames, Malformed, Routes, read_address, read_hosts

Address = tuple[str, int]
KEPT_TUBES = (REPLY_PREFIX, HOST_PREFIX)  # tubes of these names mean something else
SOCKETS = 1024  # where the platform names no limit
SOCKETS_SPARE = 64  # for the listener, discovery, the log and the interpreter's own files
MOVES = ("discovery", "known", "seed")  # keys that may differ in a file read again: followed, or of use at a start only
IDLE_SHARE = 0.6  # of the time after which hosts close an idle connection: ours are retired well before


class ConfigError(ValueError):
    """Configuration that cannot be used; the text names the faulty key."""


@dataclass(frozen=True, slots=True)
class HttpPlan:
    listen: Address
    routes: Routes
    names: ListNames
    discovery: Address | None = None
    known_seq: int = 0


@dataclass(frozen=True, slots=True)
class BeanstalkdPlan:
    listen: Address
    terms: dict[str, TubeTerms]
    seats: dict[str, HostSeat]


@dataclass(frozen=True, slots=True)
class Plan:
    """All that the program is told, checked."""

    name: str
    seed: int
    settings: Settings  # the module's
    http: HttpPlan | None
    beanstalkd: BeanstalkdPlan | None
    known: tuple[HostLine, ...]
    epoch: float
    connect_within: float
    idle_most: float
    sockets: int
    streams_most: int = 512
    told: Mapping[str, Any] = field(default_factory=dict, repr=False)  # as the file words it

    def changed(self, other: Plan) -> list[str]:
        """The keys in which another reading of the file differs and which hold until a restart."""
        keys = sorted(self.told.keys() | other.told.keys())
        return [key for key in keys if key not in MOVES and self.told.get(key) != other.told.get(key)]

    @property
    def downstream_most(self) -> int:
        """Connections of each front."""
        return self.sockets * 2 // (6 if self.http and self.beanstalkd else 3)

    @property
    def upstream_most(self) -> int:
        return self.sockets // 3


def address(text: Any, key: str) -> Address:
    try:
        return read_address(text)
    except (ValueError, AttributeError, TypeError):
        raise ConfigError(f"{key}: {text!r} is no address of the form HOST:PORT") from None


def table(parent: Mapping[str, Any], key: str, path: str) -> Mapping[str, Any]:
    found = parent.get(key, {})
    if not isinstance(found, Mapping):
        raise ConfigError(f"{path}: an object is wanted")
    return found


def number(parent: Mapping[str, Any], key: str, path: str, default: float, low: float = 0.0) -> float:
    """A figure of at least `low`, or its default."""
    found = parent.get(key, default)
    if isinstance(found, bool) or not isinstance(found, int | float) or not (isfinite(found) and found >= low):
        raise ConfigError(f"{path}.{key}: a number of at least {low:g} is wanted, not {found!r}")
    return float(found)


def named(found: Any, path: str) -> dict[str, int]:
    """The numbers of named things, by their order in a list of names or of objects with a name."""
    if not isinstance(found, list):
        raise ConfigError(f"{path}: a list is wanted")
    numbers: dict[str, int] = {}
    for n, item in enumerate(found):
        name = item.get("name") if isinstance(item, Mapping) else item
        if not isinstance(name, str):
            raise ConfigError(f"{path}[{n}].name: a name is wanted")
        numbers[name] = n
    return numbers


def load(environ: Mapping[str, str], epoch: float, again: bool = False) -> Plan:
    """The plan that the environment names; `epoch` is what the program's clock showed at Unix time 0.

    Read `again`, the file's address of discovery goes before the environment's, which is that of the start.
    """
    own, path = environ.get("PROXY_OPERATOR"), environ.get("PROXY_CONFIG")
    if own:
        try:
            return operator_plan(tomllib.loads(Path(own).read_text()), epoch)
        except (OSError, ValueError) as problem:
            if isinstance(problem, ConfigError):
                raise
            raise ConfigError(f"PROXY_OPERATOR: {problem}") from None
    if not path:
        raise ConfigError("PROXY_CONFIG: the path of the platform's JSON file is wanted")
    try:
        conf = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as problem:
        raise ConfigError(f"PROXY_CONFIG: {problem}") from None
    if not isinstance(conf, Mapping):
        raise ConfigError("PROXY_CONFIG: a JSON object is wanted")
    if again and conf.get("discovery"):
        environ = {**environ, "PROXY_DISCOVERY": ""}
    return platform_plan(conf, environ, epoch)


def platform_plan(conf: Mapping[str, Any], environ: Mapping[str, str], epoch: float) -> Plan:
    raw = dict(table(conf, "settings", "settings"))
    _check_figures(raw)
    try:
        # The platform's protocol has no probe: a module that asked for one would wait in vain.
        settings = replace(wire.settings(raw), can_probe=False)
    except (ValueError, TypeError, AttributeError, KeyError) as problem:
        raise ConfigError(f"settings: {str(problem).removeprefix('settings: ')}") from None
    zones, kinds = (named(raw.get(key, []), f"settings.{key}") for key in ("localities", "kinds"))
    names = ListNames(zones, kinds)
    limits, rules = table(raw, "limits", "settings.limits"), table(conf, "limits", "limits")
    sockets = int(number(rules, "sockets", "limits", SOCKETS, 4 * SOCKETS_SPARE)) - SOCKETS_SPARE
    seq, known = 0, tuple[HostLine, ...]()
    if "known" in conf:
        try:
            seq, _, known = read_hosts(conf["known"], names, epoch)
        except Malformed as problem:
            raise ConfigError(f"known: {problem}") from None
    discovery = environ.get("PROXY_DISCOVERY") or conf.get("discovery")
    where = "PROXY_DISCOVERY" if environ.get("PROXY_DISCOVERY") else "discovery"
    routes = Routes(
        classes=named(raw.get("lanes", []), "settings.lanes"),
        give_up=[rule.give_up for rule in settings.classes],
        tenants=named(raw.get("tenants", []), "settings.tenants"),
    )
    return Plan(
        name=environ.get("PROXY_NAME") or str(conf.get("name", "dispatcher")),
        seed=seed(conf.get("seed", 0)),
        settings=settings,
        http=HttpPlan(
            address(environ.get("PROXY_LISTEN") or conf.get("listen"), "PROXY_LISTEN"),
            routes,
            names,
            address(discovery, where) if discovery else None,
            seq,
        ),
        beanstalkd=None,
        known=known,
        epoch=epoch,
        connect_within=number(limits, "connectTimeout", "settings.limits", 0.2, 0.001),
        idle_most=IDLE_SHARE * number(limits, "connIdle", "settings.limits", 15.0, 0.1),
        sockets=sockets,
        told=conf,
    )


def _check_figures(raw: Mapping[str, Any]) -> None:
    """Name a figure that is none by its key: the adapter, which takes the settings over, does not."""
    wanted = {"lanes": ("aim", "giveUp", "lateShare", "worth", "repeatWindow", "aimStretch"), "tenants": ("quotaPerS",)}
    for key, figures in wanted.items():
        named(raw.get(key, []), f"settings.{key}")
        for n, item in enumerate(raw.get(key, [])):
            for figure in figures:
                number(item, figure, f"settings.{key}[{n}]", 0.0)
    for key, figures in (("rules", ("askWithin", "coldFrom", "warmUp")), ("limits", ("maxAttempts", "maxRetryAfter"))):
        for figure in figures:
            number(table(raw, key, f"settings.{key}"), figure, f"settings.{key}", 0.0)
    for figure in ("balancers", "quantum", "locality"):
        number(raw, figure, "settings", 0.0)


def seed(found: Any) -> int:
    try:
        return found if isinstance(found, int) else int(found, 16)
    except (ValueError, TypeError):
        raise ConfigError(f"seed: {found!r} is no number") from None


# -- an operator's own file --------------------------------------------------------------------

EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
GROUPS = {"all": Group.ALL, "bay": Group.CELL}
TOP = ("name", "balancers", "streams", "max_retry_after", "http", "beanstalkd", "discovery", "limits", "start",
       "budget", "service", "host", "contract")  # fmt: skip


class Section:
    """One table of the file; what is left unread at the end is unknown, and an error."""

    def __init__(self, found: Any, path: str) -> None:
        if not isinstance(found, Mapping):
            raise ConfigError(f"{path}: a table is wanted")
        self.left, self.path = dict(found), path

    def __enter__(self) -> Section:
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        if kind is None and self.left:
            raise ConfigError(f"{self.path}.{next(iter(self.left))}: unknown key")

    def _take(self, key: str, default: Any) -> Any:
        if key not in self.left and default is None:
            raise ConfigError(f"{self.path}.{key}: missing")
        return self.left.pop(key, default)

    def number(self, key: str, default: float | None = None, low: float = 0.0) -> float:
        return number({key: self._take(key, default)}, key, self.path, 0.0, low)

    def whole(self, key: str, default: int | None = None, low: int = 0) -> int:
        found = self._take(key, default)
        if type(found) is not int or found < low:
            raise ConfigError(f"{self.path}.{key}: a whole number of at least {low} is wanted, not {found!r}")
        return found

    def text(self, key: str, default: str | None = None) -> str:
        found = self._take(key, default)
        if not isinstance(found, str):
            raise ConfigError(f"{self.path}.{key}: a text is wanted, not {found!r}")
        return found

    def flag(self, key: str, default: bool) -> bool:
        found = self._take(key, default)
        if not isinstance(found, bool):
            raise ConfigError(f"{self.path}.{key}: true or false is wanted, not {found!r}")
        return found

    def choice(self, key: str, table: Mapping[str, Any], default: str | None = None) -> Any:
        found = self.text(key, default)
        if found not in table:
            raise ConfigError(f"{self.path}.{key}: one of {', '.join(table)} is wanted, not {found!r}")
        return table[found]


def sections(conf: Mapping[str, Any], key: str) -> list[Section]:
    found = conf.get(key, [])
    if not isinstance(found, list):
        raise ConfigError(f"{key}: tables of the form [[{key}]] are wanted")
    return [Section(item, f"{key}[{n}]") for n, item in enumerate(found)]


def _contract(part: Section, services: Mapping[str, int]) -> Contract:
    with part:
        effect = part.choice("effect", EFFECTS)
        contract = Contract(
            team=part.text("team"),
            service=part.text("service"),
            job_class=part.text("class"),
            effect=effect,
            deadline=part.number("deadline", low=0.001),
            rate=part.number("rate"),
            attempts=part.whole("attempts", 3, 1),
            group=part.choice("group", GROUPS, "bay"),
            window=part.number("window", None if effect is Effect.KEYED else 0.0),
            aim=part.number("aim", 1.0),
            stretch=part.number("stretch", 0.0),
            worth=part.number("worth", 1.0),
            tube=part.text("tube", ""),
            path=part.text("path", ""),
        )
        if contract.service not in services:
            raise ConfigError(f"{part.path}.service: no [[service]] is named {contract.service!r}")
        if not (contract.tube or contract.path):
            raise ConfigError(f"{part.path}.tube: a tube or a path is wanted")
        if contract.tube and (not NAME.fullmatch(contract.tube.encode()) or contract.tube.startswith(KEPT_TUBES)):
            raise ConfigError(f"{part.path}.tube: {contract.tube!r} is no tube that a contract may have")
        if contract.path and not contract.path.startswith("/"):
            raise ConfigError(f"{part.path}.path: must begin with a slash")
        return contract


def _unique(values: list[str], key: str) -> None:
    for n, value in enumerate(values):
        if value and value in values[:n]:
            raise ConfigError(f"{key.replace('[]', f'[{n}]')}: {value!r} is named twice")


def operator_plan(conf: Mapping[str, Any], epoch: float) -> Plan:
    """The plan of an operator's file."""
    for key in conf:
        if key not in TOP:
            raise ConfigError(f"{key}: unknown key")
    services: dict[str, int] = {}
    for part in sections(conf, "service"):
        with part:
            name = part.text("name")
            if name in services:
                raise ConfigError(f"{part.path}.name: {name!r} is named twice")
            services[name] = len(services)
    contracts = tuple(_contract(part, services) for part in sections(conf, "contract"))
    if not contracts:
        raise ConfigError("contract: at least one [[contract]] is wanted")
    for key in ("tube", "path"):
        _unique([getattr(contract, key) for contract in contracts], f"contract[].{key}")
    seats: dict[str, HostSeat] = {}
    known: list[HostLine] = []
    for part in sections(conf, "host"):
        with part:
            name, service = part.text("name"), part.choice("service", services)
            bay, weight, dial = part.whole("bay", 0), part.number("weight", 1.0), part.text("address", "")
            if name in seats or any(line.entry.worker == name.encode() for line in known):
                raise ConfigError(f"{part.path}.name: {name!r} is named twice")
            if dial:
                entry = Entry(name.encode(), State.READY, kind=service, cell=bay, weight=weight)
                known.append(HostLine(entry, address(dial, f"{part.path}.address")))
            else:
                seats[name] = HostSeat(service, bay)
    top = Section({key: conf[key] for key in TOP[:4] if key in conf}, "file")
    with top, Section(conf.get("limits", {}), "limits") as limits, Section(conf.get("start", {}), "start") as start:
        balancers, streams = top.whole("balancers", 1, 1), top.whole("streams", 512, 1)
        name, advice = top.text("name", "dispatcher"), top.number("max_retry_after", 2.0)
        sockets = limits.whole("sockets", SOCKETS, 4 * SOCKETS_SPARE) - SOCKETS_SPARE
        connect_within, idle = limits.number("connect", 0.2, 0.001), limits.number("idle", 15.0, 0.1)
        warm_up, cold_from = start.number("warm_up", 0.0), start.number("cold_from", 1.0, 0.001)
    budget, touches, tubes, http = None, False, None, None
    if "budget" in conf:
        with Section(conf["budget"], "budget") as part:
            budget = Budget(part.number("free"), part.number("share"), part.number("span", low=0.001))
    if "beanstalkd" in conf:
        with Section(conf["beanstalkd"], "beanstalkd") as part:
            listen, touches = address(part.text("listen"), "beanstalkd.listen"), part.flag("touches", False)
        terms = {c.tube: TubeTerms(n, c.deadline) for n, c in enumerate(contracts) if c.tube}
        tubes = BeanstalkdPlan(listen, terms, seats)
    if "http" in conf:
        http = _http(conf, contracts, services)
    for n, contract in enumerate(contracts):
        for key, section in (("tube", tubes), ("path", http)):
            if getattr(contract, key) and section is None:
                raise ConfigError(f"contract[{n}].{key}: its front is not set up in the file")
    book = Book(contracts, tuple(services), budget, balancers, advice, touches, warm_up, cold_from)
    try:
        settings = book.settings()
    except ValueError as problem:
        raise ConfigError(str(problem)) from None
    return Plan(name, int.from_bytes(os.urandom(8), "big"), settings, http, tubes, tuple(known), epoch,
                connect_within, IDLE_SHARE * idle, sockets, streams, conf)  # fmt: skip


def _http(conf: Mapping[str, Any], contracts: tuple[Contract, ...], services: Mapping[str, int]) -> HttpPlan:
    with Section(conf["http"], "http") as part:
        listen = address(part.text("listen"), "http.listen")
    discovery = None
    if "discovery" in conf:
        with Section(conf["discovery"], "discovery") as part:
            discovery = address(part.text("address"), "discovery.address")
    paths = tuple((contract.path, n) for n, contract in enumerate(contracts) if contract.path)
    routes = Routes({}, [contract.deadline for contract in contracts], None, paths)
    return HttpPlan(listen, routes, ListNames({}, services), discovery)
