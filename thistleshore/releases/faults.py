"""Fault points: named places in the code at which a test can kill the process.  Disabled under `-O`.

`THISTLESHORE_FAULT=NAME@FILE` kills the process the first time it reaches the point NAME and creates FILE; while FILE
exists, no process is killed again.
"""

from __future__ import annotations

import os
import signal

POINTS = ("driver-before", "driver-after", "keeper-taken", "keeper-beside", "keeper-trial", "keeper-ending")
CONFIGURATION_POINTS = (
    "configuration-deposited",
    "configuration-agreed",
    "configuration-checked",
    "configuration-durable",
    "configuration-in-force",
)


def point(name: str) -> None:
    """Kill the process here if the environment selects this fault point."""
    if __debug__:
        wanted, _, file = os.environ.get("THISTLESHORE_FAULT", "").partition("@")
        if wanted == name and file:
            try:
                os.close(os.open(file, os.O_CREAT | os.O_EXCL))
            except FileExistsError:
                return
            os.kill(os.getpid(), signal.SIGKILL)
