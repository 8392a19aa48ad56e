"""Keeps the connection pools of the endpoints that are serving according to the endpoint list."""

from __future__ import annotations

from collections.abc import Iterator

from load_balancer.events import Endpoint, EndpointId, EndpointState
from load_balancer.proxy.address import Address
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.endpoint_pool import EndpointPool


class ListedPools:
    """Keeps one pool for each serving endpoint of the endpoint list.

    If several serving endpoints are listed at the same address, only the endpoint that started last has a
    pool; the other endpoints count as replaced.

    Attributes:
        open_connections: all established connections, including those to endpoints that are no longer listed.
    """

    def __init__(self, max_idle_timeout_s: float) -> None:
        """Create an empty collection; ``update`` adds the pools.

        Args:
            max_idle_timeout_s: the idle timeout, in seconds, of a pool whose endpoint closes no connection
                early.
        """
        self.open_connections: set[UpstreamConnection] = set()
        self._max_idle_timeout_s = max_idle_timeout_s
        self._pools: dict[EndpointId, EndpointPool] = {}
        self._endpoint_at: dict[Address, EndpointId] = {}  # the endpoint that is listed at an address

    def __len__(self) -> int:
        return len(self._pools)

    def __iter__(self) -> Iterator[EndpointPool]:
        return iter(self._pools.values())

    def get(self, endpoint_id: EndpointId) -> EndpointPool | None:
        """Return the pool of an endpoint, or None if the endpoint is not serving or has been replaced."""
        return self._pools.get(endpoint_id)

    def update(self, listing: EndpointListing) -> list[EndpointId]:
        """Apply an endpoint list, or a change to it, to the pools.

        An endpoint whose address or start time has changed is a new process.  Its old pool is retired,
        because the connections of that pool belong to a process that has ended.

        Returns:
            The ids of the replaced endpoints.  They have no pool, because another endpoint is now listed at
            their address.  A request that is sent to that address for a replaced endpoint would reach the new
            process, which is warming up.
        """
        if listing.complete:
            for endpoint_id in self._pools.keys() - {endpoint.id for endpoint in listing.endpoints}:
                self._remove(endpoint_id)
        replaced: list[EndpointId] = []
        for endpoint in listing.endpoints:
            if endpoint.state is not EndpointState.SERVING:
                self._remove(endpoint.id)
                continue
            replaced_id = self._add_serving(endpoint, listing.addresses[endpoint.id])
            if replaced_id is not None:
                replaced.append(replaced_id)
        # A replaced endpoint may appear with another address later in the list.
        return [endpoint_id for endpoint_id in replaced if endpoint_id not in self._pools]

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest in any of the pools.

        Returns:
            Whether a connection was closed; False if none is idle.
        """
        pool = min(self._pools.values(), key=lambda pool: pool.oldest_idle_since, default=None)
        if pool is None or not pool.has_idle:
            return False
        pool.close_oldest_idle()
        return True

    def _add_serving(self, endpoint: Endpoint, address: Address) -> EndpointId | None:
        """Add or update the pool of a serving endpoint.

        Of two endpoints that are listed at the same address, only the endpoint that started later keeps its
        pool.  If both started at the same time, the endpoint of this call keeps its pool.

        Returns:
            The id of the endpoint that has lost the address and has no pool now, or None if no other endpoint
            had a pool at the address.
        """
        replaced_id: EndpointId | None = None
        previous_id = self._endpoint_at.get(address)
        if previous_id is not None and previous_id != endpoint.id:
            previous_is_newer = self._pools[previous_id].started_ms > endpoint.started_ms
            replaced_id = endpoint.id if previous_is_newer else previous_id
            self._remove(replaced_id)
            if previous_is_newer:
                return replaced_id
        pool = self._pools.get(endpoint.id)
        if pool is None or pool.address != address or pool.started_ms != endpoint.started_ms:
            self._remove(endpoint.id)
            self._add(endpoint, address)
        else:
            pool.endpoint = endpoint
        return replaced_id

    def _add(self, endpoint: Endpoint, address: Address) -> None:
        self._pools[endpoint.id] = EndpointPool(
            endpoint,
            address,
            max_idle_timeout_s=self._max_idle_timeout_s,
            open_connections=self.open_connections,
        )
        self._endpoint_at[address] = endpoint.id

    def _remove(self, endpoint_id: EndpointId) -> None:
        pool = self._pools.pop(endpoint_id, None)
        if pool is not None:
            self._endpoint_at.pop(pool.address, None)
            pool.retire()
