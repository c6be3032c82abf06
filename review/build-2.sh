#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the build of the deploy file: their stand-ins, which use the
# standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m py_compile review/standins2.py review/6/case.py review/7/case.py
