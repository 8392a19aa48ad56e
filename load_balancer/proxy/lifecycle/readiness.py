"""Decides whether a node can serve requests, for the readiness check."""

from __future__ import annotations

import time

from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.upstream.pools import UpstreamPools

# If an agent pushes the endpoint lists, a node waits this long after its start for the first list, because
# its cached list may be stale.  An agent that is running responds at once.  If discovery is down, the node
# uses the cached list after the wait.
FIRST_LIST_WAIT_S = 1.0


class Readiness:
    """Decides whether the node can serve requests."""

    def __init__(self, pools: UpstreamPools, discovery: EndpointDiscovery, *, lists_are_pushed: bool) -> None:
        self._pools = pools
        self._discovery = discovery
        self._lists_are_pushed = lists_are_pushed
        self._started_at = time.monotonic()

    def is_ready(self) -> bool:
        """Return whether the node knows an endpoint that is listed as serving.

        If an agent pushes the endpoint lists, the node is ready only after it has received input from the
        agent, or FIRST_LIST_WAIT_S after the start.
        """
        notified = self._discovery.has_received_input or not self._lists_are_pushed
        wait_is_over = time.monotonic() - self._started_at >= FIRST_LIST_WAIT_S
        return self._pools.has_endpoints and (notified or wait_is_over)
