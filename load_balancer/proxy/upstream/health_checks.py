"""Sends the health checks that the policy asks for."""

from __future__ import annotations

from collections.abc import Callable

from load_balancer.events import EndpointId, HealthCheckEnded, Outcome
from load_balancer.proxy.event_loop.clock import Clock
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.upstream.pools import UpstreamPools

HEALTH_CHECK_TIMEOUT_S = 0.25


class HealthChecker:
    """Asks endpoints for their health and reports each result once."""

    def __init__(
        self, pools: UpstreamPools, clock: Clock, host: bytes, report: Callable[[HealthCheckEnded], None]
    ) -> None:
        self._pools = pools
        self._clock = clock
        self._request = b"GET /health HTTP/1.1\r\nHost: %s\r\n\r\n" % host
        self._report = report

    def check(self, endpoint_id: EndpointId) -> None:
        """Start one health check; its result is reported later."""
        started_ms = self._clock.now()

        def on_end(outcome: Outcome, _: HttpMessage | None) -> None:
            self._report(HealthCheckEnded(endpoint_id, outcome, self._clock.now() - started_ms))

        self._pools.start_request(endpoint_id, lambda _: self._request, HEALTH_CHECK_TIMEOUT_S, on_end)
