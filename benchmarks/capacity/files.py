"""Operator's files of a fleet: the same text for a whole dispatcher and for a hollow one."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from pathlib import Path
from typing import NamedTuple

from thistleshore.rig.hollow import Part
from thistleshore.rig.ports import free_ports

REGIONS, ZONES = 5, 15
VOTERS = 5
TEAMS = 120
WORKERS_FEW = 4  # hosts in the list where the list is not what is measured
UNUSED_PORT = 9  # of hosts that are never sent a job


class Member(NamedTuple):
    """One dispatcher of a fleet, with its file and its addresses."""

    name: str
    file: Path
    http: int
    admin: int


class Setup(NamedTuple):
    """What the files of a fleet set up."""

    count: int
    parts: Collection[Part]
    teams: int = TEAMS
    workers: int = WORKERS_FEW
    voters: int = VOTERS
    worker_ports: Sequence[int] = (UNUSED_PORT,)
    streams: int = 512
    deadline: float = 10.0
    period: float = 1.0


def zone_of(number: int) -> str:
    """Dispatchers are dealt out over the zones, and zones over the regions."""
    zone = number % ZONES
    return f"region{zone % REGIONS + 1}/zone{zone + 1}"


def write_files(folder: Path, setup: Setup) -> list[Member]:
    """The file of each dispatcher, on free loopback ports."""
    folder.mkdir(parents=True, exist_ok=True)
    names = [f"dispatcher-{number}" for number in range(setup.count)]
    ports = free_ports(4 * setup.count + setup.voters)
    http, admin, view, leases = (ports[n * setup.count : (n + 1) * setup.count] for n in range(4))
    votes = dict(zip(names, ports[4 * setup.count :], strict=False))
    members = []
    for number, name in enumerate(names):
        text = [_head(name, setup, http[number], admin[number])]
        if Part.VIEW in setup.parts:
            text.append(_view(number, setup, view))
        if Part.REGISTER in setup.parts:
            text.append(_register(name, votes, folder))
        if Part.CONFIGURATION in setup.parts:
            text.append(f'[fleet.configuration]\ndir = "{folder / ("configuration-" + name)}"\n')
        if Part.LEASES in setup.parts:
            text.append(_leases(number, leases))
        if setup.teams:
            text += [_teams(setup.teams)]
        text.append(_work(setup))
        file = folder / f"{name}.toml"
        file.write_text("\n".join(text))
        members.append(Member(name, file, http[number], admin[number]))
    return members


def _head(name: str, setup: Setup, http: int, admin: int) -> str:
    return f"""\
name = "{name}"
balancers = {setup.count}
streams = {setup.streams}

[limits]
sockets = {4 * setup.streams + 256}

[http]
listen = "127.0.0.1:{http}"

[admin]
listen = "127.0.0.1:{admin}"
"""


def _view(number: int, setup: Setup, ports: Sequence[int]) -> str:
    seeds = ", ".join(f'"127.0.0.1:{port}"' for port in ports[:3])
    return f"""\
[fleet]
name = "capacity"
listen = "127.0.0.1:{ports[number]}"
seeds = [{seeds}]
zone = "{zone_of(number)}"
from = ["127.0.0.0/8"]
period = {setup.period}
"""


def _register(name: str, votes: dict[str, int], folder: Path) -> str:
    lines = ["[fleet.register]"]
    if name in votes:
        lines += [f'listen = "127.0.0.1:{votes[name]}"', f'dir = "{folder / ("register-" + name)}"']
    lines += ["[fleet.register.voters]", *(f'{voter} = "127.0.0.1:{port}"' for voter, port in votes.items())]
    return "\n".join([*lines, "[fleet.out]", "dispatchers = 1", ""])


def _leases(number: int, ports: Sequence[int]) -> str:
    peers = ", ".join(f'"127.0.0.1:{port}"' for port in ports)
    return f"""\
[exchange]
instance = {number}
listen = "127.0.0.1:{ports[number]}"
peers = [{peers}]
"""


def _teams(count: int) -> str:
    """Teams of equal shares, and the rule that tells them apart."""
    rule = """\
[[match]]
when = 'true'
member = 'request.headers[?"x-org"].orValue("")'
"""
    return "\n".join([rule, *(f'[[member]]\nname = "team-{n}"\nshare = {1 / count:.6f}\n' for n in range(count))])


def configuration_body(teams: int, changes: int) -> bytes:
    """What is agreed in place of the teams of the files; each change moves a little of one team's share."""
    share = 1.0 / teams
    rows = [
        f'[[member]]\nname = "team-{n}"\nshare = {share - 1e-6 * changes if n == changes % teams else share:.6f}\n'
        for n in range(teams)
    ]
    return "\n".join(rows).encode()


def _work(setup: Setup) -> str:
    """The service, its workers and its one contract."""
    ports = setup.worker_ports
    hosts = "\n".join(
        f'[[host]]\nname = "worker-{n}"\nservice = "tasks"\nbay = {n % 64}\n'
        f'address = "127.0.0.1:{ports[n % len(ports)]}"\n'
        for n in range(setup.workers)
    )
    return f"""\
[[service]]
name = "tasks"

{hosts}
[[contract]]
team = "capacity"
service = "tasks"
class = "task"
effect = "safe"
deadline = {setup.deadline}
aim = 1.0
rate = 1000000.0
attempts = 3
path = "/task"
"""
