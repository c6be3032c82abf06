"""The register over TCP: the voter's listener, the proposer of each instance, and the task that follows the value.

Each connection carries one request and one reply.
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
from thistleshore.releases.retried import RetriedChange
from thistleshore.releases.store import BodyStore
from thistleshore.releases.voter import Voter

log = logging.getLogger("thistleshore")

ANSWER_TIMEOUT = 0.5  # seconds for a voter's reply
CHANGE_TIMEOUT = 3.0  # seconds for a change, including all its rounds
RETRY_PAUSES = (0.01, 0.08)  # seconds before the retry of a round that lost to another, doubled each time
POLL_INTERVAL = 0.25  # seconds between polls, by voters, and by all instances while a change is in progress
IDLE_POLL_INTERVAL = 1.0  # seconds between polls by an instance without a vote while nothing is in progress
REPORT_INTERVAL = 1.0  # seconds between reports while nothing is in progress; less than REPORT_LIFETIME
BODY_CHECK_INTERVAL = 1.0  # seconds between checks that this voter stores the body of the version in force
MAJORITY_VALIDITY = (
    2.0  # seconds for which a majority's reply counts as current; longer than an idle poll and its reply
)
MAX_CONNECTIONS = 64  # concurrent connections


class NoMajority(Exception):
    """No majority of the voters replied in time; the text names those that did not, and why."""


class Latest(NamedTuple):
    """The value with the highest accepted ballot received, with the register and ballot that identify it."""

    register: int = 0
    ballot: Ballot = NO_BALLOT
    value: Value | None = None


class Releases:
    """Takes part in the register for one instance: proposes changes, follows the value and applies it here."""

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
        """Callbacks: `observe` returns what this instance sees; `ban` stops or resumes the use of a host; `is_clear`
        tells whether this instance has no requests left at a host; `view` tells whether the fleet view is settled and
        whether it has a majority.  `bodies` stores the configuration bodies, if this instance votes.
        """
        self.figures, self.view, self.zones, self.driver = figures, view, zones, Driver()
        self.plan, self.name, self.generation, self.observe = plan, name, generation, observe
        self.ban, self.is_clear, self.ready, self.drain = ban, is_clear, ready, drain
        self.voter = Voter(name, Path(plan.folder), bodies) if plan.listen is not None else None
        self.known: Value | None = None  # the latest known value, agreed or not
        self.agreed: Value | None = None  # the latest value that a majority is known to hold
        self.on_agreed: Callable[[Value], None] | None = None  # called with each new `agreed` value
        self.majority_valid_until = 0.0  # until then `known` counts as confirmed by a majority
        self.applied = 0
        self.reports: dict[str, Report] = {}
        self.hosts_out: set[str] = set()  # hosts that the register has taken out at this instance
        self._number, self.seen = 0, dict[str, int]()
        self._register = 0
        self._latest = Latest()
        self._reported_at = -inf
        self._uncertain_ballot = NO_BALLOT  # ballot that only some voters had accepted at the last poll
        self._random = random.Random()
        self._aside = Aside()

    # -- questions and answers ----------------------------------------------------------------------

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Vote and follow the value until cancelled."""
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
        """Let the successor of a hot restart vote and follow in place of this process, or resume if it has exited."""
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
                        request = messages.questions.decode(await messages.read(stream))
                        # One at a time: the disk is written in here, and this task does not wait meanwhile.
                        await messages.write(stream, self.voter.answer(request, trio.current_time()))
                except (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError, msgspec.MsgspecError):
                    pass
                except Exception:
                    # A fault at one question must not end the program.
                    log.exception("error while answering a register request")
            stream.socket.close()

        await trio.serve_listeners(serve, [listener])

    async def ask(self, voter: str, question: Question) -> Answer | None:
        """Return a voter's reply, or None if it did not arrive in time."""
        if voter == self.name and self.voter is not None:
            return self.voter.answer(question, trio.current_time())
        address = self.plan.voters.get(voter)
        if address is None:
            return Unable("this instance's settings have no address for it")
        # Creating a file takes longer on a busy disk than updating one.
        with trio.move_on_after(CHANGE_TIMEOUT if isinstance(question, Install | Deposit) else ANSWER_TIMEOUT):
            try:
                async with await trio.open_tcp_stream(*address) as stream:
                    await messages.write(stream, question)
                    return messages.answers.decode(await messages.read(stream))
            except (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError, msgspec.MsgspecError):
                return None
        return None

    async def ask_all(self, questions: Mapping[str, Question]) -> dict[str, Answer | None]:
        replies: dict[str, Answer | None] = {}

        async def one(voter: str, question: Question) -> None:
            replies[voter] = await self.ask(voter, question)

        async with trio.open_nursery() as nursery:
            for voter, question in questions.items():
                nursery.start_soon(one, voter, question)
        return replies

    # -- changes ----------------------------------------------------------------------------------------

    async def change(self, change: Change, timeout: float = CHANGE_TIMEOUT) -> Value | Refusal:
        """Change the value and return it, or the refusal.

        Raises NoMajority if neither was agreed in time; a round of another proposer may still complete the change.
        """
        reason, wait = "no voter answered", RETRY_PAUSES[0]
        voters = self.known.voters if self.known is not None else tuple(self.plan.voters)
        deadline = trio.current_time() + timeout
        once = RetriedChange(change)
        while trio.current_time() < deadline:
            outcome = await self._round(voters, once)
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
        # The generation in the second part keeps the ballots of two processes of one name distinct.
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
        """Identifier of the voters' register; 0 until a voter has reported it."""
        return self._register

    async def deposit(self, body: bytes) -> int:
        """Store a body at every reachable voter and return how many have stored it.

        Raises NoMajority if they are no majority: then no version with that body may be proposed.
        """
        voters = await self._voters()
        question = Deposit(digest_of(body), body)
        stored, failed = set[str](), dict.fromkeys(voters, "no answer")

        async def one(voter: str) -> None:
            match await self.ask(voter, question):
                case Deposited(digest=digest) if digest == question.digest:
                    stored.add(voter)
                    del failed[voter]
                case Unable(why=why):
                    failed[voter] = why
            if 2 * len(stored) > len(voters):  # a majority is enough; the others get a little longer
                scope = nursery.cancel_scope
                scope.deadline = min(scope.deadline, trio.current_time() + ANSWER_TIMEOUT)

        async with trio.open_nursery() as nursery:
            for voter in voters:
                nursery.start_soon(one, voter)
        if 2 * len(stored) <= len(voters):
            raise NoMajority("; ".join(f"{voter}: {why}" for voter, why in sorted(failed.items())))
        return len(stored)

    async def fetch_body(self, digest: str) -> bytes | None:
        """Return the body with that digest from the first voter that has it, or None."""
        others = [voter for voter in await self._voters() if voter != self.name]
        self._random.shuffle(others)
        for voter in (self.name, *others) if self.voter is not None else others:
            reply = await self.ask(voter, FetchBody(digest))
            if isinstance(reply, Body) and digest_of(reply.body) == digest:
                return reply.body
        return None

    async def _voters(self) -> tuple[str, ...]:
        """Return the voters of the latest known value, or those of the settings if no value can be read."""
        if self.known is None:
            await self.poll_voters()
        return self.known.voters if self.known is not None else tuple(self.plan.voters)

    async def _keep_current_body(self, voter: Voter) -> None:
        """Fetch the body of the version in force whenever this voter lacks it, for example after a missed deposit."""
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
        """Whether a majority has confirmed the known value within MAJORITY_VALIDITY."""
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
        """Return whether anyone has a place or a release is unfinished; then the progress of others is needed."""
        value = self.known
        if value is None:
            return False
        return bool(value.places) or (value.release is not None and value.release.state not in waves.FINAL_STATES)

    def _learn_request(self) -> Learn:
        """Return the poll request; it includes this instance's report if one is due."""
        now, wanted = trio.current_time(), self._change_in_progress()
        report = None
        if wanted or now >= self._reported_at + REPORT_INTERVAL:
            report, self._reported_at = self.report(), now
        latest = self._latest
        return Learn(report, self.seen, latest.register, latest.ballot, wanted)

    def _poll_pause(self) -> float:
        """Return the seconds to the next poll, with random jitter.

        Voters poll often, as they pass changes on to the fleet.  Other instances poll less often, also before any voter
        has replied: frequent retries by many instances would overload the voters, so that none gets a reply.
        """
        changing = self.known is not None and (self.known != self.agreed or self.applied != self.known.number)
        pause = (
            POLL_INTERVAL if self.voter is not None or changing or self._change_in_progress() else IDLE_POLL_INTERVAL
        )
        return pause * self._random.uniform(0.75, 1.25)

    def report(self) -> Report:
        """Return this instance's progress, as sent to the voters."""
        clear = tuple(host for host in sorted(self.hosts_out) if self.is_clear(host))
        return Report(self.name, self.generation, self.applied, clear, self.figures())

    async def poll_voters(self) -> None:
        """Read the state of all voters, and send them this instance's report if one is due."""
        voters = self.known.voters if self.known is not None else tuple(self.plan.voters)
        before = self._latest
        replies = await self.ask_all(dict.fromkeys({*voters, *self.plan.voters}, self._learn_request()))
        known = {
            voter: msgspec.structs.replace(reply, value=before.value) if reply.unchanged else reply
            for voter, reply in replies.items()
            if isinstance(reply, Known)
        }
        for voter, reply in known.items():
            self.seen = merge_write_counts(self.seen, reply.seen, {voter: reply.writes} if not reply.why else {})
            if self.voter is not None and voter != self.name:
                self.voter.on_write_counts(voter, reply.seen, voters)
        self.reports = {}
        for reply in known.values():
            for report in reply.reports:
                other = self.reports.get(report.name)
                if other is None or (report.generation, report.applied) >= (other.generation, other.applied):
                    self.reports[report.name] = report
        voting = {voter: reply for voter, reply in known.items() if not reply.why and reply.value is not None}
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
            # Accepted by some voters only: a round decides whether it is agreed, and updates the others.  Wait for a
            # second poll with the same ballot, as a round now would conflict with the one in progress.
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
        """Apply the value at this instance: hosts that are out, and this dispatcher's own place."""
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
            return  # a drain begins only with a recent majority
        if place.release:
            return  # the keeper uses this place and reports the result; until then it stays taken
        if place.begun or place.generation != self.generation:
            if place.generation != self.generation and self.ready():
                # A later generation of the holder is ready: free the place.
                back = "serves again"
                await self.change(lambda v: places.free(v, "dispatcher", self.name, back, self.name, time.time()))
        elif not self.drain.is_set():
            begun = await self.change(
                lambda v: places.begin(v, "dispatcher", self.name, place.number, self.name, time.time())
            )
            if isinstance(begun, Value):
                log.info("register: draining this instance: %s", place.reason)
                self.drain.set()

    # -- the release -------------------------------------------------------------------------------------------

    def is_leader(self, observation: FleetObservation) -> bool:
        """Return whether this instance advances the release.

        The leader is the first by name of the instances that are ready and have reported recently.  If two instances
        consider themselves leader, the register resolves the conflict.
        """
        live = [
            name
            for name in observation.dispatchers
            if name not in observation.dispatchers_down and name in self.reports
        ]
        return bool(live) and min(live) == self.name

    async def _advance_release(self) -> None:
        now = trio.current_time()
        if self.known is None or not self.has_recent_majority:
            return
        observation = self.observe()
        figures = [report.figures for report in self.reports.values() if report.figures is not None]
        step = self.driver.next_step(self.known, DriverInput(observation, *self.view(), figures), now)
        if step is None or not self.is_leader(observation):
            return
        point("driver-before")
        result = await self.change(lambda value: step.change(value, self.name, time.time()))
        point("driver-after")
        if isinstance(result, Value):
            log.info("release: %s", step.reason)
