"""The plain evaluator: walks the tree, and counts what each step costs.

It is the reference: the compiled form must give the same values, and no count may exceed a node's `units`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from thistleshore.expressions.functions import OPERATIONS, matches_units, network_units, size, split, split_units
from thistleshore.expressions.model import Node
from thistleshore.expressions.types import weighed


class Step(NamedTuple):
    """One evaluated node, for a trace."""

    node: Node
    value: Any
    units: int  # its own cost, without its parts


class Evaluator:
    """Evaluates checked expressions for one request; `read` gives the value of a variable by its path."""

    def __init__(self, read: Callable[[str], Any], trace: list[Step] | None = None) -> None:
        self.read, self.trace, self.units = read, trace, 0
        self._bound: list[Any] = []

    def _charge(self, node: Node, value: Any, units: int) -> Any:
        self.units += units
        if self.trace is not None:
            self.trace.append(Step(node, value, units))
        return value

    def value(self, node: Node) -> Any:
        op, args = node.op, node.args
        if op == "const":
            return node.value
        if op == "var":
            return self._charge(node, self.read(node.value), 1)
        if op == "bound":
            return self._charge(node, self._bound[node.value], 1)
        if op == "not":
            return self._charge(node, not self.value(args[0]), 1)
        if op in ("and", "or"):
            going = op == "and"
            value = all(map(self.value, args)) if going else any(map(self.value, args))
            return self._charge(node, value, 1)
        if op == "cond":
            return self._charge(node, self.value(args[1] if self.value(args[0]) else args[2]), 1)
        if op == "or_value":
            found = self.value(args[0])
            return self._charge(node, found[0] if found else self.value(args[1]), 1)
        if op in ("exists", "all", "exists_one"):
            return self._macro(node)
        values = [self.value(arg) for arg in args]
        if op == "list":
            return self._charge(node, values, 1 + len(values))
        if op == "map":
            return self._charge(node, dict(zip(values[::2], values[1::2], strict=True)), 1 + len(values) // 2)
        if op == "matches":
            units = matches_units(node.value, len(values[0]))
            return self._charge(node, node.value.found_in(values[0]), units)
        if op == "split":
            return self._charge(node, split(values[0], *node.value), split_units(len(values[0]), *node.value))
        if op == "in_net":
            return self._charge(node, node.value.has(values[0]), network_units(node.value))
        operation = OPERATIONS[op]
        units = operation.units(*map(weighed if operation.weighs else size, values))
        return self._charge(node, operation.run(*values), units)

    def _macro(self, node: Node) -> bool:
        entries, test = self.value(node.args[0]), node.args[1]
        self._bound.append(None)
        met, units = 0, 1
        wanted = {"exists": 1, "all": 0, "exists_one": 2}[node.op]  # how many ends it early
        for entry in entries:
            self._bound[node.value] = entry
            units += 1
            held = self.value(test)
            if node.op == "all":
                if not held:
                    met = -1
                    break
            else:
                met += held
                if met == wanted:
                    break
        self._bound.pop()
        found = {"exists": met > 0, "all": met == 0, "exists_one": met == 1}[node.op]
        self._charge(node, found, units)
        return found


def evaluate(node: Node, read: Callable[[str], Any]) -> tuple[Any, int]:
    """The value, and the units that it cost."""
    at = Evaluator(read)
    return at.value(node), at.units
