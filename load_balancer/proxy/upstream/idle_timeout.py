"""Computes the idle timeout of connections, which is shorter for an endpoint that closes them early."""

from __future__ import annotations

# The idle timeout as a fraction of the idle time after which an endpoint closes a connection.  The margin
# prevents a request from being sent while the endpoint closes the connection.
IDLE_TIMEOUT_FRACTION = 0.5
# Endpoints may close idle connections sooner than they are configured to.  A request that is sent during such
# a close may have been processed.  After an endpoint has closed an idle connection, or has reset a request
# that was sent after an idle time, the idle timeout of its connections is at most half of that idle time; it
# then recovers gradually.  A close shortly after a response is noticed before the next request is sent, so
# closes after less than MIN_RECORDED_IDLE_S are not recorded.
MIN_RECORDED_IDLE_S = 0.05
IDLE_TIMEOUT_RECOVERY = 1.03  # factor by which the timeout grows each time idle connections are reaped


class IdleTimeout:
    """The idle timeout of the connections to one endpoint.

    Attributes:
        current_s: how long, in seconds, a connection may have been idle and still be used again.
    """

    __slots__ = ("_max_s", "current_s")

    def __init__(self, max_s: float) -> None:
        self.current_s = max_s
        self._max_s = max_s

    def record_close(self, idle_s: float) -> None:
        """Shorten the timeout: the endpoint has closed a connection that was idle for this many seconds."""
        if idle_s >= MIN_RECORDED_IDLE_S:
            self.current_s = min(self.current_s, IDLE_TIMEOUT_FRACTION * idle_s)

    def recover(self) -> None:
        """Lengthen the timeout by one step, up to its maximum."""
        self.current_s = min(self._max_s, IDLE_TIMEOUT_RECOVERY * self.current_s)
