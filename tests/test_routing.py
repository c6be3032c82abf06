"""The route table: routes of streams on both fronts, errors at load, and tables replaced under load."""

from __future__ import annotations

import signal
import tomllib
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import trio

from tests.standins import CONTRACTS, Beanstalkd, Http, World
from tests.support import ROOT, free_port, play, program, talk
from thistleshore import config
from thistleshore.core import model
from thistleshore.addresses import ip_number
from thistleshore.dispatcher import serve
from thistleshore.expressions import Request
from thistleshore.expressions.functions import hash64
from thistleshore.expressions.literal import quoted
from thistleshore.platform.downstream import Downstream
from thistleshore.routing import RouteTable
from thistleshore.routing.table import key_number

SUPPLIED = ROOT / "deploy" / "expressions.toml"
FRONTS = pytest.mark.parametrize("world", [Http, Beanstalkd])
FILE: dict[str, Any] = {
    "http": {"listen": "127.0.0.1:1"},
    "beanstalkd": {"listen": "127.0.0.1:2"},
    "service": [{"name": "s"}],
    "contract": [
        {"team": "a", "service": "s", "class": "search", "effect": "safe", "deadline": 10, "rate": 1, "path": "/s/"},
        {
            "team": "b",
            "service": "s",
            "class": "search",
            "effect": "safe",
            "deadline": 9,
            "rate": 1,
            "name": "b-search",
        },
        {
            "team": "a",
            "service": "s",
            "class": "issue",
            "effect": "unsafe",
            "deadline": 5,
            "rate": 1,
            "path": "/s/i",
            "tube": "i",
        },
    ],
}


def table(*match: dict[str, str], **more: Any) -> RouteTable:
    live = config.operator_plan({**FILE, "match": list(match), **more}, 0.0).live
    assert live is not None
    return live.table


def test_first_matching_rule_decides_before_paths_and_tubes() -> None:
    found = table(
        {"when": 'request.host == "b"', "class": '"search"', "member": '"b"', "key": "request.path"},
        {"when": 'request.host.startsWith("b")', "contract": '"issue"', "key": "7"},
        {"when": "request.size == 9", "member": '"nine"'},
    )
    assert found.route(Request(host="b", path="/s/1")) == (1, 9.0, "b", hash64("/s/1"), "match[0]")
    assert found.route(Request(host="bb")) == (2, 5.0, "", 7, "match[1]")
    assert found.route(Request(path="/s/iy")) == (2, 5.0, "", 0, "contract[2].path")  # the longest path
    assert found.route(Request(path="/s/x")) == (0, 10.0, "", 0, "contract[0].path")
    assert found.route(Request(path="/s/x", size=9)) == (0, 10.0, "nine", 0, "match[2]")  # its contract by the path
    assert found.route(Request(path="/other", size=9)) is None and found.route(Request(path="/other")) is None
    assert found.route(Request("beanstalkd", tube="i")) == (2, 5.0, "", 0, "contract[2].tube")
    assert found.route(Request("beanstalkd", path="/s/x")) is None


def test_class_of_several_teams_is_resolved_by_member() -> None:
    found = table({"when": "true", "class": '"search"', "member": "request.host"})
    assert [found.route(Request(host=host)) for host in ("a", "b", "c")] == [
        (0, 10.0, "a", 0, "match[0]"),
        (1, 9.0, "b", 0, "match[0]"),
        None,
    ]


def test_key_numbers() -> None:
    assert (
        key_number("") == 0 and key_number(None) == 0 and key_number("a") == hash64("a") and key_number(-1) == 2**64 - 1
    )


@pytest.mark.parametrize("text", ['a"b', "a\\b", "a\nb", "é\U0001f68c", "\0"])
def test_any_path_text_gives_a_valid_rule(text: str) -> None:
    contract = {**FILE["contract"][0], "path": f"/{text}"}
    found = config.operator_plan({**FILE, "contract": [contract]}, 0.0).live
    assert found is not None and found.table.route(Request(path=f"/{text}x")) is not None and quoted(text)


@pytest.mark.parametrize(
    ("match", "key", "reason"),
    [
        ({"when": "true", "contract": '"serach"'}, "match[0].contract", "no contract is called 'serach'"),
        ({"when": "true", "contract": "request.path"}, "match[0].contract", "any text"),
        ({"when": "true", "class": '"search"'}, "match[0].class", "several teams"),
        ({"when": "true", "class": '"issue"', "contract": '"issue"'}, "match[0].class", "one of them"),
        ({"when": "true", "class": '"x"'}, "match[0].class", "no class is called"),
        ({"when": "true"}, "match[0].contract", "at least one"),
        ({"member": '"a"'}, "match[0].when", "missing"),
        ({"when": "1", "member": '"a"'}, "match[0].when", "bool is wanted"),
        ({"when": "true", "member": "1"}, "match[0].member", "string is wanted"),
        ({"when": "true", "key": "true"}, "match[0].key", "string or int is wanted"),
        ({"when": "true", "member": '"a"', "kye": "1"}, "match[0].kye", "unknown key"),
        ({"when": 3, "member": '"a"'}, "match[0].when", "a text is wanted"),
        ({"when": "request.pth == ''", "member": "nobody"}, "match[0].when", "no field"),
    ],
)
def test_invalid_rules_are_reported_by_key(match: dict[str, Any], key: str, reason: str) -> None:
    with pytest.raises(config.ConfigError) as caught:
        table(match)
    assert any(key in problem and reason in problem for problem in caught.value.problems)
    assert "\n" not in caught.value.in_a_line


def test_ambiguous_contract_name_is_rejected() -> None:
    twins = [FILE["contract"][0], {**FILE["contract"][0], "path": "/t"}]
    with pytest.raises(config.ConfigError, match="2 contracts are called 'search'"):
        table({"when": "true", "contract": '"search"'}, contract=twins)


@pytest.mark.parametrize(
    ("more", "reason"),
    [
        (
            {"address_set": [{"name": "a", "networks": ["10.0.0.1/8", "x"]}]},
            r"address_set\[0\].networks\[0\]: .*bits set",
        ),
        ({"address_set": [{"name": "a", "networks": "10.0.0.0/8"}]}, r"address_set\[0\].networks: a list"),
        ({"address_set": [{"name": "a", "networks": []}] * 2}, r"address_set\[1\].name: 'a' is named twice"),
        ({"expressions": {"cost": 0}}, "expressions.cost"),
        ({"expressions": {"most": 1}}, "expressions.most: unknown"),
        ({"expressions": {"cost": 3}}, r"contract\[0\].path: it may cost"),
        ({"expressions": {"total": 20}}, "all rules together"),
        ({"match": [{"name": "n", "when": "true", "member": '"a"'}] * 2}, r"match\[1\].name: 'n' is named twice"),
        ({"match": {"when": "true"}}, r"match: tables of the form"),
    ],
)
def test_invalid_tables_beside_rules_are_reported(more: dict[str, Any], reason: str) -> None:
    with pytest.raises(config.ConfigError, match=reason):
        config.operator_plan({**FILE, **more}, 0.0)


def test_all_faults_of_a_file_are_reported_with_lines(tmp_path: Path) -> None:
    text = SUPPLIED.read_text()
    for old, new in (
        ('effect = "keyed"', 'effect = "keyd"'),
        ("bay = 1", "bay = -1"),
        ('"10.31.0.0/16"', '"10.31.0.1/16"'),
        ("request.size < 4096", 'request.size < "4"'),
        ('"jambo-tours"', "jambo"),
        ("streams = 512", "streems = 1"),
    ):
        assert old in text
        text = text.replace(old, new, 1)
    path = tmp_path / "ops.toml"
    path.write_text(text)
    with pytest.raises(config.ConfigError) as caught:
        config.operator_file(str(path), 0.0)
    said = str(caught.value)
    lines = text.split("\n")
    for key in (
        "contract[2].effect",
        "host[0].bay",
        "address_set[0].networks[0]",
        "streems: unknown key",
        "match[3].when",
        "match[2].member",
    ):
        assert key in said
    place = next(problem for problem in caught.value.problems if "match[3].when" in problem).split(": ")[0]
    line, column = map(int, place.split(":")[1:])
    assert lines[line - 1][column - 1 :].startswith('request.size < "4"')


# -- fields set by the fronts


def run_requests(parts: list[bytes], match: list[dict[str, str]]) -> tuple[list[model.Stream], bytes]:
    """Return the streams of the requests on one connection, each served at once, and the reply bytes."""
    plan = config.operator_plan({**FILE, "match": match}, 0.0)
    assert plan.http is not None
    streams: list[model.Stream] = []

    async def scenario() -> bytes:
        inbox, events = trio.open_memory_channel[model.Event](9)
        downstream = Downstream(plan.http.routes, trio.Event(), inbox, 9)  # type: ignore[union-attr]

        async def answer() -> None:
            async for event in events:
                if isinstance(event, model.StreamOpened):
                    streams.append(event.stream)
                    event.stream.answer = model.Served(b"ok")
                    event.stream.answered.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer)
            said = await talk(downstream._connection, parts)
            nursery.cancel_scope.cancel()
        return said

    return streams, play(scenario)


def post(target: bytes, *headers: bytes, host: bytes = b"H.Example.ORG:8080") -> bytes:
    post.count += 1  # type: ignore[attr-defined]
    lines = [
        b"POST " + target + b" HTTP/1.1",
        b"Host: " + host,
        b"X-Txn: %x" % post.count,
        b"Content-Length: 3",
        *headers,
    ]  # type: ignore[attr-defined]
    return b"\r\n".join(lines) + b"\r\n\r\nabc"


post.count = 0  # type: ignore[attr-defined]
PARTS = ("request.host", "request.path", 'request.headers[?"x-a"].orValue("-")', 'request.query[?"q"].orValue("-")')
MEMBER = ' + "|" + '.join(PARTS)


@pytest.mark.parametrize(
    ("request_", "member"),
    [
        (post(b"/s/x"), "h.example.org|/s/x|-|-"),
        (post(b"/s/./x/../%41?q=1&q=2", b"X-A: b", b"x-a: c"), "h.example.org|/s/A|b|1"),
        (post(b"http://Else.org:1/s/b?q="), "else.org|/s/b|-|"),
        (post(b"/s/b", b"X-A:", host=b""), "|/s/b||-"),
        (post(b"/s/%2e%2e/s/%2f", b"X-A: \xff\xc3\xa9"), "h.example.org|/s/%2F|\ufffdé|-"),
    ],
)
def test_fields_of_an_http_request_in_rules(request_: bytes, member: str) -> None:
    streams, said = run_requests(
        [request_], [{"when": "true", "member": MEMBER, "key": "string(request.size) + request.method"}]
    )
    assert said.startswith(b"HTTP/1.1 200")
    assert [(stream.member, stream.key, stream.job_class) for stream in streams] == [(member, hash64("3POST"), 0)]


def test_path_with_dot_segments_is_normalized() -> None:
    streams, said = run_requests([post(b"/s/../other"), post(b"/s/%2e%2e/other")], [{"when": "false", "member": '"a"'}])
    assert said.startswith(b"HTTP/1.1 404") and b"no such class" in said and not streams


def test_oversized_head_is_refused_before_any_rule() -> None:
    long = post(b"/s/x", b"X-A: " + b"a" * 10_000, b"X-B: " + b"b" * 10_000)
    streams, said = run_requests([long], [{"when": 'request.headers[?"x-a"].orValue("") != ""', "member": '"a"'}])
    assert said.startswith((b"HTTP/1.1 431", b"HTTP/1.1 400")) and not streams


def test_member_by_client_address() -> None:
    at = Http(["serve"])
    rules = [
        {
            "when": 'inNet(client.address, "127.0.0.0/8")',
            "contract": '"ticket-issue"',
            "member": "string(client.address)",
        }
    ]
    file = at.file
    at.file = lambda: {**file(), "match": rules}  # type: ignore[method-assign]

    async def scenario(world: World) -> str:
        return (await world.submit("anything", b"job")).kind

    assert play(at.run, scenario) == "served"


def test_rules_route_tubes_of_no_contract() -> None:
    at = Beanstalkd(["serve"])
    rules = [
        {
            "when": 'request.tube.startsWith("issue.") && request.size == 3 && request.priority == 0',
            "contract": '"ticket-issue"',
            "key": "request.tube",
        }
    ]
    file = at.file
    at.file = lambda: {**file(), "match": rules}  # type: ignore[method-assign]

    async def scenario(world: World) -> list[str]:
        return [
            (await world.submit(tube, job)).kind
            for tube, job in (("issue.a", b"job"), ("issue.a", b"longer"), ("other", b"job"))
        ]

    assert play(at.run, scenario) == ["served", "BAD_FORMAT", "BAD_FORMAT"]


# -- tables replaced under load


def rules_of(version: str) -> list[dict[str, str]]:
    """Return one of two rule sets that differ in every value, so that a stream with parts of both is detected."""
    contract = {"old": "seat-search", "new": "pay-out"}[version]
    return [
        {"when": "request.size > 0", "contract": f'"{contract}"', "member": f'"{version}"', "key": f'"{version}"'},
        {"when": "true", "contract": f'"{contract}"', "member": f'"{version}"', "key": f'"{version}"'},
    ]


@FRONTS
def test_reload_under_load_loses_no_stream_and_mixes_no_rule_sets(
    world: type[World], monkeypatch: pytest.MonkeyPatch
) -> None:
    at, streams = world(["serve"]), list[model.Stream]()
    file, made = at.file, model.Stream.__init__

    def noted(self: model.Stream, *args: Any, **kwargs: Any) -> None:
        made(self, *args, **kwargs)
        streams.append(self)

    monkeypatch.setattr(model.Stream, "__init__", noted)

    async def dispatcher(task_status: trio.TaskStatus[None]) -> None:
        def plan(rules: list[dict[str, str]], **more: Any) -> config.Plan:
            return replace(config.operator_plan({**file(), "match": rules, **more}, 0.0), seed=7)

        send, rereads = trio.open_memory_channel[config.Plan](9)
        async with trio.open_nursery() as nursery:

            async def reload() -> None:
                for n in range(12):
                    await trio.sleep(0.4)
                    send.send_nowait(plan(rules_of("new" if n % 2 == 0 else "old")))
                    if n == 5:  # its rules speak of contracts that do not run: they must not come into force
                        gone = [contract for contract in file()["contract"] if contract["class"] != "pay-out"]
                        rules = [{"when": "true", "contract": '"ticket-issue"', "member": '"mixed"'}]
                        send.send_nowait(plan(rules, contract=gone))

            nursery.start_soon(reload)
            await serve(plan(rules_of("old")), at.drain, task_status, rereads)
            nursery.cancel_scope.cancel()

    at.dispatcher = dispatcher  # type: ignore[method-assign]

    async def scenario(running: World) -> list[str]:
        kinds: list[str] = []

        async def client(number: int) -> None:
            for n in range(12):
                kinds.append((await running.submit("seat-search", b"%d-%d" % (number, n))).kind)
                await trio.sleep(0.05 * number)

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(client, number)
        return kinds

    assert Counter(play(at.run, scenario)) == {"served": 72}
    old, new = (
        CONTRACTS.index(next(c for c in CONTRACTS if c["class"] == name)) for name in ("seat-search", "pay-out")
    )
    given = Counter((stream.job_class, stream.member, stream.key) for stream in streams)
    assert set(given) == {(old, "old", hash64("old")), (new, "new", hash64("new"))}
    assert sum(given.values()) == 72


def test_invalid_or_partial_file_keeps_the_old_rules(tmp_path: Path) -> None:
    port, path = free_port(), tmp_path / "ops.toml"
    text = f"""
[http]
listen = "127.0.0.1:{port}"
[[service]]
name = "s"
[[contract]]
team = "t"
service = "s"
class = "c"
effect = "safe"
deadline = 1.0
rate = 9.0
aim = 0.02
[[match]]
when = 'request.path == "/old"'
contract = '"c"'
"""
    path.write_text(text)

    async def status(target: str) -> bytes:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream:
            head = f"POST {target} HTTP/1.1\r\nHost: s\r\nX-Txn: {trio.current_time()}\r\nContent-Length: 0\r\n"
            await stream.send_all(f"{head}Connection: close\r\n\r\n".encode())
            return bytes((await stream.receive_some(4096)).split()[1])

    async def until(target: str, wanted: bytes) -> None:
        with trio.fail_after(10):
            while await status(target) != wanted:
                await trio.sleep(0.05)

    async def scenario(started: Any) -> None:
        assert await status("/old") == b"503" and await status("/new") == b"404"  # no host is known: refused at once
        half = text.replace('"/old"', '"/new"')
        for faulty in (
            half[: len(half) - 20],
            half.replace("request.path", "request.pth"),
            half.replace("request.path ==", "request.path ="),
            half.replace('"/new"', '"' + "x" * 2**20 + '"'),
        ):
            path.write_text(faulty)
            started.send_signal(signal.SIGHUP)
            await trio.sleep(0.3)
            assert await status("/old") == b"503" and await status("/new") == b"404"
        path.write_text(half)
        started.send_signal(signal.SIGHUP)
        await until("/new", b"503")
        assert await status("/old") == b"404"

    with program({"PROXY_OPERATOR": str(path)}, port) as started:
        trio.run(scenario, started)
        started.terminate()
        assert started.stderr is not None
        said = started.stderr.read()
    assert said.count(b"configuration not reread, the old one holds: ") == 4
    assert b"match[0].when: request has no field 'pth' " in said and b"did you mean `path`?" in said
    assert b"2 rules in force" not in said and b"1 rules in force" in said


def test_supplied_rules_are_valid_and_numerous() -> None:
    plan = config.operator_plan(tomllib.loads(SUPPLIED.read_text()), 0.0)
    assert plan.live is not None and len(plan.live.table.rules.rules) >= 24
    route = plan.live.table.route
    found = route(Request(host="tickets.umurongo.example.org", headers={"x-booking": "1234", "x-org": "huye-coaches"}))
    assert found is not None and found[:4] == (2, 5.0, "huye-coaches", 1234)
    counter = route(Request(path="/seat-search/1", address=ip_number("10.31.7.7") or 0))
    assert counter is not None and (counter.member, counter.rule) == ("ingenzi-coaches", "counters of ingenzi")
