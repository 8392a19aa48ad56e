"""Checks of what clients receive."""

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
RETRY_AFTER_ROUNDING_S = 0.001
TERM_ARRIVAL_S = 0.7
"""How long after SIGTERM requests may still arrive at a node."""

BURST_BEFORE_S = 0.1
BURST_AFTER_S = 1.0
"""How long before and after a connection burst the descriptors of a node may be used up."""


def check_answers(view: HistoryView) -> Iterator[Violation]:
    """Each request that was accepted gets one final answer in time."""
    answered = {response.request_id: response for response in view.of(ResponseReceived)}
    for response in answered.values():
        sent = view.requests[response.request_id]
        late_s = response.at - sent.at - sent.deadline_s
        if late_s > LATE_ALLOWANCE_S + view.lag_s:
            yield Violation(Rule.LOST, response.request_id, f"answered {late_s:.3f} s too late")
    for missing in view.of(ResponseMissing):
        if missing.request_id not in answered and not _is_excused(view, missing):
            yield _missing_answer(view, missing)


def _missing_answer(view: HistoryView, missing: ResponseMissing) -> Violation:
    sent = view.requests[missing.request_id]
    how = "its connection was closed" if missing.closed else "nothing came"
    detail = f"{how} after {missing.at - sent.at:.3f} s of {sent.deadline_s:.3f} s"
    unread = missing.closed and not view.attempts_of(missing.request_id)
    rule = Rule.CLOSED_UNREAD if unread else Rule.LOST
    return Violation(rule, missing.request_id, f"{sent.node} {sent.class_name}: {detail}")


def _is_excused(view: HistoryView, missing: ResponseMissing) -> bool:
    sent = view.requests[missing.request_id]
    may_be_unread = missing.unread_allowed or _descriptors_used_up(view, sent)
    if may_be_unread and not view.attempts_of(missing.request_id):
        return True
    return _was_killed(view, sent) or (missing.closed and _connection_failed(view, sent, missing.at))


def _connection_failed(view: HistoryView, sent: RequestSent, at: float) -> bool:
    """Whether reads failed on live connections of the node in that time, those of clients among them.

    The node reads from the first byte on, so that a read may fail long before a slow client has written the
    last one. The client sees the close when it has written that, or soon after the end of the fault.
    """
    seen_within_s = SOCKET_SLACK_S + PAUSE_ALLOWANCE_S + view.lag_s
    return any(
        span.begin <= at <= max(sent.at, span.end) + seen_within_s and sent.first_byte_at <= span.end
        for span in view.fault_spans(FaultKind.SYSCALL_READ)
        if span.target == sent.node
    )


def _descriptors_used_up(view: HistoryView, sent: RequestSent) -> bool:
    """Whether idle clients filled the descriptors: a new connection may then be closed unread."""
    spans = view.fault_spans(FaultKind.CLIENTS_CONNECTION_BURST)
    return any(
        span.begin - BURST_BEFORE_S <= sent.at <= span.end + BURST_AFTER_S
        for span in spans
        if span.target == sent.node
    )


def _was_killed(view: HistoryView, sent: RequestSent) -> bool:
    """Whether the node died before the answer was due, by no decision of its own."""
    incarnation = incarnation_of(sent)
    kills = view.signal_times(incarnation, signal.SIGKILL)
    if not kills or kills[0] > sent.at + sent.deadline_s + LATE_ALLOWANCE_S:
        return False
    terms = view.signal_times(incarnation, signal.SIGTERM)
    return not terms or sent.at <= terms[0] + TERM_ARRIVAL_S


def check_rejections(view: HistoryView) -> Iterator[Violation]:
    """A rejection says that a retry is harmless, and when to retry."""
    for response in view.of(ResponseReceived):
        if response.status not in REJECTION_STATUSES:
            continue
        request_class = view.request_class(view.requests[response.request_id])
        repeatable_anywhere = (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or request_class.deduplication_scope is DeduplicationScope.ALL
        )
        executed = any(view.has_run(attempt) for attempt in view.attempts_of(response.request_id))
        if executed and not repeatable_anywhere:
            yield Violation(Rule.REJECTED_AFTER_RUN, response.request_id, f"status {response.status}")
        yield from _check_retry_after(view, response)


def _check_retry_after(view: HistoryView, response: ResponseReceived) -> Iterator[Violation]:
    limits = view.settings.limits
    longest_s = limits.max_retry_after_ms / 1000.0
    wait_s = response.retry_after_s
    if limits.retry_after_allowed and wait_s is None:
        yield Violation(Rule.RETRY_AFTER, response.request_id, "a refusal without Retry-After")
    upper_s = max(longest_s, MIN_RETRY_AFTER_LIMIT_S) + RETRY_AFTER_ROUNDING_S
    if wait_s is not None and not 0.0 < wait_s <= upper_s:
        yield Violation(Rule.RETRY_AFTER, response.request_id, f"Retry-After {wait_s} of {longest_s}")


def check_response_bodies(view: HistoryView) -> Iterator[Violation]:
    """A response that serves a request is what a server made for it."""
    for response in view.of(ResponseReceived):
        if response.status != 200:
            continue
        servers = [attempt.server for attempt in view.attempts_of(response.request_id)]
        if response.body not in [served_body(server, response.request_id) for server in servers]:
            yield Violation(Rule.WRONG_BODY, response.request_id, repr(response.body[:60]))
