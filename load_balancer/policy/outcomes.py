"""What the outcome of an attempt says of its endpoint, of its class and of the load."""

from dataclasses import dataclass

from load_balancer.events import AttemptEnded, Outcome
from load_balancer.policy.admission import ConcurrencyLimit
from load_balancer.policy.automaton import Automaton
from load_balancer.policy.congestion import CongestionMonitor
from load_balancer.policy.outliers import EJECTED_MAX, USUAL_STEP, CircuitBreakers, OutlierDetector
from load_balancer.policy.slow_start import SlowStart
from load_balancer.state.context import NodeContext
from load_balancer.state.records import Attempt, EndpointRecord, Request

REJECTED_COOLDOWN = 0.02  # an endpoint that rejected cools down for this part of the objective, twice as long
REJECTED_DOUBLINGS = 5  # each time until it answers: one that drains rejects for seconds before the list says
LATE_COOLDOWN = 2.0  # one that gave no other answer during a late attempt cools down this many times as long
ENDPOINT_LIMIT_DOWN = 0.9  # an endpoint that rejected gets fewer at once
ENDPOINT_LIMIT_UP = 0.25  # and this many more for each full round of answers


@dataclass(slots=True)
class OutcomeRecorder:
    """Hands each part what an attempt's outcome says to it."""

    context: NodeContext
    automaton: Automaton
    slow_start: SlowStart
    monitor: CongestionMonitor
    limit: ConcurrencyLimit
    breakers: CircuitBreakers
    outliers: OutlierDetector

    def record(self, attempt: Attempt, event: AttemptEnded, request: Request | None) -> None:
        """Take in an outcome; its request is None where it has had its final answer."""
        record, outcome, elapsed = attempt.record, event.outcome, event.elapsed_ms
        timeout = self.monitor.latency.attempt_timeout()
        since_response = self.context.now - record.last_response_at
        if elapsed > timeout and since_response >= elapsed:
            # All that is known of it is this one late outcome: where requests are few, an average of seven
            # answers spans most of a minute, and what overloaded or stopped the server is still there.
            self.outliers.cool_down(record, LATE_COOLDOWN * elapsed)
        if outcome is Outcome.OK:
            self._record_success(attempt, elapsed, request)
        elif outcome is Outcome.REJECTED or (outcome is Outcome.CONNECT_FAILED and since_response < timeout):
            self._record_rejection(record, elapsed)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.MALFORMED_RESPONSE):
            self._record_failure(attempt, outcome, elapsed)
        elif outcome is Outcome.CLIENT_ERROR:
            record.last_response_at = self.context.now  # the request is at fault, not the server or the load
        elif outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and request is not None:
            # With no request it was cancelled because another attempt was quicker.
            self._record_timeout(attempt, outcome, elapsed, request)

    def _record_success(self, attempt: Attempt, elapsed: float, request: Request | None) -> None:
        record, objective = attempt.record, self.context.objective_ms
        record.last_response_at = self.context.now
        record.consecutive_rejections = 0
        record.concurrency_limit += ENDPOINT_LIMIT_UP / record.concurrency_limit
        self.monitor.latency.observe(elapsed)
        if request is not None:
            self.monitor.class_latencies[request.class_index].observe(elapsed)
            objective = request.request_class.latency_objective_ms
        # Heavy work says little of its server or the load: what the cost hint foretold is half taken out.
        latency = elapsed / (0.5 + 0.5 * attempt.work)
        self.slow_start.record_answer(record, attempt.work)
        self.monitor.record_answer(latency)
        self.limit.record_ratio(elapsed / objective)
        self.automaton.learn(record.endpoint.id, latency)
        self.breakers.record_success(record.classes[attempt.class_index])
        self.outliers.record_success(record)

    def _record_rejection(self, record: EndpointRecord, elapsed: float) -> None:
        """A server that answers others but takes no further request, or connection, is full, not dead.

        Without a limit thousands of requests a second bounced off such servers, at the cost of a handshake
        each, and the ejection of full servers overloaded the rest.
        """
        limit = min(record.concurrency_limit, len(record.in_flight))
        record.concurrency_limit = max(1.0, ENDPOINT_LIMIT_DOWN * limit)
        pause = REJECTED_COOLDOWN * 2.0 ** min(record.consecutive_rejections, REJECTED_DOUBLINGS)
        record.cooldown_until = self.context.now + pause * self.context.objective_ms
        record.consecutive_rejections += 1
        self.automaton.charge(record.endpoint.id, elapsed)
        # The fleet is congested only when more reject than could be left out.  Servers that drain in turn
        # were taken for congestion: the front cut its limit and rejected half for 3 s.
        records = self.context.endpoints.drawable
        if sum(1 for r in records if r.consecutive_rejections) > EJECTED_MAX * len(records):
            self.limit.record_ratio(1.0)

    def _record_failure(self, attempt: Attempt, outcome: Outcome, elapsed: float) -> None:
        record, class_index = attempt.record, attempt.class_index
        if outcome in (Outcome.ERROR, Outcome.MALFORMED_RESPONSE):
            record.last_response_at = self.context.now
        self.automaton.charge(record.endpoint.id, elapsed)
        class_record = record.classes[class_index]
        class_record.usual_failure_rate += USUAL_STEP * (1.0 - class_record.usual_failure_rate)
        error = outcome is Outcome.ERROR
        if not (attempt.process_replaced() or (error and self.breakers.record_error(record, class_index))):
            self.outliers.record_failure(record, outcome)

    def _record_timeout(self, attempt: Attempt, outcome: Outcome, elapsed: float, request: Request) -> None:
        """What was given up took at least this long: without it the timeout of the next would shorten."""
        self.monitor.latency.observe(elapsed)
        self.monitor.class_latencies[request.class_index].observe(elapsed)
        self.limit.record_ratio(elapsed / request.request_class.latency_objective_ms)
        self.automaton.charge(attempt.record.endpoint.id, elapsed)
        if not attempt.process_replaced() and elapsed >= self.monitor.latency.attempt_timeout():
            self.outliers.record_failure(attempt.record, outcome)
