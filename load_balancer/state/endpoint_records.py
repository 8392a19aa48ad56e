"""The records that a node keeps of endpoints; times are in milliseconds.

The record of an endpoint contains a state object for each component of the policy that decides on endpoints.
The docstring of a state class names the component that writes it; every component may read all states.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from load_balancer.events import (
    Endpoint,
    EndpointId,
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
    RequestId,
)

AttemptKey = tuple[RequestId, int]
"""The id of a request and the number of one of its attempts, counted from 0."""


@dataclass(slots=True, eq=False)
class OutlierState:
    """The outlier detector's state for an endpoint, written by ``policy.outliers.OutlierDetector``.

    Attributes:
        failure_rate: the fraction of failures among the recent attempts at the endpoint.
        ejected: whether the endpoint is ejected as an outlier.
        on_trial: whether the endpoint has been readmitted and no attempt has succeeded since.
        consecutive_ejections: the number of ejections since the last recovery, which determines the length of
            the next pause.  A failed health check limits it, so that the pauses between health checks stay
            short.
        cooldown_until: the time until which the endpoint is skipped.
    """

    failure_rate: float = 0.0
    ejected: bool = False
    on_trial: bool = False
    consecutive_ejections: int = 0
    cooldown_until: float = -math.inf


@dataclass(slots=True, eq=False)
class CircuitBreakerState:
    """An endpoint's circuit breaker for one class, written by ``policy.circuit_breakers.CircuitBreakers``.

    Attributes:
        failure_rate: the fraction of errors among the recent attempts of the class.
        long_term_failure_rate: the fraction of failures of any kind, including malformed responses, among a
            larger number of attempts.
        served: whether the endpoint has served the class since its process started.
        open_until: the time until which the breaker is open.
        half_open: whether the breaker has opened and no attempt has succeeded since.
        consecutive_openings: the number of times that the breaker has opened since the last recovery.
    """

    failure_rate: float = 0.0
    long_term_failure_rate: float = 0.0
    served: bool = False
    open_until: float = -math.inf
    half_open: bool = False
    consecutive_openings: int = 0


@dataclass(slots=True, eq=False)
class ConcurrencyState:
    """The concurrency limit of an endpoint, written by ``policy.endpoint_limits.EndpointLimits``.

    Attributes:
        limit: the number of this node's attempts in flight that the endpoint is expected to accept, infinite
            until the endpoint rejects an attempt.
        consecutive_rejections: the number of attempts that the endpoint has rejected since it last served an
            attempt.
    """

    limit: float = math.inf
    consecutive_rejections: int = 0


@dataclass(slots=True, eq=False)
class SlowStartState:
    """The budget of an endpoint that is warming up, written by ``policy.slow_start.SlowStart``.

    Attributes:
        tokens: the budget, in requests of mean work.
        updated_at: the time when the budget was last updated.
    """

    tokens: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """The state that this node keeps of an endpoint.

    Attributes:
        endpoint: the endpoint's row in the endpoint list, written by EndpointTable.
        breakers: the endpoint's circuit breakers, by class index.
        in_flight_by_class: the number of this node's attempts in flight at the endpoint, by class index,
            written by RequestTable.
        listed: whether the endpoint is in the list and serving, written by EndpointTable.
        in_flight: this node's attempts in flight at the endpoint, each with the time when it was sent, oldest
            first, written by RequestTable.
        last_response_at: the time of the endpoint's last response of any kind, written by
            ``policy.outcomes.OutcomeRecorder``.
        outlier: the outlier detector's state of the endpoint.
        concurrency: the endpoint's concurrency limit.
        slow_start: the endpoint's budget while it is warming up.
    """

    endpoint: Endpoint
    breakers: list[CircuitBreakerState]
    in_flight_by_class: list[int]
    listed: bool = True
    in_flight: dict[AttemptKey, float] = field(default_factory=dict)
    last_response_at: float = -math.inf
    outlier: OutlierState = field(default_factory=OutlierState)
    concurrency: ConcurrencyState = field(default_factory=ConcurrencyState)
    slow_start: SlowStartState = field(default_factory=SlowStartState)

    @classmethod
    def create(cls, endpoint: Endpoint, class_count: int) -> EndpointRecord:
        """Create the record of an endpoint that is new to this node."""
        return cls(endpoint, [CircuitBreakerState() for _ in range(class_count)], [0] * class_count)

    def restart(self, now: float) -> None:
        """Reset the failure state of the endpoint after its server has restarted; the cooldown stays.

        The recorded failures concern the old process, which a new process has replaced.
        """
        self.outlier = OutlierState(cooldown_until=self.outlier.cooldown_until)
        self.breakers = [CircuitBreakerState() for _ in self.breakers]
        self.last_response_at = now


class EndpointTable:
    """The records of endpoints.

    Attributes:
        by_id: the records of all endpoints that are listed or have attempts in flight.
        selectable: the records of the listed endpoints, in the order of the probability vector.
    """

    def __init__(self) -> None:
        self.by_id: dict[EndpointId, EndpointRecord] = {}
        self.selectable: list[EndpointRecord] = []

    def apply(self, update: EndpointListUpdate, class_count: int, now: float) -> list[EndpointRecord]:
        """Apply an endpoint list and return the records of endpoints that are new or have restarted.

        The record of a removed endpoint is dropped at the first update that arrives when no attempt is in
        flight at the endpoint.  Otherwise the table would grow with every id that was ever listed.
        """
        started: list[EndpointRecord] = []
        if update.kind is not EndpointListKind.DELTA:
            self._unlist_absent({endpoint.id for endpoint in update.endpoints})
        for endpoint in update.endpoints:
            record = self.by_id.get(endpoint.id)
            if record is None:
                record = self.by_id[endpoint.id] = EndpointRecord.create(endpoint, class_count)
                started.append(record)
            elif endpoint.started_ms > record.endpoint.started_ms:
                record.restart(now)
                started.append(record)
            record.endpoint = endpoint
            record.listed = endpoint.state is EndpointState.SERVING
        self.by_id = {
            endpoint_id: record
            for endpoint_id, record in self.by_id.items()
            if record.listed or record.in_flight
        }
        return started

    def _unlist_absent(self, present: set[EndpointId]) -> None:
        for endpoint_id, record in self.by_id.items():
            if endpoint_id not in present:
                record.listed = False
