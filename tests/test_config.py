"""Configuration and the nginx importer: what they take, and what they name when they do not."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given

from oxbowarch.interface import AttemptBudget, Effect, Group
from tests.support import GARBAGE, steady
from thistleshore import config, nginx
from thistleshore.expressions import Request

ROOT = Path(__file__).parent.parent
OPERATOR = (ROOT / "deploy" / "operator.toml").read_text()
SETTINGS = {
    "balancers": 1,
    "quantum": 0.005,
    "localities": ["a"],
    "kinds": ["m2"],
    "rules": {},
    "lanes": [{"name": "render", "effect": "retryable", "aim": 0.4, "giveUp": 5.0}],
    "limits": {"maxAttempts": 3, "connectTimeout": 0.2, "connIdle": 15.0, "probes": True},
    "tenants": [{"name": "acme", "quotaPerS": 4.0}],
}
PLATFORM: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:5000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "new": 1,
    "settings": SETTINGS,
    "known": {
        "seq": 41,
        "whole": True,
        "hosts": [
            {"host": "s-1", "dial": "127.0.0.1:5001", "site": "a", "class": "m2", "block": 3, "health": "active"}
        ],
    },
}


def changed(path: str, value: Any) -> dict[str, Any]:
    """The platform's file with one key set anew."""
    conf = json.loads(json.dumps(PLATFORM))
    at = conf
    *above, last = path.split(".")
    for step in above:
        at = at[step]
    at[last] = value
    return conf


def test_the_platform_s_file_and_its_environment() -> None:
    plan = config.platform_plan(PLATFORM, {"PROXY_NAME": "n4", "PROXY_LISTEN": "127.0.0.2:1"}, 0.0)
    assert plan.http is not None and plan.beanstalkd is None
    assert (plan.name, plan.seed, plan.http.listen, plan.http.known_seq) == ("n4", 0x8C1F, ("127.0.0.2", 1), 41)
    assert plan.http.discovery == ("127.0.0.1", 8500) and plan.known[0].entry.worker == b"s-1"
    assert not plan.settings.shares_notes and plan.idle_most == pytest.approx(9.0)
    assert plan.downstream_most + plan.upstream_most < 1024 - config.SOCKETS_SPARE + 1


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("listen", "here", "PROXY_LISTEN"),
        ("discovery", "x:0", "discovery"),
        ("seed", "zz", "seed"),
        ("settings.lanes", None, "lanes"),
        ("settings.limits.connectTimeout", "soon", "settings.limits.connectTimeout"),
        ("settings.balancers", 0, "balancers"),
        ("settings.quantum", "a", "settings.quantum"),
        ("settings.lanes", [{"name": "a", "aim": None}], "settings.lanes[0].aim"),
        ("limits", [], "limits"),
        ("limits", {"sockets": 3}, "limits.sockets"),
        ("known.hosts", [{}], "known"),
        ("settings.tenants", [{"quotaPerS": 1}], "settings.tenants[0].name"),
    ],
)
def test_faulty_keys_of_the_platform_are_named(path: str, value: Any, key: str) -> None:
    with pytest.raises(config.ConfigError) as caught:
        config.platform_plan(changed(path, value), {}, 0.0)
    assert key in str(caught.value)


def test_the_example_of_an_operator_s_file() -> None:
    plan = config.operator_plan(tomllib.loads(OPERATOR), 0.0)
    assert plan.http is None and plan.beanstalkd is not None
    search, ticket = plan.settings.classes
    assert ticket.effect is Effect.KEYED and ticket.group is Group.CELL and ticket.repeat_window == 7.5
    assert (search.max_attempts, ticket.max_attempts, plan.settings.max_attempts) == (6, 3, 6)
    assert plan.settings.limits == (30.0, 15.0) and plan.settings.budget == AttemptBudget(10.0, 0.2, 10.0)
    assert plan.beanstalkd.router.route("ticket-issue", 3, 0)[:2] == (1, 5.0)
    assert plan.beanstalkd.seats["counter-3"] == (0, 2)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("streams =", "stream =", "stream: unknown key"),
        ("touches =", "touch =", "beanstalkd.touch: unknown key"),
        ("bay = 2", "rack = 2", "host[2].rack: unknown key"),
        ('listen = "127.0.0.1:11300"', "", "beanstalkd.listen"),
        ("rate = 15.0", "rate = -1", "contract[1].rate"),
        ("rate = 15.0", "", "contract[1].rate: missing"),
        ("window = 7.5", "", "contract[1].window: missing"),
        ("attempts = 3", "attempts = 0", "contract[1].attempts"),
        ('effect = "keyed"', 'effect = "some"', "contract[1].effect"),
        ("span = 10.0", "span = 0", "budget.span"),
        ('tube = "ticket-issue"', 'tube = "seat-search"', "contract[1].tube"),
        ("sockets = 1024", "sockets = 9", "limits.sockets"),
        ('tube = "ticket-issue"', 'path = "/t"', "contract[1].path"),
        ('"counter-2"', '"counter-1"', "host[1].name"),
        ('tube = "ticket-issue"', 'tube = "reply.x"', "contract[1].tube"),
        ("deadline = 5.0", "deadline = true", "contract[1].deadline"),
        ("streams = 512", "streams = 512.5", "file.streams"),
        ("touches = false", 'touches = "no"', "beanstalkd.touches"),
    ],
)
def test_faulty_keys_of_an_operator_are_named(old: str, new: str, key: str) -> None:
    assert old in OPERATOR
    with pytest.raises(config.ConfigError) as caught:
        config.operator_plan(tomllib.loads(OPERATOR.replace(old, new)), 0.0)
    assert key in str(caught.value)


@steady
@given(GARBAGE)
def test_garbage_in_either_file_is_an_error_of_configuration(tmp_path_factory: Any, data: bytes) -> None:
    path = tmp_path_factory.getbasetemp() / "garbage"
    path.write_bytes(data)
    for variable in ("PROXY_CONFIG", "PROXY_OPERATOR"):
        with pytest.raises(config.ConfigError):
            config.load({variable: str(path)}, 0.0)
    with pytest.raises(config.ConfigError, match="PROXY_CONFIG"):
        config.load({}, 0.0)


# -- nginx

NGINX = """
http {
    proxy_connect_timeout 250ms;
    upstream seats { server 127.0.0.1:9001 weight=3; server 127.0.0.1:9002; }
    server {
        listen 127.0.0.1:8080;
        server_name _;
        location /seat-search { proxy_pass http://seats; proxy_read_timeout 10s; proxy_next_upstream_tries 4;
            proxy_next_upstream error timeout http_500 non_idempotent; }
        location ^~ /pay/ { proxy_pass http://127.0.0.1:9003; proxy_next_upstream off; }
    }
}
"""


def imported(tmp_path: Path, text: str, **more: Any) -> nginx.Import:
    path = tmp_path / "nginx.conf"
    path.write_text(text)
    return nginx.read(str(path), "counters", **more)


def test_upstreams_and_locations_become_a_plan(tmp_path: Path) -> None:
    found = imported(tmp_path, NGINX)
    assert not found.refusals
    plan = config.operator_plan(tomllib.loads(found.toml()), 0.0)
    search, pay = plan.settings.classes
    assert plan.http is not None and plan.http.listen == ("127.0.0.1", 8080) and plan.connect_within == 0.25
    assert [(line.address, line.entry.weight, line.entry.kind) for line in plan.known] == [
        (("127.0.0.1", 9001), 3.0, 0),
        (("127.0.0.1", 9002), 1.0, 0),
        (("127.0.0.1", 9003), 1.0, 1),
    ]
    assert (search.effect, search.give_up, search.max_attempts, search.kinds) == (Effect.SAFE, 10.0, 4, (0,))
    assert (pay.effect, pay.give_up, pay.kinds) == (Effect.UNSAFE, 60.0, (1,))
    assert plan.live is not None
    found = [plan.live.table.route(Request(path=path)) for path in ("/seat-search", "/pay/x", "/other")]
    assert [routed and routed.contract for routed in found] == [0, 1, None]


@pytest.mark.parametrize(
    ("old", "new", "line", "name"),
    [
        ("server_name _;", "server_name a.example;", 7, "server_name"),
        ("weight=3", "backup", 4, "server"),
        ("listen 127.0.0.1:8080;", "listen 127.0.0.1:8080 ssl;", 6, "listen"),
        ("^~ /pay/", "~ /pay/", 10, "location"),
        ("proxy_next_upstream off;", "proxy_set_header A b;", 10, "proxy_set_header"),
        ("10s", "1d", 8, "proxy_read_timeout"),
        ("http://seats", "http://seats/x", 8, "proxy_pass"),
        ("127.0.0.1:9001", "a.example:9001", 4, "server"),
        ("upstream seats {", "upstream seats { least_conn;", 4, "least_conn"),
        ("non_idempotent", "http_404", 9, "proxy_next_upstream"),
        ("proxy_connect_timeout 250ms;", "client_max_body_size 1m;", 3, "client_max_body_size"),
        ("http {", "user x;\nhttp {", 2, "user"),
        ("proxy_next_upstream off;", "proxy_connect_timeout 1s;", 10, "proxy_connect_timeout"),
        ("}\n}\n", "}\n", 11, "parse"),
    ],
)
def test_what_cannot_be_carried_over_is_refused_by_name(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, line: int, name: str
) -> None:
    assert old in NGINX
    imported(tmp_path, NGINX.replace(old, new))
    assert nginx.convert(str(tmp_path / "nginx.conf"), "counters") == 1
    said = capsys.readouterr()
    assert not said.out and f"nginx.conf:{line}: {name}" in said.err


def test_what_may_be_left_out_is_said_in_the_file(tmp_path: Path) -> None:
    text = NGINX.replace("server_name _;", "server_name _; access_log off;")
    found = imported(tmp_path, text, leave_out=frozenset({"access_log"}))
    assert not found.refusals and "nginx.conf:7: access_log off" in found.toml()


@steady
@given(GARBAGE)
def test_garbage_is_refused(tmp_path_factory: Any, data: bytes) -> None:
    path = tmp_path_factory.getbasetemp() / "nginx.conf"
    path.write_bytes(data)
    try:
        assert nginx.read(str(path), "counters").refusals
    except SystemExit as problem:
        assert "nginx.conf" in str(problem)
