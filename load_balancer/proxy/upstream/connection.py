"""Implements a connection to an endpoint, which carries one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
from enum import Enum, auto
from typing import Protocol, cast

from load_balancer.events import Outcome
from load_balancer.proxy.event_loop.socket_poll import poll_socket
from load_balancer.proxy.http.headers import CONTENT_LENGTH, NOT_RUN
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError, HttpReader
from load_balancer.proxy.upstream.request import UpstreamRequest

log = logging.getLogger(__name__)

_RESPONSE_START = b"HTTP/1."


class ConnectionState(Enum):
    """The state of a connection to an endpoint.

    ==================  ==================  ========================================================
    from                to                  when
    ==================  ==================  ========================================================
    CONNECTING          IDLE                the handshake is complete
    IDLE                IN_FLIGHT           a request is written
    IN_FLIGHT           IDLE                a keep-alive response is complete, without surplus bytes
    IDLE, IN_FLIGHT     CLOSED              the node or the endpoint closes the connection
    ==================  ==================  ========================================================

    A connection that is not CLOSED yet may already be closing: when the endpoint closes a connection, the
    transport knows about the close before it calls ``connection_lost``.
    """

    CONNECTING = auto()
    """The handshake is not complete."""
    IDLE = auto()
    """The connection carries no request."""
    IN_FLIGHT = auto()
    """The connection carries a request whose response is not complete."""
    CLOSED = auto()
    """The connection is closed, or this node is closing it; further input is ignored."""


# Module constants, because Python 3.11 looks up enum members slowly and each request needs them.
_CONNECTING = ConnectionState.CONNECTING
_IDLE = ConnectionState.IDLE
_IN_FLIGHT = ConnectionState.IN_FLIGHT
_CLOSED = ConnectionState.CLOSED


class ConnectionOwner(Protocol):
    """The owner of connections, which registers them and decides which ones are kept between requests."""

    def connection_opened(self, connection: UpstreamConnection, /) -> None:
        """Register a connection that has just been established."""

    def connection_released(self, connection: UpstreamConnection, /) -> None:
        """Take back a connection whose request has ended and which can carry another request."""

    def connection_closed(self, connection: UpstreamConnection, /, *, was_reset: bool) -> None:
        """Remove a closed connection, which the endpoint has reset if ``was_reset`` is True.

        Called before the outcome of a request that was in flight on the connection is reported.
        """


class UpstreamConnection(asyncio.Protocol):
    """A connection to an endpoint, which carries one request at a time.  See ConnectionState.

    Attributes:
        established_at: when the connection was established, in the time of the event loop.
        idle_since: when the owner last kept the connection for later requests, in the time of the event loop;
            0 if the owner has not kept it yet.
    """

    def __init__(self, endpoint_name: str, owner: ConnectionOwner) -> None:
        self.established_at = 0.0
        self.idle_since = 0.0
        self._endpoint_name = endpoint_name
        self._owner = owner
        self._idle_before_request_s = 0.0
        self._state = _CONNECTING
        self._request: UpstreamRequest | None = None  # not None exactly while IN_FLIGHT
        self._response: HttpMessage | None = None  # the complete response, until it is reported
        self._reader = HttpReader(self._on_response, requests=False)
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def in_use(self) -> bool:
        """Whether a request is in flight on the connection."""
        return self._state is _IN_FLIGHT

    @property
    def idle_before_request_s(self) -> float:
        """How long the connection was idle before its latest request was written, in seconds.

        0 if the owner had not kept the connection before that, or if no request has been written yet.
        """
        return self._idle_before_request_s

    def is_open(self) -> bool:
        """Return whether the connection is established and neither side is closing it."""
        return self._transport is not None and not self._transport.is_closing()

    def has_no_unread_input(self) -> bool:
        """Return whether the connection is open, has no unread bytes and was not closed by the endpoint."""
        if not self.is_open():
            return False
        assert self._transport is not None
        return not poll_socket(self._transport.get_extra_info("socket").fileno(), select.POLLIN)

    def send(self, request: UpstreamRequest) -> None:
        """Write the request; from then on, the endpoint may have processed it.

        The connection must be idle.
        """
        assert self._transport is not None
        now = self._loop.time()
        self._idle_before_request_s = now - self.idle_since if self.idle_since else 0.0
        self._state = _IN_FLIGHT
        self._request = request
        request.mark_written(self)
        self._transport.write(request.outbound.render(request.deadline - self._loop.time()))

    def abort(self) -> None:
        """Close the connection at once; ignore further input and report no outcome."""
        self._state = _CLOSED
        self._request = None
        if self._transport is not None:
            self._transport.abort()

    # Callbacks from asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the established connection with its owner."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        self._state = _IDLE
        self.established_at = self._loop.time()
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self._state is not _IN_FLIGHT:
            self.abort()  # unsolicited bytes must not be read as the response to the next request
            return
        try:
            surplus = self._reader.feed_message(data)
            if self._response is not None and not _may_follow(self._response, surplus):
                raise HttpMessageError(502, "the body is longer than Content-Length")
        except HttpMessageError as error:
            log.warning("response_malformed endpoint=%s problem=%s", self._endpoint_name, str(error))
            self._fail(Outcome.MALFORMED_RESPONSE)
            return
        if self._response is not None:
            self._complete(self._response, has_surplus=bool(surplus) or self._reader.has_input_after_stop)

    def eof_received(self) -> bool:
        """Handle an orderly close by the endpoint, which completes a response without a length.

        asyncio does not call this method when the connection is reset.

        Returns:
            False, so that the transport closes the connection.
        """
        if self._state is _IN_FLIGHT:
            self._reader.end_of_input()
            if self._response is not None:
                self._complete(self._response, has_surplus=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner of the close, and end the request in flight, if any.

        The outcome of the request is RESET, because the endpoint may have processed the request.
        """
        was_reset = exc is not None and self._state is not _CLOSED
        self._owner.connection_closed(self, was_reset=was_reset)
        self._fail(Outcome.RESET)
        self._reader.close()

    def _fail(self, outcome: Outcome) -> None:
        """Close the connection, and end the request in flight, if any, with this outcome."""
        request = self._request
        self.abort()
        if request is not None:
            request.end(outcome)

    def _on_response(self, message: HttpMessage) -> None:
        """Store the first complete message as the response.

        The reader calls this method while it is still parsing, so the response is reported only after
        ``feed`` or ``end_of_input`` has returned.
        """
        self._reader.stop()
        self._response = message

    def _complete(self, response: HttpMessage, *, has_surplus: bool) -> None:
        """Report the response, and release the connection or close it.

        Args:
            response: the complete response.
            has_surplus: whether surplus bytes were received after the response.  The connection must then not
                carry another request.
        """
        request, self._request, self._response = self._request, None, None
        if response.keep_alive and self.is_open() and not has_surplus:
            self._state = _IDLE
            self._reader.resume()
            self._acknowledge()
            self._owner.connection_released(self)
        else:
            self.abort()
        if request is not None:
            request.end(_outcome_of(response), response)

    def _acknowledge(self) -> None:
        """Send the TCP acknowledgement of the response at once.

        Otherwise the system delays it by up to 40 ms or sends it with the next request.  A sender without
        TCP_NODELAY holds back a second small write until the first one is acknowledged.  Surplus bytes that
        were held back in this way would arrive just after the next request was sent, and would be read as its
        response.
        """
        assert self._transport is not None
        transport_socket = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            transport_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)


def _may_follow(response: HttpMessage, surplus: bytes) -> bool:
    """Return whether the response may be complete although these bytes were received after it.

    A second response may follow the first one.  Any other surplus may be the rest of a body that is longer
    than its Content-Length, and cannot be distinguished from bytes that do not belong to the response.
    """
    return not surplus or CONTENT_LENGTH not in response.headers or surplus.startswith(_RESPONSE_START)


def _outcome_of(response: HttpMessage) -> Outcome:
    """Return the outcome of a request that received this complete response."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get(NOT_RUN) == b"1":
        return Outcome.REJECTED
    if 400 <= response.status < 500:
        return Outcome.CLIENT_ERROR
    return Outcome.ERROR
