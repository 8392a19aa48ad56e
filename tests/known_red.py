"""A pytest plugin that passes over the tests listed in a file of known failures, and prints them.

    python -m pytest --known-red=KNOWN-RED.txt

A line of the file is ``test, cause, issue``, where the test is its full node id.  Without the option, or
where the file does not exist, every test runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_ENTRIES = 3
SEPARATOR = ", "


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that fails for a real fault.

    Attributes:
        test: the full node id of the test.
        cause: why it fails.
        issue: where the fault is recorded.
    """

    test: str
    cause: str
    issue: str


def read_known_failures(path: Path) -> list[KnownFailure]:
    """The entries of the file, none where it does not exist.

    Raises:
        pytest.UsageError: a line lacks one of its parts, or there are more entries than allowed.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(f"{path}: {len(lines)} entries, {MAX_ENTRIES} at most are allowed")
    return [_parse_line(path, line) for line in lines]


def _parse_line(path: Path, line: str) -> KnownFailure:
    test, _, rest = line.partition(SEPARATOR)
    cause, _, issue = rest.rpartition(SEPARATOR)
    if not (test.strip() and cause.strip() and issue.strip()):
        raise pytest.UsageError(f"{path}: not 'test, cause, issue': {line}")
    return KnownFailure(test.strip(), cause.strip(), issue.strip())


def _configured_failures(config: pytest.Config) -> list[KnownFailure]:
    path: Path | None = config.getoption("--known-red")
    return [] if path is None else read_known_failures(path)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that names the file."""
    parser.addoption("--known-red", type=Path, help="file of known failures to pass over and print")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the listed tests; an entry that names no collected test is an error."""
    known = {failure.test for failure in _configured_failures(config)}
    unknown = known - {item.nodeid for item in items}
    if unknown:
        raise pytest.UsageError(f"known failures that name no test: {sorted(unknown)}")
    deselected = [item for item in items if item.nodeid in known]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_report_collectionfinish(config: pytest.Config) -> list[str]:
    """Print the entries, so that no run hides them."""
    failures = _configured_failures(config)
    return [f"KNOWN RED {failure.test}: {failure.cause} ({failure.issue})" for failure in failures]
