"""Passes endpoint lists to the connection pools and to the policy."""

from __future__ import annotations

from load_balancer.events import Endpoint, EndpointListKind, EndpointListUpdate, EndpointState
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing
from load_balancer.proxy.policy_driver import PolicyDriver
from load_balancer.proxy.upstream.pools import UpstreamPools


class EndpointUpdates:
    """Applies the endpoint lists of discovery, first to the pools and then to the policy."""

    def __init__(self, pools: UpstreamPools, driver: PolicyDriver) -> None:
        self._pools = pools
        self._driver = driver

    def apply_cached(self, listing: EndpointListing) -> None:
        """Apply the cached list with which the node starts."""
        self._apply(listing, cached=True)

    def apply(self, listing: EndpointListing) -> None:
        """Apply a list from discovery."""
        self._apply(listing, cached=False)

    def report_failure(self) -> None:
        """Report to the policy that no list could be read."""
        self._driver.handle_event(EndpointListUpdate(EndpointListKind.FAILED))

    def _apply(self, listing: EndpointListing, *, cached: bool) -> None:
        replaced = self._pools.update(listing)
        self._driver.handle_event(listing.event(cached=cached))
        if replaced:
            removed = tuple(Endpoint(endpoint_id, EndpointState.REMOVED) for endpoint_id in replaced)
            self._driver.handle_event(EndpointListUpdate(EndpointListKind.DELTA, removed, listing.version))
