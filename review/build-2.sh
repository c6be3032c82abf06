#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the build of the deploy file: their stand-ins, which use the
# standard library alone, and for the beanstalkd cases an environment with the project's own extra `operator`.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m py_compile review/standins2.py review/tubes2.py review/[0-9]*/case.py || exit 1
if ! review/.venv/bin/python -c 'import msgspec, netaddr, re2, trio, h11' 2>/dev/null; then
    rm -rf review/.venv
    copy=$(mktemp -d)
    cp -R pyproject.toml README.md LICENSE oxbowarch thistleshore "$copy"
    python3 -m venv review/.venv && review/.venv/bin/pip -q install --disable-pip-version-check "$copy[operator]" ||
        echo "review/.venv could not be built: the beanstalkd cases will end with 2" >&2
    rm -rf "$copy"
fi
