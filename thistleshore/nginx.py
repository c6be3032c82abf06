"""Offline importer: nginx upstream and location blocks become an operator's TOML file.

    thistleshore import nginx --team NAME nginx.conf > operator.toml

What cannot be carried over is refused with file, line and directive, and nothing is written.  A directive that
may be lost is named with --leave-out; the file then says in a comment where it stood.
"""

from __future__ import annotations

import ipaddress
import json
import re
import sys
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thistleshore import config

READ_TIMEOUT = 60.0  # s, nginx's own default
TRIES = 3  # upstream requests of a stream where nginx sets no limit: it would try every server
NO_LIMIT = 1e6  # requests a second, where nginx names no limit
BODY_MOST = 64 * 1024
UNITS = {"": 1.0, "ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
INHERITED = (
    "proxy_connect_timeout",
    "proxy_read_timeout",
    "proxy_next_upstream",
    "proxy_next_upstream_tries",
    "client_max_body_size",
)
REPEATED = {"error", "timeout", "http_500"}  # conditions in which the module repeats what is safe to repeat
ALSO_REPEATED = {"http_502", "http_503", "http_504", "invalid_header"}


class Directive(NamedTuple):
    file: str
    line: int
    name: str
    args: tuple[str, ...]
    block: tuple[Directive, ...]

    @property
    def at(self) -> str:
        return f"{self.file}:{self.line}"


class Refusal(NamedTuple):
    where: Directive
    why: str

    def __str__(self) -> str:
        return f"{self.where.at}: {' '.join((self.where.name, *self.where.args))}: {self.why}"


class Refused(Exception):
    """Why one directive cannot be carried over."""


@dataclass(slots=True)
class Import:
    """What has been read so far."""

    team: str
    leave_out: frozenset[str] = frozenset()
    services: dict[str, list[tuple[str, float]]] = field(default_factory=dict)
    contracts: list[dict[str, Any]] = field(default_factory=list)
    listen: str = ""
    connect: float | None = None
    refusals: list[Refusal] = field(default_factory=list)
    left_out: list[Directive] = field(default_factory=list)

    # -- the blocks ---------------------------------------------------------------------------

    def top(self, directives: tuple[Directive, ...]) -> None:
        for item in directives:
            if item.name == "http" and not self._left(item):
                self.http(item.block)
            elif item.name in ("upstream", "server"):
                self.http((item,))  # a file that is included in the http block
            else:
                self._other(item)

    def http(self, block: tuple[Directive, ...]) -> None:
        shared = self._inherit({}, block)
        for item in block:  # first all upstreams: a location may name one that comes later
            if item.name == "upstream":
                self._upstream(item)
        for item in block:
            if item.name == "server":
                self._server(item, shared)
            elif item.name not in ("upstream", *INHERITED):
                self._other(item)

    def _upstream(self, block: Directive) -> None:
        name = block.args[0]
        hosts = self.services.setdefault(name, [])
        for item in block.block:
            if item.name != "server":
                self._other(item, "the module alone picks a host")
                continue
            with _Refusing(self, item):
                weight = 1.0
                for option in item.args[1:]:
                    if not (match := re.fullmatch(r"weight=([1-9]\d*)", option)):
                        raise Refused(f"{option}: the module alone judges a host")
                    weight = float(match[1])
                hosts.append((_address(item.args[0]), weight))

    def _server(self, block: Directive, above: Mapping[str, Directive]) -> None:
        shared = self._inherit(above, block.block)
        for item in block.block:
            if item.name == "listen":
                with _Refusing(self, item):
                    self._listen(item)
            elif item.name == "location":
                with _Refusing(self, item):
                    self._location(item, shared)
            elif item.name == "server_name" and item.args == ("_",):
                continue  # any name, as here
            elif item.name not in INHERITED:
                self._other(item)

    def _listen(self, item: Directive) -> None:
        address = item.args[0] if ":" in item.args[0] else f"0.0.0.0:{item.args[0]}"
        if len(item.args) > 1:
            raise Refused(f"{item.args[1]}: only a plain address is carried over")
        if self.listen not in ("", address):
            raise Refused("a dispatcher listens on one address")
        self.listen = _address(address)

    def _location(self, block: Directive, above: Mapping[str, Directive]) -> None:
        if len(block.args) > 1 and block.args[0] != "^~":
            raise Refused("only prefixes are carried over")
        path = block.args[-1]
        if not path.startswith("/"):
            raise Refused("only paths are carried over")
        shared, service = self._inherit(above, block.block), ""
        for item in block.block:
            if item.name == "proxy_pass":
                with _Refusing(self, item):
                    service = self._service(item.args[0])
            elif item.name not in INHERITED:
                self._other(item)
        if not service:
            raise Refused("it passes to no upstream that is carried over")
        contract = {
            "team": self.team,
            "service": service,
            "class": path.strip("/") or "root",
            "path": path,
            "effect": "unsafe",
            "deadline": READ_TIMEOUT,
            "rate": NO_LIMIT,
            "attempts": TRIES,
        }
        for item in shared.values():
            with _Refusing(self, item):
                self._setting(item, contract)
        self.contracts.append(contract)

    def _service(self, target: str) -> str:
        match = re.fullmatch(r"http://([^/$]+)", target)
        if not match:
            raise Refused("only http://NAME without a path or variables is carried over")
        if match[1] not in self.services:
            self.services[match[1]] = [(_address(match[1]), 1.0)]
        return match[1]

    def _setting(self, item: Directive, contract: dict[str, Any]) -> None:
        if item.name == "proxy_read_timeout":
            contract["deadline"] = _seconds(item.args[0])
        elif item.name == "proxy_connect_timeout":
            wanted = _seconds(item.args[0])
            if self.connect not in (None, wanted):
                raise Refused("one limit on connecting holds for all hosts")
            self.connect = wanted
        elif item.name == "proxy_next_upstream_tries":
            if item.args[0] != "0":  # 0: no limit
                contract["attempts"] = int(item.args[0])
        elif item.name == "client_max_body_size":
            if _size(item.args[0]) != BODY_MOST:
                raise Refused("a body holds 64k at most, no more and no less")
        else:
            contract["effect"] = _effect(set(item.args))

    # -- what is not carried over ---------------------------------------------------------------

    def _inherit(self, above: Mapping[str, Directive], block: tuple[Directive, ...]) -> dict[str, Directive]:
        """Settings that hold in a block unless an inner one sets them anew."""
        found = {item.name: item for item in block if item.name in INHERITED and not self._left(item)}
        return {**above, **found}

    def _left(self, item: Directive) -> bool:
        if item.name not in self.leave_out:
            return False
        if item not in self.left_out:
            self.left_out.append(item)
        return True

    def _other(self, item: Directive, why: str = "has no counterpart here") -> None:
        if not self._left(item):
            self.refusals.append(Refusal(item, why))

    # -- the file that comes of it --------------------------------------------------------------

    def toml(self) -> str:
        lines = ["# From nginx blocks, by thistleshore import nginx."]
        lines += [f"# left out: {item.at}: {' '.join((item.name, *item.args))}" for item in self.left_out]
        lines += ["", "[http]", f"listen = {json.dumps(self.listen or '0.0.0.0:80')}"]
        if self.connect is not None:
            lines += ["", "[limits]", f"connect = {self.connect}"]
        for name, hosts in self.services.items():
            lines += ["", "[[service]]", f"name = {json.dumps(name)}"]
            for n, (address, weight) in enumerate(hosts):
                lines += [
                    "",
                    "[[host]]",
                    f"name = {json.dumps(f'{name}-{n + 1}')}",
                    f"service = {json.dumps(name)}",
                    f"address = {json.dumps(address)}",
                    f"weight = {weight}",
                ]
        for contract in self.contracts:
            lines += ["", "[[contract]]", *(f"{key} = {json.dumps(value)}" for key, value in contract.items())]
        return "\n".join(lines) + "\n"


class _Refusing:
    """Books a refusal against a directive, and goes on to find the others."""

    def __init__(self, into: Import, item: Directive) -> None:
        self.into, self.item = into, item

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: object, problem: BaseException | None, _: object) -> bool:
        if isinstance(problem, Refused | ValueError | IndexError):
            self.into.refusals.append(Refusal(self.item, str(problem) or "has no value"))
            return True
        return False


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host:
        host, port = text, "80"
    try:
        ipaddress.ip_address(host.strip("[]"))
        config.address(f"{host}:{port}", "address")
    except ValueError:
        raise Refused(f"{text} is no numeric address, and names are not looked up") from None
    return f"{host}:{port}"


def _seconds(text: str) -> float:
    match = re.fullmatch(r"(\d+)(ms|s|m|h|)", text)
    if not match or not int(match[1]):
        raise Refused(f"{text} is no time above 0 that is carried over")
    return int(match[1]) * UNITS[match[2]]


def _size(text: str) -> int:
    match = re.fullmatch(r"(\d+)([kKmM]?)", text)
    if not match:
        raise Refused(f"{text} is no size")
    return int(match[1]) * {"": 1, "k": 1024, "m": 1024**2}[match[2].lower()]


def _effect(conditions: set[str]) -> str:
    """Every job is a POST, which nginx passes on again only where `non_idempotent` is said."""
    if conditions == {"off"} or conditions <= {"error", "timeout"}:
        return "unsafe"
    odd = conditions - REPEATED - ALSO_REPEATED - {"non_idempotent"}
    if odd or not REPEATED | {"non_idempotent"} <= conditions:
        wanted = " ".join(sorted(REPEATED))
        raise Refused(f"only off, error timeout, or all of {wanted} non_idempotent are carried over")
    return "safe"


def read(path: str, team: str, leave_out: frozenset[str] = frozenset()) -> Import:
    """Read a file and what it includes; the refusals say what could not be carried over."""
    try:
        import crossplane  # an extra: the dispatcher itself needs none of it
    except ImportError:
        raise SystemExit("thistleshore.nginx needs the extra: pip install thistleshore[nginx]") from None
    try:
        parsed = crossplane.parse(path, combine=True, strict=False, check_ctx=False, check_args=False)
    except (OSError, UnicodeDecodeError) as problem:
        raise SystemExit(f"{path}: {problem}") from None
    found = Import(team, leave_out)
    for error in parsed["errors"]:
        where = Directive(error["file"], error.get("line") or 0, "parse", (), ())
        found.refusals.append(Refusal(where, str(error["error"])))
    if not found.refusals:
        found.top(tuple(item for part in parsed["config"] for item in _by_file(part)))
        if not found.contracts and not found.refusals:
            found.refusals.append(Refusal(Directive(path, 1, "location", (), ()), "none is carried over"))
    return found


def _by_file(part: Mapping[str, Any]) -> Iterator[Directive]:
    """Directives of a combined parse, each of which says its own file."""

    def walk(item: Mapping[str, Any], file: str) -> Directive:
        file = item.get("file", file)
        inner = tuple(walk(each, file) for each in item.get("block", []))
        return Directive(file, item["line"], item["directive"], tuple(item["args"]), inner)

    return (walk(item, part["file"]) for item in part["parsed"])


def convert(path: str, team: str, leave_out: frozenset[str] = frozenset()) -> int:
    """Write the operator's file of an nginx file to standard output, or each refusal to standard error.

    Returns the exit status: 0 where it is written, 1 where anything is refused.
    """
    found = read(path, team, leave_out)
    if not found.refusals:
        try:
            config.operator_plan(tomllib.loads(found.toml()), 0.0)
        except config.ConfigError as problem:
            found.refusals.append(Refusal(Directive(path, 1, "result", (), ()), str(problem)))
    for refusal in found.refusals:
        print(refusal, file=sys.stderr)
    if not found.refusals:
        sys.stdout.write(found.toml())
    return 1 if found.refusals else 0


if __name__ == "__main__":  # the entry of earlier versions: a script that still calls it must not get an empty file
    sys.exit("the importer is now: thistleshore import nginx --team NAME nginx.conf > operator.toml")
