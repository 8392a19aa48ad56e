"""One client connection: pipelining, backpressure, half-close, and the one response to each request."""

from __future__ import annotations

import asyncio
import logging
import select
import typing
from collections import deque
from socket import socket

from load_balancer.proxy.downstream.eviction import EvictionPriority
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.event_loop.socket_poll import poll_socket
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError, HttpReader
from load_balancer.proxy.observability.counters import CloseReason, NodeCounters
from load_balancer.proxy.observability.rule_monitor import Rule, RuleMonitor

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 16  # open requests on one connection; clients usually have one
PAUSE_READING_AT = 2  # open requests: nothing further is read, and what arrives waits in the network
REAP_INTERVAL_S = 0.25
# A client usually connects because it has a request.  Where none is complete by now the connection is
# answered or closed: with the reaper's and the network's time that is within the 3 s that it is owed.
FIRST_REQUEST_TIMEOUT_S = 2.25
REQUEST_TIMEOUT_S = 10.0  # for a later request to arrive completely
STALLED_REQUEST_TIMEOUT_S = 2.25  # and for its next piece: a client that stops is owed its answer in 3 s, too
# Requests that were accepted before an input that is not have so long for their responses.
OPEN_REQUESTS_TIMEOUT_S = 2.25
RESPONSE_READ_TIMEOUT_S = 10.0  # for a client to read its response
# Between requests: a connection that brought no request for the servers is closed as soon as the protocol
# allows it, as clients keep such connections for good; one that did bring some saves a handshake.
UNUSED_IDLE_TIMEOUT_S = 2.25
IDLE_TIMEOUT_S = 60.0
EVICTABLE_AFTER_S = 0.5  # when the table is full, a request that is not complete by now gives up its place
LINGER_S = (
    0.5  # for the client to read an early response: closing on unread input resets the connection at once
)
MAX_DISCARDED_BYTES = 256 * 1024


class ConnectionOwner(typing.Protocol):
    """What a connection needs of the server that accepted it."""

    iterations: LoopIterations
    counters: NodeCounters
    rules: RuleMonitor

    @property
    def draining(self) -> bool:
        """Whether every response closes its connection."""

    def now(self) -> float:
        """Monotonic time in seconds."""

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """A connection has been accepted."""

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """A connection is gone."""

    def update_eviction(self, connection: DownstreamConnection) -> None:
        """Queue the connection for eviction by its present priority, behind the others."""

    def eviction_priority_of(self, connection: DownstreamConnection) -> EvictionPriority | None:
        """The priority that the connection is queued with."""

    def reading_paused(self, connection: DownstreamConnection) -> None:
        """The connection is no longer read."""

    def reading_resumed(self, connection: DownstreamConnection) -> None:
        """The connection is read again."""

    def newcomer_grace_s(self) -> float:
        """For how long a connection that brought no request yet is spared when places are short."""

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Take a request; returns whether it is one for the servers.  HttpMessageError if it is invalid."""

    def release_body(self, slot: ResponseSlot) -> None:
        """The body of a request that is over no longer counts."""


class DownstreamConnection(asyncio.Protocol):
    """One connection of a client; responses go out in the order of the requests.

    Attributes:
        owner: the server that accepted it.
        waiting_since: when it was opened, last became idle, or last stopped reading (monotonic, seconds).
        answered: it has had a response.
    """

    def __init__(self, owner: ConnectionOwner, accepted_after: float = 0.0) -> None:
        self.owner = owner
        self.waiting_since = 0.0
        self.answered = False
        self._brought_request = False  # one for the servers that was accepted
        self._reader = HttpReader(self._on_request, requests=True)
        self._transport: asyncio.Transport | None = None
        self._slots: deque[ResponseSlot] = deque()
        self._input_ended = False  # its last request has come: what follows is discarded
        self._finished = False  # it has had its last response
        self._accepted_after = accepted_after
        self._arrived_at_s = 0.0  # what is being read has arrived after this time
        self._write_paused = False  # the client does not read what it is sent
        self._discarded_bytes = 0
        self._close_recorded = False
        self._last_input_at = 0.0
        self._linger_timer: asyncio.TimerHandle | None = None
        self._open_requests_timer: asyncio.TimerHandle | None = None

    # State.

    @property
    def client_socket(self) -> socket | None:
        """The connection's socket; None when it is closed."""
        return None if self._transport is None else self._transport.get_extra_info("socket")

    @property
    def finished(self) -> bool:
        """Whether its last response has been written, or the client has left."""
        return self._finished

    @property
    def is_reading(self) -> bool:
        """Whether the event loop reads from it."""
        return self._transport is not None and self._transport.is_reading()

    @property
    def is_receiving_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._reader.in_message

    def is_idle(self) -> bool:
        """Whether it is between requests: it may be closed, as clients resend a request that crosses that."""
        return not self._slots and not self._reader.in_message and not self._finished

    def must_close_after(self, slot: ResponseSlot) -> bool:
        """Whether it closes after this response, as the node drains.

        Nothing may follow a response that closes: with more requests behind it this one leaves it open.
        """
        return self.owner.draining and self._is_last(slot)

    def _is_last(self, slot: ResponseSlot) -> bool:
        return bool(self._slots) and self._slots[-1] is slot

    def is_busy(self) -> bool:
        """Whether a response, or a part of one, is still to be sent, or a request is arriving."""
        return (
            self.has_unsent_output() or bool(self._slots) or (self._reader.in_message and not self._finished)
        )

    def has_unsent_output(self) -> bool:
        """Whether something that was written has not been passed to the network yet."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def client_has_left(self) -> bool:
        """Whether the client's end has closed, seen past whatever it sent before and was not read."""
        return self._poll(select.POLLRDHUP)

    def has_unread_input(self) -> bool:
        """Whether something has arrived that will be read, and was not yet."""
        return not self._input_ended and self._poll(select.POLLIN)

    def _poll(self, event: int) -> bool:
        if self._transport is None or self._transport.is_closing():
            return False  # connection_lost reports these
        return poll_socket(self._transport.get_extra_info("socket").fileno(), event)

    # Eviction and timeouts.

    def eviction_priority(self) -> EvictionPriority | None:
        """How readily this may be closed to admit a new one; None while it has a request open."""
        if self._finished:
            return EvictionPriority.FINISHED
        if self.is_idle():
            return EvictionPriority.IDLE if self._brought_request else EvictionPriority.IDLE_UNUSED
        return None if self._slots else EvictionPriority.REQUEST_INCOMPLETE

    def is_evictable(self, now: float) -> bool:
        """Whether it may be closed right now: a request that lies unread counts as accepted."""
        if self._finished:
            return not self.has_unsent_output()
        waited_s = now - self.waiting_since
        if self.is_idle():
            # A client connects because it has a request.  In a burst of such clients each would evict the one
            # before it, whose request was on its way, while idle connections stayed that nobody used.
            may_go = self._brought_request or waited_s >= self.owner.newcomer_grace_s()
            return may_go and not self.has_unread_input()
        return waited_s > EVICTABLE_AFTER_S

    def evict(self) -> None:
        """Close: at once where the last response is out, else when what was written has been sent."""
        if self._finished:
            self.abort(CloseReason.EVICTED)
        else:
            self.close(CloseReason.EVICTED)

    def enforce_timeouts(self, now: float) -> None:
        """End what has been waited for long enough; to be called every REAP_INTERVAL_S."""
        waited_s = now - self.waiting_since
        if self._write_paused or self._finished:
            if waited_s > RESPONSE_READ_TIMEOUT_S:
                self.abort(CloseReason.RESPONSE_UNREAD)
        elif self._slots:
            return
        elif self._reader.in_message:
            timeout_s = REQUEST_TIMEOUT_S if self._brought_request else FIRST_REQUEST_TIMEOUT_S
            late_s = waited_s - timeout_s
            stalled = now - self._last_input_at > STALLED_REQUEST_TIMEOUT_S
            # Where the loop is late the rest of the request may lie unread: it gets one more interval.
            if late_s > REAP_INTERVAL_S or ((late_s > 0.0 or stalled) and not self.has_unread_input()):
                self._respond_early(408)
        else:
            timeout_s = IDLE_TIMEOUT_S if self._brought_request else UNUSED_IDLE_TIMEOUT_S
            if waited_s > timeout_s and not self.has_unread_input():
                self.close(CloseReason.IDLE if self._brought_request else CloseReason.UNUSED)

    # Requests in.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop for an accepted connection."""
        self._transport = typing.cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.waiting_since = self.owner.now()
        self.owner.iterations.mark_activity()
        self.owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with what has arrived."""
        if self._input_ended:
            # Reading on reveals when the client leaves, but megabytes are not worth reading for that.
            self._discarded_bytes += len(data)
            self._update_reading()
            return
        self._arrived_at_s = self.owner.iterations.earliest_arrival()
        if not self.answered and self._arrived_at_s <= self.waiting_since:
            # It may have come with the connection, and waited as long as that.
            self._arrived_at_s = self._accepted_after
        self._last_input_at = self.owner.now()
        if self.answered and self.is_idle():
            self.waiting_since = self._last_input_at
        try:
            self._reader.feed(data)
        except HttpMessageError as error:
            self._respond_early(error.status)
        except Exception:
            log.exception("request_read_failed")
            self._respond_early(500)
        self._update_reading()

    def _on_request(self, message: HttpMessage) -> None:
        slot = ResponseSlot(self, not message.keep_alive, self._arrived_at_s)
        self._slots.append(slot)
        if slot.close_after:
            self.end_input()
        try:
            if len(self._slots) > MAX_PIPELINED_REQUESTS:
                raise HttpMessageError(400, "too many pipelined requests")
            self._brought_request |= self.owner.route(message, slot)
        except HttpMessageError as error:
            self._respond_early(error.status, slot)
        except Exception:
            # A fault in one request must cost that request alone, and still be answered.
            log.exception("request_failed")
            slot.respond(500)

    def end_input(self) -> None:
        """Accept no further request: neither from what is being parsed nor from what arrives."""
        self._input_ended = True
        self._reader.stop()

    def eof_received(self) -> bool:
        """The client has closed: its requests end, but what was written before may still be sent."""
        self._finished = True
        self._abandon_requests()
        return False

    def end_after_client_left(self) -> None:
        """What eof_received does, where the end itself is not read."""
        self.eof_received()
        if self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop when the connection is gone."""
        self._transport = None
        for timer in (self._linger_timer, self._open_requests_timer):
            if timer is not None:
                timer.cancel()
        self.owner.connection_closed(self)
        self._abandon_requests()

    def _abandon_requests(self) -> None:
        """Nobody waits for the remaining requests."""
        slots, self._slots = self._slots, deque()
        for slot in slots:
            slot.abandon()

    def release_body(self, slot: ResponseSlot) -> None:
        """The body of a request that is over no longer counts."""
        self.owner.release_body(slot)

    # Responses out.

    def flush(self) -> None:
        """Send the responses that are due: in order, up to the first that is not known yet."""
        transport = self._transport
        while self._slots and self._slots[0].output is not None and transport is not None:
            slot = self._slots.popleft()
            assert slot.output is not None
            transport.write(slot.output)
            self.owner.counters.responses[slot.status] += 1
            self.waiting_since = self.owner.now()
            self.answered = True
            self.owner.update_eviction(self)
            if slot.close_after:
                self._finish()
                return
        self._update_reading()

    def _respond_early(self, status: int, slot: ResponseSlot | None = None) -> None:
        """Answer what cannot be accepted, behind what was accepted before, and close.

        Open requests have OPEN_REQUESTS_TIMEOUT_S for their responses; then they are answered alike, as the
        client is owed its error by then.
        """
        self.end_input()
        if self._finished:
            return
        if slot is None:
            slot = ResponseSlot(self, True)
            self._slots.append(slot)
        slot.close_after = True
        slot.respond(status)
        if self._slots:
            loop = asyncio.get_running_loop()
            self._open_requests_timer = loop.call_later(
                OPEN_REQUESTS_TIMEOUT_S, self._fail_open_requests, status
            )

    def _fail_open_requests(self, status: int) -> None:
        """Answer every request that is still open with this status, which also stands for the bad input."""
        if self._slots:
            self._slots.pop()
        if self._slots:
            self._slots[-1].close_after = True
        for slot in list(self._slots):
            slot.fail(status)

    def _finish(self) -> None:
        """Close after the last response, once the client has had the time to read it."""
        assert self._transport is not None
        self._finished = True
        self.owner.update_eviction(self)
        self.end_input()
        self._report_unanswered(CloseReason.LAST_RESPONSE)
        self._abandon_requests()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        loop = asyncio.get_running_loop()
        self._linger_timer = loop.call_later(LINGER_S, self.abort_when_sent)

    def abort_when_sent(self) -> None:
        """Close, or wait on if the last response has not been sent by now: to abort would cut it off."""
        if self.has_unsent_output():
            self._linger()
        else:
            self.abort(CloseReason.LAST_RESPONSE)

    def abort(self, reason: CloseReason) -> None:
        """Close at once; what has not been sent is dropped."""
        self._record_close(reason)
        if self._transport is not None:
            self._transport.abort()

    def close(self, reason: CloseReason) -> None:
        """Close when what was written has been sent."""
        self._record_close(reason)
        self._finished = True
        if self._transport is not None:
            self._transport.close()

    def _record_close(self, reason: CloseReason) -> None:
        """Count the close, which must leave no request without a response; a connection is closed once."""
        if self._close_recorded or self._transport is None or self._transport.is_closing():
            return
        self._close_recorded = True
        self.owner.counters.closed[reason] += 1
        self._report_unanswered(reason)

    def _report_unanswered(self, reason: CloseReason) -> None:
        for slot in self._slots:
            if slot.output is None and not slot.abandoned:
                self.owner.rules.report(Rule.CLOSED_UNANSWERED, reason=reason.value)

    # Backpressure.

    def pause_writing(self) -> None:
        """Called by the event loop when the client does not read what it is sent."""
        self._write_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Called by the event loop when the client reads again."""
        self._write_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Read only as long as responses can be sent: bounds what one client can make the node hold."""
        if self.owner.eviction_priority_of(self) != self.eviction_priority():
            self.owner.update_eviction(self)
        if self._transport is None or self._transport.is_closing():
            return
        if (
            self._write_paused
            or self._discarded_bytes > MAX_DISCARDED_BYTES
            or len(self._slots) >= PAUSE_READING_AT
        ):
            self._transport.pause_reading()
            self.owner.reading_paused(self)
        elif not self._transport.is_reading():
            self._transport.resume_reading()
            self.owner.reading_resumed(self)
