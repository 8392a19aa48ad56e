"""Run the fault test: ``python -m fault_soak --seeds 1-20``.

A seed always gives the same plan. ``--seeds 7 --faults 2,5`` runs the plan of seed 7 with only the faults
that have the indices 2 and 5 in its schedule.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from fault_soak.drawing import draw_plan
from fault_soak.faults import FaultKind
from fault_soak.history import FaultEnded, History, NodeLogged
from fault_soak.oracle import Rule, find_violations
from fault_soak.plan import Plan
from fault_soak.proof import prove
from fault_soak.report import Report
from fault_soak.reporting import create_report, print_report, print_summary
from fault_soak.scenario import run_scenario
from fault_soak.serialization import report_to_json
from fault_soak.subprocesses import ROOT, RunOptions, run_in_process

EXIT_VIOLATIONS = 1


@dataclass(frozen=True, slots=True)
class Options:
    """The options of the command line.

    Attributes:
        seeds: the seeds of the scenarios to run.
        kinds: the kinds of faults from which the faults of a scenario are drawn.
        node_count: the number of nodes; 0 for the random number of the plan.
        faults: the indices of the faults to run; if empty, all faults are run.
        tree: the checkout whose nodes are run.
        parallel: the number of scenarios that run at a time.
        report_path: the file of the report of one seed, or the directory of the reports of several seeds.
        prove: whether to break one guard at a time and check that the fault test detects it; a guard is code
            of the node that keeps a rule of the oracle.
        guard: with ``prove``, only the guards whose names contain this text are tested.
        log: whether to print the logs of the nodes.
        shrink: whether to remove faults from the schedule as long as a rule is still broken.
    """

    seeds: tuple[int, ...]
    kinds: frozenset[FaultKind]
    node_count: int
    faults: frozenset[int]
    tree: Path
    parallel: int
    report_path: Path | None
    prove: bool
    guard: str
    log: bool
    shrink: bool


def main(arguments: list[str] | None = None) -> int:
    """Run the fault test with the options of the command line and return the exit code.

    The exit code is 1 if a rule was broken or a run failed. With ``--prove`` it is 1 if a broken guard was
    not detected.
    """
    options = _parse(arguments)
    if options.prove:
        return 0 if prove(options.seeds, options.guard, options.parallel) else EXIT_VIOLATIONS
    if len(options.seeds) == 1:
        return _exit_code([_run_one(options.seeds[0], options)])
    return _exit_code(_run_all(options))


def _exit_code(reports: list[Report]) -> int:
    return EXIT_VIOLATIONS if any(report.violations for report in reports) else 0


def _parse(arguments: list[str] | None) -> Options:
    parser = argparse.ArgumentParser(prog="python -m fault_soak", description=__doc__)
    parser.add_argument("--seeds", default="1", help="a seed, or a range such as 1-20")
    parser.add_argument("--kinds", default="", help="only draw faults of these kinds: node-term,link-late")
    parser.add_argument("--nodes", type=int, default=0, help="the number of nodes, which share the load")
    parser.add_argument("--faults", default="", help="only run the faults with these indices: 2,5")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose nodes are run")
    parser.add_argument("--parallel", type=int, default=2, help="the number of scenarios that run at a time")
    parser.add_argument("--json", type=Path, help="the report file, or the directory for several seeds")
    parser.add_argument("--prove", action="store_true", help="check that each broken guard is detected")
    parser.add_argument("--guard", default="", help="with --prove: only test guards whose names contain this")
    parser.add_argument("--log", action="store_true", help="print the logs of the nodes")
    parser.add_argument("--shrink", action="store_true", help="remove faults while a rule is still broken")
    values = parser.parse_args(arguments)
    return Options(
        seeds=tuple(_parse_seeds(values.seeds)),
        kinds=_parse_kinds(values.kinds),
        node_count=values.nodes,
        faults=frozenset(int(index) for index in values.faults.split(",")) if values.faults else frozenset(),
        tree=values.tree,
        parallel=values.parallel,
        report_path=values.json,
        prove=values.prove,
        guard=values.guard,
        log=values.log,
        shrink=values.shrink,
    )


def _parse_seeds(text: str) -> Iterator[int]:
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def _parse_kinds(text: str) -> frozenset[FaultKind]:
    return frozenset(FaultKind(name) for name in text.split(",")) if text else frozenset(FaultKind)


def _run_all(options: Options) -> list[Report]:
    """Run the scenario of each seed in a separate process, several at a time.

    Print the report of each scenario that ran, and a summary.
    """
    run_options = RunOptions(options.tree, options.kinds, options.node_count, options.report_path)

    def run(seed: int) -> Report:
        report = run_in_process(seed, run_options)
        if not report.fault_test_failed:
            print_report(report)
        return report

    with ThreadPoolExecutor(options.parallel) as pool:
        reports = list(pool.map(run, options.seeds))
    print_summary(reports)
    return reports


def _run_one(seed: int, options: Options) -> Report:
    result = asyncio.run(run_scenario(_build_plan(seed, options), options.tree))
    report = create_report(result)
    if options.report_path:
        options.report_path.write_text(json.dumps(report_to_json(report)))
    _print_events(result.history, logs=options.log)
    print_report(report)
    return report


def _build_plan(seed: int, options: Options) -> Plan:
    plan = draw_plan(seed, options.kinds)
    if options.node_count:
        plan = plan.with_nodes(options.node_count)
    if options.faults:
        plan = plan.with_faults(options.faults)
    return _shrink(plan, options.tree) if options.shrink else plan


def _print_events(history: History, *, logs: bool) -> None:
    for ended in history.events_of(FaultEnded):
        print(f"{ended.at:.3f} end of {ended.kind} {ended.target} fired={ended.fired}")
    for logged in history.events_of(NodeLogged) if logs else ():
        print(f"{logged.at:.3f} {logged.node}/{logged.incarnation} {logged.line}")


def _shrink(plan: Plan, tree: Path) -> Plan:
    """Return a plan with fewer faults that still breaks at least one of the rules that the given plan breaks.

    Try to remove one fault after another. A fault is kept if none of these rules is broken without it.
    """
    rules = _broken_rules(plan, tree)
    for fault in plan.faults:
        smaller = plan.with_faults(frozenset(i for i, f in enumerate(plan.faults) if f is not fault))
        if _broken_rules(smaller, tree) & rules:
            plan = smaller
    return plan


def _broken_rules(plan: Plan, tree: Path) -> set[Rule]:
    return {violation.rule for violation in find_violations(asyncio.run(run_scenario(plan, tree)))}


if __name__ == "__main__":
    sys.exit(main())
