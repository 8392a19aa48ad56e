"""Selection of the endpoint for an attempt, including the rules on which endpoints are permitted."""

from collections.abc import Sequence
from typing import NamedTuple

from load_balancer.policy.admission import sharing_node_count
from load_balancer.policy.automaton import Automaton
from load_balancer.policy.circuit_breakers import admits_class
from load_balancer.policy.congestion import CongestionMonitor
from load_balancer.policy.outliers import is_unresponsive
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.subset import EndpointSubset
from load_balancer.settings import DeduplicationScope, Idempotency
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord
from load_balancer.state.request_records import Request


class SelectionParameters(NamedTuple):
    """The conditions under which endpoints are skipped.

    Attributes:
        panic_fraction: if more than this fraction of the endpoints is unhealthy, health is ignored, because
            the cause is then probably not the servers.
        share_factor: the maximum of an endpoint's fraction of the attempts in flight, as a multiple of its
            share of the probability vector.
        share_allowance: the number of attempts in flight that an endpoint may have beyond this maximum.
        max_waiting: the maximum number of requests that wait at a server, from all nodes, as estimated from
            its average latency.
    """

    panic_fraction: float = 0.5
    share_factor: float = 1.25
    share_allowance: float = 0.5
    max_waiting: float = 4.0


PARAMETERS = SelectionParameters()


def permits_attempt(context: NodeContext, request: Request, record: EndpointRecord) -> bool:
    """Return whether the endpoint is listed and the request's class allows an attempt there.

    Every listed endpoint is allowed until an attempt of the request may have been executed.  From then on,
    the class must allow a second execution at this endpoint.  While an attempt is in flight, the settings
    must also allow hedging.
    """
    first = request.first_possible_run()
    if first is None or not record.listed:
        return record.listed
    settings, request_class = context.settings, request.request_class
    if request.in_flight and not settings.hedging_allowed:
        return False
    if request_class.idempotency is not Idempotency.KEYED:
        return request_class.idempotency is Idempotency.IDEMPOTENT
    # The attempt is written only after a connection is established, and at that time the servers must still
    # remember the idempotency key.
    latest = context.now + settings.connect_timeout_ms + settings.tick_ms
    if latest >= first.sent_at + request_class.deduplication_window_ms:
        return False
    scope, endpoint = request_class.deduplication_scope, record.endpoint
    if scope is DeduplicationScope.ZONE:
        return endpoint.zone == first.endpoint.zone
    return scope is DeduplicationScope.ALL or endpoint.cell == first.endpoint.cell


def may_send(context: NodeContext, request: Request, record: EndpointRecord) -> bool:
    """Return whether an attempt may be sent now.

    This is the last check before an attempt is sent, and it does not rely on any earlier check.
    """
    return (
        context.requests.by_id.get(request.id) is request
        and not request.response_started
        and request.deadline - context.now > context.settings.tick_ms
        and len(request.attempts) < context.settings.max_attempts
        and permits_attempt(context, request, record)
    )


def permitted_indices(context: NodeContext, request: Request) -> Sequence[int]:
    """Return the indices of the selectable endpoints that an attempt of this request may be sent to."""
    records = context.endpoints.selectable
    if not request.attempts:
        return range(len(records))
    return [i for i, record in enumerate(records) if permits_attempt(context, request, record)]


class EndpointSelector:
    """Draws the endpoint of an attempt from the permitted endpoints, with the automaton's probabilities."""

    def __init__(
        self,
        context: NodeContext,
        automaton: Automaton,
        subset: EndpointSubset,
        slow_start: SlowStart,
        monitor: CongestionMonitor,
    ) -> None:
        self._context = context
        self._automaton = automaton
        self._subset = subset
        self._slow_start = slow_start
        self._monitor = monitor
        # The number of this node's requests that may wait at a server.
        self._max_waiting = max(1.0, PARAMETERS.max_waiting / sharing_node_count(context.settings))

    def draw(self, request: Request, final_attempt: bool) -> EndpointRecord | None:
        """Return the endpoint of the request's next attempt, or None if no endpoint is available."""
        candidates = self.candidates(request, final_attempt)
        if not candidates:
            return None
        position = self._automaton.draw(candidates, self._context.rng.random())
        return self._context.endpoints.selectable[position]

    def candidates(self, request: Request, final_attempt: bool) -> list[int]:
        """Return the indices of the endpoints from which the next attempt's endpoint is drawn.

        A final attempt is the last try to send a request after its queue timeout.  The health and the limits
        of endpoints are ignored for a final attempt, and if so many endpoints are unhealthy that the cause
        must be common to all.  Circuit breakers always apply: behind an open circuit breaker the attempt
        would most likely fail, while a rejection of the request is harmless.
        """
        allowed, excluded = self._allowed(request)
        usable = allowed
        if not final_attempt:
            usable, unhealthy = self._healthy(allowed, request)
            if excluded + unhealthy > PARAMETERS.panic_fraction * len(self._context.endpoints.selectable):
                usable = allowed
        if request.attempts:
            usable = self._prefer_untried(usable, request, final_attempt)
        return self._subset.prefer_local(usable)

    def _prefer_untried(self, usable: list[int], request: Request, final_attempt: bool) -> list[int]:
        """Return the usable endpoints that have had no attempt of this request.

        If there are none, return all usable endpoints for a final attempt or a request without attempts in
        flight, and no endpoint otherwise.
        """
        records = self._context.endpoints.selectable
        tried = {attempt.endpoint.id for attempt in request.attempts}
        untried = [i for i in usable if records[i].endpoint.id not in tried]
        if untried or (request.in_flight and not final_attempt):
            return untried
        return usable

    def _allowed(self, request: Request) -> tuple[list[int], int]:
        """Find the endpoints that ``permits_attempt``, slow start and circuit breakers allow.

        Returns:
            The indices of these endpoints, and the number of endpoints that circuit breakers exclude.
        """
        now, records = self._context.now, self._context.endpoints.selectable
        slow_start, class_index = self._slow_start, request.class_index
        capacity_fraction = slow_start.capacity_fraction
        allowed: list[int] = []
        excluded = 0
        warm_rate: float | None = None  # calculated once, and only if a server is warming up
        min_rate = 0.0
        for i in permitted_indices(self._context, request):
            record = records[i]
            fraction = capacity_fraction(record)
            if fraction < 1.0:
                if warm_rate is None:
                    warm_rate, min_rate = slow_start.rate_per_warm_server(), slow_start.min_rate()
                if not slow_start.admits(record, fraction, request.work, warm_rate, min_rate):
                    continue
            if admits_class(record, class_index, now):
                allowed.append(i)
            else:
                excluded += 1
        return allowed, excluded

    def _healthy(self, allowed: list[int], request: Request) -> tuple[list[int], int]:
        """Find the allowed endpoints that are healthy and within their limits.

        Returns:
            The indices of these endpoints, and the number of endpoints that are unhealthy.
        """
        now, records = self._context.now, self._context.endpoints.selectable
        p, averages = self._automaton.p, self._automaton.latency_averages
        mean = self._automaton.mean() or 0.0
        timeout, baseline = self._monitor.latency.attempt_timeout(), self._monitor.baseline_latency
        max_waiting = self._max_waiting
        share_factor, allowance = PARAMETERS.share_factor, PARAMETERS.share_allowance
        total = len(self._context.requests.attempts)
        healthy: list[int] = []
        unhealthy = 0
        for i in allowed:
            record = records[i]
            outlier, in_flight = record.outlier, len(record.in_flight)
            if outlier.ejected or (in_flight and is_unresponsive(record, timeout, now)):
                unhealthy += 1
                continue
            if outlier.on_trial and (in_flight or self._must_avoid_trials(request)):
                continue
            if outlier.cooldown_until > now or in_flight + 1 > record.concurrency.limit:
                continue
            average = averages[i]
            # By Little's law, the fraction 1 - baseline / average of the attempts waits at the server.  A
            # server that has been overloaded for long stays slow for long, and its own average shows this
            # before the mean of all averages does.
            if average and in_flight * (1.0 - baseline / average) > max_waiting:
                continue
            share = p[i] * mean / average if average and average > mean else p[i]
            if in_flight <= allowance + share_factor * share * total:
                healthy.append(i)
        return healthy, unhealthy

    def _must_avoid_trials(self, request: Request) -> bool:
        """Return whether the request must not be used for the trial of a readmitted endpoint.

        This is the case if the request cannot be repeated after a failed trial, while requests of another
        class can be.
        """
        classes = self._context.settings.classes
        has_repeatable = any(c.idempotency is not Idempotency.NON_IDEMPOTENT for c in classes)
        return has_repeatable and not request.repeatable()
