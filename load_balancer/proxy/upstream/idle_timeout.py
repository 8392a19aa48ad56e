"""How long an idle connection may be kept and used again: shorter for an endpoint that closes early."""

from __future__ import annotations

IDLE_TIMEOUT_FRACTION = 0.5  # of the time after which an endpoint closes: a request must never cross that
# Endpoints may close idle connections sooner than they are configured to, and a request that crosses that
# close may have run.  An endpoint that has closed an idle connection, or reset a request on one, has its
# connections used for half as long from then on, and after some time as before.  A close right behind a
# response is seen before the next request, and so is not recorded.
MIN_RECORDED_IDLE_S = 0.05
IDLE_TIMEOUT_RECOVERY = 1.03  # factor at each pass of the idle reaper


class IdleTimeout:
    """The idle timeout of the connections to one endpoint.

    Attributes:
        current_s: how long a connection may have been idle to be used again.
    """

    __slots__ = ("_max_s", "current_s")

    def __init__(self, max_s: float) -> None:
        self.current_s = max_s
        self._max_s = max_s

    def record_close(self, idle_s: float) -> None:
        """The endpoint closed a connection that had been idle for this long."""
        if idle_s >= MIN_RECORDED_IDLE_S:
            self.current_s = min(self.current_s, IDLE_TIMEOUT_FRACTION * idle_s)

    def recover(self) -> None:
        """Lengthen the timeout by one step, up to its maximum."""
        self.current_s = min(self._max_s, IDLE_TIMEOUT_RECOVERY * self.current_s)
