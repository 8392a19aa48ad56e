"""Tests of the whole balancer: rules on random event streams, impossible events and invalid settings."""

from __future__ import annotations

import pytest

from load_balancer import Balancer
from load_balancer.actions import FailRequest, RejectRequest, SendAttempt
from load_balancer.events import (
    AttemptEnded,
    EndpointListKind,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    TimerFired,
    UnexpectedEventError,
)
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings, SettingsError
from tests.policy.random_events import RandomEvents
from tests.policy.sample_classes import IDEMPOTENT, NON_IDEMPOTENT, endpoints_in_cells, keyed
from tests.policy.simulated_host import SimulatedHost, make_host

CLASSES = (
    IDEMPOTENT,
    RequestClass("unsafe", 1000, 3000, idempotency=Idempotency.NON_IDEMPOTENT),
    keyed(DeduplicationScope.ALL, 1500),
    keyed(DeduplicationScope.ZONE, 1500),
    keyed(DeduplicationScope.CELL, 400),
)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("hedging_allowed", [True, False])
@pytest.mark.parametrize("tier_index", [0, 1])
def test_the_rules_hold_on_random_event_streams(seed: int, hedging_allowed: bool, tier_index: int) -> None:
    settings = Settings(
        classes=CLASSES,
        tier_index=tier_index,
        tier_count=2,
        response_slack_ms=20.0,
        tick_ms=5.0,
        hedging_allowed=hedging_allowed,
        health_checks_allowed=True,
        poll_endpoint_list=bool(seed % 2),
        max_attempts=2 + seed % 4,
    )
    host = SimulatedHost(settings, seed)
    host.update_endpoints(endpoints_in_cells(8), EndpointListKind.CACHED)
    RandomEvents(host, seed).run(1500)
    assert sum(isinstance(a, SendAttempt) for a in host.actions) > 100
    assert all(request.answered_at is not None for request in host.requests.values())


def test_identical_events_give_identical_actions() -> None:
    streams = []
    for _ in range(2):
        host = make_host(endpoint_count=0, seed=3, health_checks_allowed=True)
        host.update_endpoints(endpoints_in_cells(6))
        RandomEvents(host, 3).run(400)
        streams.append(host.actions)
    assert streams[0] == streams[1]


def test_a_request_is_answered_though_no_endpoint_is_known() -> None:
    host = make_host(NON_IDEMPOTENT, endpoint_count=0, seed=3)
    host.receive_request()
    for _ in range(400):
        host.advance(10)
    answers = [type(a) for a in host.actions if isinstance(a, RejectRequest | FailRequest)]
    assert answers == [RejectRequest]


def test_instant_responses_cause_no_division_by_zero(host: SimulatedHost) -> None:
    for _ in range(100):
        host.end_attempt(host.receive_request(), 0, Outcome.OK)
    assert all(request.answered_at is not None for request in host.requests.values())


def test_outdated_events_are_ignored_and_impossible_events_are_errors() -> None:
    balancer = Balancer(Settings(classes=(IDEMPOTENT,)), seed=1)
    assert balancer.handle(RequestAbandoned(77), 1.0) == []
    assert balancer.handle(TimerFired(9), 1.0) == []
    with pytest.raises(UnexpectedEventError, match="is not in flight"):
        balancer.handle(AttemptEnded(5, 0, b"x", Outcome.OK, 1.0, True), 2.0)
    with pytest.raises(UnexpectedEventError, match="unknown class"):
        balancer.handle(RequestArrived(6, 9, 100.0), 2.0)
    balancer.handle(RequestArrived(7, 0, 100.0), 2.0)
    with pytest.raises(UnexpectedEventError, match="twice"):
        balancer.handle(RequestArrived(7, 0, 100.0), 2.0)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("classes", ()),
        ("max_attempts", 0),
        ("node_count", 0),
        ("warm_up_ms", -1.0),
        ("tick_ms", float("nan")),
    ],
)
def test_the_error_for_an_invalid_setting_names_the_field(field: str, value: object) -> None:
    values: dict[str, object] = {"classes": (IDEMPOTENT,), field: value}
    with pytest.raises(SettingsError, match=field):
        Settings(**values)  # type: ignore[arg-type]
    with pytest.raises(SettingsError, match="latency_objective_ms"):
        RequestClass("x", -5.0, 100.0)
