"""Provides the node's interface to the endpoints, which starts requests and closes idle connections."""

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

REAP_INTERVAL_S = 1.0  # how often connections that have been idle for too long are closed


class UpstreamPools:
    """Starts requests to the endpoints of the endpoint list and manages the connections to them."""

    def __init__(self, *, connect_timeout_s: float, endpoint_idle_s: float, max_open: int) -> None:
        """Create the pools, without endpoints, and start the timer that closes idle connections.

        Args:
            connect_timeout_s: how long a request waits for a connection, in seconds.
            endpoint_idle_s: the idle time, in seconds, after which endpoints close a connection.
            max_open: the maximum number of connections that are open or being opened.
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
        """All established connections, including those to endpoints that are no longer listed."""
        return tuple(self._listed.open_connections)

    @property
    def pending_connects(self) -> int:
        """The number of connections that are being opened."""
        return self._limit.pending_connects

    @property
    def has_endpoints(self) -> bool:
        """Whether at least one endpoint is listed as serving."""
        return bool(self._listed)

    # The endpoint list.

    def update(self, listing: EndpointListing) -> list[EndpointId]:
        """Apply an endpoint list, or a change to it, to the pools.

        Returns:
            The ids of the replaced endpoints.  They have no pool, because another endpoint is now listed at
            their address.
        """
        return self._listed.update(listing)

    def serving_endpoint(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Return the endpoint's entry in the list, or None if it is not serving or has been replaced."""
        pool = self._listed.get(endpoint_id)
        return None if pool is None else pool.endpoint

    # Requests.

    def start_request(
        self, endpoint_id: EndpointId, outbound: OutboundRequest, timeout_s: float
    ) -> UpstreamRequest:
        """Start a request; its outcome is reported exactly once, after this method has returned."""
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
        """Write the request to an idle connection, or open a connection for it if no idle one can be used."""
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
        if request.outbound.may_write(to_listed_process=pool.leads_to_listed_process(connection)):
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
        """Close all connections, and stop opening connections.

        Requests that have not ended yet end when their deadline timers expire.
        """
        self._reap_timer.cancel()
        self._opener.close()
        for connection in self.open_connections:
            connection.abort()

    def reap_idle(self) -> None:
        """Close the connections that have been idle for longer than the idle timeout of their endpoint.

        Before that, each idle timeout that was shortened recovers by one step.
        """
        now = self._loop.time()
        for pool in self._listed:
            pool.reap_idle(now)

    def _on_reap_timer(self) -> None:
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._on_reap_timer)
        self.reap_idle()
