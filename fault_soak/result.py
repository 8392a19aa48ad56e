"""The result of a scenario, which the oracle checks."""

from __future__ import annotations

from dataclasses import dataclass

from fault_soak.history import History
from fault_soak.plan import Plan


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """The plan and the history of a scenario, and the precision of the times in the history.

    Attributes:
        plan: the plan that was run.
        history: the recorded events.
        worst_lag_s: the largest lag in seconds of the event loop that recorded the events.
        shim_loaded: whether the nodes ran with the shim, which can make their system calls fail.
    """

    plan: Plan
    history: History
    worst_lag_s: float
    shim_loaded: bool
