"""Admission control before the concurrency limit: tenant quotas and queue timeouts."""

from typing import NamedTuple

from load_balancer.estimation.rates import TokenBucket
from load_balancer.settings import Settings
from load_balancer.state.request_records import Request


class QueueParameters(NamedTuple):
    """How long requests may queue.

    The timeout is short: a rejected client retries in time, while a request that has queued for long takes
    the place of a later one that would still be answered in time.

    Attributes:
        timeout_objectives: the longest time in the queue, in latency objectives of the request's class.
        max_budget_fraction: the longest time in the queue, as a part of what is left of the budget.
        check_interval_objectives: the time between checks of the queue, in latency objectives.
    """

    timeout_objectives: float = 0.05
    max_budget_fraction: float = 0.5
    check_interval_objectives: float = 0.02


QUEUE = QueueParameters()


def sharing_node_count(settings: Settings) -> int:
    """The number of nodes among which the capacity is divided.

    That is one at an inner tier: a request that is rejected there wastes the work done for it before.
    """
    return 1 if settings.tier_index else settings.node_count


def arrival_timeout_ms(request: Request, budget_ms: float, settings: Settings) -> float:
    """How long a new request may queue; longer at an inner tier, where its rejection wastes earlier work."""
    if settings.tier_index:
        return QUEUE.max_budget_fraction * budget_ms
    return retry_timeout_ms(request, budget_ms)


def retry_timeout_ms(request: Request, left_ms: float) -> float:
    """How long a request with this time left may queue for a further attempt."""
    return min(
        QUEUE.timeout_objectives * request.request_class.latency_objective_ms,
        QUEUE.max_budget_fraction * left_ms,
    )


class TenantQuotas:
    """A token bucket of one second's quota for each tenant; without effect at inner tiers."""

    def __init__(self, settings: Settings) -> None:
        rates = [tenant.quota_per_s / settings.node_count for tenant in settings.tenants]
        self._buckets = [] if settings.tier_index else [TokenBucket(rate) for rate in rates]

    def admits(self, tenant: int, now: float) -> bool:
        """Whether a request is within its tenant's quota; counts the request."""
        return not 0 <= tenant < len(self._buckets) or self._buckets[tenant].take(now)
