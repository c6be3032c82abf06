"""Stories of several processes are played beside the other tests, from the start of a session, so many at a time.

Each is played by a Python process of its own (`tests/story.py`): one that carried the datagrams of several rigs would
be late, and the protocol would be right to say so.  Their tests come last and wait for what came of them.
"""

from __future__ import annotations

import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests import known_red
from tests.support import ROOT

BESIDE = 3  # at a time, beside the tests of one process
STORY_MOST = 180.0  # s for one; the bounds within it are far shorter
PROCESSES = "test_processes"


class Stories:
    """What is to be played, and what came of each: "" where it holds."""

    def __init__(self, waiting: list[tuple[str, str]], folder: Path) -> None:
        self.folder = folder
        self.over = {story: threading.Event() for story in waiting}
        self.found: dict[tuple[str, str], str] = {}
        self._waiting, self._lock, self._running = list(waiting), threading.Lock(), set[subprocess.Popen[str]]()
        self._ended = False
        self._players = [threading.Thread(target=self._play, daemon=True) for _ in range(BESIDE)]
        for player in self._players:
            player.start()

    def _play(self) -> None:
        while True:
            with self._lock:
                if self._ended or not self._waiting:
                    return
                story = self._waiting.pop(0)
                module, name = story
                command = [sys.executable, "-m", "tests.story", module, name, str(self.folder / module / name)]
                child = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
                self._running.add(child)
            try:
                said = child.communicate(timeout=STORY_MOST)[0]
            except subprocess.TimeoutExpired:
                child.kill()
                said = f"not over after {STORY_MOST:g} s\n{child.communicate()[0]}"
            self.found[story] = "" if child.returncode == 0 else said or f"status {child.returncode}"
            with self._lock:
                self._running.discard(child)
            self.over[story].set()

    def of(self, module: str, name: str) -> str:
        """What came of it, once it is over."""
        self.over[module, name].wait()
        return self.found[module, name]

    def end(self) -> None:
        """Play no more; a rig that is ended takes its processes with it."""
        with self._lock:
            self._ended = True
            for child in self._running:
                child.kill()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    items.sort(key=lambda item: getattr(item, "originalname", "") == PROCESSES)
    if known_red.FILE.exists():
        known_red.mark(items, known_red.read(known_red.FILE.read_text()))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print what is known to fail, so that who reads the run sees it."""
    if known_red.FILE.exists():
        terminalreporter.section("KNOWN-RED.txt")
        terminalreporter.write(known_red.FILE.read_text())


@pytest.fixture(scope="session", autouse=True)
def stories(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Stories]:
    chosen: list[Any] = [item for item in request.session.items if getattr(item, "originalname", "") == PROCESSES]
    made = Stories([(item.module.__name__, item.callspec.params["story"]) for item in chosen],
                   tmp_path_factory.mktemp("stories"))  # fmt: skip
    yield made
    made.end()


@pytest.fixture
def played(stories: Stories, request: pytest.FixtureRequest) -> Callable[[str], str]:
    """What came of a story of the test's own module."""
    return lambda name: stories.of(request.module.__name__, name)
