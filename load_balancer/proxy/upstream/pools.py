"""The side of the endpoints as the node sees it: starts requests and closes what is idle."""

from __future__ import annotations

import asyncio
import logging

from load_balancer.events import Endpoint, EndpointId, Outcome
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.connection_limit import ConnectionLimit
from load_balancer.proxy.upstream.connection_opener import ConnectionOpener
from load_balancer.proxy.upstream.endpoint_pool import EndpointPool
from load_balancer.proxy.upstream.idle_timeout import IDLE_TIMEOUT_FRACTION
from load_balancer.proxy.upstream.listed_pools import ListedPools
from load_balancer.proxy.upstream.request import MIN_TIME_LEFT_S, OutboundRequest, UpstreamRequest

log = logging.getLogger(__name__)

REAP_INTERVAL_S = 1.0


class UpstreamPools:
    """Starts requests to the endpoints that the endpoint list names."""

    def __init__(self, *, connect_timeout_s: float, endpoint_idle_s: float, max_open: int) -> None:
        """Start with no endpoint.

        Args:
            connect_timeout_s: how long a request waits for a connection, in seconds.
            endpoint_idle_s: after how many idle seconds endpoints close a connection.
            max_open: how many connections may be open or being opened.
        """
        self._loop = asyncio.get_running_loop()
        self._listed = ListedPools(IDLE_TIMEOUT_FRACTION * endpoint_idle_s)
        self._limit = ConnectionLimit(max_open, self._listed)
        self._opener = ConnectionOpener(connect_timeout_s, self._limit)
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._on_reap_timer)

    @property
    def pools(self) -> tuple[EndpointPool, ...]:
        """The pools of the endpoints that are listed as serving."""
        return tuple(self._listed)

    @property
    def open_connections(self) -> tuple[UpstreamConnection, ...]:
        """All connections that are up, also those to endpoints that are no longer listed."""
        return tuple(self._listed.open_connections)

    @property
    def pending_connects(self) -> int:
        """How many connections are being opened."""
        return self._limit.pending_connects

    @property
    def has_endpoints(self) -> bool:
        """Whether an endpoint is listed as serving."""
        return bool(self._listed)

    # The endpoint list.

    def update(self, listing: EndpointListing) -> list[EndpointId]:
        """Follow the endpoint list; returns the endpoints whose address is another endpoint's now."""
        return self._listed.update(listing)

    def serving_endpoint(self, endpoint_id: EndpointId) -> Endpoint | None:
        """The endpoint's row in the list, None where it is not listed as serving."""
        pool = self._listed.get(endpoint_id)
        return None if pool is None else pool.endpoint

    # Requests.

    def start_request(
        self, endpoint_id: EndpointId, outbound: OutboundRequest, timeout_s: float
    ) -> UpstreamRequest:
        """Start a request; its outcome is reported once, and not before this returns."""
        request = UpstreamRequest(outbound, max(timeout_s, MIN_TIME_LEFT_S))
        pool = self._listed.get(endpoint_id)
        if pool is None:
            self._loop.call_soon(request.end, Outcome.CONNECT_FAILED)
        elif timeout_s < MIN_TIME_LEFT_S:
            self._loop.call_soon(request.end, Outcome.NOT_SENT)
        else:
            self._start_in(pool, request)
        return request

    def _start_in(self, pool: EndpointPool, request: UpstreamRequest) -> None:
        """Write the request on an idle connection, else open one for it."""
        connection = pool.take_idle()
        if connection is not None:
            self._send_on_idle(pool, connection, request)
        elif self._limit.make_capacity():
            self._opener.open_for(pool, request)
        else:
            log.warning("connection_limit_reached endpoint=%s max_open=%d", pool.name, self._limit.max_open)
            self._loop.call_soon(request.end, Outcome.CONNECT_FAILED)

    def _send_on_idle(
        self, pool: EndpointPool, connection: UpstreamConnection, request: UpstreamRequest
    ) -> None:
        if request.outbound.may_write():
            connection.send(request)
            return
        pool.connection_released(connection)
        self._loop.call_soon(request.end, Outcome.NOT_SENT)

    # Connections.

    def close_idle(self, endpoint_id: EndpointId) -> None:
        """Close all idle connections to an endpoint."""
        pool = self._listed.get(endpoint_id)
        if pool is not None:
            pool.close_idle()

    def close(self) -> None:
        """Close everything.  Requests in flight are left to their deadline timers."""
        self._reap_timer.cancel()
        self._opener.close()
        for connection in self.open_connections:
            connection.abort()

    def reap_idle(self) -> None:
        """Close the connections that have been idle for longer than their endpoint allows."""
        now = self._loop.time()
        for pool in self._listed:
            pool.reap_idle(now)

    def _on_reap_timer(self) -> None:
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._on_reap_timer)
        self.reap_idle()
