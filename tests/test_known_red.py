"""What KNOWN-RED.txt lets pass, and what it does not."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import known_red

pytest_plugins = ["pytester"]


def played(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch, red: str) -> tuple[int, str]:
    """The status and the output of a run of two tests, one of which fails, with that file."""
    root = Path(known_red.__file__).parent.parent
    pytester.makeconftest(
        "import sys\n"
        f"sys.path.insert(0, {str(root)!r})\n"
        "from tests import known_red\n"
        "from pathlib import Path\n"
        "known_red.FILE = Path(__file__).parent / 'KNOWN-RED.txt'\n"
        "def pytest_collection_modifyitems(items):\n"
        "    known_red.mark(items, known_red.read(known_red.FILE.read_text()))\n"
    )
    pytester.makepyfile(test_a="def test_good(): pass\ndef test_bad(): assert False\n")
    (pytester.path / "KNOWN-RED.txt").write_text(red)
    found = pytester.runpytest_subprocess("-q", "-p", "no:cacheprovider")
    return int(found.ret), found.stdout.str() + found.stderr.str()


BAD, GOOD = "test_a.py::test_bad; its cause; issue 1\n", "test_a.py::test_good; its cause; issue 1\n"


@pytest.mark.parametrize(
    ("red", "status", "says"),
    [(BAD, 0, "1 xfailed"), ("", 1, "1 failed"), (BAD + GOOD, 1, "XPASS"), ("test_a.py::x\n", 4, "form"),
     (BAD.replace("bad", "no"), 4, "no test is called"),
     (BAD.replace("test_a.py", "test_b.py"), 4, "no test is called"), (BAD * 4, 4, "3 at most")],
)  # fmt: skip
def test_just_the_listed_ones_may_fail(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch, red: str, status: int, says: str
) -> None:
    assert (found := played(pytester, monkeypatch, red))[0] == status and says in found[1], found
