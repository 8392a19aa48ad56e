"""The transport of a client connection.

It also polls the socket for events that the event loop has not reported yet.
"""

from __future__ import annotations

import asyncio
import select
import typing
from socket import socket

from load_balancer.proxy.event_loop.socket_poll import poll_socket


class ClientTransport:
    """A wrapper of the asyncio transport of one client connection.

    Before the connection is made and after it is lost, the methods that act on the transport do nothing, and
    the methods and properties that query the transport return False or None, except ``client_has_left``.

    Attributes:
        is_attached: whether the connection has been made and not lost.  The connection may be closing.
    """

    __slots__ = ("_transport", "is_attached")

    def __init__(self) -> None:
        self.is_attached = False
        self._transport: asyncio.Transport | None = None

    def attach(self, transport: asyncio.BaseTransport) -> None:
        """Use this transport from now on, because the connection has been made."""
        self.is_attached = True
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = typing.cast(asyncio.Transport, transport)

    def detach(self) -> None:
        """Stop using the transport, because the connection has been lost."""
        self.is_attached = False
        self._transport = None

    # State.

    @property
    def client_socket(self) -> socket | None:
        """The socket of the connection, or None before the connection is made and after it is lost."""
        return None if self._transport is None else self._transport.get_extra_info("socket")

    @property
    def is_open(self) -> bool:
        """Whether the connection has been made and is neither lost nor closing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_reading(self) -> bool:
        """Whether the event loop reads from the connection."""
        return self._transport is not None and self._transport.is_reading()

    def has_unsent_output(self) -> bool:
        """Return whether the transport still buffers output that the operating system has not taken yet."""
        return self.unsent_bytes() > 0

    def unsent_bytes(self) -> int:
        """Return the size of the output that the operating system has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def client_has_left(self) -> bool:
        """Return whether the client cannot get a response any more.

        This is the case if the client has closed its side, even if earlier input is still unread, and if the
        node's side is closing or lost.
        """
        return not self.is_open or self._poll(select.POLLRDHUP)

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that the event loop has not read yet."""
        return self._poll(select.POLLIN)

    def _poll(self, event: int) -> bool:
        if self._transport is None or self._transport.is_closing():
            return False  # A lost or closing connection is not polled: the event loop reports its end.
        return poll_socket(self._transport.get_extra_info("socket").fileno(), event)

    # Reading.

    def pause_reading(self) -> None:
        """Stop reading from the connection; further input stays in the socket buffer."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Start reading from the connection again."""
        if self._transport is not None:
            self._transport.resume_reading()

    # Writing and closing.

    def write(self, data: bytes) -> None:
        """Send the data, and buffer the part that the operating system does not take at once."""
        if self._transport is not None:
            self._transport.write(data)

    def end_output(self) -> None:
        """Close the node's side of the connection once all buffered output has been sent."""
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()

    def abort(self) -> None:
        """Close the connection at once and discard output that has not been sent."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Stop reading, and close the connection once all buffered output has been sent."""
        if self._transport is not None:
            self._transport.close()
