"""What is wrong with an expression, where, and what would be right."""

from __future__ import annotations

from typing import NamedTuple


class Span(NamedTuple):
    """A place in an expression's text: offsets in characters, the end excluded."""

    start: int
    end: int


class Source(NamedTuple):
    """An expression's text and where it stands.

    `file` and `key` name the place in an operator's file ("" where there is none); `line` and `column`, from 1,
    say where the text begins there, 0 where that is not known.
    """

    text: str
    file: str = ""
    key: str = ""
    line: int = 0
    column: int = 0

    def place(self, offset: int) -> tuple[int, int]:
        """Line and column, both from 1: in the file where they are known, else in the expression."""
        before = self.text[:offset]
        line, column = before.count("\n") + 1, offset - (before.rfind("\n") + 1) + 1
        if not self.line:
            return line, column
        return self.line + line - 1, column + (self.column - 1 if line == 1 else 0)

    def shown(self, offset: int) -> tuple[str, int]:
        """The line of text around an offset, cut to a width that fits a terminal, and the caret's place in it."""
        start = self.text.rfind("\n", 0, offset) + 1
        end = self.text.find("\n", offset)
        end = len(self.text) if end < 0 else end
        first = max(start, offset - 60)
        return self.text[first : min(end, first + 110)].replace("\t", " "), offset - first


class ExpressionError(ValueError):
    """An expression that is refused at load; never raised by one that was accepted.

    `reason` says what is wrong, `hint` what would be right ("" where nothing sensible can be said).
    """

    def __init__(self, reason: str, span: Span, hint: str = "", source: Source | None = None) -> None:
        super().__init__(reason)
        self.reason, self.span, self.hint = reason, span, hint
        self.source = source or Source("")

    def at(self, source: Source) -> ExpressionError:
        self.source = source
        return self

    @property
    def place(self) -> str:
        """`FILE:LINE:COLUMN: KEY`, as far as each is known."""
        line, column = self.source.place(self.span.start)
        head = f"{self.source.file}:{line}:{column}" if self.source.file else f"{line}:{column}"
        return f"{head}: {self.source.key}" if self.source.key else head

    def __str__(self) -> str:
        text, caret = self.source.shown(self.span.start)
        width = max(1, min(self.span.end - self.span.start, len(text) - caret))
        told = f"{self.place}: {self.reason}\n    {text}\n    {' ' * caret}{'^' * width}"
        return f"{told}\n    {self.hint}" if self.hint else told
