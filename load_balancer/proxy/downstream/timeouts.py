"""The timeouts of a client connection, which depend on its phase."""

from __future__ import annotations

from typing import Protocol

from load_balancer.proxy.downstream.connection_state import CLOSING, IDLE, RECEIVING, ConnectionPhase
from load_balancer.proxy.observability.counters import CloseReason

TIMEOUT_CHECK_INTERVAL_S = 0.25  # the interval at which the timeouts of all connections are checked

# The time in which a request must be complete.  FIRST_REQUEST_TIMEOUT_S applies until a connection has sent a
# valid request under /api, and REQUEST_TIMEOUT_S applies afterwards.  A client that connects usually has a
# request.  If no request is complete in time, the node answers or closes the connection.  The sum of
# FIRST_REQUEST_TIMEOUT_S, the check interval and the network delay is less than the 3 s that the protocol
# allows.
FIRST_REQUEST_TIMEOUT_S = 2.25
REQUEST_TIMEOUT_S = 10.0
# The time in which the next piece of an incomplete request must arrive.  The protocol also requires an
# answer within 3 s to a client that stops sending.
STALLED_REQUEST_TIMEOUT_S = 2.25

# The timeouts of a connection between requests.  A connection that has sent no valid request under /api is
# closed as soon as the protocol allows, because clients keep such connections open indefinitely.  Other
# connections stay open longer, which saves the handshake of a new connection.
UNUSED_IDLE_TIMEOUT_S = 2.25
IDLE_TIMEOUT_S = 60.0

RESPONSE_READ_TIMEOUT_S = 10.0  # the time in which a client must read a response


class TimedConnection(Protocol):
    """The interface of a connection that the timeouts use.

    Attributes:
        waiting_since: the start of the current wait (monotonic, seconds).  This is the time at which the
            connection was opened, the last response was written, or, once the connection has sent a
            response, the first input of the next request was read, whichever is latest.
        last_input_at: when input was last read (monotonic, seconds).
        received_api_request: whether a valid request under /api has been read from the connection.
        write_paused: whether writing is paused because the client does not read the output fast enough.
    """

    waiting_since: float
    last_input_at: float
    received_api_request: bool
    write_paused: bool

    @property
    def phase(self) -> ConnectionPhase:
        """What the connection is waiting for."""

    def has_unread_input(self) -> bool:
        """Return whether unread input has arrived while the connection still accepts requests."""

    def respond_with_error(self, status: int) -> None:
        """Send an error response to invalid input or to an overdue request, and close the connection."""

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and discard output that has not been sent."""

    def close(self, reason: CloseReason) -> None:
        """Close the connection once all written output has been sent."""


def enforce_timeouts(connection: TimedConnection, now: float) -> None:
    """Close the connection, or answer its incomplete request, if the timeout of its phase has expired.

    The caller must call this function every TIMEOUT_CHECK_INTERVAL_S.  While a response is due, no timeout of
    the connection applies, except that the client must read its earlier responses.  The request has its own
    deadline.

    Args:
        connection: the connection to check.
        now: the monotonic time in seconds.
    """
    phase = connection.phase
    if connection.write_paused or phase is CLOSING:
        if now - connection.waiting_since > RESPONSE_READ_TIMEOUT_S:
            connection.abort(CloseReason.RESPONSE_UNREAD)
    elif phase is RECEIVING:
        if _request_timed_out(connection, now):
            connection.respond_with_error(408)
    elif phase is IDLE and _idle_timed_out(connection, now):
        connection.close(CloseReason.IDLE if connection.received_api_request else CloseReason.UNUSED)


def _request_timed_out(connection: TimedConnection, now: float) -> bool:
    """Return whether a request that has been read in part has taken too long.

    If the event loop is late, the rest of the request may have arrived but be unread.  In this case the
    request gets one more TIMEOUT_CHECK_INTERVAL_S.
    """
    timeout_s = REQUEST_TIMEOUT_S if connection.received_api_request else FIRST_REQUEST_TIMEOUT_S
    late_s = now - connection.waiting_since - timeout_s
    if late_s > TIMEOUT_CHECK_INTERVAL_S:
        return True
    stalled = now - connection.last_input_at > STALLED_REQUEST_TIMEOUT_S
    return (late_s > 0.0 or stalled) and not connection.has_unread_input()


def _idle_timed_out(connection: TimedConnection, now: float) -> bool:
    timeout_s = IDLE_TIMEOUT_S if connection.received_api_request else UNUSED_IDLE_TIMEOUT_S
    return now - connection.waiting_since > timeout_s and not connection.has_unread_input()
