"""An operator's own file, TOML: every table and key, its default and its check.

A fault does not end the reading: a stand-in value is put in its place, so that all faults of a file are named at
once.  A file with any fault comes to nothing.
"""

from __future__ import annotations

import os
import re
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from oxbowarch.interface import Effect, Entry, Group, State
from thistleshore.addresses import Address, ip_number
from thistleshore.beanstalkd.codec import NAME
from thistleshore.beanstalkd.model import HOST_PREFIX, REPLY_PREFIX, HostSeat
from thistleshore.beanstalkd.routed import TubeRouter
from thistleshore.config.errors import ConfigError
from thistleshore.config.platform import (
    IDLE_SHARE, SOCKETS, SOCKETS_SPARE, BeanstalkdPlan, ExchangePlan, HttpPlan, Plan, address, number, path_of,
    sockets_of,
)  # fmt: skip
from thistleshore.contracts import Agreements, ContractTerms, MemberTerms, Retries
from thistleshore.contracts.contract_set import Budget, Contract, ContractSet
from thistleshore.contracts.exchange import Terms as ExchangeTerms
from thistleshore.contracts.model import OTHER_MEMBERS
from thistleshore.core.model import HostLine
from thistleshore.distribution.model import ProtocolSettings as DistributionSettings
from thistleshore.distribution.plan import DistributionPlan
from thistleshore.fleet.model import MAX_NAME_LENGTH, Terms as FleetTerms
from thistleshore.fleet.plan import FleetPlan
from thistleshore.logs import FORMATS
from thistleshore.expressions import Limits, NetworkError, Rule, Source, address_set, request_environment
from thistleshore.expressions.networks import AddressSet
from thistleshore.releases.model import Limits as OutLimits
from thistleshore.releases.plan import KeepPlan, ReleasesPlan
from thistleshore.platform.messages import ListNames, Routes
from thistleshore.platform.routed import HttpRouter
from thistleshore.routing import ActiveRouteTable, RouteTable, RouteTableError, Terms
from thistleshore.routing.table import KINDS

AGREED = ("out", "register", "configuration")  # tables of `[fleet]` with readers of their own
KEPT_TUBES = (REPLY_PREFIX, HOST_PREFIX)  # tubes of these names mean something else
EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
GROUPS = {"all": Group.ALL, "bay": Group.CELL}
TOP = ("name", "balancers", "streams", "max_retry_after", "http", "beanstalkd", "discovery", "limits", "start",
       "budget", "service", "host", "contract", "match", "address_set", "expressions", "member", "contracts",
       "exchange", "metrics", "log", "admin", "fleet", "keep")  # fmt: skip
PLAIN = TOP[:4]
FILE_MOST = 8 * 1024 * 1024  # bytes; more is no file that somebody wrote


def read(path: str, epoch: float, named_by: str) -> Plan:
    """The plan of a file, or ConfigError with all that is wrong with it."""
    try:
        data = Path(path).read_bytes()
        if len(data) > FILE_MOST:
            raise ValueError(f"{path} has over {FILE_MOST} bytes")
        text = data.decode()
        conf = tomllib.loads(text)
    except RecursionError:
        raise ConfigError(f"{named_by}: {path} is nested too deep") from None
    except (OSError, ValueError) as problem:
        raise ConfigError(f"{named_by}: {problem}") from None
    return Reader(conf, path, text).plan(epoch)


class Section:
    """One table of the file; what is left unread at the end is unknown, and a fault."""

    def __init__(self, found: Any, path: str, faults: list[str]) -> None:
        self.faults, self.path = faults, path
        if not isinstance(found, Mapping):
            faults.append(f"{path}: a table is wanted")
            found = {}
        self.left = dict(found)

    def __enter__(self) -> Section:
        return self

    def __exit__(self, kind: object, *_: object) -> None:
        if kind is None:
            self.faults += [f"{self.path}.{key}: unknown key" for key in self.left]

    def fault(self, key: str, text: str) -> None:
        self.faults.append(f"{self.path}.{key}: {text}")

    def _take(self, key: str, default: Any, stand_in: Any) -> Any:
        if key not in self.left and default is None:
            self.fault(key, "missing")
            return stand_in
        return self.left.pop(key, default)

    def number(self, key: str, default: float | None = None, low: float = 0.0) -> float:
        stand_in = max(low, 1.0)
        try:
            return number({key: self._take(key, default, stand_in)}, key, self.path, 0.0, low)
        except ConfigError as problem:
            self.faults += problem.problems
            return stand_in

    def whole(self, key: str, default: int | None = None, low: int = 0) -> int:
        found = self._take(key, default, max(low, 1))
        if type(found) is not int or found < low:
            self.fault(key, f"a whole number of at least {low} is wanted, not {found!r}")
            return max(low, 1)
        return found

    def text(self, key: str, default: str | None = None) -> str:
        found = self._take(key, default, "")
        if not isinstance(found, str):
            self.fault(key, f"a text is wanted, not {found!r}")
            return ""
        return found

    def flag(self, key: str, default: bool) -> bool:
        found = self._take(key, default, default)
        if not isinstance(found, bool):
            self.fault(key, f"true or false is wanted, not {found!r}")
            return default
        return found

    def choice(self, key: str, table: Mapping[str, Any], default: str | None = None) -> Any:
        given = key in self.left or default is not None
        found = self.text(key, default)
        if found not in table:
            if given:
                self.fault(key, f"one of {', '.join(table)} is wanted, not {found!r}")
            return next(iter(table.values()), None)
        return table[found]

    def texts(self, key: str) -> list[str]:
        found = self._take(key, None, [])
        if not isinstance(found, list) or not all(isinstance(text, str) for text in found):
            self.fault(key, "a list of texts is wanted")
            return []
        return found

    def addresses(self, key: str) -> list[Address]:
        """Those of a list that are some; each of the others is a fault."""
        found = []
        for n, text in enumerate(self.texts(key)):
            try:
                found.append(address(text, f"{self.path}.{key}[{n}]"))
            except ConfigError as problem:
                self.faults += problem.problems
        return found

    def address(self, key: str) -> Address:
        if key not in self.left:
            self.fault(key, "missing")
            return ("127.0.0.1", 1)
        try:
            return address(self.left.pop(key), f"{self.path}.{key}")
        except ConfigError as problem:
            self.faults += problem.problems
            return ("127.0.0.1", 1)


class Reader:
    """Reads the tables of one file; `text` lets faults in expressions name their lines."""

    def __init__(self, conf: Mapping[str, Any], file: str = "", text: str = "") -> None:
        self.conf, self.file, self.text = conf, file, text
        self.faults: list[str] = []

    def _section(self, key: str) -> Section:
        return Section(self.conf.get(key, {}), key, self.faults)

    def _sections(self, key: str) -> list[Section]:
        found = self.conf.get(key, [])
        if not isinstance(found, list):
            self.faults.append(f"{key}: tables of the form [[{key}]] are wanted")
            return []
        return [Section(item, f"{key}[{n}]", self.faults) for n, item in enumerate(found)]

    def plan(self, epoch: float) -> Plan:
        """The plan, or ConfigError with every fault."""
        self.faults += [f"{key}: unknown key" for key in self.conf if key not in TOP]
        services = self._services()
        contracts = self._contracts(services)
        seats, known = self._hosts(services)
        top = Section({key: self.conf[key] for key in PLAIN if key in self.conf}, "file", self.faults)
        with top, self._section("limits") as limits, self._section("start") as start:
            balancers, streams = top.whole("balancers", 1, 1), top.whole("streams", 512, 1)
            name, advice = top.text("name", "dispatcher"), top.number("max_retry_after", 2.0)
            sockets = sockets_of(limits.whole("sockets", SOCKETS, 4 * SOCKETS_SPARE))
            connect_within, idle = limits.number("connect", 0.2, 0.001), limits.number("idle", 15.0, 0.1)
            warm_up, cold_from = start.number("warm_up", 0.0), start.number("cold_from", 1.0, 0.001)
        budget = None
        if "budget" in self.conf:
            with self._section("budget") as part:
                budget = Budget(part.number("free"), part.number("share"), part.number("span", low=0.001))
        live = self._live(contracts)
        touches, tubes, http = False, None, None
        if "beanstalkd" in self.conf:
            with self._section("beanstalkd") as part:
                listen, touches = part.address("listen"), part.flag("touches", False)
            tubes = BeanstalkdPlan(listen, TubeRouter(live), seats) if live is not None else None
        if "http" in self.conf:
            http = self._http(contracts, services, live)
        for n, contract in enumerate(contracts):
            for key, front in (("tube", "beanstalkd"), ("path", "http")):
                if getattr(contract, key) and front not in self.conf:
                    self.faults.append(f"contract[{n}].{key}: its front is not set up in the file")
        agreements = self._agreements(contracts, services, balancers)
        exchange = self._exchange(balancers, agreements)
        fleet = self._fleet(name)
        releases = self._releases(name)
        distribution = self._distribution()
        metrics, form = None, "plain"
        if "metrics" in self.conf:
            with self._section("metrics") as part:
                metrics = part.address("listen")
        admin, restart = None, ""
        if "admin" in self.conf:
            with self._section("admin") as part:
                admin, folder = part.address("listen"), part.text("restart", "")
            restart = path_of(folder, http.listen) if folder and http is not None else ""
        keep = self._keep(restart)
        with self._section("log") as part:
            form = part.choice("format", {name: name for name in FORMATS}, "plain")
        contract_set = ContractSet(
            tuple(contracts), tuple(services), budget, balancers, advice, touches, warm_up, cold_from
        )
        if not self.faults:
            try:
                settings = contract_set.settings()
            except ValueError as problem:
                self.faults.append(str(problem))
        if self.faults:
            raise ConfigError(*dict.fromkeys(self.faults))
        return Plan(name, int.from_bytes(os.urandom(8), "big"), settings, http, tubes, tuple(known), epoch,
                    connect_within, IDLE_SHARE * idle, sockets, streams, live, agreements, exchange, metrics, form,
                    self.conf, class_names=tuple(_names(contracts)), admin=admin, restart=restart,
                    fleet=fleet, releases=releases, keep=keep, service_names=tuple(services),
                    distribution=distribution)  # fmt: skip

    def _services(self) -> dict[str, int]:
        services: dict[str, int] = {}
        for part in self._sections("service"):
            with part:
                name = part.text("name")
                if name in services:
                    part.fault("name", f"{name!r} is named twice")
                services.setdefault(name, len(services))
        return services

    def _contracts(self, services: Mapping[str, int]) -> list[Contract]:
        contracts = [self._contract(part, services) for part in self._sections("contract")]
        if not contracts:
            self.faults.append("contract: at least one [[contract]] is wanted")
        for key in ("tube", "path"):
            seen: set[str] = set()
            for n, contract in enumerate(contracts):
                value = getattr(contract, key)
                if value and value in seen:
                    self.faults.append(f"contract[{n}].{key}: {value!r} is named twice")
                seen.add(value)
        return contracts

    def _contract(self, part: Section, services: Mapping[str, int]) -> Contract:
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
                name=part.text("name", ""),
            )
            if contract.service and contract.service not in services:
                part.fault("service", f"no [[service]] is named {contract.service!r}")
            if not (contract.tube or contract.path or self.conf.get("match")):
                part.fault("tube", "a tube, a path or a [[match]] is wanted")
            if contract.tube and (not NAME.fullmatch(contract.tube.encode()) or contract.tube.startswith(KEPT_TUBES)):
                part.fault("tube", f"{contract.tube!r} is no tube that a contract may have")
            if contract.path and not contract.path.startswith("/"):
                part.fault("path", "must begin with a slash")
            return contract

    def _hosts(self, services: Mapping[str, int]) -> tuple[dict[str, HostSeat], list[HostLine]]:
        seats: dict[str, HostSeat] = {}
        known: list[HostLine] = []
        for part in self._sections("host"):
            with part:
                name, service = part.text("name"), part.choice("service", services)
                bay, weight = part.whole("bay", 0), part.number("weight", 1.0)
                if name in seats or any(line.entry.worker == name.encode() for line in known):
                    part.fault("name", f"{name!r} is named twice")
                if "address" in part.left:
                    dial = part.address("address")
                    entry = Entry(name.encode(), State.READY, kind=service or 0, cell=bay, weight=weight)
                    known.append(HostLine(entry, dial))
                else:
                    seats[name] = HostSeat(service or 0, bay)
        return seats, known

    def _http(
        self, contracts: Sequence[Contract], services: Mapping[str, int], live: ActiveRouteTable | None
    ) -> HttpPlan | None:
        with self._section("http") as part:
            listen = part.address("listen")
        discovery = None
        if "discovery" in self.conf:
            with self._section("discovery") as part:
                discovery = part.address("address")
        if live is None:
            return None
        routes = Routes({}, [contract.deadline for contract in contracts], None, HttpRouter(live))
        return HttpPlan(listen, routes, ListNames({}, services), discovery)

    # -- shares -------------------------------------------------------------------------------

    def _agreements(
        self, contracts: Sequence[Contract], services: Mapping[str, int], balancers: int
    ) -> Agreements | None:
        """Members and their shares; None where the file has no [[member]]: then nothing is shared out."""
        with self._section("contracts") as part:
            others = part.number("others", 0.0)
            waiting, size = part.whole("waiting", 256, 1), part.whole("waiting_bytes", 4 * 1024 * 1024, 1)
            each = part.whole("waiting_each", 64, 1)
            usual = Retries(part.number("retry_share", 0.2), part.number("retry_floor", 3.0),
                            part.number("retry_span", 10.0, 0.1))  # fmt: skip
        if "member" not in self.conf:
            if "contracts" in self.conf:
                self.faults.append("contracts: at least one [[member]] is wanted")
            return None
        names = _names(contracts)
        for n, name in enumerate(names):
            if name in names[:n]:
                self.faults.append(f"contract[{n}].name: {name!r} is named twice; shares are kept by it")
        members: list[MemberTerms] = []
        for part in self._sections("member"):
            with part:
                member = self._member(part, usual, names)
                if any(member.name == other.name for other in members):
                    part.fault("name", f"{member.name!r} is named twice")
                members.append(member)
        if others > 0.0:
            members.append(MemberTerms(OTHER_MEMBERS, others, retries=usual))
        terms = [ContractTerms(name, services.get(c.service, 0), c.aim, c.stretch)
                 for name, c in zip(names, contracts, strict=True)]  # fmt: skip
        return Agreements(tuple(members), tuple(terms), max(1, len(services)), balancers, waiting, size, each)

    def _member(self, part: Section, usual: Retries, names: Sequence[str]) -> MemberTerms:
        name, share = part.text("name"), part.number("share")
        if not name:
            part.fault("name", "a name is wanted")
        if share > 1.0:
            part.fault("share", f"at most 1, the whole pool, not {share:g}")
        ceiling = part.number("ceiling", low=0.001) if "ceiling" in part.left else None
        if ceiling is not None and ceiling < share:
            part.fault("ceiling", "below the share")
        retries = Retries(part.number("retry_share", usual.share), part.number("retry_floor", usual.floor), usual.span)
        weights: dict[str, float] = {}
        if "weights" in part.left:
            with Section(part.left.pop("weights"), f"{part.path}.weights", self.faults) as inner:
                for contract in list(inner.left):
                    if contract in names:
                        weights[contract] = inner.number(contract, low=0.001)
        return MemberTerms(name, share, ceiling, part.number("burst", 0.5, 0.001), part.number("jobs", 24.0, 1.0),
                           retries, weights)  # fmt: skip

    def _exchange(self, balancers: int, agreements: Agreements | None) -> ExchangePlan | None:
        if "exchange" not in self.conf:
            return None
        with self._section("exchange") as part:
            listen, instance = part.address("listen"), part.whole("instance", 0)
            peers = part.addresses("peers")
            usual = ExchangeTerms()
            terms = usual._replace(
                message_interval=part.number("every", usual.message_interval, 0.01),
                lease=part.number("lease", usual.lease, 0.05),
            )
            if terms.lease < 3 * terms.message_interval:
                part.fault("lease", "at least three times `every`: one lost message must not end it")
            if len(peers) != balancers:
                part.fault("peers", f"{balancers} are wanted, as many as `balancers` says, not {len(peers)}")
            elif instance >= len(peers):
                part.fault("instance", f"one of 0 to {len(peers) - 1} is wanted, not {instance}")
        if agreements is None:
            self.faults.append("exchange: at least one [[member]] is wanted")
        return ExchangePlan(listen, tuple(peers), instance, terms)

    def _fleet(self, name: str) -> FleetPlan | None:
        """`[fleet]`; the member's name is the file's."""
        if "fleet" not in self.conf:
            return None
        usual = FleetTerms()
        # What is agreed about the fleet has tables of its own, see `_releases`.
        found_here = {key: value for key, value in dict(self.conf["fleet"]).items() if key not in AGREED}
        with Section(found_here, "fleet", self.faults) as part:
            fleet, listen, zone = part.text("name"), part.address("listen"), part.text("zone", "")
            advertise = part.address("advertise") if "advertise" in part.left else listen
            seeds, networks = part.addresses("seeds"), part.texts("from")
            terms = FleetTerms(
                part.number("period", usual.period, 0.02), part.number("suspicion", usual.suspicion, 1.0),
                part.number("stretch", usual.stretch, 1.0), part.number("forget", usual.forget, 1.0),
                part.whole("datagram", usual.datagram, 512),
            )  # fmt: skip
            for key, text in (("name", fleet), ("zone", zone), ("name", name)):
                if len(text) > MAX_NAME_LENGTH or not text.isprintable() or " " in text or (key == "name" and not text):
                    part.fault(
                        key, f"1 to {MAX_NAME_LENGTH} printable characters without a space are wanted, not {text!r}"
                    )
            if terms.datagram > 8192:
                part.fault("datagram", "at most 8192 bytes: larger ones come in pieces, all of which must arrive")
            try:
                found = address_set("fleet.from", networks)
                host = ip_number(advertise[0])
                if host is None:
                    part.fault("advertise", "an address is wanted, no name: others send there as it stands")
                elif networks and not found.has(host):
                    part.fault("from", f"this member's own address {advertise[0]} is in none of the networks")
            except NetworkError as problem:
                part.fault("from", str(problem))
        return FleetPlan(fleet, listen, advertise, tuple(seeds), zone, tuple(networks), terms)

    def _releases(self, name: str) -> ReleasesPlan | None:
        """`[fleet.register]` and `[fleet.out]`."""
        tables = self.conf.get("fleet")
        if not isinstance(tables, Mapping) or not {"out", "register"} & set(tables):
            return None
        limits = OutLimits()
        try:
            limits = msgspec.convert(tables.get("out", {}), OutLimits)
        except msgspec.ValidationError as problem:
            self.faults.append(f"fleet.out: {problem}")
        if "register" not in tables:
            self.faults.append("fleet.register: missing: limits are kept by agreement alone")
            return None
        voters: dict[str, Address] = {}
        with Section(tables["register"], "fleet.register", self.faults) as part:
            listed = part._take("voters", None, {})
            if not isinstance(listed, Mapping) or not listed:
                part.fault("voters", "a table of names and addresses is wanted")
                listed = {}
            for voter, text in listed.items():
                try:
                    voters[voter] = address(text, f"fleet.register.voters.{voter}")
                except ConfigError as problem:
                    self.faults += problem.problems
            listen = part.address("listen") if "listen" in part.left or name in voters else None
            folder = part.text("dir", None if listen is not None else "")
            if listen is not None and name not in voters:
                part.fault("listen", f"{name!r} is none of the voters")
        return ReleasesPlan(voters, limits, listen, folder)

    def _distribution(self) -> DistributionPlan | None:
        """`[fleet.configuration]`."""
        tables = self.conf.get("fleet")
        if not isinstance(tables, Mapping) or "configuration" not in tables:
            return None
        if "register" not in tables:
            self.faults.append("fleet.register: missing: versions of the configuration are agreed by its voters")
        usual = DistributionSettings()
        with Section(tables["configuration"], "fleet.configuration", self.faults) as part:
            folder = part.text("dir")
            sync, fresh = (
                part.number("sync", usual.report_interval, 0.05),
                part.number("fresh", usual.report_lifetime, 0.1),
            )
            if fresh < 2 * sync:
                part.fault("fresh", "at least twice `sync`: one lost report must not make an instance unknown")
        return DistributionPlan(folder, usual._replace(report_interval=sync, report_lifetime=fresh))

    def _keep(self, restart: str) -> KeepPlan | None:
        """`[keep]`."""
        if "keep" not in self.conf:
            return None
        usual = KeepPlan("")
        if not restart:
            self.faults.append("keep: [admin] with `restart` is wanted: by it one version follows another")
        with Section(self.conf["keep"], "keep", self.faults) as part:
            return KeepPlan(
                part.text("dir", None), tuple(part.texts("command")) if "command" in part.left else (),
                tuple(tuple(text.split()) for text in part.texts("allow")) if "allow" in part.left else (),
                tuple(part.texts("files")) if "files" in part.left else (),
                part.number("ready", usual.ready, 0.5), part.number("trial", usual.trial),
                part.number("end", usual.end, 1.0), part.whole("crashes", usual.crashes, 1),
                part.number("span", usual.span, 1.0),
            )  # fmt: skip

    # -- the rules ----------------------------------------------------------------------------

    def _live(self, contracts: Sequence[Contract]) -> ActiveRouteTable | None:
        """The route table; None where something is wrong with it."""
        with self._section("expressions") as part:
            limits = Limits(part.whole("cost", Limits().expression, 1), part.whole("total", Limits().total, 1))
        sets = self._sets()
        rules: list[Rule] = []
        names: set[str] = set()
        for n, part in enumerate(self._sections("match")):
            with part:
                name = part.text("name", f"match[{n}]")
                if name in names:
                    part.fault("name", f"{name!r} is named twice")
                names.add(name)
                when = self._source(part, n, "when")
                given = {kind.name: self._source(part, n, kind.name) for kind in KINDS if kind.name in part.left}
                if not given:
                    part.fault("contract", "a rule gives at least one of contract, class, member and key")
                rules.append(Rule(name, when, given))
        terms = [Terms(c.name or c.job_class, c.job_class, c.team, c.deadline, c.path, c.tube) for c in contracts]
        try:
            return ActiveRouteTable(RouteTable(terms, rules, request_environment(sets), limits))
        except RouteTableError as problem:
            self.faults += map(str, problem.problems)
            return None

    def _sets(self) -> dict[str, AddressSet]:
        sets: dict[str, AddressSet] = {}
        for part in self._sections("address_set"):
            with part:
                name, networks = part.text("name"), part.texts("networks")
                if name in sets:
                    part.fault("name", f"{name!r} is named twice")
                found: list[str] = []
                for n, network in enumerate(networks):
                    try:
                        address_set("", [network])
                        found.append(network)
                    except NetworkError as problem:
                        part.fault(f"networks[{n}]", str(problem))
                sets[name] = address_set(name, found)
        return sets

    def _source(self, part: Section, number: int, key: str) -> Source:
        """An expression's text, and where it stands in the file."""
        text = part.text(key) or "true"
        line, column = locate(self.text, "match", number, key, text)
        return Source(text, self.file, f"match[{number}].{key}", line, column)


def _names(contracts: Sequence[Contract]) -> list[str]:
    return [contract.name or contract.job_class for contract in contracts]


def locate(text: str, table: str, number: int, key: str, value: str) -> tuple[int, int]:
    """Line and column, from 1, where the value of a key in the so-manieth `[[table]]` begins; 0, 0 where it is not
    found, or stands there with escapes."""
    heads = list(re.finditer(rf"^[ \t]*\[\[[ \t]*{re.escape(table)}[ \t]*\]\]", text, re.MULTILINE))
    if number >= len(heads):
        return 0, 0
    end = heads[number + 1].start() if number + 1 < len(heads) else len(text)
    found = re.compile(rf"^[ \t]*{re.escape(key)}[ \t]*=[ \t]*(\"\"\"\r?\n?|'''\r?\n?|\"|')", re.MULTILINE).search(
        text, heads[number].end(), end
    )
    if found is None or not text.startswith(value, found.end()):
        return 0, 0
    before = text[: found.end()]
    return before.count("\n") + 1, found.end() - (before.rfind("\n") + 1) + 1
