"""The simulated host's records of requests and attempts, independent of the records of the policy."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer.events import Endpoint, EndpointId, Outcome
from load_balancer.settings import RequestClass

NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
"""The outcomes that prove that the server did not execute the attempt."""


@dataclass
class TrackedAttempt:
    """The host's record of an attempt; times are in milliseconds, and the outcome is None while in flight."""

    endpoint: Endpoint
    sent_at: float
    times_out_at: float
    outcome: Outcome | None = None

    def in_flight(self) -> bool:
        """Return whether the attempt has not ended yet."""
        return self.outcome is None


@dataclass
class TrackedRequest:
    """The host's record of a request; times are in milliseconds."""

    request_class: RequestClass
    deadline: float
    answered_at: float | None = None
    attempts: list[TrackedAttempt] = field(default_factory=list)

    def possibly_executed(self) -> list[TrackedAttempt]:
        """Return the attempts without an outcome that proves that the server did not execute them."""
        return [a for a in self.attempts if a.outcome is None or a.outcome not in NOT_EXECUTED]

    def endpoint_of(self, attempt_number: int) -> EndpointId:
        """Return the id of the endpoint that this attempt was sent to."""
        return self.attempts[attempt_number].endpoint.id
