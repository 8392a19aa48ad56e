"""Tests that plans depend on their seeds alone, and that consecutive seeds cover all pairs of fault kinds."""

from __future__ import annotations

from fault_soak.drawing import ALL_PAIRS, draw_plan
from fault_soak.faults import FaultKind
from fault_soak.plan import SCENARIO_S


def test_plan_depends_on_its_seed_alone() -> None:
    assert draw_plan(5) == draw_plan(5)
    assert draw_plan(5) != draw_plan(6)


def test_consecutive_seeds_force_every_pair_of_kinds_to_overlap() -> None:
    overlapping_pairs: set[frozenset[FaultKind]] = set()
    for seed in range(len(ALL_PAIRS)):
        faults = draw_plan(seed).faults
        overlapping_pairs |= {
            frozenset((a.kind, b.kind)) for a in faults for b in faults if a is not b and a.overlaps(b)
        }
    cold_starts = sum(1 for seed in range(len(ALL_PAIRS)) if draw_plan(seed).cold_start)
    assert len(overlapping_pairs) > len(ALL_PAIRS) - cold_starts
    assert len(overlapping_pairs) >= 0.95 * len(ALL_PAIRS)


def test_faults_end_within_the_scenario() -> None:
    for seed in range(50):
        assert all(fault.begin_s + fault.length_s <= SCENARIO_S for fault in draw_plan(seed).faults)
