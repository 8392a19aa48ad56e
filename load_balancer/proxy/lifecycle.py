"""A node's signals, its readiness, and its graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable

from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.downstream.server import DownstreamServer
from load_balancer.proxy.event_loop.timer_group import TimerGroup
from load_balancer.proxy.upstream.pools import UpstreamPools

# For the first word of an agent that pushes lists.  A process starts with a cached list that may be stale,
# and what the agent has counts from the first moment on.  It answers at once, but not while discovery is
# down: then the cached list has to do.
FIRST_LIST_WAIT_S = 1.0

MIN_DRAIN_S = 0.6  # after SIGTERM new connections come for up to 0.4 s
QUIET_PERIOD_S = 0.25  # none may have come for this long before the node ends
# SIGKILL comes no sooner after SIGTERM than the longest deadline, or 3 s where that is longer, and 0.7 s.
# Everything is answered a moment before that.
MAX_KILL_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
KILL_MARGIN_S = 0.3
DRAIN_CHECK_S = 0.02
FLUSH_S = 0.02  # for the last responses to be sent


def handle_signals(terminate: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call back at SIGTERM or SIGINT, and at SIGHUP, from the running event loop."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminate)
    loop.add_signal_handler(signal.SIGHUP, OncePerIteration(reload).request)


class OncePerIteration:
    """Calls back once in the loop's next iteration, however often it is asked for before.

    The loop handles signals until none is left: where each takes longer than the next one takes to come, as
    the reading of a file may, nothing else would run.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._requested = False
        self._loop = asyncio.get_running_loop()

    def request(self) -> None:
        """Ask for a call."""
        if not self._requested:
            self._requested = True
            self._loop.call_soon(self._call)

    def _call(self) -> None:
        self._requested = False
        self._callback()


class Readiness:
    """Whether the node can serve requests."""

    def __init__(self, pools: UpstreamPools, discovery: EndpointDiscovery, *, lists_are_pushed: bool) -> None:
        self._pools = pools
        self._discovery = discovery
        self._lists_are_pushed = lists_are_pushed
        self._started_at = time.monotonic()

    def is_ready(self) -> bool:
        """Whether endpoints are known, and from the agent where that pushes them."""
        notified = self._discovery.has_received_input or not self._lists_are_pushed
        waited = time.monotonic() - self._started_at >= FIRST_LIST_WAIT_S
        return self._pools.has_endpoints and (notified or waited)


class GracefulShutdown:
    """Answers what is open and what still arrives after SIGTERM, then stops the node.

    Attributes:
        answer_within_s: every request has been answered by this time after SIGTERM.
    """

    def __init__(
        self,
        downstream: DownstreamServer,
        *,
        longest_deadline_s: float,
        fail_open_requests: Callable[[], None],
        stop: Callable[[], None],
    ) -> None:
        self.answer_within_s = min(longest_deadline_s, MAX_KILL_DEADLINE_S) + KILL_GRACE_S - KILL_MARGIN_S
        self._downstream = downstream
        self._fail_open_requests = fail_open_requests
        self._stop = stop
        self._timers = TimerGroup()
        self._began_at: float | None = None

    @property
    def in_progress(self) -> bool:
        """Whether the shutdown has begun."""
        return self._began_at is not None

    def limit_budget(self, budget_ms: float) -> float:
        """The budget of a request, no longer than there is time for an answer."""
        if self._began_at is None:
            return budget_ms
        return min(budget_ms, 1000.0 * (self._began_at + self.answer_within_s - time.monotonic()))

    def begin(self) -> None:
        """Begin the shutdown; to be called once."""
        self._began_at = time.monotonic()
        # Few moments are left before SIGKILL then: a response that promises nothing beats none.
        self._timers.call_later(self.answer_within_s, self._fail_open_requests)
        self._downstream.drain()
        self._timers.call_later(MIN_DRAIN_S, self.check_drained)

    def check_drained(self) -> None:
        """Stop the node if no client needs it any more or its time is over, else check again."""
        assert self._began_at is not None
        now = time.monotonic()
        if not self._downstream.is_busy() and now - self._downstream.last_activity >= QUIET_PERIOD_S:
            self._stop()
        elif now - self._began_at > self.answer_within_s + KILL_MARGIN_S / 2:
            # What arrives later than this could be accepted and not be answered.
            self._downstream.end_input()
            self._fail_open_requests()
            self._timers.call_later(FLUSH_S, self._stop)
        else:
            self._timers.call_later(DRAIN_CHECK_S, self.check_drained)

    def cancel(self) -> None:
        """The node has stopped: nothing is left to do."""
        self._timers.cancel_all()
