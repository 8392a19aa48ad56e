"""Passes endpoint lists to the connection pools and to the policy.

A change of the list costs the policy work in proportion to the length of the list and not of the change.  So
changes that follow a costly one closely are merged, and applied as one.
"""

from __future__ import annotations

import asyncio
import time

from load_balancer.events import Endpoint, EndpointListKind, EndpointListUpdate, EndpointState
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing, merge_listings
from load_balancer.proxy.policy_driver import PolicyDriver
from load_balancer.proxy.upstream.pools import UpstreamPools

# The processor time in seconds from which on applying a list is followed by a pause.
MIN_COSTLY_APPLY_S = 0.0005
# The length of the pause, as a multiple of the processor time that applying the list took.  Costly lists then
# take at most a tenth of the node's time.
PAUSE_PER_APPLY_TIME = 9.0
# The longest pause in seconds.  It delays a change, which must be in effect within the drain grace.
MAX_PAUSE_S = 0.1


class EndpointUpdates:
    """Applies the endpoint lists of discovery, first to the pools and then to the policy."""

    def __init__(self, pools: UpstreamPools, driver: PolicyDriver) -> None:
        self._pools = pools
        self._driver = driver
        self._loop = asyncio.get_running_loop()
        self._pending: list[EndpointListing] = []  # the lists that have arrived during the pause
        self._pause: asyncio.TimerHandle | None = None

    def apply_cached(self, listing: EndpointListing) -> None:
        """Apply the cached list with which the node starts."""
        self._apply(listing, cached=True)

    def apply(self, listing: EndpointListing) -> None:
        """Apply a list from discovery, now or after the pause that follows a costly list."""
        if self._pause is not None:
            self._pending.append(listing)
            return
        used_before_s = time.thread_time()
        self._apply(listing, cached=False)
        apply_s = time.thread_time() - used_before_s
        if apply_s >= MIN_COSTLY_APPLY_S:
            pause_s = min(MAX_PAUSE_S, PAUSE_PER_APPLY_TIME * apply_s)
            self._pause = self._loop.call_later(pause_s, self._end_pause)

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
            self.apply(merge_listings(pending))

    def _apply(self, listing: EndpointListing, *, cached: bool) -> None:
        replaced = self._pools.update(listing)
        self._driver.handle_event(listing.event(cached=cached))
        if replaced:
            removed = tuple(Endpoint(endpoint_id, EndpointState.REMOVED) for endpoint_id in replaced)
            self._driver.handle_event(EndpointListUpdate(EndpointListKind.DELTA, removed, listing.version))
