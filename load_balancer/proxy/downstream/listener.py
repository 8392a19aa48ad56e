"""The listening socket, which accepts connections only while the node has capacity for them.

The event loop's own server would accept every connection in the backlog.  If no file descriptor is free, the
library of the event loop accepts a connection with a spare descriptor and closes the connection at once.  But
the operating system has already accepted this connection, and its request counts as received.  The listener
in this module leaves such a connection in the backlog until the node can serve it.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections.abc import Callable

from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.event_loop.socket_poll import poll_socket

log = logging.getLogger(__name__)

BACKLOG = 1024
# The limit of accepted connections per event-loop iteration.  Without it a connection burst would delay the
# connections that are already accepted.
MAX_ACCEPTS = 16
# The first and the longest pause before the listener tries to accept again, after an accept has failed or
# there was no capacity.  The pause doubles each time.
FIRST_PAUSE_S = 0.01
MAX_PAUSE_S = 0.1
# The longest time for which a connection is assumed to have waited in the backlog.
MAX_ACCEPT_DELAY_S = 1.0

_OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

ConnectionFactory = Callable[[float], DownstreamConnection]
"""Creates the protocol of a connection that arrived after the given monotonic time, in seconds."""


class Listener:
    """Accepts client connections at one address.

    Attributes:
        opening: the number of connections that have been accepted and are not in the connection table yet.
    """

    def __init__(
        self,
        create_connection: ConnectionFactory,
        has_capacity: Callable[[], bool],
        iterations: LoopIterations,
    ) -> None:
        """Initialize the listener without a socket; ``listen`` opens the socket.

        Args:
            create_connection: creates the protocol of an accepted connection.
            has_capacity: returns whether one more connection may be accepted now.
            iterations: provides the earliest time at which a connection can have arrived.
        """
        self.opening = 0
        self._create_connection = create_connection
        self._has_capacity = has_capacity
        self._iterations = iterations
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._accepting = False
        self._pause_s = FIRST_PAUSE_S
        self._pause_timer: asyncio.TimerHandle | None = None
        # The earliest time at which a connection that is still in the backlog can have arrived.
        self._waiting_since: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    # State.

    def is_listening(self) -> bool:
        """Return whether the socket is listening, so that the operating system accepts connections."""
        return self._socket is not None

    def has_pending_connections(self) -> bool:
        """Return whether a client has connected whose connection is not in the connection table yet.

        The request of such a client already counts as received.
        """
        if self.opening:
            return True
        return self._socket is not None and poll_socket(self._socket.fileno(), select.POLLIN)

    # Lifecycle.

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only.

        Returns:
            The address with the port that was bound.

        Raises:
            OSError: the node cannot listen on the address.
        """
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listening.setblocking(False)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(address)
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise
        self._socket = listening
        self._start_accepting()
        bound: tuple[str, int] = listening.getsockname()[:2]
        return bound

    def close(self) -> None:
        """Stop listening, and drop accepted connections that are not in the connection table yet."""
        self._stop_accepting()
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    # Accepting connections.

    def _start_accepting(self) -> None:
        self._pause_timer = None
        if self._socket is not None and not self._accepting:
            self._accepting = True
            self._loop.add_reader(self._socket.fileno(), self._accept_pending)

    def _stop_accepting(self) -> None:
        if self._accepting and self._socket is not None:
            self._accepting = False
            self._loop.remove_reader(self._socket.fileno())

    def _accept_pending(self) -> None:
        """Accept the connections in the backlog, at most MAX_ACCEPTS of them."""
        arrived_after = self._arrived_after()
        for _ in range(MAX_ACCEPTS):
            if not self._has_capacity():
                self._pause(arrived_after)
                return
            try:
                if not self._accept(arrived_after):
                    self._waiting_since = None
                    return
            except OSError as error:
                if error.errno not in _OUT_OF_RESOURCES:
                    continue  # The connection failed while it was in the backlog.
                log.warning("accept_failed problem=%s", error)
                self._pause(arrived_after)
                return
        self._waiting_since = arrived_after

    def _arrived_after(self) -> float:
        """Return the earliest time at which a connection accepted now can have arrived (monotonic, seconds).

        A connection is assumed to have waited in the backlog for at most MAX_ACCEPT_DELAY_S.
        """
        arrived_after = self._iterations.earliest_arrival()
        if self._waiting_since is None:
            return arrived_after
        return min(arrived_after, max(self._waiting_since, arrived_after - MAX_ACCEPT_DELAY_S))

    def _accept(self, arrived_after: float) -> bool:
        """Accept a connection, and return whether the backlog contained one."""
        assert self._socket is not None
        try:
            accepted, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError):
            return False
        self._pause_s = FIRST_PAUSE_S
        accepted.setblocking(False)
        self.opening += 1
        task = self._loop.create_task(self._open(accepted, arrived_after))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _open(self, accepted: socket.socket, arrived_after: float) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._create_connection(arrived_after), accepted)
        except OSError as error:
            log.warning("accept_failed problem=%s", error)
            accepted.close()
        finally:
            self.opening -= 1

    def _pause(self, waiting_since: float) -> None:
        """Stop accepting for the length of the pause; pending connections stay in the backlog meanwhile."""
        self._waiting_since = waiting_since
        self._stop_accepting()
        self._pause_timer = self._loop.call_later(self._pause_s, self._start_accepting)
        self._pause_s = min(MAX_PAUSE_S, 2.0 * self._pause_s)

    def connection_closed(self) -> None:
        """Handle the close of a connection: end a pause and start accepting again."""
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_s = FIRST_PAUSE_S
            self._start_accepting()
