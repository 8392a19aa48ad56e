"""Checks of the attempts that nodes send to servers that are draining or warming up."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from fault_soak.history import AttemptReceived, EndpointNotified, Lifecycle, ServerStarted
from fault_soak.oracle.tolerances import SOCKET_SLACK_S
from fault_soak.oracle.view import HistoryView
from fault_soak.oracle.violations import Rule, Violation

MEAN_WORK_FACTOR = 1.2
"""The mean of the random service times of a stub server, as a multiple of the planned service time."""

LARGE_BOUND = 30
"""The smallest bound, in attempts per window, for which ``_count_tolerance`` uses its smaller tolerance.

For a bound of at least this size, the number of attempts in a window is about normally distributed around it.
"""


@dataclass(slots=True)
class Notifications:
    """The earliest notification of each generation, by node and server, in the order of the generations."""

    _by_endpoint: dict[tuple[str, str], list[EndpointNotified]] = field(
        default_factory=lambda: defaultdict(list)
    )

    @classmethod
    def from_events(cls, events: Sequence[EndpointNotified]) -> Notifications:
        """Index the notifications of a history."""
        earliest: dict[tuple[str, str, int], EndpointNotified] = {}
        for event in events:
            key = (event.node, event.server, event.generation)
            if key not in earliest or event.at < earliest[key].at:
                earliest[key] = event
        notifications = cls()
        for event in sorted(earliest.values(), key=lambda event: event.generation):
            notifications._by_endpoint[event.node, event.server].append(event)
        return notifications

    def for_endpoint(self, node: str, server: str) -> Sequence[EndpointNotified]:
        """Return the notifications about a server that a node received, in the order of the generations."""
        return self._by_endpoint.get((node, server), ())


def check_drains(view: HistoryView) -> Iterator[Violation]:
    """Check that no attempt reaches a draining or deleted server after the end of the drain grace."""
    grace_s = view.settings.guarantees.drain_grace_ms / 1000.0
    notifications = Notifications.from_events(view.events_of(EndpointNotified))
    for attempt in view.events_of(AttemptReceived):
        node = view.node_of(attempt)
        states = notifications.for_endpoint(node, attempt.server)
        for i, state in enumerate(states):
            if state.lifecycle is Lifecycle.SERVING:
                continue
            since = max(state.at, _start_before(view, node, attempt.first_byte_at))
            after_s = attempt.first_byte_at - since
            late = after_s > grace_s + SOCKET_SLACK_S + view.lag_s
            if late and not _serves_again(states[i + 1 :], attempt.at):
                detail = (
                    f"{node} sent an attempt {after_s:.3f} s after generation {state.generation}, "
                    f"grace {grace_s} s"
                )
                yield Violation(Rule.DRAIN, f"{attempt.server} {attempt.request_id}", detail)
                break


def _serves_again(later_states: Sequence[EndpointNotified], at: float) -> bool:
    """Check whether a node was notified by the given time that a drained server is serving again."""
    return any(state.lifecycle is Lifecycle.SERVING and state.at <= at for state in later_states)


def _start_before(view: HistoryView, node: str, at: float) -> float:
    """Return the latest start time of a node up to the given time, or 0 if the node had not yet started.

    If the node was notified of a change before this start, the oracle treats the process that started as
    notified of the change from its start on, but not before.
    """
    starts = [start.at for start in view.starts.values() if start.node == node and start.at <= at]
    return max(starts, default=0.0)


def check_slow_start(view: HistoryView) -> Iterator[Violation]:
    """Check that all nodes together do not overload a server that is warming up."""
    for start in view.events_of(ServerStarted):
        if start.cold:
            yield from _check_warm_up(view, start)


def _check_warm_up(view: HistoryView, start: ServerStarted) -> Iterator[Violation]:
    guarantees = view.settings.guarantees
    warm_up_s, window_s = guarantees.warm_up_ms / 1000.0, guarantees.overload_window_ms / 1000.0
    initial = guarantees.initial_capacity
    warm_rate = view.plan.server_slots / (view.plan.work_ms / 1000.0 * MEAN_WORK_FACTOR)
    times = [
        attempt.at
        for attempt in view.events_of(AttemptReceived)
        if attempt.server == start.server and start.at <= attempt.at <= start.at + warm_up_s
    ]
    for i, begin in enumerate(times):
        count = sum(1 for at in times[i:] if at <= begin + window_s)
        capacity = initial + (1 - initial) * (begin - start.at) / warm_up_s
        bound = guarantees.overload_multiple * capacity * warm_rate * window_s
        if count > bound + _count_tolerance(bound):
            yield Violation(
                Rule.SLOW_START, start.server, f"{count} attempts in {window_s} s, bound {bound:.1f}"
            )
            return


def _count_tolerance(bound: float) -> float:
    """Return the number of attempts by which the count in a window may exceed its bound by chance."""
    return float(2 * bound**0.5 + 2 if bound >= LARGE_BOUND else 3 * bound**0.5 + 3)
