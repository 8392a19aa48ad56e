"""Tests of ejection, health checks, trials, silent endpoints and cooldown."""

from __future__ import annotations

import pytest

from load_balancer.actions import CheckHealth, CloseIdleConnections
from load_balancer.events import Endpoint, HealthCheckEnded, Outcome
from tests.policy.memory_inspection import endpoints_in_memory
from tests.policy.simulated_host import SimulatedHost, make_host

FAULTY = bytes([2])
NON_IDEMPOTENT_CLASS = 1


# ---------------------------------------------------------------- ejection


def test_errors_eject_an_endpoint_and_a_health_check_readmits_it() -> None:
    host = make_host(health_checks_allowed=True, warm_up_ms=1000.0)
    host.serve(60, failing=FAULTY)
    assert any(
        "0x" not in line and line.startswith("endpoint_ejected endpoint=02 outcome=error")
        for line in host.log_lines()
    )
    assert CloseIdleConnections(FAULTY) in host.actions
    for _ in range(60):  # a health check and one successful trial readmit the endpoint
        host.advance(20)
        while host.health_checks:
            host.handle(HealthCheckEnded(host.health_checks.pop(), Outcome.OK, 1.0))
        host.serve(2)
    assert CheckHealth(FAULTY) in host.actions and "endpoint_readmitted endpoint=02" in host.log_lines()


def test_a_half_open_trial_is_never_a_non_idempotent_request(two_class_host: SimulatedHost) -> None:
    host = two_class_host
    host.serve(60, failing=FAULTY)
    host.advance(2000)
    host.health_checks.clear()
    host.handle(HealthCheckEnded(FAULTY, Outcome.OK, 1.0))
    action_count = len(host.actions)
    for _ in range(40):
        host.end_attempt(host.receive_request(NON_IDEMPOTENT_CLASS), 0, Outcome.OK)
    assert FAULTY not in host.endpoints_sent_to(action_count)


def test_errors_of_all_endpoints_eject_at_most_a_third() -> None:
    host = make_host(endpoint_count=9)
    for _ in range(100):
        request = host.receive_request()
        host.advance(10)
        for number in host.in_flight(request):
            host.end_attempt(request, number, Outcome.ERROR)
    ejected = {fields["endpoint"] for fields in host.log_fields("endpoint_ejected")}
    assert len(ejected) <= 3


def test_a_removed_endpoint_is_not_readmitted() -> None:
    host = make_host(health_checks_allowed=True, warm_up_ms=1000.0)
    while not host.log_fields("endpoint_ejected"):
        host.serve(1, failing=FAULTY)
    since = len(host.actions)
    host.update_endpoints(Endpoint(bytes([i])) for i in range(6) if bytes([i]) != FAULTY)
    host.advance(5000)  # beyond the end of its ejection
    assert CheckHealth(FAULTY) not in host.actions[since:]
    assert FAULTY not in endpoints_in_memory(host.balancer)


# ---------------------------------------------------------------- silent endpoints and cooldown


def test_a_silent_endpoint_gets_no_requests(host: SimulatedHost) -> None:
    host.serve(60)
    silent = host.requests[host.receive_request()].endpoint_of(0)
    for _ in range(10):
        host.now += 20.0
        request = host.receive_request()
        if host.requests[request].endpoint_of(0) != silent:
            host.end_attempt(request, 0, Outcome.OK)
    action_count = len(host.actions)
    for _ in range(40):
        host.end_attempt(host.receive_request(), 0, Outcome.OK)
    for _ in range(24):  # so many in flight that the silent endpoint's limit would allow more
        host.receive_request()
    assert len(host.endpoints_sent_to(action_count)) == 64
    assert silent not in host.endpoints_sent_to(action_count)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.TIMEOUT])
@pytest.mark.parametrize("answers", [False, True])
def test_a_late_outcome_starts_a_cooldown_only_if_the_endpoint_was_silent(
    outcome: Outcome, answers: bool
) -> None:
    """A node with few requests must not wait until the latency average shows that a server is overloaded."""
    host = make_host(endpoint_count=5)
    host.serve(60)
    late = host.receive_request()
    endpoint = host.requests[late].endpoint_of(0)
    others = [host.receive_request() for _ in range(12)]
    host.now += 100.0
    for request in others:  # unless ``answers`` is set, the endpoint answers none of these before ``late``
        for number in list(host.in_flight(request)):
            if answers or host.requests[request].endpoint_of(number) != endpoint:
                host.end_attempt(request, number, Outcome.OK)
    host.now += 300.0
    host.end_attempt(late, 0, outcome)
    host.end_attempts(others, outcome)
    action_count = len(host.actions)
    host.serve(25)
    assert (endpoint in host.endpoints_sent_to(action_count)) is answers
    host.advance(1000)
    action_count = len(host.actions)
    host.serve(60)
    assert endpoint in host.endpoints_sent_to(action_count)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.NOT_SENT])
def test_a_slowdown_of_all_endpoints_starts_the_cooldown_of_at_most_a_third(outcome: Outcome) -> None:
    """Cooldown is for an endpoint that is slower than its peers.

    If all endpoints become slower, attempt timeouts adapt to that.
    """
    host = make_host(endpoint_count=9, max_attempts=1)
    host.serve(60)
    requests = [host.receive_request() for _ in range(9)]
    assert len({host.requests[r].endpoint_of(0) for r in requests}) >= 6
    host.now += 600.0
    host.end_attempts(requests, outcome)
    action_count = len(host.actions)
    for _ in range(60):  # no time passes: endpoints stay in cooldown
        host.end_attempt(host.receive_request(), 0, Outcome.OK)
    assert len(set(host.endpoints_sent_to(action_count))) >= 6


def test_an_endpoint_that_rejects_all_requests_gets_few_requests_for_a_while() -> None:
    """Servers may drain before the endpoint list says so; their rejections are no sign of congestion."""
    host = make_host(endpoint_count=5)
    host.serve(60)
    since = len(host.actions)
    host.serve(120, failing=FAULTY, outcome=Outcome.REJECTED)
    assert host.log_lines() == []
    assert host.endpoints_sent_to(since).count(FAULTY) <= 8
    host.serve(200)
    assert FAULTY in host.endpoints_sent_to(len(host.actions) - 600), "no requests after its rejections ended"
