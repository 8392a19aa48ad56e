"""Circuit breakers, which exclude an endpoint from one class of requests when such requests fail there."""

import math
from typing import NamedTuple

from load_balancer.policy.failure_detection import FAILURES, PAUSES, can_exclude, draw_pause_ms
from load_balancer.settings import Idempotency
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import CircuitBreakerState, EndpointRecord


class CircuitBreakerParameters(NamedTuple):
    """The conditions under which a circuit breaker opens, in addition to FailureParameters.

    Attributes:
        long_term_smoothing_factor: the smoothing factor of the long-term failure rate, which spans about
            twenty responses of an endpoint.
        max_run_probability: a run of consecutive failures opens a closed breaker only if the probability of
            such a run, calculated from the peers' long-term failure rate, is at most this value.
        max_open_fraction: the fraction of the endpoints whose breakers may be open for one class.  These
            endpoints still serve the other classes, so no capacity is lost.
    """

    long_term_smoothing_factor: float = 0.05
    max_run_probability: float = 0.001
    max_open_fraction: float = 0.5


BREAKERS = CircuitBreakerParameters()


def admits_class(record: EndpointRecord, class_index: int, now: float) -> bool:
    """Return whether an endpoint's circuit breaker admits an attempt of a class.

    A closed breaker admits every attempt, a half-open breaker one at a time, as a trial, and an open breaker
    none.
    """
    breaker = record.breakers[class_index]
    if now < breaker.open_until:
        return False
    return not (breaker.half_open and record.in_flight_by_class[class_index])


class PeerFailures(NamedTuple):
    """The failures of one class at the peers of an endpoint, which are all other listed endpoints.

    Attributes:
        rate: the mean failure rate of the peers, in which peers that do not admit the class count with a rate
            of 0; 1 if there are no peers.
        long_term_rate: the mean long-term failure rate of the peers that admit the class.
        excluded: the number of peers that do not admit the class.
        endpoint_count: the number of all listed endpoints, including the endpoint itself.
    """

    rate: float
    long_term_rate: float
    excluded: int
    endpoint_count: int

    def allow_opening(self, failure_rate: float) -> bool:
        """Return whether the breaker of an endpoint with this failure rate may open.

        The endpoint must fail more often than its peers, and the number of excluded endpoints must stay below
        its maximum.  An error may also be caused by an inner tier, which the peers depend on as well.
        Therefore, the more often the peers fail over the long term, the longer a run of errors must be to
        open a breaker.
        """
        return (
            failure_rate >= max(FAILURES.min_rate, _rate_of_improbable_run(self.long_term_rate))
            and failure_rate >= FAILURES.min_peer_multiple * self.rate
            and can_exclude(self.excluded, self.endpoint_count, BREAKERS.max_open_fraction)
        )


class CircuitBreakers:
    """The circuit breakers of each class at each endpoint.

    Only this class and ``EndpointRecord.restart`` change their states.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def record_success(self, record: EndpointRecord, class_index: int) -> None:
        """Record a served attempt, which closes a half-open breaker."""
        breaker = record.breakers[class_index]
        breaker.served = True
        breaker.half_open = False
        breaker.failure_rate -= FAILURES.smoothing_factor * breaker.failure_rate
        breaker.long_term_failure_rate -= BREAKERS.long_term_smoothing_factor * breaker.long_term_failure_rate
        if breaker.failure_rate < FAILURES.recovered_rate:
            breaker.consecutive_openings = 0

    def record_failure(self, record: EndpointRecord, class_index: int) -> None:
        """Count a failure of any kind in the long-term failure rate; this never opens a breaker."""
        breaker = record.breakers[class_index]
        breaker.long_term_failure_rate += BREAKERS.long_term_smoothing_factor * (
            1.0 - breaker.long_term_failure_rate
        )

    def record_error(self, record: EndpointRecord, class_index: int) -> bool:
        """Count an error response, which may open the breaker.

        Errors of one class exclude the endpoint from that class alone.  If they ejected the endpoint, it
        would be readmitted after a trial with another class, and requests of the failing class would fail
        again after each readmission.

        Returns:
            Whether the error counts against the class alone.  False means that the endpoint serves no other
            class well, so that the error counts against the endpoint as a whole.
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
        # A failed trial of a non-idempotent class loses a request, so these trials are always far apart.
        non_idempotent = request_class.idempotency is Idempotency.NON_IDEMPOTENT
        doublings = PAUSES.max_doublings if non_idempotent else breaker.consecutive_openings
        pause_ms = draw_pause_ms(self._context, doublings)
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
    """Return the failure rate that a run of consecutive failures reaches when it is too long to be chance.

    A run is too long if its probability, calculated from this long-term failure rate, is at most
    max_run_probability.
    """
    if long_term_rate <= 0.0:
        return 0.0
    run_length = math.log(BREAKERS.max_run_probability) / math.log(long_term_rate)
    return 1.0 - math.pow(1.0 - FAILURES.smoothing_factor, run_length)
