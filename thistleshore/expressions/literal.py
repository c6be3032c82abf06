"""A text as a literal of the expressions."""

from __future__ import annotations


def quoted(text: str) -> str:
    """A text as a literal."""
    safe = "".join(c if c.isprintable() and c not in '"\\' else f"\\U{ord(c):08x}" for c in text)
    return f'"{safe}"'
