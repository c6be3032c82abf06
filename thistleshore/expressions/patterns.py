"""Patterns: google-re2 only, whose matching time grows with the text and never beyond, within limits of our own.

A pattern is scanned before re2 sees it, so that what is refused is named with its place.
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any, NamedTuple

import re2

REPEAT_MOST = 256  # copies that nested counted repetitions may ask for in all, {10}{20} being 200
PROGRAM_MOST = 500  # instructions of re2's program
TEXT_MOST = 1024  # characters of a pattern
MEMORY = 1 << 20  # bytes that re2 may use for a pattern; past them it falls back, still in linear time
NESTING_MOST = 20


class PatternError(ValueError):
    """A pattern that is refused; `offset` and `size` are where, in its characters."""

    def __init__(self, reason: str, offset: int, size: int = 1, hint: str = "") -> None:
        super().__init__(reason)
        self.reason, self.offset, self.size, self.hint = reason, offset, size, hint


class Pattern(NamedTuple):
    """A sound pattern; `digits` are the bounds of the integers that it lets pass, None where it lets pass others."""

    text: str
    search: Any
    program: int
    digits: tuple[int, int] | None
    prefix: str  # what every text that it lets pass begins with

    def found_in(self, text: str) -> bool:
        return text.startswith(self.prefix) and self.search(text.encode()) is not None

    @property
    def factor(self) -> int:
        """Units for each 32 characters: a larger program visits more states."""
        return 1 + self.program // 16


_LOOK = re.compile(r"\(\?(?:<?[=!])")
_COUNT = re.compile(r"\{(\d+)(,(\d*))?\}")


def _scan(text: str) -> None:
    """Refuse what re2 lacks, or what would make a huge program, with its place."""
    at, depth = 0, 0
    copies = [1]  # for each open group: the most copies asked for inside it so far
    last = 1  # copies within the item that a repetition would repeat
    while at < len(text):
        letter = text[at]
        if letter == "\\":
            following = text[at + 1 : at + 2]
            if following.isdigit() and following != "0" or following in "kg" and following:
                raise PatternError(
                    f"there are no back-references: \\{following}", at, 2, "compare the parts with `==` after `split`"
                )
            if following in ("p", "P", "x") and text[at + 2 : at + 3] == "{":
                at = max(text.find("}", at), at + 2)
            at, last = at + 2, 1
            continue
        if letter == "[":
            end = at + 1
            end += text[end : end + 1] == "^"
            end += text[end : end + 1] == "]"
            while end < len(text) and text[end] != "]":
                end += 2 if text[end] == "\\" else 1
                if text[end - 1 : end + 1] == "[:":
                    end = max(text.find(":]", end), end) + 1
            at, last = end + 1, 1
            continue
        if letter == "(":
            if look := _LOOK.match(text, at):
                raise PatternError(
                    "there is no look-around",
                    at,
                    len(look[0]),
                    "match both parts by patterns of their own, joined by `&&`",
                )
            if text.startswith("(?P=", at):
                raise PatternError("there are no back-references", at, 4)
            depth += 1
            if depth > NESTING_MOST:
                raise PatternError(f"groups are nested deeper than {NESTING_MOST}", at)
            copies.append(1)
        elif letter == ")" and depth:
            depth -= 1
            last = copies.pop()
            copies[-1] = max(copies[-1], last)
        elif letter == "{" and (count := _COUNT.match(text, at)):
            most = int((count[3] or count[1])[:9])
            # Counted repetitions are unrolled: nested, their copies multiply.
            if most * last > REPEAT_MOST:
                reason = f"repetitions ask for {most * last} copies, {REPEAT_MOST} at most"
                raise PatternError(reason, at, len(count[0]), "use `*` or `+`, and `size(..)` for a length")
            last = max(1, most * last)
            copies[-1] = max(copies[-1], last)
            at += len(count[0])
            continue
        elif letter not in "*+?":
            last = 1
        at += 1


_DIGITS = re.compile(r"(\[0-9\]|\[1-9\]|\\d|[0-9])(\{(\d+)(?:,(\d*))?\}|\?|\+|\*)?")


def digits(text: str) -> tuple[int, int] | None:
    """The bounds of the integers that a pattern of the form `^-?[0-9]{1,9}$` lets pass; None for any other."""
    anchored = re.fullmatch(r"(?:\^|\\A)(-\??)?(.+?)(?:\$|\\z)", text)
    if anchored is None:
        return None
    least, most, at, body = 0, 0, 0, anchored[2]
    while at < len(body):
        item = _DIGITS.match(body, at)
        if item is None:
            return None
        count = item[2]
        if count in ("+", "*"):
            return None  # without an end: the text may not fit 64 bits
        low, high = (0, 1) if count == "?" else (int(item[3]), int(item[4] or item[3])) if count else (1, 1)
        if count and count.endswith(",}"):
            return None
        least, most, at = least + low, most + high, item.end()
    if least < 1 or most > 18:
        return None
    bound: int = 10**most - 1
    return (-bound if anchored[1] else 0, 0 if anchored[1] == "-" else bound)


def _prefix(text: str) -> str:
    """The literal behind `^` that every text let through begins with; "" where there is none to be sure of."""
    found = re.match(r"\^((?:[A-Za-z0-9/_\-~ ,:;=%&@!#]|\\[.\-/+])*)", text)
    if found is None or "|" in text:
        return ""  # an alternative may begin otherwise
    literal, following = found[1], text[found.end() : found.end() + 1]
    if following in ("*", "+", "?", "{") and following and literal:
        literal = literal[:-2] if literal[-2:-1] == "\\" else literal[:-1]  # the last one may be missing
    return re.sub(r"\\(.)", r"\1", literal)


@lru_cache(maxsize=4096)
def pattern(text: str) -> Pattern:
    """A sound pattern, or PatternError."""
    if len(text) > TEXT_MOST:
        raise PatternError(f"a pattern holds {TEXT_MOST} characters at most", 0)
    if "\0" in text:
        raise PatternError("a pattern holds no NUL", text.index("\0"))
    _scan(text)
    options = re2.Options()
    options.log_errors, options.max_mem, options.never_capture = False, MEMORY, True
    try:
        found = re2.compile(text.encode(), options)  # bytes: half the time of str
    except re2.error as problem:
        said = problem.args[0].decode("utf-8", "replace") if isinstance(problem.args[0], bytes) else str(problem)
        reason, _, fragment = said.partition(": ")
        offset = max(0, text.rfind(fragment)) if fragment else 0
        raise PatternError(f"re2: {said or reason}", offset, max(1, len(fragment))) from None
    program = max(found.programsize, found.reverseprogramsize)
    if program > PROGRAM_MOST:
        raise PatternError(
            f"its program has {program} instructions, {PROGRAM_MOST} at most",
            0,
            len(text),
            "repeat less, or take the pattern apart",
        )
    return Pattern(text, found.search, program, digits(text), _prefix(text))
