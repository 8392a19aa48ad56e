"""Shuts a node down gracefully: the node answers its requests before a deadline and then stops."""

from __future__ import annotations

import time
from collections.abc import Callable

from load_balancer.proxy.downstream.server import DownstreamServer
from load_balancer.proxy.event_loop.timer_group import TimerGroup
from load_balancer.proxy.lifecycle.shutdown_deadline import ShutdownDeadline

MIN_DRAIN_S = 0.6  # clients open new connections for up to 0.4 s after SIGTERM
QUIET_PERIOD_S = 0.25  # the node stops only if no connection or request has arrived for this long
DRAIN_CHECK_S = 0.02  # interval between two checks whether the node is drained
FLUSH_S = 0.02  # time for the last responses to be sent, and for requests that still arrive to be rejected


class GracefulShutdown:
    """Answers open requests and requests that still arrive after SIGTERM, then stops the node.

    Attributes:
        deadline: the time by which the requests must have been answered.
    """

    def __init__(
        self,
        downstream: DownstreamServer,
        deadline: ShutdownDeadline,
        *,
        fail_open_requests: Callable[[], None],
        stop: Callable[[], None],
    ) -> None:
        self.deadline = deadline
        self._downstream = downstream
        self._fail_open_requests = fail_open_requests
        self._stop = stop
        self._timers = TimerGroup()

    @property
    def in_progress(self) -> bool:
        """Whether the shutdown has begun."""
        return self.deadline.in_progress

    def begin(self) -> None:
        """Begin the shutdown; call this method only once."""
        self.deadline.begin()
        # SIGKILL follows shortly after answer_within_s.  Requests that are still open after answer_within_s
        # are failed, because a failure response is better than no response.
        self._timers.call_later(self.deadline.answer_within_s, self._fail_open_requests)
        self._downstream.drain()
        self._timers.call_later(MIN_DRAIN_S, self.check_drained)

    def check_drained(self) -> None:
        """Stop the node if it is drained or its deadline has passed; otherwise schedule the next check."""
        now = time.monotonic()
        if not self._downstream.is_busy() and now - self._downstream.last_activity >= QUIET_PERIOD_S:
            self._stop()
        elif self.deadline.is_over(now):
            # The node stops after FLUSH_S.  A request that arrives in this time is rejected at once, because
            # it could be accepted but not answered.
            self._downstream.reject_requests()
            self._fail_open_requests()
            self._timers.call_later(FLUSH_S, self._stop)
        else:
            self._timers.call_later(DRAIN_CHECK_S, self.check_drained)

    def cancel(self) -> None:
        """Cancel the pending checks, because the node has stopped."""
        self._timers.cancel_all()
