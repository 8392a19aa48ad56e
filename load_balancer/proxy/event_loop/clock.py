"""The clock of a node, which gives all times that the policy uses."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, advanced by the monotonic clock.

    The system's clock is read only once, when this object is created.  So the times never go backwards, even
    if the system's clock is set.  They are Unix times because they are compared with the start times of
    endpoints, which are Unix times too.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current time in milliseconds."""
        return 1000.0 * (self._offset_s + time.monotonic())
