"""The command line: what each sub-command prints, its exit status, and what the platform never imports."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from tests.support import ROOT, free_port
from tests.test_config import PLATFORM
from thistleshore.cli import COMMANDS, commands
from thistleshore.cli.expr import COMMANDS as EXPR
from thistleshore import config
from thistleshore.expressions.check import Checker
from thistleshore.expressions.functions import REFERENCE, reference
from thistleshore.expressions.model import request_environment

SUPPLIED = str(ROOT / "deploy" / "expressions.toml")
NEW = (
    "click",
    "lark",
    "re2",
    "netaddr",
    "xxhash",
    "msgspec",
    "thistleshore.cli",
    "thistleshore.expressions",
    "thistleshore.routing",
    "thistleshore.contracts",
    "thistleshore.metrics",
    "structlog",
    "thistleshore.fleet",
    "thistleshore.rig",
    "thistleshore.releases",
    "thistleshore.distribution",
    "thistleshore.configuration",
    "thistleshore.config.fleets",
    "matplotlib",
    "rich",
    "numpy",
    "sqlite3",
    "prometheus_client",
    "zstandard",
    "thistleshore.config.operator",
    "thistleshore.beanstalkd.downstream",
)


def run(*args: str, given: str | None = None) -> Result:
    return CliRunner().invoke(commands, list(args), input=given)


@pytest.mark.parametrize(
    "args", [[], *([name] for name in COMMANDS), *(["expr", name] for name in EXPR), ["import", "nginx"]]
)
def test_help_everywhere(args: list[str]) -> None:
    found = run(*args, "--help")
    assert found.exit_code == 0 and found.output.startswith("Usage: ")
    assert len(found.output.split("\n")) > 4


def test_the_module_shows_help_and_its_version() -> None:
    environ = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
    for args, said in ((["--help"], "Usage: thistleshore"), (["--version"], "thistleshore, version")):
        command = [sys.executable, "-m", "thistleshore", *args]
        found = subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, check=False)
        assert found.returncode == 0 and found.stdout.startswith(said) and not found.stderr


def test_the_platform_s_dispatcher_imports_none_of_it(tmp_path: Path) -> None:
    """Started by PROXY_CONFIG, it serves; what it has imported by then is looked at from within."""
    conf = tmp_path / "config.json"
    port, control = free_port(), f"127.0.0.1:{free_port()}"  # and with all that the days of operation offer
    conf.write_text(json.dumps({**PLATFORM, "listen": f"127.0.0.1:{port}", "control": control}))
    script = f"""
import runpy, signal, socket, sys, threading, time, os
def listens():
    with socket.socket() as client:
        return client.connect_ex(("127.0.0.1", {port})) == 0
def look():
    while not listens():
        time.sleep(0.05)
    time.sleep(0.5)
    print([name for name in {NEW!r} if name in sys.modules], "trio" in sys.modules, flush=True)
    os.kill(os.getpid(), signal.SIGTERM)
threading.Thread(target=look, daemon=True).start()
sys.argv = ["thistleshore"]
runpy.run_module("thistleshore", run_name="__main__")
"""
    environ = {**os.environ, "PROXY_CONFIG": str(conf)}
    command = [sys.executable, "-O", "-c", script]
    found = subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=30, check=False)
    assert found.stdout == "[] True\n" and "listening on" in found.stderr, found.stderr


def test_help_imports_no_sub_command() -> None:
    script = "import sys\nfrom thistleshore.cli import commands\ncommands(['--help'], standalone_mode=False)\n"
    script += "print([n for n in sys.modules if n.startswith(('lark', 're2', 'trio', 'thistleshore.cli.'))])"
    found = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True)
    assert found.stdout.endswith("\n[]\n")


def test_check_names_every_fault() -> None:
    assert run("check", SUPPLIED).output.startswith(f"{SUPPLIED}: sound: 4 contracts, 26 rules")


def test_check_of_a_faulty_file(tmp_path: Path) -> None:
    path = tmp_path / "ops.toml"
    path.write_text(
        Path(SUPPLIED).read_text().replace("bay = 1", "bey = 1").replace("request.host ==", "request.hots ==")
    )
    found = run("check", str(path))
    assert found.exit_code == 2 and not found.stdout
    assert found.stderr.count("unknown key") == 2 and found.stderr.count("did you mean `host`?") == 5
    assert found.stderr.endswith("7 fault(s)\n") and "match[5].when" in found.stderr
    assert run("check", str(tmp_path / "gone")).exit_code == 2
    assert run("expr", "check", str(path)).exit_code == 2


@pytest.mark.parametrize(
    ("expression", "request_", "value"),
    [
        ("request.path", '{"path": "/a/../b"}', "/b"),
        ("client.address", '{"client": "10.0.0.9"}', "10.0.0.9"),
        ("[1, 2]", "{}", [1, 2]),
        ("1.0 / 0.0", "{}", "Infinity"),
        ("{'a': [ip('::1')]}", "{}", {"a": ["::1"]}),
        ("inNet(client.address, 'ingenzi-counters')", '{"client": "10.31.0.1"}', True),
        ("'é'", "{}", "é"),
    ],
)
def test_eval_prints_json(expression: str, request_: str, value: Any) -> None:
    found = run("expr", "eval", expression, "--request", "-", "--set", SUPPLIED, given=request_)
    assert found.exit_code == 0 and json.loads(found.output) == value


def test_eval_refuses_with_a_diagnostic() -> None:
    found = run("expr", "eval", "request.headers['x']")
    assert found.exit_code == 1 and not found.stdout and '[?"x"].orValue("")' in found.stderr
    found = run("expr", "eval", "1", "--request", "-", given='{"pth": 1}')
    assert found.exit_code == 1 and "pth" in found.stderr
    assert run("expr", "eval", "1", "--request", "/nowhere/at/all").exit_code == 1


def test_explain_says_which_rule_and_why_not_the_earlier_ones() -> None:
    asked = json.dumps(
        {"host": "akagera-express.umurongo.example.org", "path": "/ticket-issue/3", "headers": {"X-Booking": "9"}}
    )
    found = run("expr", "explain", SUPPLIED, "--request", "-", given=asked)
    lines = found.output.split("\n")
    assert found.exit_code == 0 and lines[8].startswith("host akagera: takes it")
    assert lines[1].startswith('bulk by query: not: request.path.startsWith("/seat-search")')
    assert "contract=tickets" in lines[9] and "member=akagera-express" in lines[9]
    told = json.loads(run("expr", "explain", SUPPLIED, "--request", "-", "--json", given=asked).output)
    assert told["routed"]["rule"] == "host akagera" and [step["held"] for step in told["looked"]] == [False] * 8 + [
        True
    ]
    found = run("expr", "explain", SUPPLIED)
    assert found.exit_code == 1 and "no rule fits" in found.output


def test_cost_of_an_expression_and_of_a_file() -> None:
    told = json.loads(run("expr", "cost", "request.path == '/a'", "--trace", "--json").output)
    (row,) = told["expressions"]
    assert row["units"] <= row["bound"] == told["total"] and sum(step["units"] for step in row["steps"]) == row["units"]
    told = json.loads(
        run("expr", "cost", SUPPLIED, "--trace", "--request", "-", "--json", given='{"path": "/a"}').output
    )
    assert all(row["units"] <= row["bound"] for row in told["expressions"]) and len(told["expressions"]) > 60
    assert run("expr", "cost", "request.").exit_code == 1
    assert "spent" in run("expr", "cost", "1 + request.size", "--trace").output
    assert json.loads(run("expr", "check", SUPPLIED, "--json").output)["indexed"] == 15


def test_bench_compares_before_it_times(tmp_path: Path) -> None:
    sample = tmp_path / "few.jsonl"
    sample.write_text("".join(Path(SUPPLIED.replace(".toml", ".requests.jsonl")).read_text().splitlines(True)[:6]))
    asked = ["expr", "bench", SUPPLIED, "--requests", str(sample), "--json"]
    told = json.loads(run(*asked, "--skip-growth").output)
    assert told["requests"] == 6 and {"compiled", "walked", "by_hand"} <= told.keys()
    wrong = tmp_path / "wrong.py"
    wrong.write_text("def decide(request):\n    return None\n")
    found = run(*asked, "--by-hand", str(wrong))
    assert found.exit_code == 1 and "by hand None" in found.stderr
    sample.write_text("{}\n{")
    assert run(*asked).exit_code == 1


def test_import_of_nginx(tmp_path: Path) -> None:
    path = tmp_path / "nginx.conf"
    path.write_text("http { server { listen 80; location /a { proxy_pass http://127.0.0.1:9; } access_log off; } }")
    found = run("import", "nginx", "--team", "t", str(path))
    assert found.exit_code == 1 and "nginx.conf:1: access_log off" in found.stderr and not found.stdout
    found = run("import", "nginx", "--team", "t", "--leave-out", "access_log", str(path))
    assert found.exit_code == 0 and tomllib.loads(found.output)["contract"][0]["path"] == "/a"
    old = subprocess.run(
        [sys.executable, "-m", "thistleshore.nginx", "x"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert old.returncode == 1 and "thistleshore import nginx" in old.stderr


def test_contracts_show_the_tree_with_its_shares() -> None:
    supplied = str(ROOT / "deploy" / "consortium.toml")
    told = json.loads(run("contracts", "show", "--config", supplied, "--slots", "48", "--json").output)
    assert told["instances"] == 2 and len(told["members"]) == 10
    slots = [contract["slots"] for member in told["members"] for contract in member["contracts"]]
    assert sum(slots) == pytest.approx(48.0, abs=0.01) and slots[:2] == pytest.approx([4.96, 9.92])
    assert "ingenzi-coaches: share 31.0%, ceiling 90%" in run("contracts", "show", "--config", supplied).output
    found = run("contracts", "show", "--config", SUPPLIED)
    assert found.exit_code == 1 and "no [[member]]" in found.stderr


def test_logs_are_json_where_that_is_asked_for() -> None:
    script = "import logging\nfrom thistleshore import logs\nlogs.configure('json')\n"
    script += "logging.getLogger('thistleshore').info('contract %s', 'a', extra={'served': 3})"
    found = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True)
    told = json.loads(found.stderr)
    assert (told["event"], told["served"], told["level"]) == ("contract a", 3, "info")


def test_completion_scripts() -> None:
    for shell in ("bash", "zsh", "fish"):
        assert "_THISTLESHORE_COMPLETE" in run("completion", shell).output


def test_serve_ends_with_2_on_a_faulty_file(tmp_path: Path) -> None:
    path = tmp_path / "ops.toml"
    path.write_text("nmae = 1")
    command = [sys.executable, "-m", "thistleshore", "serve", "--config", str(path)]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert found.returncode == 2 and "nmae: unknown key" in found.stderr and "contract: at least one" in found.stderr


def test_the_reference_table_is_the_code_s() -> None:
    assert reference() in (ROOT / "docs" / "operate" / "expressions.md").read_text()
    named = set(re.findall(r"\b([a-zA-Z_]+)\(", " ".join(entry.form for entry in REFERENCE)))
    checker = Checker(request_environment())
    assert set(checker._functions) | set(checker._methods) - {"all", "exists_one"} <= named


def test_the_cookbook_is_sound() -> None:
    page = (ROOT / "docs" / "operate" / "expressions.md").read_text()
    recipes = re.findall(r"```toml\n(.*?)```", page, re.S)
    whole = tomllib.loads(Path(SUPPLIED).read_text())
    assert len(recipes) >= 11
    for recipe in recipes:
        config.operator_plan({**whole, **tomllib.loads(recipe)}, 0.0)
