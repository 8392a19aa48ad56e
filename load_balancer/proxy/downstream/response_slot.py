"""The slot of the one response to a client's request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from load_balancer.proxy.downstream.client_transport import ClientTransport
from load_balancer.proxy.http.rendering import render_response


class SlotConnection(Protocol):
    """What a response slot needs of the connection that its request came on.

    Attributes:
        transport: the connection's transport.
    """

    transport: ClientTransport

    def end_after_client_left(self) -> None:
        """End all requests of the connection and close it."""

    def must_close_after(self, slot: ResponseSlot) -> bool:
        """Whether the connection has to close after the response in this slot."""

    def release_body(self, slot: ResponseSlot) -> None:
        """Count the body of a finished request no longer against the limit."""

    def flush(self) -> None:
        """Send the responses that are due."""


class ResponseSlot:
    """Holds the one response to a request until the responses before it on the connection have been sent.

    Attributes:
        close_after: the connection closes after this response.
        arrived_at_s: the earliest monotonic time at which the request's last byte can have arrived.
        abandoned: the client left before it was answered.
        body_bytes: the size of the request's body while the request is open.
        status: the status of the response, 0 until it is known.
        output: the response as it goes onto the wire, None until it is known.
        on_abandoned: called when the client leaves before it was answered.
    """

    __slots__ = (
        "_connection",
        "abandoned",
        "arrived_at_s",
        "body_bytes",
        "close_after",
        "on_abandoned",
        "output",
        "status",
    )

    def __init__(self, connection: SlotConnection, close_after: bool, arrived_at_s: float = 0.0) -> None:
        self._connection = connection
        self.close_after = close_after
        self.arrived_at_s = arrived_at_s
        self.abandoned = False
        self.body_bytes = 0
        self.status = 0
        self.output: bytes | None = None
        self.on_abandoned: Callable[[], None] | None = None

    def client_has_left(self) -> bool:
        """Whether the client has left by now, as seen on the socket.

        The event loop reports this in a later iteration, and not at all while the connection is not read.
        If the client has left, all requests of the connection end.
        """
        if not self.abandoned and self._connection.transport.client_has_left():
            self._connection.end_after_client_left()
        return self.abandoned

    def respond(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Send the response, unless the client has left or has had its response.

        Args:
            status: the status code.
            body: the content.
            extra: complete header lines, each with its line end.
        """
        if self.abandoned or self.output is not None:
            return
        self.close_after = self.close_after or self._connection.must_close_after(self)
        self._connection.release_body(self)
        self.status = status
        self.output = render_response(status, body, extra, close=self.close_after)
        self._connection.flush()

    def fail(self, status: int) -> None:
        """Send this status if there is no response yet, and end the request."""
        if self.output is not None:
            return
        on_abandoned = self.on_abandoned
        self.respond(status)
        if on_abandoned is not None:
            on_abandoned()

    def abandon(self) -> None:
        """The client has left: nobody waits for the response."""
        self.abandoned = True
        self._connection.release_body(self)
        if self.on_abandoned is not None and self.output is None:
            self.on_abandoned()
