"""Tests of the queue of waiting requests: its timeouts, and what a long queue costs."""

from __future__ import annotations

import sys
from types import FrameType

import pytest

from load_balancer.actions import RejectRequest, SetTimer
from load_balancer.events import RequestArrived, TimerFired
from load_balancer.policy.balancer import Balancer
from load_balancer.settings import RequestClass, Settings

CLASSES = (
    RequestClass("urgent", latency_objective_ms=1000, deadline_ms=2500, priority_weight=2.0),
    RequestClass("usual", latency_objective_ms=1000, deadline_ms=2500, priority_weight=1.0),
)


def _calls_of_one_arrival(queued: int) -> int:
    """Return how many function calls the arrival of a request takes behind ``queued`` waiting ones."""
    balancer = Balancer(Settings(classes=CLASSES), seed=7)  # without endpoints, all requests wait
    for i in range(queued):
        balancer.handle(RequestArrived(i, 1, budget_ms=2500), now=0.01 * i)
    calls = 0

    def count(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        balancer.handle(RequestArrived(queued, 1, budget_ms=2500), now=0.01 * queued)
    finally:
        sys.setprofile(None)
    return calls


def test_arrival_costs_no_more_in_a_long_queue() -> None:
    # Each event looked at all waiting requests for the next timeout: a thousand clients that sent requests at
    # once held up the event loop for seconds.
    assert _calls_of_one_arrival(1000) < 2 * _calls_of_one_arrival(10)


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_requests_whose_timeout_passes_together_are_answered_in_order_of_priority(
    order: tuple[int, int],
) -> None:
    balancer = Balancer(Settings(classes=CLASSES), seed=7)
    timers: list[SetTimer] = []
    for request_id, class_index in enumerate(order):
        actions = balancer.handle(RequestArrived(request_id, class_index, budget_ms=2500), now=0.0)
        timers += [action for action in actions if isinstance(action, SetTimer)]
    rejected: list[int] = []
    while timers:
        timer = timers.pop(0)
        for action in balancer.handle(TimerFired(timer.token), now=timer.at_ms):
            if isinstance(action, SetTimer):
                timers.append(action)
            elif isinstance(action, RejectRequest):
                rejected.append(action.request_id)
    assert rejected == [order.index(0), order.index(1)]
