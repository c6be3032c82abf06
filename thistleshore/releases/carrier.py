"""The register over TCP: a voter's listener, the proposer that any instance is, and the task that follows the value.

A message is four bytes of length and MessagePack; one question and one answer a connection.
"""

from __future__ import annotations

import logging
import os
import random
import struct
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
import trio

from thistleshore.addresses import Address
from thistleshore.distribution.model import digest_of
from thistleshore.listening import TAKEN_PAUSE, Aside, patiently
from thistleshore.releases import places, waves
from thistleshore.releases.driver import Driver, Figures, Seen
from thistleshore.releases.model import Limits, Refusal, Standing, Value
from thistleshore.releases.plan import ReleasesPlan
from thistleshore.releases.register import (
    NONE, Accept, Acceptor, Ballot, Change, Held, Outcome, Prepare, Accepted, Reply, Round, Unable, merged,
)  # fmt: skip
from thistleshore.releases.faults import point
from thistleshore.releases.store import BodyStore, Busy, Store, Unusable

log = logging.getLogger("thistleshore")

ANSWER = 0.5  # s for a voter's answer
CHANGE = 3.0  # s for a change, with all its rounds
AGAIN = (0.01, 0.08)  # s before a round that met another is made again, doubled each time
LOOK = 0.25  # s between two looks at the value
BODY_LOOK = 1.0  # s between two looks whether this voter holds the body of the version in force
FRESH = 1.0  # s for which what a majority said counts as now
REPORT_KEPT = 3.0  # s for which a voter tells what an instance reported
SET_BACK = "its file was set back to an older copy"
FRAME = struct.Struct("!I")
FRAME_MOST = 1 << 20
SERVED_MOST = 64  # connections at a time


class NoMajority(Exception):
    """No majority of the voters answered in time; the text names who did not, and why."""


class Report(msgspec.Struct, frozen=True):
    """What an instance says of itself with each look: up to which change it has acted, and where it sends no more."""

    name: str
    life: int
    applied: int
    clear: tuple[str, ...] = ()  # hosts that are out and at which nothing of it is left
    figures: Figures | None = None


class Learn(msgspec.Struct, frozen=True, tag=True):
    """What do you hold?  With a report, where the asker is an instance that follows."""

    report: Report | None = None
    seen: dict[str, int] = {}  # noqa: RUF012 - how many writes of each voter the asker knows of


class Known(msgspec.Struct, frozen=True, tag=True):
    """What a voter holds, whether it votes, and what instances reported to it lately."""

    accepted: Ballot
    value: Value | None
    register: int
    writes: int
    why: str  # "" where it votes
    reports: tuple[Report, ...] = ()
    seen: dict[str, int] = {}  # noqa: RUF012 - how many writes of each voter this one knows of


class Install(msgspec.Struct, frozen=True, tag=True):
    """Begin the register, or take a voter in again: all that it is to hold."""

    held: Held
    begin: bool  # only where nothing ever was


class Deposit(msgspec.Struct, frozen=True, tag=True):
    """Keep this body of configuration; answered by Deposited, or by Unable."""

    digest: str
    body: bytes


class Deposited(msgspec.Struct, frozen=True, tag=True):
    """The body is durable at this voter."""

    digest: str


class FetchBody(msgspec.Struct, frozen=True, tag=True):
    """Give the body of that digest; answered by Body, or by Unable."""

    digest: str


class Body(msgspec.Struct, frozen=True, tag=True):
    """A body of configuration as a voter holds it."""

    digest: str
    body: bytes


Question = Prepare | Accept | Learn | Install | Deposit | FetchBody
Answer = Reply | Known | Deposited | Body
_questions = msgspec.msgpack.Decoder(Question)
_answers: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)


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
            self.seen = merged(self.seen, asked.seen)
            return self._known(asked.report, now)
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

    def _known(self, report: Report | None, now: float) -> Known:
        if report is not None:
            self.reports[report.name] = now, report
        held = self.acceptor.held if self.acceptor is not None else Held(0, self.name)
        fresh = tuple(report for at, report in self.reports.values() if now - at <= REPORT_KEPT)
        return Known(held.accepted, held.value, held.register, held.writes, self.why, fresh,
                     merged(held.seen, self.seen))

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


class Releases:
    """One instance's part.  `standing` says what it sees; `ban` takes a host out at the module, or calls it back."""

    def __init__(self, plan: ReleasesPlan, name: str, life: int, standing: Callable[[], Standing],
                 ban: Callable[[str, bool], Awaitable[None]], clear: Callable[[str], bool], ready: Callable[[], bool],
                 zones: Callable[[str], Mapping[str, str]],
                 drain: trio.Event, figures: Callable[[], Figures],
                 view: Callable[[], tuple[bool, bool]], bodies: BodyStore | None = None) -> None:  # fmt: skip
        """`view` tells whether the view of the fleet is settled, and whether it has a majority; `bodies` is where this
        instance keeps those of the configuration, if it votes."""
        self.figures, self.view, self.zones, self.driver = figures, view, zones, Driver()
        self.plan, self.name, self.life, self.standing = plan, name, life, standing
        self.ban, self.clear, self.ready, self.drain = ban, clear, ready, drain
        self.voter = Voter(name, Path(plan.folder), bodies) if plan.listen is not None else None
        self.known: Value | None = None  # the latest that is known, agreed or not
        self.agreed: Value | None = None  # the latest that a majority is known to hold
        self.on_agreed: Callable[[Value], None] | None = None  # called when `agreed` moves on
        self.fresh_until = 0.0  # until then a majority has said so
        self.applied = 0
        self.reports: dict[str, Report] = {}
        self.out: set[str] = set()  # hosts that are out here by the register
        self._number, self._seen = 0, dict[str, int]()
        self._register = 0
        self._unsure = NONE  # a ballot that was accepted by some, when last looked
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
        room = trio.CapacityLimiter(SERVED_MOST)

        async def serve(stream: trio.SocketStream) -> None:
            assert self.voter is not None
            with trio.move_on_after(2 * ANSWER):
                try:
                    async with room:
                        asked = _questions.decode(await _read(stream))
                        # One at a time: the disk is written in here, and this task does not wait meanwhile.
                        await _write(stream, self.voter.answer(asked, trio.current_time()))
                except (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError, msgspec.MsgspecError):
                    pass
                except Exception:
                    # A fault at one question must not end the program.
                    log.exception("fault at a question to the register")
            stream.socket.close()

        await trio.serve_listeners(serve, [listener])

    async def _ask(self, voter: str, question: Question) -> Answer | None:
        """A voter's answer; None where none came in time."""
        if voter == self.name and self.voter is not None:
            return self.voter.answer(question, trio.current_time())
        address = self.plan.voters.get(voter)
        if address is None:
            return Unable("this instance's file has no address of it")
        # A file that is made anew takes a busy disk longer than one that is there.
        with trio.move_on_after(CHANGE if isinstance(question, Install | Deposit) else ANSWER):
            try:
                async with await trio.open_tcp_stream(*address) as stream:
                    await _write(stream, question)
                    return _answers.decode(await _read(stream))
            except (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError, msgspec.MsgspecError):
                return None
        return None

    async def _ask_all(self, questions: Mapping[str, Question]) -> dict[str, Answer | None]:
        found: dict[str, Answer | None] = {}

        async def one(voter: str, question: Question) -> None:
            found[voter] = await self._ask(voter, question)

        async with trio.open_nursery() as nursery:
            for voter, question in questions.items():
                nursery.start_soon(one, voter, question)
        return found

    # -- changes ----------------------------------------------------------------------------------------

    async def change(self, change: Change, within: float = CHANGE) -> Value | Refusal:
        """Change the value, or be refused; NoMajority where neither came about (and it may yet, by another's round)."""
        told, wait = "no voter answered", AGAIN[0]
        voters = self.known.voters if self.known is not None else tuple(self.plan.voters)
        until = trio.current_time() + within
        while trio.current_time() < until:
            outcome = await self._round(voters, change)
            if outcome.what == "done":
                assert outcome.value is not None
                self._learned(outcome.value, True)
                return outcome.refusal if outcome.refusal is not None else outcome.value
            if outcome.what == "voters" and outcome.value is not None:
                voters = outcome.value.voters
                continue
            if outcome.what == "lost":
                told = outcome.told
            self._number = max(self._number, outcome.higher[0])
            await trio.sleep(self._random.uniform(0.5, 1.5) * wait)
            wait = min(4 * AGAIN[1], 2 * wait) if outcome.what == "again" else AGAIN[1]
        raise NoMajority(told)

    async def _round(self, voters: tuple[str, ...], change: Change) -> Outcome:
        if not self._register:
            await self._look()
            if not self._register:
                return Outcome("lost", told="no voter holds the register; has it been begun?")
        self._number += 1
        # Two processes never use one ballot: its second part names the life as well.
        ballot = (self._number, f"{self.name}.{self.life}")
        this = Round(self._register, voters, ballot, change, self._seen)
        send, receive = trio.open_memory_channel[tuple[str, Reply | None]](64)
        async with trio.open_nursery() as nursery:

            async def one(voter: str, question: Question) -> None:
                reply = await self._ask(voter, question)
                await send.send((voter, None if isinstance(reply, Known | Deposited | Body) else reply))

            def ask(questions: Mapping[str, Prepare | Accept]) -> int:
                for voter, question in questions.items():
                    nursery.start_soon(one, voter, question)
                return len(questions)

            waiting = ask(this.start())
            while this.outcome is None and waiting:
                voter, reply = await receive.receive()
                waiting += ask(this.on_reply(voter, reply)) - 1
            nursery.cancel_scope.cancel()
        self._seen = merged(self._seen, this.seen)
        return this.outcome or Outcome("lost", told="; ".join(f"{n}: {why}" for n, why in sorted(this.unable.items())))

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
            match await self._ask(voter, question):
                case Deposited(digest=digest) if digest == question.digest:
                    held.add(voter)
                    del failed[voter]
                case Unable(why=why):
                    failed[voter] = why
            if 2 * len(held) > len(voters):  # the others have a moment more
                scope = nursery.cancel_scope
                scope.deadline = min(scope.deadline, trio.current_time() + ANSWER)

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
            found = await self._ask(voter, FetchBody(digest))
            if isinstance(found, Body) and digest_of(found.body) == digest:
                return found.body
        return None

    async def _voters(self) -> tuple[str, ...]:
        """Those of the latest value that is known; those of the file where none can be had."""
        if self.known is None:
            await self._look()
        return self.known.voters if self.known is not None else tuple(self.plan.voters)

    async def _keep_current_body(self, voter: Voter) -> None:
        """Have this voter hold the body of the version in force, also where it missed the deposit."""
        while True:
            await trio.sleep(BODY_LOOK * self._random.uniform(0.75, 1.25))
            entry = self.known.configuration.current if self.known is not None else None
            if entry is None or isinstance(voter.answer(FetchBody(entry.digest), trio.current_time()), Body):
                continue
            body = await self.fetch_body(entry.digest)
            if body is not None:
                voter.answer(Deposit(entry.digest, body), trio.current_time())

    # -- following -----------------------------------------------------------------------------------------

    def _learned(self, value: Value, agreed: bool) -> None:
        if agreed and (self.agreed is None or value.number > self.agreed.number):
            self.agreed = value
            if self.on_agreed is not None:
                self.on_agreed(value)
        if self.known is None or value.number >= self.known.number:
            self.known = value
            if agreed:
                self.fresh_until = trio.current_time() + FRESH

    def _report(self) -> Report:
        clear = tuple(host for host in sorted(self.out) if self.clear(host))
        return Report(self.name, self.life, self.applied, clear, self.figures())

    async def _look(self) -> None:
        """Ask all voters what they hold, and tell them how far this instance is."""
        voters = self.known.voters if self.known is not None else tuple(self.plan.voters)
        found = await self._ask_all(dict.fromkeys({*voters, *self.plan.voters}, Learn(self._report(), self._seen)))
        held = {voter: reply for voter, reply in found.items() if isinstance(reply, Known)}
        for voter, reply in held.items():
            self._seen = merged(self._seen, reply.seen, {voter: reply.writes} if not reply.why else {})
            if self.voter is not None and voter != self.name:
                self.voter.on_known(voter, reply.seen, voters)
        self.reports = {}
        for reply in held.values():
            for report in reply.reports:
                before = self.reports.get(report.name)
                if before is None or (report.life, report.applied) >= (before.life, before.applied):
                    self.reports[report.name] = report
        voting = {voter: reply for voter, reply in held.items() if not reply.why and reply.value is not None}
        if not voting:
            return
        self._register = next(iter(voting.values())).register
        latest = max(voting.values(), key=lambda reply: reply.accepted)
        assert latest.value is not None
        same = [voter for voter, reply in voting.items()
                if reply.accepted == latest.accepted and voter in latest.value.voters]  # fmt: skip
        agreed = 2 * len(same) > len(latest.value.voters)
        if not agreed and 2 * len(set(voting) & set(latest.value.voters)) > len(latest.value.voters):
            # Accepted by some: whether by a majority is for a round to say, which also brings the others up.  Only
            # where it stays so: a round now would cross the one that is under way.
            if latest.accepted != self._unsure:
                self._unsure = latest.accepted
                return
            try:
                await self.change(lambda value: value, ANSWER)
            except NoMajority:
                return
        else:
            self._learned(latest.value, agreed)

    async def _follow(self) -> None:
        while True:
            await self._look()
            try:
                await self._act()
                await self._drive()
            except NoMajority as problem:
                log.warning("register: %s", problem)
            await trio.sleep(LOOK * self._random.uniform(0.75, 1.25))

    async def _act(self) -> None:
        """Do here what the value says."""
        value = self.known
        if value is None:
            return
        wanted = {place.name for place in value.places if place.kind == "host"}
        for host in sorted(wanted ^ self.out):
            await self.ban(host, host in wanted)
            log.info("register: host %s is %s", host, "out" if host in wanted else "back")
        self.out = wanted
        self.applied = value.number
        place = value.place("dispatcher", self.name)
        if place is None or trio.current_time() > self.fresh_until:
            return  # without a majority that says so now, nobody begins
        if place.begun or place.life != self.life:
            if place.life != self.life and self.ready():
                # Its holder serves again: what was a place to be out is of no use any more.
                back = "serves again"
                await self.change(lambda v: places.free(v, "dispatcher", self.name, back, self.name, time.time()))
        elif not place.release and not self.drain.is_set():  # by a place of a release it is the keeper who acts
            begun = await self.change(
                lambda v: places.begin(v, "dispatcher", self.name, place.number, self.name, time.time())
            )
            if isinstance(begun, Value):
                log.info("register: this instance goes out: %s", place.reason)
                self.drain.set()

    # -- the release -------------------------------------------------------------------------------------------

    def leads(self, seen: Standing) -> bool:
        """Whether it is this instance that carries a release forward: the first by name of those that are ready and
        have reported to the voters lately.  Two that think so meet in the register."""
        live = [name for name in seen.dispatchers if name not in seen.dispatchers_down and name in self.reports]
        return bool(live) and min(live) == self.name

    async def _drive(self) -> None:
        now = trio.current_time()
        if self.known is None or now > self.fresh_until:
            return
        seen = self.standing()
        figures = [report.figures for report in self.reports.values() if report.figures is not None]
        step = self.driver.on_look(self.known, Seen(seen, *self.view(), figures), now)
        if step is None or not self.leads(seen):
            return
        point("driver-before")
        found = await self.change(lambda value: step.change(value, self.name, time.time()))
        point("driver-after")
        if isinstance(found, Value):
            log.info("release: %s", step.told)

    async def _release(self, name: str, words: tuple[str, ...]) -> dict[str, Any]:
        """Calls of operators and of this dispatcher's keeper."""
        now, value, me = time.time(), self.known, self.name
        if name == "release":
            return {"status": "done", **self.told_release()}
        if name == "order":
            if value is None or trio.current_time() > self.fresh_until:
                return {"status": "no-majority", "told": "nothing is agreed now", "pid": os.getpid()}
            found = waves.order(value, me)
            return {"status": "done", "pid": os.getpid(), "place": found.place, "begun": found.begun,
                    "version": None if found.version is None else msgspec.to_builtins(found.version)}  # fmt: skip
        if name == "start":
            plan = waves.read(msgspec.json.decode(" ".join(words)))
            zones = self.zones(plan.service)
            return self._outcome(await self.change(lambda v: waves.start(v, plan, zones, me, now)))
        if name == "takes":
            number = int(words[0])
            return self._outcome(await self.change(lambda v: places.begin(v, "dispatcher", me, number, me, now)))
        if name in ("host-takes", "host-arrived", "host-failed"):
            host, word, why = words[0], words[1], " ".join(words[2:])
            if name == "host-takes":
                return self._outcome(await self.change(lambda v: places.begin(v, "host", host, int(word), me, now)))
            version = word.removeprefix("-")
            if name == "host-arrived":
                return self._outcome(await self.change(lambda v: waves.arrived(v, host, version, me, now, "host")))
            return self._outcome(await self.change(lambda v: waves.failed(v, host, version, why, me, now, "host")))
        if name in ("arrived", "failed"):
            version, told = words[0].removeprefix("-"), " ".join(words[1:])
            if name == "arrived":
                return self._outcome(await self.change(lambda v: waves.arrived(v, me, version, me, now)))
            return self._outcome(await self.change(lambda v: waves.failed(v, me, version, told, me, now)))
        told, state = " ".join(words), {"halt": "halted", "undo": "undoing", "resume": "resume"}[name]
        # Of the release that the register holds by now, whatever is known here.
        return self._outcome(await self.change(
            lambda v: waves.turn(v, v.release.number if v.release is not None else 0, state, told, me, now)))

    def told_release(self) -> dict[str, Any]:
        """The release as it is known here, who runs what, and why nothing goes on."""
        value = self.known
        if value is None or value.release is None:
            return {"agreed": value is not None and trio.current_time() <= self.fresh_until, "release": None}
        gate = self.driver.told
        seen = self.standing()
        live = sorted(name for name in self.reports if name not in seen.dispatchers_down)
        return {
            "agreed": trio.current_time() <= self.fresh_until, "release": msgspec.to_builtins(value.release),
            "runs": {name: value.version_of(value.release.kind, name) for name in sorted(value.release.former)},
            "hosts": [{"host": place.name, "place": place.number, "begun": place.begun, "service": place.service,
                       "version": waves.target(value, place.name, "host"), **self.state("host", place.name)}
                      for place in value.places if place.kind == "host" and place.release],
            "left": list(waves.todo(value)), "held": self.driver.held, "carried_on_by": live[0] if live else "",
            "gate": None if gate is None else {**gate._asdict(), "verdict": gate.verdict.name.lower(),
                                               "told": gate.verdict.value},
            "out": [place.name for place in value.places if place.kind == value.release.kind],
            "history": [msgspec.to_builtins(act) for act in value.history],
        }  # fmt: skip

    # -- what operators ask -----------------------------------------------------------------------------------

    async def on_call(self, name: str, arguments: tuple[str, ...]) -> dict[str, Any]:
        """One call; `status` is done, refused, no-majority or begun."""
        try:
            return await self._call(name, arguments)
        except NoMajority as problem:
            return {"status": "no-majority", "told": str(problem), "known": self.told()}

    async def _call(self, name: str, arguments: tuple[str, ...]) -> dict[str, Any]:
        now = time.time()
        if name not in ("out", "begin", "voters", "limits", "drain", "return"):
            return await self._release(name, arguments)
        if name == "out":
            return {"status": "done", **self.told()}
        if name == "begin":
            return await self._begin()
        if name == "voters":
            return await self._replace(arguments[0])
        if name == "limits":
            limits = msgspec.json.decode(arguments[0], type=Limits)
            return self._outcome(await self.change(lambda value: places.limit(value, limits, self.name, now)))
        kind, which, reason = arguments[0], arguments[1], " ".join(arguments[2:])
        if kind not in ("dispatcher", "host"):
            return {"status": "refused", "told": "dispatcher or host is wanted"}
        known: Any = kind
        if name == "drain":
            seen = self.standing()
            found = await self.change(lambda value: places.ask(value, known, which, reason, self.name, seen, now))
        else:
            found = await self.change(lambda value: places.free(value, known, which, reason, self.name, now))
        if isinstance(found, Value):
            await self._act()
        return {**self._outcome(found), **self.state(kind, which)}

    @staticmethod
    def _outcome(found: Value | Refusal) -> dict[str, Any]:
        if isinstance(found, Refusal):
            return {"status": "refused", "limit": found.limit, "allowed": found.allowed, "out": list(found.out),
                    "told": found.told}  # fmt: skip
        return {"status": "done", "number": found.number}

    def state(self, kind: str, name: str) -> dict[str, Any]:
        """How far one that goes out is: `out` only once all that live have said that they send nothing there."""
        value, seen = self.known, self.standing()
        place = value.place(kind, name) if value is not None else None
        if place is None:
            return {"state": "back", "waiting_for": []}
        live = [member for member in seen.dispatchers if member not in seen.dispatchers_down]
        if kind == "dispatcher":
            if place.begun and name not in live:
                return {"state": "out", "waiting_for": []}
            return {"state": "begun" if place.begun else "given", "waiting_for": [name]}
        late = [member for member in sorted(live) if not self._clear(member, name, place.number)]
        return {"state": "begun" if late else "out", "waiting_for": late}

    def _clear(self, member: str, host: str, number: int) -> bool:
        report = self._report() if member == self.name else self.reports.get(member)
        return report is not None and report.applied >= number and host in report.clear

    def told(self) -> dict[str, Any]:
        """The value as it is known here, marked where no majority has said so lately."""
        value = self.known
        if value is None:
            return {"number": 0, "agreed": False, "places": [], "voters": []}
        return {
            "number": value.number, "agreed": trio.current_time() <= self.fresh_until, "voters": list(value.voters),
            "limits": msgspec.to_builtins(value.limits),
            "votes_here": None if self.voter is None else self.voter.why or "yes",
            "places": [{**msgspec.to_builtins(place), **self.state(place.kind, place.name)} for place in value.places],
            "history": [msgspec.to_builtins(act) for act in value.history],
        }  # fmt: skip

    async def _begin(self) -> dict[str, Any]:
        """Begin the register, where none of its voters holds one."""
        voters = tuple(sorted(self.plan.voters))
        found = await self._ask_all(dict.fromkeys(voters, Learn()))
        if missing := [name for name, reply in found.items() if not isinstance(reply, Known)]:
            raise NoMajority(f"all voters are needed to begin: no answer from {', '.join(missing)}")
        holds = {name: reply for name, reply in found.items() if isinstance(reply, Known) and reply.value is not None}
        begun = {(reply.register, reply.writes) for reply in holds.values()}
        if len(begun) > 1 or begun and (len(holds) == len(voters) or next(iter(begun))[1] > 1):
            return {"status": "refused", "told": f"{', '.join(holds)} hold a register already"}
        # One that was begun at some, and of which nothing has been promised or accepted since, is begun at the rest.
        register = next(iter(begun))[0] if begun else random.SystemRandom().getrandbits(62) + 1
        value = next((reply.value for reply in holds.values()), None) or Value(1, voters, self.plan.limits)
        installs = {name: Install(Held(register, name, (1, ""), (1, ""), value, 1), True)
                    for name in voters if name not in holds}  # fmt: skip
        replies = await self._ask_all(installs)
        if failed := {name: reply for name, reply in replies.items() if not isinstance(reply, Accepted)}:
            told = "; ".join(f"{n}: {r.why if isinstance(r, Unable) else 'no answer'}" for n, r in failed.items())
            return {"status": "no-majority", "told": f"begin again, for {told}"}
        await self._look()
        return {"status": "done", "number": 1}

    async def _replace(self, name: str) -> dict[str, Any]:
        """Take a voter in again whose file was lost: out of the voters, its state anew, and in again."""
        if name not in self.plan.voters:
            return {"status": "refused", "told": f"no voter of that name is in this instance's file: {name}"}
        now = time.time()
        found = await self.change(lambda value: places.change_voter(value, name, False, self.name, now))
        if isinstance(found, Refusal):
            return self._outcome(found)
        writes = self._seen.get(name, 0) + 1
        held = Held(self._register, name, NONE, NONE, None, writes)
        reply = await self._ask(name, Install(held, False))
        if not isinstance(reply, Accepted):
            told = f"{name} is no voter now, and could not be taken in: "
            return {"status": "refused", "told": told + (reply.why if isinstance(reply, Unable) else "no answer")}
        if problem := await self._hand_body(name, found):
            return {"status": "refused", "told": f"{name} is no voter now, and could not be taken in: {problem}"}
        return self._outcome(await self.change(lambda value: places.change_voter(value, name, True, self.name, now)))

    async def _hand_body(self, name: str, value: Value) -> str:
        """Have a voter that is taken in hold the body of the version in force; why it does not, "" where it does."""
        entry = value.configuration.current
        if entry is None:
            return ""
        body = await self.fetch_body(entry.digest)
        if body is None:
            return f"no voter gave the body of version {entry.number}"
        reply = await self._ask(name, Deposit(entry.digest, body))
        if isinstance(reply, Deposited):
            return ""
        return reply.why if isinstance(reply, Unable) else "no answer"


async def _read(stream: trio.SocketStream) -> bytes:
    data = b""
    while len(data) < FRAME.size or len(data) < FRAME.size + FRAME.unpack_from(data)[0]:
        if len(data) >= FRAME.size and FRAME.unpack_from(data)[0] > FRAME_MOST:
            raise EOFError
        part = await stream.receive_some(65536)
        if not part:
            raise EOFError
        data += part
    return data[FRAME.size :]


async def _write(stream: trio.SocketStream, message: object) -> None:
    data = msgspec.msgpack.encode(message)
    await stream.send_all(FRAME.pack(len(data)) + data)
