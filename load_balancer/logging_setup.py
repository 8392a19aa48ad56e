"""The node's log: lines on standard error, at a bounded rate."""

from __future__ import annotations

import logging
import select
import sys
import time
from typing import TextIO

LINES_PER_S = 20.0
BURST_LINES = 100.0
MAX_LINE_BYTES = select.PIPE_BUF

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


class NonBlockingHandler(logging.StreamHandler[TextIO]):
    """Writes lines to a stream that may be a pipe which nobody reads: a line that does not fit is dropped.

    A pipe that polls as writable takes MAX_LINE_BYTES at once; the loop must never wait for a reader.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line if that does not block."""
        if self._poll.poll(0):
            super().emit(record)

    def format(self, record: logging.LogRecord) -> str:
        """The line, shortened to what a pipe takes at once; without its end."""
        encoded = super().format(record).encode(errors="replace")
        return encoded[: MAX_LINE_BYTES - 1].decode(errors="ignore")


def configure_logging() -> None:
    """Write the lines of all loggers to standard error, at a bounded rate, and never wait for its reader."""
    logging.raiseExceptions = False  # a standard error that is closed is no reason to write to it once more
    handler = NonBlockingHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    handler.addFilter(LogRateLimit())
    logging.basicConfig(handlers=[handler], level=logging.INFO)
