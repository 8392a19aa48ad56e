"""The node's log: lines on standard error, at a bounded rate."""

from __future__ import annotations

import logging
import sys
import time

LINES_PER_S = 20.0
BURST_LINES = 100.0

UNLIMITED = {"unlimited": True}
"""The extra of a line that is written whatever the rate: for lines whose number is bounded otherwise."""


class LogRateLimit(logging.Filter):
    """A token bucket for log lines; says on the next line how many it suppressed.

    Guards against a node that is busy, or blocked, with writing what faulty peers make it say.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        if getattr(record, "unlimited", False):
            return True
        now = time.monotonic()
        refill = self._lines_per_s * (now - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._suppressed += 1
            return False
        self._tokens -= 1.0
        if self._suppressed:
            record.msg = f"{record.msg} suppressed_lines={self._suppressed}"
            self._suppressed = 0
        return True


def configure_logging() -> None:
    """Write the lines of all loggers to standard error, at a bounded rate."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(LogRateLimit())
