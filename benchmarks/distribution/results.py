"""The kept results of how configuration spreads: one file, a key for each kind of run."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


def keep(file: Path, key: str, told: dict[str, Any]) -> None:
    """Put what a run told under its key, beside what other runs have left there."""
    found = json.loads(file.read_text()) if file.exists() else {}
    found[key] = {**found.get(key, {}), **told}
    file.parent.mkdir(exist_ok=True)
    file.write_text(json.dumps(found, indent=1) + "\n")
