#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the build of the deploy file: their stand-ins, which use the
# standard library alone. Case 8 serves an operator's file, and uses what review/build.sh gets for that: libraries
# of the project's own extra `operator`, or where they cannot be had the few lines of review/1/substitutes.
cd "$(dirname "$0")/.." || exit 2
sh review/build.sh || echo "review/build.sh has failed: case 8 uses review/1/substitutes" >&2
exec .venv/bin/python -m py_compile review/standins2.py review/tubes2.py review/6/case.py review/7/case.py \
    review/8/case.py review/9/case.py review/10/case.py
