"""Functions that prove that the fault test detects broken guards of the node.

A guard is code of the node that keeps a rule of the oracle.
"""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from fault_soak.mutations import MUTATIONS, Mutation, mutated_tree
from fault_soak.subprocesses import ROOT, RunOptions, run_in_process


def prove(seeds: Sequence[int], guard: str, parallel: int) -> bool:
    """For each guard, run scenarios with this guard broken until one detects it, and print the results.

    Args:
        seeds: the seeds of the scenarios, tried in this order.
        guard: only guards whose names contain this text are tested; "" to test all guards.
        parallel: the number of guards that are tested at a time, each with one scenario at a time.

    Returns:
        Whether every broken guard was detected.
    """
    mutations = [mutation for mutation in MUTATIONS if guard in mutation.name]
    with ThreadPoolExecutor(parallel) as pool:
        detections = list(pool.map(lambda mutation: _first_detection(mutation, seeds), mutations))
    for mutation, detection in zip(mutations, detections, strict=True):
        print(f"{mutation.name}: {detection or 'not detected'}")
    return all(detections)


def _first_detection(mutation: Mutation, seeds: Sequence[int]) -> str:
    """Describe the first scenario that violates one of the mutation's rules; return "" if none does."""
    names = {rule.value for rule in mutation.rules}
    with mutated_tree(ROOT, mutation) as tree:
        options = RunOptions(tree, mutation.kinds, report_directory=tree)
        for count, seed in enumerate(seeds, 1):
            violations = run_in_process(seed, options).violations_of(names)
            if violations:
                return (
                    f"detected with seed {seed} in scenario {count}, {len(violations)} violations, "
                    f"first: {violations[0]}"
                )
    return ""
