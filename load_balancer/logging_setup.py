"""Configures the log of a node: lines on standard error, at a limited rate."""

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
"""The extra argument of a log call whose line is exempt from the rate limit.

It is meant for lines whose rate is limited in another way.
"""


class LogRateLimit(logging.Filter):
    """Limits the rate of log lines with a token bucket.

    The limit prevents faulty peers from keeping the node busy with the log lines that their errors cause.
    When lines have been suppressed, the next line that is written states their number.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._suppressed = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line may be written, and add the number of suppressed lines to its text."""
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
    """Writes lines to a stream without blocking, and drops a line if the stream is not writable.

    The stream may be a pipe that no process reads from, and the event loop must not wait for a reader.  A
    pipe that poll() reports as writable accepts MAX_LINE_BYTES without blocking.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line if the stream is writable; drop it otherwise."""
        if self._poll.poll(0):
            super().emit(record)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its line break, truncated so that both together fit in MAX_LINE_BYTES."""
        encoded = super().format(record).encode(errors="replace")
        return encoded[: MAX_LINE_BYTES - 1].decode(errors="ignore")


def configure_logging() -> None:
    """Write the lines of all loggers to standard error, at a limited rate and without blocking."""
    logging.raiseExceptions = False  # a failed write to standard error cannot be reported there
    handler = NonBlockingHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    handler.addFilter(LogRateLimit())
    logging.basicConfig(handlers=[handler], level=logging.INFO)
