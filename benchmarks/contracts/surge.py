"""One member surges to three times its share: what is every other member's service, next to a quiet run?

    python -m benchmarks.contracts.surge [--front http|beanstalkd] [--instances 2] [--seeds 10] [--json]

A discrete-event simulation in virtual time, from seeds: the real decision module, ledger and exchange, hosts with slots
and queues, clients that ask again, and datagrams that come late or never.  Each seed is played quiet and with the
surge, with contracts and with the rates of today's code (`baseline`); arrivals of the other members are the same.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import Any

import numpy as np

from oxbowarch.brain import Brain
from oxbowarch.interface import (
    NEVER_RAN,
    Action,
    AttemptBudget,
    Cancel,
    Effect,
    Entry,
    Fail,
    Group,
    JobClass,
    ListKind,
    Outcome,
    Refuse,
    Report,
    Reports,
    Request,
    Send,
    Settings,
    State,
    Status,
    Timer,
)
from thistleshore.contracts import Agreements, ContractTerms, Ledger, MemberTerms, Retries, ShareKey, pool
from thistleshore.contracts.exchange import Exchange, Terms
from thistleshore.contracts.ledger import STEP

MEMBERS = {
    "ingenzi-coaches": 0.31,
    "akagera-express": 0.20,
    "isimbi-lines": 0.17,
    "kivu-shuttle": 0.08,
    "nyanza-travel": 0.07,
    "rubavu-road": 0.05,
    "huye-coaches": 0.04,
    "muhazi-bus": 0.04,
    "gicumbi-link": 0.04,
}
CLASSES = (
    JobClass(Effect.SAFE, aim=0.4, stretch=2.5, give_up=10.0, late_share=0.2, worth=3.0, kinds=(0,), max_attempts=6),
    JobClass(
        Effect.KEYED,
        Group.CELL,
        7.5,
        aim=0.4,
        stretch=2.0,
        give_up=5.0,
        late_share=0.2,
        worth=10.0,
        kinds=(0,),
        max_attempts=3,
    ),
)
RUNS, MIX = (0.85, 0.43), (0.68, 0.32)  # s that a job of each class runs on average, and its part of the jobs
HOSTS, SLOTS = 12, 4
LOAD = 0.70  # of all slots in a quiet run
SURGE, WARM, LONG, AFTER = 3.0, 10.0, 20.0, 5.0  # times its share; s
CONNECT = 0.2  # s within which a reserve must come
WIRE = 0.002  # s one way to a host
TRIES, AGAIN = 3, 0.3  # of one client, and s after a refusal without advice
RETRIES = Retries(share=0.2, floor=3.0, span=10.0)


@dataclass(frozen=True)
class Plan:
    """One run."""

    seed: int
    front: str = "http"
    instances: int = 1
    contracts: bool = True
    surge: float = 1.0
    loss: float = 0.0  # of datagrams
    cut: tuple[float, float] = (math.inf, math.inf)  # when none arrive
    heavy: float = 1.0  # times the work of member 0's jobs
    gone: tuple[float, int] = (math.inf, 0)  # when so many hosts go
    failing: tuple[float, float, float] = (math.inf, math.inf, 0.0)  # from, to, share of attempts
    warm: float = WARM
    long: float = LONG


@dataclass(slots=True)
class Job:
    """A client's first try, with all that follows from it."""

    number: int
    member: int
    job_class: int
    born: float
    run: float
    tries: int = 0
    earned: float = 0.0
    answers: int = 0  # final answers of the try that is open


@dataclass(slots=True)
class Running:
    """An attempt at a host."""

    node: int
    stream: int
    attempt: int
    job: Job
    sent: float
    cancelled: bool = False
    begun: bool = False


@dataclass(slots=True)
class Host:
    name: bytes
    cell: int
    slots: int = SLOTS
    free: int = -1
    up: bool = True
    queue: deque[Running] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.free = self.slots

    def report(self) -> Report:
        return Report(float(self.free), float(len(self.queue)), float(self.slots - self.free + len(self.queue)))


class Node:
    """One dispatcher: module, ledger and exchange, as the broker ties them."""

    def __init__(self, world: World, number: int) -> None:
        plan, self.world, self.number = world.plan, world, number
        rate = world.rate
        self.brain = Brain(
            Settings(
                balancers=plan.instances,
                zone=0,
                classes=CLASSES,
                reports=Reports.WITH_ANSWERS,
                can_cancel=True,
                limits=tuple(rate * share for share in MEMBERS.values()),
                max_attempts=6,
                max_retry_after=2.0,
                tells_start=plan.front == "http",
                hedging=plan.front == "http",
                budget=None if plan.contracts else AttemptBudget(10.0, 0.2, 10.0),
            ),
            plan.seed * 7 + number,
            0.0,
        )
        self.ledger: Ledger | None = None
        self.exchange: Exchange | None = None
        if plan.contracts:
            members = tuple(MemberTerms(name, share, retries=RETRIES) for name, share in MEMBERS.items())
            contracts = tuple(
                ContractTerms(str(n), 0, rule.aim, rule.stretch, RUNS[n]) for n, rule in enumerate(CLASSES)
            )
            agreements = Agreements(members, contracts, instances=plan.instances)
            shares = [ShareKey(m, c) for m in range(len(members)) for c in range(len(contracts))]
            if plan.instances > 1:
                self.exchange = Exchange(number, plan.instances, shares, Terms(), 1 + number, 0.0)
            part: Callable[[ShareKey], float] = lambda share: 1.0 / plan.instances  # noqa: E731
            if self.exchange is not None:
                exchange = self.exchange
                part = lambda share: exchange.part(share, world.now)  # noqa: E731
            self.ledger = Ledger(agreements, 0.0, self.slots, self.room, part)
        self.jobs: dict[int, Job] = {}
        self.out: Counter[int] = Counter()
        self.over: set[int] = set()
        self.asks: dict[int, Request] = {}
        self.opened: dict[int, float] = {}
        self.looking = -1.0
        self.attempts: dict[tuple[int, int], Running] = {}
        self.started: dict[tuple[int, int], float] = {}
        self.count: Counter[int] = Counter()

    def slots(self) -> list[float]:
        return pool.slots(self.brain.workers.values(), 1, self.world.now)

    def room(self) -> list[float]:
        return pool.free_slots(self.brain.workers.values(), 1, self.world.now)

    def open(self, job: Job, repeat: bool) -> None:
        world, now = self.world, self.world.now
        number = next(world.numbers)
        self.jobs[number] = job
        job.answers = 0
        self.opened[number] = now
        rule = CLASSES[job.job_class]
        ask = Request(number, job.job_class, rule.give_up, job.member, repeat=repeat)
        if self.ledger is not None:
            name = list(MEMBERS)[job.member]
            stamp, budget = self.ledger.on_open(number, job.job_class, name, 200, repeat, now)
            self.world.taken += not repeat
            self.asks[number] = ask._replace(beyond=stamp.beyond, rank=stamp.rank, retry_budget=budget)
            self.offers()
            return
        self.carry_out(self.brain.on_request(ask, now))

    def carry_out(self, actions: Sequence[Action]) -> None:
        self._actions(actions)
        if self.ledger is not None:
            self.offers()

    def offers(self) -> None:
        """Hand the module what the ledger offers, and look again while something waits."""
        assert self.ledger is not None
        now = self.world.now
        while due := self.ledger.due(now):
            for offer in due:
                ask = self.asks.pop(offer.stream)
                rule = CLASSES[ask.job_class]
                left = ask._replace(
                    budget=self.opened.pop(offer.stream) + rule.give_up - now, reply_capacity=offer.spare
                )
                self._actions(self.brain.on_request(left, now))
        if self.ledger.waiting and self.looking <= now:
            self.looking = now + STEP
            self.world.at(self.looking, self.offers)

    def _actions(self, actions: Sequence[Action]) -> None:
        world = self.world
        for action in actions:
            if isinstance(action, Send):
                self.send(action)
            elif isinstance(action, Timer):
                world.at(action.at, lambda token=action.token: self.carry_out(self.brain.on_timer(token, world.now)))
            elif isinstance(action, Refuse | Fail):
                kind = "refused" if isinstance(action, Refuse) else "failed"
                self.answer(action.id, kind, getattr(action, "retry_after", 0.0))
            elif isinstance(action, Cancel):
                running = self.attempts.get((action.id, action.attempt))
                if running is not None:
                    running.cancelled = True
                    if not running.begun or world.plan.front == "beanstalkd":
                        self.world.later(WIRE, lambda r=running: world.dropped(r))
                    else:  # work goes on after a cancel; nobody waits for it
                        world.later(WIRE, lambda r=running: self.ended(r, Status.CANCELLED, None))

    def send(self, action: Send) -> None:
        job, number = self.jobs[action.id], self.count[action.id]
        self.count[action.id] += 1
        self.out[action.id] += 1
        running = Running(self.number, action.id, number, job, self.world.now)
        self.attempts[action.id, number] = running
        self.world.upstream += 1
        if self.ledger is not None:
            self.ledger.on_sent(action.id, self.world.now)
        host = self.world.fleets[self.number][action.worker]
        self.world.later(WIRE, lambda: self.world.arrive(host, running))

    def heard(self, data: bytes) -> None:
        """A peer's datagram: leases, and what it has out, which is news of hosts as good as their own."""
        assert self.exchange is not None
        now = self.world.now
        if self.exchange.on_datagram(data, now):
            for name, worker in self.brain.workers.items():
                report = self.exchange.report(name, worker.slots, worker.outstanding, now)
                if report is not None:
                    self.carry_out(self.brain.on_report(name, report, now))

    def reported(self, host: Host) -> None:
        self.carry_out(self.brain.on_report(host.name, host.report(), self.world.now))

    def started_at(self, running: Running) -> None:
        self.started[running.stream, running.attempt] = self.world.now
        if self.world.plan.front == "http":
            self.carry_out(self.brain.on_started(running.stream, running.attempt, self.world.now))

    def ended(self, running: Running, status: Status, host: Host | None) -> None:
        key = running.stream, running.attempt
        if self.attempts.pop(key, None) is None:
            return
        now, stream = self.world.now, running.stream
        self.out[stream] -= 1
        started = self.started.pop(key, None)
        if self.ledger is not None:
            worked = 0.0 if status in NEVER_RAN or started is None else now - started
            self.ledger.on_attempt_ended(stream, worked, now)
        if status is Status.OK and stream not in self.over:
            self.finish(stream, "served", 0.0)
        report = host.report() if host is not None else None
        where = host.name if host is not None else self.where(running)
        told = Outcome(stream, running.attempt, where, status, now - running.sent, stream in self.over, report)
        self.carry_out(self.brain.on_outcome(told, now))
        self.forget(stream)

    def where(self, running: Running) -> bytes:
        job = self.brain.jobs.get(running.stream)
        return job.attempts[running.attempt].worker.id if job is not None else self.world.hosts[0].name

    def answer(self, stream: int, kind: str, advice: float) -> None:
        if stream not in self.over and stream in self.jobs:
            self.finish(stream, kind, advice)
            self.forget(stream)

    def finish(self, stream: int, kind: str, advice: float) -> None:
        self.over.add(stream)
        if self.ledger is not None:
            self.ledger.on_answered(stream, kind, self.world.now)
        self.world.answered(self, self.jobs[stream], kind, advice)

    def forget(self, stream: int) -> None:
        if stream in self.over and not self.out[stream] and stream in self.jobs:
            del self.jobs[stream]
            self.over.discard(stream)
            if self.ledger is not None:
                self.ledger.on_forgotten(stream)


class World:
    """The whole of one run, in virtual time."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.now = plan, 0.0
        self.random = np.random.default_rng((plan.seed, 99))
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.order, self.numbers = count(), count(1)
        work = sum(part * run for part, run in zip(MIX, RUNS, strict=True))
        self.rate = LOAD * HOSTS * SLOTS / work  # jobs a second of all members together
        # Over HTTP all dispatchers share a host's slots; a connection that reserves, which is a slot, has one of them.
        apart = plan.front == "beanstalkd"
        fleets = [
            {
                b"h%02d" % n: Host(b"h%02d" % n, n // 3, SLOTS // plan.instances if apart else SLOTS)
                for n in range(HOSTS)
            }
            for _ in range(plan.instances if apart else 1)
        ]
        self.fleets = [fleets[n % len(fleets)] for n in range(plan.instances)]
        self.hosts = [host for fleet in fleets for host in fleet.values()]
        self.upstream = 0
        self.taken = 0  # streams that are not marked as repeats
        self.first_tries = 0
        self.answers: Counter[str] = Counter()
        self.asked: dict[int, float] = defaultdict(float)
        self.earned: dict[int, float] = defaultdict(float)
        self.most_parts = 0.0
        self.first: list[tuple[float, float]] = []  # what instance 0 has of that member
        self.nodes = [Node(self, n) for n in range(plan.instances)]
        lean = np.random.default_rng((plan.seed, 5))
        self.lean = [float(lean.uniform(0.3, 0.7)) for _ in MEMBERS]  # the part of a member's traffic at instance 0

    # -- time -----------------------------------------------------------------------------------

    def at(self, when: float, act: Callable[[], object]) -> None:
        heappush(self.events, (max(when, self.now), next(self.order), act))

    def later(self, wait: float, act: Callable[[], object]) -> None:
        self.at(self.now + wait, act)

    def run(self) -> World:
        plan = self.plan
        entries = tuple(Entry(name, State.READY, cell=host.cell) for name, host in self.fleets[0].items())
        for node in self.nodes:
            node.carry_out(node.brain.on_list(ListKind.FULL, entries, 0.0))
        self.arrivals()
        if plan.instances > 1 and plan.contracts:
            for node in self.nodes:
                self.at(0.01 * node.number, lambda node=node: self.beat(node))
        if plan.gone[1]:
            self.at(plan.gone[0], self.lose)
        end = plan.warm + plan.long + AFTER + 15.0
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heappop(self.events)
            act()
        return self

    def arrivals(self) -> None:
        plan, end = self.plan, self.plan.warm + self.plan.long + AFTER
        for member, share in enumerate(MEMBERS.values()):
            for job_class, part in enumerate(MIX):
                at = np.random.default_rng((plan.seed, member, job_class))
                self.stream(at, member, job_class, self.rate * share * part, 0.0, end)
                if member == 0 and plan.surge > 1.0:  # on top, so that what comes anyway is the same
                    more = np.random.default_rng((plan.seed, 77, job_class))
                    rate = self.rate * share * part * (plan.surge - 1.0)
                    self.stream(more, member, job_class, rate, plan.warm, plan.warm + plan.long)

    def stream(
        self, at: np.random.Generator, member: int, job_class: int, rate: float, begin: float, end: float
    ) -> None:
        heavy = self.plan.heavy if member == 0 else 1.0
        when, sigma = begin + float(at.exponential(heavy / rate)), 0.5
        while when < end:
            run = float(at.lognormal(math.log(RUNS[job_class] * heavy) - sigma**2 / 2, sigma))
            job = Job(next(self.numbers), member, job_class, when, run)
            first = self.plan.instances == 1 or at.random() < self.lean[member]
            node = 0 if first else 1 + int(at.integers(len(self.nodes) - 1))
            self.at(when, lambda job=job, node=node: self.ask(job, self.nodes[node]))
            when += float(at.exponential(heavy / rate))

    # -- clients ----------------------------------------------------------------------------------

    @property
    def window(self) -> tuple[float, float]:
        return self.plan.warm, self.plan.warm + self.plan.long

    def ask(self, job: Job, node: Node) -> None:
        if not job.tries:
            self.first_tries += 1
            if self.window[0] <= job.born < self.window[1]:
                self.asked[job.member] += CLASSES[job.job_class].worth
        job.tries += 1
        node.open(job, repeat=job.tries > 1 and job.member % 2 == 0)  # half of the members mark their repeats

    def answered(self, node: Node, job: Job, kind: str, advice: float) -> None:
        self.answers[kind] += 1
        job.answers += 1
        if job.answers > 1:
            raise AssertionError("a second final answer")
        if kind == "served":
            rule = CLASSES[job.job_class]
            fine = self.now - job.born <= rule.aim + rule.stretch * job.run
            job.earned = rule.worth * (1.0 if fine else rule.late_share)
            if self.window[0] <= job.born < self.window[1]:
                self.earned[job.member] += job.earned
        elif kind == "refused" and job.tries < TRIES:
            self.later(advice or AGAIN, lambda: self.ask(job, node))

    # -- hosts --------------------------------------------------------------------------------------

    def arrive(self, host: Host, running: Running) -> None:
        if not host.up:
            self.reply(running, Status.CONNECT_FAILED, None)
        elif host.free:
            self.begin(host, running)
        else:
            host.queue.append(running)
            if self.plan.front == "beanstalkd":  # no reserve waits there: one may come in a moment
                self.later(CONNECT, lambda: self.turned_away(host, running))

    def turned_away(self, host: Host, running: Running) -> None:
        if running in host.queue:
            host.queue.remove(running)
            self.reply(running, Status.FULL, host)

    def begin(self, host: Host, running: Running) -> None:
        host.free -= 1
        running.begun = True
        node = self.nodes[running.node]
        self.later(WIRE, lambda: node.started_at(running))
        begin, end, share = self.plan.failing
        if begin <= self.now < end and self.random.random() < share:
            self.later(0.02, lambda: self.finish(host, running, Status.ERROR))
        else:
            self.later(running.job.run, lambda: self.finish(host, running, Status.OK))

    def finish(self, host: Host, running: Running, status: Status) -> None:
        if not host.up:
            return self.reply(running, Status.RESET, None)
        host.free += 1
        while host.queue and host.free:
            waiting = host.queue.popleft()
            if not waiting.cancelled:
                self.begin(host, waiting)
        self.reply(running, status, host)
        if self.plan.front == "beanstalkd":
            self.later(WIRE, lambda: self.nodes[running.node].reported(host))
        return None

    def reply(self, running: Running, status: Status, host: Host | None) -> None:
        node = self.nodes[running.node]
        self.later(WIRE, lambda: node.ended(running, Status.CANCELLED if running.cancelled else status, host))

    def dropped(self, running: Running) -> None:
        for host in self.hosts:
            if running in host.queue:
                host.queue.remove(running)
        self.nodes[running.node].ended(running, Status.CANCELLED, None)

    def lose(self) -> None:
        """Hosts go in the midst of it, with what they run."""
        lost = [host for host in self.hosts if int(host.name[1:]) < self.plan.gone[1]]
        for host in lost:
            host.up = False
            for running in host.queue:
                self.reply(running, Status.RESET, None)
            host.queue.clear()
        entries = tuple(Entry(host.name, State.GONE, cell=host.cell) for host in lost[: self.plan.gone[1]])
        for node in self.nodes:
            self.later(1.0, lambda node=node: node.carry_out(node.brain.on_list(ListKind.CHANGES, entries, self.now)))

    # -- datagrams ------------------------------------------------------------------------------------

    def beat(self, node: Node) -> None:
        assert node.exchange is not None and node.ledger is not None
        node.exchange.on_demand(node.ledger.demands(self.now))
        if self.plan.front == "http":  # elsewhere a host's slots are one dispatcher's
            node.exchange.on_attempts_in_flight(
                {name: worker.outstanding for name, worker in node.brain.workers.items()}
            )
        for peer, data in node.exchange.due(self.now):
            cut = self.plan.cut[0] <= self.now < self.plan.cut[1]
            if not cut and self.random.random() >= self.plan.loss:
                wait = float(self.random.uniform(0.001, 0.024))
                self.later(wait, lambda peer=peer, data=data: self.nodes[peer].heard(data))
        if node.number == 0:
            share = ShareKey(1 + int(np.argmax(self.lean[1:])), 0)  # of the member that leans most on instance 0
            parts = sum(n.exchange.part(share, self.now) for n in self.nodes if n.exchange is not None)
            self.most_parts = max(self.most_parts, parts)
            assert self.nodes[0].exchange is not None
            self.first.append((self.now, self.nodes[0].exchange.part(share, self.now)))
        self.later(node.exchange.terms.message_interval, lambda: self.beat(node))


def service(world: World) -> dict[int, float]:
    """Worth earned in time over worth asked for, of each member, over the surge."""
    return {member: world.earned[member] / world.asked[member] for member in world.asked if world.asked[member]}


def pair(seed: int, front: str, instances: int, contracts: bool, **more: Any) -> dict[str, Any]:
    """One seed, quiet and with the surge: the most that any other member lost, and what the surging one got."""
    quiet = World(Plan(seed, front, instances, contracts, **more)).run()
    surge = World(Plan(seed, front, instances, contracts, surge=SURGE, **more)).run()
    before, after = service(quiet), service(surge)
    lost = {member: 1.0 - after[member] / before[member] for member in before if member}
    return {
        "seed": seed,
        "quiet": round(float(np.mean(list(before.values()))), 4),
        "worst_loss": round(max(lost.values()), 4),
        "mean_loss": round(float(np.mean(list(lost.values()))), 4),
        "surging_got": round(surge.earned[0] / quiet.asked[0], 3),  # in worth asked for by its share
        "parts": round(surge.most_parts, 4),
    }


def shared(loss: float, cut: bool, seeds: int) -> dict[str, Any]:
    """Two instances whose messages are lost: the most that parts summed to, and how parts fared."""
    rows = []
    for seed in range(1, seeds + 1):
        when = (WARM + 3.0, WARM + 13.0) if cut else (math.inf, math.inf)
        quiet = World(Plan(seed, instances=2)).run()
        world = World(Plan(seed, instances=2, surge=SURGE, loss=loss, cut=when)).run()
        before, after = service(quiet), service(world)
        lost = max(1.0 - after[member] / before[member] for member in before if member)
        row = {"seed": seed, "most_parts": round(world.most_parts, 4), "worst_loss": round(lost, 4)}
        if cut:
            settled = [part for at, part in world.first if when[1] + 3.0 <= at < when[1] + 6.0]
            goal = float(np.mean(settled))
            equal = [part for at, part in world.first if when[0] + 1.2 <= at < when[1]]
            back = next(at for at, part in world.first if at >= when[1] and abs(part - goal) <= 0.05)
            row |= {
                "part_in_the_cut": round(float(np.mean(equal)), 3),
                "part_after": round(goal, 3),
                "back_after": round(back - when[1], 2),
            }
        rows.append(row)
    most = {
        key: max(row[key] for row in rows) for key in ("most_parts", "worst_loss", *(["back_after"] if cut else []))
    }
    return {**most, "seeds": rows}


def storm(seeds: int) -> dict[str, Any]:
    """Hosts fail four attempts of five for 10 s: upstream requests for each first try, and the budgets' bound."""
    rows = []
    for seed in range(1, seeds + 1):
        row: dict[str, Any] = {"seed": seed}
        for name, contracts in (("contracts", True), ("baseline", False)):
            world = World(Plan(seed, contracts=contracts, failing=(WARM, WARM + 10.0, 0.8))).run()
            row[name] = round(world.upstream / world.first_tries, 3)
            row[f"{name}_answers"] = dict(world.answers)
            if contracts:
                # Each member's account: its floor anew in each span, and its share of what is not marked as a repeat.
                # A client that asks again without a mark has asked for the first time, as far as can be told.
                spans = (WARM + LONG + AFTER + 15.0) / RETRIES.span
                most = (1 + RETRIES.share) * world.taken + len(MEMBERS) * RETRIES.floor * spans
                row |= {"by_taken": round(world.upstream / world.taken, 3), "bound": round(most / world.taken, 3)}
        rows.append(row)
    worst = {name: max(row[name] for row in rows) for name in ("contracts", "baseline", "by_taken")}
    return {**worst, "bound": min(row["bound"] for row in rows), "seeds": rows}


def odd(seeds: int, **more: Any) -> dict[str, Any]:
    """A hard day with the surge, contracts next to today's code: mean service of the other members."""
    told: dict[str, Any] = {}
    for name, contracts in (("contracts", True), ("baseline", False)):
        plans = [Plan(seed, contracts=contracts, surge=SURGE, **more) for seed in range(1, seeds + 1)]
        found = [service(World(plan).run()) for plan in plans]
        others = [value for row in found for member, value in row.items() if member]
        told[name] = {"mean": round(float(np.mean(others)), 4), "least": round(min(others), 4)}
    return told


def hard_days(seeds: int) -> dict[str, Any]:
    return {
        "half_of_the_messages_lost": shared(0.5, False, seeds),
        "messages_cut_for_10_s": shared(0.0, True, seeds),
        "retry_storm": storm(seeds),
        "half_of_the_hosts_go_in_the_surge": odd(seeds, gone=(WARM + 5.0, HOSTS // 2)),
        "jobs_of_the_surging_member_20_times_heavier": odd(seeds, heavy=20.0),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--front", choices=("http", "beanstalkd"), default="http")
    parser.add_argument("--instances", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--hard", action="store_true", help="lost messages, a cut, a storm, lost hosts, heavy jobs")
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    if asked.hard:
        print(json.dumps(hard_days(asked.seeds), indent=None if asked.json else 1))
        return 0
    rows: dict[str, list[dict[str, Any]]] = {}
    for name, contracts in (("contracts", True), ("baseline", False)):
        rows[name] = [pair(seed, asked.front, asked.instances, contracts) for seed in range(1, asked.seeds + 1)]
    told: dict[str, Any] = {"front": asked.front, "instances": asked.instances}
    for name, found in rows.items():
        got, mean = ([row[key] for row in found] for key in ("surging_got", "mean_loss"))
        worst = max(row["worst_loss"] for row in found)
        told[name] = {
            "worst_loss": worst,
            "mean_loss": round(float(np.mean(mean)), 4),
            "surging_got": round(float(np.mean(got)), 3),
            "seeds": found,
        }
    if asked.json:
        print(json.dumps(told))
    else:
        for name, found in rows.items():
            for row in found:
                print(f"{name:10} {row}")
    return 0 if told["contracts"]["worst_loss"] <= 0.02 else 1


if __name__ == "__main__":
    sys.exit(main())
