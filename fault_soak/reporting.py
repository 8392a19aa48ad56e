"""Functions that create the report of a scenario and print reports."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Sequence

from fault_soak.history import FaultEnded, RequestSent, ResponseReceived
from fault_soak.oracle import find_violations
from fault_soak.plan import Plan
from fault_soak.report import Report
from fault_soak.result import ScenarioResult

SHOWN_VIOLATIONS = 12


def create_report(result: ScenarioResult) -> Report:
    """Create the report of a scenario that has run."""
    history = result.history
    statuses = Counter(response.status for response in history.events_of(ResponseReceived))
    return Report(
        seed=result.plan.seed,
        requests=len(history.events_of(RequestSent)),
        statuses=" ".join(f"{status}:{count}" for status, count in sorted(statuses.items())),
        worst_lag_ms=round(1000.0 * result.worst_lag_s),
        shim_loaded=result.shim_loaded,
        faults=tuple(f"{f.kind} {f.target} fired={f.fired}" for f in history.events_of(FaultEnded)),
        pairs=tuple(_overlapping_pairs(result.plan)),
        violations=tuple(str(violation) for violation in find_violations(result)),
    )


def _overlapping_pairs(plan: Plan) -> Iterable[str]:
    for first, second in itertools.combinations(plan.faults, 2):
        if first.overlaps(second):
            yield f"{first.kind.value}+{second.kind.value}"


def print_report(report: Report) -> None:
    """Print the figures of a report and its first violations."""
    print(
        f"seed={report.seed} requests={report.requests} statuses={report.statuses} "
        f"worst_lag_ms={report.worst_lag_ms}",
        flush=True,
    )
    for violation in report.violations[:SHOWN_VIOLATIONS]:
        print(f"  BROKEN {violation}", flush=True)
    if len(report.violations) > SHOWN_VIOLATIONS:
        print(f"  and {len(report.violations) - SHOWN_VIOLATIONS} more", flush=True)


def print_summary(reports: Sequence[Report]) -> None:
    """Print a summary of the reports of several scenarios.

    The summary contains the number of scenarios, the number of pairs of fault kinds that overlapped, and for
    each broken rule the number of scenarios in which the rule was broken.
    """
    broken: Counter[str] = Counter()
    pairs: set[str] = set()
    for report in reports:
        broken.update(report.broken_rules())
        pairs.update("+".join(sorted(pair.split("+"))) for pair in report.pairs)
    print(f"scenarios: {len(reports)}, pairs of fault kinds that overlapped: {len(pairs)}")
    for rule, count in broken.most_common():
        print(f"  {rule}: broken in {count} scenarios")
