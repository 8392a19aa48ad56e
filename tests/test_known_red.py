"""Tests that the plugin for known failures deselects exactly the listed tests."""

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
def test_passing(): pass
"""
BROKEN = "test_sample.py::test_broken, it divides by zero, then fails, #12\n"
BROKEN_TOO = "test_sample.py::test_broken_too, it never ends, #13\n"


def run_sample(folder: Path, known_red: str | None) -> subprocess.CompletedProcess[str]:
    """Run the sample tests with this content of KNOWN-RED.txt, or without the file if it is None."""
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


def test_listed_tests_are_deselected_and_printed(tmp_path: Path) -> None:
    completed = run_sample(tmp_path, BROKEN + BROKEN_TOO)
    assert completed.returncode == 0
    assert "1 passed, 2 deselected" in completed.stdout
    assert "KNOWN RED test_sample.py::test_broken: it divides by zero, then fails (#12)" in completed.stdout
    assert "KNOWN RED test_sample.py::test_broken_too: it never ends (#13)" in completed.stdout


def test_test_whose_name_begins_with_a_listed_name_still_runs(tmp_path: Path) -> None:
    completed = run_sample(tmp_path, BROKEN)
    assert completed.returncode == 1
    assert "1 failed, 1 passed, 1 deselected" in completed.stdout


def test_every_test_runs_if_the_list_does_not_exist(tmp_path: Path) -> None:
    completed = run_sample(tmp_path, None)
    assert completed.returncode == 1
    assert "2 failed, 1 passed" in completed.stdout
    assert "KNOWN RED" not in completed.stdout


@pytest.mark.parametrize(
    "known_red",
    [
        pytest.param("test_sample.py::test_gone, it fails, #14\n", id="unknown test"),
        pytest.param("test_sample.py::test_broken, #12\n", id="missing cause"),
        pytest.param("test_sample.py::test_broken\n", id="missing cause and issue"),
        pytest.param(BROKEN * 4, id="more than three entries"),
    ],
)
def test_invalid_list_is_a_usage_error(tmp_path: Path, known_red: str) -> None:
    assert run_sample(tmp_path, known_red).returncode == pytest.ExitCode.USAGE_ERROR
