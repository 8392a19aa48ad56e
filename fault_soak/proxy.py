"""A TCP proxy that simulates network failures between the nodes and one server."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import Enum

HOST = "127.0.0.1"
BACKLOG = 128
READ_BYTES = 65536


class LinkState(Enum):
    """The way in which the proxy handles connections and data."""

    PASS = "pass"
    """The proxy forwards all connections and data."""

    SILENT = "silent"
    """The proxy forwards no data in either direction.

    New connections are still established, as with a server whose process is stopped.
    """

    LATE = "late"
    """New connections are established only when the state ends; existing connections forward data."""

    RESET_REQUEST = "reset-request"
    """The proxy resets a connection at the first bytes of a request and does not forward these bytes."""

    RESET_RESPONSE = "reset-response"
    """The proxy resets a connection at the first bytes of a response; the server has executed the request."""


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class FaultProxy:
    """A proxy that listens at the announced address of a server and relays connections to the server's port.

    Attributes:
        state: the current state of the link.
        fired: the number of times that the proxy, because of its state, dropped data or reset a connection.
        port: the port at which the proxy listens; before ``open``, it may be 0 for any free port.
    """

    def __init__(self, server_port: int) -> None:
        self.state = LinkState.PASS
        self.fired = 0
        self.port = 0
        self._server_port = server_port
        self._loop = asyncio.get_running_loop()
        self._listener = socket.socket()
        self._backlog_fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._passing = asyncio.Event()
        self._passing.set()
        self._accepting = False

    def open(self) -> None:
        """Listen at ``port``, or at a free port if ``port`` is 0; may be called only once."""
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((HOST, self.port))
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self.port = self._listener.getsockname()[1]
        self._start_accepting()

    def close(self) -> None:
        """Refuse new connections and reset the open connections."""
        self._stop_accepting()
        self._listener.close()
        self._close_backlog_fillers()
        for writer in list(self._writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()

    def set_state(self, state: LinkState) -> None:
        """Change the state of the link.

        At the end of SILENT, reset all connections, because some of their data may have been dropped.
        """
        previous, self.state = self.state, state
        if previous is LinkState.SILENT:
            for writer in list(self._writers):
                reset(writer)
        if previous is LinkState.LATE:
            self._listener.listen(BACKLOG)
            self._close_backlog_fillers()
            self._start_accepting()
        if state is LinkState.LATE:
            self._fill_backlog()
        if state is LinkState.SILENT:
            self._passing.clear()
        else:
            self._passing.set()

    def _fill_backlog(self) -> None:
        """Fill the backlog of the listener so that the kernel drops the handshakes of further connections."""
        # A connection that is established already must not wait: only those that are not are late.
        while self._accept():
            pass
        self._stop_accepting()
        self._listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((HOST, self.port))
            self._backlog_fillers.append(filler)

    def _close_backlog_fillers(self) -> None:
        for filler in self._backlog_fillers:
            filler.close()
        self._backlog_fillers.clear()

    def _start_accepting(self) -> None:
        if not self._accepting:
            self._accepting = True
            self._loop.add_reader(self._listener.fileno(), self._accept)

    def _stop_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            self._loop.remove_reader(self._listener.fileno())

    def _accept(self) -> bool:
        """Accept one connection, and return whether there was one."""
        try:
            connection, _ = self._listener.accept()
        except (BlockingIOError, ConnectionError):
            return False
        connection.setblocking(False)
        task = self._loop.create_task(self._relay(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _relay(self, connection: socket.socket) -> None:
        try:
            node_reader, node_writer = await asyncio.open_connection(sock=connection)
        except OSError:
            connection.close()
            return
        self._writers.add(node_writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(HOST, self._server_port)
        except OSError:
            reset(node_writer)
            self._writers.discard(node_writer)
            return
        self._writers.add(server_writer)
        try:
            await asyncio.gather(
                self._copy(node_reader, server_writer, node_writer, LinkState.RESET_REQUEST),
                self._copy(server_reader, node_writer, node_writer, LinkState.RESET_RESPONSE),
            )
        finally:
            for writer in (node_writer, server_writer):
                self._writers.discard(writer)
                writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        node_writer: asyncio.StreamWriter,
        reset_state: LinkState,
    ) -> None:
        """Copy data in one direction until the connection ends.

        In the state ``reset_state``, reset the connection to the node instead of writing the data. Data that
        arrives in the state SILENT is dropped.
        """
        try:
            while data := await reader.read(READ_BYTES):
                if self.state is LinkState.SILENT:
                    self.fired += 1
                    await self._passing.wait()
                    return  # the data is lost
                if self.state is reset_state:
                    self.fired += 1
                    reset(node_writer)
                    break
                writer.write(data)
        except ConnectionError:
            reset(writer)  # a reset is forwarded as a reset
            return
        if self.state is LinkState.SILENT:
            await self._passing.wait()
        writer.close()
