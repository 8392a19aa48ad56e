"""The actions that the policy asks its host to carry out, in order.

Times are in milliseconds on the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from load_balancer.events import EndpointId, RequestId

LogValue = str | int | float | bytes


class FinishReason(Enum):
    """Why a request is answered without having been served; for counters and logs."""

    UNKNOWN = "unknown"
    OVERLOADED = "overloaded"
    """The concurrency limit left no capacity for it until its queue timeout."""

    NO_ENDPOINT = "no_endpoint"
    """No endpoint could be used for it until its queue timeout."""

    CLIENT_ERROR = "client_error"
    """A server found the request itself invalid."""

    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    OUT_OF_TIME = "out_of_time"
    RETRY_BUDGET = "retry_budget"
    NOT_REPEATABLE = "not_repeatable"
    """It may have run, and its class forbids another attempt at every listed endpoint."""


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start the request's next attempt; with a timeout_ms of 0 it may last until the client's deadline."""

    request_id: RequestId
    endpoint_id: EndpointId
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not served, and a retry is harmless; a retry_after_ms of 0 means no Retry-After."""

    request_id: RequestId
    retry_after_ms: float = 0.0
    reason: FinishReason = FinishReason.UNKNOWN


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: not served, and the request may have been executed."""

    request_id: RequestId
    reason: FinishReason = FinishReason.UNKNOWN


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; the attempts of a request are numbered from 0."""

    request_id: RequestId
    attempt_number: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired with this token at or after at_ms; timers cannot be withdrawn."""

    token: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Start a health check of an endpoint; answered by a HealthCheckEnded."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Poll discovery for the endpoint list; answered by an EndpointListUpdate."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A log line: the name of an event, in snake_case, and its fields in order.

    Bytes are endpoint ids, shown as text where they are printable and else in hexadecimal; floats have three
    decimals.
    """

    name: str
    fields: tuple[tuple[str, LogValue], ...] = ()

    def __str__(self) -> str:
        """The event as one line: its name, then key=value pairs."""
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
