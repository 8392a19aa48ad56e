"""The time by which a node that shuts down must have answered its requests."""

from __future__ import annotations

import time

# SIGKILL follows SIGTERM after the longest deadline of the request classes plus KILL_GRACE_S; a deadline
# above MAX_KILL_DEADLINE_S counts as MAX_KILL_DEADLINE_S.  The node must have answered all requests
# KILL_MARGIN_S before SIGKILL.
MAX_KILL_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
KILL_MARGIN_S = 0.3


class ShutdownDeadline:
    """The deadline of a shutdown, which starts with SIGTERM.

    Attributes:
        answer_within_s: the seconds after SIGTERM within which every request must have been answered.
    """

    def __init__(self, longest_deadline_s: float) -> None:
        self.answer_within_s = min(longest_deadline_s, MAX_KILL_DEADLINE_S) + KILL_GRACE_S - KILL_MARGIN_S
        self._began_at: float | None = None

    @property
    def in_progress(self) -> bool:
        """Whether the shutdown has begun."""
        return self._began_at is not None

    def begin(self) -> None:
        """Record that the shutdown begins now; call this method only once."""
        self._began_at = time.monotonic()

    def limit_budget(self, budget_ms: float) -> float:
        """Return a request's budget, limited during a shutdown to the time that is left for its response."""
        if self._began_at is None:
            return budget_ms
        return min(budget_ms, 1000.0 * (self._began_at + self.answer_within_s - time.monotonic()))

    def is_over(self, now: float) -> bool:
        """Return whether the shutdown must end, even if requests are open.

        Args:
            now: the monotonic time in seconds.
        """
        assert self._began_at is not None
        return now - self._began_at > self.answer_within_s + KILL_MARGIN_S / 2
