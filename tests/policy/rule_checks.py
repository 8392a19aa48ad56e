"""Checks of the four rules for the actions of a balancer; the checks share no code with the policy.

1. Every request gets one final answer, in time, and no attempt is sent for it afterwards.
2. A request that may have been executed is sent again, or answered as rejected, only if a second execution is
   harmless.
3. No attempt is sent to an endpoint that is not serving.
4. The limits in the settings are observed (number of attempts, hedging, cancelling, health checks).
"""

from __future__ import annotations

from load_balancer.events import Endpoint, EndpointId, EndpointState
from load_balancer.settings import DeduplicationScope, Idempotency, Settings
from tests.policy.tracking import TrackedRequest


class RuleChecks:
    """Asserts that actions follow the rules; the argument ``now`` is the host's time in milliseconds."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings

    def check_deadline(self, tracked: TrackedRequest, now: float) -> None:
        """Assert that a request has been answered, or that its deadline and the slack have not passed."""
        latest = tracked.deadline + self._settings.response_slack_ms
        assert tracked.answered_at is not None or now <= latest, "rule 1: no final answer in time"

    def check_final_answer(self, tracked: TrackedRequest, rejected: bool, now: float) -> None:
        """Assert that a request may now be answered with a rejection (if ``rejected``) or with a failure."""
        assert tracked.answered_at is None, "rule 1: a second final answer"
        latest = tracked.deadline + self._settings.response_slack_ms
        assert now <= latest, "rule 1: final answer too late"
        request_class = tracked.request_class
        if (
            rejected
            and tracked.possibly_executed()
            and request_class.idempotency is not Idempotency.IDEMPOTENT
        ):
            keyed = request_class.idempotency is Idempotency.KEYED
            assert keyed, "rule 2: rejected a non-idempotent request that may have been executed"
            scope = request_class.deduplication_scope
            assert (
                scope is DeduplicationScope.ALL
            ), "rule 2: rejected a keyed request that may have been executed, though its scope is not ALL"

    def check_send(
        self, tracked: TrackedRequest, endpoint: Endpoint | None, timeout_ms: float, now: float
    ) -> Endpoint:
        """Assert that an attempt may be sent to this endpoint, and return the endpoint.

        The endpoint is None if it is not in the endpoint list, which violates rule 3.
        """
        assert tracked.answered_at is None, "rule 1: attempt sent for a finished request"
        assert now < tracked.deadline and timeout_ms >= 0.0
        assert len(tracked.attempts) < self._settings.max_attempts
        assert endpoint is not None, "rule 3: attempt sent to an unlisted endpoint"
        assert endpoint.state is EndpointState.SERVING, "rule 3: attempt sent to an endpoint not serving"
        self._check_repetition(tracked, endpoint, now)
        return endpoint

    def check_cancel(self, tracked: TrackedRequest, attempt_number: int) -> None:
        """Assert that this attempt may be cancelled."""
        assert self._settings.cancel_allowed and attempt_number < len(tracked.attempts)

    def check_health_check(self, endpoint: EndpointId, endpoints: dict[EndpointId, Endpoint]) -> None:
        """Assert that a health check of this endpoint may be requested."""
        assert self._settings.health_checks_allowed and endpoint in endpoints

    def _check_repetition(self, tracked: TrackedRequest, endpoint: Endpoint, now: float) -> None:
        others = tracked.possibly_executed()
        if not others:
            return
        request_class = tracked.request_class
        repeatable = request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        assert repeatable, "rule 2: non-idempotent request sent again though it may have been executed"
        if not self._settings.hedging_allowed:
            assert not any(a.in_flight() for a in tracked.attempts), "rule 4: hedged though not allowed"
        if request_class.idempotency is not Idempotency.KEYED:
            return
        for other in others:
            age_ms = now - other.sent_at
            assert age_ms < request_class.deduplication_window_ms, "rule 2: sent again outside the window"
            if request_class.deduplication_scope is DeduplicationScope.CELL:
                assert endpoint.cell == other.endpoint.cell, "rule 2: sent again to another cell"
            if request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert endpoint.zone == other.endpoint.zone, "rule 2: sent again to another zone"
