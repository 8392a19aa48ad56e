"""Sends the health checks that the policy requests."""

from __future__ import annotations

from collections.abc import Callable

from load_balancer.events import EndpointId, HealthCheckEnded, Outcome
from load_balancer.proxy.event_loop.clock import Clock
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.upstream.pools import UpstreamPools
from load_balancer.proxy.upstream.request import OutboundRequest

HEALTH_CHECK_TIMEOUT_S = 0.25


class _HealthCheck(OutboundRequest):
    """One health check in flight."""

    __slots__ = ("_checker", "_endpoint_id", "_started_ms")

    def __init__(self, checker: HealthChecker, endpoint_id: EndpointId, started_ms: float) -> None:
        self._checker = checker
        self._endpoint_id = endpoint_id
        self._started_ms = started_ms

    def render(self, seconds_left: float) -> bytes:
        """Return the bytes of the check, which are the same for each check."""
        return self._checker.request

    def on_end(self, outcome: Outcome, response: HttpMessage | None) -> None:
        """Report the result of the check."""
        self._checker.report_result(self._endpoint_id, outcome, self._started_ms)


class HealthChecker:
    """Sends health checks to endpoints and reports each result once.

    Attributes:
        request: the bytes that are sent for a health check.
    """

    def __init__(
        self, pools: UpstreamPools, clock: Clock, host: bytes, report: Callable[[HealthCheckEnded], None]
    ) -> None:
        self.request = b"GET /health HTTP/1.1\r\nHost: %s\r\n\r\n" % host
        self._pools = pools
        self._clock = clock
        self._report = report

    def check(self, endpoint_id: EndpointId) -> None:
        """Start a health check; its result is reported after this method has returned."""
        health_check = _HealthCheck(self, endpoint_id, self._clock.now())
        self._pools.start_request(endpoint_id, health_check, HEALTH_CHECK_TIMEOUT_S)

    def report_result(self, endpoint_id: EndpointId, outcome: Outcome, started_ms: float) -> None:
        """Report the outcome and the duration of a health check.

        Args:
            endpoint_id: the endpoint that was checked.
            outcome: the outcome of the check.
            started_ms: when the check started, in milliseconds of the node's clock.
        """
        self._report(HealthCheckEnded(endpoint_id, outcome, self._clock.now() - started_ms))
