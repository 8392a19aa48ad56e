"""Tests of the endpoint list: which endpoints are used and remembered, and how the list is polled."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from load_balancer.actions import PollEndpointList
from load_balancer.events import Endpoint, EndpointListKind, EndpointListUpdate, EndpointState, Outcome
from load_balancer.settings import Settings
from tests.policy.memory_inspection import endpoints_in_memory
from tests.policy.sample_classes import IDEMPOTENT
from tests.policy.simulated_host import SimulatedHost, make_host

POLLING_SETTINGS = Settings(
    classes=(IDEMPOTENT,), poll_endpoint_list=True, max_poll_interval_ms=4000.0, tick_ms=5.0
)


def polling_host(settings: Settings = POLLING_SETTINGS, seed: int = 5) -> SimulatedHost:
    """Return a host whose balancer has started with a cached endpoint list and polls for a current list."""
    host = SimulatedHost(settings, seed)
    host.update_endpoints([Endpoint(b"a")], EndpointListKind.CACHED)
    return host


# ---------------------------------------------------------------- the endpoint list


def test_draining_removed_and_unlisted_endpoints_get_no_requests() -> None:
    host = make_host(endpoint_count=4, seed=3)
    draining = Endpoint(bytes([0]), EndpointState.DRAINING)
    removed = Endpoint(bytes([1]), EndpointState.REMOVED)
    host.update_endpoints([draining, removed], EndpointListKind.DELTA)
    for _ in range(40):
        host.end_attempt(host.receive_request(), 0, Outcome.OK)
    host.update_endpoints([Endpoint(bytes([3]))])
    for _ in range(10):
        request = host.receive_request()
        assert host.requests[request].endpoint_of(0) == bytes([3])
        host.end_attempt(request, 0, Outcome.OK)


def test_a_queued_request_is_not_sent_to_an_endpoint_that_drains_meanwhile() -> None:
    host = make_host(endpoint_count=2, seed=3)
    requests = [host.receive_request() for _ in range(40)]
    queued = [r for r in requests if not host.requests[r].attempts]
    assert queued
    host.update_endpoints([Endpoint(bytes([0]), EndpointState.DRAINING)], EndpointListKind.DELTA)
    host.end_attempts(requests)
    assert {host.requests[r].endpoint_of(0) for r in queued} == {bytes([1])}


def test_removed_endpoints_do_not_stay_in_memory(host: SimulatedHost) -> None:
    for generation in range(50):
        host.update_endpoints(Endpoint(b"%d/%d" % (generation, i)) for i in range(6))
        host.serve(3)
    assert set(host.endpoints) <= endpoints_in_memory(host.balancer)
    assert len(endpoints_in_memory(host.balancer)) <= 7


def test_every_endpoint_of_a_list_of_1500_is_used() -> None:
    host = SimulatedHost(Settings(classes=(IDEMPOTENT,), node_count=1500, node_index=1400), seed=3)
    unused = {b"%d" % i for i in range(1500)}
    host.update_endpoints(Endpoint(endpoint) for endpoint in sorted(unused))
    assert endpoints_in_memory(host.balancer) == unused
    while unused:  # no time passes: endpoints that rejected a request stay in cooldown
        request = host.receive_request()
        for number in host.in_flight(request):
            unused.remove(host.requests[request].endpoint_of(number))
            host.end_attempt(request, number, Outcome.REJECTED)
        assert host.requests[request].attempts


# ---------------------------------------------------------------- polling


def test_polls_back_off_while_they_fail_and_stop_after_a_watch_event() -> None:
    host = polling_host(
        Settings(classes=(IDEMPOTENT,), poll_endpoint_list=True, max_poll_interval_ms=10_000.0), 4
    )
    times: list[float] = []
    for _ in range(4000):
        before = host.polls
        host.advance(10)
        if host.polls > before:
            times.append(host.now)
            host.fail_poll()
    gaps = [b - a for a, b in pairwise(times)]
    assert times[0] - 1000.0 <= 3000.0 and max(gaps) <= 5000.0 and gaps[3] > gaps[0]
    assert host.log_lines() == ["endpoint_list_lost"]
    host.handle(EndpointListUpdate(EndpointListKind.DELTA))
    assert host.log_lines()[-1].startswith("endpoint_list_recovered failed_polls=")
    polls = host.polls
    for _ in range(2000):
        host.advance(10)
    assert host.polls == polls and PollEndpointList() in host.actions


def test_the_backoff_of_polls_doubles_up_to_a_second() -> None:
    host = polling_host()
    times: list[float] = []
    while len(times) < 10:
        before = host.polls
        host.advance(10)
        if host.polls > before:
            times.append(host.now)
            host.fail_poll()
    gaps = [b - a for a, b in pairwise(times)]
    # The first backoff is a tenth of max_poll_interval_ms; half of each pause is random.
    assert 200.0 <= gaps[0] <= 410.0 <= gaps[1] <= 810.0
    assert all(500.0 <= gap <= 1010.0 for gap in gaps[2:])


def test_failed_polls_do_not_multiply() -> None:
    """If every failed poll set a second timer, the number of polls would double with each backoff."""
    host = polling_host()
    answered = 0
    per_second = []
    for _ in range(60):
        before = host.polls
        for _ in range(20):
            host.advance(50.0)
            while answered < host.polls:
                answered += 1
                host.fail_poll()
        per_second.append(host.polls - before)
    assert max(per_second) <= 3, per_second
    # Polling must go on, because after a while a node counts as notified of any change.
    assert sum(per_second[-20:]) >= 5


def test_an_unanswered_poll_is_repeated_in_time() -> None:
    host = polling_host()
    for _ in range(400):
        host.advance(50.0)
    assert 20_000 / 4000.0 <= host.polls <= 20_000 / 2000.0 + 1


@pytest.mark.parametrize("max_poll_interval_ms", [200.0, 4000.0, 60_000.0, 3_600_000.0])
@pytest.mark.parametrize("answer_ms", [0.0, 1000.0, None])
def test_two_failed_polls_leave_time_for_a_third_within_6_s(
    max_poll_interval_ms: float, answer_ms: float | None
) -> None:
    """Each poll, including the first of a new node, fails after ``answer_ms`` or (if None) is not answered.

    Two polls may fail within 6 s, because a node counts as notified of a change 6 s after discovery learned
    of it, even if the settings allow longer intervals between polls.
    """
    settings = replace(POLLING_SETTINGS, max_poll_interval_ms=max_poll_interval_ms)
    for seed in range(20):
        host = polling_host(settings, seed)
        polls: list[float] = []
        failed = 0
        for _ in range(1000):
            host.advance(20.0)
            polls += [host.now] * (host.polls - len(polls))
            if answer_ms is not None and failed < len(polls) and host.now >= polls[-1] + answer_ms:
                failed = len(polls)
                host.fail_poll()
        assert polls[0] < 3000.0
        assert max(b - a for a, b in pairwise(polls)) < 3000.0, "two failed polls must leave time for a third"


def test_thousands_of_failed_polls_do_not_stop_polling() -> None:
    host = polling_host()
    for _ in range(3000):
        host.fail_poll()
    before = host.polls
    host.advance(0.5 * POLLING_SETTINGS.max_poll_interval_ms)
    assert host.polls == before + 1


def test_timers_do_not_accumulate_while_polls_fail() -> None:
    """A timer is always pending while polls fail; setting an earlier timer must not add a pending timer."""
    host = make_host(poll_endpoint_list=True, max_poll_interval_ms=6000.0)
    for step in range(300):
        if step % 5 == 0:
            host.fail_poll()
        host.serve(1)
        host.advance(100.0)
    assert host.pending_timers <= 10
