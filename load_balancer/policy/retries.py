"""Further attempts of a request (retries and hedged requests) and the final answer to one not served."""

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
    """The budget of further attempts, and when rejected clients may return.

    Attributes:
        tokens_per_arrival: the further attempts that each arrival earns.
        max_tokens: the further attempts that the budget holds at the most.
        initial_tokens: those that it starts with.
        min_time_left_ticks: a retry needs at least this much time, in ticks of the host.
        retry_after_objectives: the Retry-After of a rejection, in latency objectives of the request's class.
    """

    tokens_per_arrival: float = 0.1
    max_tokens: float = 10.0
    initial_tokens: float = 5.0
    min_time_left_ticks: float = 2.0
    retry_after_objectives: float = 0.2


PARAMETERS = RetryParameters()


class RetryPolicy:
    """Decides on further attempts, within a budget that arrivals earn.

    Attributes:
        tokens: the further attempts that the budget has left.
    """

    def __init__(self, context: NodeContext, monitor: CongestionMonitor) -> None:
        self.tokens = PARAMETERS.initial_tokens
        self._context = context
        self._monitor = monitor

    def record_arrival(self) -> None:
        """Earn a part of a further attempt."""
        self.tokens = min(PARAMETERS.max_tokens, self.tokens + PARAMETERS.tokens_per_arrival)

    def spend(self) -> None:
        """Pay for a further attempt."""
        self.tokens -= 1.0

    def take_retry(self, request: Request, outcome: Outcome) -> FinishReason | None:
        """Grant a retry to a request whose last attempt ended with this outcome, and pay for it.

        Returns:
            Why it gets no retry; None where it gets one.
        """
        # A retry of an attempt that no server has seen is free.
        needs_token = outcome is Outcome.REJECTED or request.first_possible_run() is not None
        denial_reason = self._denial_reason(request, outcome, needs_token)
        if denial_reason is None and needs_token:
            self.spend()
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
        """Schedule a check for when an attempt sent now is late, if another one could still be in time."""
        latency = self._monitor.class_latencies[request.class_index]
        at = self._context.now + latency.attempt_timeout()
        if (
            request.repeatable()
            and len(request.attempts) < self._context.settings.max_attempts
            and at + latency.mean < request.deadline
        ):
            self._context.schedule(at, TimerKind.LATE_ATTEMPT, request.id)

    def may_hedge(self, request: Request) -> bool:
        """Whether a request whose attempt is late may have a second one, beside it or in its place.

        Its server must be silent: one that answers others is busy with long work, which a cancellation would
        waste.  The budget must last, and latencies must meet their target; the baseline does not matter, as
        latencies of twice the baseline are no overload at an inner tier.
        """
        timeout = self._monitor.class_latencies[request.class_index].attempt_timeout()
        unresponsive = all(
            is_unresponsive(a.record, timeout, self._context.now) for _, a in request.attempts_in_flight()
        )
        return unresponsive and self.tokens >= 1.0 and self._monitor.target_congestion < 1.0

    def needs_new_connection(self, request: Request, record: EndpointRecord) -> bool:
        """Whether a non-idempotent request needs a new connection to this endpoint.

        It does where the endpoint has not responded for longer than responses take: the machine may have
        failed and left its connections open.  A new connection that cannot be established proves that nothing
        ran. Latencies must meet their target, as handshakes add to an overload.
        """
        overdue = self._context.now - record.last_response_at > self._monitor.latency.mean
        return overdue and self._monitor.target_congestion < 1.0 and not request.repeatable()

    def final_answer(self, request: Request, reason: FinishReason) -> RejectRequest | FailRequest:
        """The answer to a request that is not served: a rejection where the client may safely retry."""
        if not request.repeatable_anywhere() and request.first_possible_run() is not None:
            return FailRequest(request.id, reason)
        if not self._context.settings.retry_after_allowed:
            return RejectRequest(request.id, reason=reason)
        after_ms = PARAMETERS.retry_after_objectives * request.request_class.latency_objective_ms
        return RejectRequest(request.id, min(after_ms, self._context.settings.max_retry_after_ms), reason)
