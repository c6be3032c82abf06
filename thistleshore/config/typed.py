"""A TOML file as typed tables: one way to read it and to check it, its faults under the caller's own error."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

Tables = TypeVar("Tables")


def read(path: Path, error: type[Exception]) -> dict[str, Any]:
    """The tables of a file, or `error` with its path."""
    try:
        return tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as problem:
        raise error(f"{path}: {problem}") from None


def convert(found: object, kind: type[Tables], error: type[Exception]) -> Tables:
    """Those tables as the type, or `error` with the key."""
    try:
        return msgspec.convert(found, kind)
    except msgspec.ValidationError as problem:
        raise error(str(problem)) from None
