"""Real dispatcher processes over loopback, beside the other tests: past incidents again, and some seeds of the soak."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import pytest
import trio

from benchmarks.soak.scenarios import SCENARIOS
from tests.support import ROOT

RUN_MOST = 60.0  # s for one run, some 15 of which are played


async def _play(arguments: list[str], findings: list[str]) -> None:
    command = [sys.executable, "-m", "benchmarks.soak", *arguments]
    with trio.fail_after(RUN_MOST):
        ran = await trio.run_process(command, cwd=ROOT, capture_stdout=True, capture_stderr=True, check=False)
    if ran.returncode:
        findings.append(f"{' '.join(arguments)}: {ran.stdout.decode()}{ran.stderr.decode()}")


async def _scenario(name: str, runs: tuple[tuple[int, int], ...], folder: Path) -> None:
    """Play a scenario with each pair of a seed and a number of dispatchers."""
    assert name in SCENARIOS
    findings: list[str] = []
    for seed, nodes in runs:
        await _play(["--scenario", name, "--seed", str(seed), "--nodes", str(nodes)], findings)
    assert not findings, "\n".join(findings)


async def _seeds(seeds: tuple[int, ...], folder: Path) -> None:
    """Play these seeds of the soak."""
    findings: list[str] = []
    for seed in seeds:
        await _play(["--seed", str(seed)], findings)
    assert not findings, "\n".join(findings)


STORIES: dict[str, Callable[[Path], Awaitable[None]]] = {
    "rejections_after_a_restart_overload_the_server": partial(_scenario, "rejections", ((1, 2), (2, 2), (1, 3))),
    "resets_after_a_restart_overload_the_server": partial(_scenario, "fast-endings", ((1, 2), (2, 2), (1, 3))),
    "a_class_that_new_settings_dropped_lengthens_a_drain": partial(_scenario, "dropped-class", ((1, 1), (2, 2))),
    "drawn_faults_break_a_term_at_few_dispatchers": partial(_seeds, (5, 6, 8)),
    "drawn_faults_break_a_term_at_one_and_at_twelve_dispatchers": partial(_seeds, (2, 12)),
}


@pytest.mark.parametrize("story", STORIES)
def test_processes(story: str, played: Callable[[str], str]) -> None:
    assert played(story) == ""
