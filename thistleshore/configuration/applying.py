"""Applies versions on one instance, one at a time: checks each with its own file, makes it durable, puts it in force.

If any step fails, the previous version stays in force unchanged.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import NamedTuple

import trio

from thistleshore.config import Plan
from thistleshore.core.model import HostLine
from thistleshore.configuration import document
from thistleshore.distribution.model import FORMAT, MAX_REASON_CHARS, Stamp
from thistleshore.configuration.store import StoreError, VersionStore
from thistleshore.releases.faults import point

log = logging.getLogger("thistleshore")

HOSTS = "host"  # the table of a body that lists upstream hosts


class NotApplied(Exception):
    """A version that cannot be put in force on this instance."""

    def __init__(self, *problems: str) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems

    @property
    def reason(self) -> str:
        """The reason reported to the fleet: the first line of each problem."""
        return "; ".join(error.partition("\n")[0] for error in self.problems)[:MAX_REASON_CHARS]


class NotDurable(NotApplied):
    """The version could not be written to disk."""


class StoredVersion(NamedTuple):
    """A version with its body."""

    stamp: Stamp
    body: bytes


class Checked(NamedTuple):
    """A body checked with this instance's own file."""

    plan: Plan  # the own file with the body's tables; `told` is that of the own file
    hosts: bool  # whether the body lists upstream hosts


ActivatePlan = Callable[[Plan, Sequence[HostLine] | None], None]


class Applier:
    """Combines the instance's own file with the version in force."""

    def __init__(self, store: VersionStore, file: Plan) -> None:
        """`file` is the plan of the own file without any version."""
        self.store = store
        self.in_force: StoredVersion | None = None
        self.activate: ActivatePlan | None = None  # puts a plan, and hosts unless None, in force
        self.on_file_reloaded: Callable[[], None] | None = None  # called after a reloaded file is accepted
        self._file = file  # the reading last put in force
        self._shares_active: bool | None = None  # cannot change without a restart; None during the start
        self.startup_problems = 0  # versions on disk that could not be used
        self.hosts_from_version = False  # whether the hosts in force come from a version
        self._lock = trio.Lock()

    # -- start

    def start(self) -> Plan:
        """Return the initial plan: the version on disk over the own file, or the own file alone if that fails."""
        plan = self._file
        try:
            stored = self._read()
            if stored is not None:
                checked = self._check(stored.body)
                plan, self.in_force, self.hosts_from_version = checked.plan, stored, checked.hosts
                log.info("configuration: started on version %d from disk", stored.stamp.number)
        except (StoreError, NotApplied) as error:
            self.startup_problems += 1
            log.error("configuration: the version on disk is ignored and only the own file is used: %s", error)
        self._shares_active = plan.agreements is not None
        return plan

    def _read(self) -> StoredVersion | None:
        stored = self.store.read()
        return None if stored is None else StoredVersion(*stored)

    async def stored(self) -> StoredVersion | None:
        """Return the version on disk, or None if there is no usable one."""
        try:
            return await trio.to_thread.run_sync(self._read)
        except StoreError as error:
            log.warning("configuration: %s", error)
            return None

    # -- running

    async def check(self, body: bytes) -> Checked:
        """Check a body with the own file; raise NotApplied with all its problems."""
        # Compiling a thousand rules takes a third of a second, so a thread does it: streams must not wait.
        async with self._lock:
            return await trio.to_thread.run_sync(self._check, body)

    async def apply(self, stamp: Stamp, body: bytes) -> None:
        """Put a version in force, or raise NotApplied and leave the previous one in force."""
        if stamp.format > FORMAT:
            raise NotApplied(f"its body has format {stamp.format}, and this program reads {FORMAT}")
        async with self._lock:
            checked = await trio.to_thread.run_sync(self._check, body)
            point("configuration-checked")
            await trio.to_thread.run_sync(self._write, stamp, body)
            point("configuration-durable")
            self._put_in_force(checked)
            self.in_force = StoredVersion(stamp, body)
            point("configuration-in-force")

    async def reload_file(self, file: Plan) -> Plan | None:
        """Return the plan of the reloaded own file with the version in force over it; the caller puts it in force.

        If they conflict, log it, return None and keep the previous reading.
        """
        async with self._lock:
            combined = file
            if self.in_force is not None:
                try:
                    combined = (await trio.to_thread.run_sync(self._check, self.in_force.body, file)).plan
                except NotApplied as error:
                    number = self.in_force.stamp.number
                    log.error("configuration not reread, the old one holds: version %d: %s", number, error)
                    return None
            self._file = file
        if self.on_file_reloaded is not None:
            self.on_file_reloaded()
        return combined

    def _check(self, body: bytes, file: Plan | None = None) -> Checked:
        file = self._file if file is None else file
        try:
            parsed = document.parse(body)
            plan = document.build_plan(file.told, parsed, file.epoch)
        except document.DocumentError as error:
            raise NotApplied(*error.problems) from None
        hosts = HOSTS in parsed.tables
        if problems := self._find_obstacles(file, plan, hosts):
            raise NotApplied(*problems)
        # `told` and `seed` stay those of the file, as they are compared with later readings of it.
        return Checked(replace(plan, told=file.told, seed=file.seed), hosts)

    def _find_obstacles(self, file: Plan, plan: Plan, hosts: bool) -> list[str]:
        """Return why this process cannot put a valid plan in force."""
        problems = []
        if hosts and file.http is not None and file.http.discovery is not None:
            problems.append(f"{HOSTS}: this instance has its hosts from [discovery]")
        if self._shares_active is not None and self._shares_active != (plan.agreements is not None):
            word = "end" if self._shares_active else "begin"
            problems.append(f"member: a restart is needed to {word} the keeping of shares")
        return problems

    def _write(self, stamp: Stamp, body: bytes) -> None:
        try:
            self.store.write(stamp, body)
        except StoreError as error:
            raise NotDurable(str(error)) from None

    def _put_in_force(self, checked: Checked) -> None:
        assert self.activate is not None
        # A version without hosts restores those of the file if the previous version had some.
        tell_hosts = checked.hosts or self.hosts_from_version
        self.activate(checked.plan, checked.plan.known if tell_hosts else None)
        self.hosts_from_version = checked.hosts
