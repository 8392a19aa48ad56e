"""Read the names of log events from the source code of a package.

Each log line begins with the name of its event.  The names are string constants in the calls of a module's
logger, and in the LogEvent actions of the policy, which the policy's host logs at level INFO.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

LEVELS = {
    "debug": "DEBUG",
    "info": "INFO",
    "warning": "WARNING",
    "error": "ERROR",
    "exception": "ERROR",
    "critical": "CRITICAL",
}
POLICY_LEVEL = "INFO"
# The format in logging calls that log a complete LogEvent.  Such a call does not contain the name of the
# event; the name is read where the LogEvent is constructed.
FORWARDED_TEXT = "%s"


class UnreadableEventError(Exception):
    """The name of a logged event is not a constant in the source; the message gives the line number."""


@dataclass(frozen=True, slots=True, order=True)
class LogEventName:
    """The name of a log event.

    Attributes:
        name: the first word of the event's log lines.
        level: the level at which these lines are logged.
    """

    name: str
    level: str


@dataclass(frozen=True, slots=True)
class _LogCall:
    """A call that logs an event.

    Attributes:
        text: the expression of the log line, or of the event name with which the line begins.
        level: the level at which the line is logged.
    """

    text: ast.expr
    level: str


def log_events_of_package(package: Path) -> set[LogEventName]:
    """Return all log events of the modules in a folder and its subfolders.

    Raises:
        UnreadableEventError: the name of an event is not a constant in the source code.
    """
    events: set[LogEventName] = set()
    for module in sorted(package.rglob("*.py")):
        try:
            events |= log_events_of_source(module.read_text())
        except UnreadableEventError as error:
            raise UnreadableEventError(f"{module}:{error}") from None
    return events


def log_events_of_source(source: str) -> set[LogEventName]:
    """Return all log events of one module.

    Raises:
        UnreadableEventError: the name of an event is not a constant in the source code.
    """
    tree = ast.parse(source)
    events: set[LogEventName] = set()
    for scope in ast.walk(tree):
        if isinstance(scope, ast.FunctionDef | ast.AsyncFunctionDef | ast.Module):
            for call in _log_calls(scope):
                events |= _events_of_call(call, scope, tree)
    return events


def _log_calls(scope: ast.AST) -> Iterator[_LogCall]:
    """Yield the logging calls in a function or at a module's top level, except calls in nested functions."""
    for node in _nodes_of_scope(scope):
        if not isinstance(node, ast.Call):
            continue
        text, level = _text_argument(node), _level_of_function(node.func)
        if text is not None and level is not None:
            yield _LogCall(text, level)


def _text_argument(call: ast.Call) -> ast.expr | None:
    named = [keyword.value for keyword in call.keywords if keyword.arg in ("name", "msg")]
    return next(iter([*call.args, *named]), None)


def _level_of_function(function: ast.expr) -> str | None:
    """Return the level at which a function logs, or None if the function does not log."""
    match function:
        case ast.Name(id="LogEvent") | ast.Attribute(attr="LogEvent"):
            return POLICY_LEVEL
        case ast.Attribute(value=ast.Name(id="log" | "logger" | "logging"), attr=method):
            return LEVELS.get(method)
        case ast.Attribute(value=ast.Name(id="math"), attr="log"):
            return None
        case ast.Attribute(attr="log"):
            return POLICY_LEVEL
        case _:
            return None


def _nodes_of_scope(scope: ast.AST) -> Iterator[ast.AST]:
    for child in ast.iter_child_nodes(scope):
        yield child
        if not isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
            yield from _nodes_of_scope(child)


def _events_of_call(call: _LogCall, scope: ast.AST, module: ast.Module) -> set[LogEventName]:
    if _logs_its_argument(scope) and isinstance(call.text, ast.Name):
        return set()
    texts = _possible_texts(call.text, scope) or _possible_texts(call.text, module)
    if not texts:
        raise UnreadableEventError(f"{call.text.lineno}: the name of the event is not a constant")
    return {LogEventName(text.split(" ")[0], call.level) for text in texts if text != FORWARDED_TEXT}


def _logs_its_argument(scope: ast.AST) -> bool:
    """Check whether a function is a log method, whose callers pass the event name as an argument."""
    return isinstance(scope, ast.FunctionDef) and scope.name == "log"


def _possible_texts(expression: ast.expr, scope: ast.AST) -> set[str]:
    """Return the strings to which an expression can evaluate.

    Supported are constants, conditional expressions, and variables to which the scope assigns one of these.
    """
    match expression:
        case ast.Constant(value=str(text)):
            return {text}
        case ast.IfExp(body=body, orelse=otherwise):
            return _possible_texts(body, scope) | _possible_texts(otherwise, scope)
        case ast.Name(id=name):
            assigned = [value for target, value in _assignments(scope) if target == name]
            return {text for value in assigned for text in _possible_texts(value, scope)}
        case _:
            return set()


def _assignments(scope: ast.AST) -> Iterator[tuple[str, ast.expr]]:
    """Yield each name that a scope assigns, with the assigned expression."""
    for node in _nodes_of_scope(scope):
        if not isinstance(node, ast.Assign):
            continue
        for target in node.targets:
            match target, node.value:
                case ast.Name(id=name), value:
                    yield name, value
                case ast.Tuple(elts=targets), ast.Tuple(elts=values):
                    yield from (
                        (element.id, value)
                        for element, value in zip(targets, values, strict=True)
                        if isinstance(element, ast.Name)
                    )
