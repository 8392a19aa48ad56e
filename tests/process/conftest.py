"""Fixtures for the tests that start node processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.process.node_process import kill_started_processes


@pytest.fixture(autouse=True)
def _kill_started_processes() -> Iterator[None]:
    """Kill the node processes that a test has left running, for example because it failed."""
    yield
    kill_started_processes()
