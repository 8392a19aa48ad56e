"""Circuit breakers: an endpoint that fails one class of requests is excluded for that class alone."""

import math
from typing import NamedTuple

from load_balancer.policy.failure_detection import FAILURES, PAUSES, can_exclude, draw_pause_ms
from load_balancer.settings import Idempotency
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import CircuitBreakerState, EndpointRecord


class CircuitBreakerParameters(NamedTuple):
    """When a circuit breaker opens, beside FailureParameters.

    Attributes:
        usual_smoothing_factor: of the usual failure rate, which spans about twenty responses of an endpoint.
        max_run_probability: a run of failures that the peers' usual rate makes more likely opens no breaker.
        max_open_fraction: the part of the fleet whose breakers may be open for one class; these endpoints
            serve the other classes, so no capacity is lost.
    """

    long_term_smoothing_factor: float = 0.05
    max_run_probability: float = 0.001
    max_open_fraction: float = 0.5


BREAKERS = CircuitBreakerParameters()


def admits_class(record: EndpointRecord, class_index: int, now: float) -> bool:
    """Whether a class is let through: while its breaker is closed, or for one trial while it is half-open."""
    breaker = record.breakers[class_index]
    if now < breaker.open_until:
        return False
    return not (breaker.half_open and record.in_flight_by_class[class_index])


class PeerFailures(NamedTuple):
    """How the other endpoints do with one class.

    Attributes:
        rate: their failure rate; those that do not admit the class count as without failures.
        usual_rate: the usual failure rate of those that admit the class.
        excluded: the number of those that do not admit it.
        endpoint_count: the number of all endpoints, the one in question included.
    """

    rate: float
    long_term_rate: float
    excluded: int
    endpoint_count: int

    def allow_opening(self, failure_rate: float) -> bool:
        """Whether an endpoint with this failure rate fails where its peers do not, and can be excluded.

        An error may come from a tier further in.  Where peers fail now and then it takes a longer run of
        errors.
        """
        return (
            failure_rate >= max(FAILURES.min_rate, _rate_of_improbable_run(self.long_term_rate))
            and failure_rate >= FAILURES.min_peer_multiple * self.rate
            and can_exclude(self.excluded, self.endpoint_count, BREAKERS.max_open_fraction)
        )


class CircuitBreakers:
    """The circuit breakers of each class at each endpoint; the only writer of their states."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def record_success(self, record: EndpointRecord, class_index: int) -> None:
        """A served attempt closes the breaker."""
        breaker = record.breakers[class_index]
        breaker.served = True
        breaker.half_open = False
        breaker.failure_rate -= FAILURES.smoothing_factor * breaker.failure_rate
        breaker.long_term_failure_rate -= BREAKERS.long_term_smoothing_factor * breaker.long_term_failure_rate
        if breaker.failure_rate < FAILURES.recovered_rate:
            breaker.consecutive_openings = 0

    def record_failure(self, record: EndpointRecord, class_index: int) -> None:
        """Count a failure of any kind in the usual rate, which opens no breaker."""
        breaker = record.breakers[class_index]
        breaker.long_term_failure_rate += BREAKERS.long_term_smoothing_factor * (
            1.0 - breaker.long_term_failure_rate
        )

    def record_error(self, record: EndpointRecord, class_index: int) -> bool:
        """Count an error response, which may open the breaker.

        Errors of one class count against that class alone: an endpoint that is ejected for them comes back
        after a trial with another class, and the failing class pays for each return.

        Returns:
            Whether it counts against the class alone; False where the endpoint serves no other class well.
        """
        breaker = record.breakers[class_index]
        if self._context.now < breaker.open_until:
            return True  # the attempt was sent before the breaker opened
        breaker.failure_rate += FAILURES.smoothing_factor * (1.0 - breaker.failure_rate)
        if not _serves_another_class(record, breaker):
            return False
        peers = self._peer_failures(record, class_index)
        if breaker.half_open or peers.allow_opening(breaker.failure_rate):
            self._open(record, class_index, peers.rate)
        return True

    def _peer_failures(self, record: EndpointRecord, class_index: int) -> PeerFailures:
        now = self._context.now
        peers = [r for r in self._context.endpoints.selectable if r is not record]
        admitting = [r.breakers[class_index] for r in peers if admits_class(r, class_index, now)]
        return PeerFailures(
            rate=sum(b.failure_rate for b in admitting) / len(peers) if peers else 1.0,
            long_term_rate=sum(b.long_term_failure_rate for b in admitting) / len(admitting)
            if admitting
            else 0.0,
            excluded=len(peers) - len(admitting),
            endpoint_count=len(self._context.endpoints.selectable),
        )

    def _open(self, record: EndpointRecord, class_index: int, peer_rate: float) -> None:
        breaker, request_class = record.breakers[class_index], self._context.settings.classes[class_index]
        # A failed trial of a class that may not be repeated loses a request: trials are always far apart.
        non_idempotent = request_class.idempotency is Idempotency.NON_IDEMPOTENT
        repetitions = PAUSES.max_doublings if non_idempotent else breaker.consecutive_openings
        pause_ms = draw_pause_ms(self._context, repetitions)
        self._context.log(
            "circuit_breaker_opened",
            endpoint=record.endpoint.id,
            class_=request_class.name,
            pause_ms=round(pause_ms),
            failure_rate=breaker.failure_rate,
            peer_failure_rate=peer_rate,
        )
        breaker.open_until = self._context.now + pause_ms
        breaker.half_open = True
        breaker.failure_rate = FAILURES.smoothing_factor
        breaker.consecutive_openings += 1


def _serves_another_class(record: EndpointRecord, breaker: CircuitBreakerState) -> bool:
    others = (other for other in record.breakers if other is not breaker)
    return any(other.served and other.failure_rate < FAILURES.smoothing_factor for other in others)


def _rate_of_improbable_run(long_term_rate: float) -> float:
    """The failure rate after a run of failures that this usual rate makes too unlikely for chance."""
    if long_term_rate <= 0.0:
        return 0.0
    run_length = math.log(BREAKERS.max_run_probability) / math.log(long_term_rate)
    return 1.0 - math.pow(1.0 - FAILURES.smoothing_factor, run_length)
