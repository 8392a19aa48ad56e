"""Whether a node can serve requests, for the readiness check."""

from __future__ import annotations

import time

from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.upstream.pools import UpstreamPools

# Where an agent pushes lists: how long a started node waits for the first one, as its cached list may be
# stale.  An agent that is up answers at once.  While discovery is down the cached list is used.
FIRST_LIST_WAIT_S = 1.0


class Readiness:
    """Whether the node can serve requests."""

    def __init__(self, pools: UpstreamPools, discovery: EndpointDiscovery, *, lists_are_pushed: bool) -> None:
        self._pools = pools
        self._discovery = discovery
        self._lists_are_pushed = lists_are_pushed
        self._started_at = time.monotonic()

    def is_ready(self) -> bool:
        """Whether an endpoint is listed as serving, in a pushed list unless the wait for one is over."""
        notified = self._discovery.has_received_input or not self._lists_are_pushed
        waited = time.monotonic() - self._started_at >= FIRST_LIST_WAIT_S
        return self._pools.has_endpoints and (notified or waited)
