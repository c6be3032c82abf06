"""Versions of the configuration as pure changes of the register's value: push, rollback, and the stamp in force.

Before a change is proposed, its body has to be on the disks of a majority of the voters, see `Releases.deposit`.  That
holds for a rollback as well: voters that were taken in since may lack its body.  A voter refuses a value whose current
body it does not hold, so a change without its body comes to nothing.
"""

from __future__ import annotations

import msgspec

from thistleshore.distribution.model import NO_VERSION, Stamp
from thistleshore.releases.model import (
    MAX_CONFIGURATIONS,
    MAX_REASON_LENGTH,
    Configuration,
    ConfigurationEntry,
    Refusal,
    Value,
)
from thistleshore.releases.places import with_change

ACT = "configured"  # in the register's own history, with the version's number as the name
AGAINST, UNKNOWN, IN_FORCE = "against", "version", "in-force"  # what a refusal names as its limit


def push(
    value: Value, against: int | None, digest: str, size: int, by: str, reason: str, when: float
) -> Value | Refusal:
    """A new version with that body, made against the version `against` (None: against whichever is in force).

    A body that is in force already leaves the value as it is, so a push whose answer was lost may be repeated.  So does
    a push that has been made, whatever came after it: see `find_existing_change`.
    """
    current = value.configuration.current
    if current is not None and current.digest == digest or find_existing_change(value, digest, by, when) is not None:
        return value
    if (refused := _moved_on(value.configuration, against)) is not None:
        return refused
    return _with_entry(value, digest, size, by, reason, when, restored=0)


def rollback(value: Value, number: int, against: int | None, by: str, reason: str, when: float) -> Value | Refusal:
    """A new version with the body of the earlier version `number`.

    Where that body is in force already, under a later number, the value stays as it is.
    """
    configuration = value.configuration
    entry = _entry(configuration, number)
    if entry is None:
        kept = ", ".join(str(entry.number) for entry in configuration.history) or "none"
        told = f"no version {number} is kept; there are: {kept}"
        return Refusal(UNKNOWN, configuration.number, (), told)
    if number == configuration.number:
        return Refusal(IN_FORCE, configuration.number, (), f"version {number} is in force")
    current = configuration.current
    if (
        current is not None
        and current.digest == entry.digest
        or find_existing_change(value, entry.digest, by, when) is not None
    ):
        return value
    if (refused := _moved_on(configuration, against)) is not None:
        return refused
    return _with_entry(value, entry.digest, entry.size, by, reason, when, restored=number)


def find_existing_change(value: Value, digest: str, by: str, when: float) -> ConfigurationEntry | None:
    """The version that this very change has made; None where it has made none yet.

    A change is proposed again where its round met another, whose proposer may have brought it about meanwhile: made
    twice, it would take back what others have pushed since.  An instance gives each of its changes a time of its own.
    """
    entries = reversed(value.configuration.history)
    return next((e for e in entries if (e.digest, e.by, e.when) == (digest, by, when)), None)


def stamp(value: Value, register: int) -> Stamp:
    """The version in force by the value of that register; NO_VERSION where none was pushed yet."""
    current = value.configuration.current
    if current is None:
        return NO_VERSION
    return Stamp(register, current.number, current.digest, current.size)


def _entry(configuration: Configuration, number: int) -> ConfigurationEntry | None:
    return next((entry for entry in configuration.history if entry.number == number), None)


def _moved_on(configuration: Configuration, against: int | None) -> Refusal | None:
    """A refusal where another version than `against` is in force; it names all that came between."""
    if against is None or against == configuration.number:
        return None
    if against > configuration.number:
        told = f"there is no version {against}; version {configuration.number} is in force"
        return Refusal(AGAINST, configuration.number, (), told)
    between = [entry for entry in configuration.history if entry.number > against]
    told = f"made against version {against}, and version {configuration.number} is in force; in between: "
    if between and between[0].number > against + 1:
        told += f"versions before {between[0].number}, which are not kept any more; "
    told += "; ".join(_told(entry) for entry in between)
    return Refusal(AGAINST, configuration.number, tuple(str(entry.number) for entry in between), told)


def _told(entry: ConfigurationEntry) -> str:
    restored = f", which restored {entry.restored}" if entry.restored else ""
    return f"version {entry.number} by {entry.by}{restored} ({entry.reason or 'no reason given'})"


def _with_entry(
    value: Value, digest: str, size: int, by: str, reason: str, when: float, restored: int
) -> Value | Refusal:
    before = value.configuration
    number = before.number + 1
    reason = reason[:MAX_REASON_LENGTH]
    entry = ConfigurationEntry(number, digest, size, by, reason, when, before.number, restored)
    history = (*before.history, entry)[-MAX_CONFIGURATIONS:]
    after = msgspec.structs.replace(before, number=number, history=history)
    return with_change(value, ACT, str(number), reason, by, when, configuration=after)
