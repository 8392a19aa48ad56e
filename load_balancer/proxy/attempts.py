"""Starts the attempts of requests, checks each of them right before it is written, and reports outcomes."""

from __future__ import annotations

from load_balancer.actions import CancelAttempt, SendAttempt
from load_balancer.events import AttemptEnded, Outcome
from load_balancer.proxy.event_loop.clock import Clock
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.observability.counters import NodeCounters
from load_balancer.proxy.observability.rule_monitor import Rule, RuleMonitor
from load_balancer.proxy.policy_driver import PolicyDriver
from load_balancer.proxy.request_handler import RequestHandler
from load_balancer.proxy.request_table import Attempt, PendingRequest, RequestTable
from load_balancer.proxy.upstream.pools import UpstreamPools
from load_balancer.proxy.upstream.request import OutboundRequest


class OutboundAttempt(OutboundRequest):
    """One attempt of a client's request, as it is sent to an endpoint."""

    __slots__ = ("_attempt", "_request", "_sender")

    def __init__(self, sender: AttemptSender, attempt: Attempt, request: PendingRequest) -> None:
        self._sender = sender
        self._attempt = attempt
        self._request = request

    def render(self, seconds_left: float) -> bytes:
        """Return the bytes of the client's request; its X-Deadline header contains the remaining seconds."""
        request = self._request
        return b"%sX-Deadline: %.3f\r\n\r\n%s" % (request.head, seconds_left, request.message.body)

    def is_wanted(self) -> bool:
        """Return whether the client is still connected."""
        return not self._request.slot.client_has_left()

    def may_write(self, *, to_listed_process: bool) -> bool:
        """Check the attempt right before it is written, and record it as written if the check passes.

        Args:
            to_listed_process: whether the connection leads to the process that is listed.

        Returns:
            Whether the attempt may be written.
        """
        return self._sender.may_write(self._attempt, self._request, to_listed_process)

    def on_end(self, outcome: Outcome, response: HttpMessage | None) -> None:
        """Report the outcome to the AttemptSender."""
        self._sender.on_attempt_ended(self._attempt, self._request, outcome, response)


class AttemptSender:
    """Sends the attempts that the policy decides on."""

    def __init__(
        self,
        table: RequestTable,
        requests: RequestHandler,
        pools: UpstreamPools,
        driver: PolicyDriver,
        clock: Clock,
        counters: NodeCounters,
        rules: RuleMonitor,
    ) -> None:
        """Create a sender that uses these parts of the node.

        Args:
            table: the open requests and the attempts in flight.
            requests: sends the responses to clients.
            pools: the connections to endpoints.
            driver: receives the events.
            clock: the node's clock.
            counters: counts the outcomes of attempts and the attempts that are written or withheld.
            rules: records the rule violations that the check right before a write prevents.
        """
        self._table = table
        self._requests = requests
        self._pools = pools
        self._driver = driver
        self._clock = clock
        self._counters = counters
        self._rules = rules

    def send(self, action: SendAttempt) -> None:
        """Start an attempt.

        The attempt ends at once with NOT_SENT if the request has finished, its client has left, or no time is
        left for it.
        """
        request = self._table.get(action.request_id)
        if request is None or request.slot.client_has_left():
            self._skip(action)
            return
        started_ms = self._clock.now()
        attempt = Attempt(action.request_id, request.attempt_count, action.endpoint_id, started_ms)
        request.attempt_count += 1
        remaining_ms = request.deadline_ms - started_ms
        if remaining_ms <= 0.0:
            self._report_not_sent(attempt, finished=False)
            return
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms > 0 else remaining_ms
        self._start(attempt, request, timeout_ms)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is in flight."""
        attempt = self._table.get_attempt(action.request_id, action.attempt_number)
        if attempt is not None:
            attempt.cancel(Outcome.CANCELLED)

    def _skip(self, action: SendAttempt) -> None:
        """Report an attempt of a finished request as not sent.

        The policy decided on the attempt before it was told that the request had ended.
        """
        request = self._table.finished(action.request_id)
        number = request.attempt_count
        request.attempt_count += 1
        attempt = Attempt(action.request_id, number, action.endpoint_id, self._clock.now())
        self._report_not_sent(attempt, finished=True)

    def _report_not_sent(self, attempt: Attempt, *, finished: bool) -> None:
        self._driver.handle_event(
            AttemptEnded(
                attempt.request_id, attempt.number, attempt.endpoint_id, Outcome.NOT_SENT, 0.0, finished
            )
        )

    def _start(self, attempt: Attempt, request: PendingRequest, timeout_ms: float) -> None:
        self._table.reserve(request.client_id)
        upstream_request = self._pools.start_request(
            attempt.endpoint_id, OutboundAttempt(self, attempt, request), timeout_ms / 1000.0
        )
        self._table.add_attempt(attempt, upstream_request)

    def may_write(self, attempt: Attempt, request: PendingRequest, to_listed_process: bool) -> bool:
        """Check an attempt right before it is written, and record it as written if the check passes.

        Args:
            attempt: the attempt.
            request: the request of the attempt.
            to_listed_process: whether the connection leads to the process that is listed.

        Returns:
            Whether the attempt may be written.
        """
        now_ms = self._clock.now()
        endpoint = self._pools.serving_endpoint(attempt.endpoint_id)
        rule = request.guard.check_write(endpoint, now_ms, to_listed_process=to_listed_process)
        if attempt.request_id not in self._table:
            rule = Rule.FINISHED
        if rule is Rule.OUTSIDE_WINDOW or rule is Rule.UNKNOWN_PROCESS:
            # This is not a fault of the policy: because of a delay on the node's own machine, the connection
            # was established only after the deduplication window had ended, or the policy does not know to
            # which process it was established.
            self._counters.withheld += 1
            return False
        if rule is not None or endpoint is None:
            fields = {"request": request.client_id.decode(), "endpoint": attempt.endpoint_id.decode()}
            self._rules.report(rule or Rule.NOT_SERVING, attempt=attempt.number, **fields)
            return False
        request.guard.record_write(attempt.number, endpoint, now_ms)
        self._counters.written += 1
        return True

    def on_attempt_ended(
        self, attempt: Attempt, request: PendingRequest, outcome: Outcome, response: HttpMessage | None
    ) -> None:
        """Send the response to the client, if there is one, and then report the outcome to the policy.

        The response is sent only if the request is still open.
        """
        self._counters.outcomes[outcome] += 1
        request.guard.record_outcome(attempt.number, outcome)
        self._table.release(request)
        request_id = attempt.request_id
        self._table.remove_attempt(attempt)
        served: PendingRequest | None = None
        if outcome is Outcome.OK and response is not None:
            served = self._requests.finish_with_response(request_id, response)
        elapsed_ms = self._clock.now() - attempt.started_ms
        finished = request_id not in self._table
        self._driver.handle_event(
            AttemptEnded(request_id, attempt.number, attempt.endpoint_id, outcome, elapsed_ms, finished)
        )
        if served is not None:
            # Cancel the unsent attempts only after the event has been handled.  The policy is then told the
            # outcome that ended the request before it is told the outcomes of the cancelled attempts.
            self._requests.withdraw_unsent(request_id, served)
