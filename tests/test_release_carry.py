"""`release carry` against an instance that hears of changes late, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from thistleshore.cli import commands, release
from thistleshore.releases.carrier import ANSWER_TIMEOUT, MAJORITY_VALIDITY

HEARS = MAJORITY_VALIDITY + ANSWER_TIMEOUT - 0.1  # s: just before an answer could no longer be so old
ENDED = 100.0  # s, after the last answer that counts


def answer(state: str | None, out: bool = False, agreed: bool = True, kind: str = "host") -> dict[str, Any]:
    """What an instance says of the release: none without a state."""
    if state is None:
        return {"status": "done", "agreed": agreed, "release": None}
    row = {"host": "w0", "place": 7, "version": "w2", "begun": False, "state": "out"}
    return {
        "status": "done",
        "agreed": agreed,
        "release": {"kind": kind, "state": state, "act": ["true"]},
        "runs": {"w0": "w1"},
        "hosts": [row] if out else [],
    }


class Instance:
    """Tells `before` until it hears of a release that has taken host w0 out; that ends once the host has arrived."""

    def __init__(self, before: dict[str, Any], hears_at: float, takes: float = 0.0) -> None:
        self.before, self.hears_at = before, hears_at
        self.takes = takes  # s to bring an answer
        self.now = 0.0
        self.calls: list[str] = []

    def monotonic(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def agreed(self, _file: str, *words: str) -> dict[str, Any]:
        if words[0] != "release":
            self.calls.append(words[0])
            return {"status": "done"}
        asked_at = self.now
        self.now += self.takes
        if asked_at < self.hears_at:
            return self.before
        return answer("done") if "host-arrived" in self.calls else answer("going", out=True)


@pytest.fixture
def carry(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> Callable[..., Result]:
    file = tmp_path / "dispatcher.toml"
    file.touch()

    def run(instance: Instance, *options: str) -> Result:
        monkeypatch.setattr(release, "_agreed", instance.agreed)
        monkeypatch.setattr(release, "time", instance)
        return CliRunner().invoke(commands, ["release", "carry", "--config", str(file), *options])

    return run


@pytest.mark.parametrize("takes", [0.0, 0.3, 3.0])
@pytest.mark.parametrize(
    "before",
    [answer(None), answer("done"), answer("undone", kind="dispatcher"), answer(None, agreed=False)],
    ids=["none", "the_last_one_done", "one_of_dispatchers", "no_majority"],
)
def test_carry_does_not_end_on_what_its_instance_knew_before_the_release(
    before: dict[str, Any], takes: float, carry: Callable[..., Result]
) -> None:
    """Guards against a carry that reads the value before `start`, and leaves the hosts of the release out."""
    instance = Instance(before, HEARS, takes)
    run = carry(instance)
    assert run.exit_code == 0, run.output
    assert instance.calls == ["host-takes", "host-arrived"]


def test_carry_refuses_where_no_release_of_workers_is_under_way(carry: Callable[..., Result]) -> None:
    for options in ((), ("--seconds", "0.7")):
        for before in (answer(None), answer(None, agreed=False), answer("going", kind="dispatcher")):
            instance = Instance(before, ENDED)
            run = carry(instance, *options)
            assert run.exit_code == 3 and "no release of ticket workers" in run.output
            assert instance.calls == [] and instance.now < ENDED


def test_carry_ends_when_the_release_is_over_by_a_majority(carry: Callable[..., Result]) -> None:
    instance = Instance(answer("done"), ENDED)
    assert carry(instance).exit_code == 0
    assert instance.now < ENDED
    alone = Instance(answer("done", agreed=False), ENDED)
    assert carry(alone).exit_code == 0
    assert alone.calls == ["host-takes", "host-arrived"]  # it waited for a majority
