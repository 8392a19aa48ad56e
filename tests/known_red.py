"""A pytest plugin that deselects the tests listed in a file of known failures, and prints them.

    python -m pytest --known-red=KNOWN-RED.txt

Each line of the file has the form ``test, cause, issue``, where ``test`` is the full node id of the test.
Without the option, or if the file does not exist, every test runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_ENTRIES = 3
SEPARATOR = ", "


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is known to fail because of a fault in the code.

    Attributes:
        test: the full node id of the test.
        cause: the reason why the test fails.
        issue: the issue that records the fault, such as ``#12``.
    """

    test: str
    cause: str
    issue: str


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the entries of the file, or an empty list if the file does not exist.

    Raises:
        pytest.UsageError: a line lacks one of its parts, or the file has more than MAX_ENTRIES entries.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(f"{path}: {len(lines)} entries, but at most {MAX_ENTRIES} are allowed")
    return [_parse_line(path, line) for line in lines]


def _parse_line(path: Path, line: str) -> KnownFailure:
    test, _, rest = line.partition(SEPARATOR)
    cause, _, issue = rest.rpartition(SEPARATOR)
    if not (test.strip() and cause.strip() and issue.strip()):
        raise pytest.UsageError(f"{path}: line is not of the form 'test, cause, issue': {line}")
    return KnownFailure(test.strip(), cause.strip(), issue.strip())


def _configured_failures(config: pytest.Config) -> list[KnownFailure]:
    path: Path | None = config.getoption("--known-red")
    return [] if path is None else read_known_failures(path)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the command-line option for the file of known failures."""
    parser.addoption(
        "--known-red", type=Path, help="file of known failures, which are deselected and printed"
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the listed tests.

    Raises:
        pytest.UsageError: an entry names a test that was not collected.
    """
    known = {failure.test for failure in _configured_failures(config)}
    unknown = known - {item.nodeid for item in items}
    if unknown:
        raise pytest.UsageError(f"listed tests were not collected: {sorted(unknown)}")
    deselected = [item for item in items if item.nodeid in known]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_report_collectionfinish(config: pytest.Config) -> list[str]:
    """Return a report line for each known failure, so that every run shows them."""
    failures = _configured_failures(config)
    return [f"KNOWN RED {failure.test}: {failure.cause} ({failure.issue})" for failure in failures]
