"""The actions that the policy asks its host to carry out, in the order in which it returns them.

The host is the program around the policy, for example a node.  Times are in milliseconds on the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from load_balancer.events import EndpointId, RequestId

LogValue = str | int | float | bytes


class FinishReason(Enum):
    """The reason why a request is answered without having been served, for counters and logs."""

    UNKNOWN = "unknown"
    OVERLOADED = "overloaded"
    """The concurrency limit left no capacity for the request until its queue timeout."""

    NO_ENDPOINT = "no_endpoint"
    """No endpoint was available for the request until its queue timeout."""

    CLIENT_ERROR = "client_error"
    """A server found the request itself invalid."""

    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    OUT_OF_TIME = "out_of_time"
    RETRY_BUDGET = "retry_budget"
    NOT_REPEATABLE = "not_repeatable"
    """The request may have been executed, and its class forbids another attempt at any listed endpoint."""


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start the request's next attempt.

    If timeout_ms is 0, the attempt may last until the client's deadline.
    """

    request_id: RequestId
    endpoint_id: EndpointId
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Give the final answer to a request that is not served and that the client may safely retry.

    If retry_after_ms is 0, the answer has no Retry-After.
    """

    request_id: RequestId
    retry_after_ms: float = 0.0
    reason: FinishReason = FinishReason.UNKNOWN


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Give the final answer to a request that is not served but may have been executed."""

    request_id: RequestId
    reason: FinishReason = FinishReason.UNKNOWN


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; the attempts of a request are numbered from 0."""

    request_id: RequestId
    attempt_number: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event with this token at or after at_ms; a timer cannot be withdrawn."""

    token: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Start a health check of an endpoint, which ends with a HealthCheckEnded event."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Poll discovery for the endpoint list, which results in an EndpointListUpdate event."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log line, which consists of the name of an event in snake_case and its fields in order.

    Fields of type bytes are endpoint ids, which are written as text if they are printable ASCII and
    otherwise in hexadecimal.  Floats are written with three decimals.
    """

    name: str
    fields: tuple[tuple[str, LogValue], ...] = ()

    def __str__(self) -> str:
        """Return the event as one line: its name, followed by key=value pairs."""
        return " ".join([self.name, *(f"{key}={_log_text(value)}" for key, value in self.fields)])


def _log_text(value: LogValue) -> str:
    if isinstance(value, bytes):
        text = value.decode("ascii", "replace")
        return text if text.isascii() and text.isprintable() and text else value.hex()
    return f"{value:.3f}" if isinstance(value, float) else str(value)


Action = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | PollEndpointList
    | LogEvent
)
