"""Limits the input that one iteration of the event loop reads from clients that send much at once.

Parsing takes far longer than receiving: a body in chunks of one byte costs a call for each of its bytes.  The
event loop would read up to 32 times from each readable connection in every iteration, so that hundreds of
clients with bulk input would hold up all other connections for seconds.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

# A connection is read in pieces of at most this size.
MAX_READ_BYTES = 8 * 1024
# After a piece of at least this size the connection waits for its turn.  Usual requests are smaller.
BULK_READ_BYTES = 4 * 1024
# The number of waiting connections that are read in one iteration of the event loop.
TURNS_PER_ITERATION = 4


class PacedConnection(Protocol):
    """The interface of a connection that the pacer uses."""

    def continue_reading(self) -> None:
        """Read the next piece of input."""


class InputPacer:
    """Lets connections with bulk input read in turns, a few in each iteration of the event loop.

    Attributes:
        read_buffer: the memory into which the event loop reads the input of any connection.  Its content is
            valid only while the piece of input is being handled.
    """

    def __init__(self) -> None:
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[PacedConnection, None] = {}  # in the order in which they began to wait
        self._next_turns: asyncio.Handle | None = None

    def wait_for_turn(self, connection: PacedConnection) -> None:
        """Let a connection that has stopped reading continue in its turn, in a later iteration."""
        self._waiting[connection] = None
        if self._next_turns is None:
            self._next_turns = self._loop.call_soon(self._give_turns)

    def remove(self, connection: PacedConnection) -> None:
        """Remove a connection that is closed; do nothing if it does not wait."""
        self._waiting.pop(connection, None)

    def cancel(self) -> None:
        """Give no more turns."""
        if self._next_turns is not None:
            self._next_turns.cancel()

    def _give_turns(self) -> None:
        """Let the connections that have waited longest read in this iteration."""
        self._next_turns = None
        for _ in range(min(TURNS_PER_ITERATION, len(self._waiting))):
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            connection.continue_reading()
        if self._waiting:
            self._next_turns = self._loop.call_soon(self._give_turns)
