"""The events that a host passes to the policy.

The host is the program around the policy, for example a node.  Times are in milliseconds on the host's
clock, which never goes backwards.  Endpoint ids are opaque bytes and request ids are opaque numbers; the
policy returns both unchanged in its actions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = bytes
RequestId = int


class UnexpectedEventError(ValueError):
    """An event contradicts earlier events or the settings, which is a fault of the host.

    The event refers to an attempt that is not in flight or to an unknown class, or it reports the arrival of
    a request that has arrived before and is not answered yet.
    """


class EndpointState(Enum):
    """An endpoint's lifecycle state in the endpoint list."""

    REMOVED = 0
    SERVING = 1
    DRAINING = 2


class EndpointListKind(Enum):
    """The relation of an endpoint list to the previous list."""

    FAILED = 0
    """There is no list, because a poll failed or a watch was interrupted."""

    DELTA = 1
    """The list contains only the endpoints that have changed since the last list."""

    CACHED = 2
    """The list is the last cached complete list, which may be out of date."""

    FULL = 3
    """The list is complete."""


class Outcome(Enum):
    """The result of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    """The server rejected the request without executing it."""

    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    """The attempt was abandoned before any part of it was written to a server."""

    MALFORMED_RESPONSE = "malformed_response"
    """The response was not valid, although the request may have been executed.

    A malformed response says little about the health of its server.
    """

    CLIENT_ERROR = "client_error"
    """The server found the request itself invalid, so a retry would fail in the same way."""


NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""The outcomes that prove that no server executed the attempt."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A row of the endpoint list.

    Attributes:
        id: the identifier of the server, which is the same at all nodes and after a restart.
        state: the lifecycle state of the server.
        weight: the listed capacity of the server, relative to other endpoints.
        machine_type: the machine type of the server, by position in the settings.
        zone: the zone of the server, by position in the settings.
        cell: the group of servers that share the idempotency keys they have seen.
        started_ms: the time when the server's process last started, 0 if it started long ago.
    """

    id: EndpointId
    state: EndpointState = EndpointState.SERVING
    weight: float = 1.0
    machine_type: int = 0
    zone: int = 0
    cell: int = 0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list or a part of it, or the failure to obtain it, depending on the kind.

    An endpoint that is absent from a complete list has been removed.
    """

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """The arrival of a client's request, which must get one final answer within budget_ms.

    Attributes:
        request_id: the number by which the host identifies the request; it is never used twice.
        class_index: the class of the request, by position in the settings.
        budget_ms: the time left until the request's deadline.
        tenant: the tenant of the request, by position in the settings.
        key: a hash of the item that the request reads or changes, 0 if there is no such item.
        cost_hint_ms: the client's estimate of the request's work, None if there is no estimate.
        is_retry: whether the client marked the request as a retry of an earlier request.
        is_write: whether the request changes the item.
    """

    request_id: RequestId
    class_index: int
    budget_ms: float
    tenant: int = 0
    key: int = 0
    cost_hint_ms: float | None = None
    is_retry: bool = False
    is_write: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The start of a streamed response; from then on its attempt and its request have no time limit."""

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt, which is reported once for each attempt.

    Attributes:
        request_id: the request of the attempt.
        attempt_number: the number of the attempt among the attempts of the request, counted from 0.
        endpoint_id: the endpoint that the attempt was sent to.
        outcome: the outcome of the attempt.
        elapsed_ms: the time since the attempt was sent.
        finished: whether the request had already ended, for example by this response, so that the policy must
            not answer it.
        load_report: the values of the load report in the response, if it had one, in the order of the
            load_report_fields of the settings.
    """

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    outcome: Outcome
    elapsed_ms: float
    finished: bool
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The end of a request whose client disconnected or whose deadline passed; it needs no final answer."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The end of a health check, with its outcome."""

    endpoint_id: EndpointId
    outcome: Outcome
    elapsed_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The expiry of a timer that a SetTimer action with this token requested."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A gossip message from another node of the tier; the policy ignores it."""

    sender: int
    body: bytes


Event = (
    EndpointListUpdate
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | RequestAbandoned
    | HealthCheckEnded
    | TimerFired
    | PeerMessage
)
