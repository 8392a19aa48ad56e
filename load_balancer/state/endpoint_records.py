"""The records that a node keeps of endpoints; times are in milliseconds.

An endpoint's record is composed of one state for each part of the policy that decides on endpoints.  The
docstring of a state names its one writer; every part may read all of them.
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
"""A request's id and the number of one of its attempts, from 0."""


@dataclass(slots=True, eq=False)
class OutlierState:
    """The outlier detector's state for an endpoint, written by ``policy.outliers.OutlierDetector``.

    Attributes:
        failure_rate: a short average of its failures.
        ejected: it is out of service as an outlier.
        on_trial: it was readmitted, and no attempt has succeeded since.
        consecutive_ejections: how often it was ejected without a recovery.
        cooldown_until: until when it is skipped.
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
        failure_rate: a short average of failures that count against the class.
        usual_failure_rate: the same over more answers, malformed ones among them.
        served: the endpoint has served the class since its process started.
        open_until: until when the breaker rejects the class.
        half_open: the breaker was open, and no attempt has succeeded since.
        consecutive_openings: how often the breaker opened without a recovery.
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
        limit: the attempts of this node that it is known to accept, infinite until it has rejected one.
        consecutive_rejections: the attempts that it rejected since it last served one.
    """

    limit: float = math.inf
    consecutive_rejections: int = 0


@dataclass(slots=True, eq=False)
class SlowStartState:
    """The budget of an endpoint that warms up, written by ``policy.slow_start.SlowStart``.

    Attributes:
        tokens: the budget, in requests of mean work.
        updated_at: when the budget was last brought up to date.
    """

    tokens: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """What this node knows of an endpoint.

    Attributes:
        endpoint: its row in the endpoint list; written by EndpointTable.
        breakers: its circuit breakers, by class index.
        in_flight_by_class: the number of this node's attempts there, by class index; written by RequestTable.
        listed: it is in the list and serving; written by EndpointTable.
        in_flight: this node's attempts there and when each was sent, oldest first; written by RequestTable.
        last_response_at: when it last sent any response; written by ``policy.outcomes.OutcomeRecorder``.
        outlier: the outlier detector's state.
        concurrency: its concurrency limit.
        slow_start: its budget while it warms up.
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
        """The record of an endpoint that is new to this node."""
        return cls(endpoint, [CircuitBreakerState() for _ in range(class_count)], [0] * class_count)

    def restart(self, now: float) -> None:
        """Discard what counted against a process that has been replaced by a new one."""
        self.outlier = OutlierState(cooldown_until=self.outlier.cooldown_until)
        self.breakers = [CircuitBreakerState() for _ in self.breakers]
        self.last_response_at = now


class EndpointTable:
    """The records of endpoints.

    Attributes:
        by_id: all that are listed or have attempts in flight.
        drawable: those that are listed, in the order of the probability vector.
    """

    def __init__(self) -> None:
        self.by_id: dict[EndpointId, EndpointRecord] = {}
        self.selectable: list[EndpointRecord] = []

    def apply(self, update: EndpointListUpdate, class_count: int, now: float) -> list[EndpointRecord]:
        """Apply an endpoint list; returns the records of endpoints that are new or have restarted.

        The record of a removed endpoint is dropped once no attempt is in flight there, so that the table does
        not grow with every id that was ever listed.
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
