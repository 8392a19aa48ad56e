"""The list of known failures passes over exactly the listed tests."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SAMPLE = """
def test_broken(): assert False
def test_broken_too(): assert False
def test_sound(): pass
"""
BROKEN = "test_sample.py::test_broken, it divides by zero, then fails, #12\n"
BROKEN_TOO = "test_sample.py::test_broken_too, it never ends, #13\n"


def run_sample(folder: Path, known_red: str | None) -> subprocess.CompletedProcess[str]:
    """A run of the sample tests with a list of known failures, or without the file."""
    (folder / "test_sample.py").write_text(SAMPLE)
    if known_red is not None:
        (folder / "KNOWN-RED.txt").write_text(known_red)
    return subprocess.run(
        [
            sys.executable,
            *("-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "tests.known_red"),
            *("--rootdir", str(folder), "--known-red", "KNOWN-RED.txt"),
        ],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )


def test_listed_tests_are_passed_over_and_printed(tmp_path: Path) -> None:
    done = run_sample(tmp_path, BROKEN + BROKEN_TOO)
    assert done.returncode == 0
    assert "1 passed, 2 deselected" in done.stdout
    assert "KNOWN RED test_sample.py::test_broken: it divides by zero, then fails (#12)" in done.stdout
    assert "KNOWN RED test_sample.py::test_broken_too: it never ends (#13)" in done.stdout


def test_test_whose_name_starts_like_a_listed_one_still_runs(tmp_path: Path) -> None:
    done = run_sample(tmp_path, BROKEN)
    assert done.returncode == 1
    assert "1 failed, 1 passed, 1 deselected" in done.stdout


def test_every_test_runs_where_there_is_no_list(tmp_path: Path) -> None:
    done = run_sample(tmp_path, None)
    assert done.returncode == 1
    assert "2 failed, 1 passed" in done.stdout
    assert "KNOWN RED" not in done.stdout


@pytest.mark.parametrize(
    "known_red",
    [
        pytest.param("test_sample.py::test_gone, it fails, #14\n", id="no such test"),
        pytest.param("test_sample.py::test_broken, #12\n", id="no cause"),
        pytest.param("test_sample.py::test_broken\n", id="test alone"),
        pytest.param(BROKEN * 4, id="more than three"),
    ],
)
def test_unusable_list_fails_the_run(tmp_path: Path, known_red: str) -> None:
    assert run_sample(tmp_path, known_red).returncode == pytest.ExitCode.USAGE_ERROR
