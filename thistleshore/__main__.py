"""`python -m thistleshore`.

Without arguments it serves as the environment says: the platform by `PROXY_CONFIG`, an operator's file by
`PROXY_OPERATOR`.  With arguments it is the command line, `thistleshore.cli`.
"""

from __future__ import annotations

import os
import sys

from thistleshore.process import run


def main() -> int:
    if len(sys.argv) > 1:
        from thistleshore.cli import main as command_line  # an operator's tool: the platform never gets here

        return command_line()
    return run(os.environ)


if __name__ == "__main__":
    sys.exit(main())
