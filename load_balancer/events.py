"""The events that a host hands to the policy.

Times are in milliseconds on the host's clock, which never goes backwards.  Endpoint ids are opaque bytes and
request ids opaque numbers; the policy hands both back as it got them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = bytes
RequestId = int


class UnexpectedEventError(ValueError):
    """An event that cannot be true: it names a request, attempt or class that never existed."""


class EndpointState(Enum):
    """An endpoint's lifecycle state in the endpoint list."""

    REMOVED = 0
    SERVING = 1
    DRAINING = 2


class EndpointListKind(Enum):
    """How an endpoint list relates to the one before it."""

    FAILED = 0
    """No list: a poll failed or a watch broke."""

    DELTA = 1
    """The endpoints that changed since the last list."""

    CACHED = 2
    """The whole list as it was last known, which may be old."""

    FULL = 3
    """The whole list."""


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    """The server turned the request away without running it."""

    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    """The attempt was given up before it was written to a server."""

    MALFORMED_RESPONSE = "malformed_response"
    """What came back was no response: the request may have run, and little is known of its server."""

    CLIENT_ERROR = "client_error"
    """The server found fault with the request itself: sending it again is of no use."""


NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""The outcomes that prove that an attempt never ran."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A row of the endpoint list.

    Attributes:
        id: the server's identity, the same at all nodes and over its restarts.
        state: its lifecycle state.
        weight: its capacity compared with others, as listed.
        machine_type: its kind of machine, by position in the settings.
        zone: its zone, by position in the settings.
        cell: the group of servers that it shares idempotency keys with.
        started_ms: when its process started; 0 for long ago.
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
    """A change of the endpoint list; an endpoint absent from a whole list is gone."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, which is owed one final answer within budget_ms.

    Attributes:
        request_id: the host's number for it, never used twice.
        class_index: its class, by position in the settings.
        budget_ms: the time left for an answer.
        tenant: its tenant, by position in the settings.
        key: a hash of the item that it is about, 0 for none.
        cost_hint_ms: the client's estimate of its work.
        is_retry: the client says that it sent the request before.
        is_write: the request changes the item.
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
    """A streamed response has begun; the attempt now belongs to the client."""

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt; finished says that the request needs no further answer."""

    request_id: RequestId
    attempt_number: int
    endpoint_id: EndpointId
    outcome: Outcome
    elapsed_ms: float
    finished: bool
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client left, or its time is over; no answer is owed."""

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
    """A timer that SetTimer asked for is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another node of the tier; the policy makes no use of these."""

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
