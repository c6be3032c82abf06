#!/bin/sh
# Builds what the cases start beside the deploy file's build.
# The stand-ins are Python text and use the standard library alone: they are compiled, which shows a fault in them early.
# Case 1 serves an operator's file, for which the project declares the extra `operator`.  The libraries of it that the
# dispatcher imports go into a folder of their own, so that `.venv` stays as the deploy file builds it.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
python="$here/../.venv/bin/python"
"$python" -m compileall -q "$here"/*.py "$here"/[123]
names="google-re2 lark msgspec netaddr xxhash"
wanted=$("$python" - "$here/../pyproject.toml" $names <<'END'
import sys, tomllib
with open(sys.argv[1], "rb") as file:
    extra = tomllib.load(file)["project"]["optional-dependencies"]["operator"]
print(*(wanted for wanted in extra if wanted.split(">=")[0] in sys.argv[2:]))
END
)
if ! PYTHONPATH="$here/lib" "$python" -c "import lark, msgspec, netaddr, re2, xxhash" 2>/dev/null; then
    # shellcheck disable=SC2086
    "$python" -m pip install -q --disable-pip-version-check --retries 1 --timeout 15 --target "$here/lib" $wanted ||
        echo "the extra operator cannot be had: case 1 runs with the few lines of review/1/substitutes" >&2
fi
