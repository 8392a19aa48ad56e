"""The report of one scenario: what was requested and answered, which faults ran and which rules broke."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SOAK_FAILED = "the soak itself failed"


@dataclass(frozen=True, slots=True)
class Report:
    """The report of one scenario.

    Attributes:
        seed: the seed of its plan.
        requests: how many requests clients sent.
        statuses: each status of a response with its count, as text.
        worst_lag_ms: the worst lag of the fault test's own event loop.
        shim_loaded: whether system calls of the nodes could be made to fail.
        faults: each fault that ended, with its target and how often it took effect.
        pairs: the kinds of each two faults that overlapped.
        violations: each violation, its rule first.
    """

    seed: int
    requests: int = 0
    statuses: str = ""
    worst_lag_ms: int = 0
    shim_loaded: bool = False
    faults: tuple[str, ...] = ()
    pairs: tuple[str, ...] = ()
    violations: tuple[str, ...] = ()

    @property
    def soak_failed(self) -> bool:
        """Whether the fault test itself failed, so that there are no figures."""
        return self.violations == (SOAK_FAILED,)

    def violations_of(self, rules: Iterable[str]) -> list[str]:
        """The violations of some rules, given by their names."""
        names = frozenset(rules)
        return [violation for violation in self.violations if _rule_name(violation) in names]

    def broken_rules(self) -> set[str]:
        """The names of the rules that were broken."""
        return {_rule_name(violation) for violation in self.violations}


def _rule_name(violation: str) -> str:
    return violation.partition(":")[0]


def failed_report(seed: int) -> Report:
    """The report of a scenario in which the fault test itself failed."""
    return Report(seed, violations=(SOAK_FAILED,))
