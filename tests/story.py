"""One story of several processes: `python -m tests.story MODULE NAME FOLDER`; status 0 where it holds."""

from __future__ import annotations

import sys
from importlib import import_module
from pathlib import Path

import trio

if __name__ == "__main__":
    module, name, folder = sys.argv[1:]
    trio.run(import_module(module).STORIES[name], Path(folder))
