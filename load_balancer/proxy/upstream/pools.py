"""The pools of connections to all listed endpoints: starts requests and keeps idle connections."""

from __future__ import annotations

import asyncio
import logging

from load_balancer.events import Endpoint, EndpointId, EndpointState, Outcome
from load_balancer.proxy.address import Address
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.connection_opener import ConnectionOpener
from load_balancer.proxy.upstream.endpoint_pool import IDLE_TIMEOUT_FRACTION, EndpointPool
from load_balancer.proxy.upstream.request import MIN_TIME_LEFT_S, OutboundRequest, UpstreamRequest

log = logging.getLogger(__name__)

REAP_INTERVAL_S = 1.0


class UpstreamPools:
    """All endpoints that the endpoint list names, and every open connection to them."""

    def __init__(self, *, connect_timeout_s: float, endpoint_idle_s: float, max_open: int) -> None:
        """Start with no endpoint.

        Args:
            connect_timeout_s: how long a request waits for a connection, in seconds.
            endpoint_idle_s: after how many idle seconds endpoints close a connection.
            max_open: how many connections may be open or opening.
        """
        self._loop = asyncio.get_running_loop()
        self._max_idle_timeout_s = IDLE_TIMEOUT_FRACTION * endpoint_idle_s
        self._max_open = max_open
        self._pools: dict[EndpointId, EndpointPool] = {}
        self._endpoint_at: dict[Address, EndpointId] = {}  # which endpoint is listed at an address
        self._open: set[UpstreamConnection] = set()
        self._opener = ConnectionOpener(connect_timeout_s, self._make_capacity)
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._on_reap_timer)

    @property
    def pools(self) -> tuple[EndpointPool, ...]:
        """The pools of the endpoints that are listed as serving."""
        return tuple(self._pools.values())

    @property
    def open_connections(self) -> tuple[UpstreamConnection, ...]:
        """All connections that are up, also those to endpoints that are no longer listed."""
        return tuple(self._open)

    @property
    def pending_connects(self) -> int:
        """How many connections are being opened."""
        return self._opener.pending_connects

    @property
    def has_endpoints(self) -> bool:
        """Whether an endpoint is listed as serving."""
        return bool(self._pools)

    # The endpoint list.

    def update(self, listing: EndpointListing) -> list[EndpointId]:
        """Follow the endpoint list.

        With another address or start time the old connections lead to a process that has ended.

        Returns:
            The endpoints whose address is another endpoint's now.  A request sent there under the old id
            would reach the new process, which is warming up.
        """
        if listing.complete:
            for endpoint_id in self._pools.keys() - {endpoint.id for endpoint in listing.endpoints}:
                self._remove(endpoint_id)
        replaced: list[EndpointId] = []
        for endpoint in listing.endpoints:
            if endpoint.state is not EndpointState.SERVING:
                self._remove(endpoint.id)
                continue
            older = self._add_serving(endpoint, listing.addresses[endpoint.id])
            if older is not None:
                replaced.append(older)
        # One that was replaced may have been listed at another address later on.
        return [endpoint_id for endpoint_id in replaced if endpoint_id not in self._pools]

    def _add_serving(self, endpoint: Endpoint, address: Address) -> EndpointId | None:
        """Follow one serving endpoint; gives the older one of two that are listed at the same address."""
        older: EndpointId | None = None
        occupant = self._endpoint_at.get(address)
        if occupant is not None and occupant != endpoint.id:
            occupant_is_newer = self._pools[occupant].started_ms > endpoint.started_ms
            older = endpoint.id if occupant_is_newer else occupant
            self._remove(older)
            if occupant_is_newer:
                return older
        pool = self._pools.get(endpoint.id)
        if pool is None or pool.address != address or pool.started_ms != endpoint.started_ms:
            self._remove(endpoint.id)
            self._add(endpoint, address)
        else:
            pool.endpoint = endpoint
        return older

    def _add(self, endpoint: Endpoint, address: Address) -> None:
        self._pools[endpoint.id] = EndpointPool(
            endpoint,
            address,
            max_idle_timeout_s=self._max_idle_timeout_s,
            open_connections=self._open,
        )
        self._endpoint_at[address] = endpoint.id

    def _remove(self, endpoint_id: EndpointId) -> None:
        pool = self._pools.pop(endpoint_id, None)
        if pool is not None:
            self._endpoint_at.pop(pool.address, None)
            pool.retire()

    # Requests.

    def start_request(
        self,
        endpoint_id: EndpointId,
        outbound: OutboundRequest,
        timeout_s: float,
    ) -> UpstreamRequest:
        """Start a request; its outcome is reported once, and not before this returns."""
        has_time = timeout_s >= MIN_TIME_LEFT_S
        request = UpstreamRequest(outbound, max(timeout_s, MIN_TIME_LEFT_S))
        pool = self._pools.get(endpoint_id)
        if pool is None:
            self._loop.call_soon(request.end, Outcome.CONNECT_FAILED)
            return request
        if not has_time:
            self._loop.call_soon(request.end, Outcome.NOT_SENT)
            return request
        connection = pool.take_idle()
        if connection is not None:
            self._send_on_idle(pool, connection, request)
        elif self._make_capacity():
            self._opener.open_for(pool, request)
        else:
            log.warning("connection_limit_reached endpoint=%s max_open=%d", pool.name, self._max_open)
            self._loop.call_soon(request.end, Outcome.CONNECT_FAILED)
        return request

    def _send_on_idle(
        self, pool: EndpointPool, connection: UpstreamConnection, request: UpstreamRequest
    ) -> None:
        if request.outbound.may_write():
            connection.send(request)
            return
        pool.connection_released(connection)
        self._loop.call_soon(request.end, Outcome.NOT_SENT)

    def serving_endpoint(self, endpoint_id: EndpointId) -> Endpoint | None:
        """The endpoint's row in the list, None where it is not listed as serving."""
        pool = self._pools.get(endpoint_id)
        return None if pool is None else pool.endpoint

    # Connections.

    def close_idle(self, endpoint_id: EndpointId) -> None:
        """Close all idle connections to an endpoint."""
        pool = self._pools.get(endpoint_id)
        if pool is not None:
            pool.close_idle()

    def close(self) -> None:
        """Close everything.  Requests in flight are left to their deadline timers."""
        self._reap_timer.cancel()
        self._opener.close()
        for connection in list(self._open):
            connection.abort()

    def reap_idle(self) -> None:
        """Close the connections that have been idle for longer than their endpoint allows."""
        now = self._loop.time()
        for pool in self._pools.values():
            pool.reap_idle(now)

    def _on_reap_timer(self) -> None:
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._on_reap_timer)
        self.reap_idle()

    def _make_capacity(self) -> bool:
        """Whether one more connection may be opened; at the limit an idle one is closed for it."""
        if len(self._open) + self._opener.pending_connects < self._max_open:
            return True
        pool = min(self._pools.values(), key=lambda pool: pool.oldest_idle_since, default=None)
        if pool is None or not pool.has_idle:
            return False
        pool.close_oldest_idle()
        return True
