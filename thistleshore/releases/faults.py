"""Fault points: named places at which a test has a process die.  Dead under `-O`.

`THISTLESHORE_FAULT=NAME@FILE` has it killed at the first pass of the point NAME; FILE is made then, and while it is
there nobody dies again.
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
    """Pass a named place."""
    if __debug__:
        wanted, _, file = os.environ.get("THISTLESHORE_FAULT", "").partition("@")
        if wanted == name and file:
            try:
                os.close(os.open(file, os.O_CREAT | os.O_EXCL))
            except FileExistsError:
                return
            os.kill(os.getpid(), signal.SIGKILL)
