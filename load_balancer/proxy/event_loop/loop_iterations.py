"""Bounds the arrival time of what an iteration of the event loop reads.

A client's time counts from the last byte of its request, and a busy loop reads that late: counting from the
read would miss the deadline.  The system reports no time of arrival, but a loop that polls its sockets in
every iteration bounds it: what this iteration reads was not there at the poll before.
"""

from __future__ import annotations

import asyncio
import time

IDLE_POLL_S = 0.002  # a poll that took longer was waiting: what ended it arrived just then


class LoopIterations:
    """Follows the iterations of the event loop that do any work; each of them has to be marked."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._polled_at = self._began_at = self._earliest_arrival = time.monotonic()
        self._marked = False

    def mark_activity(self) -> None:
        """Note that this iteration does work: to be called before the work, any number of times."""
        if self._marked:
            return
        self._marked = True
        now = time.monotonic()
        self._earliest_arrival = self._began_at if now - self._polled_at < IDLE_POLL_S else now
        self._began_at = now
        self._loop.call_soon(self._before_poll)

    def earliest_arrival(self) -> float:
        """The monotonic time, in seconds, after which everything that this iteration reads has arrived."""
        self.mark_activity()
        return self._earliest_arrival

    def _before_poll(self) -> None:
        """Everything that was ready has been handled; the loop polls the sockets next."""
        self._marked = False
        self._polled_at = time.monotonic()
