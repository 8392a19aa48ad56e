"""The clock of a node, on which all times of the policy are."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, advanced by the monotonic clock.

    It never goes backwards.  It stays comparable with the start times of endpoints when the system's clock is
    set.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """The present time in milliseconds."""
        return 1000.0 * (self._offset_s + time.monotonic())
