"""Tenant quotas and queue timeouts, the part of admission control that precedes the concurrency limit."""

from typing import NamedTuple

from load_balancer.estimation.rates import TokenBucket
from load_balancer.settings import Settings
from load_balancer.state.request_records import Request


class QueueParameters(NamedTuple):
    """The limits on how long requests may wait in the queue.

    The timeout is short for two reasons.  A client whose request is rejected early can still retry before
    its deadline.  A request that has queued for long occupies capacity with which a later request could
    still be answered in time.

    Attributes:
        timeout_objectives: the longest time in the queue, in latency objectives of the request's class.
        max_budget_fraction: the longest time in the queue, as a fraction of the request's remaining budget.
        check_interval_objectives: the longest time between two checks of the queue for expired requests, in
            units of the shortest latency objective of any class.
    """

    timeout_objectives: float = 0.05
    max_budget_fraction: float = 0.5
    check_interval_objectives: float = 0.02


QUEUE = QueueParameters()


def sharing_node_count(settings: Settings) -> int:
    """Return the number of nodes among which the capacity of the endpoints is divided.

    At an inner tier the result is 1, so that each node may use the whole capacity: a request that is
    rejected there wastes the work that the outer tiers have already done for it.
    """
    return 1 if settings.tier_index else settings.node_count


def arrival_timeout_ms(request: Request, budget_ms: float, settings: Settings) -> float:
    """Return how long a new request may queue, in milliseconds.

    The time is longer at an inner tier, where a rejection wastes the work of the outer tiers.
    """
    if settings.tier_index:
        return QUEUE.max_budget_fraction * budget_ms
    return retry_timeout_ms(request, budget_ms)


def retry_timeout_ms(request: Request, left_ms: float) -> float:
    """Return how long a request may queue, in milliseconds, when ``left_ms`` remain until its deadline."""
    return min(
        QUEUE.timeout_objectives * request.request_class.latency_objective_ms,
        QUEUE.max_budget_fraction * left_ms,
    )


class TenantQuotas:
    """A token bucket for each tenant, refilled at the node's part of the tenant's quota.

    A bucket holds at most the tokens of one second.

    Inner tiers have no buckets and admit every request, as the quotas apply to the first tier only.
    """

    def __init__(self, settings: Settings) -> None:
        rates = [tenant.quota_per_s / settings.node_count for tenant in settings.tenants]
        self._buckets = [] if settings.tier_index else [TokenBucket(rate) for rate in rates]

    def admits(self, tenant: int, now: float) -> bool:
        """Count a request against its tenant's quota and return whether it is within the quota.

        Requests of an unknown tenant, or of a tenant whose quota is 0, are always within the quota.
        """
        return not 0 <= tenant < len(self._buckets) or self._buckets[tenant].take(now)
