"""Functions that run a scenario in a separate process."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from fault_soak.faults import FaultKind
from fault_soak.report import FAULT_TEST_FAILED, Report, failed_report
from fault_soak.serialization import report_from_json

ROOT = Path(__file__).parent.parent
SHOWN_ERROR_CHARACTERS = 2000


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options with which scenarios are run.

    Attributes:
        tree: the checkout whose nodes are run.
        kinds: the kinds of faults from which the faults of a scenario are drawn.
        node_count: the number of nodes; 0 for the random number of the plan.
        report_directory: the directory to which reports are written; None for temporary files.
    """

    tree: Path
    kinds: frozenset[FaultKind]
    node_count: int = 0
    report_directory: Path | None = None

    def report_path(self, seed: int) -> Path:
        """Return the path to which the report of a seed is written."""
        if self.report_directory is None:
            return Path(f"/tmp/fault-soak-{seed}.json")
        return self.report_directory / f"{seed}.json"


def run_in_process(seed: int, options: RunOptions) -> Report:
    """Run the scenario of a seed in a separate process and return its report.

    If the process wrote no report, print the end of its error output, and return a report that says that the
    fault test itself failed.
    """
    path = options.report_path(seed)
    path.unlink(missing_ok=True)
    command = [sys.executable, "-m", "fault_soak", "--seeds", str(seed), "--json", str(path)]
    command += ["--tree", str(options.tree), "--kinds", join_kinds(options.kinds)]
    command += ["--nodes", str(options.node_count)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    if not path.exists():
        print(f"seed={seed} {FAULT_TEST_FAILED}: {done.stderr[-SHOWN_ERROR_CHARACTERS:]}", flush=True)
        return failed_report(seed)
    return report_from_json(json.loads(path.read_text()))


def join_kinds(kinds: Iterable[FaultKind]) -> str:
    """Return the kinds of faults as a value of the command-line option ``--kinds``."""
    return ",".join(sorted(kind.value for kind in kinds))
