"""A voter of the register: answers requests from its state file and its store of configuration bodies."""

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

REPORT_LIFETIME = 3.0  # seconds for which a voter passes on the report of an instance
ROLLED_BACK = "its file was restored from an older copy"


class Voter:
    """The voter of this instance.  Each change of its state is durable before the reply is returned."""

    def __init__(self, name: str, folder: Path, bodies: BodyStore | None = None) -> None:
        self.name, self.folder, self.unable_reason = name, folder, "it has not started yet"
        self.bodies = bodies  # None: stores none, and accepts no value with a configuration
        self.store: Store | None = None
        self.acceptor: Acceptor | None = None
        self.reports: dict[str, tuple[float, Report]] = {}
        self.seen: dict[str, int] = {}  # highest known write count of each voter
        # Voters that have reported their count of this voter's writes since its file was read.
        self._checked_voters: set[str] = set()

    async def open(self) -> None:
        """Lock and read the file.  Waits while another process holds it, as the predecessor does in a hot restart."""
        while True:
            try:
                self.store = Store(self.folder)
                break
            except Busy as problem:
                if self.unable_reason != str(problem):
                    self.unable_reason = str(problem)
                    log.warning("register: not voting: %s", self.unable_reason)
                await trio.sleep(TAKEN_PAUSE)
            except Unusable as problem:
                self.unable_reason = str(problem)
                log.warning("register: not voting: %s", self.unable_reason)
                return
        self._read(self.store)

    def close(self) -> None:
        """Stop voting and release the file to another process."""
        if self.store is not None:
            self.store.close()
        self.store = self.acceptor = None
        self._checked_voters.clear()
        self.unable_reason = "its successor process votes"

    def on_write_counts(self, voter: str, seen: Mapping[str, int], voters: Sequence[str]) -> None:
        """Compare the write counts that another voter knows of with this voter's file.

        The voter votes only after reports from a majority: a file restored from an older copy has lost writes, and new
        votes would raise its write count until the loss can no longer be detected.
        """
        if self.acceptor is None or self.name in self._checked_voters:
            return
        if seen.get(self.name, 0) > self.acceptor.state.writes:
            self.acceptor, self.unable_reason = None, ROLLED_BACK
            log.warning("register: not voting: %s", self.unable_reason)
            return
        self._checked_voters.add(voter)
        if 2 * (len(self._checked_voters & set(voters)) + 1) > len(voters):
            self._checked_voters.add(self.name)

    def _read(self, store: Store) -> None:
        self.unable_reason = ""
        try:
            held = store.read()
            if held is None:
                self.unable_reason = "it has no state yet, or its file was lost"
            elif held.voter != self.name:
                self.unable_reason = f"its file belongs to voter {held.voter}"
            else:
                self.acceptor = Acceptor(held, self._has_body)
        except Unusable as problem:
            self.unable_reason = str(problem)
        if self.unable_reason:
            log.warning("register: not voting: %s", self.unable_reason)

    def _has_body(self, digest: str) -> bool:
        return self.bodies is not None and self.bodies.read(digest) is not None

    def answer(self, request: Question, now: float) -> Answer:
        """Return the reply to a request; the state behind it is durable."""
        if isinstance(request, Learn):
            self.seen = merge_write_counts(self.seen, request.seen)
            return self._known(request, now)
        if isinstance(request, Install):
            return self._install(request)
        if isinstance(request, Deposit):
            return self._deposit(request)
        if isinstance(request, FetchBody):
            return self._fetch_body(request)
        acceptor = self.acceptor
        if acceptor is None or self.store is None:
            return Unable(self.unable_reason)
        value = acceptor.state.value
        if self.name not in self._checked_voters and (value is None or value.voters != (self.name,)):
            return Unable("it waits for a majority of the voters to confirm its write count")
        after, reply = acceptor.on_prepare(request) if isinstance(request, Prepare) else acceptor.on_accept(request)
        if after is not None:
            try:
                self.store.write(after)
            except Unusable as problem:
                return Unable(str(problem))
            acceptor.state = after
        return reply

    def _deposit(self, request: Deposit) -> Deposited | Unable:
        if self.bodies is None:
            return Unable("it keeps no bodies of configuration")
        if self.store is None:
            return Unable(self.unable_reason)
        value = self.acceptor.state.value if self.acceptor is not None else None
        history = value.configuration.history if value is not None else ()
        try:
            self.bodies.keep(request.digest, request.body, {entry.digest for entry in history})
        except Unusable as problem:
            return Unable(str(problem))
        return Deposited(request.digest)

    def _fetch_body(self, request: FetchBody) -> Body | Unable:
        body = self.bodies.read(request.digest) if self.bodies is not None else None
        return Unable("it does not hold that body") if body is None else Body(request.digest, body)

    def _known(self, request: Learn, now: float) -> Known:
        if request.report is not None:
            self.reports[request.report.name] = now, request.report
        held = self.acceptor.state if self.acceptor is not None else VoterState(0, self.name)
        # A ballot of a register identifies its value.
        unchanged = held.value is not None and (held.register, held.accepted) == (request.register, request.holds)
        return Known(
            accepted=held.accepted,
            value=None if unchanged else held.value,
            register=held.register,
            writes=held.writes,
            why=self.unable_reason,
            reports=self._fresh_reports(now) if request.wants_reports else (),
            seen=merge_write_counts(held.seen, self.seen),
            unchanged=unchanged,
        )

    def _fresh_reports(self, now: float) -> tuple[Report, ...]:
        return tuple(report for at, report in self.reports.values() if now - at <= REPORT_LIFETIME)

    def _install(self, request: Install) -> Reply:
        if self.store is None or request.held.voter != self.name:
            return Unable(self.unable_reason or "the state belongs to another voter")
        if self.acceptor is not None and (request.begin or request.held.register != self.acceptor.state.register):
            return Unable("it holds a register already")
        try:
            if request.begin and self.store.read() is not None:
                return Unable("it holds a register already")
            if not request.begin:
                self.store.set_aside()
            self.store.write(request.held)
        except Unusable as problem:
            return Unable(str(problem))
        self.acceptor, self.unable_reason = Acceptor(request.held, self._has_body), ""
        self._checked_voters.add(self.name)
        log.info("register: this instance votes")
        return Accepted(request.held.accepted, request.held.writes)
