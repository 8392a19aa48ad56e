"""Tests of the rules of the oracle, mostly with two similar histories: one keeps a rule and one breaks it."""

from __future__ import annotations

import signal
from dataclasses import replace

import pytest

from fault_soak.drawing import draw_plan
from fault_soak.faults import FaultKind
from fault_soak.history import (
    AttemptDone,
    AttemptReceived,
    AttemptResult,
    ClientLeft,
    EndpointNotified,
    FaultBegan,
    FaultEnded,
    History,
    HistoryEvent,
    IncompleteRequestEnded,
    IncompleteRequestStopped,
    Lifecycle,
    NodeExited,
    NodeLogged,
    NodeMeasured,
    NodeReady,
    NodeSignalled,
    NodeStarted,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    ServerStarted,
)
from fault_soak.oracle import Rule, find_violations
from fault_soak.plan import Plan
from fault_soak.result import ScenarioResult
from fault_soak.servers import served_body
from fault_soak.settings import DeduplicationScope, Idempotency, RequestClass

ADDRESS = "127.0.0.1:8000"
START = NodeStarted(0.0, "n0", 1, ADDRESS)
READY = NodeReady(0.3, "n0", 1)


def _plan() -> Plan:
    plan = draw_plan(1)
    limits = replace(
        plan.settings.limits,
        max_attempts=2,
        hedging_allowed=False,
        retry_after_allowed=True,
        max_retry_after_ms=1200.0,
    )
    guarantees = replace(
        plan.settings.guarantees,
        drain_grace_ms=1000.0,
        warm_up_ms=4000.0,
        initial_capacity=0.1,
        overload_multiple=3.0,
        overload_window_ms=1000.0,
    )
    keyed = replace(
        _request_class("move", Idempotency.KEYED),
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=300.0,
    )
    classes = (
        _request_class("look", Idempotency.IDEMPOTENT),
        keyed,
        _request_class("book", Idempotency.NON_IDEMPOTENT),
    )
    settings = replace(plan.settings, limits=limits, guarantees=guarantees, classes=classes)
    return replace(
        plan,
        settings=settings,
        server_count=4,
        descriptors=64,
        work_ms=10.0,
        server_slots=1,
        faults=(),
    )


def _request_class(name: str, idempotency: Idempotency) -> RequestClass:
    return RequestClass(
        name, idempotency, latency_objective_ms=400.0, deadline_ms=1000.0, priority_weight=1.0
    )


def _broken_rules(*events: HistoryEvent) -> set[Rule]:
    """Return the rules that are broken in a history with the start of a node and the given events."""
    history = History([START, READY, *events])
    result = ScenarioResult(_plan(), history, worst_lag_s=0.0, shim_loaded=True)
    return {violation.rule for violation in find_violations(result)}


def _sent(class_name: str = "look", at: float = 1.0) -> RequestSent:
    return RequestSent(at, at, "r", "n0", 1, class_name, 1.0)


def _received(
    at: float, server: str = "s0", connection: int = 1, forwarded_s: float = 0.5
) -> AttemptReceived:
    return AttemptReceived(at, at, server, connection, ADDRESS, "r", forwarded_s)


def _done(at: float, result: AttemptResult, server: str = "s0", connection: int = 1) -> AttemptDone:
    return AttemptDone(at, server, connection, "r", result)


def _closed_under_read_failures(first_byte_at: float, sent_at: float, closed_at: float) -> list[HistoryEvent]:
    """Build events: reads fail on the node from 1.0 to 2.0 s, and a client's connection is closed."""
    return [
        FaultBegan(1.0, 0, FaultKind.SYSCALL_READ.value, "n0"),
        FaultEnded(2.0, 0, FaultKind.SYSCALL_READ.value, "n0", 1),
        replace(_sent(at=sent_at), first_byte_at=first_byte_at),
        ResponseMissing(closed_at, "r", True, False),
    ]


def _response(
    status: int = 200, at: float = 1.2, body: bytes = b"", retry_after_s: float | None = 0.1
) -> HistoryEvent:
    return ResponseReceived(at, "r", status, body, retry_after_s)


def test_served_request_breaks_no_rule() -> None:
    attempt = [_sent(), _received(1.1), _done(1.15, AttemptResult.SERVED)]
    assert _broken_rules(*attempt, _response(body=served_body("s0", "r"))) == set()


@pytest.mark.parametrize(
    ("valid", "invalid", "rule"),
    [
        pytest.param(
            [_sent(), _response(502, at=2.4)], [_sent(), _response(502, at=2.6)], Rule.LOST, id="late"
        ),
        pytest.param(
            [_sent(), ResponseMissing(1.1, "r", True, True)],
            [_sent(), _received(1.05), ResponseMissing(1.1, "r", True, True)],
            Rule.LOST,
            id="closed unread is excused only without an attempt",
        ),
        pytest.param(
            [_sent(), ResponseMissing(1.1, "r", True, True)],
            [_sent(), ResponseMissing(1.1, "r", True, False)],
            Rule.CLOSED_UNREAD,
            id="closed unread is excused where allowed",
        ),
        pytest.param(
            _closed_under_read_failures(1.9, 2.1, closed_at=2.1),
            _closed_under_read_failures(2.01, 2.1, closed_at=2.1),
            Rule.CLOSED_UNREAD,
            id="first byte before or after the end of failing reads",
        ),
        pytest.param(
            _closed_under_read_failures(1.9, 2.1, closed_at=2.25),
            _closed_under_read_failures(1.9, 2.1, closed_at=2.35),
            Rule.CLOSED_UNREAD,
            id="slow request closed soon or late after its last byte",
        ),
        pytest.param(
            _closed_under_read_failures(1.9, 1.9, closed_at=2.15),
            _closed_under_read_failures(1.9, 1.9, closed_at=2.25),
            Rule.CLOSED_UNREAD,
            id="closed soon or late after the end of failing reads",
        ),
        pytest.param(
            _closed_under_read_failures(0.7, 0.9, closed_at=1.01),
            _closed_under_read_failures(0.7, 0.9, closed_at=0.99),
            Rule.CLOSED_UNREAD,
            id="closed during or before failing reads",
        ),
        pytest.param(
            [_sent(), NodeSignalled(1.1, "n0", 1, signal.SIGKILL), ResponseMissing(1.1, "r", True, False)],
            [_sent(), NodeSignalled(2.9, "n0", 1, signal.SIGKILL), ResponseMissing(2.7, "r", False, False)],
            Rule.LOST,
            id="node killed before or after the response was due",
        ),
        pytest.param(
            [_sent("book"), _received(1.1), _done(1.1, AttemptResult.REJECTED), _received(1.2, "s1", 2)],
            [_sent("book"), _received(1.1), _done(1.1, AttemptResult.ERROR), _received(1.2, "s1", 2)],
            Rule.DUPLICATE,
            id="unsafe",
        ),
        pytest.param(
            [_sent("move"), _received(1.1), _done(1.2, AttemptResult.ERROR), _received(1.3, "s2", 2)],
            [_sent("move"), _received(1.1), _done(1.2, AttemptResult.ERROR), _received(1.3, "s1", 2)],
            Rule.DUPLICATE,
            id="keyed request executed in two zones",
        ),
        pytest.param(
            [_sent("move"), _received(1.1), _done(1.2, AttemptResult.ERROR), _received(1.4, "s2", 2)],
            [_sent("move"), _received(1.1), _done(1.2, AttemptResult.ERROR), _received(1.5, "s2", 2)],
            Rule.DUPLICATE,
            id="keyed request executed after the window",
        ),
        pytest.param(
            [_sent("book"), _received(1.1), _done(1.1, AttemptResult.REJECTED), _response(503)],
            [_sent("book"), _received(1.1), _done(1.1, AttemptResult.ABANDONED), _response(503)],
            Rule.REJECTED_AFTER_RUN,
            id="rejected after a possible execution",
        ),
        pytest.param(
            [_sent(), _response(503)],
            [_sent(), _response(503, retry_after_s=None)],
            Rule.RETRY_AFTER,
            id="no Retry-After",
        ),
        pytest.param(
            [_sent(), _response(503)],
            [_sent(), _response(503, retry_after_s=9.0)],
            Rule.RETRY_AFTER,
            id="too long Retry-After",
        ),
        pytest.param(
            [_sent(), _received(1.1), _done(1.2, AttemptResult.ABANDONED), _received(1.2, "s1", 2)],
            [_sent(), _received(1.1), _done(1.9, AttemptResult.ABANDONED), _received(1.2, "s1", 2)],
            Rule.HEDGED,
            id="hedged request",
        ),
        pytest.param(
            [_sent(), *(e for i in range(2) for e in (_received(1.1), _done(1.1, AttemptResult.REJECTED)))],
            [_sent(), *(e for i in range(3) for e in (_received(1.1), _done(1.1, AttemptResult.REJECTED)))],
            Rule.ATTEMPT_LIMIT,
            id="too many attempts",
        ),
        pytest.param(
            [EndpointNotified(0.5, "n0", "s0", Lifecycle.DRAINING, 2), _sent(at=1.4), _received(1.5)],
            [EndpointNotified(0.5, "n0", "s0", Lifecycle.DRAINING, 2), _sent(at=1.4), _received(1.6)],
            Rule.DRAIN,
            id="attempt after the drain grace",
        ),
        pytest.param(
            [_sent(), ClientLeft(1.2, "r"), _received(1.3)],
            [_sent(), ClientLeft(1.2, "r"), _received(1.4)],
            Rule.ATTEMPT_AFTER_CLIENT_LEFT,
            id="attempt after the client left",
        ),
        pytest.param(
            [_sent(), _received(1.1, forwarded_s=1.0)],
            [_sent(), _received(1.1, forwarded_s=1.1)],
            Rule.FORWARDED_DEADLINE,
            id="forwarded deadline too long",
        ),
        pytest.param(
            [_sent(), _received(1.1, forwarded_s=0.001)],
            [_sent(), _received(1.1, forwarded_s=-0.001)],
            Rule.FORWARDED_DEADLINE,
            id="forwarded deadline not positive",
        ),
        pytest.param(
            [_sent(), _received(1.1), _response(body=served_body("s0", "r"))],
            [_sent(), _received(1.1), _response(body=served_body("s0", "another"))],
            Rule.WRONG_BODY,
            id="wrong body",
        ),
        pytest.param(
            [ServerStarted(1.0, "s0", True), _sent(), *(_received(1.5, connection=i) for i in range(40))],
            [ServerStarted(1.0, "s0", True), _sent(), *(_received(1.5, connection=i) for i in range(80))],
            Rule.SLOW_START,
            id="overloaded during slow start",
        ),
        pytest.param(
            [NodeSignalled(1.0, "n0", 1, signal.SIGTERM), NodeExited(1.6, "n0", 1, 0)],
            [NodeSignalled(1.0, "n0", 1, signal.SIGHUP), NodeExited(1.0, "n0", 1, -1)],
            Rule.CRASH,
            id="crash",
        ),
        pytest.param(
            [NodeSignalled(1.0, "n0", 1, signal.SIGTERM), NodeExited(1.6, "n0", 1, 0)],
            [NodeSignalled(1.0, "n0", 1, signal.SIGTERM), NodeExited(1.6, "n0", 1, 120)],
            Rule.EXIT_CODE,
            id="exit code",
        ),
        pytest.param(
            [IncompleteRequestStopped(1.0, 1, "n0", 1), IncompleteRequestEnded(3.5, 1)],
            [IncompleteRequestStopped(1.0, 1, "n0", 1), IncompleteRequestEnded(4.5, 1)],
            Rule.BAD_CLIENT,
            id="client stopped within a request",
        ),
        pytest.param(
            [NodeMeasured(1.0, "n0", 1, 64, 20_000)],
            [NodeMeasured(1.0, "n0", 1, 65, 20_000)],
            Rule.DESCRIPTORS,
            id="descriptors",
        ),
        pytest.param(
            [NodeMeasured(1.0, "n0", 1, 20, 190_000)],
            [NodeMeasured(1.0, "n0", 1, 20, 193_000)],
            Rule.MEMORY,
            id="memory",
        ),
        pytest.param(
            [NodeLogged(1.0, "n0", 1, "INFO shutdown_started open_requests=0")],
            [NodeLogged(1.0, "n0", 1, "ERROR policy_failed event=RequestArrived")],
            Rule.INTERNAL,
            id="internal fault",
        ),
    ],
)
def test_rule_accepts_valid_history_and_rejects_invalid_history(
    valid: list[HistoryEvent], invalid: list[HistoryEvent], rule: Rule
) -> None:
    assert rule not in _broken_rules(*valid)
    assert rule in _broken_rules(*invalid)


def test_counters_that_miss_an_attempt_break_rule() -> None:
    exit_events = [NodeSignalled(2.0, "n0", 1, signal.SIGTERM), NodeExited(2.6, "n0", 1, 0)]
    events = [_sent(), _received(1.1), _done(1.2, AttemptResult.ERROR), _response(502)]
    counted = NodeLogged(
        2.5, "n0", 1, "INFO counters_reported accepted=1 abandoned=0 written=1 responses=502:1"
    )
    not_counted = replace(counted, line=counted.line.replace("written=1", "written=0"))
    assert Rule.COUNTERS not in _broken_rules(*events, counted, *exit_events)
    assert Rule.COUNTERS in _broken_rules(*events, not_counted, *exit_events)


def test_node_without_attempts_for_several_seconds_breaks_rule() -> None:
    requests: list[HistoryEvent] = []
    for i in range(20):
        sent = RequestSent(1.0 + 0.25 * i, 1.0 + 0.25 * i, f"r{i}", "n0", 1, "look", 1.0)
        requests += [sent, ResponseReceived(sent.at + 0.05, sent.request_id, 503, b"", 0.1)]
    attempt = AttemptReceived(3.0, 3.0, "s0", 1, ADDRESS, "r8", 0.5)
    assert Rule.STARVED in _broken_rules(*requests)
    assert Rule.STARVED not in _broken_rules(*requests, attempt)
