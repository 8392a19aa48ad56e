"""Checks of node processes: readiness, exit, forwarding of requests and use of resources."""

from __future__ import annotations

import itertools
import signal
from collections import defaultdict
from collections.abc import Iterator

from fault_soak.faults import SERVER_KINDS, FaultKind
from fault_soak.history import NodeExited, NodeMeasured, NodeStarted, RequestSent, ResponseReceived
from fault_soak.nodes import MEMORY_MB
from fault_soak.oracle.view import HistoryView, IncarnationId, incarnation_of
from fault_soak.oracle.violations import Rule, Violation

READY_WITHIN_S = 10.0
"""The longest time in seconds from the start of a node process until the node is ready."""

STARVED_S = 4.0
"""The shortest time in seconds without an attempt that counts as starvation."""

STARVED_REQUESTS = 15
"""The smallest number of consecutive requests without an attempt that counts as starvation."""

RECOVERY_S = 2.0
"""The time in seconds after the end of a fault in which a node need not yet send attempts again."""


def check_starvation(view: HistoryView) -> Iterator[Violation]:
    """Check that no node stops sending attempts for several seconds while servers are available."""
    answered = {response.request_id for response in view.events_of(ResponseReceived)}
    requests: dict[str, list[RequestSent]] = defaultdict(list)
    for sent in view.events_of(RequestSent):
        if sent.request_id in answered:
            requests[sent.node].append(sent)
    for node, sequence in requests.items():
        for unattempted in _runs_without_attempt(view, sequence):
            begin, end = unattempted[0].at, unattempted[-1].at
            is_starved = len(unattempted) >= STARVED_REQUESTS and end - begin >= STARVED_S
            if is_starved and not _server_fault_overlaps(view, begin, end):
                yield Violation(
                    Rule.STARVED,
                    node,
                    f"{len(unattempted)} requests without an attempt in {end - begin:.1f} s",
                )


def _runs_without_attempt(view: HistoryView, requests: list[RequestSent]) -> Iterator[list[RequestSent]]:
    """Yield each maximal run of consecutive requests for which no server received an attempt."""

    def has_attempts(sent: RequestSent) -> bool:
        return bool(view.attempts_of(sent.request_id))

    for attempted, run in itertools.groupby(requests, has_attempts):
        if not attempted:
            yield list(run)


def _server_fault_overlaps(view: HistoryView, begin: float, end: float) -> bool:
    """Check whether a fault that affects servers or connections to servers overlaps a time span.

    The time ``RECOVERY_S`` after the end of a fault counts as a part of the fault.
    """
    spans = view.fault_spans(
        *SERVER_KINDS,
        FaultKind.SYSCALL_CONNECT,
        FaultKind.SYSCALL_SOCKET,
        FaultKind.CLIENTS_CONNECTION_BURST,
    )
    return any(span.begin <= end and begin <= span.end + RECOVERY_S for span in spans)


def check_incarnations(view: HistoryView) -> Iterator[Violation]:
    """Check that each node process is ready in time, does not crash and exits with code 0 after SIGTERM."""
    for incarnation, start in view.starts.items():
        exited = view.exits.get(incarnation)
        if exited is not None:
            yield from _check_exit(view, incarnation, start, exited)
        yield from _check_readiness(view, incarnation, start, exited)


def _check_exit(
    view: HistoryView, incarnation: IncarnationId, start: NodeStarted, exited: NodeExited
) -> Iterator[Violation]:
    term_times = view.signal_times(incarnation, signal.SIGTERM)
    kill_times = view.signal_times(incarnation, signal.SIGKILL)
    if not term_times and not kill_times:
        detail = (
            f"exit code {exited.code}, {exited.at - start.at:.3f} s after its start, "
            "without SIGTERM or SIGKILL"
        )
        yield Violation(Rule.CRASH, str(incarnation), detail)
    exited_after_term = term_times and (not kill_times or exited.at < kill_times[0])
    if exited_after_term and exited.code != 0 and incarnation in view.ready:
        yield Violation(Rule.EXIT_CODE, str(incarnation), f"exit code {exited.code} after SIGTERM")


def _check_readiness(
    view: HistoryView, incarnation: IncarnationId, start: NodeStarted, exited: NodeExited | None
) -> Iterator[Violation]:
    ready = view.ready.get(incarnation)
    if ready is None:
        if exited is not None and exited.at - start.at > READY_WITHIN_S:
            yield Violation(Rule.READINESS, str(incarnation), "the process was not ready before its exit")
    elif ready.at - start.at > READY_WITHIN_S:
        yield Violation(Rule.READINESS, str(incarnation), f"ready after {ready.at - start.at:.1f} s")


def check_resource_limits(view: HistoryView) -> Iterator[Violation]:
    """Check that no node exceeds its limits of open descriptors and resident memory."""
    worst: dict[IncarnationId, NodeMeasured] = {}
    for sample in view.events_of(NodeMeasured):
        if sample.memory_kb > MEMORY_MB * 1000:
            yield Violation(Rule.MEMORY, sample.node, f"{sample.memory_kb} kB of resident memory")
        incarnation = incarnation_of(sample)
        if incarnation not in worst or sample.descriptors > worst[incarnation].descriptors:
            worst[incarnation] = sample
    for incarnation, sample in worst.items():
        if sample.descriptors > view.plan.descriptors:
            yield Violation(Rule.DESCRIPTORS, str(incarnation), f"{sample.descriptors} open descriptors")
