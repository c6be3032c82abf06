"""`python -m thistleshore.rig.reaper FOLDER`: at the end of its input it ends what the keepers there have started.

A dispatcher outlives its keeper by design, so that no signal at a parent's death can end it.
"""

from __future__ import annotations

import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

from thistleshore.releases import keeping


def main(folder: Path) -> None:
    sys.stdin.buffer.read()
    for file in folder.glob(f"*/{keeping.FILE}"):
        with suppress(ValueError, OSError):
            found = keeping.read(file.parent)
            for child in (found.serving, found.newcomer) if found is not None else ():
                if child is not None and keeping.is_running(child):
                    os.kill(child.pid, signal.SIGKILL)


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    main(Path(sys.argv[1]))
