"""The core of a node: the request table, the clock, and the only caller of the policy.

Every decision is the policy's.  The node turns what happens on sockets into events for it, one at a time and
in order, and carries out its actions.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from typing import Protocol

from load_balancer.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogEvent,
    PollEndpointList,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
    Event,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    RequestId,
    TimerFired,
)
from load_balancer.policy.balancer import Balancer
from load_balancer.proxy.configuration import NodeConfiguration
from load_balancer.proxy.descriptors import divide_descriptors
from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing
from load_balancer.proxy.downstream.request_parsing import ParsedRequest, RequestParser
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.downstream.server import DownstreamServer
from load_balancer.proxy.event_loop.clock import Clock
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.event_loop.timer_group import TimerGroup
from load_balancer.proxy.http.headers import CONTENT_TYPE, REQUEST_ID
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError
from load_balancer.proxy.http.rendering import render_request_head
from load_balancer.proxy.lifecycle.configuration_reload import ConfigurationReload
from load_balancer.proxy.lifecycle.graceful_shutdown import GracefulShutdown
from load_balancer.proxy.lifecycle.readiness import Readiness
from load_balancer.proxy.lifecycle.shutdown_deadline import ShutdownDeadline
from load_balancer.proxy.lifecycle.signals import handle_signals
from load_balancer.proxy.observability.counters import CounterReport, NodeCounters
from load_balancer.proxy.observability.rule_monitor import Rule, RuleMonitor
from load_balancer.proxy.request_guard import RequestGuard
from load_balancer.proxy.request_table import Attempt, PendingRequest, RequestTable
from load_balancer.proxy.upstream.health_checks import HealthChecker
from load_balancer.proxy.upstream.pools import UpstreamPools
from load_balancer.proxy.upstream.request import OutboundRequest

log = logging.getLogger(__name__)

# A client's time counts from when it sends, so the last of it goes to the network and a busy core.
BUDGET_RESERVE_MS = 25.0
MAX_RESERVE_FRACTION = 0.2  # of a short budget
DEADLINE_TIMER_MS = 10.0  # after the budget's end, within the reserve: the policy must have answered by then
# Of the time between polls of the endpoint list: a poll has failed before the next one is made.
POLL_TIMEOUT_FRACTION = 0.4
BODY_MEMORY_FRACTION = 0.25  # of the memory, for the bodies of open requests; as much again may be in buffers


class Policy(Protocol):
    """What makes the decisions."""

    def handle(self, event: Event, now: float, /) -> list[Action]:
        """The actions that follow from one event; now is in milliseconds on the node's clock."""


class _OutboundAttempt(OutboundRequest):
    """One attempt of a client's request, as it is sent to an endpoint."""

    __slots__ = ("_attempt", "_node", "_request")

    def __init__(self, node: Node, attempt: Attempt, request: PendingRequest) -> None:
        self._node = node
        self._attempt = attempt
        self._request = request

    def render(self, seconds_left: float) -> bytes:
        """The client's request with the time that the endpoint has left for it."""
        request = self._request
        return b"%sX-Deadline: %.3f\r\n\r\n%s" % (request.head, seconds_left, request.message.body)

    def is_wanted(self) -> bool:
        """Whether the client is still connected."""
        return not self._request.slot.client_has_left()

    def may_write(self) -> bool:
        """Whether the last check allows the attempt."""
        return self._node.may_write(self._attempt, self._request)

    def on_end(self, outcome: Outcome, response: HttpMessage | None) -> None:
        """Hand the outcome to the node."""
        self._node.on_attempt_ended(self._attempt, self._request, outcome, response)


class Node:
    """One real node."""

    def __init__(self, config: NodeConfiguration, policy: Policy | None = None) -> None:
        """Connect the parts; a policy takes the place of the usual Balancer."""
        settings = config.settings
        self._config = config
        self._policy: Policy = Balancer(settings, config.seed) if policy is None else policy
        self._clock = Clock()
        self._iterations = LoopIterations()
        self._events: deque[Event] = deque()
        self._handling = False
        self._requests = RequestTable()
        self._policy_timers = TimerGroup()
        self._counters = NodeCounters()
        self._rules = RuleMonitor()
        self._counter_report = CounterReport(self._counters, self._rules)
        self._host = b"%s:%d" % (config.listen[0].encode(), config.listen[1])
        self._stopped = asyncio.Event()
        shares = divide_descriptors(config.limits.sockets)
        self._pools = UpstreamPools(
            connect_timeout_s=settings.connect_timeout_ms / 1000.0,
            endpoint_idle_s=config.connection_idle_ms / 1000.0,
            max_open=shares.upstream,
        )
        self._health_checker = HealthChecker(self._pools, self._clock, self._host, self.handle_event)
        self._discovery = self._create_discovery()
        self._reload = ConfigurationReload(config, self._discovery)
        self._downstream = self._create_downstream(shares.downstream)
        self._shutdown = GracefulShutdown(
            self._downstream,
            ShutdownDeadline(max(c.deadline_ms for c in settings.classes) / 1000.0),
            fail_open_requests=self._fail_open_requests,
            stop=self.stop,
        )

    def _create_discovery(self) -> EndpointDiscovery:
        settings = self._config.settings
        return EndpointDiscovery(
            self._config.discovery,
            self._config.listing_reader,
            pushed=not settings.poll_endpoint_list,
            poll_timeout_s=POLL_TIMEOUT_FRACTION * settings.poll_within_ms / 1000.0,
            drain_grace_s=settings.drain_grace_ms / 1000.0,
            on_listing=self._update_endpoints,
            on_failure=lambda: self.handle_event(EndpointListUpdate(EndpointListKind.FAILED)),
        )

    def _create_downstream(self, max_connections: int) -> DownstreamServer:
        settings = self._config.settings
        lists_are_pushed = not settings.poll_endpoint_list
        readiness = Readiness(self._pools, self._discovery, lists_are_pushed=lists_are_pushed)
        return DownstreamServer(
            RequestParser(settings),
            self._accept_request,
            readiness.is_ready,
            self._iterations,
            self._counters,
            self._rules,
            max_connections=max_connections,
            max_body_bytes=int(BODY_MEMORY_FRACTION * self._config.limits.memory_mb * 1_000_000),
        )

    # What the node is made of, for inspection.

    @property
    def config(self) -> NodeConfiguration:
        """The configuration that the node was started with."""
        return self._config

    @property
    def policy(self) -> Policy:
        """What makes the decisions."""
        return self._policy

    @property
    def requests(self) -> RequestTable:
        """The open requests and the attempts in flight."""
        return self._requests

    @property
    def downstream(self) -> DownstreamServer:
        """The client side."""
        return self._downstream

    @property
    def discovery(self) -> EndpointDiscovery:
        """The source of the endpoint list."""
        return self._discovery

    @property
    def shutdown(self) -> GracefulShutdown:
        """What ends the node after SIGTERM."""
        return self._shutdown

    @property
    def counters(self) -> NodeCounters:
        """What the node has done so far."""
        return self._counters

    @property
    def rules(self) -> RuleMonitor:
        """What the last check before writes and rejections has found."""
        return self._rules

    # Lifecycle.

    async def start(self) -> tuple[str, int]:
        """Listen; returns the address that was bound.  OSError if that address cannot be used."""
        handle_signals(self.terminate, self.reload)
        cached = self._config.cached_listing
        if cached is not None:
            self._update_endpoints(cached, cached=True)
        self._discovery.start(cached.version if cached is not None else 0)
        self._reload.after_start()
        self._counter_report.start()
        host, port = self._downstream.listen(self._config.listen)
        log.info("node_listening name=%s address=%s:%d", self._config.name, host, port)
        return host, port

    async def wait(self) -> None:
        """Serve until SIGTERM, then until everything that was accepted is answered."""
        await self._stopped.wait()

    def terminate(self) -> None:
        """SIGTERM: answer what is here and what still arrives, then stop."""
        if self._shutdown.in_progress:
            return
        log.info("shutdown_started open_requests=%d", len(self._requests))
        self._shutdown.begin()

    def reload(self) -> None:
        """SIGHUP: the configuration file was replaced; discovery may have moved."""
        self._reload.request()

    def stop(self) -> None:
        """Stop now, whatever is open: nothing that would be accepted in this iteration is read any more."""
        self._shutdown.cancel()
        self._policy_timers.cancel_all()
        self._reload.cancel()
        self._discovery.close()
        self._downstream.close()
        self._pools.close()
        self._counter_report.stop()
        self._stopped.set()

    # Events in, actions out.

    def handle_event(self, event: Event) -> None:
        """Hand an event to the policy and carry out the actions that follow.

        Carrying out an action may bring the next event; that waits its turn, because the policy's own state
        is between two decisions only when it has returned.
        """
        self._events.append(event)
        if self._handling:
            return
        self._iterations.mark_activity()
        self._handling = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._handling = False
            self._requests.forget_finished()

    def _decide(self, event: Event) -> None:
        try:
            actions = self._policy.handle(event, self._clock.now())
        except Exception:
            log.exception("policy_failed event=%s", type(event).__name__)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._respond_fault(event.request_id)
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("action_failed action=%s", type(action).__name__)
                if isinstance(action, SendAttempt | RejectRequest | FailRequest):
                    self._respond_fault(action.request_id)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send_attempt(action)
            case SetTimer(token, at_ms):
                delay_s = max(0.0, at_ms - self._clock.now()) / 1000.0
                self._policy_timers.call_later(delay_s, self.handle_event, TimerFired(token))
            case RejectRequest():
                self._reject(action)
            case FailRequest(request_id, reason):
                self._counters.finished[reason] += 1
                self._respond(request_id, 502)
            case CancelAttempt(request_id, number):
                self._cancel_attempt(request_id, number)
            case CheckHealth(endpoint_id):
                self._health_checker.check(endpoint_id)
            case CloseIdleConnections(endpoint_id):
                self._pools.close_idle(endpoint_id)
            case PollEndpointList():
                self._discovery.subscribe()
            case LogEvent():
                log.info("%s", action)

    # Requests.

    def _accept_request(self, parsed: ParsedRequest, slot: ResponseSlot) -> None:
        """A client's valid request: from here on it is owed one response."""
        client_id = parsed.message.headers[REQUEST_ID]
        if self._requests.is_reserved(client_id):
            # A server could not tell the two apart, and what it has of one would count for the other.
            raise HttpMessageError(409, "a request with this id is open")
        self._requests.reserve(client_id)
        now = self._clock.now()
        request_id = self._requests.next_id()
        budget_ms = self._budget_ms(parsed, slot)
        timer = asyncio.get_running_loop().call_later(
            (budget_ms + DEADLINE_TIMER_MS) / 1000.0, self._on_deadline, request_id
        )
        head = render_request_head(parsed.message, self._host)
        guard = RequestGuard(self._config.settings, parsed.class_index)
        request = PendingRequest(parsed.message, slot, now + budget_ms, timer, head, guard)
        self._requests.add(request_id, request)
        self._counters.accepted += 1
        slot.on_abandoned = lambda: self._abandon(request_id)
        self.handle_event(
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
        """The time left for a response.

        Counted from the request's arrival: a busy loop reads it late, and the client waits no longer for it.
        """
        elapsed_ms = 1000.0 * (time.monotonic() - slot.arrived_at_s)
        budget_ms = self._shutdown.deadline.limit_budget(parsed.budget_ms - elapsed_ms)
        reserve_ms = min(BUDGET_RESERVE_MS, MAX_RESERVE_FRACTION * parsed.budget_ms)
        return max(1.0, budget_ms - reserve_ms)

    def _finish(self, request_id: RequestId) -> PendingRequest | None:
        """Take a request out of the table; None if it has been answered already.

        During a decision the policy may not know yet that it has finished, and may still start an attempt.
        """
        return self._requests.finish(request_id, remember=self._handling)

    def _respond(self, request_id: RequestId, status: int, extra: bytes = b"") -> None:
        request = self._finish(request_id)
        if request is not None:
            request.slot.respond(status, extra=extra)
            self._withdraw_unsent(request_id, request)

    def _reject(self, action: RejectRequest) -> None:
        """Tell the client that a retry is harmless, if that is so."""
        self._counters.finished[action.reason] += 1
        request = self._requests.get(action.request_id)
        if request is not None and not request.guard.may_reject():
            self._rules.report(Rule.REJECTED_AFTER_RUN, request=request.client_id.decode())
            self._respond(action.request_id, 502)
            return
        after_s = action.retry_after_ms / 1000.0
        self._respond(action.request_id, 503, extra=b"Retry-After: %.3f\r\n" % after_s if after_s else b"")

    def _abandon(self, request_id: RequestId) -> None:
        """The request's client has left."""
        request = self._finish(request_id)
        if request is not None:
            self._counters.abandoned += 1
            self.handle_event(RequestAbandoned(request_id))
            self._withdraw_unsent(request_id, request)

    def _withdraw_unsent(self, request_id: RequestId, request: PendingRequest) -> None:
        """What was not written to a server yet is not written any more once its request has finished.

        The policy may be forbidden to cancel what a server has; this never reached one.  Its connection may
        still come up, and is then kept for another request.
        """
        for attempt in self._requests.attempts_of(request_id, request):
            if not attempt.written:
                attempt.cancel(Outcome.NOT_SENT)

    def _on_deadline(self, request_id: RequestId) -> None:
        """The policy owed a decision by now: the client gets a response all the same, within its time."""
        log.error("response_overdue request=%d", request_id)
        self._respond_fault(request_id)

    def _respond_fault(self, request_id: RequestId) -> None:
        if request_id in self._requests:
            self._respond(request_id, 500)
            self.handle_event(RequestAbandoned(request_id))

    def _fail_open_requests(self) -> None:
        for request_id in self._requests.open_ids:
            self._respond_fault(request_id)

    # Attempts.

    def _send_attempt(self, action: SendAttempt) -> None:
        request = self._requests.get(action.request_id)
        if request is None or request.slot.client_has_left():
            self._skip_attempt(action)
            return
        started_ms = self._clock.now()
        attempt = Attempt(action.request_id, request.attempt_count, action.endpoint_id, started_ms)
        request.attempt_count += 1
        remaining_ms = request.deadline_ms - started_ms
        if remaining_ms <= 0.0:
            self._report_not_sent(attempt, finished=False)
            return
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms > 0 else remaining_ms
        self._start_attempt(attempt, request, timeout_ms)

    def _cancel_attempt(self, request_id: RequestId, number: int) -> None:
        attempt = self._requests.get_attempt(request_id, number)
        if attempt is not None:
            attempt.cancel(Outcome.CANCELLED)

    def _skip_attempt(self, action: SendAttempt) -> None:
        """The client left while it waited or while this was decided, and the policy does not know yet."""
        request = self._requests.finished(action.request_id)
        number = request.attempt_count
        request.attempt_count += 1
        attempt = Attempt(action.request_id, number, action.endpoint_id, self._clock.now())
        self._report_not_sent(attempt, finished=True)

    def _start_attempt(self, attempt: Attempt, request: PendingRequest, timeout_ms: float) -> None:
        self._requests.reserve(request.client_id)
        upstream_request = self._pools.start_request(
            attempt.endpoint_id, _OutboundAttempt(self, attempt, request), timeout_ms / 1000.0
        )
        self._requests.add_attempt(attempt, upstream_request)

    def may_write(self, attempt: Attempt, request: PendingRequest) -> bool:
        """The last check before an attempt is written; what it forbids should not have been decided."""
        now_ms = self._clock.now()
        endpoint = self._pools.serving_endpoint(attempt.endpoint_id)
        rule = request.guard.check_write(endpoint, now_ms)
        if attempt.request_id not in self._requests:
            rule = Rule.FINISHED
        if rule is Rule.OUTSIDE_WINDOW:
            # Its connection was held up on the node's own machine for longer than the policy could know.
            self._counters.withheld += 1
            return False
        if rule is not None or endpoint is None:
            fields = {"request": request.client_id.decode(), "endpoint": attempt.endpoint_id.decode()}
            self._rules.report(rule or Rule.NOT_SERVING, attempt=attempt.number, **fields)
            return False
        request.guard.record_write(attempt.number, endpoint, now_ms)
        self._counters.written += 1
        return True

    def _report_not_sent(self, attempt: Attempt, *, finished: bool) -> None:
        self.handle_event(
            AttemptEnded(
                attempt.request_id, attempt.number, attempt.endpoint_id, Outcome.NOT_SENT, 0.0, finished
            )
        )

    def on_attempt_ended(
        self, attempt: Attempt, request: PendingRequest, outcome: Outcome, response: HttpMessage | None
    ) -> None:
        """Send the response if this is the first one, and hand the outcome to the policy."""
        self._counters.outcomes[outcome] += 1
        request.guard.record_outcome(attempt.number, outcome)
        self._requests.release(request.client_id)
        request_id = attempt.request_id
        self._requests.remove_attempt(attempt)
        served: PendingRequest | None = None
        if outcome is Outcome.OK and response is not None:
            served = self._finish(request_id)
            if served is not None:
                content_type = response.headers.get(CONTENT_TYPE)
                extra = b"Content-Type: %s\r\n" % content_type if content_type else b""
                served.slot.respond(200, response.body, extra)
        elapsed_ms = self._clock.now() - attempt.started_ms
        finished = request_id not in self._requests
        self.handle_event(
            AttemptEnded(request_id, attempt.number, attempt.endpoint_id, outcome, elapsed_ms, finished)
        )
        if served is not None:
            # Behind the outcome that ended it, so that the policy learns of the outcomes in order.
            self._withdraw_unsent(request_id, served)

    # The endpoint list.

    def _update_endpoints(self, listing: EndpointListing, *, cached: bool = False) -> None:
        replaced = self._pools.update(listing)
        self.handle_event(listing.event(cached=cached))
        if replaced:
            removed = tuple(Endpoint(endpoint_id, EndpointState.REMOVED) for endpoint_id in replaced)
            self.handle_event(EndpointListUpdate(EndpointListKind.DELTA, removed, listing.version))
