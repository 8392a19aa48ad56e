"""The connection pools of the endpoints that the endpoint list names as serving."""

from __future__ import annotations

from collections.abc import Iterator

from load_balancer.events import Endpoint, EndpointId, EndpointState
from load_balancer.proxy.address import Address
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.endpoint_pool import EndpointPool


class ListedPools:
    """Follows the endpoint list: one pool for each serving endpoint, one endpoint for each address.

    Attributes:
        open_connections: all connections that are up, also those to endpoints that are no longer listed.
    """

    def __init__(self, max_idle_timeout_s: float) -> None:
        """Start with no endpoint.

        Args:
            max_idle_timeout_s: the idle timeout of a pool whose endpoint closes no connection early.
        """
        self.open_connections: set[UpstreamConnection] = set()
        self._max_idle_timeout_s = max_idle_timeout_s
        self._pools: dict[EndpointId, EndpointPool] = {}
        self._endpoint_at: dict[Address, EndpointId] = {}  # which endpoint is listed at an address

    def __len__(self) -> int:
        return len(self._pools)

    def __iter__(self) -> Iterator[EndpointPool]:
        return iter(self._pools.values())

    def get(self, endpoint_id: EndpointId) -> EndpointPool | None:
        """The pool of an endpoint; None where it is not listed as serving."""
        return self._pools.get(endpoint_id)

    def update(self, listing: EndpointListing) -> list[EndpointId]:
        """Follow the endpoint list.

        An endpoint with another address or start time is another process; the old connections lead to one
        that has ended.

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
        # A replaced endpoint may be listed at another address further down in the list.
        return [endpoint_id for endpoint_id in replaced if endpoint_id not in self._pools]

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle for longest; False where none is idle."""
        pool = min(self._pools.values(), key=lambda pool: pool.oldest_idle_since, default=None)
        if pool is None or not pool.has_idle:
            return False
        pool.close_oldest_idle()
        return True

    def _add_serving(self, endpoint: Endpoint, address: Address) -> EndpointId | None:
        """Follow one serving endpoint; returns the older one of two that are listed at the same address."""
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
            open_connections=self.open_connections,
        )
        self._endpoint_at[address] = endpoint.id

    def _remove(self, endpoint_id: EndpointId) -> None:
        pool = self._pools.pop(endpoint_id, None)
        if pool is not None:
            self._endpoint_at.pop(pool.address, None)
            pool.retire()
