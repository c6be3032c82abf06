"""A voter of the register, as one instance holds it: what it answers, with the file and the bodies behind it."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from pathlib import Path

import trio

from thistleshore.listening import TAKEN_PAUSE
from thistleshore.releases.messages import (
    Answer,
    Body,
    Deposit,
    Deposited,
    FetchBody,
    Install,
    Known,
    Learn,
    Question,
    Report,
)
from thistleshore.releases.register import Accepted, Acceptor, Prepare, Reply, Unable, VoterState, merge_write_counts
from thistleshore.releases.store import BodyStore, Busy, Store, Unusable

log = logging.getLogger("thistleshore")

REPORT_LIFETIME = 3.0  # s for which a voter tells what an instance reported
SET_BACK = "its file was set back to an older copy"


class Voter:
    """This instance's vote, where it has one: nothing is answered before it is on the disk."""

    def __init__(self, name: str, folder: Path, bodies: BodyStore | None = None) -> None:
        self.name, self.folder, self.why = name, folder, "it does not run yet"
        self.bodies = bodies  # None: it keeps none, and accepts no value with a configuration
        self.store: Store | None = None
        self.acceptor: Acceptor | None = None
        self.reports: dict[str, tuple[float, Report]] = {}
        self.seen: dict[str, int] = {}  # writes of each voter that were told of
        self._checked: set[str] = set()  # voters that have said what they know of this one, since the file was read

    async def open(self) -> None:
        """Have the file, once no other process holds it: in a hot restart the one before does, until it steps aside."""
        while True:
            try:
                self.store = Store(self.folder)
                break
            except Busy as problem:
                if self.why != str(problem):
                    self.why = str(problem)
                    log.warning("register: no vote here: %s", self.why)
                await trio.sleep(TAKEN_PAUSE)
            except Unusable as problem:
                self.why = str(problem)
                log.warning("register: no vote here: %s", self.why)
                return
        self._read(self.store)

    def close(self) -> None:
        """Vote no more, and leave the file to another process."""
        if self.store is not None:
            self.store.close()
        self.store = self.acceptor = None
        self._checked.clear()
        self.why = "the next process votes"

    def on_known(self, voter: str, seen: Mapping[str, int], voters: Sequence[str]) -> None:
        """What another voter knows of this one's writes.  A file is believed only once a majority was heard: one that
        was set back would else make up, by votes that are none, for the writes it has lost."""
        if self.acceptor is None or self.name in self._checked:
            return
        if seen.get(self.name, 0) > self.acceptor.held.writes:
            self.acceptor, self.why = None, SET_BACK
            log.warning("register: no vote here: %s", self.why)
            return
        self._checked.add(voter)
        if 2 * (len(self._checked & set(voters)) + 1) > len(voters):
            self._checked.add(self.name)

    def _read(self, store: Store) -> None:
        self.why = ""
        try:
            held = store.read()
            if held is None:
                self.why = "it holds nothing yet, or its file was lost"
            elif held.voter != self.name:
                self.why = f"its file is that of {held.voter}"
            else:
                self.acceptor = Acceptor(held, self._holds)
        except Unusable as problem:
            self.why = str(problem)
        if self.why:
            log.warning("register: no vote here: %s", self.why)

    def _holds(self, digest: str) -> bool:
        return self.bodies is not None and self.bodies.read(digest) is not None

    def answer(self, asked: Question, now: float) -> Answer:
        """What to answer; the state it speaks of is durable by then."""
        if isinstance(asked, Learn):
            self.seen = merge_write_counts(self.seen, asked.seen)
            return self._known(asked, now)
        if isinstance(asked, Install):
            return self._install(asked)
        if isinstance(asked, Deposit):
            return self._deposit(asked)
        if isinstance(asked, FetchBody):
            return self._fetch_body(asked)
        if self.acceptor is None or self.store is None:
            return Unable(self.why)
        value = self.acceptor.held.value
        if self.name not in self._checked and (value is None or value.voters != (self.name,)):
            return Unable("it has not heard yet what the others know of it")
        after, reply = self.acceptor.on_prepare(asked) if isinstance(asked, Prepare) else self.acceptor.on_accept(asked)
        if after is not None:
            try:
                self.store.write(after)
            except Unusable as problem:
                return Unable(str(problem))
            self.acceptor.held = after
        return reply

    def _deposit(self, asked: Deposit) -> Deposited | Unable:
        if self.bodies is None:
            return Unable("it keeps no bodies of configuration")
        if self.store is None:
            return Unable(self.why)
        value = self.acceptor.held.value if self.acceptor is not None else None
        history = value.configuration.history if value is not None else ()
        try:
            self.bodies.keep(asked.digest, asked.body, {entry.digest for entry in history})
        except Unusable as problem:
            return Unable(str(problem))
        return Deposited(asked.digest)

    def _fetch_body(self, asked: FetchBody) -> Body | Unable:
        body = self.bodies.read(asked.digest) if self.bodies is not None else None
        return Unable("it does not hold that body") if body is None else Body(asked.digest, body)

    def _known(self, asked: Learn, now: float) -> Known:
        if asked.report is not None:
            self.reports[asked.report.name] = now, asked.report
        held = self.acceptor.held if self.acceptor is not None else VoterState(0, self.name)
        # One ballot of one register has one value.
        unchanged = held.value is not None and (held.register, held.accepted) == (asked.register, asked.holds)
        return Known(
            accepted=held.accepted,
            value=None if unchanged else held.value,
            register=held.register,
            writes=held.writes,
            why=self.why,
            reports=self._fresh_reports(now) if asked.wants_reports else (),
            seen=merge_write_counts(held.seen, self.seen),
            unchanged=unchanged,
        )

    def _fresh_reports(self, now: float) -> tuple[Report, ...]:
        return tuple(report for at, report in self.reports.values() if now - at <= REPORT_LIFETIME)

    def _install(self, asked: Install) -> Reply:
        if self.store is None or asked.held.voter != self.name:
            return Unable(self.why or "that is another voter's state")
        if self.acceptor is not None and (asked.begin or asked.held.register != self.acceptor.held.register):
            return Unable("it holds a register already")
        try:
            if asked.begin and self.store.read() is not None:
                return Unable("it holds a register already")
            if not asked.begin:
                self.store.set_aside()
            self.store.write(asked.held)
        except Unusable as problem:
            return Unable(str(problem))
        self.acceptor, self.why = Acceptor(asked.held, self._holds), ""
        self._checked.add(self.name)
        log.info("register: this instance votes")
        return Accepted(asked.held.accepted, asked.held.writes)
