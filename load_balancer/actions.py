"""The actions that the policy asks its host to carry out, in order.

Times are in milliseconds on the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.events import EndpointId, RequestId

LogValue = str | int | float | bytes


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start the request's next attempt; a timeout_ms of 0 waits until the client gives up."""

    request_id: RequestId
    endpoint_id: EndpointId
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not served, and trying again is harmless; retry_after_ms 0 says nothing of when."""

    request_id: RequestId
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: not served, and the request may have run."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; attempts are numbered from 0 for each request."""

    request_id: RequestId
    attempt_number: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired with this token at or after at_ms."""

    token: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask an endpoint for its health; answered by a HealthCheckEnded."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Ask discovery for the endpoint list; answered by an EndpointListUpdate."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event for the operators' log: its name and its fields in order.

    Bytes are endpoint ids and are shown as text where they are printable; fractions have three decimals.
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
