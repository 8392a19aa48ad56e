"""Requests and attempts as a host sees them, independent of the policy's own records."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer.events import Endpoint, EndpointId, Outcome
from load_balancer.settings import RequestClass

NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass
class TrackedAttempt:
    """An attempt as the host has seen it; times are in milliseconds."""

    endpoint: Endpoint
    sent_at: float
    times_out_at: float
    outcome: Outcome | None = None

    def in_flight(self) -> bool:
        """Whether it has not ended yet."""
        return self.outcome is None


@dataclass
class TrackedRequest:
    """A request as the host has seen it; times are in milliseconds."""

    request_class: RequestClass
    deadline: float
    answered_at: float | None = None
    attempts: list[TrackedAttempt] = field(default_factory=list)

    def possibly_executed(self) -> list[TrackedAttempt]:
        """The attempts that no outcome proves not to have run."""
        return [a for a in self.attempts if a.outcome is None or a.outcome not in NOT_EXECUTED]

    def endpoint_of(self, attempt_number: int) -> EndpointId:
        """Where this attempt was sent."""
        return self.attempts[attempt_number].endpoint.id
