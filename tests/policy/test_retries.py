"""Tests of retries, hedged requests, the retry budget and the answers to requests that are not served."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.actions import CancelAttempt, CloseIdleConnections, FailRequest, RejectRequest
from load_balancer.events import Endpoint, EndpointListKind, EndpointState, Outcome
from load_balancer.policy.selection import may_send
from load_balancer.settings import DeduplicationScope, RequestClass
from tests.policy.sample_classes import IDEMPOTENT, NON_IDEMPOTENT, endpoints_in_cells, keyed
from tests.policy.simulated_host import SimulatedHost, make_host


def host_with_cells(request_class: RequestClass, count: int, **settings: object) -> SimulatedHost:
    """Return a host with a list of endpoints in cells."""
    host = make_host(request_class, endpoint_count=0, seed=3, health_checks_allowed=True, **settings)
    host.update_endpoints(endpoints_in_cells(count))
    return host


# ---------------------------------------------------------------- retries


def test_a_non_idempotent_request_is_retried_only_while_it_provably_did_not_run() -> None:
    # A deduplication window has no effect for a class without idempotency keys.
    host = host_with_cells(replace(NON_IDEMPOTENT, deduplication_window_ms=1500.0), 4)
    request = host.receive_request()
    host.end_attempt(request, 0, Outcome.CONNECT_FAILED)
    assert len(host.requests[request].attempts) == 2
    host.end_attempt(request, 1, Outcome.ERROR)
    assert isinstance(host.actions[-1], FailRequest) and len(host.requests[request].attempts) == 2


@pytest.mark.parametrize(
    ("scope", "window_ms", "answer"),
    [
        (DeduplicationScope.ALL, 1500.0, RejectRequest),
        (DeduplicationScope.ZONE, 1500.0, FailRequest),
        (DeduplicationScope.CELL, 400.0, FailRequest),
    ],
)
def test_a_keyed_request_is_retried_within_its_scope_and_window(
    scope: DeduplicationScope, window_ms: float, answer: type
) -> None:
    host = host_with_cells(keyed(scope, window_ms), 6, hedging_allowed=False)
    request = host.receive_request()
    host.end_attempt(request, 0, Outcome.ERROR)
    assert len(host.requests[request].attempts) == 2  # the host has checked the deduplication scope
    host.now += window_ms
    host.end_attempt(request, 1, Outcome.ERROR)
    assert len(host.requests[request].attempts) == 2
    assert any(isinstance(a, answer) for a in host.actions)


@pytest.mark.parametrize(("ended_ms", "retried"), [(800.0, True), (850.0, False), (990.0, False)])
def test_a_keyed_retry_leaves_time_for_its_connection_within_the_window(
    ended_ms: float, retried: bool
) -> None:
    """A retry must not be sent shortly before the end of the deduplication window.

    The retry first waits for a connection, so it could be written after the end of the window.
    """
    host = make_host(
        keyed(DeduplicationScope.ALL, 1000.0),
        endpoint_count=2,
        seed=3,
        connect_timeout_ms=150.0,
        max_attempts=3,
        tick_ms=1.0,
        response_slack_ms=0.0,
    )
    request = host.receive_request()
    (first,) = host.in_flight(request)
    host.advance(ended_ms)
    host.end_attempt(request, first, Outcome.RESET)
    host.advance(50.0)
    assert bool(list(host.in_flight(request))) == retried


def test_a_client_error_is_not_retried_and_does_not_count_against_the_endpoint(host: SimulatedHost) -> None:
    for _ in range(40):
        request = host.receive_request()
        host.advance(10)
        (number,) = host.in_flight(request)
        host.end_attempt(request, number, Outcome.CLIENT_ERROR)
        assert len(host.requests[request].attempts) == 1
    assert host.log_lines() == []


def test_a_request_has_one_final_answer_and_is_not_sent_after_it() -> None:
    host = host_with_cells(IDEMPOTENT, 4)
    answered = host.receive_request()
    host.end_attempt(answered, 0, Outcome.CLIENT_ERROR)
    requests = [host.receive_request() for _ in range(60)]
    unsent = [r for r in requests if not host.requests[r].attempts]
    assert unsent
    host.advance(60)
    for _ in range(100):  # all remaining timers fire, and there is capacity for all requests
        host.advance(50)
        host.end_attempts(requests)
    answers = [a.request_id for a in host.actions if isinstance(a, RejectRequest | FailRequest)]
    assert answers.count(answered) == 1 and sorted(answers) == sorted({answered, *unsent})
    assert len(host.requests[answered].attempts) == 1
    assert not any(host.requests[r].attempts for r in unsent)


@pytest.mark.parametrize(("remaining_ms", "sent"), [(0.0, False), (4.0, False), (50.0, True)])
def test_no_attempt_is_sent_within_a_tick_of_the_deadline(remaining_ms: float, sent: bool) -> None:
    """No event may cause an attempt when the deadline is less than a tick away.

    Such an event may arrive when the timer that rejects the request is due but has not fired yet.
    """
    host = host_with_cells(IDEMPOTENT, 0)
    request = host.receive_request()
    host.now = host.requests[request].deadline - remaining_ms
    host.update_endpoints(endpoints_in_cells(4))
    assert bool(host.requests[request].attempts) is sent


@pytest.mark.parametrize("hedging_allowed", [False, True])
def test_the_last_check_before_a_send_rejects_what_earlier_checks_should_have_filtered(
    hedging_allowed: bool,
) -> None:
    """The test calls ``may_send`` and ``take`` directly, because no event makes their checks fail.

    Earlier checks filter the same cases.
    """
    host = host_with_cells(IDEMPOTENT, 3, hedging_allowed=hedging_allowed, max_attempts=2)
    context = host.balancer.context
    requests = context.requests
    request = requests.by_id[host.receive_request()]
    tried = request.attempts[0].endpoint.id
    other, drained = (record for record in context.endpoints.selectable if record.endpoint.id != tried)
    host.update_endpoints([Endpoint(drained.endpoint.id, EndpointState.DRAINING)], EndpointListKind.DELTA)
    assert not may_send(context, request, drained)
    assert may_send(context, request, other) is hedging_allowed
    deadline, request.deadline = request.deadline, host.now + 1.0
    assert not may_send(context, request, other)
    request.deadline = deadline
    request.response_started = True
    assert not may_send(context, request, other)
    request.response_started = False
    requests.start_attempt(request, other, host.now)
    assert not may_send(context, request, other)  # the maximum number of attempts is reached
    request.attempts.pop()
    assert may_send(context, request, other) is hedging_allowed
    assert requests.take(request.id) is request
    assert requests.take(request.id) is None  # a request gets only one final answer
    assert not may_send(context, request, other)


# ---------------------------------------------------------------- hedged requests


@pytest.mark.parametrize("hedging_allowed", [False, True])
def test_a_late_attempt_is_hedged_only_where_that_is_allowed(hedging_allowed: bool) -> None:
    host = host_with_cells(IDEMPOTENT, 4, hedging_allowed=hedging_allowed)
    host.serve(20)
    request = host.receive_request()
    before = len(host.requests[request].attempts)
    for _ in range(30):
        host.now += 10  # attempts do not time out; only timers of the balancer fire
        host.fire_due_timers()
    assert (len(host.requests[request].attempts) > before) is hedging_allowed
    assert before == 1
    if not hedging_allowed:  # the attempt is cancelled instead; then the request is sent again
        assert CancelAttempt(request, 0) in host.actions
        host.end_attempt(request, 0, Outcome.CANCELLED)
        assert len(host.requests[request].attempts) == 2


@pytest.mark.parametrize("answers", [True, False])
def test_a_late_attempt_is_hedged_only_if_its_endpoint_answers_no_request(answers: bool) -> None:
    """A request that takes long on a healthy server must not be cancelled and sent again."""
    host = make_host(endpoint_count=2)
    host.serve(60, latency_ms=60.0)
    late = host.receive_request()
    endpoint = host.requests[late].endpoint_of(0)
    for _ in range(12):
        other = host.receive_request()
        host.advance(20)
        for number, attempt in enumerate(host.requests[other].attempts):
            if attempt.in_flight() and (answers or attempt.endpoint.id != endpoint):
                host.end_attempt(other, number, Outcome.OK)
    assert (len(host.requests[late].attempts) == 1) is answers


def test_an_inner_tier_hedges_while_its_latency_is_twice_the_baseline() -> None:
    """Without hedging, a request at a silent server would wait until its deadline."""
    host = make_host(tier_index=2, tier_count=3)
    host.serve(200, latency_ms=20.0)
    host.serve(100, latency_ms=70.0)
    assert host.log_fields("load_shedding_started")
    request = host.receive_request()
    for _ in range(10):
        host.advance(100.0)
    first, second, *_ = (a.endpoint.id for a in host.requests[request].attempts)
    assert first != second


def test_hedging_waits_until_the_retry_budget_allows_it(host: SimulatedHost) -> None:
    host.serve(60)
    retries = [0]
    while len(retries) == 1 or retries[-1] > 0:  # until a failed attempt is not retried
        request = host.receive_request()
        for _ in range(4):
            host.advance(20.0)
            host.end_attempts([request], Outcome.TIMEOUT)
        retries.append(len(host.requests[request].attempts) - 1)
    assert sum(retries) == 10  # the retry budget is used up, except for less than one retry
    late = host.receive_request()
    host.advance(200.0)
    assert len(host.requests[late].attempts) == 1
    host.serve(12)
    host.advance(200.0)
    assert len(host.requests[late].attempts) == 2


@pytest.mark.parametrize("max_attempts", [2, 3])
def test_a_hedge_timer_counts_the_attempts_that_a_retry_has_used(max_attempts: int) -> None:
    host = host_with_cells(IDEMPOTENT, 4, max_attempts=max_attempts)
    host.serve(20)
    # Every endpoint has requests without a response, so it counts as silent before the hedge timer is due.
    request, *_ = [host.receive_request() for _ in range(20)]
    host.end_attempt(request, 0, Outcome.RESET)
    assert len(host.requests[request].attempts) == 2
    for _ in range(30):
        host.advance(10)
    assert len(host.requests[request].attempts) == max_attempts


# ---------------------------------------------------------------- connections


@pytest.mark.parametrize(
    ("quiet_ms", "class_index", "closes"), [(5, 1, False), (100, 0, False), (100, 1, True)]
)
def test_a_non_idempotent_request_gets_a_new_connection_to_an_endpoint_without_recent_responses(
    quiet_ms: float, class_index: int, closes: bool
) -> None:
    """A machine that has failed may leave its connections open and not answer on them."""
    host = make_host(IDEMPOTENT, NON_IDEMPOTENT)
    host.serve(60)
    burst = [host.receive_request() for _ in range(24)]
    assert {host.requests[r].endpoint_of(0) for r in burst} == set(host.endpoints)
    host.advance(20.0)
    host.end_attempts(burst)  # every endpoint has just answered
    host.advance(quiet_ms)
    action_count = len(host.actions)
    host.receive_request(class_index)
    assert any(isinstance(a, CloseIdleConnections) for a in host.actions[action_count:]) is closes
