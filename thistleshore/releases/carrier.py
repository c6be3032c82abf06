"""The register over TCP: a voter's listener, the proposer that any instance is, and the task that follows the value.

One question and one answer a connection.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from math import inf
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from thistleshore.addresses import Address
from thistleshore.distribution.model import digest_of
from thistleshore.listening import Aside, patiently
from thistleshore.releases import messages, places, waves
from thistleshore.releases.driver import Driver, DriverInput, Figures
from thistleshore.releases.faults import point
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
from thistleshore.releases.model import FleetObservation, Refusal, Value
from thistleshore.releases.plan import ReleasesPlan
from thistleshore.releases.register import (
    NO_BALLOT,
    Accept,
    Ballot,
    Change,
    Outcome,
    Prepare,
    Reply,
    Round,
    Unable,
    merge_write_counts,
)
from thistleshore.releases.store import BodyStore
from thistleshore.releases.voter import Voter

log = logging.getLogger("thistleshore")

ANSWER_TIMEOUT = 0.5  # s for a voter's answer
CHANGE_TIMEOUT = 3.0  # s for a change, with all its rounds
RETRY_PAUSES = (0.01, 0.08)  # s before a round that met another is made again, doubled each time
POLL_INTERVAL = 0.25  # s between two looks at the value, by a voter, and by all while anything is under way
IDLE_POLL_INTERVAL = 1.0  # s between two looks of an instance without a vote while nothing is under way
REPORT_INTERVAL = 1.0  # s between two reports while nobody needs them; voters keep one for longer (REPORT_LIFETIME)
BODY_CHECK_INTERVAL = 1.0  # s between two looks whether this voter holds the body of the version in force
MAJORITY_VALIDITY = (
    2.0  # s for which what a majority said counts as now: more than from one idle look to the next, with its answer
)
MAX_CONNECTIONS = 64  # connections at a time


class NoMajority(Exception):
    """No majority of the voters answered in time; the text names who did not, and why."""


class Latest(NamedTuple):
    """The value of the highest ballot that a voter has told of, with what tells it apart from any other."""

    register: int = 0
    ballot: Ballot = NO_BALLOT
    value: Value | None = None


class Releases:
    """One instance's part.  `standing` says what it sees; `ban` takes a host out at the module, or calls it back."""

    def __init__(
        self,
        plan: ReleasesPlan,
        name: str,
        generation: int,
        observe: Callable[[], FleetObservation],
        ban: Callable[[str, bool], Awaitable[None]],
        is_clear: Callable[[str], bool],
        ready: Callable[[], bool],
        zones: Callable[[str], Mapping[str, str]],
        drain: trio.Event,
        figures: Callable[[], Figures],
        view: Callable[[], tuple[bool, bool]],
        bodies: BodyStore | None = None,
    ) -> None:
        """`view` tells whether the view of the fleet is settled, and whether it has a majority; `bodies` is where this
        instance keeps those of the configuration, if it votes."""
        self.figures, self.view, self.zones, self.driver = figures, view, zones, Driver()
        self.plan, self.name, self.generation, self.observe = plan, name, generation, observe
        self.ban, self.is_clear, self.ready, self.drain = ban, is_clear, ready, drain
        self.voter = Voter(name, Path(plan.folder), bodies) if plan.listen is not None else None
        self.known: Value | None = None  # the latest that is known, agreed or not
        self.agreed: Value | None = None  # the latest that a majority is known to hold
        self.on_agreed: Callable[[Value], None] | None = None  # called when `agreed` moves on
        self.majority_valid_until = 0.0  # until then a majority has said so
        self.applied = 0
        self.reports: dict[str, Report] = {}
        self.hosts_out: set[str] = set()  # hosts that are out here by the register
        self._number, self.seen = 0, dict[str, int]()
        self._register = 0
        self._latest = Latest()
        self._reported_at = -inf
        self._uncertain_ballot = NO_BALLOT  # a ballot that was accepted by some, when last looked
        self._random = random.Random()
        self._aside = Aside()

    # -- questions and answers ----------------------------------------------------------------------

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Vote, and follow the value, until cancelled."""
        task_status.started()
        await self._aside.run(self._take_part)

    async def _take_part(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                if self.voter is not None and self.plan.listen is not None:
                    nursery.start_soon(self._listen, self.plan.listen)
                    if self.voter.bodies is not None:
                        nursery.start_soon(self._keep_current_body, self.voter)
                nursery.start_soon(self._follow)
        finally:
            if self.voter is not None:
                self.voter.close()

    def step_aside(self, aside: bool) -> None:
        """The next process of a hot restart votes and follows in this one's place; or it has gone."""
        self._aside.turn(aside)

    async def _listen(self, address: Address) -> None:
        assert self.voter is not None
        await self.voter.open()
        listener = await patiently(address, "vote")
        log.info("register on %s:%d", *address)
        room = trio.CapacityLimiter(MAX_CONNECTIONS)

        async def serve(stream: trio.SocketStream) -> None:
            assert self.voter is not None
            with trio.move_on_after(2 * ANSWER_TIMEOUT):
                try:
                    async with room:
                        asked = messages.questions.decode(await messages.read(stream))
                        # One at a time: the disk is written in here, and this task does not wait meanwhile.
                        await messages.write(stream, self.voter.answer(asked, trio.current_time()))
                except (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError, msgspec.MsgspecError):
                    pass
                except Exception:
                    # A fault at one question must not end the program.
                    log.exception("fault at a question to the register")
            stream.socket.close()

        await trio.serve_listeners(serve, [listener])

    async def ask(self, voter: str, question: Question) -> Answer | None:
        """A voter's answer; None where none came in time."""
        if voter == self.name and self.voter is not None:
            return self.voter.answer(question, trio.current_time())
        address = self.plan.voters.get(voter)
        if address is None:
            return Unable("this instance's file has no address of it")
        # A file that is made anew takes a busy disk longer than one that is there.
        with trio.move_on_after(CHANGE_TIMEOUT if isinstance(question, Install | Deposit) else ANSWER_TIMEOUT):
            try:
                async with await trio.open_tcp_stream(*address) as stream:
                    await messages.write(stream, question)
                    return messages.answers.decode(await messages.read(stream))
            except (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError, msgspec.MsgspecError):
                return None
        return None

    async def ask_all(self, questions: Mapping[str, Question]) -> dict[str, Answer | None]:
        found: dict[str, Answer | None] = {}

        async def one(voter: str, question: Question) -> None:
            found[voter] = await self.ask(voter, question)

        async with trio.open_nursery() as nursery:
            for voter, question in questions.items():
                nursery.start_soon(one, voter, question)
        return found

    # -- changes ----------------------------------------------------------------------------------------

    async def change(self, change: Change, timeout: float = CHANGE_TIMEOUT) -> Value | Refusal:
        """Change the value, or be refused; NoMajority where neither came about (and it may yet, by another's round)."""
        reason, wait = "no voter answered", RETRY_PAUSES[0]
        voters = self.known.voters if self.known is not None else tuple(self.plan.voters)
        deadline = trio.current_time() + timeout
        while trio.current_time() < deadline:
            outcome = await self._round(voters, change)
            if outcome.what == "done":
                assert outcome.value is not None
                self._update_value(outcome.value, True)
                return outcome.refusal if outcome.refusal is not None else outcome.value
            if outcome.what == "voters" and outcome.value is not None:
                voters = outcome.value.voters
                continue
            if outcome.what == "lost":
                reason = outcome.reason
            self._number = max(self._number, outcome.higher[0])
            await trio.sleep(self._random.uniform(0.5, 1.5) * wait)
            wait = min(4 * RETRY_PAUSES[1], 2 * wait) if outcome.what == "again" else RETRY_PAUSES[1]
        raise NoMajority(reason)

    async def _round(self, voters: tuple[str, ...], change: Change) -> Outcome:
        if not self._register:
            await self.poll_voters()
            if not self._register:
                return Outcome("lost", reason="no voter holds the register; has it been begun?")
        self._number += 1
        # Two processes never use one ballot: its second part names the life as well.
        ballot = (self._number, f"{self.name}.{self.generation}")
        round_ = Round(self._register, voters, ballot, change, self.seen)
        send, receive = trio.open_memory_channel[tuple[str, Reply | None]](64)
        async with trio.open_nursery() as nursery:

            async def one(voter: str, question: Question) -> None:
                reply = await self.ask(voter, question)
                await send.send((voter, None if isinstance(reply, Known | Deposited | Body) else reply))

            def ask(questions: Mapping[str, Prepare | Accept]) -> int:
                for voter, question in questions.items():
                    nursery.start_soon(one, voter, question)
                return len(questions)

            waiting = ask(round_.start())
            while round_.outcome is None and waiting:
                voter, reply = await receive.receive()
                waiting += ask(round_.on_reply(voter, reply)) - 1
            nursery.cancel_scope.cancel()
        self.seen = merge_write_counts(self.seen, round_.seen)
        return round_.outcome or Outcome(
            "lost", reason="; ".join(f"{n}: {why}" for n, why in sorted(round_.unable.items()))
        )

    # -- bodies of the configuration ---------------------------------------------------------------------------

    @property
    def register(self) -> int:
        """Which register the voters hold; 0 until one of them has told it."""
        return self._register

    async def deposit(self, body: bytes) -> int:
        """Have every voter that can be reached keep the body; how many do.

        NoMajority where they are no majority of the voters: then no version of that body may be proposed.
        """
        voters = await self._voters()
        question = Deposit(digest_of(body), body)
        held, failed = set[str](), dict.fromkeys(voters, "no answer")

        async def one(voter: str) -> None:
            match await self.ask(voter, question):
                case Deposited(digest=digest) if digest == question.digest:
                    held.add(voter)
                    del failed[voter]
                case Unable(why=why):
                    failed[voter] = why
            if 2 * len(held) > len(voters):  # the others have a moment more
                scope = nursery.cancel_scope
                scope.deadline = min(scope.deadline, trio.current_time() + ANSWER_TIMEOUT)

        async with trio.open_nursery() as nursery:
            for voter in voters:
                nursery.start_soon(one, voter)
        if 2 * len(held) <= len(voters):
            raise NoMajority("; ".join(f"{voter}: {why}" for voter, why in sorted(failed.items())))
        return len(held)

    async def fetch_body(self, digest: str) -> bytes | None:
        """The body of that digest, from the first voter that gives it whole."""
        others = [voter for voter in await self._voters() if voter != self.name]
        self._random.shuffle(others)
        for voter in (self.name, *others) if self.voter is not None else others:
            found = await self.ask(voter, FetchBody(digest))
            if isinstance(found, Body) and digest_of(found.body) == digest:
                return found.body
        return None

    async def _voters(self) -> tuple[str, ...]:
        """Those of the latest value that is known; those of the file where none can be had."""
        if self.known is None:
            await self.poll_voters()
        return self.known.voters if self.known is not None else tuple(self.plan.voters)

    async def _keep_current_body(self, voter: Voter) -> None:
        """Have this voter hold the body of the version in force, also where it missed the deposit."""
        while True:
            await trio.sleep(BODY_CHECK_INTERVAL * self._random.uniform(0.75, 1.25))
            entry = self.known.configuration.current if self.known is not None else None
            if entry is None or isinstance(voter.answer(FetchBody(entry.digest), trio.current_time()), Body):
                continue
            body = await self.fetch_body(entry.digest)
            if body is not None:
                voter.answer(Deposit(entry.digest, body), trio.current_time())

    @property
    def has_recent_majority(self) -> bool:
        """Whether a majority has said that what is known here is what it holds."""
        return trio.current_time() <= self.majority_valid_until

    # -- following -----------------------------------------------------------------------------------------

    def _update_value(self, value: Value, agreed: bool) -> None:
        if agreed and (self.agreed is None or value.number > self.agreed.number):
            self.agreed = value
            if self.on_agreed is not None:
                self.on_agreed(value)
        if self.known is None or value.number >= self.known.number:
            self.known = value
            if agreed:
                self.majority_valid_until = trio.current_time() + MAJORITY_VALIDITY

    def _change_in_progress(self) -> bool:
        """Whether anybody is out, or a release is not over: then it matters how far the others are."""
        value = self.known
        if value is None:
            return False
        return bool(value.places) or (value.release is not None and value.release.state not in waves.FINAL_STATES)

    def _learn_request(self) -> Learn:
        """What this instance has and wants; with its own report, where one is due."""
        now, wanted = trio.current_time(), self._change_in_progress()
        report = None
        if wanted or now >= self._reported_at + REPORT_INTERVAL:
            report, self._reported_at = self.report(), now
        latest = self._latest
        return Learn(report, self.seen, latest.register, latest.ballot, wanted)

    def _poll_pause(self) -> float:
        """Seconds to the next look: voters have to hear of a change at once, as they tell the fleet of it.

        Others look less often also where no voter has answered yet: many that ask again at once would keep the voters
        busy, and be the reason why none is answered.
        """
        changing = self.known is not None and (self.known != self.agreed or self.applied != self.known.number)
        pause = (
            POLL_INTERVAL if self.voter is not None or changing or self._change_in_progress() else IDLE_POLL_INTERVAL
        )
        return pause * self._random.uniform(0.75, 1.25)

    def report(self) -> Report:
        """How far this instance is, as voters are told."""
        clear = tuple(host for host in sorted(self.hosts_out) if self.is_clear(host))
        return Report(self.name, self.generation, self.applied, clear, self.figures())

    async def poll_voters(self) -> None:
        """Ask all voters what they hold, and tell them how far this instance is."""
        voters = self.known.voters if self.known is not None else tuple(self.plan.voters)
        before = self._latest
        found = await self.ask_all(dict.fromkeys({*voters, *self.plan.voters}, self._learn_request()))
        held = {
            voter: msgspec.structs.replace(reply, value=before.value) if reply.unchanged else reply
            for voter, reply in found.items()
            if isinstance(reply, Known)
        }
        for voter, reply in held.items():
            self.seen = merge_write_counts(self.seen, reply.seen, {voter: reply.writes} if not reply.why else {})
            if self.voter is not None and voter != self.name:
                self.voter.on_write_counts(voter, reply.seen, voters)
        self.reports = {}
        for reply in held.values():
            for report in reply.reports:
                other = self.reports.get(report.name)
                if other is None or (report.generation, report.applied) >= (other.generation, other.applied):
                    self.reports[report.name] = report
        voting = {voter: reply for voter, reply in held.items() if not reply.why and reply.value is not None}
        if not voting:
            return
        self._register = next(iter(voting.values())).register
        latest = max(voting.values(), key=lambda reply: reply.accepted)
        assert latest.value is not None
        self._latest = Latest(latest.register, latest.accepted, latest.value)
        same = [voter for voter, reply in voting.items()
                if reply.accepted == latest.accepted and voter in latest.value.voters]  # fmt: skip
        agreed = 2 * len(same) > len(latest.value.voters)
        if not agreed and 2 * len(set(voting) & set(latest.value.voters)) > len(latest.value.voters):
            # Accepted by some: whether by a majority is for a round to say, which also brings the others up.  Only
            # where it stays so: a round now would cross the one that is under way.
            if latest.accepted != self._uncertain_ballot:
                self._uncertain_ballot = latest.accepted
                return
            try:
                await self.change(lambda value: value, ANSWER_TIMEOUT)
            except NoMajority:
                return
        else:
            self._update_value(latest.value, agreed)

    async def _follow(self) -> None:
        while True:
            await self.poll_voters()
            try:
                await self.apply()
                await self._advance_release()
            except NoMajority as problem:
                log.warning("register: %s", problem)
            await trio.sleep(self._poll_pause())

    async def apply(self) -> None:
        """Do here what the value says."""
        value = self.known
        if value is None:
            return
        wanted = {place.name for place in value.places if place.kind == "host"}
        for host in sorted(wanted ^ self.hosts_out):
            await self.ban(host, host in wanted)
            log.info("register: host %s is %s", host, "out" if host in wanted else "back")
        self.hosts_out = wanted
        self.applied = value.number
        place = value.place("dispatcher", self.name)
        if place is None or not self.has_recent_majority:
            return  # without a majority that says so now, nobody begins
        if place.release:
            return  # its keeper takes it, and says what became of the change: until then nobody else may go out
        if place.begun or place.generation != self.generation:
            if place.generation != self.generation and self.ready():
                # Its holder serves again: what was a place to be out is of no use any more.
                back = "serves again"
                await self.change(lambda v: places.free(v, "dispatcher", self.name, back, self.name, time.time()))
        elif not self.drain.is_set():
            begun = await self.change(
                lambda v: places.begin(v, "dispatcher", self.name, place.number, self.name, time.time())
            )
            if isinstance(begun, Value):
                log.info("register: this instance goes out: %s", place.reason)
                self.drain.set()

    # -- the release -------------------------------------------------------------------------------------------

    def is_leader(self, seen: FleetObservation) -> bool:
        """Whether it is this instance that carries a release forward: the first by name of those that are ready and
        have reported to the voters lately.  Two that think so meet in the register."""
        live = [name for name in seen.dispatchers if name not in seen.dispatchers_down and name in self.reports]
        return bool(live) and min(live) == self.name

    async def _advance_release(self) -> None:
        now = trio.current_time()
        if self.known is None or not self.has_recent_majority:
            return
        seen = self.observe()
        figures = [report.figures for report in self.reports.values() if report.figures is not None]
        step = self.driver.next_step(self.known, DriverInput(seen, *self.view(), figures), now)
        if step is None or not self.is_leader(seen):
            return
        point("driver-before")
        found = await self.change(lambda value: step.change(value, self.name, time.time()))
        point("driver-after")
        if isinstance(found, Value):
            log.info("release: %s", step.reason)
