"""Checks of the lines that nodes write to their logs."""

from __future__ import annotations

import re
from collections.abc import Iterator

from fault_soak.faults import SERVER_KINDS, FaultKind
from fault_soak.history import AttemptReceived, NodeExited, NodeLogged, NodeStarted
from fault_soak.oracle.view import HistoryView, IncarnationId, incarnation_of
from fault_soak.oracle.violations import Rule, Violation

CONNECT_EJECTION_PATTERN = re.compile(r"endpoint_ejected .*outcome=connect_failed")
WRITTEN_COUNT_PATTERN = re.compile(r"counters_reported .*\bwritten=(\d+)")
FAULT_LINE_PATTERN = re.compile(
    r"policy_failed|action_failed|request_failed|request_read_failed|response_deadline_missed|Traceback|invariant_"
)
LOCAL_FAULT_EFFECT_S = 0.1
"""The time in seconds for which a fault of a node's system calls may still cause ejections after its end."""

SERVER_FAULT_EFFECT_S = 3.0
"""The time in seconds for which a fault of a server may still cause ejections after its end."""


def check_reported_faults(view: HistoryView) -> Iterator[Violation]:
    """Check that no node logs an internal error."""
    for logged in view.events_of(NodeLogged):
        if FAULT_LINE_PATTERN.search(logged.line):
            yield Violation(Rule.INTERNAL, str(incarnation_of(logged)), logged.line)


def check_ejections(view: HistoryView) -> Iterator[Violation]:
    """Check that no node ejects a server because connects failed on the node's own machine.

    An ejection that may have been caused by a fault of a server or its network is excused.
    """
    local_faults = view.fault_spans(FaultKind.SYSCALL_CONNECT, FaultKind.SYSCALL_SOCKET)
    remote_faults = view.fault_spans(*SERVER_KINDS)
    for logged in view.events_of(NodeLogged):
        if CONNECT_EJECTION_PATTERN.search(logged.line) is None:
            continue
        during_local_fault = any(
            span.begin <= logged.at <= span.end + LOCAL_FAULT_EFFECT_S
            for span in local_faults
            if span.target == logged.node
        )
        excused = any(span.begin <= logged.at <= span.end + SERVER_FAULT_EFFECT_S for span in remote_faults)
        if during_local_fault and not excused:
            yield Violation(Rule.LOCAL_FAILURE_ATTRIBUTED, str(incarnation_of(logged)), logged.line)


def check_counters(view: HistoryView) -> Iterator[Violation]:
    """Check that no node process that exited with code 0 counted fewer attempts than servers received."""
    for incarnation, start in view.starts.items():
        exited = view.exits.get(incarnation)
        counted = _last_written_count(view, incarnation)
        if exited is None or exited.code != 0 or counted is None:
            continue
        received = _received_attempts(view, start, exited)
        if received > counted:
            detail = f"servers received {received} attempts, the node counted {counted}"
            yield Violation(Rule.COUNTERS, str(incarnation), detail)


def _last_written_count(view: HistoryView, incarnation: IncarnationId) -> int | None:
    """Return the last number of written attempts that a node process logged, or None if it logged none."""
    counted = None
    for logged in view.events_of(NodeLogged):
        if (
            incarnation_of(logged) == incarnation
            and (found := WRITTEN_COUNT_PATTERN.search(logged.line)) is not None
        ):
            counted = int(found[1])
    return counted


def _received_attempts(view: HistoryView, start: NodeStarted, exited: NodeExited) -> int:
    return sum(
        1
        for attempt in view.events_of(AttemptReceived)
        if attempt.host == start.address and start.at <= attempt.at <= exited.at
    )
