"""A client connection, which reads pipelined requests and writes their responses in the same order."""

from __future__ import annotations

import asyncio
import logging

from load_balancer.proxy.downstream.arrival_bound import ArrivalBound
from load_balancer.proxy.downstream.client_transport import ClientTransport
from load_balancer.proxy.downstream.connection_owner import ConnectionOwner
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
from load_balancer.proxy.downstream.input_pacer import BULK_READ_BYTES
from load_balancer.proxy.downstream.request_input import RequestInput
from load_balancer.proxy.downstream.response_queue import ResponseQueue
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError
from load_balancer.proxy.observability.counters import CloseReason
from load_balancer.proxy.observability.rule_monitor import Rule

log = logging.getLogger(__name__)

# The maximum number of open requests on one connection.  Clients usually have one open request.
MAX_PIPELINED_REQUESTS = 16
# With this many open requests the connection is not read.  Further input waits in the socket buffers.
PAUSE_READING_AT = 2
# The error response to invalid input waits at most this long for the responses to the earlier requests that
# are still open.  After this time those requests get the same error status.
OPEN_REQUESTS_TIMEOUT_S = 2.25
# The time between the last response and the close, in which the client can read the response.  A close with
# unread input resets the connection at once, so the client might not receive the response.
LINGER_S = 0.5
# After this much input has been read and discarded, the connection is not read any more.
MAX_DISCARDED_BYTES = 256 * 1024


class DownstreamConnection(asyncio.BufferedProtocol):
    """A client connection, which sends its responses in the order of the requests.

    ``ConnectionState`` lists the states of a connection and their transitions.  Three flags are independent
    of the state:

    * ``answered`` and ``received_api_request`` are also independent of each other.  Only ``answered`` is set
      if all responses so far were to readiness checks or to invalid input.  Only ``received_api_request`` is
      set while the first accepted request waits for its response.  Neither flag is ever reset.
    * ``write_paused`` is set and reset by the event loop in any state, but only after a response has been
      written.

    Attributes:
        owner: the server that accepted the connection.
        transport: the transport of the connection.
        state: whether the connection accepts requests, only sends responses, or has finished.
        waiting_since: the start of the current wait (monotonic, seconds).  This is the time at which the
            connection was opened, the last response was written, or, once the connection has sent a
            response, the first input of the next request was read, whichever is latest.
        last_input_at: when input was last read (monotonic, seconds).
        answered: whether a response has been written to the connection.
        received_api_request: whether a valid request under /api has been read from the connection.
        write_paused: whether writing is paused because the client does not read the output fast enough.
    """

    __slots__ = (
        "_arrival",
        "_discarded_bytes",
        "_input",
        "_linger_timer",
        "_open_requests_timer",
        "_responses",
        "_waits_for_turn",
        "answered",
        "last_input_at",
        "owner",
        "received_api_request",
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
        self.received_api_request = False
        self.write_paused = False
        self._input = RequestInput()
        self._responses = ResponseQueue()
        self._arrival = ArrivalBound(owner.iterations, accepted_after)
        self._waits_for_turn = False
        self._discarded_bytes = 0
        self._linger_timer: asyncio.TimerHandle | None = None
        self._open_requests_timer: asyncio.TimerHandle | None = None

    # State.

    @property
    def phase(self) -> ConnectionPhase:
        """What the connection is waiting for."""
        if self.state is FINISHED:
            return CLOSING
        if self._responses:
            return RESPONSE_DUE
        return RECEIVING if self._input.in_request else IDLE

    def is_busy(self) -> bool:
        """Return whether output is unsent, a response is due, or a part of a request has been read."""
        return self.transport.has_unsent_output() or bool(self._responses) or self.phase is RECEIVING

    def has_unread_input(self) -> bool:
        """Return whether input waits to be read or parsed while the connection still accepts requests."""
        if self.state is not ACCEPTING_REQUESTS:
            return False
        return self._input.has_unparsed or self.transport.has_unread_input()

    def may_close_after(self, slot: ResponseSlot) -> bool:
        """Return whether the connection may close after the response in this slot.

        No response can follow a response that closes the connection.  So the connection stays open if later
        requests on it are open, or if input has arrived that may contain such requests.
        """
        return self._responses.is_last(slot) and not self.has_unread_input()

    def must_close_after(self, slot: ResponseSlot) -> bool:
        """Return whether draining requires the connection to close after the response in this slot."""
        return self.owner.draining and self.may_close_after(slot)

    # Reading requests.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection; called by the event loop."""
        self.transport.attach(transport)
        self.waiting_since = self.owner.now()
        self.owner.iterations.mark_activity()
        self.owner.connection_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next piece of input; called by the event loop."""
        return self.owner.pacer.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle a piece of input in the buffer; called by the event loop."""
        if nbytes >= BULK_READ_BYTES:
            self._wait_for_turn()
        if self.state is ACCEPTING_REQUESTS:
            self._record_input()
            self._input.keep(bytes(self.owner.pacer.read_buffer[:nbytes]))
            if self.owner.pacer.may_handle_now():
                self._parse_request()
            else:
                self._wait_for_turn()
        else:
            # The input is read only to detect a close by the client, and only up to MAX_DISCARDED_BYTES.
            self._discarded_bytes += nbytes
        self._update_reading()

    def _wait_for_turn(self) -> None:
        self._waits_for_turn = True
        self.owner.pacer.wait_for_turn(self)

    def continue_reading(self) -> None:
        """Parse the next request of the input that was read, or else read more input; called by the pacer."""
        self._waits_for_turn = False
        if self._input.has_unparsed and not self.write_paused:
            self._parse_request()
        self._update_reading()

    def _record_input(self) -> None:
        self._arrival.record_input()
        if not self.answered:
            self._arrival.extend_to_backlog(self.waiting_since)
        self.last_input_at = self.owner.now()
        if self.answered and self.phase is IDLE:
            self.waiting_since = self.last_input_at

    def _parse_request(self) -> None:
        """Parse input up to the end of one request, and accept it; the rest waits for a turn."""
        parsed = self._input.parse_request()
        for message in parsed.requests:
            if self.state is ACCEPTING_REQUESTS:
                self._accept(message)
        if parsed.error_status:
            self.respond_with_error(parsed.error_status)
        if self.state is ACCEPTING_REQUESTS:
            if self._input.has_unparsed:
                self._wait_for_turn()
            self.owner.memory.set_incomplete(self, self._input.held_bytes)
            self.owner.shed_incomplete_requests()

    def _accept(self, message: HttpMessage) -> None:
        slot = ResponseSlot(self, not message.keep_alive, self._arrival.earliest_s)
        self._responses.append(slot)
        if slot.close_after:
            self.end_input()
        try:
            if len(self._responses) > MAX_PIPELINED_REQUESTS:
                raise HttpMessageError(400, "too many pipelined requests")
            self.received_api_request |= self.owner.route(message, slot)
        except HttpMessageError as error:
            self.respond_with_error(error.status, slot)
        except Exception:
            # An unexpected error must affect only this request, and the request must still get a response.
            log.exception("request_failed")
            slot.respond(500)

    def end_input(self) -> None:
        """Accept no further request, either from the input that is being parsed or from later input."""
        if self.state is ACCEPTING_REQUESTS:
            self.state = INPUT_ENDED
        self._input.stop()

    def eof_received(self) -> bool:
        """End all requests of the connection after the client has closed its side; called by the event loop.

        Returns:
            False, which makes the event loop close the connection once all written output has been sent.
        """
        self._end_requests()
        return False

    def end_after_client_left(self) -> None:
        """End all requests and close the connection after a poll has found that the client has left.

        A poll for an attempt may run while the input of the connection is being parsed.  The requests that
        follow in this input are not read, because nobody waits for their responses either.
        """
        self._end_requests()
        self.transport.close()

    def _end_requests(self) -> None:
        """Read no further request, and abandon those that are open, because the client has left."""
        self.state = FINISHED
        self._input.stop()
        self._responses.abandon_all()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection is closed or lost; called by the event loop."""
        self.transport.detach()
        for timer in (self._linger_timer, self._open_requests_timer):
            if timer is not None:
                timer.cancel()
        self.owner.connection_closed(self)
        self._responses.abandon_all()
        self._input.close()

    def release_memory(self, slot: ResponseSlot) -> None:
        """Stop counting the request of this slot towards the limit on memory."""
        self.owner.release_memory(slot)

    # Sending responses.

    def flush(self) -> None:
        """Send the available responses in order, up to the first request that has no response yet.

        No response is sent after a response that closes the connection.
        """
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
        if self.write_paused:
            self._count_unread_output()
        self._update_reading()

    def respond_with_error(
        self, status: int, slot: ResponseSlot | None = None, extra_headers: bytes = b""
    ) -> None:
        """Send an error response to invalid input or to an overdue request, and close the connection.

        The error response follows the responses to the earlier requests.  Earlier requests that are still
        open have OPEN_REQUESTS_TIMEOUT_S for their responses.  After this time they are answered with the
        same error status, because the protocol limits the time until the error response.

        Args:
            status: the status code of the error response.
            slot: the slot of the invalid request, or None if no complete request was read.
            extra_headers: further header lines of the response, each ending with CRLF.
        """
        self.end_input()
        self._input.discard_request()
        self.owner.memory.set_incomplete(self, 0)
        if self.state is FINISHED:
            return
        if slot is None:
            slot = ResponseSlot(self, True)
            self._responses.append(slot)
        slot.close_after = True
        slot.respond(status, extra_headers=extra_headers)
        if self._responses:
            self._open_requests_timer = asyncio.get_running_loop().call_later(
                OPEN_REQUESTS_TIMEOUT_S, self._responses.fail_open_requests, status
            )

    def refuse_incomplete_request(self, status: int, extra_headers: bytes) -> None:
        """Drop what has been read of a request that is not complete, to free its memory.

        If its head is complete, the rest of its body is still read, so that it is answered when it is
        complete and requests behind it can be read.  Otherwise it is answered now, and the connection closes.
        """
        if self.state is ACCEPTING_REQUESTS and self._input.in_body:
            self._input.drop_content()
            self.owner.memory.set_incomplete(self, 0)
        else:
            self.respond_with_error(status, extra_headers=extra_headers)

    def _finish(self) -> None:
        """Start to close the connection after its last response has been written.

        The client has LINGER_S to read the response before the connection is aborted.
        """
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
        """Abort the connection if its last response has been sent; otherwise wait LINGER_S again."""
        if self.transport.has_unsent_output():
            self._linger()  # An abort would discard the unsent part.
        else:
            self.abort(CloseReason.LAST_RESPONSE)

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and discard output that has not been sent."""
        self._record_close(reason)
        self.transport.abort()

    def close(self, reason: CloseReason) -> None:
        """Close the connection once all written output has been sent."""
        self._record_close(reason)
        self.state = FINISHED
        self.transport.close()

    def _record_close(self, reason: CloseReason) -> None:
        """Count the close by its reason and report unanswered requests.

        Do nothing if the connection is already closing or lost.
        """
        if self.transport.is_open:
            self.owner.counters.closed[reason] += 1
            self._report_unanswered(reason)

    def _report_unanswered(self, reason: CloseReason) -> None:
        """Report a rule violation for each request that the close leaves without a response."""
        for _ in range(self._responses.count_unanswered()):
            self.owner.rules.report(Rule.CLOSED_UNANSWERED, reason=reason.value)

    # Backpressure.

    def pause_writing(self) -> None:
        """Pause reading while the client does not read its responses; called by the event loop."""
        self.write_paused = True
        self._count_unread_output()
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading when the client reads its responses again; called by the event loop."""
        self.write_paused = False
        self._count_unread_output()
        if self._input.has_unparsed:
            self._wait_for_turn()
        self._update_reading()

    def _count_unread_output(self) -> None:
        self.owner.memory.set_unread(self, self.transport.unsent_bytes() if self.write_paused else 0)

    def _update_reading(self) -> None:
        """Pause or resume reading, to limit the memory that one client can use.

        Reading pauses while the client does not read its responses, while PAUSE_READING_AT requests are open,
        after MAX_DISCARDED_BYTES of discarded input, and while input waits for its turn.  This method
        also updates the position of the connection in the eviction queues.
        """
        self.owner.table.refresh_eviction(self)
        if not self.transport.is_open:
            return
        if (
            self.write_paused
            or self._waits_for_turn
            or self._input.has_unparsed
            or self._discarded_bytes > MAX_DISCARDED_BYTES
            or len(self._responses) >= PAUSE_READING_AT
        ):
            self._pause_reading()
        elif not self.transport.is_reading:
            self._resume_reading()

    def _pause_reading(self) -> None:
        if self.transport.is_reading:
            self._arrival.pause(has_unread_input=self.transport.has_unread_input())
            self.transport.pause_reading()
            self.owner.reading_paused(self)

    def _resume_reading(self) -> None:
        self._arrival.resume(has_unread_input=self.transport.has_unread_input())
        self.transport.resume_reading()
        self.owner.reading_resumed(self)
