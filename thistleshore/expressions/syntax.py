"""The grammar, and the tree that comes of a text; lark (LALR) does the parsing.

Syntax follows CEL.  Left out: uint and bytes literals, null, messages.  Sizes are bounded before anything walks the
tree, so that no text can exhaust the stack or the memory.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from typing import Any

from lark import Lark, Token, UnexpectedCharacters, UnexpectedEOF, UnexpectedToken, v_args
from lark.exceptions import UnexpectedInput, VisitError
from lark.visitors import Transformer_NonRecursive

from thistleshore.expressions.diagnostics import ExpressionError, Source, Span

TEXT_MOST = 16 * 1024  # characters of one expression
NESTING_MOST = 40  # brackets within brackets, and levels of the tree
INT_LEAST, INT_MOST = -(2**63), 2**63 - 1
RESERVED = frozenset(
    (
        "as",
        "break",
        "const",
        "continue",
        "else",
        "for",
        "function",
        "if",
        "import",
        "let",
        "loop",
        "null",
        "package",
        "namespace",
        "return",
        "var",
        "void",
        "while",
    )
)

GRAMMAR = r"""
start: expr
?expr: or_ | or_ "?" or_ ":" expr -> cond
?or_: and_ | or_ "||" and_ -> or2
?and_: rel | and_ "&&" rel -> and2
?rel: sum | rel RELOP sum -> binary | rel IN sum -> binary
?sum: product | sum ADDOP product -> binary | sum MINUS product -> binary
?product: unary | product MULOP unary -> binary
?unary: member | "!" unary -> not_ | MINUS unary -> negate
?member: primary
    | member "." IDENT -> select
    | member "." "?" IDENT -> opt_select
    | member "." IDENT "(" [args] ")" -> method
    | member "[" expr "]" -> index
    | member "[" "?" expr "]" -> opt_index
?primary: IDENT -> name
    | IDENT "(" [args] ")" -> call
    | "(" expr ")" -> paren
    | "[" [args] "]" -> list_
    | "[" args "," "]" -> list_
    | "{" [entries] "}" -> map_
    | "{" entries "," "}" -> map_
    | INT -> int_
    | FLOAT -> double_
    | STRING -> string_
    | TRUE -> true_
    | FALSE -> false_
args: expr | args "," expr
entries: entry | entries "," entry
entry: expr ":" expr
IN: "in"
TRUE: "true"
FALSE: "false"
RELOP: "==" | "!=" | "<=" | ">=" | "<" | ">"
ADDOP: "+"
MINUS: "-"
MULOP: "*" | "/" | "%"
IDENT: /[A-Za-z_][A-Za-z0-9_]*/
FLOAT.2: /([0-9]+\.[0-9]+([eE][+-]?[0-9]+)?|[0-9]+[eE][+-]?[0-9]+|\.[0-9]+([eE][+-]?[0-9]+)?)/
INT: /(0[xX][0-9a-fA-F]+|[0-9]+)[uU]?/
STRING.3: /[rRbB]{0,2}("{3}(?:[^"\\]|\\[\s\S]|"(?!""))*"{3}|'{3}(?:[^'\\]|\\[\s\S]|'(?!''))*'{3}|"(?!"")(?:[^"\\\n\r]|\\.)*"|'(?!'')(?:[^'\\\n\r]|\\.)*')/
%ignore /[ \t\f\r\n]+/
%ignore /\/\/[^\n]*/
"""  # noqa: E501


@dataclass(frozen=True, slots=True)
class Syntax:
    """One node as written.  `kind` is a rule of the grammar; `value` a literal, a name or an operator."""

    kind: str
    span: Span
    value: Any = None
    parts: tuple[Syntax, ...] = ()
    depth: int = 1


def _node(kind: str, start: int, end: int, value: Any = None, parts: tuple[Syntax, ...] = ()) -> Syntax:
    depth = 1 + max((part.depth for part in parts), default=0)
    if depth > NESTING_MOST:
        raise ExpressionError(
            f"it is nested deeper than {NESTING_MOST} levels",
            Span(start, end),
            "split it into several rules, or use `in [..]` or a map",
        )
    return Syntax(kind, Span(start, end), value, parts, depth)


@v_args(meta=True)
class _Build(Transformer_NonRecursive[Token, Syntax]):
    """Turns lark's tree into nodes from the leaves up, without recursion: a long sum is a deep tree."""

    def start(self, meta: Any, found: list[Any]) -> Any:
        return found[0]

    def cond(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("cond", meta.start_pos, meta.end_pos, None, tuple(found))

    def _chain(self, kind: str, meta: Any, found: list[Any]) -> Syntax:
        """A run of `&&` or `||` is one node: a hundred alternatives are no hundred levels."""
        left, right = found
        parts = (*left.parts, right) if left.kind == kind else (left, right)
        return _node(kind, meta.start_pos, meta.end_pos, None, parts)

    def or2(self, meta: Any, found: list[Any]) -> Syntax:
        return self._chain("or", meta, found)

    def and2(self, meta: Any, found: list[Any]) -> Syntax:
        return self._chain("and", meta, found)

    def binary(self, meta: Any, found: list[Any]) -> Syntax:
        left, word, right = found
        return _node("binary", meta.start_pos, meta.end_pos, str(word), (left, right))

    def not_(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("not", meta.start_pos, meta.end_pos, None, (found[0],))

    def negate(self, meta: Any, found: list[Any]) -> Syntax:
        inner = found[1]
        if inner.kind == "int" and inner.value > 0:
            return _node("int", meta.start_pos, meta.end_pos, -inner.value)
        return _node("negate", meta.start_pos, meta.end_pos, None, (inner,))

    def select(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("select", meta.start_pos, meta.end_pos, str(found[1]), (found[0],))

    def opt_select(self, meta: Any, found: list[Any]) -> Syntax:
        key = _node("string", found[1].start_pos, found[1].end_pos, str(found[1]))
        return _node("opt_index", meta.start_pos, meta.end_pos, None, (found[0], key))

    def method(self, meta: Any, found: list[Any]) -> Syntax:
        receiver, name, given = found
        return _node("method", meta.start_pos, meta.end_pos, str(name), (receiver, *(given or ())))

    def call(self, meta: Any, found: list[Any]) -> Syntax:
        name, given = found
        return _node("call", meta.start_pos, meta.end_pos, str(name), tuple(given or ()))

    def index(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("index", meta.start_pos, meta.end_pos, None, tuple(found))

    def opt_index(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("opt_index", meta.start_pos, meta.end_pos, None, tuple(found))

    def name(self, meta: Any, found: list[Any]) -> Syntax:
        word = str(found[0])
        if word in RESERVED:
            raise ExpressionError(f"{word!r} is a reserved word", Span(meta.start_pos, meta.end_pos))
        return _node("name", meta.start_pos, meta.end_pos, word)

    def paren(self, meta: Any, found: list[Any]) -> Syntax:
        # In brackets, `(a && b) && c` still means one chain; its span grows so that a caret shows all of it.
        inner: Syntax = found[0]
        return replace(inner, span=Span(meta.start_pos, meta.end_pos))

    def list_(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("list", meta.start_pos, meta.end_pos, None, tuple(found[0] or ()))

    def map_(self, meta: Any, found: list[Any]) -> Syntax:
        parts = tuple(part for entry in found[0] or () for part in entry)
        return _node("map", meta.start_pos, meta.end_pos, None, parts)

    def args(self, meta: Any, found: list[Any]) -> list[Any]:
        if len(found) == 1:
            return found
        found[0].append(found[1])  # the list made for this run, and seen by nobody else
        return found[0]  # type: ignore[no-any-return]

    entries = args

    def entry(self, meta: Any, found: list[Any]) -> tuple[Any, ...]:
        return tuple(found)

    def int_(self, meta: Any, found: list[Any]) -> Syntax:
        text, span = str(found[0]), Span(meta.start_pos, meta.end_pos)
        if text[-1] in "uU":
            raise ExpressionError("there are no unsigned integers here", span, f"write `{text[:-1]}`")
        if len(text) > 20:
            raise ExpressionError("the integer does not fit 64 bits", span)
        value = int(text, 16) if text[:2] in ("0x", "0X") else int(text)
        if value > INT_MOST + 1:  # one more is met again with its minus sign, or refused by the checker
            raise ExpressionError("the integer does not fit 64 bits", span)
        return _node("int", *span, value)

    def double_(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("double", meta.start_pos, meta.end_pos, float(found[0]))

    def string_(self, meta: Any, found: list[Any]) -> Syntax:
        span = Span(meta.start_pos, meta.end_pos)
        return _node("string", *span, unquote(str(found[0]), span))

    def true_(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("bool", meta.start_pos, meta.end_pos, True)

    def false_(self, meta: Any, found: list[Any]) -> Syntax:
        return _node("bool", meta.start_pos, meta.end_pos, False)


_ESCAPE = re.compile(
    r"\\(?:([abfnrtv\\?\"'`])|[xX]([0-9a-fA-F]{2})|u([0-9a-fA-F]{4})|U([0-9a-fA-F]{8})|([0-3][0-7]{2})"
    r"|([\s\S]?))"
)
_PLAIN = dict(zip("abfnrtv\\?\"'`", "\a\b\f\n\r\t\v\\?\"'`", strict=True))


def unquote(text: str, span: Span) -> str:
    """What a string literal means; ExpressionError for an escape that CEL does not know."""
    bare = text.lstrip("rRbB")
    prefix = text[: len(text) - len(bare)].lower()
    if "b" in prefix:
        raise ExpressionError("there are no bytes here", span, "write it as a string")
    if prefix == "rr":
        raise ExpressionError("a raw string has one r", span)
    body = bare[3:-3] if bare[:3] in ('"""', "'''") else bare[1:-1]
    if prefix:
        return _sound(body, span)

    def one(match: re.Match[str]) -> str:
        plain, *numbers, octal, odd = match.groups()
        if plain is not None:
            return _PLAIN[plain]
        if octal is not None:
            return chr(int(octal, 8))
        number = next((n for n in numbers if n is not None), None)
        if number is None or int(number, 16) > 0x10FFFF:
            what = f"\\{odd}" if number is None else match[0]
            raise ExpressionError(
                f"no such escape in a string: {what}", span, 'a backslash is written `\\\\`, or use r".."'
            )
        return chr(int(number, 16))

    return _sound(_ESCAPE.sub(one, body), span)


def _sound(text: str, span: Span) -> str:
    if any("\ud800" <= letter <= "\udfff" for letter in text):
        raise ExpressionError("a string holds Unicode scalar values only, no surrogates", span)
    return text


_BUILD = _Build()
_LARK = Lark(GRAMMAR, parser="lalr", start="start", propagate_positions=True, maybe_placeholders=True)
_OPEN, _CLOSE = frozenset("([{"), frozenset(")]}")
_SAID = {"RPAR": "`)`", "RSQB": "`]`", "RBRACE": "`}`", "COLON": "`:`", "COMMA": "`,`", "$END": "the end"}


def parse(source: Source) -> Syntax:
    """The tree of a text, or ExpressionError with the place."""
    text = source.text
    try:
        if len(text) > TEXT_MOST:
            raise ExpressionError(
                f"an expression holds {TEXT_MOST} characters at most, this one {len(text)}", Span(0, 1)
            )
        if not text.strip():
            raise ExpressionError("an expression is wanted", Span(0, 1))
        return _parse(text)
    except ExpressionError as problem:
        raise problem.at(source) from None


def _parse(text: str) -> Syntax:
    try:
        depth = 0
        for token in _LARK.lex(text, dont_ignore=False):
            # Counted on the tokens, before any tree: ten thousand brackets are refused without recursion.
            depth += (token.value in _OPEN) - (token.value in _CLOSE)
            if depth > NESTING_MOST:
                start = token.start_pos or 0
                raise ExpressionError(f"brackets are nested deeper than {NESTING_MOST}", Span(start, start + 1))
        found = _BUILD.transform(_LARK.parse(text))
    except VisitError as problem:
        if isinstance(problem.orig_exc, ExpressionError):
            raise problem.orig_exc from None
        raise
    except UnexpectedInput as problem:
        raise _unexpected(text, problem) from None
    assert isinstance(found, Syntax)
    return found


def _unexpected(text: str, problem: UnexpectedInput) -> ExpressionError:
    start = problem.pos_in_stream if problem.pos_in_stream is not None and problem.pos_in_stream >= 0 else len(text)
    if isinstance(problem, UnexpectedEOF) or isinstance(problem, UnexpectedToken) and problem.token.type == "$END":
        end = len(text.rstrip())
        return ExpressionError("the expression ends too soon", Span(end, end + 1))
    if isinstance(problem, UnexpectedCharacters):
        letter = text[start : start + 1]
        hints = {
            "=": "equality is written `==`",
            "&": "and is written `&&`",
            "|": "or is written `||`",
            '"': "the string has no end",
            "'": "the string has no end",
        }
        return ExpressionError(f"{letter!r} means nothing here", Span(start, start + 1), hints.get(letter, ""))
    token = problem.token if isinstance(problem, UnexpectedToken) else None
    word = str(token) if token is not None else text[start : start + 1]
    wanted = problem.accepts if isinstance(problem, UnexpectedToken) and problem.accepts else set()
    said = sorted(_SAID[name] for name in wanted if name in _SAID)
    return ExpressionError(
        f"{word[:40]!r} is not expected here",
        Span(start, start + len(word)),
        f"{' or '.join(said)} would fit" if said and len(said) < 3 else "",
    )
