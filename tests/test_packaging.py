"""What is installed is the whole program: every folder that holds modules is a package that the build takes in."""

from __future__ import annotations

import tomllib

from setuptools import find_packages

from tests.support import ROOT

PROGRAMS = ("oxbowarch", "thistleshore")


def test_every_folder_with_modules_is_installed() -> None:
    file = tomllib.loads((ROOT / "pyproject.toml").read_text())
    include = file["tool"]["setuptools"]["packages"]["find"]["include"]
    folders = {module.parent for program in PROGRAMS for module in (ROOT / program).rglob("*.py")}
    wanted = {".".join(folder.relative_to(ROOT).parts) for folder in folders}
    assert len(wanted) > 15
    assert set(find_packages(str(ROOT), include=include)) == wanted
