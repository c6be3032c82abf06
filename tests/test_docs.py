"""The on-call page lists every line that the program can log."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_every_log_line_is_on_the_page() -> None:
    page = (ROOT / "docs" / "operate" / "oncall.md").read_text()
    listed = [re.escape(line).replace("…", ".*") for line in re.findall(r"`([^`]+)`", page)]
    wanted = []
    for source in (ROOT / "thistleshore").rglob("*.py"):
        found = re.findall(r'\blog\.(?:info|warning|error|exception)\(\s*"([^"]+)"', source.read_text())
        wanted += [line for line in found if line != "module: %s"]
    for text in re.findall(r'\bLog\(f?"([^"]+)"', (ROOT / "oxbowarch" / "brain.py").read_text()):
        wanted.append("module: " + text)
    wanted.append("module: pressure off")
    assert len(wanted) > 15
    assert [line for line in wanted if not any(re.match(rule, line) for rule in listed)] == []
