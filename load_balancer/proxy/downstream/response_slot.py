"""Holds the response to a client's request until the response can be sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from load_balancer.proxy.downstream.client_transport import ClientTransport
from load_balancer.proxy.http.rendering import render_response


class SlotConnection(Protocol):
    """The interface of a client connection that its response slots use.

    Attributes:
        transport: the transport of the connection.
    """

    transport: ClientTransport

    def end_after_client_left(self) -> None:
        """End all requests of the connection and close it."""

    def may_close_after(self, slot: ResponseSlot) -> bool:
        """Return whether no request follows the one of this slot, so that the connection may close."""

    def must_close_after(self, slot: ResponseSlot) -> bool:
        """Return whether the connection must close after the response in this slot."""

    def end_input(self) -> None:
        """Accept no further request on the connection."""

    def release_memory(self, slot: ResponseSlot) -> None:
        """Stop counting the request of this slot towards the limit on memory."""

    def flush(self) -> None:
        """Send the available responses in order, up to the first request that has no response yet."""


class ResponseSlot:
    """Holds the response to a request until the responses before it on the connection have been sent.

    Attributes:
        close_after: whether the connection closes after this response.
        arrived_at_s: the earliest monotonic time, in seconds, at which the last byte of the request can have
            arrived.
        abandoned: whether no response can be sent any more, because the client has left or the connection is
            closing.
        reserved_bytes: the memory of the request while it counts towards the limit on memory, else 0.
        status: the status code of the response, or 0 until there is a response.
        output: the complete response in bytes, or None until there is a response.
        on_abandoned: called to end the request when the slot is abandoned before there is a response, or
            when ``fail`` has set the response.
    """

    __slots__ = (
        "_connection",
        "abandoned",
        "arrived_at_s",
        "close_after",
        "on_abandoned",
        "output",
        "reserved_bytes",
        "status",
    )

    def __init__(self, connection: SlotConnection, close_after: bool, arrived_at_s: float = 0.0) -> None:
        self._connection = connection
        self.close_after = close_after
        self.arrived_at_s = arrived_at_s
        self.abandoned = False
        self.reserved_bytes = 0
        self.status = 0
        self.output: bytes | None = None
        self.on_abandoned: Callable[[], None] | None = None

    def client_has_left(self) -> bool:
        """Poll the socket and return whether the client has left.

        The event loop would report this only in a later iteration, and not at all while the connection is not
        read.  If the client has left, this method ends all requests of the connection.
        """
        if not self.abandoned and self._connection.transport.client_has_left():
            self._connection.end_after_client_left()
        return self.abandoned

    def close_if_last(self) -> None:
        """Close the connection after this response, unless a further request on it has arrived."""
        self.close_after = self.close_after or self._connection.may_close_after(self)

    def respond(self, status: int, body: bytes = b"", extra_headers: bytes = b"") -> None:
        """Set the response, which is sent in order, unless the slot is abandoned or already has a response.

        Args:
            status: the status code.
            body: the body.
            extra_headers: further header lines, each ending with CRLF.
        """
        if self.abandoned or self.output is not None:
            return
        self.close_after = self.close_after or self._connection.must_close_after(self)
        if self.close_after:
            self._connection.end_input()
        self._connection.release_memory(self)
        self.status = status
        self.output = render_response(status, body, extra_headers, close=self.close_after)
        self._connection.flush()

    def fail(self, status: int) -> None:
        """Respond with this status code and end the request, unless there already is a response."""
        if self.output is not None:
            return
        on_abandoned = self.on_abandoned
        self.respond(status)
        if on_abandoned is not None:
            on_abandoned()

    def abandon(self) -> None:
        """Mark the slot as abandoned, and end its request if there is no response yet."""
        self.abandoned = True
        self._connection.release_memory(self)
        if self.on_abandoned is not None and self.output is None:
            self.on_abandoned()
