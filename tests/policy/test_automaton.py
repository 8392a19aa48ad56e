"""Tests of the automaton alone: values calculated by hand, and invariants under any operations."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from load_balancer.policy.automaton import Automaton

FLOOR = 0.4
"""The minimum probability of an endpoint, as a fraction of the mean probability."""
SMOOTHING_FACTOR = 0.15
"""The smoothing factor of the latency averages with a single node."""

ENDPOINT_IDS = [bytes([i]) for i in range(40)]


def automaton_with_weights(*weights: float) -> Automaton:
    """Return an automaton for endpoints with these weights."""
    automaton = Automaton()
    automaton.resize({ENDPOINT_IDS[i]: w for i, w in enumerate(weights)})
    return automaton


def test_an_update_matches_values_calculated_by_hand() -> None:
    automaton = automaton_with_weights(1, 1, 1, 1)
    assert automaton.p == [0.25] * 4
    automaton.learn(ENDPOINT_IDS[0], 100.0)  # the first response sets all averages and is no payoff
    assert automaton.latency_averages == [100.0] * 4 and automaton.p == [0.25] * 4
    assert automaton.learn(ENDPOINT_IDS[1], 60.0)
    assert automaton.latency_averages[1] == pytest.approx(100 + SMOOTHING_FACTOR * (60 - 100))
    assert (
        automaton.latency_averages[0]
        == automaton.latency_averages[2]
        == automaton.latency_averages[3]
        == 100.0
    )
    theta, floor = 0.06 / 4, FLOOR / 4
    assert automaton.p[1] == pytest.approx(0.25 + theta * (1 - 3 * floor - 0.25))
    assert automaton.p[0] == pytest.approx(0.25 + theta * (floor - 0.25))
    before = list(automaton.p)
    assert not automaton.learn(ENDPOINT_IDS[2], 500.0)  # no payoff: only the average changes
    assert automaton.p == before and automaton.latency_averages[2] == pytest.approx(
        100 + SMOOTHING_FACTOR * 400
    )


@pytest.mark.parametrize("nodes", [1, 3, 40, 1000])
@pytest.mark.parametrize("endpoints", [2, 10, 40])
def test_the_learning_rate_grows_with_the_nodes_and_stays_well_below_the_smoothing_factor(
    nodes: int, endpoints: int
) -> None:
    """With the learning rate of a single node, each of two hundred nodes would learn nothing in a day."""
    automaton = Automaton(nodes)
    automaton.resize(dict.fromkeys(ENDPOINT_IDS[:endpoints], 1.0))
    assert automaton.theta <= automaton.alpha / 10 and SMOOTHING_FACTOR <= automaton.alpha <= 0.5
    assert automaton.theta == pytest.approx(min(automaton.alpha / 10, max(0.06, 0.02 * nodes) / endpoints))
    assert automaton.theta_type == 0.0
    automaton.resize(
        dict.fromkeys(ENDPOINT_IDS[:endpoints], 1.0),
        {name: i % 2 for i, name in enumerate(ENDPOINT_IDS[:endpoints])},
    )
    assert automaton.theta_type == pytest.approx(min(automaton.alpha / 3, 0.01 * nodes))


def test_a_payoff_raises_all_endpoints_of_the_machine_type() -> None:
    """With many nodes, each node sends too few requests to a single endpoint to learn from them.

    It sends enough requests to all endpoints of a machine type together.
    """
    automaton = Automaton(node_count=30)
    automaton.resize(
        dict.fromkeys(ENDPOINT_IDS[:6], 1.0), {name: i // 3 for i, name in enumerate(ENDPOINT_IDS[:6])}
    )
    automaton.learn(ENDPOINT_IDS[5], 100.0)
    assert automaton.learn(ENDPOINT_IDS[0], 50.0)
    floor = FLOOR / 6
    assert sum(automaton.p) == pytest.approx(1.0) and min(automaton.p) >= floor
    assert (
        automaton.p[0]
        > automaton.p[1]
        == automaton.p[2]
        > 1 / 6
        > automaton.p[3]
        == automaton.p[4]
        == automaton.p[5]
    )
    for _ in range(200):  # the floor holds for endpoints of the other type
        automaton.learn(ENDPOINT_IDS[0], 1.0)
        assert sum(automaton.p) == pytest.approx(1.0) and min(automaton.p) >= floor * (1 - 1e-9)


def test_many_nodes_with_few_requests_each_shift_traffic_as_a_single_node_does() -> None:
    """Sixty nodes send six requests each to every endpoint; half of the endpoints take twice as long."""
    rng = random.Random(4)
    slow_share = 0.0
    for _ in range(60):
        automaton = Automaton(node_count=60)
        automaton.resize(dict.fromkeys(ENDPOINT_IDS[:20], 1.0))
        for _ in range(120):
            i = automaton.draw(range(20), rng.random())
            automaton.learn(ENDPOINT_IDS[i], rng.expovariate(1.0) * (2.0 if i < 10 else 1.0))
        slow_share += sum(automaton.p[:10]) / 60
    assert slow_share < 0.43  # 0.49 with the learning rate of a single node


def test_a_failure_is_no_payoff_and_moves_the_threshold_little() -> None:
    automaton = automaton_with_weights(1, 1, 1)
    automaton.learn(ENDPOINT_IDS[0], 100.0)
    before = list(automaton.p)
    automaton.learn_failure(ENDPOINT_IDS[1], 1.0)  # the latency of a fast error counts as the mean
    assert automaton.p == before and automaton.mean() == pytest.approx(100.0)
    automaton.learn_failure(ENDPOINT_IDS[1], 1e6)  # the latency of a late failure is capped
    assert automaton.latency_averages[1] == pytest.approx(100 + SMOOTHING_FACTOR * (3 * 100 - 100))


def test_draws_follow_the_probabilities_of_the_eligible_endpoints() -> None:
    automaton = automaton_with_weights(1, 2, 3, 4)
    rng = random.Random(5)
    counts = [0] * 4
    for _ in range(20_000):
        counts[automaton.draw([1, 3], rng.random())] += 1
    assert counts[0] == counts[2] == 0
    assert counts[1] / 20_000 == pytest.approx(automaton.p[1] / (automaton.p[1] + automaton.p[3]), abs=0.02)
    assert automaton.draw([2], 0.999999) == 2


def test_the_automaton_works_without_endpoints_and_with_a_single_one() -> None:
    automaton = Automaton()
    automaton.resize({})
    assert automaton.p == [] and automaton.mean() is None
    assert not automaton.learn(ENDPOINT_IDS[0], 5.0)
    automaton.resize({ENDPOINT_IDS[0]: 1.0})
    for latency in (5.0, 4.0, 9.0, 1.0):
        automaton.learn(ENDPOINT_IDS[0], latency)
    assert automaton.p == pytest.approx([1.0])


@pytest.mark.parametrize(("endpoints", "nodes"), [(500, 1), (1500, 1500)])
def test_the_floor_is_feasible_for_any_number_of_endpoints(endpoints: int, nodes: int) -> None:
    automaton = Automaton(nodes)
    automaton.resize({i.to_bytes(2, "big"): 1.0 for i in range(endpoints)})
    assert len(automaton.p) == len(automaton.endpoints) == endpoints
    assert abs(sum(automaton.p) - 1.0) < 1e-9
    assert min(automaton.p) >= FLOOR / endpoints


def test_a_new_endpoint_gets_the_mean_share_and_the_others_keep_their_ratios() -> None:
    automaton = automaton_with_weights(1, 2, 4)
    automaton.resize({ENDPOINT_IDS[0]: 1, ENDPOINT_IDS[1]: 2, ENDPOINT_IDS[2]: 4, ENDPOINT_IDS[3]: 2})
    assert automaton.p[1] / automaton.p[0] == pytest.approx(2) and automaton.p[2] / automaton.p[
        1
    ] == pytest.approx(2)
    assert automaton.p[3] / automaton.p[1] == pytest.approx(1.0)
    automaton.resize({ENDPOINT_IDS[1]: 2, ENDPOINT_IDS[3]: 2})
    assert automaton.p[1] / automaton.p[0] == pytest.approx(1.0) and sum(automaton.p) == pytest.approx(1)


def test_a_slow_endpoint_loses_share_and_regains_it() -> None:
    automaton = automaton_with_weights(1, 1, 1, 1)
    rng = random.Random(11)

    def run(latency_factor: float) -> float:
        """Let the automaton learn from 3000 responses, and return the first endpoint's mean share.

        The mean is over the second half of the responses.  ``latency_factor`` multiplies the latency of the
        first endpoint.
        """
        share = 0.0
        for step in range(3000):
            i = automaton.draw(range(4), rng.random())
            base = latency_factor if i == 0 else 1.0
            # As with a queue, the latency of each endpoint grows with its share.
            automaton.learn(
                ENDPOINT_IDS[i], rng.expovariate(1.0) * 20 * base / (1.05 - min(automaton.p[i], 1.0))
            )
            share += automaton.p[0] if step >= 1500 else 0.0
        return share / 1500

    assert run(4.0) < 0.17  # an endpoint as fast as the others would have 0.25
    assert run(1.0) > 0.22


operations = st.lists(
    st.one_of(
        st.tuples(st.just("learn"), st.integers(0, 39), st.floats(0.01, 1e5)),
        st.tuples(st.just("learn_failure"), st.integers(0, 39), st.floats(0.0, 1e5)),
        st.tuples(st.just("resize"), st.integers(0, 2**40 - 1), st.floats(0.1, 8.0)),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(operations)
def test_sum_and_floor_hold_after_any_sequence_of_operations(steps: list[tuple[str, int, float]]) -> None:
    automaton = automaton_with_weights(1, 1, 1)
    for operation, n, x in steps:
        if operation == "learn":
            automaton.learn(ENDPOINT_IDS[n], x)
        elif operation == "learn_failure":
            automaton.learn_failure(ENDPOINT_IDS[n], x)
        else:
            automaton.resize({s: (x if i % 2 else 1.0) for i, s in enumerate(ENDPOINT_IDS) if n >> i & 1})
        if automaton.p:
            assert sum(automaton.p) == pytest.approx(1.0)
            assert min(automaton.p) >= FLOOR / len(automaton.p) - 1e-12
