"""Passes endpoint lists to the connection pools and to the policy.

A change of the list costs the policy work in proportion to the length of the list and not of the change.  So
changes that follow a costly one closely are merged, and reach the policy as one.  The pools apply each change
at once, so that nothing new is sent to an endpoint that drains or whose address belongs to another process.
"""

from __future__ import annotations

import asyncio
import time

from load_balancer.events import Endpoint, EndpointId, EndpointListKind, EndpointListUpdate, EndpointState
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing, merge_listings
from load_balancer.proxy.policy_driver import PolicyDriver
from load_balancer.proxy.upstream.pools import UpstreamPools

# The processor time in seconds from which on an update of the policy is followed by a pause.
MIN_COSTLY_UPDATE_S = 0.0005
# The length of the pause, as a multiple of the processor time that the update took.  Costly updates then take
# at most a tenth of the node's time.
PAUSE_PER_UPDATE_TIME = 9.0
# The longest pause in seconds.
MAX_PAUSE_S = 0.1


class EndpointUpdates:
    """Applies the endpoint lists of discovery, first to the pools and then to the policy."""

    def __init__(self, pools: UpstreamPools, driver: PolicyDriver) -> None:
        self._pools = pools
        self._driver = driver
        self._loop = asyncio.get_running_loop()
        self._pending: list[EndpointListing] = []  # the lists that the policy gets after the pause
        # The endpoints whose address another one has taken, and which the policy still takes for serving.
        self._replaced: dict[EndpointId, None] = {}
        self._pause: asyncio.TimerHandle | None = None

    def apply_cached(self, listing: EndpointListing) -> None:
        """Apply the cached list with which the node starts."""
        self._update_pools(listing)
        self._update_policy(listing, cached=True)

    def apply(self, listing: EndpointListing) -> None:
        """Apply a list from discovery; the policy gets it after the pause that follows a costly list."""
        self._update_pools(listing)
        if self._pause is None:
            self._update_policy_and_pause(listing)
        else:
            self._pending.append(listing)

    def report_failure(self) -> None:
        """Report to the policy that no list could be read, after the lists that were read before."""
        self.cancel()
        self._end_pause()
        self._driver.handle_event(EndpointListUpdate(EndpointListKind.FAILED))

    def cancel(self) -> None:
        """Apply no further list, because the node has stopped."""
        if self._pause is not None:
            self._pause.cancel()

    def _end_pause(self) -> None:
        self._pause = None
        if self._pending:
            pending, self._pending = self._pending, []
            self._update_policy_and_pause(merge_listings(pending))

    def _update_policy_and_pause(self, listing: EndpointListing) -> None:
        used_before_s = time.thread_time()
        self._update_policy(listing, cached=False)
        used_s = time.thread_time() - used_before_s
        if used_s >= MIN_COSTLY_UPDATE_S:
            pause_s = min(MAX_PAUSE_S, PAUSE_PER_UPDATE_TIME * used_s)
            self._pause = self._loop.call_later(pause_s, self._end_pause)

    def _update_pools(self, listing: EndpointListing) -> None:
        self._replaced.update(dict.fromkeys(self._pools.update(listing)))

    def _update_policy(self, listing: EndpointListing, *, cached: bool) -> None:
        self._driver.handle_event(listing.event(cached=cached))
        # A replaced endpoint may have been listed again at another address.
        replaced = [each for each in self._replaced if self._pools.serving_endpoint(each) is None]
        self._replaced.clear()
        if replaced:
            removed = tuple(Endpoint(endpoint_id, EndpointState.REMOVED) for endpoint_id in replaced)
            self._driver.handle_event(EndpointListUpdate(EndpointListKind.DELTA, removed, listing.version))
