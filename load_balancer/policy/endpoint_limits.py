"""The concurrency limit of each endpoint, which rejected attempts lower and served attempts raise."""

from typing import NamedTuple

from load_balancer.policy.failure_detection import FAILURES
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord


class EndpointLimitParameters(NamedTuple):
    """The changes of an endpoint's concurrency limit, and the cooldown after a rejection.

    Attributes:
        decrease_factor: a rejection lowers the limit to this fraction of the limit, or of the attempts in
            flight at the endpoint if these are fewer, but not below 1.
        increase_per_round: the increase of the limit, in attempts, after as many served attempts as the limit
            allows in flight.
        cooldown_objectives: the first cooldown, in latency objectives; each consecutive rejection doubles it.
        max_cooldown_doublings: the maximum number of doublings.  It allows long cooldowns, because a draining
            server rejects attempts for seconds before the endpoint list shows that it is draining.
    """

    decrease_factor: float = 0.9
    increase_per_round: float = 0.25
    cooldown_objectives: float = 0.02
    max_cooldown_doublings: int = 5


LIMITS = EndpointLimitParameters()


class EndpointLimits:
    """The concurrency limits of endpoints; only this class changes their states.

    Without these limits, thousands of requests per second would be sent to servers that are at capacity, each
    at the cost of a handshake.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def record_success(self, record: EndpointRecord) -> None:
        """Record a served attempt, which raises the endpoint's limit slightly."""
        concurrency = record.concurrency
        concurrency.consecutive_rejections = 0
        concurrency.limit += LIMITS.increase_per_round / concurrency.limit

    def record_rejection(self, record: EndpointRecord) -> float:
        """Lower the endpoint's limit after a rejection and return its cooldown in milliseconds."""
        concurrency = record.concurrency
        limit = min(concurrency.limit, len(record.in_flight))
        concurrency.limit = max(1.0, LIMITS.decrease_factor * limit)
        doublings = min(concurrency.consecutive_rejections, LIMITS.max_cooldown_doublings)
        concurrency.consecutive_rejections += 1
        return LIMITS.cooldown_objectives * 2.0**doublings * self._context.objective_ms

    def fleet_rejects(self) -> bool:
        """Return whether more endpoints reject attempts than may be ejected at once.

        In this case the endpoints as a whole are congested.
        """
        records = self._context.endpoints.selectable
        rejecting = sum(1 for record in records if record.concurrency.consecutive_rejections)
        return rejecting > FAILURES.max_ejected_fraction * len(records)
