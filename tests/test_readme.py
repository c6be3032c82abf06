"""The example in the README runs as written."""

import re
from pathlib import Path

import pytest


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    scope: dict = {}
    exec(compile(example, "README.md", "exec"), scope)
    assert capsys.readouterr().out == "send 1 to 10.0.0.1:7000\n"
    assert not scope["brain"].jobs
