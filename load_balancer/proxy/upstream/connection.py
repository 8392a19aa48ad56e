"""One connection to an endpoint, which carries one request at a time."""

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
from load_balancer.proxy.http.headers import NOT_RUN
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError, HttpReader
from load_balancer.proxy.upstream.request import UpstreamRequest

log = logging.getLogger(__name__)


class ConnectionState(Enum):
    """What a connection is used for.

    ==================  ==================  ===================================================
    from                to                  when
    ==================  ==================  ===================================================
    CONNECTING          IDLE                the handshake is complete
    IDLE                IN_FLIGHT           a request is written
    IN_FLIGHT           IDLE                its response is complete and nothing came behind it
    IDLE, IN_FLIGHT     CLOSED              either side closes
    ==================  ==================  ===================================================

    A connection in another state than CLOSED may be closing already: the transport knows of the close by
    the endpoint before it reports it.
    """

    CONNECTING = auto()
    """The handshake is not complete."""
    IDLE = auto()
    """It carries no request."""
    IN_FLIGHT = auto()
    """It carries a request whose response is not complete."""
    CLOSED = auto()
    """It is closed, or being closed by this node; what still comes is not read."""


# Python 3.11 looks up a member of an enum slowly, and these are used for each request.
_CONNECTING = ConnectionState.CONNECTING
_IDLE = ConnectionState.IDLE
_IN_FLIGHT = ConnectionState.IN_FLIGHT
_CLOSED = ConnectionState.CLOSED


class ConnectionOwner(Protocol):
    """Registers connections and decides which of them are kept between requests."""

    def connection_opened(self, connection: UpstreamConnection, /) -> None:
        """The connection came up."""

    def connection_released(self, connection: UpstreamConnection, /) -> None:
        """The connection has carried a request to its end and can carry another."""

    def connection_closed(self, connection: UpstreamConnection, /) -> None:
        """The connection is closed; called before the outcome of a request on it is reported."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to an endpoint; carries one request at a time.  See ConnectionState.

    Attributes:
        idle_since: since when it has carried no request, in the loop's time; 0 before the first.
    """

    def __init__(self, endpoint_name: str, owner: ConnectionOwner) -> None:
        self.idle_since = 0.0
        self._endpoint_name = endpoint_name
        self._owner = owner
        self._idle_before_request_s = 0.0
        self._state = _CONNECTING
        self._request: UpstreamRequest | None = None  # set exactly while IN_FLIGHT
        self._response: HttpMessage | None = None  # set from its last byte until it is reported
        self._reader = HttpReader(self._on_response, requests=False)
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def in_use(self) -> bool:
        """Whether a request is in flight on it."""
        return self._state is _IN_FLIGHT

    @property
    def idle_before_request_s(self) -> float:
        """How long it had been idle when the present request, or else the last one, was written."""
        return self._idle_before_request_s

    def is_open(self) -> bool:
        """Whether it is up and not being closed by either side."""
        return self._transport is not None and not self._transport.is_closing()

    def has_no_unread_input(self) -> bool:
        """Whether it is open, and neither surplus bytes nor a close by the endpoint are unread."""
        if not self.is_open():
            return False
        assert self._transport is not None
        return not poll_socket(self._transport.get_extra_info("socket").fileno(), select.POLLIN)

    def send(self, request: UpstreamRequest) -> None:
        """Write the request, which may have run from then on.  The connection must be idle."""
        assert self._transport is not None
        now = self._loop.time()
        self._idle_before_request_s = now - self.idle_since if self.idle_since else 0.0
        self._state = _IN_FLIGHT
        self._request = request
        request.mark_written(self)
        self._transport.write(request.outbound.render(request.deadline - self._loop.time()))

    def abort(self) -> None:
        """Close at once; input that still comes is not read, and no outcome is reported."""
        self._state = _CLOSED
        self._request = None
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection came up."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self._state = _IDLE
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Read a piece of the response."""
        if self._state is not _IN_FLIGHT:
            self.abort()  # unsolicited bytes must not be taken for the next request's response
            return
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            log.warning("response_malformed endpoint=%s problem=%s", self._endpoint_name, error)
            self._fail(Outcome.MALFORMED_RESPONSE)
            return
        if self._response is not None:
            self._complete(self._response)

    def eof_received(self) -> bool:
        """The endpoint has closed its side in order, which completes a response without a length.

        The transport then closes this side.  A reset is not reported here.
        """
        if self._state is _IN_FLIGHT:
            self._reader.end_of_input()
            if self._response is not None:
                self._complete(self._response)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed; a request on it may have run."""
        self._owner.connection_closed(self)
        self._fail(Outcome.RESET)

    def _fail(self, outcome: Outcome) -> None:
        """Close, and end the request in flight if there is one."""
        request = self._request
        self.abort()
        if request is not None:
            request.end(outcome)

    def _on_response(self, message: HttpMessage) -> None:
        """Take the first complete message as the response; the reader is still inside the same input."""
        self._reader.stop()
        self._response = message

    def _complete(self, response: HttpMessage) -> None:
        """Report the response.

        A connection on which more came than the response must not carry another request.
        """
        request, self._request, self._response = self._request, None, None
        if response.keep_alive and self.is_open() and not self._reader.surplus:
            self._state = _IDLE
            self._reader.resume()
            self._acknowledge()
            self._owner.connection_released(self)
        else:
            self.abort()
        if request is not None:
            request.end(_outcome_of(response), response)

    def _acknowledge(self) -> None:
        """Acknowledge the response at once, rather than up to 40 ms later or with the next request.

        A sender without TCP_NODELAY holds back a second small write until the acknowledgement: surplus would
        arrive right behind the next request and be taken for its response.
        """
        assert self._transport is not None
        transport_socket = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            transport_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)


def _outcome_of(response: HttpMessage) -> Outcome:
    """The outcome that a complete response stands for."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get(NOT_RUN) == b"1":
        return Outcome.REJECTED
    if 400 <= response.status < 500:
        return Outcome.CLIENT_ERROR
    return Outcome.ERROR
