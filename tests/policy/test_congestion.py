"""Tests of the congestion signal and its baseline latency, which start and stop load shedding."""

from __future__ import annotations

import pytest

from load_balancer.actions import RejectRequest
from load_balancer.events import (
    Outcome,
)
from tests.policy.overload_helpers import (
    SLOW_CLASS,
    log_event_names,
)
from tests.policy.simulated_host import make_host

# ---------------------------------------------------------------- congestion


def test_rising_latency_starts_load_shedding_and_baseline_latency_stops_it() -> None:
    host = make_host(endpoint_count=4)
    host.serve(100, latency_ms=20.0)
    assert host.log_lines() == []
    host.serve(60, latency_ms=200.0)
    assert "load_shedding_started" in log_event_names(host)
    host.serve(200, latency_ms=20.0)
    assert log_event_names(host)[-1] == "load_shedding_stopped"


def test_few_responses_signal_congestion_sooner_than_many() -> None:
    """A node with few responses must not wait until five of them have taken twice the baseline latency.

    By that time the servers are already overloaded.
    """
    events = []
    for pause_ms in (5.0, 2000.0):
        host = make_host()
        for latency_ms in [20.0] * 60 + [32.0] * 60:
            request = host.receive_request()
            host.advance(latency_ms)
            host.end_attempt(request, 0, Outcome.OK)
            host.advance(pause_ms)
        events.append(log_event_names(host))
    assert events == [[], ["load_shedding_started"]]


@pytest.mark.parametrize(("rejecting", "sheds"), [(1, False), (2, True)])
def test_rejections_signal_congestion_only_if_more_than_a_third_of_the_endpoints_reject(
    rejecting: int, sheds: bool
) -> None:
    """Servers that drain one after another reject requests without any congestion.

    Latencies stay just below their target, so that load shedding starts as soon as a single rejection is
    taken as a signal of congestion.
    """
    host = make_host(endpoint_count=5)
    host.serve(18, latency_ms=380.0)
    assert host.log_lines() == []
    rejected: set[bytes] = set()
    for _ in range(12):
        request = host.receive_request()
        host.now += 5.0
        for number in host.in_flight(request):
            endpoint = host.requests[request].endpoint_of(number)
            if endpoint in rejected or len(rejected) < rejecting:
                rejected.add(endpoint)
                host.end_attempt(request, number, Outcome.REJECTED)
        host.end_attempts([request], Outcome.CLIENT_ERROR)
    host.advance(400.0)
    for request in [host.receive_request() for _ in range(8)]:
        for number in host.in_flight(request):
            if host.requests[request].endpoint_of(number) in rejected:
                host.end_attempt(request, number, Outcome.REJECTED)
    assert len(rejected) == rejecting
    assert bool(host.log_fields("load_shedding_started")) is sheds


def test_rejections_of_all_requests_start_load_shedding() -> None:
    host = make_host(endpoint_count=5)
    host.serve(60)
    for _ in range(40):
        request = host.receive_request()
        host.advance(10)
        for number in host.in_flight(request):
            host.end_attempt(request, number, Outcome.REJECTED)
    assert log_event_names(host)[-1] == "load_shedding_started"


# ---------------------------------------------------------------- the baseline


def test_the_first_quick_responses_do_not_set_the_baseline() -> None:
    """The first responses to simultaneous requests are the quickest and must not set the baseline."""
    host = make_host(endpoint_count=30)
    requests = [host.receive_request() for _ in range(150)]
    sent = [r for r in requests if host.requests[r].attempts]
    for request in sent[:60]:  # the quickest responses
        host.advance(1)
        host.end_attempt(request, 0, Outcome.OK)
    for _ in range(10):
        host.advance(20)
    for request in list(host.requests):
        for number in host.in_flight(request):
            host.end_attempt(request, number, Outcome.OK)
    action_count = len(host.actions)
    host.serve(150, latency_ms=150.0)
    assert not any(isinstance(a, RejectRequest) for a in host.actions[action_count:])
    assert not host.log_fields("load_shedding_started")


def test_the_first_responses_of_an_idle_fleet_do_not_set_the_baseline() -> None:
    """The usual mean latency may be twice the mean latency of a node's first few responses."""
    host = make_host(SLOW_CLASS)
    host.serve(12, latency_ms=50.0)
    host.serve(60, latency_ms=150.0)
    assert not host.log_fields("load_shedding_started")
