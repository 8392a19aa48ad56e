"""The time by which a node that shuts down must have answered its requests."""

from __future__ import annotations

import time

# SIGKILL comes KILL_GRACE_S after the longest deadline, counted from SIGTERM; deadlines above
# MAX_KILL_DEADLINE_S count as that long.  The node answers everything KILL_MARGIN_S earlier.
MAX_KILL_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
KILL_MARGIN_S = 0.3


class ShutdownDeadline:
    """The deadline of a shutdown, which starts with SIGTERM.

    Attributes:
        answer_within_s: every request has been answered by this time after SIGTERM.
    """

    def __init__(self, longest_deadline_s: float) -> None:
        self.answer_within_s = min(longest_deadline_s, MAX_KILL_DEADLINE_S) + KILL_GRACE_S - KILL_MARGIN_S
        self._began_at: float | None = None

    @property
    def in_progress(self) -> bool:
        """Whether the shutdown has begun."""
        return self._began_at is not None

    def begin(self) -> None:
        """Start the time; to be called once."""
        self._began_at = time.monotonic()

    def limit_budget(self, budget_ms: float) -> float:
        """The budget of a request, limited during a shutdown to the time that is left for its response."""
        if self._began_at is None:
            return budget_ms
        return min(budget_ms, 1000.0 * (self._began_at + self.answer_within_s - time.monotonic()))

    def is_over(self, now: float) -> bool:
        """Whether the shutdown must end at this monotonic time, with requests open or not."""
        assert self._began_at is not None
        return now - self._began_at > self.answer_within_s + KILL_MARGIN_S / 2
