"""Run the fault test: ``python -m fault_soak --seeds 1-20``.

One play is replayed by its seed; ``--seeds 7 --faults 2,5`` plays two faults of its schedule alone.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from fault_soak.history import FaultEnded, NodeLogged, RequestSent, ResponseReceived
from fault_soak.mutations import MUTATIONS, Mutation, mutated_tree
from fault_soak.oracle import find_violations
from fault_soak.plan import FaultKind, Plan, draw_plan
from fault_soak.play import PlayResult, play

ROOT = Path(__file__).parent.parent
EXIT_FOUND = 1


def main(arguments: list[str] | None = None) -> int:
    """Play the seeds; returns 1 where an invariant broke."""
    options = _parse(arguments)
    seeds = list(_seeds(options.seeds))
    if options.prove:
        return _prove(seeds, options)
    if len(seeds) == 1:
        return _play_one(seeds[0], options)
    with ThreadPoolExecutor(options.parallel) as pool:
        reports = list(pool.map(lambda seed: _play_in_process(seed, options), seeds))
    _print_summary(reports)
    return EXIT_FOUND if any(report["violations"] for report in reports) else 0


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m fault_soak", description=__doc__)
    parser.add_argument("--seeds", default="1", help="a seed, or a range such as 1-20")
    parser.add_argument("--kinds", default="", help="draw faults of these kinds alone: node-term,link-late")
    parser.add_argument("--nodes", type=int, default=0, help="play with so many nodes, which share the load")
    parser.add_argument("--faults", default="", help="play these faults of the schedule alone: 2,5")
    parser.add_argument("--tree", type=Path, default=ROOT, help="the checkout whose node is played")
    parser.add_argument("--parallel", type=int, default=2, help="plays at a time")
    parser.add_argument("--json", type=Path, help="write the report of one play here")
    parser.add_argument("--prove", action="store_true", help="break one guard at a time, and see each caught")
    parser.add_argument("--guard", default="", help="with --prove: the guards whose names contain this")
    parser.add_argument("--log", action="store_true", help="print the nodes' logs")
    parser.add_argument("--shrink", action="store_true", help="look for the fewest faults that break a rule")
    return parser.parse_args(arguments)


def _seeds(text: str) -> Iterator[int]:
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def _kinds(text: str) -> frozenset[FaultKind]:
    return frozenset(FaultKind(name) for name in text.split(",")) if text else frozenset(FaultKind)


def _play_one(seed: int, options: argparse.Namespace) -> int:
    plan = draw_plan(seed, _kinds(options.kinds))
    if options.nodes:
        plan = plan.with_nodes(options.nodes)
    if options.faults:
        plan = plan.with_faults(frozenset(int(i) for i in options.faults.split(",")))
    if options.shrink:
        plan = _shrink(plan, options.tree)
    result = asyncio.run(play(plan, options.tree))
    report = _report(result)
    if options.json:
        options.json.write_text(json.dumps(report))
    for ended in result.history.of(FaultEnded):
        print(f"{ended.at:.3f} end of {ended.kind} {ended.target} fired={ended.fired}")
    if options.log:
        for logged in result.history.of(NodeLogged):
            print(f"{logged.at:.3f} {logged.node}/{logged.incarnation} {logged.line}")
    _print_report(report)
    return EXIT_FOUND if report["violations"] else 0


def _shrink(plan: Plan, tree: Path) -> Plan:
    """Leave out one fault after another as long as a rule of the same name still breaks."""
    rules = {v.rule for v in find_violations(asyncio.run(play(plan, tree)))}
    for fault in plan.faults:
        smaller = plan.with_faults(frozenset(i for i, f in enumerate(plan.faults) if f is not fault))
        found = {v.rule for v in find_violations(asyncio.run(play(smaller, tree)))}
        if found & rules:
            plan = smaller
    return plan


def _prove(seeds: list[int], options: argparse.Namespace) -> int:
    """Play each broken guard until a seed catches it; returns 1 where none does."""
    mutations = [mutation for mutation in MUTATIONS if options.guard in mutation.name]
    with ThreadPoolExecutor(options.parallel) as pool:
        found = list(pool.map(lambda mutation: _seeds_to_find(mutation, seeds), mutations))
    for mutation, line in zip(mutations, found, strict=True):
        print(f"{mutation.name}: {line or 'not caught'}")
    return 0 if all(found) else EXIT_FOUND


def _seeds_to_find(mutation: Mutation, seeds: list[int]) -> str:
    """The first seed whose play breaks one of the mutation's rules, and how; empty if none does."""
    names = {rule.value for rule in mutation.rules}
    with mutated_tree(ROOT, mutation) as tree:
        kinds = ",".join(sorted(kind.value for kind in mutation.kinds))
        options = argparse.Namespace(tree=tree, json=tree, kinds=kinds, nodes=0)
        for count, seed in enumerate(seeds, 1):
            violations = _play_in_process(seed, options, quiet=True)["violations"]
            assert isinstance(violations, list)
            caught = [v for v in violations if v.partition(":")[0] in names]
            if caught:
                return f"seed {seed}, {count} plays, {len(caught)} violations, first {caught[0]}"
    return ""


def _play_in_process(seed: int, options: argparse.Namespace, *, quiet: bool = False) -> dict[str, object]:
    path = Path(f"/tmp/fault-soak-{seed}.json") if options.json is None else options.json / f"{seed}.json"
    path.unlink(missing_ok=True)
    command = [sys.executable, "-m", "fault_soak", "--seeds", str(seed), "--json", str(path)]
    command += ["--tree", str(options.tree), "--kinds", options.kinds]
    command += ["--nodes", str(options.nodes)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    if not path.exists():
        print(f"seed={seed} the soak itself failed: {done.stderr[-2000:]}", flush=True)
        return {"seed": seed, "violations": ["the soak itself failed"], "faults": []}
    report: dict[str, object] = json.loads(path.read_text())
    if not quiet:
        _print_report(report)
    return report


def _report(result: PlayResult) -> dict[str, list[str] | int | str]:
    history = result.history
    statuses = Counter(response.status for response in history.of(ResponseReceived))
    faults = [f"{f.kind} {f.target} fired={f.fired}" for f in history.of(FaultEnded)]
    return {
        "seed": result.plan.seed,
        "requests": len(history.of(RequestSent)),
        "statuses": " ".join(f"{status}:{count}" for status, count in sorted(statuses.items())),
        "worst_lag_ms": round(1000.0 * result.worst_lag_s),
        "shim_loaded": result.shim_loaded,
        "faults": faults,
        "pairs": [
            f"{a.kind.value}+{b.kind.value}"
            for a, b in itertools.combinations(result.plan.faults, 2)
            if a.overlaps(b)
        ],
        "violations": [str(violation) for violation in find_violations(result)],
    }


def _print_report(report: Mapping[str, object]) -> None:
    numbers = " ".join(f"{k}={report.get(k)}" for k in ("seed", "requests", "statuses", "worst_lag_ms"))
    print(numbers, flush=True)
    violations = report["violations"]
    assert isinstance(violations, list)
    for violation in violations[:12]:
        print(f"  BROKEN {violation}", flush=True)
    if len(violations) > 12:
        print(f"  and {len(violations) - 12} more", flush=True)


def _print_summary(reports: list[dict[str, object]]) -> None:
    broken: Counter[str] = Counter()
    pairs: set[str] = set()
    for report in reports:
        violations, overlapping = report["violations"], report.get("pairs", [])
        assert isinstance(violations, list) and isinstance(overlapping, list)
        broken.update({violation.partition(":")[0] for violation in violations})
        pairs.update("+".join(sorted(pair.split("+"))) for pair in overlapping)
    print(f"plays {len(reports)}, pairs of faults that overlapped {len(pairs)}")
    for rule, count in broken.most_common():
        print(f"  {rule}: broken in {count} plays")


if __name__ == "__main__":
    sys.exit(main())
