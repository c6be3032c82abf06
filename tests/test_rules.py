"""The rules, the further ones among them, checked on the actions by bookkeeping of the test's own."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings as runs, strategies as st

from oxbowarch.brain import Brain
from oxbowarch.interface import (
    AttemptBudget, Cancel, Effect, Entry, Fail, Group, JobClass, ListKind, Note, Outcome, Refuse, Report, Reports,
    Request, Send, Settings, State, Status, Timer,
)  # fmt: skip

PROVES_NOT_RUN = {Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT}
CLASSES = (
    JobClass(Effect.SAFE, aim=0.3, give_up=3.0),
    JobClass(Effect.KEYED, Group.ALL, repeat_window=1.0, aim=0.3),
    JobClass(Effect.KEYED, Group.ZONE, repeat_window=1.0, aim=0.3),
    JobClass(Effect.KEYED, Group.CELL, repeat_window=1.0, aim=0.3),
    JobClass(Effect.UNSAFE, aim=0.3),
    JobClass(Effect.UNSAFE, aim=0.3, kinds=(1,)),
    JobClass(Effect.SAFE, aim=0.3, zones=(1,)),
    JobClass(Effect.KEYED, Group.CELL, repeat_window=1.0, aim=0.3, kinds=(0, 2), zones=(0,)),
)
BUDGET = AttemptBudget(free=1.0, share=0.3, span=1.0)
TICK = 0.005
HOLD_UP = 0.15  # s, the longest that a dispatcher may be held up between a look at its clock and a write


def name(n: int) -> bytes:
    return bytes((10, 0, 0, n, 27, 88))


def place(n: int) -> Entry:
    return Entry(name(n), State.READY, zone=n % 2, cell=n // 2, kind=n % 3)


class Watchman:
    """Plays the world around one Brain and keeps books of what the rules allow."""

    def __init__(
        self, seed: int, copies: bool, telling: bool, proves: bool = True, budget: AttemptBudget | None = None
    ) -> None:
        self.copies, self.budget = copies, budget
        self.unproven = set() if proves else {Status.FULL}
        self.rules = Settings(
            balancers=3 if telling else 1, zone=0, classes=CLASSES, limits=(2.0, 50.0), can_cancel=True,
            hedging=copies, reports=Reports.WITH_ANSWERS, shares_notes=telling, max_attempts=4,
            tells_start=True, tick=TICK, full_never_ran=proves, budget=budget,
        )  # fmt: skip
        self.brain = Brain(self.rules, seed, 0.0)
        self.now = 0.0
        self.ids = itertools.count(1)
        self.open: dict[int, tuple[int, float]] = {}  # request: class, deadline
        self.attempts: dict[int, list[dict]] = {}
        self.timers: list[tuple[float, int]] = []
        self.entries = {n: place(n) for n in range(6)}
        self.taken: list[float] = []
        self.further: list[tuple[float, int, int]] = []
        self.take(self.brain.on_list(ListKind.CACHED, tuple(self.entries.values()), 0.0))

    def out(self) -> list[tuple[int, int]]:
        return [(r, n) for r, tries in self.attempts.items() for n, a in enumerate(tries) if a["out"]]

    def ran(self, request: int) -> list[dict]:
        return [a for a in self.attempts[request] if a["may"]]

    def take(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse | Fail):
                assert action.id in self.open, "a second answer"
                job_class = CLASSES[self.open.pop(action.id)[0]]
                if isinstance(action, Refuse) and self.ran(action.id):
                    all_drop = job_class.effect is Effect.KEYED and job_class.group is Group.ALL
                    assert job_class.effect is Effect.SAFE or all_drop, "refused though it may have run"
            elif isinstance(action, Timer):
                assert action.at > self.now - 1e-9
                self.timers.append((action.at, action.token))
            elif isinstance(action, Cancel):
                assert action.attempt < len(self.attempts[action.id])

    def check_send(self, action: Send) -> None:
        assert action.id in self.open, "sent after its end"
        number, deadline = self.open[action.id]
        rule, tries, target = CLASSES[number], self.attempts[action.id], self.entries[action.worker[3]]
        assert target.state is State.READY, "sent to a worker that drains or is gone"
        assert rule.kinds is None or target.kind in rule.kinds, "sent to a kind that is not open to the class"
        assert rule.zones is None or target.zone in rule.zones, "sent to a zone that is not open to the class"
        assert len(tries) < self.rules.max_attempts and self.now < deadline
        if not self.copies:
            assert not any(a["out"] for a in tries), "two attempts out"
        before = self.ran(action.id)
        if before and rule.effect is Effect.UNSAFE:
            raise AssertionError("an unsafe job sent again though it may have run")
        if before and rule.effect is Effect.KEYED:
            first = before[0]["entry"]
            closes = before[0]["at"] + rule.repeat_window - HOLD_UP
            assert self.now <= closes + 1e-9 and action.not_after <= closes + 1e-9
            if rule.group is not Group.ALL:
                assert target.zone == first.zone
            if rule.group is Group.CELL:
                assert target.cell == first.cell
        if tries and self.budget:
            self.further.append((self.now, action.id, len(tries)))
            since = self.now - self.budget.span
            used = sum(at >= since for at, _, _ in self.further)
            earned = self.budget.share * sum(at > since for at in self.taken)
            assert used <= self.budget.free + earned, "further attempts beyond the budget"
        tries.append({"worker": action.worker[3], "entry": target, "at": self.now, "out": True, "may": True})

    def check_prompt(self, slack: float) -> None:
        """What can never be sent again is answered at once, not held."""
        for request, (number, _) in self.open.items():
            rule, tries, ran = CLASSES[number], self.attempts[request], self.ran(request)
            if any(a["out"] for a in tries):
                continue
            assert len(tries) < self.rules.max_attempts, "held with its attempts used up"
            assert not (ran and rule.effect is Effect.UNSAFE), "held though it may have run"
            if ran and rule.effect is Effect.KEYED:
                assert self.now - ran[0]["at"] <= rule.repeat_window + slack, "held beyond its window"

    def pass_time(self, step: float) -> None:
        """Timers and deadlines fall due in order; at a client's deadline its attempts time out."""
        end = self.now + step
        while True:
            due = [t for t, _ in self.timers if t <= end] + [d for _, d in self.open.values() if d <= end]
            if not due:
                break
            self.now = max(self.now, min(due))
            fired = [t for t in self.timers if t[0] <= self.now]
            self.timers = [t for t in self.timers if t[0] > self.now]
            for _, token in fired:
                self.take(self.brain.on_timer(token, self.now))
            self.check_prompt(slack=0.06)  # its next look for a worker is at most a step away
            for request in [r for r, (_, d) in self.open.items() if d <= self.now]:
                for number, attempt in enumerate(self.attempts[request]):
                    if attempt["out"]:
                        self.end(request, number, Status.TIMEOUT)
                assert request not in self.open, "no answer by the deadline"
        self.now = end

    def end(self, request: int, number: int, status: Status) -> None:
        attempt = self.attempts[request][number]
        attempt["out"], attempt["may"] = False, status not in PROVES_NOT_RUN - self.unproven
        if status is Status.NOT_SENT:
            self.further = [f for f in self.further if f[1:] != (request, number)]
        if status is Status.OK:
            self.open.pop(request, None)
        worker = name(attempt["worker"])
        closed = request not in self.open
        report = Report(2.0 if number % 2 else 0.0, 1.0, None)
        self.take(self.brain.on_outcome(Outcome(request, number, worker, status, 0.1, closed, report), self.now))
        self.check_prompt(slack=0.06)

    def ask(self, job_class: int, tenant: int, key: int, budget: float) -> None:
        request = next(self.ids)
        self.open[request] = (job_class, self.now + budget)
        self.attempts[request] = []
        self.taken.append(self.now)
        self.take(self.brain.on_request(Request(request, job_class, budget, tenant, key), self.now))

    def step(self, kind: int, a: int, b: int) -> None:
        out = self.out()
        if kind <= 2:
            self.ask(a % len(CLASSES), b % 2, a % 4, (0.2, 1.0, 3.0)[b % 3])
        elif kind <= 5 and out:
            request, number = out[a % len(out)]
            self.end(request, number, list(Status)[b % len(Status)])
        elif kind == 6:
            notes = (Note(place(a % 7).worker, b % 5, (None, 1.5, 0.0)[b % 3], b % 4 == 0),)
            self.take(self.brain.on_notes(a % 3, notes, self.now))
        elif kind == 7:
            number = a % 6
            entry = place(number)._replace(state=list(State)[b % 3], started_at=self.now if b % 2 else 0.0)
            if b >= 40:  # the same name, now another machine elsewhere
                entry = entry._replace(zone=b % 2, kind=b % 3)
            self.entries[number] = entry
            self.take(self.brain.on_list(ListKind.CHANGES, (entry,), self.now))
        elif kind == 8 and self.open:
            request = sorted(self.open)[a % len(self.open)]
            del self.open[request]
            self.take(self.brain.on_withdrawn(request, self.now))
        else:
            self.pass_time((0.001, 0.02, 0.3, 1.5)[a % 4])

    def finish(self) -> None:
        self.pass_time(10.0)
        assert not self.open, "a request was lost"
        for request, number in self.out():
            self.end(request, number, Status.CANCELLED)
        assert not self.brain.jobs and not self.brain.queued


STEPS = st.lists(st.tuples(st.integers(0, 10), st.integers(0, 59), st.integers(0, 59)), max_size=80)


@runs(derandomize=True, deadline=None, max_examples=800)
@given(STEPS, st.integers(0, 5), st.booleans(), st.booleans(), st.booleans(), st.sampled_from([None, BUDGET]))
def test_rules_hold_under_any_events(
    steps: list, seed: int, copies: bool, telling: bool, proves: bool, budget: AttemptBudget | None
) -> None:
    world = Watchman(seed, copies, telling, proves, budget)
    for kind, a, b in steps:
        world.step(kind, a, b)
    world.finish()


@pytest.mark.parametrize("copies", [False, True])
@pytest.mark.parametrize("status", [s for s in Status if s is not Status.OK])
@pytest.mark.parametrize("job_class", range(len(CLASSES)))
def test_each_class_after_each_outcome(job_class: int, status: Status, copies: bool) -> None:
    world = Watchman(3, copies, False)
    world.ask(job_class, 1, 0, 3.0)
    for _ in range(8):
        for request, number in world.out():
            world.end(request, number, status)
        world.pass_time(0.1)
    attempts = len(world.attempts[1])
    if status in PROVES_NOT_RUN or CLASSES[job_class].effect is Effect.SAFE:
        assert attempts > 1
    if status not in PROVES_NOT_RUN and CLASSES[job_class].effect is Effect.UNSAFE:
        assert attempts == 1
    world.finish()


def test_full_without_proof_ends_an_unsafe_job_as_failed_at_once() -> None:
    world = Watchman(3, copies=True, telling=False, proves=False)
    world.ask(4, 1, 0, 3.0)
    world.end(1, 0, Status.FULL)
    assert 1 not in world.open and len(world.attempts[1]) == 1


def test_full_without_proof_keeps_a_keyed_job_in_its_zone() -> None:
    world = Watchman(3, copies=False, telling=False, proves=False)
    world.ask(2, 1, 0, 3.0)
    zone = world.attempts[1][0]["entry"].zone
    for number in (n for n, entry in list(world.entries.items()) if entry.zone == zone):
        world.entries[number] = place(number)._replace(state=State.GONE)
        world.take(world.brain.on_list(ListKind.CHANGES, (world.entries[number],), 0.0))
    world.end(1, 0, Status.FULL)
    world.pass_time(0.2)
    assert len(world.attempts[1]) == 1 and 1 in world.open
    world.finish()


def test_a_held_job_is_answered_once_its_window_has_passed() -> None:
    keyed = JobClass(Effect.KEYED, Group.ZONE, repeat_window=0.1 + HOLD_UP, aim=2.0)
    brain = Brain(Settings(balancers=1, zone=0, classes=(keyed,), full_never_ran=False), 1, 0.0)
    brain.on_list(ListKind.CACHED, (place(0),), 0.0)
    (send,) = [a for a in brain.on_request(Request(1, 0, 5.0), 0.0) if isinstance(a, Send)]
    brain.on_outcome(Outcome(1, 0, send.worker, Status.FULL, 0.0, False), 0.0)
    now, looks = 0.0, [0]
    while looks and now < 1.0:
        now += 0.05
        actions = brain.on_timer(1 * 4 + 1, now)
        looks = [a for a in actions if isinstance(a, Timer)]
    assert actions == [Fail(1)] and now < 0.2


def test_further_attempts_stay_in_their_budget_and_come_back_with_the_window() -> None:
    world = Watchman(3, copies=False, telling=False, budget=BUDGET)
    for request in range(1, 5):
        world.ask(0, 9, 0, 3.0)
        world.end(request, 0, Status.FULL)
    assert len(world.further) == 2  # one is free, and four requests earn 1.2
    world.pass_time(1.1)
    world.ask(0, 9, 0, 3.0)
    world.end(5, 0, Status.FULL)
    assert len(world.attempts[5]) == 2


def test_a_bound_class_waits_for_its_own_workers() -> None:
    world = Watchman(3, copies=False, telling=False)
    for number in (1, 4):
        world.entries[number] = place(number)._replace(state=State.GONE)
        world.take(world.brain.on_list(ListKind.CHANGES, (world.entries[number],), 0.0))
    world.ask(5, 1, 0, 3.0)
    assert not world.attempts[1] and 1 in world.open
    world.entries[4] = place(4)
    world.take(world.brain.on_list(ListKind.CHANGES, (place(4),), 0.0))
    world.pass_time(0.1)
    assert [a["worker"] for a in world.attempts[1]] == [4]
