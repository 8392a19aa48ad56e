"""Determines a lower bound on the arrival time of the input that an event-loop iteration reads.

A client's budget counts from the arrival of the last byte of its request.  A busy event loop reads that byte
late, so a response that is timed from the read would miss the deadline.  The operating system does not report
arrival times.  However, the loop polls its sockets in every iteration, so input that an iteration reads
cannot have arrived before the previous poll.
"""

from __future__ import annotations

import asyncio
import time

# A poll that takes longer than this has waited for input, so the input arrived at the end of the poll.
IDLE_POLL_S = 0.002


class LoopIterations:
    """Records when the event loop polls its sockets.

    Each iteration that does any work must be marked with mark_activity().
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._polled_at = self._began_at = self._earliest_arrival = time.monotonic()
        self._marked = False

    def mark_activity(self) -> None:
        """Mark this iteration as one that does work.

        Call this method before the work.  Further calls in the same iteration have no effect.
        """
        if self._marked:
            return
        self._marked = True
        now = time.monotonic()
        self._earliest_arrival = self._began_at if now - self._polled_at < IDLE_POLL_S else now
        self._began_at = now
        self._loop.call_soon(self._before_poll)

    def earliest_arrival(self) -> float:
        """Return the monotonic time in seconds before which no input of this iteration can have arrived."""
        self.mark_activity()
        return self._earliest_arrival

    def _before_poll(self) -> None:
        """Record the time of the poll, which starts when all ready callbacks have run."""
        self._marked = False
        self._polled_at = time.monotonic()
