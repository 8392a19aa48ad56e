"""Selection: which endpoints an attempt of a request may be drawn from."""

from collections.abc import Sequence
from dataclasses import dataclass

from load_balancer.policy.admission import sharing_nodes
from load_balancer.policy.automaton import Automaton
from load_balancer.policy.circuit_breakers import admits_class
from load_balancer.policy.congestion import CongestionMonitor
from load_balancer.policy.outliers import is_silent
from load_balancer.policy.slow_start import SlowStart
from load_balancer.policy.subset import EndpointSubset
from load_balancer.settings import DeduplicationScope, Idempotency
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord
from load_balancer.state.records import Request

PANIC_THRESHOLD = 0.5  # with more than this part unhealthy, health is ignored: the cause is not the servers
SHARE_TIMES = 1.25  # a node's attempts at one endpoint may exceed its share of all in flight by this factor
SHARE_PLUS = 0.5  # and this many before it is skipped
WAITING_MAX = 4.0  # requests that may wait at a server, over all nodes, by its average against the baseline


def permits(context: NodeContext, request: Request, record: EndpointRecord) -> bool:
    """Whether an attempt of a request may go to an endpoint at all, by what its class allows."""
    first = request.first_possible_run()
    if first is None or not record.listed:
        return record.listed
    settings, request_class = context.settings, request.request_class
    if request.in_flight and not settings.hedging_allowed:
        return False
    if request_class.idempotency is not Idempotency.KEYED:
        return request_class.idempotency is Idempotency.IDEMPOTENT
    # What is sent now may be written as late as a connection may be established: the key must be known then.
    latest = context.now + settings.connect_timeout_ms + settings.tick_ms
    if latest >= first.sent_at + request_class.deduplication_window_ms:
        return False
    scope, endpoint = request_class.deduplication_scope, record.endpoint
    if scope is DeduplicationScope.ZONE:
        return endpoint.zone == first.endpoint.zone
    return scope is DeduplicationScope.ALL or endpoint.cell == first.endpoint.cell


def may_send(context: NodeContext, request: Request, record: EndpointRecord) -> bool:
    """Whether an attempt may be sent now: the last check, whatever has been asked before."""
    return (
        context.requests.by_id.get(request.id) is request
        and not request.response_started
        and request.deadline - context.now > context.settings.tick_ms
        and len(request.attempts) < context.settings.max_attempts
        and permits(context, request, record)
    )


def permitted(context: NodeContext, request: Request) -> Sequence[int]:
    """The indices of the drawable endpoints that an attempt of this request may go to."""
    records = context.endpoints.drawable
    if not request.attempts:
        return range(len(records))
    return [i for i, record in enumerate(records) if permits(context, request, record)]


@dataclass(slots=True)
class EndpointSelector:
    """Draws the endpoint of an attempt by the automaton's vector, from those that may get it."""

    context: NodeContext
    automaton: Automaton
    subset: EndpointSubset
    slow_start: SlowStart
    monitor: CongestionMonitor

    def draw(self, request: Request, final_attempt: bool) -> EndpointRecord | None:
        """The endpoint of the next attempt, None where none may get it."""
        candidates = self.candidates(request, final_attempt)
        if not candidates:
            return None
        position = self.automaton.draw(candidates, self.context.rng.random())
        return self.context.endpoints.drawable[position]

    def candidates(self, request: Request, final_attempt: bool) -> list[int]:
        """The indices that the draw is conditioned on.

        Where the cause must lie in what all servers share, or for a final attempt, health is no guide.  The
        circuit breakers hold also then: the attempt would most likely fail, where a rejection is harmless.
        """
        allowed, kept_out = self._allowed(request)
        usable = allowed
        if not final_attempt:
            usable, unhealthy = self._healthy(allowed, request)
            if kept_out + unhealthy > PANIC_THRESHOLD * len(self.context.endpoints.drawable):
                usable = allowed
        if request.attempts:
            records = self.context.endpoints.drawable
            tried = {attempt.endpoint.id for attempt in request.attempts}
            untried = [i for i in usable if records[i].endpoint.id not in tried]
            if untried or (request.in_flight and not final_attempt):
                usable = untried
        return self.subset.prefer_local(usable)

    def _allowed(self, request: Request) -> tuple[list[int], int]:
        """What the repeat rules, slow start and circuit breakers allow, and how many the last keep out."""
        now, records = self.context.now, self.context.endpoints.drawable
        slow_start, class_index = self.slow_start, request.class_index
        allowed: list[int] = []
        kept_out = 0
        flow: float | None = None  # counted once, and only if a server warms up
        least_rate = 0.0
        for i in permitted(self.context, request):
            record = records[i]
            fraction = slow_start.capacity_fraction(record)
            if fraction < 1.0:
                if flow is None:
                    flow, least_rate = slow_start.flow_per_warm_server(), slow_start.least_rate()
                if not slow_start.admits(record, fraction, request.work, flow, least_rate):
                    continue
            if admits_class(record, class_index, now):
                allowed.append(i)
            else:
                kept_out += 1
        return allowed, kept_out

    def _healthy(self, allowed: list[int], request: Request) -> tuple[list[int], int]:
        """Of the allowed those that are healthy and within their limits, and how many are unhealthy."""
        now, records = self.context.now, self.context.endpoints.drawable
        p, averages = self.automaton.p, self.automaton.average
        mean = self.automaton.mean() or 0.0
        total = len(self.context.requests.attempts)
        timeout, baseline = self.monitor.latency.attempt_timeout(), self.monitor.baseline_latency
        waiting_max = max(1.0, WAITING_MAX / sharing_nodes(self.context.settings))
        healthy: list[int] = []
        unhealthy = 0
        for i in allowed:
            record = records[i]
            in_flight = len(record.in_flight)
            outlier = record.outlier
            if outlier.ejected or (in_flight and is_silent(record, timeout, now)):
                unhealthy += 1
                continue
            if outlier.on_trial and (in_flight or self._keep_from_trials(request)):
                continue
            if outlier.cooldown_until > now or in_flight + 1 > record.concurrency.limit:
                continue
            average = averages[i]
            # By Little's law this part of its attempts waits there; a server overloaded for long stays slow
            # for long, and its own average shows that before the mean of all does.
            if average and in_flight * (1.0 - baseline / average) > waiting_max:
                continue
            share = p[i] * mean / average if average and average > mean else p[i]
            if in_flight <= SHARE_PLUS + SHARE_TIMES * share * total:
                healthy.append(i)
        return healthy, unhealthy

    def _keep_from_trials(self, request: Request) -> bool:
        """Whether a request would be lost for good if a trial fails, and others can take the risk."""
        classes = self.context.settings.classes
        has_repeatable = any(c.idempotency is not Idempotency.NON_IDEMPOTENT for c in classes)
        return has_repeatable and not request.repeatable()
