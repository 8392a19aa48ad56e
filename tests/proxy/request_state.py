"""The state that a node keeps for requests."""

from __future__ import annotations

from load_balancer.proxy.request_table import RequestTable


def nothing_left(requests: RequestTable) -> bool:
    """Whether no request is open, no attempt in flight, and no client id reserved."""
    return not requests and not requests.attempts_in_flight and not requests.reserved_client_ids
