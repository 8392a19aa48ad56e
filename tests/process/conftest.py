"""Fixtures of the tests that start processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.process.node_process import end_started_processes


@pytest.fixture(autouse=True)
def _end_started_processes() -> Iterator[None]:
    """A test that fails leaves no process behind."""
    yield
    end_started_processes()
