"""Request classes and endpoints that the tests of the policy share."""

from __future__ import annotations

from load_balancer.events import Endpoint
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass

IDEMPOTENT = RequestClass("r", 1000, 3000)
NON_IDEMPOTENT = RequestClass("w", 1000, 3000, priority_weight=3.0, idempotency=Idempotency.NON_IDEMPOTENT)


def keyed(scope: DeduplicationScope, window_ms: float) -> RequestClass:
    """Return a class of requests with an idempotency key, with this deduplication scope and window."""
    return RequestClass(
        scope.value,
        1000,
        3000,
        idempotency=Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window_ms=window_ms,
    )


def endpoints_in_cells(count: int) -> list[Endpoint]:
    """Return ``count`` endpoints that alternate between two zones, with two endpoints in each cell."""
    return [Endpoint(bytes([i]), zone=i % 2, cell=i // 2) for i in range(count)]
