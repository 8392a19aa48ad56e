"""Recording of attempt outcomes, from which the components of the policy learn."""

from load_balancer.events import AttemptEnded, Outcome
from load_balancer.policy.automaton import Automaton
from load_balancer.policy.circuit_breakers import CircuitBreakers
from load_balancer.policy.concurrency_limit import ConcurrencyLimit
from load_balancer.policy.congestion import CongestionMonitor
from load_balancer.policy.endpoint_limits import EndpointLimits
from load_balancer.policy.outliers import OutlierDetector
from load_balancer.policy.slow_start import SlowStart
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord
from load_balancer.state.request_records import Attempt, Request

LATE_COOLDOWN_FACTOR = 2.0
"""The cooldown of an endpoint that sent no response during a late attempt.

The unit is the time that the late attempt took.
"""

COST_HINT_WEIGHT = 0.5
"""The fraction of a latency that is proportional to the work that the request's cost hint predicts."""

_FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.MALFORMED_RESPONSE)
_TIMEOUT_OR_CANCELLED = (Outcome.TIMEOUT, Outcome.CANCELLED)


class OutcomeRecorder:
    """Passes each outcome to the components that learn from it.

    Only this class and ``EndpointRecord.restart`` change ``last_response_at``.
    """

    def __init__(
        self,
        context: NodeContext,
        automaton: Automaton,
        slow_start: SlowStart,
        monitor: CongestionMonitor,
        limit: ConcurrencyLimit,
        breakers: CircuitBreakers,
        outliers: OutlierDetector,
        endpoint_limits: EndpointLimits,
    ) -> None:
        self._context = context
        self._automaton = automaton
        self._slow_start = slow_start
        self._monitor = monitor
        self._limit = limit
        self._breakers = breakers
        self._outliers = outliers
        self._endpoint_limits = endpoint_limits

    def record(self, attempt: Attempt, event: AttemptEnded, request: Request | None) -> None:
        """Record the outcome of an attempt.

        Args:
            attempt: the attempt.
            event: the event that reports its outcome.
            request: the request of the attempt; None if it needed no answer any more when the attempt ended.
        """
        record, outcome, elapsed_ms = attempt.record, event.outcome, event.elapsed_ms
        timeout_ms = self._monitor.latency.attempt_timeout()
        since_response_ms = self._context.now - record.last_response_at
        if elapsed_ms > timeout_ms and since_response_ms >= elapsed_ms:
            # Skip the endpoint at once: the latency averages show that it is slow only after about seven
            # responses, which take most of a minute if requests are few.
            self._outliers.cool_down_if_replaceable(record, LATE_COOLDOWN_FACTOR * elapsed_ms)
        if outcome is Outcome.OK:
            self._record_success(attempt, elapsed_ms, request)
        elif outcome is Outcome.REJECTED or (
            outcome is Outcome.CONNECT_FAILED and since_response_ms < timeout_ms
        ):
            self._record_rejection(record, elapsed_ms)
        elif outcome in _FAILURES:
            self._record_failure(attempt, outcome, elapsed_ms)
        elif outcome is Outcome.CLIENT_ERROR:
            # The outcome is caused by the request, not by the server or the load.
            self.record_response(record)
        elif outcome in _TIMEOUT_OR_CANCELLED and request is not None:
            # If the request is None, the attempt was not needed any more, for example because another attempt
            # responded first.
            self._record_timeout(attempt, outcome, elapsed_ms, request)

    def record_response(self, record: EndpointRecord) -> None:
        """Record that an endpoint has just sent a response, or the start of a streamed response."""
        record.last_response_at = self._context.now

    def _record_success(self, attempt: Attempt, elapsed_ms: float, request: Request | None) -> None:
        record, objective_ms = attempt.record, self._context.objective_ms
        self.record_response(record)
        self._endpoint_limits.record_success(record)
        self._monitor.latency.observe(elapsed_ms)
        if request is not None:
            self._monitor.class_latencies[request.class_index].observe(elapsed_ms)
            objective_ms = request.request_class.latency_objective_ms
        # A long latency of heavy work says little about its server or the load.
        latency_ms = elapsed_ms / ((1.0 - COST_HINT_WEIGHT) + COST_HINT_WEIGHT * attempt.work)
        self._slow_start.record_response(record, attempt.work)
        self._monitor.record_response(latency_ms)
        self._limit.record_latency_ratio(elapsed_ms / objective_ms)
        self._automaton.learn(record.endpoint.id, latency_ms)
        self._breakers.record_success(record, attempt.class_index)
        self._outliers.record_success(record)

    def _record_rejection(self, record: EndpointRecord, elapsed_ms: float) -> None:
        """Record that an endpoint rejected an attempt or a connection.

        An endpoint that recently responded to other attempts has reached its capacity; it has not failed.
        """
        self._outliers.cool_down(record, self._endpoint_limits.record_rejection(record))
        self._automaton.learn_failure(record.endpoint.id, elapsed_ms)
        if self._endpoint_limits.fleet_rejects():
            self._limit.record_latency_ratio(1.0)

    def _record_failure(self, attempt: Attempt, outcome: Outcome, elapsed_ms: float) -> None:
        record, class_index = attempt.record, attempt.class_index
        if outcome in (Outcome.ERROR, Outcome.MALFORMED_RESPONSE):
            self.record_response(record)
        self._automaton.learn_failure(record.endpoint.id, elapsed_ms)
        self._breakers.record_failure(record, class_index)
        if attempt.server_restarted():
            return
        if outcome is Outcome.ERROR and self._breakers.record_error(record, class_index):
            return
        self._outliers.record_failure(record, outcome)

    def _record_timeout(
        self, attempt: Attempt, outcome: Outcome, elapsed_ms: float, request: Request
    ) -> None:
        """Record an attempt that timed out or was cancelled.

        The elapsed time is a lower bound of its latency.  Leaving it out would make the estimated latencies,
        and with them the attempt timeouts, too short.
        """
        self._monitor.latency.observe(elapsed_ms)
        self._monitor.class_latencies[request.class_index].observe(elapsed_ms)
        self._limit.record_latency_ratio(elapsed_ms / request.request_class.latency_objective_ms)
        self._automaton.learn_failure(attempt.record.endpoint.id, elapsed_ms)
        if not attempt.server_restarted() and elapsed_ms >= self._monitor.latency.attempt_timeout():
            self._outliers.record_failure(attempt.record, outcome)
