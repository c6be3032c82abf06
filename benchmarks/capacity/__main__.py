"""What each role costs at the size that the design has to fit: all slopes, and the page's table.

    python -m benchmarks.capacity [--quick] [--only NAME ...] [--keep FILE] [--json]
    python -m benchmarks.capacity --page          # docs/CAPACITY.md by the kept result, without a run

`--keep FILE` writes the result; with `--only` what else the file holds stays.  The table goes to standard output, or
with `--json` the result and the rows.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import msgspec

from benchmarks.capacity import model, page, rows, runs


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--quick", action="store_true", help="the short form for CI")
    parser.add_argument("--only", nargs="+", default=[], metavar="NAME", help="of the measurements")
    parser.add_argument("--keep", type=Path, help="write the result to this file")
    parser.add_argument("--seconds", type=float, help="that each point of control is looked at")
    parser.add_argument("--page", action="store_true", help="write the table into the page, of the kept result")
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    if given.page:
        page.write()
        return 0
    before = model.read(given.keep) if given.only and given.keep and given.keep.exists() else None
    result = runs.measure(given.quick, given.only, before, given.seconds)
    if given.keep:
        model.write(result, given.keep)
    if given.json:
        told = {"result": result, "rows": rows.requirements(result, None)}
        print(msgspec.json.encode(told).decode())
    else:
        print(page.render(result, None))
    return 0


if __name__ == "__main__":
    sys.exit(main())
