"""Splits a stream of JSON objects into its objects.

The objects may have any layout, and the input may be divided into pieces at any byte.

An object may be on one line or be indented over several lines; blank lines between objects are heartbeats.
Malformed input is detected as soon as its line is complete, without waiting for more input.  This is possible
because no JSON token contains a line break: if the text at the end of a line is not a token, no further input
can complete it.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # enough for about ten thousand endpoints
MAX_DEPTH = 32  # much more than an endpoint list needs; parsing a far deeper object would exhaust the stack

# Matches all tokens between two brackets.  The quantifiers are possessive, so that no input causes
# backtracking.  A number may continue in the next piece of input, so it is matched only when the character
# after it has been received.
_BETWEEN_BRACKETS = re.compile(
    rb'(?:[ \t\r\n,:]++|"(?:[^"\\\x00-\x1f]++|\\[^\x00-\x1f])*+"'
    rb"|-?[0-9][0-9.eE+-]*+(?=[ \t\r\n,\]}])|true|false|null)*+"
)
_BLANK = b" \t\r\n"
_OPENING_BRACKETS = b"{["
_BRACKETS = b"{}[]"


class MalformedStreamError(Exception):
    """The input is not a sequence of JSON objects, or an object exceeds a limit.

    Attributes:
        problem: the description of the error, for log lines.
    """

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


class JsonObjectStream:
    """Collects pieces of input and yields the text of each complete object."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0  # the number of bytes of the buffer that have been scanned
        self._depth = 0  # the number of brackets that are open after the scanned bytes

    @property
    def in_object(self) -> bool:
        """Whether the stream is inside an object that is not complete yet."""
        return self._depth > 0

    def feed(self, piece: bytes) -> Iterator[bytes]:
        """Add a piece of input and yield the objects that it completes.

        Raises:
            MalformedStreamError: the input is malformed; the rest of the stream cannot be parsed.
        """
        self._buffer += piece
        while (bracket := self._next_bracket()) is not None:
            self._depth += 1 if bracket in _OPENING_BRACKETS else -1
            self._scanned += 1
            if self._depth > MAX_DEPTH:
                raise MalformedStreamError("an object is nested too deeply")
            if self._depth == 0:
                complete = bytes(self._buffer[: self._scanned])
                self._drop_scanned()
                yield complete
        if self._depth == 0:
            self._drop_scanned()
        if len(self._buffer) > MAX_OBJECT_BYTES:
            raise MalformedStreamError(f"an object is longer than {MAX_OBJECT_BYTES} bytes")

    def _next_bracket(self) -> bytes | None:
        """Scan up to the next bracket and return it, or None if more input is needed."""
        begin = self._scanned
        found = _BETWEEN_BRACKETS.match(self._buffer, begin)
        assert found is not None  # there is always a match, because the pattern matches the empty string
        self._scanned = found.end()
        if self._depth == 0 and self._buffer[begin : self._scanned].strip(_BLANK):
            raise MalformedStreamError("a value is outside of an object")
        bracket = bytes(self._buffer[self._scanned : self._scanned + 1])
        if bracket and bracket in _BRACKETS:
            if self._depth == 0 and bracket != b"{":
                raise MalformedStreamError("a value is outside of an object")
            return bracket
        if b"\n" in self._buffer[self._scanned :]:
            raise MalformedStreamError("a line is not JSON")
        return None

    def _drop_scanned(self) -> None:
        del self._buffer[: self._scanned]
        self._scanned = 0
