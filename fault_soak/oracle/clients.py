"""Checks of how nodes treat faulty clients."""

from __future__ import annotations

from collections.abc import Iterator

from fault_soak.history import IncompleteRequestEnded, IncompleteRequestStopped
from fault_soak.oracle.tolerances import SOCKET_SLACK_S
from fault_soak.oracle.view import HistoryView
from fault_soak.oracle.violations import Rule, Violation

ENDED_WITHIN_S = 3.0
"""The time in seconds within which a node must react to a client that stops in the middle of a request.

The node must send an error response or close the connection.
"""


def check_incomplete_requests(view: HistoryView) -> Iterator[Violation]:
    """Check that a client that sends only a part of a request is answered or disconnected in time."""
    ended = {event.client: event.at for event in view.events_of(IncompleteRequestEnded)}
    for stopped in view.events_of(IncompleteRequestStopped):
        subject = f"{stopped.node} client {stopped.client}"
        ended_at = ended.get(stopped.client)
        if ended_at is None:
            yield Violation(Rule.BAD_CLIENT, subject, "received no error response and was not disconnected")
        elif ended_at - stopped.at > ENDED_WITHIN_S + SOCKET_SLACK_S + view.lag_s:
            detail = f"received an error response or was disconnected after {ended_at - stopped.at:.2f} s"
            yield Violation(Rule.BAD_CLIENT, subject, detail)
