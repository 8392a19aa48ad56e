"""One request to an endpoint, from its start to its one outcome.

Nothing is sent twice.  A request that ends after its bytes were handed to a socket may have run; only one
that ended before is reported as ``Outcome.CONNECT_FAILED`` or ``Outcome.NOT_SENT``.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from enum import Enum, auto
from typing import TYPE_CHECKING

from load_balancer.events import Outcome
from load_balancer.proxy.http.reader import HttpMessage

if TYPE_CHECKING:
    from load_balancer.proxy.upstream.connection import UpstreamConnection

# A request with less time left is not written: the endpoint could not answer within it.  The X-Deadline
# header and the loop's clock have a resolution of one millisecond.
MIN_TIME_LEFT_S = 0.002


class OutboundRequest(ABC):
    """What is sent to an endpoint, an attempt or a health check, and the receiver of its outcome."""

    __slots__ = ()

    @abstractmethod
    def render(self, seconds_left: float) -> bytes:
        """The bytes to send, for a request that has this many seconds left."""

    @abstractmethod
    def on_end(self, outcome: Outcome, response: HttpMessage | None) -> None:
        """Called once with the outcome, and with the response where a complete one came."""

    def is_wanted(self) -> bool:
        """Whether somebody still waits for the response; asked when the connection comes up."""
        return True

    def may_write(self) -> bool:
        """The last check, called right before the request is written and not again once it returned True.

        An implementation that returns True records the request as written.
        """
        return True


class RequestState(Enum):
    """How far a request has come.  A state is followed by a later one of this list only.

    ===============  ===============  ====================================================
    from             to               when
    ===============  ===============  ====================================================
    WAITING          CONNECT_HELD_UP  a connect has failed on the node's own machine
    WAITING          WRITTEN          a connection carries it
    CONNECT_HELD_UP  WRITTEN          a connection carries it
    any              ENDED            its outcome is known
    ===============  ===============  ====================================================
    """

    WAITING = auto()
    """It waits for a connection."""
    CONNECT_HELD_UP = auto()
    """It waits for a connection, and the node's own machine has failed to open one."""
    WRITTEN = auto()
    """Its bytes were handed to a socket: it may have run."""
    ENDED = auto()
    """Its outcome has been reported."""


# Python 3.11 looks up a member of an enum slowly, and these are used for each request.
_WAITING = RequestState.WAITING
_CONNECT_HELD_UP = RequestState.CONNECT_HELD_UP
_WRITTEN = RequestState.WRITTEN
_ENDED = RequestState.ENDED


_OUTCOME_AT_DEADLINE = {
    _WAITING: Outcome.CONNECT_FAILED,
    _CONNECT_HELD_UP: Outcome.NOT_SENT,  # the endpoint is not to blame
    _WRITTEN: Outcome.TIMEOUT,
}


class UpstreamRequest:
    """One request to an endpoint: an attempt or a health check.  It ends once, with one outcome.

    Attributes:
        outbound: what is sent, and the receiver of the outcome.
        deadline: when it times out, in the loop's time.
    """

    __slots__ = ("_connection", "_deadline_timer", "_state", "deadline", "outbound")

    def __init__(self, outbound: OutboundRequest, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        self.outbound = outbound
        self.deadline = loop.time() + timeout_s
        self._state = _WAITING
        self._connection: UpstreamConnection | None = None  # the one that carries it, while it is WRITTEN
        self._deadline_timer = loop.call_later(timeout_s, self._on_deadline)

    @property
    def written(self) -> bool:
        """Whether it is in flight: its bytes were handed to a socket and no outcome has come."""
        return self._state is _WRITTEN

    @property
    def ended(self) -> bool:
        """Whether the outcome has been reported."""
        return self._state is _ENDED

    def has_time_left(self) -> bool:
        """Whether it can still be written and answered before its deadline."""
        return self.deadline - asyncio.get_running_loop().time() >= MIN_TIME_LEFT_S

    def mark_held_up(self) -> None:
        """Record that the node's own machine has failed to connect for it."""
        if self._state is _WAITING:
            self._state = _CONNECT_HELD_UP

    def mark_written(self, connection: UpstreamConnection) -> None:
        """Record that this connection carries it from now on."""
        self._connection = connection
        self._state = _WRITTEN

    def end(self, outcome: Outcome, response: HttpMessage | None = None) -> None:
        """Report the outcome; does nothing where one was reported before."""
        if self._state is _ENDED:
            return
        self._state = _ENDED
        self._deadline_timer.cancel()
        self._connection = None
        self.outbound.on_end(outcome, response)

    def cancel(self, outcome: Outcome) -> None:
        """End without waiting for the response.

        The connection is closed as well, so that a late response cannot reach another request.
        """
        if self._connection is not None:
            self._connection.abort()
        self.end(outcome)

    def _on_deadline(self) -> None:
        self.cancel(_OUTCOME_AT_DEADLINE[self._state])
