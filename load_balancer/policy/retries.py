"""Further attempts of a request - retries and hedged requests - and the final answer without one."""

from load_balancer.actions import FailRequest, FinishReason, RejectRequest
from load_balancer.events import Outcome
from load_balancer.policy.congestion import CongestionMonitor
from load_balancer.policy.outliers import is_silent
from load_balancer.policy.selection import permitted
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord
from load_balancer.state.records import Request
from load_balancer.state.timer_queue import TimerKind

RETRY_EARN = 0.1  # retries and hedged requests for each arrival
RETRY_TOKENS_MAX = 10.0
RETRY_AFTER = 0.2  # part of the objective after which a rejected client may come back


class RetryPolicy:
    """Decides on further attempts, within a budget earned by arrivals."""

    def __init__(self, context: NodeContext, monitor: CongestionMonitor) -> None:
        self.tokens = RETRY_TOKENS_MAX / 2  # what the budget has left
        self._context = context
        self._monitor = monitor

    def record_arrival(self) -> None:
        """Earn a part of a further attempt."""
        self.tokens = min(RETRY_TOKENS_MAX, self.tokens + RETRY_EARN)

    def spend(self) -> None:
        """Pay for a further attempt."""
        self.tokens -= 1.0

    def take_retry(self, request: Request, outcome: Outcome) -> FinishReason | None:
        """Grant another attempt to a request whose last one ended so, paid from the budget.

        Returns:
            Why it gets none; None where it gets one.
        """
        # An attempt that no server saw costs nothing to repeat.
        costs = outcome is Outcome.REJECTED or request.first_possible_run() is not None
        denial = self._denial(request, outcome, costs)
        if denial is None and costs:
            self.spend()
        return denial

    def _denial(self, request: Request, outcome: Outcome, costs: bool) -> FinishReason | None:
        settings = self._context.settings
        left = request.deadline - self._context.now
        mean = self._monitor.class_latencies[request.class_index].mean
        if outcome is Outcome.CLIENT_ERROR:
            return FinishReason.CLIENT_ERROR
        if len(request.attempts) >= settings.max_attempts:
            return FinishReason.ATTEMPTS_EXHAUSTED
        if left <= max(mean, 2 * settings.tick_ms):
            return FinishReason.OUT_OF_TIME
        if costs and self.tokens < 1.0:
            return FinishReason.RETRY_BUDGET
        return None if permitted(self._context, request) else FinishReason.NOT_REPEATABLE

    def schedule_late_check(self, request: Request) -> None:
        """Have a timer fire when an attempt sent now is late, if another could still be answered in time."""
        latency = self._monitor.class_latencies[request.class_index]
        at = self._context.now + latency.attempt_timeout()
        if (
            request.repeatable()
            and len(request.attempts) < self._context.settings.max_attempts
            and at + latency.mean < request.deadline
        ):
            self._context.schedule(at, TimerKind.LATE_ATTEMPT, request.id)

    def may_hedge(self, request: Request) -> bool:
        """Whether a request whose attempt is late may have a second one beside it or in its place.

        Only if its server is silent: one that answers others is merely busy with long work, and giving that
        up would waste it and feed the next queue (seen as 14% of attempts timed out on a quiet day).  And
        only while the budget lasts and latencies meet their target: in an inner tier a few answers of twice
        the baseline are no overload.  What does not hold now may hold at the next check.
        """
        timeout = self._monitor.class_latencies[request.class_index].attempt_timeout()
        silent = all(is_silent(a.record, timeout, self._context.now) for _, a in request.running())
        return silent and self.tokens >= 1.0 and self._monitor.target_pressure < 1.0

    def needs_new_connection(self, request: Request, record: EndpointRecord) -> bool:
        """Whether a request that may not be repeated goes out on a new connection.

        So it does to a server that has not answered for longer than answers take.  A vanished machine leaves
        its connections open and swallows what is written to them: every node of a tier lost a request to
        find that out, which held a place in each tier before it until its deadline.  A new connection that
        is not established proves that nothing ran.  It could hurt where handshakes cost as much as the work:
        not while latencies are past their target (simulated overload 0.87 -> 0.72 without this bound).
        """
        overdue = self._context.now - record.last_response_at > self._monitor.latency.mean
        return overdue and self._monitor.target_pressure < 1.0 and not request.repeatable()

    def final_answer(self, request: Request, reason: FinishReason) -> RejectRequest | FailRequest:
        """The answer to a request that is not served: a rejection where trying again is harmless."""
        if not request.repeatable_anywhere() and request.first_possible_run() is not None:
            return FailRequest(request.id, reason)
        if not self._context.settings.retry_after_allowed:
            return RejectRequest(request.id, reason=reason)
        after = RETRY_AFTER * request.request_class.latency_objective_ms
        return RejectRequest(request.id, min(after, self._context.settings.max_retry_after_ms), reason)
