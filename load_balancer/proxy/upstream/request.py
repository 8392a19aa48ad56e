"""One request to an endpoint, from its start to its one outcome.

Nothing is sent twice.  A request that ends after its bytes were handed to a socket may have run; only one
that ended before is reported as ``Outcome.CONNECT_FAILED`` or ``Outcome.NOT_SENT``.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from load_balancer.events import Outcome
from load_balancer.proxy.http.reader import HttpMessage

if TYPE_CHECKING:
    from load_balancer.proxy.upstream.connection import UpstreamConnection

# An attempt with less time left is not written: its server could not answer in it, and the time is told in
# milliseconds.  The loop's clock has that resolution, too.
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


class UpstreamRequest:
    """One request to an endpoint: an attempt or a health check.  It ends once, with one outcome.

    Attributes:
        outbound: what is sent, and who learns the outcome.
        deadline: when it times out, in the loop's time.
        connection: the connection that carries it, until it ends.
        held_up_locally: whether the node's own machine has failed to connect for it.
        written: whether its bytes were handed to a socket, so that it may have run.
        ended: whether the outcome has been reported.
    """

    __slots__ = (
        "_deadline_timer",
        "connection",
        "deadline",
        "ended",
        "held_up_locally",
        "outbound",
        "written",
    )

    def __init__(self, outbound: OutboundRequest, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        self.outbound = outbound
        self.deadline = loop.time() + timeout_s
        self.connection: UpstreamConnection | None = None
        self.held_up_locally = False
        self.written = False
        self.ended = False
        self._deadline_timer = loop.call_later(timeout_s, self._time_out)

    def has_time_left(self) -> bool:
        """Whether it can still be written and answered before its deadline."""
        return self.deadline - asyncio.get_running_loop().time() >= MIN_TIME_LEFT_S

    def end(self, outcome: Outcome, response: HttpMessage | None = None) -> None:
        """Report the outcome; does nothing where one was reported before."""
        if self.ended:
            return
        self.ended = True
        self._deadline_timer.cancel()
        self.connection = None
        self.outbound.on_end(outcome, response)

    def cancel(self, outcome: Outcome) -> None:
        """End without waiting for the response.

        The connection is closed as well, so that a late response cannot reach another request.
        """
        connection = self.connection
        if not self.ended and connection is not None:
            connection.abort()
        self.end(outcome)

    def _time_out(self) -> None:
        if self.written:
            self.cancel(Outcome.TIMEOUT)
        else:
            self.cancel(Outcome.NOT_SENT if self.held_up_locally else Outcome.CONNECT_FAILED)
