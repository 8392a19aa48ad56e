"""Counts the memory that clients make the node hold, and finds the connection that has to give some back.

The limits on one message do not bound the memory of a node: hundreds of clients may each have a large request
open, or stop in the middle of one.
"""

from __future__ import annotations

from typing import Generic, TypeVar

Connection = TypeVar("Connection")


class MemoryBudget(Generic[Connection]):
    """The memory that open requests, incomplete requests and unread responses may take together.

    Attributes:
        max_bytes: the limit.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._reserved_bytes = 0
        self._unread_responses: dict[Connection, int] = {}
        self._unread_bytes = 0
        self._incomplete: dict[Connection, int] = {}  # the connection that sent no input for longest is first
        self._incomplete_bytes = 0

    @property
    def used_bytes(self) -> int:
        """The memory that is counted now."""
        return self._reserved_bytes + self._incomplete_bytes + self._unread_bytes

    def has_room_for(self, size_bytes: int) -> bool:
        """Return whether an open request of this size fits, if need be in place of incomplete requests."""
        return self._reserved_bytes + self._unread_bytes + size_bytes <= self.max_bytes

    def reserve(self, size_bytes: int) -> None:
        """Count an open request."""
        self._reserved_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Stop counting an open request."""
        self._reserved_bytes -= size_bytes

    def set_incomplete(self, connection: Connection, size_bytes: int) -> None:
        """Count what a connection holds of a request that is not complete; 0 if it holds nothing.

        Call this method whenever the connection has read input.
        """
        self._incomplete_bytes += size_bytes - self._incomplete.pop(connection, 0)
        if size_bytes:
            self._incomplete[connection] = size_bytes

    def set_unread(self, connection: Connection, size_bytes: int) -> None:
        """Count the output that waits for a client that does not read; 0 if the client reads."""
        self._unread_bytes += size_bytes - self._unread_responses.pop(connection, 0)
        if size_bytes:
            self._unread_responses[connection] = size_bytes

    def remove(self, connection: Connection) -> None:
        """Stop counting what a connection holds, because it is closed."""
        self.set_incomplete(connection, 0)
        self.set_unread(connection, 0)

    def excess_holder(self) -> Connection | None:
        """Return the connection whose incomplete request has to be dropped, or None within the limit.

        It is the one that has sent no input for longest: a client that stopped in the middle rather than one
        that writes slowly.
        """
        if self.used_bytes <= self.max_bytes:
            return None
        return next(iter(self._incomplete), None)
