"""Request classes and endpoints that the policy's tests share."""

from __future__ import annotations

from load_balancer.events import Endpoint
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass

IDEMPOTENT = RequestClass("r", 1000, 3000)
NON_IDEMPOTENT = RequestClass("w", 1000, 3000, priority_weight=3.0, idempotency=Idempotency.NON_IDEMPOTENT)


def keyed(scope: DeduplicationScope, window_ms: float) -> RequestClass:
    """A class whose requests carry an idempotency key."""
    return RequestClass(
        scope.value,
        1000,
        3000,
        idempotency=Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window_ms=window_ms,
    )


def endpoints_in_cells(count: int) -> list[Endpoint]:
    """Endpoints in two zones and in cells of two."""
    return [Endpoint(bytes([i]), zone=i % 2, cell=i // 2) for i in range(count)]
