"""Handles a client's request from its acceptance until its single response."""

from __future__ import annotations

import asyncio
import logging
import time

from load_balancer.actions import FailRequest, RejectRequest
from load_balancer.events import Outcome, RequestAbandoned, RequestArrived, RequestId
from load_balancer.proxy.downstream.request_parsing import ParsedRequest
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.event_loop.clock import Clock
from load_balancer.proxy.http.headers import CONTENT_TYPE, REQUEST_ID
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError
from load_balancer.proxy.http.rendering import render_request_head
from load_balancer.proxy.lifecycle.shutdown_deadline import ShutdownDeadline
from load_balancer.proxy.observability.counters import NodeCounters
from load_balancer.proxy.observability.rule_monitor import Rule, RuleMonitor
from load_balancer.proxy.policy_driver import PolicyDriver
from load_balancer.proxy.request_guard import RequestGuard
from load_balancer.proxy.request_table import PendingRequest, RequestTable
from load_balancer.settings import Settings

log = logging.getLogger(__name__)

# The reserve: the time that is subtracted from a request's budget, because the network and a busy processor
# cause delays and the client's deadline counts from the moment at which the client sends the request.
BUDGET_RESERVE_MS = 25.0
MAX_RESERVE_FRACTION = 0.2  # the reserve is at most this fraction of the client's budget
# A request's budget in the policy is roughly the client's budget less BUDGET_RESERVE_MS; see _budget_ms().
# If the policy has not ended the request by the end of the budget in the policy, the node itself answers the
# request this much later.  The client's deadline is normally later still, because the reserve is longer than
# this delay.  If the client's budget is very short, MAX_RESERVE_FRACTION can make the reserve shorter.
DEADLINE_TIMER_MS = 10.0


class RequestHandler:
    """Accepts requests, reports them to the policy and sends one response to each of them."""

    def __init__(
        self,
        settings: Settings,
        host: bytes,
        table: RequestTable,
        driver: PolicyDriver,
        clock: Clock,
        counters: NodeCounters,
        rules: RuleMonitor,
        shutdown_deadline: ShutdownDeadline,
    ) -> None:
        """Create a handler that uses these parts of the node.

        Args:
            settings: the settings of the node.
            host: the value of the Host header of forwarded requests.
            table: the open requests.
            driver: receives the events.
            clock: the node's clock.
            counters: counts accepted, abandoned and finished requests.
            rules: records the rejections that the request's guard does not allow.
            shutdown_deadline: limits the budgets of requests during a shutdown.
        """
        self._settings = settings
        self._host = host
        self._table = table
        self._driver = driver
        self._clock = clock
        self._counters = counters
        self._rules = rules
        self._shutdown_deadline = shutdown_deadline

    # Acceptance.

    def accept(self, parsed: ParsedRequest, slot: ResponseSlot) -> None:
        """Accept a valid request, whose client must then get exactly one response.

        Raises:
            HttpMessageError: a request with the same id is open, or may have run and must not run again.
        """
        client_id = parsed.message.headers[REQUEST_ID]
        if self._table.is_reserved(client_id):
            # An endpoint could not distinguish two requests with the same id and might confuse their results.
            raise HttpMessageError(409, "a request with this id is open")
        if self._table.may_have_run(client_id):
            raise HttpMessageError(409, "a request with this id may have run")
        self._table.reserve(client_id)
        now = self._clock.now()
        request_id = self._table.next_id()
        budget_ms = self._budget_ms(parsed, slot)
        self._table.add(request_id, self._create_request(request_id, parsed, slot, now, budget_ms))
        self._counters.accepted += 1
        slot.on_abandoned = lambda: self._abandon(request_id)
        self._driver.handle_event(
            RequestArrived(
                request_id,
                parsed.class_index,
                budget_ms,
                parsed.tenant,
                parsed.key,
                parsed.cost_hint_ms,
                parsed.is_retry,
            )
        )

    def _budget_ms(self, parsed: ParsedRequest, slot: ResponseSlot) -> float:
        """Return how many milliseconds the policy has to end the request.

        The client's budget counts from the arrival of the request.  A busy event loop reads the request some
        time after its arrival, so the time since the arrival is subtracted.  The reserve for delays is also
        subtracted; see BUDGET_RESERVE_MS.
        """
        elapsed_ms = 1000.0 * (time.monotonic() - slot.arrived_at_s)
        budget_ms = self._shutdown_deadline.limit_budget(parsed.budget_ms - elapsed_ms)
        reserve_ms = min(BUDGET_RESERVE_MS, MAX_RESERVE_FRACTION * parsed.budget_ms)
        return max(1.0, budget_ms - reserve_ms)

    def _create_request(
        self, request_id: RequestId, parsed: ParsedRequest, slot: ResponseSlot, now: float, budget_ms: float
    ) -> PendingRequest:
        timer = asyncio.get_running_loop().call_later(
            (budget_ms + DEADLINE_TIMER_MS) / 1000.0, self._on_deadline, request_id
        )
        head = render_request_head(parsed.message, self._host)
        guard = RequestGuard(self._settings, parsed.class_index)
        return PendingRequest(parsed.message, slot, now + budget_ms, timer, head, guard)

    # Responses.

    def finish_with_response(self, request_id: RequestId, response: HttpMessage) -> PendingRequest | None:
        """Send an endpoint's response to the client.

        The caller must report the attempt's outcome to the policy and then call withdraw_unsent().

        Returns:
            The request, or None if it had already finished.
        """
        request = self._finish(request_id)
        if request is not None:
            content_type = response.headers.get(CONTENT_TYPE)
            extra_headers = b"Content-Type: %s\r\n" % content_type if content_type else b""
            request.slot.respond(200, response.body, extra_headers)
        return request

    def reject(self, action: RejectRequest) -> None:
        """Reject a request with 503, which allows a retry; fail it with 502 if a retry is not safe."""
        self._counters.finished[action.reason] += 1
        request = self._table.get(action.request_id)
        if request is not None and not request.guard.may_reject():
            self._rules.report(Rule.REJECTED_AFTER_RUN, request=request.client_id.decode())
            self._respond(action.request_id, 502)
            return
        after_s = action.retry_after_ms / 1000.0
        self._respond(
            action.request_id, 503, extra_headers=b"Retry-After: %.3f\r\n" % after_s if after_s else b""
        )

    def fail(self, action: FailRequest) -> None:
        """Fail a request with 502, which does not tell its client whether the request was executed."""
        self._counters.finished[action.reason] += 1
        self._respond(action.request_id, 502)

    def respond_fault(self, request_id: RequestId) -> None:
        """Answer a request with 500 if it is open, and report to the policy that it has ended."""
        if request_id in self._table:
            self._respond(request_id, 500)
            self._driver.handle_event(RequestAbandoned(request_id))

    def fail_open_requests(self) -> None:
        """Answer every open request with 500."""
        for request_id in self._table.open_ids:
            self.respond_fault(request_id)

    def _respond(self, request_id: RequestId, status: int, extra_headers: bytes = b"") -> None:
        request = self._finish(request_id)
        if request is not None:
            request.slot.respond(status, extra_headers=extra_headers)
            self.withdraw_unsent(request_id, request)

    def _on_deadline(self, request_id: RequestId) -> None:
        """Answer a request that the policy has not answered by the end of the request's budget.

        The client's deadline has normally not passed yet; see DEADLINE_TIMER_MS.
        """
        log.error("response_deadline_missed request=%d", request_id)
        self.respond_fault(request_id)

    # Ending requests.

    def _abandon(self, request_id: RequestId) -> None:
        """End a request whose client has left."""
        request = self._finish(request_id)
        if request is not None:
            self._counters.abandoned += 1
            self._driver.handle_event(RequestAbandoned(request_id))
            self.withdraw_unsent(request_id, request)

    def _finish(self, request_id: RequestId) -> PendingRequest | None:
        """Remove a request from the table and return it, or return None if it has already finished.

        While the policy decides, it may not have been told yet that the request has ended, and may still
        start an attempt.  The table remembers the request for that case.
        """
        return self._table.finish(request_id, remember=self._driver.is_deciding)

    def withdraw_unsent(self, request_id: RequestId, request: PendingRequest) -> None:
        """Cancel the attempts of a finished request that have not been written.

        This is allowed even if the settings forbid the policy to cancel attempts, because no endpoint has
        received these attempts.  If a connection is being opened for a withdrawn attempt, the connection is
        kept for other requests once it is established.
        """
        for attempt in self._table.attempts_of(request_id, request):
            if not attempt.written:
                attempt.cancel(Outcome.NOT_SENT)
