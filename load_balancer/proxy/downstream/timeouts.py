"""The timeouts of a client connection, by the phase that it is in."""

from __future__ import annotations

from typing import Protocol

from load_balancer.proxy.downstream.connection_state import CLOSING, IDLE, RECEIVING, ConnectionPhase
from load_balancer.proxy.observability.counters import CloseReason

REAP_INTERVAL_S = 0.25  # how often the timeouts of all connections are checked

# For a request to arrive completely: the first one of a connection, and a later one.  A client that connects
# usually has a request.  Where none is complete by then the connection is answered or closed, which with
# the check interval and the network's time is within the 3 s that the protocol allows.
FIRST_REQUEST_TIMEOUT_S = 2.25
REQUEST_TIMEOUT_S = 10.0
# For the next piece of a request: a client that stops sending also has to be answered within 3 s.
STALLED_REQUEST_TIMEOUT_S = 2.25

# Between requests.  A connection that brought no request for the endpoints is closed as soon as the protocol
# allows it, as clients keep such connections open for good; one that did bring some saves a handshake.
UNUSED_IDLE_TIMEOUT_S = 2.25
IDLE_TIMEOUT_S = 60.0

RESPONSE_READ_TIMEOUT_S = 10.0  # for a client to read its response


class TimedConnection(Protocol):
    """A connection as its timeouts see it.

    Attributes:
        waiting_since: when it was opened, a response was last written, or a request last began after a
            response (monotonic, seconds).
        last_input_at: when input last came (monotonic, seconds).
        brought_request: it has brought a request for the servers.
        write_paused: the client does not read what it is sent.
    """

    waiting_since: float
    last_input_at: float
    brought_request: bool
    write_paused: bool

    @property
    def phase(self) -> ConnectionPhase:
        """What the connection waits for."""

    def has_unread_input(self) -> bool:
        """Whether input that will be accepted has arrived and is not read yet."""

    def respond_early(self, status: int) -> None:
        """Answer input that is not acceptable, and close."""

    def abort(self, reason: CloseReason) -> None:
        """Close at once."""

    def close(self, reason: CloseReason) -> None:
        """Close when what was written has been sent."""


def enforce_timeouts(connection: TimedConnection, now: float) -> None:
    """End the connection's wait if it has taken too long; to be called every REAP_INTERVAL_S.

    While a response is due there is no timeout here: the request has a deadline of its own.
    """
    phase = connection.phase
    if connection.write_paused or phase is CLOSING:
        if now - connection.waiting_since > RESPONSE_READ_TIMEOUT_S:
            connection.abort(CloseReason.RESPONSE_UNREAD)
    elif phase is RECEIVING:
        if _request_timed_out(connection, now):
            connection.respond_early(408)
    elif phase is IDLE and _idle_timed_out(connection, now):
        connection.close(CloseReason.IDLE if connection.brought_request else CloseReason.UNUSED)


def _request_timed_out(connection: TimedConnection, now: float) -> bool:
    """Whether a request that has begun has taken too long.

    Where the event loop is late the rest of the request may lie unread: it gets one more interval.
    """
    timeout_s = REQUEST_TIMEOUT_S if connection.brought_request else FIRST_REQUEST_TIMEOUT_S
    late_s = now - connection.waiting_since - timeout_s
    if late_s > REAP_INTERVAL_S:
        return True
    stalled = now - connection.last_input_at > STALLED_REQUEST_TIMEOUT_S
    return (late_s > 0.0 or stalled) and not connection.has_unread_input()


def _idle_timed_out(connection: TimedConnection, now: float) -> bool:
    timeout_s = IDLE_TIMEOUT_S if connection.brought_request else UNUSED_IDLE_TIMEOUT_S
    return now - connection.waiting_since > timeout_s and not connection.has_unread_input()
