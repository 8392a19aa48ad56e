"""Implements a request to an endpoint, from its start to its single outcome.

A request is never sent twice.  If it ends after its bytes were written to a socket, the endpoint may have
processed it.  ``Outcome.CONNECT_FAILED`` and ``Outcome.NOT_SENT`` are reported only for a request whose bytes
were not written.
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

# A request with less time left than this is not written, because the endpoint could not respond in time.  The
# value is above the resolution of the X-Deadline header and of the event loop's clock, which is 1 ms.
MIN_TIME_LEFT_S = 0.002


class OutboundRequest(ABC):
    """The content of an attempt or a health check to an endpoint, and the receiver of its outcome."""

    __slots__ = ()

    @abstractmethod
    def render(self, seconds_left: float) -> bytes:
        """Return the bytes to send, for a request that has this many seconds left before its deadline."""

    @abstractmethod
    def on_end(self, outcome: Outcome, response: HttpMessage | None) -> None:
        """Handle the outcome; called exactly once.

        Args:
            outcome: the outcome of the request.
            response: the response, or None if no complete response was received.
        """

    def is_wanted(self) -> bool:
        """Return whether the response is still wanted; called while the request waits for a connection."""
        return True

    def may_write(self, *, to_listed_process: bool) -> bool:
        """Return whether the request may be written; called immediately before the request is written.

        It is not called again after it has returned True: an implementation that returns True records the
        request as written.

        Args:
            to_listed_process: whether the connection leads to the process that is listed, and not perhaps to
                another one that has come up at its address.
        """
        return True


class RequestState(Enum):
    """The progress of a request, which only moves forward through these states.

    ======================  ======================  =================================================
    from                    to                      when
    ======================  ======================  =================================================
    WAITING                 CONNECT_FAILED_LOCALLY  a connect has failed on the node's own machine
    WAITING                 WRITTEN                 the request is written to a connection
    CONNECT_FAILED_LOCALLY  WRITTEN                 the request is written to a connection
    any                     ENDED                   the outcome is known
    ======================  ======================  =================================================
    """

    WAITING = auto()
    """The request waits for a connection."""
    CONNECT_FAILED_LOCALLY = auto()
    """The request waits for a connection, and a connect for it has failed on the node's own machine."""
    WRITTEN = auto()
    """The bytes of the request were written to a socket; the endpoint may have processed the request."""
    ENDED = auto()
    """The outcome has been reported."""


# Module constants, because Python 3.11 looks up enum members slowly and each request needs them.
_WAITING = RequestState.WAITING
_CONNECT_FAILED_LOCALLY = RequestState.CONNECT_FAILED_LOCALLY
_WRITTEN = RequestState.WRITTEN
_ENDED = RequestState.ENDED


_OUTCOME_AT_DEADLINE = {
    _WAITING: Outcome.CONNECT_FAILED,
    _CONNECT_FAILED_LOCALLY: Outcome.NOT_SENT,  # the endpoint did not cause the failure
    _WRITTEN: Outcome.TIMEOUT,
}


class UpstreamRequest:
    """A request to an endpoint: an attempt or a health check.  It ends exactly once, with one outcome.

    Attributes:
        outbound: the content of the request, and the receiver of its outcome.
        deadline: when the request times out, in the time of the event loop.
    """

    __slots__ = ("_connection", "_deadline_timer", "_state", "deadline", "outbound")

    def __init__(self, outbound: OutboundRequest, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        self.outbound = outbound
        self.deadline = loop.time() + timeout_s
        self._state = _WAITING
        self._connection: UpstreamConnection | None = None  # carries the request while it is WRITTEN
        self._deadline_timer = loop.call_later(timeout_s, self._on_deadline)

    @property
    def written(self) -> bool:
        """Whether the request is in flight: its bytes were written to a socket and it has not ended."""
        return self._state is _WRITTEN

    @property
    def ended(self) -> bool:
        """Whether the outcome has been reported."""
        return self._state is _ENDED

    def has_time_left(self) -> bool:
        """Return whether at least MIN_TIME_LEFT_S is left before the deadline."""
        return self.deadline - asyncio.get_running_loop().time() >= MIN_TIME_LEFT_S

    def mark_connect_failed_locally(self) -> None:
        """Record that a connect for the request has failed on the node's own machine."""
        if self._state is _WAITING:
            self._state = _CONNECT_FAILED_LOCALLY

    def mark_written(self, connection: UpstreamConnection) -> None:
        """Record that the request is written to this connection."""
        self._connection = connection
        self._state = _WRITTEN

    def end(self, outcome: Outcome, response: HttpMessage | None = None) -> None:
        """End the request and report its outcome; do nothing if the request has already ended."""
        if self._state is _ENDED:
            return
        self._state = _ENDED
        self._deadline_timer.cancel()
        self._connection = None
        self.outbound.on_end(outcome, response)

    def cancel(self, outcome: Outcome) -> None:
        """End the request with this outcome, without waiting for the response.

        The connection that carries the request is closed, so that a late response is not read as the response
        to another request.
        """
        if self._connection is not None:
            self._connection.abort()
        self.end(outcome)

    def _on_deadline(self) -> None:
        self.cancel(_OUTCOME_AT_DEADLINE[self._state])
