"""The invariants, as functions of the recorded history: what no node may do, whatever happens around it.

Each module checks one concern on a ``HistoryView``. Times that a rule names are longer by 50 ms on sockets; a
further allowance is added where a node may have been paused between reading its clock and writing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from fault_soak.oracle.answers import check_answers, check_rejections, check_response_bodies
from fault_soak.oracle.attempts import (
    check_client_presence,
    check_executions,
    check_forwarded_deadlines,
    check_hedging,
)
from fault_soak.oracle.clients import check_incomplete_requests
from fault_soak.oracle.logs import check_counters, check_ejections, check_reported_faults
from fault_soak.oracle.nodes import check_incarnations, check_resource_limits, check_service
from fault_soak.oracle.servers import check_drains, check_slow_start
from fault_soak.oracle.view import HistoryView
from fault_soak.oracle.violations import Rule, Violation
from fault_soak.result import ScenarioResult

__all__ = ["Rule", "Violation", "find_violations"]

CHECKS: tuple[Callable[[HistoryView], Iterator[Violation]], ...] = (
    check_answers,
    check_executions,
    check_rejections,
    check_hedging,
    check_drains,
    check_client_presence,
    check_forwarded_deadlines,
    check_response_bodies,
    check_slow_start,
    check_service,
    check_incarnations,
    check_incomplete_requests,
    check_resource_limits,
    check_reported_faults,
    check_ejections,
    check_counters,
)


def find_violations(result: ScenarioResult) -> list[Violation]:
    """All broken invariants, in the order of the checks."""
    view = HistoryView(result)
    return [violation for check in CHECKS for violation in check(view)]
