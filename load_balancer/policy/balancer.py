"""The balancer of one node, which passes each event to the components of the policy that handle it.

No other module sends attempts or answers requests.  A two-time-scale learning automaton normally chooses the
endpoint of an attempt; docs/design.md lists the exceptions.  The policy reads neither a clock nor a global
random source: the time comes with each event, and the random numbers come from a seed.
"""

from load_balancer import events
from load_balancer.actions import Action, CancelAttempt, CloseIdleConnections, FinishReason, SendAttempt
from load_balancer.estimation.averages import RelativeSize
from load_balancer.policy import admission
from load_balancer.policy.automaton import Automaton
from load_balancer.policy.circuit_breakers import CircuitBreakers
from load_balancer.policy.concurrency_limit import ConcurrencyLimit
from load_balancer.policy.congestion import CongestionMonitor
from load_balancer.policy.endpoint_limits import EndpointLimits
from load_balancer.policy.endpoints import EndpointListPoller, update_endpoints
from load_balancer.policy.outcomes import OutcomeRecorder
from load_balancer.policy.outliers import OutlierDetector
from load_balancer.policy.retries import RetryPolicy
from load_balancer.policy.selection import EndpointSelector, may_send
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.subset import EndpointSubset
from load_balancer.settings import RequestClass, Settings
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord
from load_balancer.state.request_queue import RequestQueue
from load_balancer.state.request_records import Request
from load_balancer.state.timer_queue import TimerKind

WORK_SMOOTHING_FACTOR = 0.02
"""The smoothing factor of the mean cost hint, which spans about fifty requests."""

QUEUE_SCAN_LIMIT = 3
"""The maximum number of queued requests without a usable endpoint that are skipped in one pass."""


class Balancer:
    """The policy of one node, which turns events into actions; only events change its state."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.context = context = NodeContext(settings, seed)
        self.automaton = automaton = Automaton(settings.node_count)
        self.congestion = monitor = CongestionMonitor(context)
        self.slow_start = slow_start = SlowStart(context)
        self.subset = EndpointSubset(context)
        self.poller = EndpointListPoller(context)
        self.breakers = CircuitBreakers(context)
        self.outliers = OutlierDetector(context, self.subset)
        self.endpoint_limits = EndpointLimits(context)
        self.concurrency = ConcurrencyLimit(context, slow_start, monitor)
        self.selector = EndpointSelector(context, automaton, self.subset, slow_start, monitor)
        self.retries = RetryPolicy(context, monitor)
        self.outcomes = OutcomeRecorder(
            context,
            automaton,
            slow_start,
            monitor,
            self.concurrency,
            self.breakers,
            self.outliers,
            self.endpoint_limits,
        )
        self.queue = RequestQueue(context, admission.QUEUE.check_interval_objectives * context.objective_ms)
        self._relative_work = RelativeSize(WORK_SMOOTHING_FACTOR)
        self._quotas = admission.TenantQuotas(settings)

    def handle(self, event: events.Event, now: float) -> list[Action]:
        """Handle one event and return the resulting actions, in the order in which to carry them out.

        Args:
            event: the event.
            now: the time of the event in milliseconds, on the host's clock.

        Raises:
            UnexpectedEventError: the event refers to an attempt that is not in flight or to an unknown class,
                or it reports the arrival of a request that has arrived before and is not answered yet.
        """
        self.context.begin_event(now)
        match event:
            case events.AttemptEnded():
                self._on_attempt_ended(event)
            case events.RequestArrived():
                self._on_request_arrived(event)
            case events.TimerFired():
                self._on_timer(event)
            case events.EndpointListUpdate():
                self._on_endpoint_list(event)
            case events.RequestAbandoned():
                self._on_request_abandoned(event)
            case events.HealthCheckEnded():
                self.outliers.on_health_check(event)
            case events.ResponseStarted():
                self._on_response_started(event)
            case events.PeerMessage():
                pass
        self._dispatch_queued()
        return self.context.end_event()

    def _on_endpoint_list(self, event: events.EndpointListUpdate) -> None:
        self.poller.on_list(event.kind)
        if event.kind is not events.EndpointListKind.FAILED:
            update_endpoints(self.context, self.automaton, self.slow_start, event)
            self.subset.update()
            self.concurrency.on_endpoint_list()

    def _on_request_arrived(self, event: events.RequestArrived) -> None:
        context, settings = self.context, self.settings
        context.requests.check_arrival(event, len(settings.classes))
        request_class = settings.classes[event.class_index]
        work = self._relative_work.observe(event.cost_hint_ms)
        request = context.requests.by_id[event.request_id] = Request(
            id=event.request_id,
            request_class=request_class,
            class_index=event.class_index,
            deadline=context.now + event.budget_ms,
            work=work,
            priority=self._priority(request_class, event.tenant, work),
            sequence=next(context.sequence),
            admission_draw=context.rng.random(),
        )
        self.retries.record_arrival()
        self.queue.add(request, admission.arrival_timeout_ms(request, event.budget_ms, settings))

    def _priority(self, request_class: RequestClass, tenant: int, work: float) -> float:
        """Count a request against its tenant's quota and return its priority in the queue."""
        priority = request_class.priority_weight
        if not self.settings.value_grows_with_work:
            priority /= work
        if not self._quotas.admits(tenant, self.context.now):
            priority *= self.settings.over_quota_weight
        return priority

    def _on_response_started(self, event: events.ResponseStarted) -> None:
        self.outcomes.record_response(self.context.requests.attempt(event).record)
        request = self.context.requests.by_id.get(event.request_id)
        if request is not None:
            request.response_started = True
            self.queue.remove(request)
            self._cancel_attempts(request, event.attempt_number)

    def _on_attempt_ended(self, event: events.AttemptEnded) -> None:
        requests = self.context.requests
        attempt = requests.end_attempt(event)
        request = requests.by_id.get(event.request_id)
        self.outcomes.record(attempt, event, request)
        if request is None:
            return
        request.in_flight -= 1
        if event.finished:
            del requests.by_id[request.id]
            self.queue.remove(request)
            self._cancel_attempts(request, event.attempt_number)
        elif not request.in_flight and not request.queued:
            self._retry_or_finish(request, event.outcome)

    def _retry_or_finish(self, request: Request, outcome: events.Outcome) -> None:
        denial_reason = self.retries.take_retry(request, outcome)
        if denial_reason is None:
            left_ms = request.deadline - self.context.now
            self.queue.add(request, admission.retry_timeout_ms(request, left_ms))
        else:
            self._finish(request, denial_reason)

    def _on_request_abandoned(self, event: events.RequestAbandoned) -> None:
        request = self.context.requests.take(event.request_id)
        if request is not None:  # None if the request was answered before the event arrived
            self.queue.remove(request)
            self._cancel_attempts(request)

    def _on_timer(self, event: events.TimerFired) -> None:
        for timer in self.context.timers.due(self.context.now, event.token):
            match timer.kind:
                case TimerKind.LATE_ATTEMPT:
                    self._on_late_attempt(timer.request_id)
                case TimerKind.QUEUE_CHECK:
                    self._expire_queued()
                case TimerKind.ENDPOINT_LIST_POLL:
                    self.poller.on_timer()
                case TimerKind.READMISSION:
                    self.outliers.on_readmission_timer(timer.endpoint_id)

    def _on_late_attempt(self, request_id: events.RequestId) -> None:
        """Hedge a request whose attempt is late, cancel the attempt, or schedule another check.

        The attempt is cancelled if the settings do not allow hedging.
        """
        request = self.context.requests.by_id.get(request_id)
        if request is None or not request.in_flight or request.queued or request.response_started:
            return
        if self.retries.may_hedge(request):
            if not self.settings.hedging_allowed:
                self._cancel_attempts(request)
                return
            if self._dispatch(request, final_attempt=False):
                self.retries.take_token()
                return
        self.retries.schedule_late_check(request)

    def _dispatch_queued(self) -> None:
        """Send attempts for queued requests, in the order of their priority."""
        queue, skipped = self.queue, 0
        while skipped < len(queue) and skipped < QUEUE_SCAN_LIMIT:
            request = queue[skipped]
            if not self.concurrency.admits(request):
                # The limit may admit the admission draw of a request of lower priority, but that request must
                # not be sent before this one.
                break
            if not self._dispatch(request, final_attempt=False):
                skipped += 1
        queue.schedule_check()

    def _expire_queued(self) -> None:
        """Send a final attempt for each request whose queue timeout has passed, or finish the request.

        The health and the limits of endpoints are ignored for a final attempt, but the concurrency limit of
        the node applies.
        """
        for request in self.queue.expired():
            if not self.concurrency.admits(request):
                self._finish(request, FinishReason.OVERLOADED)
            elif not self._dispatch(request, final_attempt=True):
                self._finish(request, FinishReason.NO_ENDPOINT)

    def _dispatch(self, request: Request, *, final_attempt: bool) -> bool:
        """Send the request's next attempt if an endpoint is available, and return whether it was sent."""
        record = self.selector.draw(request, final_attempt)
        return record is not None and self._send(request, record)

    def _send(self, request: Request, record: EndpointRecord) -> bool:
        """Send an attempt if ``may_send`` allows it, and return whether it was sent.

        Every attempt is sent here.  The caller must have checked that slow start admits the attempt.
        """
        context = self.context
        if not may_send(context, request, record):
            return False
        self.queue.remove(request)
        context.requests.start_attempt(request, record, context.now)
        self.slow_start.record_send(record, request.work)
        self.congestion.record_send()
        self.retries.schedule_late_check(request)
        if self.retries.needs_new_connection(request, record):
            context.actions.append(CloseIdleConnections(record.endpoint.id))
        context.actions.append(SendAttempt(request.id, record.endpoint.id))
        return True

    def _finish(self, request: Request, reason: FinishReason) -> None:
        """Answer a request that is not served; every such answer is given here."""
        if self.context.requests.take(request.id) is None:
            return
        self.queue.remove(request)
        self.context.actions.append(self.retries.final_answer(request, reason))
        self._cancel_attempts(request)

    def _cancel_attempts(self, request: Request, keep: int | None = None) -> None:
        """Cancel the request's attempts in flight, whose responses are no longer needed.

        Args:
            request: the request.
            keep: the number of an attempt that is not cancelled; None to cancel all.
        """
        if self.settings.cancel_allowed and request.in_flight:
            for number, _ in request.attempts_in_flight():
                if number != keep:
                    self.context.actions.append(CancelAttempt(request.id, number))
