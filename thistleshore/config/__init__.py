"""The one place where configuration is read, checked and given defaults.

The platform tells a dispatcher by `PROXY_*` and a JSON file (`platform.py`).  An operator's own TOML file is named by
`PROXY_OPERATOR` (`operator.py`); there an unknown key is an error.  What an operator's file needs is imported only
where one is read.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from thistleshore.config.errors import ConfigError
from thistleshore.config.platform import SOCKETS_SPARE, Plan, address, platform_file, platform_plan

__all__ = [
    "SOCKETS_SPARE",
    "ConfigError",
    "Plan",
    "address",
    "load",
    "operator_file",
    "operator_plan",
    "platform_plan",
]


def load(environ: Mapping[str, str], epoch: float, before: Plan | None = None) -> Plan:
    """The plan that the environment names; `epoch` is what the program's clock showed at Unix time 0.

    Read again, with the plan `before`, the file's address of discovery goes before the environment's, which is that of
    the start, and names keep their numbers.
    """
    if own := environ.get("PROXY_OPERATOR"):
        return operator_file(own, epoch, "PROXY_OPERATOR")
    if path := environ.get("PROXY_CONFIG"):
        return platform_file(path, environ, epoch, before)
    raise ConfigError("PROXY_CONFIG: the path of the platform's JSON file is wanted")


def operator_file(path: str, epoch: float, named_by: str = "") -> Plan:
    """The plan of an operator's file; `named_by` is said where the file cannot be read at all."""
    from thistleshore.config import operator

    return operator.read(path, epoch, named_by or path)


def operator_plan(conf: Mapping[str, Any], epoch: float) -> Plan:
    """The plan of an operator's tables."""
    from thistleshore.config import operator

    return operator.Reader(conf).plan(epoch)
