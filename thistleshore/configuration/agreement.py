"""Pure functions that change the register's value: push and rollback of configuration versions, and the current stamp.

Before a change is proposed, its body must be on the disks of a majority of the voters, see `Releases.deposit`.  That
applies to a rollback as well, as voters added since may lack its body.  A voter refuses a value whose current body it
does not have, so a change without its body cannot be agreed on.
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

ACT = "configured"  # name of the act in the register's history; the version number is its subject
AGAINST, UNKNOWN, IN_FORCE = "against", "version", "in-force"  # limits that a refusal names


def push(
    value: Value, against: int | None, digest: str, size: int, by: str, reason: str, when: float
) -> Value | Refusal:
    """Return the value with a new version, or a Refusal if `against` (unless None) is not the version in force.

    If the body is already in force, the value is unchanged, so a push whose answer was lost can be repeated.  The same
    holds for a push that was already agreed on, whatever followed it: see `find_existing_change`.
    """
    current = value.configuration.current
    if current is not None and current.digest == digest or find_existing_change(value, digest, by, when) is not None:
        return value
    if (refused := _refuse_if_outdated(value.configuration, against)) is not None:
        return refused
    return _with_entry(value, digest, size, by, reason, when, restored=0)


def rollback(value: Value, number: int, against: int | None, by: str, reason: str, when: float) -> Value | Refusal:
    """Return the value with a new version that has the body of the earlier version `number`, or a Refusal.

    If that body is already in force under a later number, the value is unchanged.
    """
    configuration = value.configuration
    entry = _entry(configuration, number)
    if entry is None:
        available = ", ".join(str(entry.number) for entry in configuration.history) or "none"
        message = f"no version {number} is kept; there are: {available}"
        return Refusal(UNKNOWN, configuration.number, (), message)
    if number == configuration.number:
        return Refusal(IN_FORCE, configuration.number, (), f"version {number} is in force")
    current = configuration.current
    if (
        current is not None
        and current.digest == entry.digest
        or find_existing_change(value, entry.digest, by, when) is not None
    ):
        return value
    if (refused := _refuse_if_outdated(configuration, against)) is not None:
        return refused
    return _with_entry(value, entry.digest, entry.size, by, reason, when, restored=number)


def find_existing_change(value: Value, digest: str, by: str, when: float) -> ConfigurationEntry | None:
    """Return the version that this change has already created, or None.

    A change is proposed again if its round conflicted with another, whose proposer may have completed it: applied
    twice, it would revert what others have pushed since.  An instance gives each of its changes a unique time.
    """
    entries = reversed(value.configuration.history)
    return next((e for e in entries if (e.digest, e.by, e.when) == (digest, by, when)), None)


def stamp(value: Value, register: int) -> Stamp:
    """Return the stamp of the current version of that register, or NO_VERSION if none was pushed yet."""
    current = value.configuration.current
    if current is None:
        return NO_VERSION
    return Stamp(register, current.number, current.digest, current.size)


def _entry(configuration: Configuration, number: int) -> ConfigurationEntry | None:
    return next((entry for entry in configuration.history if entry.number == number), None)


def _refuse_if_outdated(configuration: Configuration, against: int | None) -> Refusal | None:
    """Return a Refusal that lists the versions since `against`, or None if `against` is in force or None."""
    if against is None or against == configuration.number:
        return None
    if against > configuration.number:
        message = f"there is no version {against}; version {configuration.number} is in force"
        return Refusal(AGAINST, configuration.number, (), message)
    between = [entry for entry in configuration.history if entry.number > against]
    message = f"made against version {against}, and version {configuration.number} is in force; in between: "
    if between and between[0].number > against + 1:
        message += f"versions before {between[0].number}, which are not kept any more; "
    message += "; ".join(_describe(entry) for entry in between)
    return Refusal(AGAINST, configuration.number, tuple(str(entry.number) for entry in between), message)


def _describe(entry: ConfigurationEntry) -> str:
    restored = f", which restored {entry.restored}" if entry.restored else ""
    return f"version {entry.number} by {entry.by}{restored} ({entry.reason or 'no reason given'})"


def _with_entry(
    value: Value, digest: str, size: int, by: str, reason: str, when: float, restored: int
) -> Value | Refusal:
    previous = value.configuration
    number = previous.number + 1
    reason = reason[:MAX_REASON_LENGTH]
    entry = ConfigurationEntry(number, digest, size, by, reason, when, previous.number, restored)
    history = (*previous.history, entry)[-MAX_CONFIGURATIONS:]
    updated = msgspec.structs.replace(previous, number=number, history=history)
    return with_change(value, ACT, str(number), reason, by, when, configuration=updated)
