"""What a scenario gives to the oracle."""

from __future__ import annotations

from dataclasses import dataclass

from fault_soak.history import History
from fault_soak.plan import Plan


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """The history of a scenario, and what limits its precision.

    Attributes:
        plan: the plan that was run.
        history: what was recorded.
        worst_lag_s: the worst lag of the event loop that recorded it.
        shim_loaded: whether system calls of the nodes could be made to fail.
    """

    plan: Plan
    history: History
    worst_lag_s: float
    shim_loaded: bool
