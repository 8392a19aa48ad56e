"""The records that a node keeps of requests and their attempts; times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer.events import (
    NOT_EXECUTED,
    AttemptEnded,
    Endpoint,
    Outcome,
    RequestArrived,
    RequestId,
    ResponseStarted,
    UnexpectedEventError,
)
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass
from load_balancer.state.endpoint_records import AttemptKey, EndpointRecord


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        record: the record of the endpoint that the attempt was sent to.
        endpoint: that endpoint's row in the endpoint list at the time when the attempt was sent.
        sent_at: the time when the attempt was sent.
        work: the work of the request, as a multiple of the mean request's work.
        class_index: the position of the request's class in the settings.
        outcome: the outcome of the attempt, None while it is in flight.
    """

    record: EndpointRecord
    endpoint: Endpoint
    sent_at: float
    work: float
    class_index: int
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Return whether the server may have executed the attempt."""
        return self.outcome is None or self.outcome not in NOT_EXECUTED

    def server_restarted(self) -> bool:
        """Return whether the server has restarted since the attempt was sent."""
        return self.endpoint.started_ms != self.record.endpoint.started_ms


@dataclass(slots=True, eq=False)
class Request:
    """A request that this node has to answer.

    Attributes:
        id: the number by which the host identifies the request.
        request_class: the class of the request.
        class_index: the position of this class in the settings.
        deadline: the time when the client stops waiting.
        work: the work of the request, as a multiple of the mean request's work.
        priority: the priority of the request in the queue; a larger value is served earlier.
        sequence: the number of the request, which grows in the order of arrival.
        admission_draw: a random number in [0, 1) that decides whether the fractional part of the concurrency
            limit admits the request.
        attempts: the attempts of the request, in the order in which they were sent.
        in_flight: the number of attempts in flight.
        queued: whether the request is in the queue.
        queued_until: the time when the request's queue timeout passes.
        queue_entry: the number of the request's latest entry in the queue.
        response_started: whether a streamed response has begun.
    """

    id: RequestId
    request_class: RequestClass
    class_index: int
    deadline: float
    work: float
    priority: float
    sequence: int
    admission_draw: float
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    queued: bool = False
    queued_until: float = 0.0
    queue_entry: int = 0
    response_started: bool = False

    def repeatable(self) -> bool:
        """Return whether the request's class allows a second execution, at least under some conditions."""
        return self.request_class.idempotency is not Idempotency.NON_IDEMPOTENT

    def repeatable_anywhere(self) -> bool:
        """Return whether a second execution is harmless regardless of the server on which it happens."""
        if self.request_class.idempotency is Idempotency.KEYED:
            return self.request_class.deduplication_scope is DeduplicationScope.ALL
        return self.request_class.idempotency is Idempotency.IDEMPOTENT

    def first_possible_run(self) -> Attempt | None:
        """Return the first attempt that a server may have executed, or None."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run()), None)

    def attempts_in_flight(self) -> list[tuple[int, Attempt]]:
        """Return the attempts in flight, each with its number."""
        return [(number, a) for number, a in enumerate(self.attempts) if a.outcome is None]


class RequestTable:
    """The requests that have to be answered, and all attempts in flight.

    Attributes:
        by_id: the requests that have to be answered.
        attempts: the attempts in flight, including the attempts of requests that have been answered.
    """

    def __init__(self) -> None:
        self.by_id: dict[RequestId, Request] = {}
        self.attempts: dict[AttemptKey, Attempt] = {}

    def check_arrival(self, event: RequestArrived, class_count: int) -> None:
        """Check that an arriving request has a known class and a new id.

        Raises:
            UnexpectedEventError: the class is unknown, or the id belongs to a request that has arrived before
                and is not answered yet.
        """
        if not 0 <= event.class_index < class_count:
            raise UnexpectedEventError(f"request {event.request_id} is of unknown class {event.class_index}")
        if event.request_id in self.by_id:
            raise UnexpectedEventError(f"request {event.request_id} arrived twice")

    def take(self, request_id: RequestId) -> Request | None:
        """Remove and return a request that needs no further answer; None if it is already removed."""
        return self.by_id.pop(request_id, None)

    def start_attempt(self, request: Request, record: EndpointRecord, now: float) -> None:
        """Record that the next attempt of a request is sent to an endpoint."""
        key = (request.id, len(request.attempts))
        attempt = Attempt(record, record.endpoint, now, request.work, request.class_index)
        self.attempts[key] = attempt
        request.attempts.append(attempt)
        request.in_flight += 1
        record.in_flight[key] = now
        record.in_flight_by_class[request.class_index] += 1

    def attempt(self, event: ResponseStarted | AttemptEnded) -> Attempt:
        """Return the attempt that an event refers to.

        Raises:
            UnexpectedEventError: the attempt is not in flight.
        """
        attempt = self.attempts.get((event.request_id, event.attempt_number))
        if attempt is None:
            raise UnexpectedEventError(
                f"attempt {event.attempt_number} of request {event.request_id} is not in flight"
            )
        return attempt

    def end_attempt(self, event: AttemptEnded) -> Attempt:
        """Remove and return an attempt that has ended.

        Raises:
            UnexpectedEventError: the attempt is not in flight.
        """
        attempt = self.attempt(event)
        key = (event.request_id, event.attempt_number)
        del self.attempts[key]
        del attempt.record.in_flight[key]
        attempt.record.in_flight_by_class[attempt.class_index] -= 1
        attempt.outcome = event.outcome
        return attempt
