"""An expression as other implementations of CEL take it: what is ours is spelled out, or becomes a plain call.

`m[?k].orValue(d)` becomes `(k in m ? m[k] : d)`, and with a literal int, which is taken for a list's index,
`(size(m) > k ? m[k] : d)`.  `inNet`, `isIP`, `ip`, `hash` and `bucket` stay calls, for which the
other side needs functions of these names.
"""

from __future__ import annotations

from thistleshore.expressions.syntax import Syntax


def write(tree: Syntax) -> str:
    """The text of a tree in plain CEL, in brackets wherever they might be needed."""
    if tree.kind == "method" and tree.value == "orValue" and tree.parts[0].kind == "opt_index":
        over, key = (write(part) for part in tree.parts[0].parts)
        other = write(tree.parts[1])
        if tree.parts[0].parts[1].kind == "int":
            return f"(size({over}) > {key} ? {over}[{key}] : {other})"
        return f"({key} in {over} ? {over}[{key}] : {other})"
    kind, parts = tree.kind, [write(part) for part in tree.parts]
    match kind:
        case "int":
            return str(tree.value)
        case "double":
            return repr(tree.value)
        case "bool":
            return "true" if tree.value else "false"
        case "string":
            return quoted(tree.value)
        case "name":
            return str(tree.value)
        case "list":
            return f"[{', '.join(parts)}]"
        case "map":
            return "{" + ", ".join(f"{k}: {v}" for k, v in zip(parts[::2], parts[1::2], strict=True)) + "}"
        case "and" | "or":
            return "(" + {"and": " && ", "or": " || "}[kind].join(parts) + ")"
        case "not":
            return f"!({parts[0]})"
        case "negate":
            return f"-({parts[0]})"
        case "cond":
            return f"({parts[0]} ? {parts[1]} : {parts[2]})"
        case "binary":
            return f"({parts[0]} {tree.value} {parts[1]})"
        case "select":
            return f"{parts[0]}.{tree.value}"
        case "index":
            return f"{parts[0]}[{parts[1]}]"
        case "call":
            return f"{tree.value}({', '.join(parts)})"
    if kind == "method":
        return f"{parts[0]}.{tree.value}({', '.join(parts[1:])})"
    raise ValueError(f"{kind} has no plain form")


def quoted(text: str) -> str:
    """A text as a literal."""
    safe = "".join(c if c.isprintable() and c not in '"\\' else f"\\U{ord(c):08x}" for c in text)
    return f'"{safe}"'
