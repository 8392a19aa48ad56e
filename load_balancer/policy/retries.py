"""Retries, hedged requests, and the final answer to a request that is not served."""

from typing import NamedTuple

from load_balancer.actions import FailRequest, FinishReason, RejectRequest
from load_balancer.events import Outcome
from load_balancer.policy.congestion import CongestionMonitor
from load_balancer.policy.outliers import is_unresponsive
from load_balancer.policy.selection import permitted_indices
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord
from load_balancer.state.request_records import Request
from load_balancer.state.timer_queue import TimerKind


class RetryParameters(NamedTuple):
    """The retry budget, and the time after which clients may retry rejected requests.

    A token of the budget pays for one further attempt of a request: a retry or a hedged request.

    Attributes:
        tokens_per_arrival: the tokens that each arriving request adds.
        max_tokens: the maximum number of tokens.
        initial_tokens: the number of tokens at the start.
        min_time_left_ticks: the minimum time before the deadline for a retry, in ticks of the host.
        retry_after_objectives: the Retry-After of a rejection, in latency objectives of the request's class.
    """

    tokens_per_arrival: float = 0.1
    max_tokens: float = 10.0
    initial_tokens: float = 5.0
    min_time_left_ticks: float = 2.0
    retry_after_objectives: float = 0.2


PARAMETERS = RetryParameters()


class RetryPolicy:
    """Decides on retries and hedged requests, within a budget that arriving requests fill.

    Attributes:
        tokens: the tokens left in the retry budget.
    """

    def __init__(self, context: NodeContext, monitor: CongestionMonitor) -> None:
        self.tokens = PARAMETERS.initial_tokens
        self._context = context
        self._monitor = monitor

    def record_arrival(self) -> None:
        """Add the tokens of an arriving request to the retry budget."""
        self.tokens = min(PARAMETERS.max_tokens, self.tokens + PARAMETERS.tokens_per_arrival)

    def take_token(self) -> None:
        """Take a token for a further attempt out of the retry budget."""
        self.tokens -= 1.0

    def take_retry(self, request: Request, outcome: Outcome) -> FinishReason | None:
        """Decide whether a request may be retried, and take a token for the retry if it needs one.

        Args:
            request: the request, which has no attempt in flight.
            outcome: the outcome of its last attempt.

        Returns:
            The reason why the request may not be retried; None if it may.
        """
        # A retry needs no token if no server has received the last attempt and none may have executed an
        # earlier attempt.
        needs_token = outcome is Outcome.REJECTED or request.first_possible_run() is not None
        denial_reason = self._denial_reason(request, outcome, needs_token)
        if denial_reason is None and needs_token:
            self.take_token()
        return denial_reason

    def _denial_reason(self, request: Request, outcome: Outcome, needs_token: bool) -> FinishReason | None:
        settings = self._context.settings
        time_left_ms = request.deadline - self._context.now
        mean = self._monitor.class_latencies[request.class_index].mean
        if outcome is Outcome.CLIENT_ERROR:
            return FinishReason.CLIENT_ERROR
        if len(request.attempts) >= settings.max_attempts:
            return FinishReason.ATTEMPTS_EXHAUSTED
        if time_left_ms <= max(mean, PARAMETERS.min_time_left_ticks * settings.tick_ms):
            return FinishReason.OUT_OF_TIME
        if needs_token and self.tokens < 1.0:
            return FinishReason.RETRY_BUDGET
        return None if permitted_indices(self._context, request) else FinishReason.NOT_REPEATABLE

    def schedule_late_check(self, request: Request) -> None:
        """Schedule a check at the time when an attempt sent now will be late.

        No check is scheduled if the request may not be repeated, if it has no attempt left, or if another
        attempt sent at that time would probably miss the deadline.
        """
        latency = self._monitor.class_latencies[request.class_index]
        at = self._context.now + latency.attempt_timeout()
        if (
            request.repeatable()
            and len(request.attempts) < self._context.settings.max_attempts
            and at + latency.mean < request.deadline
        ):
            self._context.schedule(at, TimerKind.LATE_ATTEMPT, request.id)

    def may_hedge(self, request: Request) -> bool:
        """Return whether a request whose attempt is late may be hedged, or its attempt cancelled and retried.

        All endpoints with an attempt of the request in flight must be unresponsive: an endpoint that responds
        to other attempts is probably busy with long work, which a cancellation would waste.  The retry budget
        must have a token, and latencies must meet their target.  Latencies may exceed the bound that depends
        on the baseline latency, because latencies of twice the baseline are no overload at an inner tier.
        """
        timeout = self._monitor.class_latencies[request.class_index].attempt_timeout()
        unresponsive = all(
            is_unresponsive(a.record, timeout, self._context.now) for _, a in request.attempts_in_flight()
        )
        return unresponsive and self.tokens >= 1.0 and self._monitor.target_congestion < 1.0

    def needs_new_connection(self, request: Request, record: EndpointRecord) -> bool:
        """Return whether an attempt of this request needs a new connection to this endpoint.

        This is the case for a non-idempotent request if the endpoint has not responded for longer than the
        mean latency: its machine may have failed without closing its connections.  If a new connection
        cannot be established, the attempt has certainly not been executed.  Latencies must meet their target,
        because the handshakes of new connections add to an overload.
        """
        overdue = self._context.now - record.last_response_at > self._monitor.latency.mean
        return overdue and self._monitor.target_congestion < 1.0 and not request.repeatable()

    def final_answer(self, request: Request, reason: FinishReason) -> RejectRequest | FailRequest:
        """Return the final answer to a request that is not served.

        The answer is a rejection if the client may safely retry the request, else a failure.
        """
        if not request.repeatable_anywhere() and request.first_possible_run() is not None:
            return FailRequest(request.id, reason)
        if not self._context.settings.retry_after_allowed:
            return RejectRequest(request.id, reason=reason)
        after_ms = PARAMETERS.retry_after_objectives * request.request_class.latency_objective_ms
        return RejectRequest(request.id, min(after_ms, self._context.settings.max_retry_after_ms), reason)
