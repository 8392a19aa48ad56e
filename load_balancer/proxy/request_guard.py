"""Checks each attempt right before it is written, and each rejection right before it is sent.

The policy decides by its own records.  Right before bytes are sent, the guard checks the decision against an
independent record of which attempts were written and how they ended.  If the record does not allow the
decision, either the policy or the guard has a fault.  The caller then does not write the attempt, or it fails
the request instead of rejecting it, and it reports the violation.  A repeated attempt after the end of
the deduplication window is not written either, but it is only counted and not reported, because a delay on
the node's machine can cause it.
"""

from __future__ import annotations

from load_balancer.events import NOT_EXECUTED, Endpoint, Outcome
from load_balancer.proxy.observability.rule_monitor import Rule
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings


class WrittenAttempt:
    """An attempt that was written to an endpoint.

    Attributes:
        endpoint: the endpoint as it was listed at the time of the write.
        written_ms: the time of the write, in milliseconds on the node's clock.
        outcome: how the attempt ended; None while it is in flight.
    """

    __slots__ = ("endpoint", "outcome", "written_ms")

    def __init__(self, endpoint: Endpoint, written_ms: float) -> None:
        self.endpoint = endpoint
        self.written_ms = written_ms
        self.outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Return whether the endpoint may have executed the attempt, or may still execute it."""
        return self.outcome is None or self.outcome not in NOT_EXECUTED


class RequestGuard:
    """Records the written attempts of one request and checks which decisions they still allow."""

    def __init__(self, settings: Settings, class_index: int) -> None:
        self._settings = settings
        self._class: RequestClass = settings.classes[class_index]
        self._written: dict[int, WrittenAttempt] = {}

    def check_write(
        self, endpoint: Endpoint | None, now_ms: float, *, to_listed_process: bool = True
    ) -> Rule | None:
        """Check whether an attempt may be written now.

        Args:
            endpoint: the endpoint of the attempt; None if it is not listed as serving.
            now_ms: the current time on the node's clock.
            to_listed_process: whether the connection leads to the process that is listed.

        Returns:
            The rule that the write would violate, or None if the write is allowed.
        """
        if endpoint is None:
            return Rule.NOT_SERVING
        if len(self._written) >= self._settings.max_attempts:
            return Rule.ATTEMPT_LIMIT
        in_flight = any(attempt.outcome is None for attempt in self._written.values())
        if in_flight and not self._settings.hedging_allowed:
            return Rule.CONCURRENT
        possible_runs = [attempt for attempt in self._written.values() if attempt.may_have_run()]
        if not possible_runs:
            return None
        rule = self._check_repeat(possible_runs[0], endpoint, now_ms)
        if rule is None and not to_listed_process and self._depends_on_process():
            return Rule.UNKNOWN_PROCESS
        return rule

    def _depends_on_process(self) -> bool:
        """Return whether only some processes know the idempotency key, so that another would run it again."""
        return (
            self._class.idempotency is Idempotency.KEYED
            and self._class.deduplication_scope is not DeduplicationScope.ALL
        )

    def _check_repeat(self, first: WrittenAttempt, endpoint: Endpoint, now_ms: float) -> Rule | None:
        if self._class.idempotency is Idempotency.IDEMPOTENT:
            return None
        if self._class.idempotency is Idempotency.NON_IDEMPOTENT:
            return Rule.REPEATED
        if now_ms >= first.written_ms + self._class.deduplication_window_ms:
            return Rule.OUTSIDE_WINDOW
        return None if self._shares_keys(first.endpoint, endpoint) else Rule.OUTSIDE_SCOPE

    def _shares_keys(self, first: Endpoint, other: Endpoint) -> bool:
        scope = self._class.deduplication_scope
        if scope is DeduplicationScope.ZONE:
            return first.zone == other.zone
        return scope is DeduplicationScope.ALL or first.cell == other.cell

    def record_write(self, number: int, endpoint: Endpoint, now_ms: float) -> None:
        """Record that an attempt is being written."""
        self._written[number] = WrittenAttempt(endpoint, now_ms)

    def record_outcome(self, number: int, outcome: Outcome) -> None:
        """Record how an attempt ended; do nothing if the attempt was not written."""
        attempt = self._written.get(number)
        if attempt is not None:
            attempt.outcome = outcome

    def must_not_run_again(self) -> bool:
        """Return whether the request may have run, and its class does not allow it to run anywhere again."""
        if self._class.idempotency is Idempotency.IDEMPOTENT:
            return False
        return any(attempt.may_have_run() for attempt in self._written.values())

    def may_reject(self) -> bool:
        """Return whether the request may be rejected, which requires that a retry by the client is safe."""
        if self._class.idempotency is Idempotency.IDEMPOTENT:
            return True
        deduplicated_everywhere = self._class.deduplication_scope is DeduplicationScope.ALL
        if self._class.idempotency is Idempotency.KEYED and deduplicated_everywhere:
            return True
        return not any(attempt.may_have_run() for attempt in self._written.values())
