"""Tells whether a connection leads to the process that the endpoint list names, or perhaps to its successor.

When a process ends, another one may come up at its address before the list tells of it.  It cannot know which
idempotency keys the first one has seen, and may belong to another cell.
"""

from __future__ import annotations

from collections import deque

# A change reaches a node at most this many seconds after discovery has it.
MAX_NOTIFICATION_DELAY_S = 6.0
# Breaks that follow an earlier one this closely, in seconds, count as the earlier one.
BREAK_RESOLUTION_S = 0.1


class ProcessContinuity:
    """The recent breaks of connections to an address, each of which may be the end of a process."""

    __slots__ = ("_breaks",)

    def __init__(self) -> None:
        self._breaks: deque[float] = deque()  # the times of the breaks, in the time of the event loop

    def record_break(self, now: float) -> None:
        """Record that a connection was reset, ended within a request or was refused."""
        self._forget_old(now)
        if not self._breaks or now - self._breaks[-1] > BREAK_RESOLUTION_S:
            self._breaks.append(now)

    def is_confirmed(self, established_at: float, now: float) -> bool:
        """Return whether a connection that was established then leads to the listed process.

        This is the case if no break precedes it, or if the list would tell of a new process by now.

        Args:
            established_at: when the connection was established, in the time of the event loop.
            now: the time of the event loop.
        """
        self._forget_old(now)
        return not self._breaks or established_at < self._breaks[0]

    def _forget_old(self, now: float) -> None:
        while self._breaks and now - self._breaks[0] > MAX_NOTIFICATION_DELAY_S:
            self._breaks.popleft()
