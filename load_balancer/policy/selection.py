"""Selection: which endpoints an attempt of a request may be drawn from."""

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
    """Which endpoints are skipped.

    Attributes:
        panic_fraction: with more than this part unhealthy, health is ignored, as the cause is not the
            servers.
        share_factor: an endpoint is skipped when its part of the attempts in flight exceeds its share by this
            factor.
        share_allowance: attempts that an endpoint may have beyond that.
        max_waiting: requests that may wait at a server, over all nodes, judged by its average latency.
    """

    panic_fraction: float = 0.5
    share_factor: float = 1.25
    share_allowance: float = 0.5
    max_waiting: float = 4.0


PARAMETERS = SelectionParameters()


def permits(context: NodeContext, request: Request, record: EndpointRecord) -> bool:
    """Whether an attempt of a request may be sent to an endpoint at all, by what its class allows."""
    first = request.first_possible_run()
    if first is None or not record.listed:
        return record.listed
    settings, request_class = context.settings, request.request_class
    if request.in_flight and not settings.hedging_allowed:
        return False
    if request_class.idempotency is not Idempotency.KEYED:
        return request_class.idempotency is Idempotency.IDEMPOTENT
    # The attempt may be written only when a connection is established; the key must still be known then.
    latest = context.now + settings.connect_timeout_ms + settings.tick_ms
    if latest >= first.sent_at + request_class.deduplication_window_ms:
        return False
    scope, endpoint = request_class.deduplication_scope, record.endpoint
    if scope is DeduplicationScope.ZONE:
        return endpoint.zone == first.endpoint.zone
    return scope is DeduplicationScope.ALL or endpoint.cell == first.endpoint.cell


def may_send(context: NodeContext, request: Request, record: EndpointRecord) -> bool:
    """Whether an attempt may be sent now: the last check, independent of all earlier ones."""
    return (
        context.requests.by_id.get(request.id) is request
        and not request.response_started
        and request.deadline - context.now > context.settings.tick_ms
        and len(request.attempts) < context.settings.max_attempts
        and permits(context, request, record)
    )


def permitted_indices(context: NodeContext, request: Request) -> Sequence[int]:
    """The indices of the drawable endpoints that an attempt of this request may be sent to."""
    records = context.endpoints.selectable
    if not request.attempts:
        return range(len(records))
    return [i for i, record in enumerate(records) if permits(context, request, record)]


class EndpointSelector:
    """Draws the endpoint of an attempt by the automaton's vector, from those that may get it."""

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
        # This node's part of the requests that may wait at a server.
        self._max_waiting = max(1.0, PARAMETERS.max_waiting / sharing_node_count(context.settings))

    def draw(self, request: Request, final_attempt: bool) -> EndpointRecord | None:
        """The endpoint of the next attempt, None where none may get it."""
        candidates = self.candidates(request, final_attempt)
        if not candidates:
            return None
        position = self._automaton.draw(candidates, self._context.rng.random())
        return self._context.endpoints.selectable[position]

    def candidates(self, request: Request, final_attempt: bool) -> list[int]:
        """The indices that the draw is conditioned on.

        Health is ignored for a final attempt, and where so many endpoints are unhealthy that the cause must
        be common to all.  Circuit breakers hold in any case: behind an open one the attempt would most likely
        fail, while a rejection is harmless.
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
        """The usable endpoints without an attempt of this request.

        Where there are none it is all usable ones, unless the request has an attempt in flight.
        """
        records = self._context.endpoints.selectable
        tried = {attempt.endpoint.id for attempt in request.attempts}
        untried = [i for i in usable if records[i].endpoint.id not in tried]
        if untried or (request.in_flight and not final_attempt):
            return untried
        return usable

    def _allowed(self, request: Request) -> tuple[list[int], int]:
        """The endpoints that the rules, slow start and circuit breakers allow.

        Returns:
            Their indices, and the number of endpoints that circuit breakers exclude.
        """
        now, records = self._context.now, self._context.endpoints.selectable
        slow_start, class_index = self._slow_start, request.class_index
        capacity_fraction = slow_start.capacity_fraction
        allowed: list[int] = []
        excluded = 0
        warm_rate: float | None = None  # calculated once, and only if a server warms up
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
        """The allowed endpoints that are healthy and within their limits.

        Returns:
            Their indices, and the number of endpoints that are unhealthy.
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
            # By Little's law this part of its attempts waits there. A server that was overloaded for long
            # stays slow for long, and its own average shows that before the mean of all does.
            if average and in_flight * (1.0 - baseline / average) > max_waiting:
                continue
            share = p[i] * mean / average if average and average > mean else p[i]
            if in_flight <= allowance + share_factor * share * total:
                healthy.append(i)
        return healthy, unhealthy

    def _must_avoid_trials(self, request: Request) -> bool:
        """Whether a failed trial would lose the request for good, while other classes can take that risk."""
        classes = self._context.settings.classes
        has_repeatable = any(c.idempotency is not Idempotency.NON_IDEMPOTENT for c in classes)
        return has_repeatable and not request.repeatable()
