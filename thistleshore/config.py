"""The one place where configuration is read, checked and given defaults.

The platform tells a dispatcher by `PROXY_*` and a JSON file, in which unknown keys are ignored: the platform may
add some.  An operator's own TOML file is named by `PROXY_OPERATOR`; there an unknown key is an error.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import isfinite
from pathlib import Path
from typing import Any

from oxbowarch import wire
from oxbowarch.interface import Settings
from thistleshore.core.model import HostLine
from thistleshore.platform.messages import ListNames, Malformed, read_address, read_hosts

Address = tuple[str, int]
SOCKETS = 1024  # where the platform names no limit
SOCKETS_SPARE = 64  # for the listener, discovery, the log and the interpreter's own files
IDLE_SHARE = 0.6  # of the time after which hosts close an idle connection: ours are retired well before


class ConfigError(ValueError):
    """Configuration that cannot be used; the text names the faulty key."""


@dataclass(frozen=True, slots=True)
class Plan:
    """All that the program is told, checked."""

    name: str
    seed: int
    settings: Settings  # the module's
    classes: dict[str, int]
    tenants: dict[str, int]
    listen: Address
    discovery: Address | None
    names: ListNames
    known: tuple[HostLine, ...]
    known_seq: int
    epoch: float
    connect_within: float
    idle_most: float
    downstream_most: int
    upstream_most: int


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


def load(environ: Mapping[str, str], epoch: float) -> Plan:
    """The plan that the environment names; `epoch` is what the program's clock showed at Unix time 0."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: the path of the platform's JSON file is wanted")
    try:
        conf = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as problem:
        raise ConfigError(f"PROXY_CONFIG: {problem}") from None
    if not isinstance(conf, Mapping):
        raise ConfigError("PROXY_CONFIG: a JSON object is wanted")
    return platform_plan(conf, environ, epoch)


def platform_plan(conf: Mapping[str, Any], environ: Mapping[str, str], epoch: float) -> Plan:
    raw = dict(table(conf, "settings", "settings"))
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
    return Plan(
        name=environ.get("PROXY_NAME") or str(conf.get("name", "dispatcher")),
        seed=seed(conf.get("seed", 0)),
        settings=settings,
        classes=named(raw.get("lanes", []), "settings.lanes"),
        tenants=named(raw.get("tenants", []), "settings.tenants"),
        listen=address(environ.get("PROXY_LISTEN") or conf.get("listen"), "PROXY_LISTEN"),
        discovery=address(discovery, "PROXY_DISCOVERY") if discovery else None,
        names=names,
        known=known,
        known_seq=seq,
        epoch=epoch,
        connect_within=number(limits, "connectTimeout", "settings.limits", 0.2, 0.001),
        idle_most=IDLE_SHARE * number(limits, "connIdle", "settings.limits", 15.0, 0.1),
        downstream_most=sockets * 2 // 3,
        upstream_most=sockets // 3,
    )


def seed(found: Any) -> int:
    try:
        return found if isinstance(found, int) else int(found, 16)
    except (ValueError, TypeError):
        raise ConfigError(f"seed: {found!r} is no number") from None
