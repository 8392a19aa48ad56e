"""Tests of circuit breakers, for endpoints that fail the requests of one class."""

from __future__ import annotations

from load_balancer.events import Outcome
from tests.policy.sample_classes import IDEMPOTENT, NON_IDEMPOTENT
from tests.policy.simulated_host import SimulatedHost, make_host

FAULTY = bytes([2])
IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS = 0, 1


def serve_class(host: SimulatedHost, class_index: int, outcome: Outcome, endpoint: bytes = FAULTY) -> bool:
    """Serve a request of this class and return whether it was sent to ``endpoint``.

    The attempt ends with ``outcome`` at this endpoint, and successfully at any other endpoint.
    """
    request = host.receive_request(class_index)
    host.advance(20)
    sent_to_endpoint = host.requests[request].endpoint_of(0) == endpoint
    host.end_attempt(request, 0, outcome if sent_to_endpoint else Outcome.OK)
    return sent_to_endpoint


def serve_class_until(host: SimulatedHost, outcome: Outcome, endpoint: bytes = FAULTY) -> None:
    """Serve non-idempotent requests until a request has ended with this outcome at this endpoint."""
    while not serve_class(host, NON_IDEMPOTENT_CLASS, outcome, endpoint):
        pass


def open_circuit_breaker(host: SimulatedHost) -> None:
    """Fail non-idempotent requests at the faulty endpoint until its circuit breaker opens."""
    while not host.log_fields("circuit_breaker_opened"):
        serve_class_until(host, Outcome.ERROR)


def test_an_endpoint_that_fails_one_class_serves_the_others(two_class_host: SimulatedHost) -> None:
    """A successful trial with a request of another class must not readmit the class that fails."""
    host = two_class_host
    for _ in range(200):
        serve_class(host, IDEMPOTENT_CLASS, Outcome.OK)
        serve_class(host, NON_IDEMPOTENT_CLASS, Outcome.ERROR)
    assert not host.log_fields("endpoint_ejected"), "the endpoint was ejected for all classes"
    assert any(
        line.startswith("circuit_breaker_opened endpoint=02 class=w pause_ms=") for line in host.log_lines()
    )
    failed_requests = [
        request
        for request in host.requests.values()
        if request.request_class is NON_IDEMPOTENT and request.attempts[-1].outcome is Outcome.ERROR
    ]
    # In 8 s there are two or three trials; without a circuit breaker dozens of requests would fail.
    assert len(failed_requests) <= 2 + 3
    action_count = len(host.actions)
    for _ in range(60):
        serve_class(host, IDEMPOTENT_CLASS, Outcome.OK)
    assert FAULTY in host.endpoints_sent_to(
        action_count
    ), "the endpoint got no request of the class that it serves"


def test_a_circuit_breaker_closes_after_successful_trials(two_class_host: SimulatedHost) -> None:
    host = two_class_host
    host.serve(30)
    open_circuit_breaker(host)
    host.advance(6000)
    for _ in range(100):
        serve_class(host, NON_IDEMPOTENT_CLASS, Outcome.OK)
    requests = [host.receive_request(NON_IDEMPOTENT_CLASS) for _ in range(18)]
    endpoints = [host.requests[r].endpoint_of(0) for r in requests]
    assert endpoints.count(FAULTY) >= 2  # a half-open circuit breaker admits only one at a time
    host.end_attempts(requests)
    serve_class_until(host, Outcome.ERROR)
    # One more error does not open the circuit breaker again.
    (opened,) = host.log_fields("circuit_breaker_opened")
    assert opened["endpoint"] == FAULTY and opened["class"] == "w"


def test_errors_of_an_inner_tier_at_all_endpoints_open_no_circuit_breaker() -> None:
    """An inner tier fails one request in twelve, so two errors in a row at one endpoint may be chance."""
    host = make_host(IDEMPOTENT, NON_IDEMPOTENT, endpoint_count=4, tier_count=2)
    endpoint = bytes([0])
    for number in range(240):
        host.end_attempts([host.receive_request(IDEMPOTENT_CLASS)])
        request = host.receive_request(NON_IDEMPOTENT_CLASS)
        host.advance(20)
        host.end_attempt(request, 0, Outcome.OK if number % 12 else Outcome.ERROR)
    for _ in range(6):
        serve_class_until(host, Outcome.OK, endpoint)
    for _ in range(2):
        serve_class_until(host, Outcome.ERROR, endpoint)
    assert host.log_lines() == []
    assert any(serve_class(host, NON_IDEMPOTENT_CLASS, Outcome.OK, endpoint) for _ in range(30))
    assert not host.log_fields("circuit_breaker_opened")


def test_one_error_after_a_successful_trial_does_not_open_the_circuit_breaker_again() -> None:
    """The failure rate from before the trial must not count: the next error may come from an inner tier."""
    host = make_host(IDEMPOTENT, NON_IDEMPOTENT, warm_up_ms=1000.0)
    host.serve(60)
    open_circuit_breaker(host)
    host.advance(6000)
    serve_class_until(host, Outcome.OK)
    serve_class_until(host, Outcome.ERROR)
    failed_at = host.now
    serve_class_until(host, Outcome.OK)
    assert host.now - failed_at < 1500.0  # a circuit breaker of this class is open for at least 3 s
    assert len(host.log_fields("circuit_breaker_opened")) == 1
