"""Checks of the attempts that servers receive."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from fault_soak.history import AttemptReceived, ClientLeft, RequestSent
from fault_soak.oracle.tolerances import SOCKET_SLACK_S
from fault_soak.oracle.view import HistoryView
from fault_soak.oracle.violations import Rule, Violation
from fault_soak.settings import Idempotency, RequestClass

CLIENT_LEFT_ALLOWANCE_S = 0.1
"""The time in seconds during which a node may still forward a request after the client has left."""

DEADLINE_ALLOWANCE_S = 0.15
"""The number of seconds by which a forwarded deadline may exceed the client's remaining time.

The remaining time is computed from the recorded times of the history.
"""


def check_executions(view: HistoryView) -> Iterator[Violation]:
    """Check that no request is attempted or executed more often than allowed, over all nodes and restarts.

    The settings limit the number of attempts, and the class of the request limits repeated executions. An
    attempt of a request that no client sent is a violation as well.
    """
    limit = view.settings.limits.max_attempts
    for request_id, attempts in view.attempts.items():
        sent = view.requests.get(request_id)
        if sent is None:
            yield Violation(Rule.WRONG_BODY, request_id, "no client sent a request with this id")
            continue
        if len(attempts) > limit * (2 if sent.resent else 1):
            yield Violation(Rule.ATTEMPT_LIMIT, request_id, f"{len(attempts)} attempts, limit {limit}")
        executions = [attempt for attempt in attempts if view.may_have_executed(attempt)]
        yield from _check_repeated_executions(view, request_id, view.request_class(sent), executions)


def _check_repeated_executions(
    view: HistoryView, request_id: str, request_class: RequestClass, executions: Sequence[AttemptReceived]
) -> Iterator[Violation]:
    if request_class.idempotency is Idempotency.IDEMPOTENT or len(executions) < 2:
        return
    servers = " ".join(f"{execution.server}@{execution.at:.3f}" for execution in executions)
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        yield Violation(Rule.DUPLICATE, request_id, f"a non-idempotent request was executed at {servers}")
        return
    for problem in _describe_keyed_repeat_violations(view, request_class, executions):
        yield Violation(Rule.DUPLICATE, request_id, f"{problem}: {servers}")


def _describe_keyed_repeat_violations(
    view: HistoryView, request_class: RequestClass, executions: Sequence[AttemptReceived]
) -> Iterator[str]:
    """Describe each repeated execution after the end of the deduplication window or outside the scope."""
    window_s = request_class.deduplication_window_ms / 1000.0
    scope = request_class.deduplication_scope
    assert scope is not None, "a class with idempotency keys has a deduplication scope"
    first, *repeats = executions
    for repeat in repeats:
        after_s = repeat.at - first.first_byte_at
        if after_s > window_s + SOCKET_SLACK_S + view.pause_allowance_s(repeat) + view.lag_s:
            yield f"executed {after_s:.3f} s after the first execution, window {window_s:.3f} s"
        if not view.location(first.server).shares_keys_with(view.location(repeat.server), scope):
            yield f"executed outside the deduplication scope {scope.value}"


def check_hedging(view: HistoryView) -> Iterator[Violation]:
    """Check that no request has two attempts in flight at once if the settings forbid hedged requests."""
    if view.settings.limits.hedging_allowed:
        return
    for request_id, attempts in view.attempts.items():
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            end = view.end_of(earlier)
            if end is None or end.at > later.first_byte_at + SOCKET_SLACK_S + view.lag_s:
                yield Violation(Rule.HEDGED, request_id, f"in flight at {earlier.server} and {later.server}")


def check_attempts_after_client_left(view: HistoryView) -> Iterator[Violation]:
    """Check that no attempt begins more than 0.1 s, plus tolerances, after its client has left."""
    for left in view.events_of(ClientLeft):
        for attempt in view.attempts_of(left.request_id):
            after_s = attempt.first_byte_at - left.at
            pause_s = view.pause_allowance_s(attempt)
            if after_s > CLIENT_LEFT_ALLOWANCE_S + SOCKET_SLACK_S + pause_s + view.lag_s:
                detail = f"{after_s:.3f} s after the client left, {attempt.server}"
                yield Violation(Rule.ATTEMPT_AFTER_CLIENT_LEFT, left.request_id, detail)


def check_forwarded_deadlines(view: HistoryView) -> Iterator[Violation]:
    """Check that each forwarded deadline is positive and does not exceed the client's remaining time."""
    for request_id, attempts in view.attempts.items():
        sent = view.requests.get(request_id)
        if sent is None:
            continue
        for attempt in attempts:
            yield from _check_forwarded_deadline(view, sent, attempt)


def _check_forwarded_deadline(
    view: HistoryView, sent: RequestSent, attempt: AttemptReceived
) -> Iterator[Violation]:
    rule, forwarded_s = Rule.FORWARDED_DEADLINE, attempt.forwarded_deadline_s
    left_s = sent.at + sent.deadline_s - attempt.at
    path = f"{view.node_of(attempt)} to {attempt.server}"
    if forwarded_s is None or forwarded_s <= 0.0:
        yield Violation(
            rule, sent.request_id, f"forwarded deadline {forwarded_s}, {left_s:.3f} s left, {path}"
        )
    elif forwarded_s > left_s + DEADLINE_ALLOWANCE_S + view.pause_allowance_s(attempt) + view.lag_s:
        detail = f"forwarded deadline {forwarded_s:.3f} s, {left_s:.3f} s left, {path}"
        yield Violation(rule, sent.request_id, detail)
