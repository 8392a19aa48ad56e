"""The events that a host hands to the policy.

Times are in milliseconds on the host's clock, which never goes backwards.  Endpoint ids are opaque bytes and
request ids opaque numbers; the policy returns both unchanged in its actions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = bytes
RequestId = int


class UnexpectedEventError(ValueError):
    """An event names a request, attempt or class that never existed, which is a fault of the host."""


class EndpointState(Enum):
    """An endpoint's lifecycle state in the endpoint list."""

    REMOVED = 0
    SERVING = 1
    DRAINING = 2


class EndpointListKind(Enum):
    """How an endpoint list relates to the one before it."""

    FAILED = 0
    """There is no list, as a poll failed or a watch broke."""

    DELTA = 1
    """The endpoints that changed since the last list."""

    CACHED = 2
    """The complete list as it was last cached, which may be stale."""

    FULL = 3
    """The complete list."""


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    """The server rejected the request without executing it."""

    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    """The attempt was abandoned before any of it was written to a server."""

    MALFORMED_RESPONSE = "malformed_response"
    """The response was not valid: the request may have run, and it says little of its server."""

    CLIENT_ERROR = "client_error"
    """The server found the request itself invalid, so that a retry would fail in the same way."""


NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""The outcomes that prove that an attempt was never executed."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A row of the endpoint list.

    Attributes:
        id: the server's identity, the same at all nodes and over its restarts.
        state: its lifecycle state.
        weight: its capacity relative to other endpoints, as listed.
        machine_type: its kind of machine, by position in the settings.
        zone: its zone, by position in the settings.
        cell: the group of servers with which it shares the idempotency keys it has seen.
        started_ms: when its process last started, 0 if that was long ago.
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
    """A change of the endpoint list; an endpoint absent from a complete list has been removed."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, which must get one final answer within budget_ms.

    Attributes:
        request_id: the host's number for it, which is never used twice.
        class_index: its class, by position in the settings.
        budget_ms: the time left until its deadline.
        tenant: its tenant, by position in the settings.
        key: a hash of the item that it concerns, 0 for none.
        cost_hint_ms: the client's estimate of its work.
        is_retry: the client marked it as a retry of an earlier request.
        is_write: it changes the item.
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
    """A streamed response has begun: from now on its attempt has no timeout and the request no deadline."""

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt; ``finished`` says that the request needs no further answer."""

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    outcome: Outcome
    elapsed_ms: float
    finished: bool
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client disconnected, or its deadline passed; no final answer is required any more."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    endpoint_id: EndpointId
    outcome: Outcome
    elapsed_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that SetTimer requested is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A gossip message from another node of the tier, which the policy ignores."""

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
