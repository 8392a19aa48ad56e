"""The report of one scenario: counts of requests and responses, faults that ran, and broken rules."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FAULT_TEST_FAILED = "the fault test itself failed"


@dataclass(frozen=True, slots=True)
class Report:
    """The report of one scenario.

    Attributes:
        seed: the seed of the plan.
        requests: the number of requests that clients sent.
        statuses: the number of responses with each status, such as "200:12 503:1".
        worst_lag_ms: the largest lag in milliseconds of the fault test's own event loop.
        shim_loaded: whether the nodes ran with the shim, which can make their system calls fail.
        faults: each fault that ended, with its target and the number of times it took effect.
        pairs: the two kinds of each pair of faults that overlapped in time.
        violations: each violation as text that begins with the name of the rule.
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
    def fault_test_failed(self) -> bool:
        """Whether the fault test itself failed, so that the report contains no results."""
        return self.violations == (FAULT_TEST_FAILED,)

    def violations_of(self, rules: Iterable[str]) -> list[str]:
        """Return the violations of the rules with the given names."""
        names = frozenset(rules)
        return [violation for violation in self.violations if _rule_name(violation) in names]

    def broken_rules(self) -> set[str]:
        """Return the names of the rules that were broken."""
        return {_rule_name(violation) for violation in self.violations}


def _rule_name(violation: str) -> str:
    return violation.partition(":")[0]


def failed_report(seed: int) -> Report:
    """Return the report of a scenario in which the fault test itself failed."""
    return Report(seed, violations=(FAULT_TEST_FAILED,))
