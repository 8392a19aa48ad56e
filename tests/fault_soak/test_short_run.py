"""A short run of the fault test with fixed seeds, real nodes and all rules of the oracle."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from fault_soak.drawing import draw_plan
from fault_soak.oracle import find_violations
from fault_soak.scenario import run_scenario

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize("seed", [8, 14, 66, 1003, 1018])
def test_fixed_seed_breaks_no_rule(seed: int) -> None:
    result = asyncio.run(run_scenario(draw_plan(seed), ROOT))
    assert [str(violation) for violation in find_violations(result)] == []
