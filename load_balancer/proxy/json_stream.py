"""Cuts a stream of JSON objects into its objects, however they are laid out over lines and pieces.

A watch carries one object a line by the protocol's first word, and by its later one an object may be indented
over several; blank lines between objects are signs of life.  What is garbled must be known for that at once
and not waited for: no token of JSON holds a line break, so what is no token at a line's end never will be.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

MAX_OBJECT = 4 * 1024 * 1024  # a list of some ten thousand servers
MAX_DEPTH = 32  # far more than a list has; reading deeper ones would exhaust the stack

# Whatever stands between two brackets; possessive, so that no input makes it go back and forth.  A number may
# go on in the next piece: what ends it belongs to it.
_RUN = re.compile(
    rb'(?:[ \t\r\n,:]++|"(?:[^"\\\x00-\x1f]++|\\[^\x00-\x1f])*+"'
    rb"|-?[0-9][0-9.eE+-]*+(?=[ \t\r\n,\]}])|true|false|null)*+"
)
_BLANK = b" \t\r\n"


class GarbledError(Exception):
    """What came is no sequence of JSON objects."""


class Objects:
    """Feed it pieces as they come; it gives whole objects as text, and what is wrong as GarbledError."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0
        self._depth = 0

    @property
    def within(self) -> bool:
        """Whether an object has begun and is not whole yet."""
        return self._depth > 0

    def feed(self, piece: bytes) -> Iterator[bytes]:
        """Take in a piece; the objects that it completes."""
        self._buffer += piece
        while (bracket := self._next_bracket()) is not None:
            self._depth += 1 if bracket in b"{[" else -1
            self._scanned += 1
            if self._depth > MAX_DEPTH:
                raise GarbledError("an object is nested too deep")
            if self._depth == 0:
                whole = bytes(self._buffer[: self._scanned])
                self._drop_scanned()
                yield whole
        if self._depth == 0:
            self._drop_scanned()
        if len(self._buffer) > MAX_OBJECT:
            raise GarbledError(f"an object of more than {MAX_OBJECT} bytes")

    def _next_bracket(self) -> bytes | None:
        """The bracket at the place scanned up to then, None where more has to come first."""
        begin = self._scanned
        found = _RUN.match(self._buffer, begin)
        assert found is not None  # it matches nothing, too
        self._scanned = found.end()
        if self._depth == 0 and self._buffer[begin : self._scanned].strip(_BLANK):
            raise GarbledError("something stands outside of an object")
        bracket = bytes(self._buffer[self._scanned : self._scanned + 1])
        if bracket and bracket in b"{}[]":
            if self._depth == 0 and bracket != b"{":
                raise GarbledError("something stands outside of an object")
            return bracket
        if b"\n" in self._buffer[self._scanned :]:
            raise GarbledError("a line is no JSON")
        return None

    def _drop_scanned(self) -> None:
        del self._buffer[: self._scanned]
        self._scanned = 0
