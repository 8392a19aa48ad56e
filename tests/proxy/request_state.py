"""Checks the state that a node keeps for requests."""

from __future__ import annotations

from load_balancer.proxy.request_table import RequestTable


def nothing_left(requests: RequestTable) -> bool:
    """Return whether no request is open, no attempt is in flight, and no client's request id is reserved."""
    return not requests and not requests.attempts_in_flight and not requests.reserved_client_ids
