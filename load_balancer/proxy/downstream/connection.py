"""One client connection: reads pipelined requests, and writes the one response to each of them in order."""

from __future__ import annotations

import asyncio
import logging
import typing

from load_balancer.proxy.downstream.client_transport import ClientTransport
from load_balancer.proxy.downstream.connection_state import (
    ACCEPTING_REQUESTS,
    CLOSING,
    FINISHED,
    IDLE,
    INPUT_ENDED,
    RECEIVING,
    RESPONSE_DUE,
    ConnectionPhase,
)
from load_balancer.proxy.downstream.response_queue import ResponseQueue
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError, HttpReader
from load_balancer.proxy.observability.counters import CloseReason, NodeCounters
from load_balancer.proxy.observability.rule_monitor import Rule, RuleMonitor

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 16  # open requests on one connection; clients usually have one
PAUSE_READING_AT = 2  # open requests: nothing further is read, and what arrives waits in the network
# Input that is not acceptable is answered after the requests before it, which have this long.
OPEN_REQUESTS_TIMEOUT_S = 2.25
# For the client to read a last response: closing while input is unread resets the connection at once.
LINGER_S = 0.5
MAX_DISCARDED_BYTES = 256 * 1024


class EvictionTable(typing.Protocol):
    """Keeps the order in which connections are evicted."""

    def update_eviction(self, connection: DownstreamConnection) -> None:
        """Queue the connection for eviction by its present priority, behind the others."""

    def refresh_eviction(self, connection: DownstreamConnection) -> None:
        """Queue the connection anew if its priority has changed; else it keeps its place."""


class ConnectionOwner(typing.Protocol):
    """What a connection needs of the server that accepted it."""

    iterations: LoopIterations
    counters: NodeCounters
    rules: RuleMonitor

    @property
    def table(self) -> EvictionTable:
        """The connections of the server, which may evict them."""

    @property
    def draining(self) -> bool:
        """Whether every response closes its connection."""

    def now(self) -> float:
        """Monotonic time in seconds."""

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """A connection has been accepted."""

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """A connection is gone."""

    def reading_paused(self, connection: DownstreamConnection) -> None:
        """The connection is no longer read."""

    def reading_resumed(self, connection: DownstreamConnection) -> None:
        """The connection is read again."""

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Take a request; returns whether it is one for the servers.  HttpMessageError if it is invalid."""

    def release_body(self, slot: ResponseSlot) -> None:
        """Count the body of a finished request no longer against the limit."""


class DownstreamConnection(asyncio.Protocol):
    """One connection of a client; responses go out in the order of the requests.

    ``ConnectionState`` has the table of its states.  Three flags are independent of the state:

    * answered and brought_request occur in all four combinations: a connection may have had only responses
      to readiness checks or to input that is not acceptable, and an accepted request may wait for the first
      response.  Neither is ever reset.
    * write_paused is set and reset by the event loop in any state, once a response has been written.

    Attributes:
        owner: the server that accepted it.
        transport: its transport.
        state: whether it accepts requests, only responds, or has finished.
        waiting_since: when it was opened, a response was last written, or a request last began after a
            response (monotonic, seconds).
        last_input_at: when input last came (monotonic, seconds).
        answered: it has had a response.
        brought_request: it has brought a request for the servers.
        write_paused: the client does not read what it is sent.
    """

    __slots__ = (
        "_accepted_after",
        "_arrived_at_s",
        "_discarded_bytes",
        "_linger_timer",
        "_open_requests_timer",
        "_reader",
        "_responses",
        "answered",
        "brought_request",
        "last_input_at",
        "owner",
        "state",
        "transport",
        "waiting_since",
        "write_paused",
    )

    def __init__(self, owner: ConnectionOwner, accepted_after: float = 0.0) -> None:
        self.owner = owner
        self.transport = ClientTransport()
        self.state = ACCEPTING_REQUESTS
        self.waiting_since = 0.0
        self.last_input_at = 0.0
        self.answered = False
        self.brought_request = False
        self.write_paused = False
        self._reader = HttpReader(self._on_request, requests=True)
        self._responses = ResponseQueue()
        self._accepted_after = accepted_after
        self._arrived_at_s = 0.0  # the input that is being read has arrived after this time
        self._discarded_bytes = 0
        self._linger_timer: asyncio.TimerHandle | None = None
        self._open_requests_timer: asyncio.TimerHandle | None = None

    # State.

    @property
    def phase(self) -> ConnectionPhase:
        """What the connection waits for."""
        if self.state is FINISHED:
            return CLOSING
        if self._responses:
            return RESPONSE_DUE
        return RECEIVING if self._reader.in_message else IDLE

    def is_busy(self) -> bool:
        """Whether a response, or a part of one, is still to be sent, or a request is arriving."""
        return self.transport.has_unsent_output() or bool(self._responses) or self.phase is RECEIVING

    def has_unread_input(self) -> bool:
        """Whether input that will be accepted has arrived and is not read yet."""
        return self.state is ACCEPTING_REQUESTS and self.transport.has_unread_input()

    def must_close_after(self, slot: ResponseSlot) -> bool:
        """Whether it closes after this response, as the node drains.

        Nothing may follow a response that closes: with more requests behind it this one leaves it open.
        """
        return self.owner.draining and self._responses.is_last(slot)

    # Requests in.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop for an accepted connection."""
        self.transport.attach(transport)
        self.waiting_since = self.owner.now()
        self.owner.iterations.mark_activity()
        self.owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with input."""
        if self.state is not ACCEPTING_REQUESTS:
            # Further reading reveals when the client leaves, but not every amount is worth reading for that.
            self._discarded_bytes += len(data)
            self._update_reading()
            return
        self._arrived_at_s = self.owner.iterations.earliest_arrival()
        if not self.answered and self._arrived_at_s <= self.waiting_since:
            # It may have arrived together with the connection, and waited in the backlog with it.
            self._arrived_at_s = self._accepted_after
        self.last_input_at = self.owner.now()
        if self.answered and self.phase is IDLE:
            self.waiting_since = self.last_input_at
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            self.respond_early(error.status)
        except Exception:
            log.exception("request_read_failed")
            self.respond_early(500)
        self._update_reading()

    def _on_request(self, message: HttpMessage) -> None:
        slot = ResponseSlot(self, not message.keep_alive, self._arrived_at_s)
        self._responses.append(slot)
        if slot.close_after:
            self.end_input()
        try:
            if len(self._responses) > MAX_PIPELINED_REQUESTS:
                raise HttpMessageError(400, "too many pipelined requests")
            self.brought_request |= self.owner.route(message, slot)
        except HttpMessageError as error:
            self.respond_early(error.status, slot)
        except Exception:
            # A fault must affect this request only, and it must still get a response.
            log.exception("request_failed")
            slot.respond(500)

    def end_input(self) -> None:
        """Accept no further request, neither from the input that is being parsed nor from later input."""
        if self.state is ACCEPTING_REQUESTS:
            self.state = INPUT_ENDED
        self._reader.stop()

    def eof_received(self) -> bool:
        """The client has closed: its requests end, but output that was written before is still sent."""
        self.state = FINISHED
        self._responses.abandon_all()
        return False

    def end_after_client_left(self) -> None:
        """Do what eof_received does, when the client's end is found before the event loop reads it."""
        self.eof_received()
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop when the connection is gone."""
        self.transport.detach()
        for timer in (self._linger_timer, self._open_requests_timer):
            if timer is not None:
                timer.cancel()
        self.owner.connection_closed(self)
        self._responses.abandon_all()

    def release_body(self, slot: ResponseSlot) -> None:
        """Count the body of a finished request no longer against the limit."""
        self.owner.release_body(slot)

    # Responses out.

    def flush(self) -> None:
        """Send the responses that are known, in order; stop before the first that is not."""
        if not self.transport.is_attached:
            return
        responses = self._responses
        while responses and (output := responses[0].output) is not None:
            slot = responses.popleft()
            self.transport.write(output)
            self.owner.counters.responses[slot.status] += 1
            self.waiting_since = self.owner.now()
            self.answered = True
            self.owner.table.update_eviction(self)
            if slot.close_after:
                self._finish()
                return
        self._update_reading()

    def respond_early(self, status: int, slot: ResponseSlot | None = None) -> None:
        """Answer input that is not acceptable, after the requests before it, and close.

        Those have OPEN_REQUESTS_TIMEOUT_S for their responses.  Then they get the same status, as the
        protocol requires the error by then.

        Args:
            status: the status of the response.
            slot: the slot of the request that is not acceptable; None where no complete request was read.
        """
        self.end_input()
        if self.state is FINISHED:
            return
        if slot is None:
            slot = ResponseSlot(self, True)
            self._responses.append(slot)
        slot.close_after = True
        slot.respond(status)
        if self._responses:
            self._open_requests_timer = asyncio.get_running_loop().call_later(
                OPEN_REQUESTS_TIMEOUT_S, self._responses.fail_open_requests, status
            )

    def _finish(self) -> None:
        """Close after the last response, once the client has had the time to read it."""
        self.state = FINISHED
        self.owner.table.update_eviction(self)
        self.end_input()
        self._report_unanswered(CloseReason.LAST_RESPONSE)
        self._responses.abandon_all()
        self.transport.end_output()
        self._linger()

    def _linger(self) -> None:
        loop = asyncio.get_running_loop()
        self._linger_timer = loop.call_later(LINGER_S, self.abort_when_sent)

    def abort_when_sent(self) -> None:
        """Close, or wait again while the last response is not sent: to abort would cut it off."""
        if self.transport.has_unsent_output():
            self._linger()
        else:
            self.abort(CloseReason.LAST_RESPONSE)

    def abort(self, reason: CloseReason) -> None:
        """Close at once; output that has not been sent is dropped."""
        self._record_close(reason)
        self.transport.abort()

    def close(self, reason: CloseReason) -> None:
        """Close when everything that was written has been sent."""
        self._record_close(reason)
        self.state = FINISHED
        self.transport.close()

    def _record_close(self, reason: CloseReason) -> None:
        """Count the close, unless the connection is closing or lost already."""
        if self.transport.is_open:
            self.owner.counters.closed[reason] += 1
            self._report_unanswered(reason)

    def _report_unanswered(self, reason: CloseReason) -> None:
        """Report each request that the close would leave without a response."""
        for _ in range(self._responses.count_unanswered()):
            self.owner.rules.report(Rule.CLOSED_UNANSWERED, reason=reason.value)

    # Backpressure.

    def pause_writing(self) -> None:
        """Called by the event loop when the client does not read what it is sent."""
        self.write_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Called by the event loop when the client reads again."""
        self.write_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Read only while responses can be sent; this bounds the memory that one client can take."""
        self.owner.table.refresh_eviction(self)
        if not self.transport.is_open:
            return
        if (
            self.write_paused
            or self._discarded_bytes > MAX_DISCARDED_BYTES
            or len(self._responses) >= PAUSE_READING_AT
        ):
            self.transport.pause_reading()
            self.owner.reading_paused(self)
        elif not self.transport.is_reading:
            self.transport.resume_reading()
            self.owner.reading_resumed(self)
