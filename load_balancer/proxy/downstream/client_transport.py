"""The transport of a client connection, and what its socket shows ahead of the event loop."""

from __future__ import annotations

import asyncio
import select
import typing
from socket import socket

from load_balancer.proxy.event_loop.socket_poll import poll_socket


class ClientTransport:
    """The transport of one connection; it does nothing before the connection is made and after it is lost.

    Attributes:
        is_attached: the connection is made and not lost; it may be closing.
    """

    __slots__ = ("_transport", "is_attached")

    def __init__(self) -> None:
        self.is_attached = False
        self._transport: asyncio.Transport | None = None

    def attach(self, transport: asyncio.BaseTransport) -> None:
        """The connection is made."""
        self.is_attached = True
        self._transport = typing.cast(asyncio.Transport, transport)  # uvloop's are no subclass

    def detach(self) -> None:
        """The connection is lost."""
        self.is_attached = False
        self._transport = None

    # State.

    @property
    def client_socket(self) -> socket | None:
        """The connection's socket; None while there is no connection."""
        return None if self._transport is None else self._transport.get_extra_info("socket")

    @property
    def is_open(self) -> bool:
        """Whether the connection is made and neither lost nor closing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_reading(self) -> bool:
        """Whether the event loop reads from it."""
        return self._transport is not None and self._transport.is_reading()

    def has_unsent_output(self) -> bool:
        """Whether something that was written has not been passed to the network yet."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def client_has_left(self) -> bool:
        """Whether the client has closed its side, even if input from before that is still unread."""
        return self._poll(select.POLLRDHUP)

    def has_unread_input(self) -> bool:
        """Whether input has arrived that the event loop has not read yet."""
        return self._poll(select.POLLIN)

    def _poll(self, event: int) -> bool:
        if self._transport is None or self._transport.is_closing():
            return False  # the event loop reports the end of these
        return poll_socket(self._transport.get_extra_info("socket").fileno(), event)

    # Reading.

    def pause_reading(self) -> None:
        """Leave what arrives unread."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self._transport is not None:
            self._transport.resume_reading()

    # Writing and closing.

    def write(self, data: bytes) -> None:
        """Send this, or buffer what the network does not take at once."""
        if self._transport is not None:
            self._transport.write(data)

    def end_output(self) -> None:
        """Close the node's side when everything that was written has been sent."""
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()

    def abort(self) -> None:
        """Close at once; output that has not been sent is dropped."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Stop reading, and close when everything that was written has been sent."""
        if self._transport is not None:
            self._transport.close()
