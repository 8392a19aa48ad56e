"""Checks of how nodes treat faulty clients."""

from __future__ import annotations

from collections.abc import Iterator

from fault_soak.history import IncompleteRequestReleased, IncompleteRequestStopped
from fault_soak.oracle.tolerances import SOCKET_SLACK_S
from fault_soak.oracle.view import HistoryView
from fault_soak.oracle.violations import Rule, Violation

RELEASED_WITHIN_S = 3.0


def check_incomplete_requests(view: HistoryView) -> Iterator[Violation]:
    """A client that stops within a request gets an error or a close in time."""
    released = {event.client: event.at for event in view.of(IncompleteRequestReleased)}
    for stopped in view.of(IncompleteRequestStopped):
        subject = f"{stopped.node} client {stopped.client}"
        released_at = released.get(stopped.client)
        if released_at is None:
            yield Violation(Rule.BAD_CLIENT, subject, "not released")
        elif released_at - stopped.at > RELEASED_WITHIN_S + SOCKET_SLACK_S + view.lag_s:
            detail = f"released after {released_at - stopped.at:.2f} s"
            yield Violation(Rule.BAD_CLIENT, subject, detail)
