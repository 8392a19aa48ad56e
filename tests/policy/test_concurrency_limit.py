"""Tests of the adaptive concurrency limit: growth, reduction, and the effect of the endpoint list."""

from __future__ import annotations

import pytest

from load_balancer.actions import RejectRequest
from load_balancer.events import (
    Endpoint,
    EndpointListKind,
    EndpointState,
    Outcome,
)
from load_balancer.settings import Settings
from tests.policy.overload_helpers import (
    INITIAL_LIMIT_PER_SERVER,
    SLOW_CLASS,
    SLOWEST_CLASS,
    end_attempts_older_than,
    endpoint_ids,
    log_event_names,
)
from tests.policy.simulated_host import SimulatedHost, make_host


def admitted_fraction(host: SimulatedHost, count: int) -> float:
    """Return the fraction of requests that are sent while no other attempt is in flight.

    A fraction below one shows a limit below one.  The requests end with a client error, which says
    nothing about the load, so they do not change the limit.
    """
    requests = []
    for _ in range(count):
        requests.append(host.receive_request())
        host.end_attempts(requests[-1:], Outcome.CLIENT_ERROR)
        host.advance(100.0)  # by then a request that was not sent has been rejected
    return sum(bool(host.requests[request].attempts) for request in requests) / count


# ---------------------------------------------------------------- the concurrency limit


def test_the_limit_grows_no_further_than_the_peak_rate_needs() -> None:
    """Before the first slow responses arrive, the limit must not double to more than the servers sustain."""
    host = make_host(endpoint_count=4)
    host.serve(100, latency_ms=20.0)
    rate, baseline_ms = 1 / 20.0, 20.0
    for _ in range(400):  # more requests arrive, but they are answered at an unchanged rate
        host.receive_request()
        host.receive_request()
        in_flight = [(r, n) for r in host.requests for n in host.in_flight(r)]
        host.advance(20)
        if in_flight:
            host.end_attempt(*in_flight[-1], Outcome.OK)  # older attempts get no response
    needed = max(1.65 * rate * baseline_ms, INITIAL_LIMIT_PER_SERVER * 4)
    assert host.count_in_flight(host.requests) <= needed + needed**0.5


def test_the_limit_stays_near_what_the_peak_rate_needs_with_many_requests_in_service() -> None:
    host = SimulatedHost(Settings(classes=(SLOWEST_CLASS,), tier_count=3), seed=3)
    host.update_endpoints(map(Endpoint, endpoint_ids(2)))
    for _ in range(3000):  # one request every 10 ms, answered after 1 s
        host.advance(10.0)
        end_attempts_older_than(host, 1000.0, Outcome.OK)
        host.receive_request()
    for _ in range(200):  # four times as many requests arrive, answered at the same rate
        host.advance(10.0)
        end_attempts_older_than(host, 1000.0, Outcome.OK, max_count=1)
        for _ in range(4):
            host.receive_request()
    needed = 1.65 * 100
    assert 1.5 * 100 <= host.count_in_flight(host.unfinished) <= needed + needed**0.5


def test_the_peak_rate_of_few_responses_is_lowered_by_its_uncertainty() -> None:
    """The highest of the response rates measured over many short periods is twice the true rate.

    It must not keep the limit high.
    """
    host = make_host(node_count=100, max_attempts=1)
    host.serve(60, latency_ms=200.0)  # five responses a second: one attempt in flight at a time
    while not host.log_fields("load_shedding_started"):  # the limit falls to what the peak rate needs
        host.receive_request()
        host.end_attempts(sorted(host.unfinished), Outcome.REJECTED)
        host.advance(10.0)
    (started,) = host.log_fields("load_shedding_started")
    limit, congestion = started["concurrency_limit"], started["congestion"]
    assert started["baseline_latency_ms"] == pytest.approx(200.0)
    assert isinstance(limit, float) and isinstance(congestion, float)
    assert 1.05 / congestion < limit < 1.0  # a single reduction from 1 gives 1 / congestion


def test_a_limit_below_one_admits_that_fraction_of_the_requests() -> None:
    """With hundreds of nodes, a limit of one request per node would add up to far too many requests."""
    host = make_host(node_count=20)  # minimum limit: one attempt per server, 6 servers / 20 nodes = 0.3
    host.serve(60)
    host.serve(60, latency_ms=1000.0)  # far above the target: the limit falls to its minimum
    sent = 0
    for _ in range(400):
        request = host.receive_request()
        if host.requests[request].attempts:
            sent += 1
            host.advance(1000.0)
            host.end_attempt(request, 0, Outcome.OK)
        else:
            host.advance(100.0)  # the request is rejected after its queue timeout
    assert 80 <= sent <= 160


def test_the_limit_falls_within_a_few_latency_objectives_if_all_attempts_time_out() -> None:
    """With all attempts overdue, a reduction by a tenth once per mean latency would not drain the queues."""
    host = make_host(node_count=600)
    host.serve(12, latency_ms=50.0)
    burst = [host.receive_request() for _ in range(12)]
    before = host.count_in_flight(burst)
    host.end_attempts(burst, Outcome.CLIENT_ERROR)
    started = host.now
    while host.now - started < 15_000.0:  # fifteen latency objectives; every attempt times out
        for _ in range(3):
            host.receive_request()
        for _ in range(20):
            host.advance(50.0)
            end_attempts_older_than(host, 1000.0, Outcome.TIMEOUT)
    host.end_attempts(sorted(host.unfinished), Outcome.CLIENT_ERROR)
    assert before >= INITIAL_LIMIT_PER_SERVER and admitted_fraction(host, 200) < 0.7


@pytest.mark.parametrize("latency_ms", [200.0, 1000.0])
def test_the_limit_allows_each_endpoint_one_request_for_each_remaining_tier(latency_ms: float) -> None:
    """The first responses may set too low a baseline latency; that must not cause load shedding all day."""
    host = make_host(SLOW_CLASS, endpoint_count=4, tier_count=3, tier_index=0)
    host.serve(60, latency_ms=50.0)  # sets the baseline latency
    host.serve(60, latency_ms=latency_ms)  # above the baseline, but within the objective
    assert host.log_fields("load_shedding_started")
    requests = [host.receive_request() for _ in range(30)]
    assert host.count_in_flight(requests) >= 3 * 4 - 1


def test_a_burst_well_within_the_latency_objective_is_not_rejected() -> None:
    """The latencies of the burst are above the baseline latency, but well within the objective.

    A limit derived from the baseline latency alone would halve the response rate, and so half of the
    requests would be rejected.
    """
    host = make_host(SLOW_CLASS, endpoint_count=4, tier_count=3, tier_index=0)
    for latency_ms in [60.0] * 300 + [300.0] * 500:  # one request every 20 ms
        host.receive_request()
        host.advance(20.0)
        for request in sorted(host.unfinished):
            attempts = host.requests[request].attempts
            if attempts and attempts[0].in_flight() and host.now - attempts[0].sent_at >= latency_ms:
                host.end_attempt(request, 0, Outcome.OK)
    assert host.log_fields("load_shedding_started")
    assert sum(isinstance(a, RejectRequest) for a in host.actions) < 25


# ---------------------------------------------------------------- the effect of the endpoint list


def test_the_limit_follows_the_endpoints_that_are_listed() -> None:
    """The limit learned from many endpoints must not overload the few that remain.

    Latencies show the lower capacity only once the remaining servers are overloaded.
    """
    host = make_host(endpoint_count=8, seed=4, warm_up_ms=20_000.0)
    host.serve_at_constant_rate(4.0, 160)
    before = host.count_in_flight([host.receive_request() for _ in range(60)])
    removed = [Endpoint(endpoint, EndpointState.REMOVED) for endpoint in endpoint_ids(4)]
    host.update_endpoints(removed, EndpointListKind.DELTA)
    host.answer_all_attempts()
    after = host.count_in_flight([host.receive_request() for _ in range(60)])
    assert before >= INITIAL_LIMIT_PER_SERVER * 8 - 1
    assert INITIAL_LIMIT_PER_SERVER * 4 - 3 <= after <= INITIAL_LIMIT_PER_SERVER * 4


def test_the_limit_does_not_count_ejected_endpoints() -> None:
    """When a zone fails, the endpoint list still contains its servers for a while."""
    host = make_host(endpoint_count=8, seed=4, warm_up_ms=20_000.0, health_checks_allowed=True)
    host.serve_at_constant_rate(4.0, 160)
    failed_endpoints = set(endpoint_ids(2))
    # Health checks are not answered, so that ejected endpoints stay ejected.
    while {fields["endpoint"] for fields in host.log_fields("endpoint_ejected")} != failed_endpoints:
        host.advance(10.0)
        request = host.receive_request()
        for number in list(host.in_flight(request)):
            fails = host.requests[request].endpoint_of(number) in failed_endpoints
            host.end_attempt(request, number, Outcome.RESET if fails else Outcome.OK)
    assert log_event_names(host) == ["endpoint_ejected"] * 2
    host.answer_all_attempts()
    requests = [host.receive_request() for _ in range(60)]
    host.advance(150.0)  # after the queue timeout, final attempts are sent up to the limit
    assert INITIAL_LIMIT_PER_SERVER * 6 - 3 <= host.count_in_flight(requests) <= INITIAL_LIMIT_PER_SERVER * 6


def test_a_third_tier_raises_the_capacity_bound_as_it_raises_the_initial_limit() -> None:
    """With three tiers of servers, latencies of 1.7 times the baseline are no sign of congestion.

    The capacity bound limits a node's attempts in flight.  At a given rate of responses, the number of
    attempts in flight is proportional to the latency.  At 1.7 times the baseline latency it is therefore 1.7
    times the number in service.  So with three tiers the bound must exceed 1.7 times the number in service.
    """
    limits = []
    per_s = 60
    for tiers in (2, 3):
        host = SimulatedHost(Settings(classes=(SLOWEST_CLASS,), tier_count=tiers), seed=3)
        host.update_endpoints(map(Endpoint, endpoint_ids(12)))
        for _ in range(10 * per_s):  # every response takes 1 s, so that per_s requests are in service
            host.advance(1000.0 / per_s)
            end_attempts_older_than(host, 1000.0, Outcome.OK)
            host.receive_request()
        # One server remains: the initial limit is six or nine requests, far fewer than are in service.
        host.update_endpoints([Endpoint(bytes([0]))])
        burst = [host.receive_request() for _ in range(200)]
        assert not all(host.requests[request].attempts for request in burst)
        limits.append(host.count_in_flight(host.unfinished) / per_s)
    assert limits[1] == pytest.approx(1.5 * limits[0], rel=0.03)
    assert limits[1] > 1.7


def rejected_fraction(latency_ms: float, tiers: int, per_s: int) -> float:
    """Return the fraction of requests, arriving at a constant rate, that are never sent.

    Servers answer each attempt after ``latency_ms``, without any queue.
    """
    settings = Settings(
        (SLOWEST_CLASS,),
        node_count=13,
        tier_count=tiers,
        warm_up_ms=20_000.0,
        response_slack_ms=500.0,
    )
    host = SimulatedHost(settings, seed=4)
    host.update_endpoints(map(Endpoint, endpoint_ids(15)))
    for _ in range(20 * per_s):
        host.advance(1000.0 / per_s)
        end_attempts_older_than(host, latency_ms, Outcome.OK)
        host.receive_request()
    host.answer_all_attempts()
    return sum(not request.attempts for request in host.requests.values()) / len(host.requests)


@pytest.mark.parametrize(("tiers", "max_fraction"), [(3, 0.1), (2, 0.2)])
def test_requests_with_long_service_times_are_not_rejected_for_their_number(
    tiers: int, max_fraction: float
) -> None:
    """Without congestion, few requests are rejected even if long service times keep many of them in service.

    With responses after 1.3 s and a latency objective of 4.5 s, more requests are in service than the initial
    limit of six for each server, without any congestion.
    """
    assert rejected_fraction(latency_ms=1300.0, tiers=tiers, per_s=9) < max_fraction


def test_requests_in_flight_stay_bounded_if_no_request_is_answered() -> None:
    """Only responses may raise the capacity bound; requests without a response must not raise it."""
    assert rejected_fraction(latency_ms=60_000.0, tiers=3, per_s=9) > 0.8
