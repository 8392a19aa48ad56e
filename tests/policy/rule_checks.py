"""Checks of the four rules on the actions of a balancer; they share no code with the policy.

1. every request gets one final answer, in time, and nothing is sent for it afterwards;
2. what may have run is not run again unless that is harmless, and is not called rejected if it is not;
3. nothing is sent to an endpoint that does not serve;
4. limits of the settings (attempts, hedging, cancelling, health checks) are kept.
"""

from __future__ import annotations

from load_balancer.events import Endpoint, EndpointId, EndpointState
from load_balancer.settings import DeduplicationScope, Idempotency, Settings
from tests.policy.tracking import TrackedRequest


class RuleChecks:
    """Asserts the rules; the host tells it the time of each action."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings

    def check_in_time(self, tracked: TrackedRequest, now: float) -> None:
        """A request is answered, or may still be."""
        latest = tracked.deadline + self._settings.response_slack_ms
        assert tracked.answered_at is not None or now <= latest, "rule 1: no answer in time"

    def check_final_answer(self, tracked: TrackedRequest, rejected: bool, now: float) -> None:
        """A request may be answered without being served."""
        assert tracked.answered_at is None, "rule 1: a second final answer"
        latest = tracked.deadline + self._settings.response_slack_ms
        assert now <= latest, "rule 1: answered too late"
        request_class = tracked.request_class
        if (
            rejected
            and tracked.possibly_executed()
            and request_class.idempotency is not Idempotency.IDEMPOTENT
        ):
            keyed = request_class.idempotency is Idempotency.KEYED
            assert keyed, "rule 2: rejected a non-idempotent request that may have run"
            scope = request_class.deduplication_scope
            assert scope is DeduplicationScope.ALL, "rule 2: a rejection needs the scope of all servers"

    def check_send(
        self, tracked: TrackedRequest, endpoint: Endpoint | None, timeout_ms: float, now: float
    ) -> Endpoint:
        """An attempt may be sent to this endpoint, None for one that is not listed; returns the endpoint."""
        assert tracked.answered_at is None, "rule 1: sent for a finished request"
        assert now < tracked.deadline and timeout_ms >= 0.0
        assert len(tracked.attempts) < self._settings.max_attempts
        assert endpoint is not None, "rule 3: sent to an unlisted endpoint"
        assert endpoint.state is EndpointState.SERVING, "rule 3: sent to a draining endpoint"
        self._check_repetition(tracked, endpoint, now)
        return endpoint

    def check_cancel(self, tracked: TrackedRequest, attempt_number: int) -> None:
        """An attempt may be cancelled."""
        assert self._settings.cancel_allowed and attempt_number < len(tracked.attempts)

    def check_health_check(self, endpoint: EndpointId, endpoints: dict[EndpointId, Endpoint]) -> None:
        """An endpoint may be health-checked."""
        assert self._settings.health_checks_allowed and endpoint in endpoints

    def _check_repetition(self, tracked: TrackedRequest, endpoint: Endpoint, now: float) -> None:
        others = tracked.possibly_executed()
        if not others:
            return
        request_class = tracked.request_class
        repeatable = request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        assert repeatable, "rule 2: a non-idempotent request sent twice"
        if not self._settings.hedging_allowed:
            assert not any(a.in_flight() for a in tracked.attempts), "rule 4: hedged without leave"
        if request_class.idempotency is not Idempotency.KEYED:
            return
        for other in others:
            age_ms = now - other.sent_at
            assert age_ms < request_class.deduplication_window_ms, "rule 2: outside the window"
            if request_class.deduplication_scope is DeduplicationScope.CELL:
                assert endpoint.cell == other.endpoint.cell, "rule 2: another cell"
            if request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert endpoint.zone == other.endpoint.zone, "rule 2: another zone"
