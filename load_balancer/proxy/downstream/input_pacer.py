"""Limits the work that one iteration of the event loop does for clients that send much at once.

Handling input takes far longer than receiving it: a body in chunks of one byte costs a call for each of its
bytes, and each of many small requests in one read costs a decision.  The event loop would read up to 32 times
from each readable connection in every iteration, so that hundreds of clients with bulk input would hold up
all other connections for seconds.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

# A connection is read in pieces of at most this size.
MAX_READ_BYTES = 8 * 1024
# After a piece of at least this size the connection waits for its turn.  Usual requests are smaller.  It also
# waits if more input follows the first request of a piece.
BULK_READ_BYTES = 4 * 1024
# The number of pieces of input that are handled at once in one iteration; the connections of others wait.
MAX_INPUTS_PER_ITERATION = 32
# The number of waiting connections that get a turn in one iteration of the event loop.
TURNS_PER_ITERATION = 4


class PacedConnection(Protocol):
    """The interface of a connection that the pacer uses."""

    def continue_reading(self) -> None:
        """Parse the next request of the input that was read, or else read more input."""


class InputPacer:
    """Lets connections with much input go on in turns, a few in each iteration of the event loop.

    Attributes:
        read_buffer: the memory into which the event loop reads the input of any connection.  Its content is
            valid only while the piece of input is being handled.
    """

    def __init__(self) -> None:
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[PacedConnection, None] = {}  # in the order in which they began to wait
        self._next_turns: asyncio.Handle | None = None
        self._inputs_of_iteration = 0

    def may_handle_now(self) -> bool:
        """Count a piece of input, and return whether it may be handled in this iteration.

        Otherwise its connection has to wait for its turn.
        """
        if not self._inputs_of_iteration:
            self._loop.call_soon(self._begin_iteration)
        self._inputs_of_iteration += 1
        return self._inputs_of_iteration <= MAX_INPUTS_PER_ITERATION

    def _begin_iteration(self) -> None:
        self._inputs_of_iteration = 0

    def wait_for_turn(self, connection: PacedConnection) -> None:
        """Let a connection continue in its turn, in a later iteration; keep its place if it waits already."""
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
        """Let the connections that have waited longest go on in this iteration."""
        self._next_turns = None
        for _ in range(min(TURNS_PER_ITERATION, len(self._waiting))):
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            connection.continue_reading()
        if self._waiting and self._next_turns is None:  # a connection that waits again has scheduled them
            self._next_turns = self._loop.call_soon(self._give_turns)
