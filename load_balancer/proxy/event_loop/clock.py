"""The clock that the policy's times are on."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, advanced by the monotonic clock.

    It never goes backwards, and stays comparable with the start times of servers whatever is done to the
    system's clock.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now(self) -> float:
        """The present time in milliseconds."""
        return 1000.0 * (self._offset_s + time.monotonic())
