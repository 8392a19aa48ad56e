"""The concurrency limit of each endpoint, which follows the attempts that it rejects and serves."""

from typing import NamedTuple

from load_balancer.policy.failure_detection import FAILURES
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord


class EndpointLimitParameters(NamedTuple):
    """How a rejection bounds what an endpoint gets.

    Attributes:
        decrease_factor: a rejection lowers the limit to this part of the attempts in flight there.
        increase_per_round: attempts by which each full round of served ones raises it again.
        cooldown_objectives: the first cooldown, in latency objectives; each consecutive one is twice as long.
        max_cooldown_doublings: a server that drains rejects for seconds before the endpoint list says so.
    """

    decrease_factor: float = 0.9
    increase_per_round: float = 0.25
    cooldown_objectives: float = 0.02
    max_cooldown_doublings: int = 5


LIMITS = EndpointLimitParameters()


class EndpointLimits:
    """The concurrency limits of endpoints; the only writer of their states.

    Without a limit, thousands of requests a second are sent to full servers, each at the cost of a handshake.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def record_success(self, record: EndpointRecord) -> None:
        """Raise the limit a little."""
        concurrency = record.concurrency
        concurrency.consecutive_rejections = 0
        concurrency.limit += LIMITS.increase_per_round / concurrency.limit

    def record_rejection(self, record: EndpointRecord) -> float:
        """Lower the limit; returns how long the endpoint should cool down, in milliseconds."""
        concurrency = record.concurrency
        limit = min(concurrency.limit, len(record.in_flight))
        concurrency.limit = max(1.0, LIMITS.decrease_factor * limit)
        doublings = min(concurrency.consecutive_rejections, LIMITS.max_cooldown_doublings)
        concurrency.consecutive_rejections += 1
        return LIMITS.cooldown_objectives * 2.0**doublings * self._context.objective_ms

    def fleet_rejects(self) -> bool:
        """Whether more endpoints reject than could be excluded: then the fleet itself is congested."""
        records = self._context.endpoints.selectable
        rejecting = sum(1 for record in records if record.concurrency.consecutive_rejections)
        return rejecting > FAILURES.max_ejected_fraction * len(records)
