"""Imports go one way: no package of the program needs one that needs it, not even for types or within a function."""

from __future__ import annotations

import ast
from collections.abc import Iterator, Mapping
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROGRAM = "thistleshore"


def part_of(module: str) -> str:
    """The package, or the module beside the packages, that a module belongs to."""
    return ".".join(module.split(".")[:2])


def imported(tree: ast.AST) -> Iterator[str]:
    """The program's modules that are imported anywhere in the text of one."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module == PROGRAM:
            yield from (f"{PROGRAM}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module


def needs(sources: Mapping[str, str]) -> dict[str, set[str]]:
    """What each part imports of the others, by the text of every module."""
    found: dict[str, set[str]] = {}
    for module, text in sources.items():
        part = part_of(module)
        names = {part_of(name) for name in imported(ast.parse(text)) if name.startswith(f"{PROGRAM}.")}
        found.setdefault(part, set()).update(names - {part, f"{PROGRAM}.__version__"})
    return found


def program() -> dict[str, str]:
    files = (ROOT / PROGRAM).rglob("*.py")
    return {".".join(file.relative_to(ROOT).with_suffix("").parts): file.read_text() for file in files}


def test_no_part_imports_one_that_imports_it() -> None:
    graph = needs(program())
    assert f"{PROGRAM}.core" in graph[f"{PROGRAM}.dispatcher"]
    TopologicalSorter(graph).prepare()  # CycleError names the parts of a ring


@pytest.mark.parametrize(
    "back",
    [
        "import thistleshore.config.platform",
        "from thistleshore import config",
        "def late():\n    from thistleshore.config import Plan",
        "if TYPE_CHECKING:\n    from thistleshore.config import Plan",
    ],
)
def test_a_way_back_is_seen(back: str) -> None:
    sources = {"thistleshore.config.platform": "from thistleshore.fleet.plan import FleetPlan"}
    TopologicalSorter(needs(sources)).prepare()
    with pytest.raises(CycleError):
        TopologicalSorter(needs({**sources, "thistleshore.fleet.plan": back})).prepare()
