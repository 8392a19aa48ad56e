"""Bounds the arrival time of the input that an iteration of the event loop reads.

A client's time counts from the arrival of the last byte of its request.  A busy event loop reads that byte
late, so a deadline counted from the read would be missed.  The system reports no arrival time.  But the loop
polls its sockets in every iteration: input that this iteration reads had not arrived at the poll before.
"""

from __future__ import annotations

import asyncio
import time

IDLE_POLL_S = 0.002  # a poll that took longer has waited for input, which arrived at its end


class LoopIterations:
    """Records when the event loop polled its sockets; each iteration that does any work has to be marked."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._polled_at = self._began_at = self._earliest_arrival = time.monotonic()
        self._marked = False

    def mark_activity(self) -> None:
        """Mark this iteration as one that does work; to be called before the work, any number of times."""
        if self._marked:
            return
        self._marked = True
        now = time.monotonic()
        self._earliest_arrival = self._began_at if now - self._polled_at < IDLE_POLL_S else now
        self._began_at = now
        self._loop.call_soon(self._before_poll)

    def earliest_arrival(self) -> float:
        """The monotonic time, in seconds, before which no input of this iteration can have arrived."""
        self.mark_activity()
        return self._earliest_arrival

    def _before_poll(self) -> None:
        """Record the time of the poll, which follows when all ready callbacks have run."""
        self._marked = False
        self._polled_at = time.monotonic()
