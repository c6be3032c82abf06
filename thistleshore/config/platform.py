"""The plan that configuration comes to, and the platform's part: `PROXY_*` and a JSON file, in which unknown keys
are ignored: the platform may add some.
"""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from math import isfinite
from pathlib import Path
from typing import TYPE_CHECKING, Any

from oxbowarch import wire
from oxbowarch.interface import Settings
from thistleshore.addresses import Address
from thistleshore.config import in_place
from thistleshore.config.errors import ConfigError
from thistleshore.core.model import HostLine
from thistleshore.platform.messages import ListNames, Malformed, Routes, read_address, read_hosts
from thistleshore.platform.start_times import at_epoch

if TYPE_CHECKING:  # the platform imports none of it
    from thistleshore.beanstalkd.model import HostSeat
    from thistleshore.beanstalkd.routed import TubeRouter
    from thistleshore.contracts import Agreements
    from thistleshore.contracts.exchange import Terms as ExchangeTerms
    from thistleshore.distribution.plan import DistributionPlan
    from thistleshore.fleet.plan import FleetPlan
    from thistleshore.releases.plan import KeepPlan, ReleasesPlan
    from thistleshore.routing import ActiveRouteTable

SOCKETS = 1024  # where the platform names no limit
SOCKETS_SPARE = 64  # for the listener, discovery, the log and the interpreter's own files
SOCKETS_LEAST = 24  # for connections, however few the system grants
# Keys that may differ in a file read again: followed, or of use at a start only.
RULES = ("match", "address_set", "expressions")
SHARES = ("member", "contracts")
MOVES = ("discovery", "known", "seed", "settings", *RULES, *SHARES)
IDLE_SHARE = 0.6  # of the time after which hosts close an idle connection: ours are retired well before


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
    router: TubeRouter
    seats: dict[str, HostSeat]


@dataclass(frozen=True, slots=True)
class ExchangePlan:
    """Which instance this is, and where all of them are, its own address included."""

    listen: Address
    peers: tuple[Address, ...]
    instance: int
    terms: ExchangeTerms


@dataclass(frozen=True, slots=True)
class PeersPlan:
    """Where datagrams of the other dispatchers of the tier come in, from where, and the address of all of them."""

    listen: Address
    peers: tuple[Address, ...]
    everyone: Address


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
    live: ActiveRouteTable | None = None  # the route table in force, of an operator's file
    agreements: Agreements | None = None  # None: no shares are kept
    exchange: ExchangePlan | None = None
    metrics: Address | None = None
    log_format: str = "plain"
    told: Mapping[str, Any] = field(default_factory=dict, repr=False)  # as the file words it
    peers: PeersPlan | None = None  # None: dispatchers tell one another nothing
    admin: Address | None = None  # where operators call; None: nowhere
    restart: str = ""  # the Unix socket where the next process meets this one; "": no hot restart
    class_names: tuple[str, ...] = ()  # by their numbers
    service_names: tuple[str, ...] = ()  # by the numbers that are kinds of hosts
    numbered: Mapping[str, Any] = field(default_factory=dict, repr=False)  # the platform's settings, see `in_place`
    fleet: FleetPlan | None = None  # None: it is in no view of a fleet
    releases: ReleasesPlan | None = None  # None: nothing is agreed
    keep: KeepPlan | None = None  # for `thistleshore keep`
    distribution: DistributionPlan | None = None  # None: its own file alone is in force

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


def sockets_of(told: int) -> int:
    """What connections may have of the descriptors that the file states, or that the system grants if that is less.

    Up to the rest clients can't get: where they fill all, the next call to discovery or to a host would find none.
    """
    granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(SOCKETS_LEAST, (min(told, granted) if granted != resource.RLIM_INFINITY else told) - SOCKETS_SPARE)


def path_of(folder: str, listen: Address) -> str:
    """Where the process that serves these clients is met by the one that takes over."""
    return str(Path(folder) / f"thistleshore-{listen[0].replace(':', '_')}-{listen[1]}.sock")


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
        if name in numbers:
            raise ConfigError(f"{path}[{n}].name: {name!r} is named twice")
        numbers[name] = n
    return numbers


def platform_file(path: str, environ: Mapping[str, str], epoch: float, before: Plan | None = None) -> Plan:
    """The plan of the platform's file; read again, all names of the plan `before` keep their numbers."""
    try:
        conf = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as problem:
        raise ConfigError(f"PROXY_CONFIG: {problem}") from None
    if not isinstance(conf, Mapping):
        raise ConfigError("PROXY_CONFIG: a JSON object is wanted")
    if before is not None and conf.get("discovery"):
        environ = {**environ, "PROXY_DISCOVERY": ""}
    return platform_plan(conf, environ, epoch, before)


def platform_plan(conf: Mapping[str, Any], environ: Mapping[str, str], epoch: float,
                  before: Plan | None = None) -> Plan:  # fmt: skip
    given = table(conf, "settings", "settings")
    _check_figures(given)
    renumbered = in_place.Renumbered(given)
    if before is not None:
        in_place.check_whole(conf, before.told)
        renumbered = in_place.renumbered(given, before.numbered)
    raw, settings = renumbered.settings, _module_settings(renumbered)
    zones, kinds = (named(raw.get(key, []), f"settings.{key}") for key in ("localities", "kinds"))
    names = ListNames(zones, kinds, renumbered.first_locality, renumbered.first_kind)
    limits, rules = table(raw, "limits", "settings.limits"), table(conf, "limits", "limits")
    sockets = sockets_of(int(number(rules, "sockets", "limits", SOCKETS, 4 * SOCKETS_SPARE)))
    seq, known = 0, tuple[HostLine, ...]()
    if "known" in conf:
        try:
            seq, _, known = read_hosts(conf["known"], names, at_epoch(epoch))
        except Malformed as problem:
            raise ConfigError(f"known: {problem}") from None
    peers = _peers(conf) if settings.shares_notes else None
    settings = replace(settings, shares_notes=peers is not None)
    discovery = environ.get("PROXY_DISCOVERY") or conf.get("discovery")
    where = "PROXY_DISCOVERY" if environ.get("PROXY_DISCOVERY") else "discovery"
    classes, tenants = named(raw.get("lanes", []), "settings.lanes"), named(raw.get("tenants", []), "settings.tenants")
    routes = Routes(
        classes={name: classes[name] for name in named(given.get("lanes", []), "settings.lanes")},
        give_up=[rule.give_up for rule in settings.classes],
        tenants={name: tenants[name] for name in named(given.get("tenants", []), "settings.tenants")},
    )
    listen = address(environ.get("PROXY_LISTEN") or conf.get("listen"), "PROXY_LISTEN")
    control = environ.get("PROXY_CONTROL") or conf.get("control")
    return Plan(
        name=environ.get("PROXY_NAME") or str(conf.get("name", "dispatcher")),
        seed=seed(conf.get("seed", 0)),
        settings=settings,
        http=HttpPlan(
            listen,
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
        peers=peers,
        told=conf,
        admin=address(control, "control") if control else None,
        restart=path_of(environ["TMPDIR"], listen) if control and environ.get("TMPDIR") else "",
        class_names=tuple(classes),
        numbered=raw,
    )


def _module_settings(renumbered: in_place.Renumbered) -> Settings:
    try:
        return replace(
            wire.settings(dict(renumbered.settings)),
            retired_classes=renumbered.retired_classes,
            retired_tenants=renumbered.retired_tenants,
        )
    except (ValueError, TypeError, AttributeError, KeyError, OverflowError) as problem:
        raise ConfigError(f"settings: {str(problem).removeprefix('settings: ')}") from None


def _peers(conf: Mapping[str, Any]) -> PeersPlan | None:
    """How the dispatchers of the tier reach one another; None where the platform names no such addresses."""
    if not (conf.get("peer_listen") and conf.get("peers_all") and isinstance(conf.get("peers"), list)):
        return None
    peers = tuple(address(peer, f"peers[{n}]") for n, peer in enumerate(conf["peers"]))
    return PeersPlan(address(conf["peer_listen"], "peer_listen"), peers, address(conf["peers_all"], "peers_all"))


def _check_figures(raw: Mapping[str, Any]) -> None:
    """Name a figure that is none by its key: the adapter, which takes the settings over, does not."""
    wanted = {"lanes": ("aim", "lateShare", "worth", "repeatWindow", "aimStretch"), "tenants": ("quotaPerS",)}
    for key, figures in wanted.items():
        named(raw.get(key, []), f"settings.{key}")
        for n, item in enumerate(raw.get(key, [])):
            if not isinstance(item, Mapping):
                raise ConfigError(f"settings.{key}[{n}]: an object is wanted")
            for figure in figures:
                number(item, figure, f"settings.{key}[{n}]", 0.0)
            if key == "lanes" and not number(item, "giveUp", f"settings.lanes[{n}]", 1.0):
                raise ConfigError(f"settings.lanes[{n}].giveUp: a number above 0 is wanted")
    number(table(raw, "limits", "settings.limits"), "maxAttempts", "settings.limits", 1.0, 1.0)
    for key, figures in (("rules", ("askWithin", "coldFrom", "warmUp", "overloadFor")), ("limits", ("maxRetryAfter",))):
        for figure in figures:
            number(table(raw, key, f"settings.{key}"), figure, f"settings.{key}", 0.0)
    for figure in ("balancers", "quantum", "locality"):
        number(raw, figure, "settings", 0.0)


def seed(found: Any) -> int:
    try:
        return found if isinstance(found, int) else int(found, 16)
    except (ValueError, TypeError):
        raise ConfigError(f"seed: {found!r} is no number") from None
