"""Logging of an operator's installation: structlog over the standard library's records, as JSON or for a console.

The platform's dispatcher imports none of it, and keeps its plain lines.
"""

from __future__ import annotations

import logging
import sys
from typing import Any

FORMATS = ("plain", "json", "console")


def configure(form: str) -> None:
    """Render every record of the program in the given form, on standard error; `plain` leaves it as it is."""
    if form == "plain":
        return
    import structlog  # only where it is asked for

    shared: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    last: Any = structlog.processors.JSONRenderer(sort_keys=True)
    if form == "console":
        last = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    formatter = structlog.stdlib.ProcessorFormatter(
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, last], foreign_pre_chain=shared
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
