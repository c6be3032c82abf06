"""Settings read again while the program runs: whole or not at all, and with every name at its old number.

Open streams, estimates and limits name classes and tenants by number.  So those of before keep theirs, dropped ones
too; new ones come behind them.  A file's own numbers, which name places in its lists, are translated.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any, NamedTuple

from thistleshore.config.errors import ConfigError

MAY_GO = ("known", "seed")  # of use at a start only
INNER = ("limits", "rules")
NAMED = ("lanes", "tenants", "localities", "kinds")
# Keys whose values are numbers of `kinds` or `localities`, with the list that they mean.
BOUND = {"boundTo": "kinds", "localitiesAllowed": "localities"}  # of a class, each a list of numbers
OWN_LOCALITY, CLASS_KIND = "locality", "classKind"
BY_CLASS = {"classStretch": 0.0, "classKind": -1}  # lists of `familyInfo` in the order of the classes, and a default


class Origin(NamedTuple):
    """Where the item of a number comes from: the list of the new file, or that of the settings before."""

    is_new: bool
    position: int


@dataclass(frozen=True, slots=True)
class Renumbered:
    """Settings with the numbers of earlier ones, and which of these numbers they no longer name."""

    settings: Mapping[str, Any]
    retired_classes: frozenset[int] = frozenset()
    retired_tenants: frozenset[int] = frozenset()
    first_locality: int = 0  # the number of the first one in the file's list
    first_kind: int = 0


def check_whole(conf: Mapping[str, Any], before: Mapping[str, Any]) -> None:
    """ConfigError where a key is missing that the file in force has: a file that lost one is a broken file."""
    _no_less(conf, before, "", MAY_GO)
    new, old = conf["settings"], before["settings"]
    _no_less(new, old, "settings.")
    for key in INNER:
        if isinstance(old.get(key), Mapping):
            _no_less(new[key], old[key], f"settings.{key}.")
    for key in ("lanes", "tenants"):
        known = [item for item in old.get(key, []) if isinstance(item, Mapping)]
        always = set.intersection(*(set(item) for item in known)) if known else set()
        for n, item in enumerate(new.get(key, [])):
            _no_less(item, dict.fromkeys(always), f"settings.{key}[{n}].")


def _no_less(new: Any, old: Mapping[str, Any], path: str, may_go: Sequence[str] = ()) -> None:
    if not isinstance(new, Mapping):
        raise ConfigError(f"{path.rstrip('.')}: an object is wanted")
    for key in old:
        if key not in new and key not in may_go:
            raise ConfigError(f"{path}{key}: missing")


def renumbered(given: Mapping[str, Any], before: Mapping[str, Any]) -> Renumbered:
    """The settings `given`, with the names of `before` at their places; what was dropped stays there as it was."""
    origins = {key: _origins(given.get(key, []), before.get(key, [])) for key in NAMED}
    given = _translated(given, origins)
    made = dict(given)
    for key in NAMED:
        made[key] = _picked(origins[key], given.get(key, []), before.get(key, []))
    for key, default in BY_CLASS.items():
        new, old = (settings.get("familyInfo", {}).get(key, []) for settings in (given, before))
        if new or old:
            made["familyInfo"] = {**made.get("familyInfo", {}), key: _picked(origins["lanes"], new, old, default)}
    return Renumbered(
        made,
        _retired(origins["lanes"]),
        _retired(origins["tenants"]),
        _Numbers(origins["localities"]).translated(0),
        _Numbers(origins["kinds"]).translated(0),
    )


def _translated(given: Mapping[str, Any], origins: Mapping[str, Sequence[Origin]]) -> dict[str, Any]:
    """The settings `given`, with the numbers that kinds and localities have from now on."""
    numbers = {key: _Numbers(origins[key]) for key in BOUND.values()}
    made = {**given, OWN_LOCALITY: numbers["localities"].translated(given.get(OWN_LOCALITY, 0))}
    made["lanes"] = [_translated_class(lane, numbers) for lane in given.get("lanes", [])]
    if CLASS_KIND in (info := given.get("familyInfo", {})):
        made["familyInfo"] = {**info, CLASS_KIND: [numbers["kinds"].translated(kind) for kind in info[CLASS_KIND]]}
    return made


def _translated_class(lane: Mapping[str, Any], numbers: Mapping[str, _Numbers]) -> dict[str, Any]:
    bound = {key: numbers[names] for key, names in BOUND.items() if isinstance(lane.get(key), list)}
    return {**lane, **{key: [found.translated(number) for number in lane[key]] for key, found in bound.items()}}


class _Numbers:
    """From a name's number in the file to its number from now on."""

    def __init__(self, origins: Sequence[Origin]) -> None:
        self._kept = {origin.position: kept for kept, origin in enumerate(origins) if origin.is_new}
        self._retired = len(origins) - len(self._kept)

    def translated(self, number: Any) -> Any:
        """The number from now on, behind all others where no name has it; what is no such number stays as it is."""
        if isinstance(number, bool) or not isinstance(number, int | float) or not (isfinite(number) and number >= 0):
            return number
        return self._kept.get(int(number), int(number) + self._retired) if number == int(number) else number


def _retired(origins: Sequence[Origin]) -> frozenset[int]:
    return frozenset(number for number, origin in enumerate(origins) if not origin.is_new)


def _origins(new: Sequence[Any], old: Sequence[Any]) -> list[Origin]:
    """Where to take each item from: those of `old` in their order, as `new` has them if it does, then new ones."""
    index_of = {_name(item): index for index, item in enumerate(new)}
    known = [_name(item) for item in old]
    kept = [Origin(name in index_of, index_of.get(name, index)) for index, name in enumerate(known)]
    return kept + [Origin(True, index) for index, item in enumerate(new) if _name(item) not in known]


def _picked(origins: Sequence[Origin], new: Sequence[Any], old: Sequence[Any], default: Any = None) -> list[Any]:
    picked = []
    for origin in origins:
        source = new if origin.is_new else old
        picked.append(source[origin.position] if origin.position < len(source) else default)
    return picked


def _name(item: Any) -> Any:
    return item.get("name") if isinstance(item, Mapping) else item
