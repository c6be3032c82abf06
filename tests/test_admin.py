"""The admin interface: its codec, its listener, the figures, hosts out by hand and settings read again."""

from __future__ import annotations

import json
from typing import Any

import pytest
import trio
from click.testing import CliRunner
from hypothesis import given, strategies as st
from prometheus_client import generate_latest
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test

from oxbowarch.brain import Brain
from oxbowarch.interface import Effect, Entry, JobClass, ListKind, Outcome, Refuse, Report, Request, Send, Settings
from oxbowarch.interface import State, Status
from tests.standins import HOSTS, Platform
from tests.support import CUTS, GARBAGE, pieces, play, steady
from thistleshore import config
from thistleshore.admin import codec
from thistleshore.admin.listener import CALLERS_MOST
from thistleshore.cli import commands
from thistleshore.config.errors import ConfigError
from thistleshore.metrics import Page, Results


def read(parts: list[bytes]) -> codec.Call | str:
    """What a connection that says these parts, and then ends, comes to."""
    reader = codec.LineReader()
    try:
        for part in [part for part in parts if part] + [b""]:
            if (call := reader.feed(part)) is not None:
                return call
    except codec.BadCall as problem:
        return str(problem)
    raise AssertionError("neither a call nor a fault")


@steady
@given(CUTS, st.sampled_from([b"\n", b"\r\n"]))
def test_a_call_is_the_same_in_any_pieces(cuts: list[int], end: bytes) -> None:
    assert read(pieces(b"DETACH s-5be2a07c" + end, cuts)) == codec.Call("DETACH", "s-5be2a07c")


@steady
@given(GARBAGE, CUTS)
def test_garbage_is_a_fault_of_one_line(data: bytes, cuts: list[int]) -> None:
    found = read(pieces(data, cuts))
    assert isinstance(found, codec.Call) or found and "\n" not in found


@pytest.mark.parametrize(
    ("said", "fault"),
    [
        (b"", "nothing was asked"),
        (b"PING", "no end"),
        (b"DETACH s-1", "no end"),
        (b"PING\nPING\n", "one line"),
        (b"x" * 600, "at most"),
        (b"PING \xff\n", "not text"),
        (b"PING \x00\n", "not text"),
        (b"ping\n", "unknown call"),
        (b"\n", "unknown call"),
        (b"DETACH\n", "one ID"),
        (b"DETACH a b\n", "one ID"),
        (b"INFO all\n", "no argument"),
    ],
)
def test_what_is_no_call_is_told_why(said: bytes, fault: str) -> None:
    assert fault in str(read([said]))


def test_calls_are_answered_beside_callers_that_say_nothing() -> None:
    async def scenario(at: Platform) -> None:
        silent = [await trio.open_tcp_stream("127.0.0.1", at.admin) for _ in range(2 * CALLERS_MOST)]
        begun = trio.current_time()
        assert await at.call(b"PING") == b"OK\n" and trio.current_time() - begun < 0.5
        assert await at.call(b"ATTACH nobody") == b"ERR no ticket worker has that ID\n"
        assert await at.call(b"what") == b"ERR unknown call; one of PING, INFO, DETACH, ATTACH is wanted\n"
        at.drain.set()
        await trio.sleep(0.1)
        assert await at.call(b"PING") == b"ERR not ready\n"
        for stream in silent:
            await stream.aclose()

    at = Platform()
    play(at.run, scenario)


def test_the_command_line_asks_and_ends_with_a_status_for_scripts() -> None:
    def run(at: Platform, *args: str) -> tuple[int, str]:
        found = CliRunner().invoke(commands, ["admin", *args, "--address", f"127.0.0.1:{at.admin}"])
        return found.exit_code, found.output

    async def scenario(at: Platform) -> None:
        async def ask(*args: str) -> tuple[int, str]:
            return await trio.to_thread.run_sync(run, at, *args)

        assert await ask("ping") == (0, "")
        assert await ask("detach", "h1", "--json") == (0, '{"ok": true, "reason": ""}\n')
        assert await ask("attach", "nobody") == (1, "no ticket worker has that ID\n")
        assert "ejected: 1\n" in (await ask("info"))[1]
        assert json.loads((await ask("info", "--json"))[1])["discovered"] == 4
        assert (await ask("detach", "a b"))[0] == 2
        at.admin = 1
        assert (await ask("ping"))[0] == 2

    trio.run(Platform().run, scenario)


async def info(at: Platform) -> dict[str, Any]:
    text, end, rest = (await at.call(b"INFO")).split(b"\n")
    assert (end, rest) == (b"END", b"")
    return dict(json.loads(text))


def test_each_stream_is_counted_once_whatever_its_end() -> None:
    async def scenario(at: Platform) -> None:
        assert (await at.submit("seat-search", b"a")).kind == "served"
        assert (await at.submit("pay-out", b"b")).kind == "failed"  # unsafe, and it may have run
        assert (await at.submit("ticket-issue", b"c")).kind == "served"
        with trio.move_on_after(0.05):  # its client goes away
            await at.submit("seat-search", b"d")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(at.submit, "seat-search", b"e")
            await trio.sleep(0.05)
            assert (await info(at))["outstanding"] == 1
        told = await info(at)
        assert told["forwards"] == 5 and told["outstanding"] == 0 and (told["discovered"], told["ejected"]) == (4, 0)
        assert told["results"]["seat-search"] == {"succeeded": 2, "declined": 0, "aborted": 0, "forwards": 3}
        page = generate_latest(Page(Results(lambda: told)).registry).decode()
        assert 'thistleshore_streams_total{class="seat-search",end="succeeded"} 2.0' in page
        assert "thistleshore_discovered 4.0" in page
        assert told["results"]["pay-out"] == {"succeeded": 0, "declined": 0, "aborted": 1, "forwards": 1}
        assert told["results"]["ticket-issue"] == {"succeeded": 1, "declined": 0, "aborted": 0, "forwards": 1}

    at = Platform()
    usual = at.step
    at.step = lambda host, job: "fail" if job == b"b" else usual(host, job)  # type: ignore[method-assign]
    play(at.run, scenario)


def test_a_host_out_by_hand_gets_nothing_until_it_is_called_back_whatever_the_list_says() -> None:
    async def scenario(at: Platform) -> None:
        assert await at.call(b"DETACH h1") == await at.call(b"DETACH h1") == b"OK\n"
        for health in ("leaving", "left", "active"):
            at.tell("h1", health)
            await trio.sleep(0.1)
        for n in range(30):
            await at.submit("seat-search", b"%d" % n)
        assert "h1" not in {host for runs in at.runs.values() for host, _ in runs}
        assert (await info(at))["ejected"] == 1
        assert await at.call(b"ATTACH h1") == b"OK\n"
        for n in range(30, 90):
            await at.submit("seat-search", b"%d" % n)
        assert "h1" in {host for runs in at.runs.values() for host, _ in runs}

    play(Platform().run, scenario)


def test_with_all_hosts_out_a_stream_is_refused_at_once() -> None:
    async def scenario(at: Platform) -> None:
        for host in HOSTS:
            assert await at.call(b"DETACH " + host.encode()) == b"OK\n"
        begun = trio.current_time()
        told = await at.submit("seat-search", b"x")
        assert told.kind == "refused" and told.retry_after == 2.0 and trio.current_time() - begun < 0.1

    play(Platform().run, scenario)


def test_new_settings_hold_from_the_next_stream_and_a_broken_file_changes_nothing() -> None:
    async def scenario(at: Platform) -> None:
        before = at.plan()
        at.lanes = [{**at.lanes[0], "name": "refund", "effect": "fragile"}, *at.lanes[1:]]  # the search is dropped
        at.attempts = 1
        found = await at.reread(before)
        assert (await at.submit("refund", b"a")).kind == "served"
        assert (await at.submit("seat-search", b"b")).kind == "served"  # its clients hear of it later than we
        await trio.sleep(2.0)
        assert (await at.submit("seat-search", b"b")).kind == "failed"
        await at.rereads[0].send(None)
        assert (await at.submit("refund", b"c")).kind == "served"
        told = await info(at)
        assert (told["sighup_applied"], told["sighup_rejected"]) == (1, 1)
        assert told["results"]["refund"]["succeeded"] == 2 and "seat-search" in told["results"]
        at.lanes = at.lanes[1:]
        at.lanes.append({**at.lanes[0], "name": "seat-search", "effect": "retryable"})
        again = await at.reread(found)
        assert again.class_names[:4] == found.class_names == ("seat-search", "ticket-issue", "pay-out", "refund")
        assert (await at.submit("seat-search", b"d")).kind == "served"

    play(Platform().run, scenario)


def _broken(path: str, value: Any = None) -> dict[str, Any]:
    conf = json.loads(json.dumps(Platform().conf()))
    *above, last = path.split(".")
    at: Any = conf
    for step in above:
        at = at[int(step)] if step.isdigit() else at[step]
    if value is None:
        del at[last]
    else:
        at[last] = value
    return dict(conf)


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("settings", None, "settings"),
        ("settings.lanes", None, "settings.lanes"),
        ("settings.tenants", None, "settings.tenants"),
        ("settings.lanes.1.worth", None, "settings.lanes[1].worth"),
        ("settings.lanes.0.giveUp", 0, "settings.lanes[0].giveUp"),
        ("listen", None, "listen"),
        ("settings.lanes.0.giveUp", -1.0, "settings.lanes[0].giveUp"),
        ("settings.lanes.0.name", 3, "lanes[0].name"),
        ("settings.limits.maxAttempts", 0, "settings.limits.maxAttempts"),
        ("settings.limits", None, "settings.limits"),
        ("settings.limits.maxAttempts", "2", "settings.limits.maxAttempts"),
        ("settings.lanes.1.name", "pay-out", "twice"),
        ("settings.lanes.0.effect", "sometimes", "effect"),
        ("settings.limits.connIdle", None, "limits.connIdle"),
    ],
)
def test_a_file_with_one_fault_is_turned_down_and_the_key_is_named(path: str, value: Any, key: str) -> None:
    before = Platform().plan()
    with pytest.raises(ConfigError, match=key.replace("[", r"\[").replace(".", r"\.")):
        config.platform_plan(_broken(path, value), {}, 0.0, before)


def test_figures_in_the_order_of_the_classes_move_with_them() -> None:
    at = Platform()
    info = {"classStretch": [1.0, 2.0, 3.0], "classKind": [-1, 0, -1]}
    first = json.loads(json.dumps(at.conf()))
    first["settings"]["familyInfo"] = info
    before = config.platform_plan(first, {}, 0.0)
    second = json.loads(json.dumps(first))
    second["settings"]["lanes"] = [{**at.lanes[0], "name": "refund"}, at.lanes[1]]
    second["settings"]["familyInfo"] = {"classStretch": [9.0, 2.5], "classKind": [0, -1]}
    after = config.platform_plan(second, {}, 0.0, before)
    assert [rule.stretch for rule in after.settings.classes] == [1.0, 2.5, 3.0, 9.0]
    assert [rule.kinds for rule in after.settings.classes] == [None, None, None, (0,)]
    assert after.http is not None and after.http.routes.classes == {"refund": 3, "ticket-issue": 1}


# -- the module

OLD = JobClass(Effect.SAFE, aim=1.0, give_up=5.0)


def test_an_open_job_keeps_the_rule_it_came_by() -> None:
    def settings(rule: JobClass, attempts: int) -> Settings:
        return Settings(1, 0, (rule,), max_attempts=attempts)

    brain = Brain(settings(OLD, 3), 1, 0.0)
    brain.on_list(ListKind.CACHED, tuple(Entry(b"h%d" % n, State.READY) for n in range(4)), 0.0)
    unsafe = JobClass(Effect.UNSAFE, aim=1.0, give_up=5.0)
    (send,) = brain.on_request(Request(1, 0, 5.0), 0.0)
    brain.on_settings(settings(unsafe, 1), 0.1)
    for attempt in range(2):
        assert isinstance(send, Send)
        (send, *_) = [
            action
            for action in brain.on_outcome(Outcome(1, attempt, send.worker, Status.ERROR, 0.1, False), 0.2)
            if isinstance(action, Send)
        ]
    (fresh,) = [action for action in brain.on_request(Request(2, 0, 5.0), 0.3) if isinstance(action, Send)]
    assert not any(
        isinstance(action, Send)
        for action in brain.on_outcome(Outcome(2, 0, fresh.worker, Status.ERROR, 0.1, False), 0.4)
    )


def test_a_host_called_back_counts_as_cold_and_without_a_past_and_soon_gets_something() -> None:
    brain = Brain(Settings(1, 0, (OLD,), warm_up=10.0, cold_from=0.2), 1, 0.0)
    brain.on_list(ListKind.CACHED, tuple(Entry(b"h%d" % n, State.READY) for n in range(4)), 0.0)
    worker = brain.workers[b"h1"]
    worker.failures, worker.shunned_until = 5, 99.0
    brain.on_ban(b"h1", True, 1.0)
    brain.on_ban(b"h1", False, 2.0)
    assert worker.failures == 0 and brain._warmth(worker, 2.0) == pytest.approx(0.2)
    # The list tells of the restart late: what was sent there since is still out.
    worker.outstanding = 1
    brain.on_list(ListKind.CHANGES, (Entry(b"h1", State.READY, started_at=1.5),), 2.5)
    assert worker.outstanding == 1 and brain._warmth(worker, 2.0) == pytest.approx(0.2)
    sent = []
    for n in range(40):  # eight a second
        at = 2.5 + n / 8
        for action in brain.on_request(Request(n + 1, 0, 5.0), at):
            if isinstance(action, Send):
                sent.append(action.worker)
                brain.on_outcome(Outcome(n + 1, 0, action.worker, Status.OK, 0.1, True, Report(3.0)), at + 0.05)
    assert 0 < sent.count(b"h1") < 10


class Bans(RuleBasedStateMachine):
    """Bans, lists and jobs in any order, against sets of names."""

    names = st.sampled_from([b"a", b"b", b"c"])

    def __init__(self) -> None:
        super().__init__()
        self.brain = Brain(Settings(1, 0, (OLD,)), 1, 0.0)
        self.now, self.number = 0.0, 0
        self.banned: set[bytes] = set()
        self.listed: set[bytes] = set()
        self.open: dict[int, Send] = {}

    @rule(name=names, out=st.booleans())
    def ban(self, name: bytes, out: bool) -> None:
        self.brain.on_ban(name, out, self.now)
        (self.banned.add if out else self.banned.discard)(name)

    @rule(names=st.sets(names))
    def told(self, names: set[bytes]) -> None:
        self.listed = names
        self.brain.on_list(ListKind.FULL, tuple(Entry(name, State.READY) for name in sorted(names)), self.now)

    @rule()
    def ask(self) -> None:
        self.number += 1
        self.now += 0.1
        self._check(self.brain.on_request(Request(self.number, 0, 5.0), self.now))

    @precondition(lambda self: self.open)
    @rule(status=st.sampled_from([Status.OK, Status.ERROR, Status.RESET]))
    def end(self, status: Status) -> None:
        number, send = next(iter(self.open.items()))
        del self.open[number]
        attempt = len(self.brain.jobs[number].attempts) - 1
        self._check(
            self.brain.on_outcome(Outcome(number, attempt, send.worker, status, 0.1, status is Status.OK), self.now)
        )

    def _check(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert action.worker in self.listed - self.banned
                self.open[action.id] = action
            if isinstance(action, Refuse) and self.banned and not self.listed - self.banned:
                assert action.id not in self.brain.jobs

    @invariant()
    def agree(self) -> None:
        assert self.brain.banned == self.banned


def test_bans_hold_in_any_order_of_events() -> None:
    run_state_machine_as_test(Bans, settings=steady)
