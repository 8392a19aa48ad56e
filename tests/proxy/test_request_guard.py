"""Tests of the last check before an attempt is written or a request is rejected.

The check does not rely on the policy's records.
"""

from __future__ import annotations

import pytest

from load_balancer.events import Endpoint, Outcome
from load_balancer.proxy.observability.rule_monitor import Rule
from load_balancer.proxy.request_guard import RequestGuard
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from tests.proxy.async_support import async_test
from tests.proxy.node_environment import running_node
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, reset

FIRST_ENDPOINT = Endpoint(b"first", zone=0, cell=0)
SAME_ZONE = Endpoint(b"same-zone", zone=0, cell=1)
OTHER_ZONE = Endpoint(b"other-zone", zone=1, cell=2)
WINDOW_MS = 500.0


def _guard(
    idempotency: Idempotency,
    scope: DeduplicationScope = DeduplicationScope.ALL,
    *,
    hedging_allowed: bool = True,
) -> RequestGuard:
    request_class = RequestClass(
        "c",
        1000.0,
        2000.0,
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window_ms=WINDOW_MS,
    )
    settings = Settings(classes=(request_class,), max_attempts=2, hedging_allowed=hedging_allowed)
    return RequestGuard(settings, 0)


def _after_first_attempt(guard: RequestGuard, outcome: Outcome | None) -> RequestGuard:
    guard.record_write(0, FIRST_ENDPOINT, 0.0)
    if outcome is not None:
        guard.record_outcome(0, outcome)
    return guard


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_request_that_has_not_run_may_be_repeated_and_rejected(outcome: Outcome) -> None:
    guard = _after_first_attempt(_guard(Idempotency.NON_IDEMPOTENT), outcome)
    assert guard.check_write(OTHER_ZONE, 10.0) is None
    assert guard.may_reject()


@pytest.mark.parametrize("outcome", [None, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR, Outcome.CANCELLED])
def test_request_that_may_have_run_is_not_repeated_or_rejected(outcome: Outcome | None) -> None:
    guard = _after_first_attempt(_guard(Idempotency.NON_IDEMPOTENT), outcome)
    assert guard.check_write(OTHER_ZONE, 10.0) is Rule.REPEATED
    assert not guard.may_reject()


@pytest.mark.parametrize(
    ("scope", "endpoint", "rule"),
    [
        (DeduplicationScope.ALL, OTHER_ZONE, None),
        (DeduplicationScope.ZONE, SAME_ZONE, None),
        (DeduplicationScope.ZONE, OTHER_ZONE, Rule.OUTSIDE_SCOPE),
        (DeduplicationScope.CELL, FIRST_ENDPOINT, None),
        (DeduplicationScope.CELL, SAME_ZONE, Rule.OUTSIDE_SCOPE),
    ],
)
def test_keyed_request_is_repeated_within_scope_and_window(
    scope: DeduplicationScope, endpoint: Endpoint, rule: Rule | None
) -> None:
    guard = _after_first_attempt(_guard(Idempotency.KEYED, scope), Outcome.TIMEOUT)
    assert guard.check_write(endpoint, WINDOW_MS - 1.0) is rule
    assert guard.check_write(FIRST_ENDPOINT, WINDOW_MS) is Rule.OUTSIDE_WINDOW
    assert guard.may_reject() is (scope is DeduplicationScope.ALL)


def test_limits_of_the_settings_are_enforced() -> None:
    guard = _after_first_attempt(_guard(Idempotency.IDEMPOTENT, hedging_allowed=False), None)
    assert guard.check_write(OTHER_ZONE, 1.0) is Rule.CONCURRENT
    guard.record_outcome(0, Outcome.RESET)
    assert guard.check_write(OTHER_ZONE, 1.0) is None
    guard.record_write(1, OTHER_ZONE, 1.0)
    guard.record_outcome(1, Outcome.RESET)
    assert guard.check_write(FIRST_ENDPOINT, 2.0) is Rule.ATTEMPT_LIMIT
    assert _guard(Idempotency.IDEMPOTENT).check_write(None, 0.0) is Rule.NOT_SERVING


@async_test
async def test_forbidden_repeat_by_faulty_policy_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("load_balancer.policy.selection.permits_attempt", lambda *_: True)
    async with (
        StubServer([reset, reply("200 OK")]) as endpoint_a,
        StubServer([reset, reply("200 OK")]) as endpoint_b,
        running_node(row("a", endpoint_a.address), row("b", endpoint_b.address)) as environment,
    ):
        client = await environment.connect_client()
        assert (await client.fetch("book", deadline="0.5")).status >= 500
        assert len(endpoint_a.received) + len(endpoint_b.received) == 1
        assert environment.node.rules.violations[Rule.REPEATED] >= 1


@async_test
async def test_forbidden_rejection_by_faulty_policy_becomes_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("load_balancer.state.request_records.Request.repeatable_anywhere", lambda _: True)
    async with StubServer([reset]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        assert (await (await environment.connect_client()).fetch("book")).status == 502
        assert environment.node.rules.violations == {Rule.REJECTED_AFTER_RUN: 1}
