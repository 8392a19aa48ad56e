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
        record: the record of the endpoint that it was sent to.
        endpoint: that endpoint's row in the endpoint list when the attempt was sent.
        sent_at: when it was sent.
        work: its work, as a multiple of the mean request's.
        class_index: its request's class.
        outcome: how it ended, None while it is in flight.
    """

    record: EndpointRecord
    endpoint: Endpoint
    sent_at: float
    work: float
    class_index: int
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Whether its server may have executed it."""
        return self.outcome is None or self.outcome not in NOT_EXECUTED

    def server_restarted(self) -> bool:
        """Whether the server has restarted since the attempt was sent."""
        return self.endpoint.started_ms != self.record.endpoint.started_ms


@dataclass(slots=True, eq=False)
class Request:
    """A request that this node has to answer.

    Attributes:
        id: the host's number for it.
        request_class: its class.
        class_index: that class's position in the settings.
        deadline: when its client stops waiting.
        work: its work, as a multiple of the mean request's.
        priority: its priority in the queue.
        sequence: its place in the order of arrival.
        admission_draw: a random number in [0, 1) that settles the fraction of the concurrency limit.
        attempts: its attempts in order.
        in_flight: the number of attempts in flight.
        queued: it waits in the queue.
        queued_until: when its timeout in the queue passes.
        response_started: a streamed response has begun.
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
    response_started: bool = False

    def repeatable(self) -> bool:
        """Whether its class allows a second execution under any condition."""
        return self.request_class.idempotency is not Idempotency.NON_IDEMPOTENT

    def repeatable_anywhere(self) -> bool:
        """Whether a second execution does no harm on any server."""
        if self.request_class.idempotency is Idempotency.KEYED:
            return self.request_class.deduplication_scope is DeduplicationScope.ALL
        return self.request_class.idempotency is Idempotency.IDEMPOTENT

    def first_possible_run(self) -> Attempt | None:
        """The first attempt that a server may have executed."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run()), None)

    def attempts_in_flight(self) -> list[tuple[int, Attempt]]:
        """The attempts that are in flight, each with its number."""
        return [(number, a) for number, a in enumerate(self.attempts) if a.outcome is None]


class RequestTable:
    """The requests that have to be answered, and all attempts in flight.

    Attributes:
        by_id: the requests.
        attempts: the attempts in flight, also those of answered requests.
    """

    def __init__(self) -> None:
        self.by_id: dict[RequestId, Request] = {}
        self.attempts: dict[AttemptKey, Attempt] = {}

    def check_arrival(self, event: RequestArrived, class_count: int) -> None:
        """Raise UnexpectedEventError for a request of an unknown class, or one that has arrived before."""
        if not 0 <= event.class_index < class_count:
            raise UnexpectedEventError(f"request {event.request_id} is of unknown class {event.class_index}")
        if event.request_id in self.by_id:
            raise UnexpectedEventError(f"request {event.request_id} arrived twice")

    def take(self, request_id: RequestId) -> Request | None:
        """Remove and return a request that needs no answer any more; None where it is removed already."""
        return self.by_id.pop(request_id, None)

    def start_attempt(self, request: Request, record: EndpointRecord, now: float) -> None:
        """Record the next attempt of a request."""
        key = (request.id, len(request.attempts))
        attempt = Attempt(record, record.endpoint, now, request.work, request.class_index)
        self.attempts[key] = attempt
        request.attempts.append(attempt)
        request.in_flight += 1
        record.in_flight[key] = now
        record.in_flight_by_class[request.class_index] += 1

    def attempt(self, event: ResponseStarted | AttemptEnded) -> Attempt:
        """The attempt that an event refers to.

        Raises:
            UnexpectedEventError: it is not in flight.
        """
        attempt = self.attempts.get((event.request_id, event.attempt_number))
        if attempt is None:
            raise UnexpectedEventError(
                f"attempt {event.attempt_number} of request {event.request_id} was not out"
            )
        return attempt

    def end_attempt(self, event: AttemptEnded) -> Attempt:
        """Remove and return an attempt that has ended.

        Raises:
            UnexpectedEventError: it is not in flight.
        """
        attempt = self.attempt(event)
        key = (event.request_id, event.attempt_number)
        del self.attempts[key]
        del attempt.record.in_flight[key]
        attempt.record.in_flight_by_class[attempt.class_index] -= 1
        attempt.outcome = event.outcome
        return attempt
