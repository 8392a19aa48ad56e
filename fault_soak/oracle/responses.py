"""Checks of the responses that clients receive."""

from __future__ import annotations

import signal
from collections.abc import Iterator

from fault_soak.faults import FaultKind
from fault_soak.history import RequestSent, ResponseMissing, ResponseReceived
from fault_soak.oracle.tolerances import LATE_ALLOWANCE_S, PAUSE_ALLOWANCE_S, SOCKET_SLACK_S
from fault_soak.oracle.view import HistoryView, incarnation_of
from fault_soak.oracle.violations import Rule, Violation
from fault_soak.servers import served_body
from fault_soak.settings import DeduplicationScope, Idempotency

REJECTION_STATUSES = (429, 503)
MIN_RETRY_AFTER_LIMIT_S = 0.5
"""The smallest upper limit in seconds that the oracle applies to Retry-After.

If the limit in the settings is smaller, the oracle applies this value instead.
"""

RETRY_AFTER_ROUNDING_S = 0.001
"""The number of seconds by which rounding may raise a Retry-After above its limit."""

TERM_ARRIVAL_S = 0.7
"""The time in seconds after SIGTERM during which requests may still arrive at a node."""

BURST_BEFORE_S = 0.1
"""The time in seconds before the recorded start of a connection burst.

Requests that are sent in this time may already find the node's descriptors exhausted by the burst.
"""

BURST_AFTER_S = 1.0
"""The time in seconds after the end of a connection burst in which descriptors may remain exhausted."""


def check_response_times(view: HistoryView) -> Iterator[Violation]:
    """Check that each accepted request receives a complete response in time."""
    answered = {response.request_id: response for response in view.events_of(ResponseReceived)}
    for response in answered.values():
        sent = view.requests[response.request_id]
        late_s = response.at - sent.at - sent.deadline_s
        if late_s > LATE_ALLOWANCE_S + view.lag_s:
            yield Violation(
                Rule.LOST, response.request_id, f"response received {late_s:.3f} s after the deadline"
            )
    for missing in view.events_of(ResponseMissing):
        if missing.request_id not in answered and not _is_excused(view, missing):
            yield _missing_response_violation(view, missing)


def _missing_response_violation(view: HistoryView, missing: ResponseMissing) -> Violation:
    sent = view.requests[missing.request_id]
    how = "the connection was closed" if missing.closed else "no response was received"
    detail = f"{how} after {missing.at - sent.at:.3f} s, deadline {sent.deadline_s:.3f} s"
    unread = missing.closed and not view.attempts_of(missing.request_id)
    rule = Rule.CLOSED_UNREAD if unread else Rule.LOST
    return Violation(rule, missing.request_id, f"{sent.node} {sent.class_name}: {detail}")


def _is_excused(view: HistoryView, missing: ResponseMissing) -> bool:
    sent = view.requests[missing.request_id]
    may_be_unread = missing.unread_allowed or _descriptors_exhausted(view, sent)
    if may_be_unread and not view.attempts_of(missing.request_id):
        return True
    return _was_killed(view, sent) or (missing.closed and _connection_failed(view, sent, missing.at))


def _connection_failed(view: HistoryView, sent: RequestSent, at: float) -> bool:
    """Check whether a fault that makes reads fail can have closed the client's connection.

    Such a fault affects all connections of the node, including the connections of clients. The node starts to
    read at the first byte of a request, so a read may fail long before a slow client has written the last
    byte. The client notices the close when it has written the last byte, or soon after the end of the fault.
    """
    seen_within_s = SOCKET_SLACK_S + PAUSE_ALLOWANCE_S + view.lag_s
    return any(
        span.begin <= at <= max(sent.at, span.end) + seen_within_s and sent.first_byte_at <= span.end
        for span in view.fault_spans(FaultKind.SYSCALL_READ)
        if span.target == sent.node
    )


def _descriptors_exhausted(view: HistoryView, sent: RequestSent) -> bool:
    """Check whether idle connections can have exhausted the node's descriptors.

    The node may then close a new connection without reading the request.
    """
    spans = view.fault_spans(FaultKind.CLIENTS_CONNECTION_BURST)
    return any(
        span.begin - BURST_BEFORE_S <= sent.at <= span.end + BURST_AFTER_S
        for span in spans
        if span.target == sent.node
    )


def _was_killed(view: HistoryView, sent: RequestSent) -> bool:
    """Check whether SIGKILL ended the node process before the response was due.

    If so, the missing response is not an error of the node. The result is false for a request that was sent
    more than ``TERM_ARRIVAL_S`` after a preceding SIGTERM, so the response to such a request is not excused.
    """
    incarnation = incarnation_of(sent)
    kill_times = view.signal_times(incarnation, signal.SIGKILL)
    if not kill_times or kill_times[0] > sent.at + sent.deadline_s + LATE_ALLOWANCE_S:
        return False
    term_times = view.signal_times(incarnation, signal.SIGTERM)
    return not term_times or sent.at <= term_times[0] + TERM_ARRIVAL_S


def check_rejections(view: HistoryView) -> Iterator[Violation]:
    """Check that a rejected request may safely be retried, and that Retry-After is valid.

    If a server may have executed the request, a rejection is valid only if every server may safely execute
    the request again.
    """
    for response in view.events_of(ResponseReceived):
        if response.status not in REJECTION_STATUSES:
            continue
        request_class = view.request_class(view.requests[response.request_id])
        repeatable_anywhere = (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or request_class.deduplication_scope is DeduplicationScope.ALL
        )
        executed = any(view.may_have_executed(attempt) for attempt in view.attempts_of(response.request_id))
        if executed and not repeatable_anywhere:
            yield Violation(
                Rule.REJECTED_AFTER_RUN,
                response.request_id,
                f"status {response.status} although a server may have executed the request",
            )
        yield from _check_retry_after(view, response)


def _check_retry_after(view: HistoryView, response: ResponseReceived) -> Iterator[Violation]:
    limits = view.settings.limits
    longest_s = limits.max_retry_after_ms / 1000.0
    wait_s = response.retry_after_s
    if limits.retry_after_allowed and wait_s is None:
        yield Violation(Rule.RETRY_AFTER, response.request_id, "the rejection has no Retry-After")
    upper_s = max(longest_s, MIN_RETRY_AFTER_LIMIT_S) + RETRY_AFTER_ROUNDING_S
    if wait_s is not None and not 0.0 < wait_s <= upper_s:
        yield Violation(Rule.RETRY_AFTER, response.request_id, f"Retry-After {wait_s} s, limit {longest_s} s")


def check_response_bodies(view: HistoryView) -> Iterator[Violation]:
    """Check that each 200 response has the body that a server of one of its attempts returns."""
    for response in view.events_of(ResponseReceived):
        if response.status != 200:
            continue
        servers = [attempt.server for attempt in view.attempts_of(response.request_id)]
        if response.body not in [served_body(server, response.request_id) for server in servers]:
            yield Violation(Rule.WRONG_BODY, response.request_id, repr(response.body[:60]))
