"""What is wrong between the files of one fleet's members, each of them sound by itself."""

from __future__ import annotations

from collections.abc import Mapping

from thistleshore.addresses import Address
from thistleshore.config.platform import Plan


def clashes(plans: Mapping[str, Plan]) -> list[str]:
    """Names and addresses that two members would have, and seeds that are nobody's; by the files' names."""
    found: list[str] = []
    fleets: dict[str, dict[str, Plan]] = {}
    for file, plan in plans.items():
        if plan.fleet is not None:
            fleets.setdefault(plan.fleet.name, {})[file] = plan
    for fleet, members in fleets.items():
        names: dict[str, str] = {}
        places: dict[Address, str] = {}
        for file, plan in members.items():
            assert plan.fleet is not None
            if (other := names.setdefault(plan.name, file)) != file:
                found.append(f"{file}: name: {plan.name!r} is another member of {fleet!r} in {other}")
            for key, place in {"advertise": plan.fleet.advertise, "listen": plan.fleet.listen}.items():
                if (other := places.setdefault(place, file)) != file:
                    found.append(f"{file}: fleet.{key}: {place[0]}:{place[1]} is also that of {other}")
        folders: dict[str, str] = {}
        voters = {tuple(sorted(plan.releases.voters)) for plan in members.values() if plan.releases is not None}
        if len(voters) > 1:
            # Two that count majorities of different voters could both have one.
            found.append(f"fleet.register.voters: the files of {fleet!r} name different voters")
        for file, plan in members.items():
            assert plan.fleet is not None
            for key, folder in (("keep.dir", plan.keep.folder if plan.keep is not None else ""),
                                ("fleet.register.dir", plan.releases.folder if plan.releases is not None else ""),
                                ("fleet.configuration.dir",
                                 plan.distribution.folder if plan.distribution is not None else "")):
                if folder and (other := folders.setdefault(f"{plan.fleet.advertise[0]} {key} {folder}", file)) != file:
                    found.append(f"{file}: {key}: {folder} is also that of {other}, on one machine")
        reached = {plan.fleet.advertise for plan in members.values() if plan.fleet is not None}
        for file, plan in members.items():
            assert plan.fleet is not None
            for n, seed in enumerate(plan.fleet.seeds):
                if len(members) > 1 and seed not in reached:
                    found.append(f"{file}: fleet.seeds[{n}]: {seed[0]}:{seed[1]} is where none of these files' members "
                                 "is reached")  # fmt: skip
            if len(members) > 1 and not set(plan.fleet.seeds) - {plan.fleet.advertise}:
                found.append(f"{file}: fleet.seeds: none but itself: it may stay a fleet of its own")
    return found
