"""Tests of slow start: what one node and what many nodes together send to servers that are warming up."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from load_balancer.events import (
    Endpoint,
    EndpointId,
    EndpointListKind,
    Outcome,
)
from load_balancer.settings import Settings
from tests.policy.sample_classes import IDEMPOTENT
from tests.policy.simulated_fleet import Fleet
from tests.policy.simulated_host import SimulatedHost, make_host

# ---------------------------------------------------------------- one node

WARM_UP_MS = 20_000.0
INITIAL_CAPACITY = 0.2


def host_with_restarts(warm: int, restarted: int, per_s: int = 20) -> SimulatedHost:
    """Return a host whose balancer knows warm servers and servers that have just restarted.

    For 4 s before the restart, ``per_s`` requests per second arrived for each server.
    """
    settings = Settings(
        classes=(IDEMPOTENT,),
        warm_up_ms=WARM_UP_MS,
        initial_capacity=INITIAL_CAPACITY,
        overload_multiple=4.0,
    )
    host = SimulatedHost(settings, seed=4)
    endpoints = [bytes([n]) for n in range(warm + restarted)]
    host.update_endpoints(map(Endpoint, endpoints))
    host.serve_at_constant_rate(4.0, per_s * (warm + restarted))
    restarts = [Endpoint(endpoint, started_ms=host.now) for endpoint in endpoints[warm:]]
    host.update_endpoints(restarts, EndpointListKind.DELTA)
    return host


def test_the_budget_of_a_warming_endpoint_counts_warming_capacity_too() -> None:
    """The rate that warm servers sustain is estimated from the capacity of all servers.

    If only warm servers counted, the estimate would be too high when most servers have been replaced.
    """
    per_s, steady_s, pause_s = 200, 4.0, 0.5 * WARM_UP_MS / 1000.0
    host = host_with_restarts(warm=2, restarted=2, per_s=per_s)
    host.advance(0.5 * WARM_UP_MS)
    sent: Counter[EndpointId] = Counter()
    for _ in range(1000):  # no time passes; client errors count neither as load nor as completed work
        request = host.receive_request()
        sent[host.requests[request].endpoint_of(0)] += 1
        host.end_attempt(request, 0, Outcome.CLIENT_ERROR)
    # The response rate is averaged over the warm-up time, beginning at the first response.
    span_s = WARM_UP_MS / 1000.0
    fraction = math.exp(-pause_s / span_s) - math.exp(-(steady_s + pause_s) / span_s)
    responses_per_s = 4 * per_s * fraction / (1.0 - math.exp(-(steady_s + pause_s) / span_s))
    capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * 0.5
    per_warm_server = responses_per_s / (2 + 2 * capacity)
    # A full budget is the work of an overload window of 1 s, at 1.5 times the rate that the capacity allows.
    for endpoint in (bytes([2]), bytes([3])):
        assert sent[endpoint] == pytest.approx(1.5 * capacity * per_warm_server, abs=1.0)


def test_a_warming_endpoint_gets_requests_according_to_its_capacity() -> None:
    """An endpoint that is warming up gets requests according to its current capacity.

    Otherwise the warm servers would be overloaded while many others are warming up.
    """
    host = host_with_restarts(warm=9, restarted=1)
    per_s = host.serve_at_constant_rate(4.0, 200).count(bytes([9])) / 4.0
    capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * 2.0 / 20.0  # halfway through the 4 s
    assert 1.2 * capacity * 20.0 < per_s < 4.0 * capacity * 20.0


def test_a_burst_keeps_to_the_budget_of_a_warming_endpoint() -> None:
    warm_up_ms, initial_capacity, restarted = 8000.0, 0.3, bytes([0])
    host = make_host(endpoint_count=4, seed=3, warm_up_ms=warm_up_ms, initial_capacity=initial_capacity)
    for _ in range(400):  # one request every 5 ms
        host.now += 5
        host.end_attempt(host.receive_request(), 0, Outcome.OK)
    started = host.now
    host.update_endpoints([Endpoint(restarted, started_ms=started)], EndpointListKind.DELTA)
    sent_at: list[float] = []
    for _ in range(400):  # three times as many requests
        host.now += 5
        for _ in range(3):
            request = host.receive_request()
            if host.requests[request].endpoint_of(0) == restarted:
                sent_at.append(host.now)
            host.end_attempt(request, 0, Outcome.OK)
    assert sent_at  # the restarted endpoint gets requests
    warm_per_s = 200 / 4  # the rate of a warm server before the burst
    for begin in sent_at:
        window = [at for at in sent_at if begin <= at < begin + 1000]
        capacity = initial_capacity + (1 - initial_capacity) * (begin - started) / warm_up_ms
        assert len(window) <= 3 * capacity * 3 * warm_per_s


@pytest.mark.parametrize("node_count", [1, 4])
def test_endpoints_are_used_while_all_of_them_are_warming_up(node_count: int) -> None:
    """When nodes and servers start together, no node has learned the rate that warm servers sustain."""
    host = make_host(endpoint_count=4, seed=3, warm_up_ms=WARM_UP_MS, node_count=node_count)
    host.now += WARM_UP_MS
    host.update_endpoints(Endpoint(bytes([i]), started_ms=host.now) for i in range(4))
    begin = 0
    for step in range(300):
        if step == 200:  # after 4 s
            begin = len(host.actions)
        host.receive_request()
        host.advance(20.0)
        for request, number in host.all_in_flight():
            host.end_attempt(request, number, Outcome.OK)
    assert len(host.endpoints_sent_to(begin)) >= 50


# ---------------------------------------------------------------- many nodes


@pytest.mark.parametrize("seed", [2, 8, 9])
@pytest.mark.parametrize(
    ("nodes", "multiple", "new_nodes"),
    [(8, 3.0, False), (20, 3.0, False), (30, 3.0, True), (230, 3.0, True), (30, 1.5, True)],
)
def test_many_nodes_together_keep_to_the_budget_of_warming_endpoints(
    nodes: int, multiple: float, new_nodes: bool, seed: int
) -> None:
    """Six of ten servers are replaced while the request rate rises by half, at several overload multiples."""
    fleet = Fleet(nodes, multiple, new_nodes, seed)
    fleet.run()
    assert any(sent.notified for sent in fleet.sent)
    assert fleet.max_overload() <= 1.0


@pytest.mark.parametrize(("nodes", "fraction"), [(4, 0.4), (30, 0.1), (230, 0.05)])
def test_many_new_nodes_keep_to_the_budget_if_all_endpoints_are_warming_up(
    nodes: int, fraction: float
) -> None:
    """All servers and nodes have just started, and the request rate exceeds what warm servers sustain."""
    for seed in (2, 8, 9):
        fleet = Fleet(nodes, 3.0, True, seed, replaced=10, with_cost_hints=False)
        fleet.run()
        assert fleet.max_overload() <= 1.0
        assert fleet.load_in_final_second() >= fraction
