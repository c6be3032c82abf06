"""A statically safe subset of CEL: checked and bounded at load, compiled once, and unable to fail afterwards.

`RuleSet` is what a dispatcher needs; `Checker` and `Evaluator` serve a single expression.
"""

from thistleshore.expressions.diagnostics import ExpressionError, Source
from thistleshore.expressions.model import Limits, request_environment, routed_environment
from thistleshore.expressions.networks import NetworkError, address_set
from thistleshore.expressions.record import Request, RequestError
from thistleshore.expressions.rules import Kind, Rule, RuleErrors, RuleSet

__all__ = [
    "ExpressionError",
    "Kind",
    "Limits",
    "NetworkError",
    "Request",
    "RequestError",
    "Rule",
    "RuleErrors",
    "RuleSet",
    "Source",
    "address_set",
    "request_environment",
    "routed_environment",
]
