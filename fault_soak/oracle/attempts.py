"""Checks of the attempts that servers receive."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from fault_soak.history import AttemptReceived, ClientLeft, RequestSent
from fault_soak.oracle.tolerances import SOCKET_SLACK_S
from fault_soak.oracle.view import HistoryView
from fault_soak.oracle.violations import Rule, Violation
from fault_soak.settings import Idempotency, RequestClass

CLIENT_LEFT_ALLOWANCE_S = 0.1
"""How long after its client has left a request may still be forwarded."""

DEADLINE_ALLOWANCE_S = 0.15
"""By how much a server may be given more time than is left to the client, as the history sees it."""


def check_executions(view: HistoryView) -> Iterator[Violation]:
    """No request is executed more often than its class allows, over all nodes and their processes."""
    limit = view.settings.limits.max_attempts
    for request_id, attempts in view.attempts.items():
        sent = view.requests.get(request_id)
        if sent is None:
            yield Violation(Rule.WRONG_BODY, request_id, "no client sent this id")
            continue
        if len(attempts) > limit * (2 if sent.resent else 1):
            yield Violation(Rule.ATTEMPT_LIMIT, request_id, f"{len(attempts)} attempts of {limit}")
        executions = [attempt for attempt in attempts if view.has_run(attempt)]
        yield from _check_repeats(view, request_id, view.request_class(sent), executions)


def _check_repeats(
    view: HistoryView, request_id: str, request_class: RequestClass, executions: Sequence[AttemptReceived]
) -> Iterator[Violation]:
    if request_class.idempotency is Idempotency.IDEMPOTENT or len(executions) < 2:
        return
    servers = " ".join(f"{execution.server}@{execution.at:.3f}" for execution in executions)
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        yield Violation(Rule.DUPLICATE, request_id, f"an unsafe request ran at {servers}")
        return
    for problem in _keyed_repeat_problems(view, request_class, executions):
        yield Violation(Rule.DUPLICATE, request_id, f"{problem}: {servers}")


def _keyed_repeat_problems(
    view: HistoryView, request_class: RequestClass, executions: Sequence[AttemptReceived]
) -> Iterator[str]:
    """What is wrong with executions after the first: past the window of the key, or outside of its scope."""
    window_s = request_class.deduplication_window_ms / 1000.0
    scope = request_class.deduplication_scope
    assert scope is not None, "a class with keys has a scope"
    first, *repeats = executions
    for repeat in repeats:
        after_s = repeat.at - first.first_byte_at
        if after_s > window_s + SOCKET_SLACK_S + view.pause_allowance_s(repeat) + view.lag_s:
            yield f"{after_s:.3f} s after the first, window {window_s:.3f} s"
        if not view.location(first.server).shares_keys_with(view.location(repeat.server), scope):
            yield f"outside the {scope.value}"


def check_hedging(view: HistoryView) -> Iterator[Violation]:
    """No two attempts of a request are in flight at once where that is forbidden."""
    if view.settings.limits.hedging_allowed:
        return
    for request_id, attempts in view.attempts.items():
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            end = view.end_of(earlier)
            if end is None or end.at > later.first_byte_at + SOCKET_SLACK_S + view.lag_s:
                yield Violation(Rule.HEDGED, request_id, f"{earlier.server} and {later.server}")


def check_client_presence(view: HistoryView) -> Iterator[Violation]:
    """No attempt begins 0.1 s after its client has left."""
    for left in view.of(ClientLeft):
        for attempt in view.attempts_of(left.request_id):
            after_s = attempt.first_byte_at - left.at
            pause_s = view.pause_allowance_s(attempt)
            if after_s > CLIENT_LEFT_ALLOWANCE_S + SOCKET_SLACK_S + pause_s + view.lag_s:
                detail = f"{after_s:.3f} s after, {attempt.server}"
                yield Violation(Rule.CLIENT_GONE, left.request_id, detail)


def check_forwarded_deadlines(view: HistoryView) -> Iterator[Violation]:
    """The time that a server is given is valid, and at most what is left to the client."""
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
    if forwarded_s is None or forwarded_s <= 0.0:
        yield Violation(rule, sent.request_id, f"told {forwarded_s}, {left_s:.3f} s left")
    elif forwarded_s > left_s + DEADLINE_ALLOWANCE_S + view.pause_allowance_s(attempt) + view.lag_s:
        yield Violation(rule, sent.request_id, f"told {forwarded_s:.3f} of {left_s:.3f} s")
