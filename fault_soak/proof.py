"""Proves that the fault test notices broken guards of the node."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from fault_soak.mutations import MUTATIONS, Mutation, mutated_tree
from fault_soak.subprocesses import ROOT, RunOptions, run_in_process


def prove(seeds: Sequence[int], guard: str, parallel: int) -> bool:
    """Run scenarios against each broken guard until one notices it, and print which did.

    Args:
        seeds: the seeds to try, in this order.
        guard: only guards whose names contain this.
        parallel: scenarios at a time.

    Returns:
        Whether every broken guard was noticed.
    """
    mutations = [mutation for mutation in MUTATIONS if guard in mutation.name]
    with ThreadPoolExecutor(parallel) as pool:
        found = list(pool.map(lambda mutation: _first_catch(mutation, seeds), mutations))
    for mutation, line in zip(mutations, found, strict=True):
        print(f"{mutation.name}: {line or 'not caught'}")
    return all(found)


def _first_catch(mutation: Mutation, seeds: Sequence[int]) -> str:
    """The first seed that breaks one of the mutation's rules, and how; empty if none does."""
    names = {rule.value for rule in mutation.rules}
    with mutated_tree(ROOT, mutation) as tree:
        options = RunOptions(tree, mutation.kinds, report_directory=tree)
        for count, seed in enumerate(seeds, 1):
            caught = run_in_process(seed, options).violations_of(names)
            if caught:
                return f"seed {seed}, {count} plays, {len(caught)} violations, first {caught[0]}"
    return ""
