"""Checks of the nodes' processes: their start, end, service and use of resources."""

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
STARVED_S = 4.0
STARVED_REQUESTS = 15
RECOVERY_S = 2.0
"""How long after a fault of its servers a node may still send nothing."""


def check_service(view: HistoryView) -> Iterator[Violation]:
    """No node stops sending for seconds while there are servers."""
    answered = {response.request_id for response in view.of(ResponseReceived)}
    requests: dict[str, list[RequestSent]] = defaultdict(list)
    for sent in view.of(RequestSent):
        if sent.request_id in answered:
            requests[sent.node].append(sent)
    for node, sequence in requests.items():
        for unsent in _runs_without_attempt(view, sequence):
            begin, end = unsent[0].at, unsent[-1].at
            long = len(unsent) >= STARVED_REQUESTS and end - begin >= STARVED_S
            if long and not _servers_at_fault(view, begin, end):
                yield Violation(Rule.STARVED, node, f"{len(unsent)} requests in {end - begin:.1f} s")


def _runs_without_attempt(view: HistoryView, requests: list[RequestSent]) -> Iterator[list[RequestSent]]:
    """The longest consecutive requests that no server received an attempt of."""

    def attempted(sent: RequestSent) -> bool:
        return bool(view.attempts_of(sent.request_id))

    for seen, run in itertools.groupby(requests, attempted):
        if not seen:
            yield list(run)


def _servers_at_fault(view: HistoryView, begin: float, end: float) -> bool:
    """Whether a fault kept servers or connections to them from working in that time."""
    spans = view.fault_spans(
        *SERVER_KINDS,
        FaultKind.SYSCALL_CONNECT,
        FaultKind.SYSCALL_SOCKET,
        FaultKind.CLIENTS_CONNECTION_BURST,
    )
    return any(span.begin <= end and begin <= span.end + RECOVERY_S for span in spans)


def check_incarnations(view: HistoryView) -> Iterator[Violation]:
    """No process of a node crashes; each is ready in time, and exits with 0 after SIGTERM."""
    for incarnation, start in view.starts.items():
        exited = view.exits.get(incarnation)
        if exited is not None:
            yield from _check_exit(view, incarnation, start, exited)
        yield from _check_readiness(view, incarnation, start, exited)


def _check_exit(
    view: HistoryView, incarnation: IncarnationId, start: NodeStarted, exited: NodeExited
) -> Iterator[Violation]:
    terms = view.signal_times(incarnation, signal.SIGTERM)
    kills = view.signal_times(incarnation, signal.SIGKILL)
    if not terms and not kills:
        detail = f"exit code {exited.code}, {exited.at - start.at:.3f} s after its start"
        yield Violation(Rule.CRASH, str(incarnation), detail)
    ended_itself = terms and (not kills or exited.at < kills[0])
    if ended_itself and exited.code != 0 and incarnation in view.ready:
        yield Violation(Rule.EXIT_CODE, str(incarnation), f"exit code {exited.code}")


def _check_readiness(
    view: HistoryView, incarnation: IncarnationId, start: NodeStarted, exited: NodeExited | None
) -> Iterator[Violation]:
    ready = view.ready.get(incarnation)
    if ready is None:
        if exited is not None and exited.at - start.at > READY_WITHIN_S:
            yield Violation(Rule.READINESS, str(incarnation), "not ready")
    elif ready.at - start.at > READY_WITHIN_S:
        yield Violation(Rule.READINESS, str(incarnation), f"ready after {ready.at - start.at:.1f} s")


def check_resource_limits(view: HistoryView) -> Iterator[Violation]:
    """No node exceeds its limits of descriptors and memory."""
    worst: dict[IncarnationId, NodeMeasured] = {}
    for sample in view.of(NodeMeasured):
        if sample.memory_kb > MEMORY_MB * 1000:
            yield Violation(Rule.MEMORY, sample.node, f"{sample.memory_kb} kB")
        incarnation = incarnation_of(sample)
        if incarnation not in worst or sample.descriptors > worst[incarnation].descriptors:
            worst[incarnation] = sample
    for incarnation, sample in worst.items():
        if sample.descriptors > view.plan.descriptors:
            yield Violation(Rule.DESCRIPTORS, str(incarnation), f"{sample.descriptors} open")
