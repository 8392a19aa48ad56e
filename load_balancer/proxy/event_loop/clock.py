"""The clock of a node, which gives all times that the policy uses."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, advanced by the monotonic clock.

    The clock never goes backwards.  Even if the system's clock is set, the times of this clock remain
    comparable with the start times of endpoints.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current time in milliseconds."""
        return 1000.0 * (self._offset_s + time.monotonic())
