"""Tests of the selection of endpoints: probability vector, per-endpoint limits, subsets and zone affinity."""

from __future__ import annotations

from collections import Counter

import pytest

from load_balancer import Balancer
from load_balancer.actions import CancelAttempt, CloseIdleConnections, RejectRequest, SendAttempt
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointId,
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
    Outcome,
    RequestArrived,
)
from load_balancer.policy.automaton import Automaton
from load_balancer.settings import Settings
from tests.policy.sample_classes import IDEMPOTENT
from tests.policy.simulated_host import SimulatedHost, make_host

SUBSET_MIN, SUBSET_MAX = 6, 12
ENDPOINTS = 60
NODES = 400


# ---------------------------------------------------------------- the probability vector


@pytest.mark.parametrize("slow_ms", [20.0, 35.0])
def test_with_healthy_endpoints_the_vector_alone_decides(host: SimulatedHost, slow_ms: float) -> None:
    """Only one request at a time is in flight, and all endpoints are healthy.

    An automaton with the same input predicts how often each endpoint is drawn.
    """
    automaton = Automaton()
    automaton.resize(dict.fromkeys(host.endpoints, 1.0))
    slow = bytes([2])
    expected = dict.fromkeys(host.endpoints, 0.0)
    for _ in range(3000):
        for endpoint, share in zip(automaton.endpoints, automaton.p, strict=True):
            expected[endpoint] += share
        request = host.receive_request()
        endpoint = host.requests[request].endpoint_of(0)
        latency_ms = slow_ms if endpoint == slow else 20.0
        host.advance(latency_ms)
        host.end_attempt(request, 0, Outcome.OK)
        automaton.learn(endpoint, latency_ms)
    sent = host.endpoints_sent_to()
    assert len(sent) == 3000
    assert not any(isinstance(a, RejectRequest | CancelAttempt | CloseIdleConnections) for a in host.actions)
    for endpoint in host.endpoints:
        assert abs(sent.count(endpoint) - expected[endpoint]) / 3000 < 0.03
    assert (expected[slow] < 400) is (slow_ms > 20.0)  # 500 if it were as fast as the others
    assert host.log_lines() == []


# ---------------------------------------------------------------- per-endpoint limits


@pytest.mark.parametrize("seed", range(10))
def test_attempts_in_flight_stay_near_the_vector(seed: int) -> None:
    host = make_host(endpoint_count=5, seed=seed)
    for _ in range(25):
        host.receive_request()
    in_flight = Counter(host.endpoints_sent_to())
    assert sum(in_flight.values()) == 25
    assert max(in_flight.values()) <= 0.5 + 1.25 * 25 / 5 + 1


def test_a_full_endpoint_gets_a_concurrency_limit_and_is_not_ejected() -> None:
    """A server that accepts no new connection but answers on its other connections is full, not down."""
    host = make_host(endpoint_count=3)
    host.serve(40)
    requests = [host.receive_request() for _ in range(12)]
    full = host.requests[requests[0]].endpoint_of(0)
    requests_at_full = [r for r in requests if host.requests[r].endpoint_of(0) == full]
    host.end_attempt(requests_at_full[0], 0, Outcome.OK)  # the endpoint answers, so it is not down
    host.end_attempt(requests_at_full[-1], 0, Outcome.CONNECT_FAILED)
    for _ in range(2):  # during its cooldown and after it
        for _ in range(10):
            host.receive_request()
        in_flight = [host.requests[r].endpoint_of(number) for r, number in host.all_in_flight()]
        assert in_flight.count(full) <= len(requests_at_full) - 1
        host.now += 21.0
        for request, number in host.all_in_flight():  # the other endpoints have capacity again
            if host.requests[request].endpoint_of(number) != full:
                host.end_attempt(request, number, Outcome.OK)
    assert not host.log_fields("endpoint_ejected")


# ---------------------------------------------------------------- zone affinity


@pytest.mark.parametrize("cost", [0.0, 0.1])
def test_requests_stay_in_the_zone_only_if_crossing_zones_has_a_cost(cost: float) -> None:
    host = make_host(endpoint_count=6, cross_zone_cost=cost, zone_count=3, zone=1)
    host.serve(60)
    zones = {host.endpoints[endpoint].zone for endpoint in host.endpoints_sent_to()}
    assert (zones == {1}) is (cost > 0)


# ---------------------------------------------------------------- subsets


class Node:
    """One of many nodes, whose selection of endpoints the tests observe."""

    def __init__(
        self,
        index: int,
        nodes: int = NODES,
        endpoints: int = ENDPOINTS,
        absent: frozenset[int] = frozenset(),
        **settings: float,
    ) -> None:
        self._balancer = Balancer(
            Settings(classes=(IDEMPOTENT,), node_count=nodes, node_index=index, **settings),  # type: ignore[arg-type]
            seed=index,
        )
        self._requests = 0
        rows = (
            Endpoint(i.to_bytes(2, "big"), machine_type=i % 2, zone=i % 3)
            for i in range(endpoints)
            if i not in absent
        )
        self._balancer.handle(EndpointListUpdate(EndpointListKind.FULL, tuple(rows)), 1.0)

    def subset(self, draws: int = 100) -> set[EndpointId]:
        """Send ``draws`` requests one at a time and return the endpoints that got at least one of them."""
        endpoints = set()
        for _ in range(draws):
            # The node does not learn from a client error, so that all draws have the same probabilities.
            endpoints.update(self.send({}, Outcome.CLIENT_ERROR))
        return endpoints

    def send(self, outcomes: dict[EndpointId, Outcome], default_outcome: Outcome) -> list[EndpointId]:
        """Send a request and return the endpoints of its attempts.

        Each attempt ends at once, with the outcome of its endpoint or else with ``default_outcome``.
        """
        self._requests += 1
        actions = self._balancer.handle(RequestArrived(self._requests, 0, 3000.0), 10.0)
        endpoints = [a.endpoint_id for a in actions if isinstance(a, SendAttempt)]
        for number, endpoint in enumerate(endpoints):  # the loop also visits the retries that it appends
            outcome = outcomes.get(endpoint, default_outcome)
            ended = AttemptEnded(self._requests, number, endpoint, outcome, 0.0, False)
            actions = self._balancer.handle(ended, 10.0)
            endpoints += [a.endpoint_id for a in actions if isinstance(a, SendAttempt)]
        return endpoints

    def drain(self, endpoint: EndpointId) -> None:
        """Pass a change of the endpoint list to the balancer: this endpoint is draining."""
        row = Endpoint(endpoint, EndpointState.DRAINING)
        self._balancer.handle(EndpointListUpdate(EndpointListKind.DELTA, (row,)), 10.0)


def endpoint_index(endpoint: EndpointId) -> int:
    """Return the index of an endpoint in the first endpoint list of a node."""
    return int.from_bytes(endpoint, "big")


def test_subsets_cover_all_endpoints_evenly_and_contain_every_machine_type() -> None:
    """Without subsets, a node could not learn from the responses of single endpoints.

    Each of many nodes would send each of sixty endpoints too few requests for that.
    """
    node_counts: Counter[EndpointId] = Counter()
    for index in range(NODES):
        subset = Node(index).subset()
        assert SUBSET_MIN <= len(subset) <= SUBSET_MAX
        assert {endpoint_index(endpoint) % 2 for endpoint in subset} == {0, 1}
        node_counts.update(subset)
    mean = sum(node_counts.values()) / ENDPOINTS
    assert len(node_counts) == ENDPOINTS and all(0.6 * mean < n < 1.5 * mean for n in node_counts.values())


@pytest.mark.parametrize(("index", "nodes", "endpoints"), [(0, 3, 10), (1, 3, 60), (1, 400, 10)])
def test_few_nodes_or_few_endpoints_need_no_subsets(index: int, nodes: int, endpoints: int) -> None:
    assert len(Node(index, nodes, endpoints).subset(draws=1000)) == endpoints


def test_a_subset_stays_in_the_zone_if_crossing_zones_has_a_cost() -> None:
    node = Node(7, cross_zone_cost=0.02, zone=1)
    assert {endpoint_index(endpoint) % 3 for endpoint in node.subset()} == {1}


def test_a_change_of_the_endpoint_list_replaces_few_endpoints_of_a_subset() -> None:
    replaced = 0
    for index in range(ENDPOINTS):
        replaced += len(Node(index).subset() - Node(index, absent=frozenset({5})).subset())
    assert replaced < ENDPOINTS  # less than one per node, although a subset has at least six endpoints


def test_a_subset_that_has_drained_is_replaced() -> None:
    node = Node(7)
    drained_subset = node.subset()
    for endpoint in sorted(drained_subset):
        node.drain(endpoint)
    new_subset = node.subset()
    assert SUBSET_MIN <= len(new_subset) <= SUBSET_MAX and not new_subset & drained_subset


def test_requests_are_sent_outside_a_subset_that_rejects_them() -> None:
    node = Node(7)
    subset = node.subset()
    rejections = dict.fromkeys(subset, Outcome.REJECTED)
    sent: set[EndpointId] = set()
    for _ in range(100):  # no time passes: endpoints that rejected a request stay in cooldown
        sent.update(node.send(rejections, Outcome.CLIENT_ERROR))
    assert len(subset - sent) < 2 <= len(sent - subset)
