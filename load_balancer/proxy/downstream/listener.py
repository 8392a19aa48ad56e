"""The listening socket: accepts connections only while they can be kept, and leaves the others to wait.

The event loop's own server accepts whatever the system has, and where no descriptor is left its library
accepts a connection with a spare one and closes it at once.  The system has accepted that connection before,
so that its request counts as received: here it waits in the backlog instead until it can be served.
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
MAX_ACCEPTS = 16  # in one iteration, so that a crowd does not keep those from being read who are accepted
# Until the backlog is looked at again, where connections cannot be accepted or there is no place for them.
FIRST_PAUSE_S = 0.01
MAX_PAUSE_S = 0.1
MAX_ACCEPT_DELAY_S = 1.0  # none is taken to have waited for longer than this

_OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

ConnectionFactory = Callable[[float], DownstreamConnection]
"""Makes the protocol of a connection that came after this monotonic time, in seconds."""


class Listener:
    """Accepts connections at one address.

    Attributes:
        opening: connections that have been accepted and are not in the table yet.
    """

    def __init__(
        self, create_connection: ConnectionFactory, has_place: Callable[[], bool], iterations: LoopIterations
    ) -> None:
        """Begin with no socket.

        Args:
            create_connection: makes the protocol of an accepted connection.
            has_place: whether one more connection may be accepted now.
            iterations: bounds the arrival times of connections.
        """
        self.opening = 0
        self._create_connection = create_connection
        self._has_place = has_place
        self._iterations = iterations
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._reading = False
        self._pause_s = FIRST_PAUSE_S
        self._pause_timer: asyncio.TimerHandle | None = None
        self._waiting_since: float | None = None  # when the first that still waits may have come
        self._tasks: set[asyncio.Task[None]] = set()

    # State.

    def is_listening(self) -> bool:
        """Whether the system accepts connections for the node."""
        return self._socket is not None

    def has_waiting(self) -> bool:
        """Whether a client has connected and is not served yet: its request counts as received already."""
        if self.opening:
            return True
        return self._socket is not None and poll_socket(self._socket.fileno(), select.POLLIN)

    # Life.

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; returns it with the port that was bound.  OSError if that fails."""
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
        self._read()
        bound: tuple[str, int] = listening.getsockname()[:2]
        return bound

    def close(self) -> None:
        """Stop listening; connections that are being opened are dropped."""
        self._stop_reading()
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    # Accepting.

    def _read(self) -> None:
        self._pause_timer = None
        if self._socket is not None and not self._reading:
            self._reading = True
            self._loop.add_reader(self._socket.fileno(), self._accept_waiting)

    def _stop_reading(self) -> None:
        if self._reading and self._socket is not None:
            self._reading = False
            self._loop.remove_reader(self._socket.fileno())

    def _accept_waiting(self) -> None:
        """Accept what waits, up to a bound."""
        arrived_after = self._arrived_after()
        for _ in range(MAX_ACCEPTS):
            if not self._has_place():
                self._pause(arrived_after)
                return
            try:
                if not self._accept(arrived_after):
                    self._waiting_since = None
                    return
            except OSError as error:
                if error.errno not in _OUT_OF_RESOURCES:
                    continue  # that connection broke while it waited
                log.warning("accept_failed problem=%s", error)
                self._pause(arrived_after)
                return
        self._waiting_since = arrived_after

    def _arrived_after(self) -> float:
        """The time after which everything that is accepted now has come."""
        arrived_after = self._iterations.earliest_arrival()
        if self._waiting_since is None:
            return arrived_after
        return min(arrived_after, max(self._waiting_since, arrived_after - MAX_ACCEPT_DELAY_S))

    def _accept(self, arrived_after: float) -> bool:
        """Accept one connection; returns whether one was there."""
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
        """Leave what waits to the backlog for a moment."""
        self._waiting_since = waiting_since
        self._stop_reading()
        self._pause_timer = self._loop.call_later(self._pause_s, self._read)
        self._pause_s = min(MAX_PAUSE_S, 2.0 * self._pause_s)

    def place_freed(self) -> None:
        """A connection has closed: look at the backlog now if nothing but a place was missing."""
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_s = FIRST_PAUSE_S
            self._read()
