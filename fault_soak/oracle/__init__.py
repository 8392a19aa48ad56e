"""The invariants that nodes must keep under every fault, checked on the recorded history.

Each module contains the checks of one concern. A check is a function that takes a ``HistoryView`` and
yields a violation for each broken invariant. Because messages take time on sockets, the checks add 50 ms to
the time limits of the rules. They add a further allowance where a node may have been paused between reading
its clock and writing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from fault_soak.oracle.attempts import (
    check_attempts_after_client_left,
    check_executions,
    check_forwarded_deadlines,
    check_hedging,
)
from fault_soak.oracle.clients import check_incomplete_requests
from fault_soak.oracle.logs import check_counters, check_ejections, check_reported_faults
from fault_soak.oracle.nodes import check_incarnations, check_resource_limits, check_starvation
from fault_soak.oracle.responses import check_rejections, check_response_bodies, check_response_times
from fault_soak.oracle.servers import check_drains, check_slow_start
from fault_soak.oracle.view import HistoryView
from fault_soak.oracle.violations import Rule, Violation
from fault_soak.result import ScenarioResult

__all__ = ["Rule", "Violation", "find_violations"]

CHECKS: tuple[Callable[[HistoryView], Iterator[Violation]], ...] = (
    check_response_times,
    check_executions,
    check_rejections,
    check_hedging,
    check_drains,
    check_attempts_after_client_left,
    check_forwarded_deadlines,
    check_response_bodies,
    check_slow_start,
    check_starvation,
    check_incarnations,
    check_incomplete_requests,
    check_resource_limits,
    check_reported_faults,
    check_ejections,
    check_counters,
)


def find_violations(result: ScenarioResult) -> list[Violation]:
    """Return all violations of the invariants, in the order of the checks."""
    view = HistoryView(result)
    return [violation for check in CHECKS for violation in check(view)]
